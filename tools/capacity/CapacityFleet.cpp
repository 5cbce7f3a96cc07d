#include "capacity/CapacityFleet.h"

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Digest.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace briarhitch {

namespace {

    using Json = nlohmann::json;
    using namespace std::chrono_literals;

    constexpr auto fleetKey = "fleet key of the capacity run";
    constexpr auto operatorKey = "operator key of the capacity run";
    constexpr auto callerKey = "key-1";
    constexpr auto region = "north";
    constexpr size_t firstEntryNode = 1000;
    constexpr int okStatus = 200;
    constexpr int firstRefusal = 400;
    constexpr int firstServerError = 500;
    /** Longer than the longest wait_s that is asked for here. */
    constexpr auto operatorTimeout = 35s;
    constexpr auto acceptTimeout = 2s;
    constexpr int pollMs = 20;
    constexpr auto longestWait = 60s;

    void pause(double seconds)
    {
        ::poll(nullptr, 0, static_cast<int>(seconds * 1000));
    }

    bool isPortFree(uint16_t port)
    {
        int socketHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bool isFree = bind(socketHandle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(socketHandle);
        return isFree;
    }

    template <class Condition>
    void waitUntil(const std::string& what, Condition&& condition)
    {
        auto end = BootClock::now() + longestWait;
        while (!condition()) {
            if (BootClock::now() > end)
                throw std::runtime_error("not in time: " + what);
            pause(pollMs * 0.001);
        }
    }

}

CapacityFleet::CapacityFleet(std::string programFolder, std::string folder)
    : programFolder_(std::move(programFolder))
    , folder_(std::move(folder))
{
    std::filesystem::create_directories(folder_);
}

CapacityFleet::~CapacityFleet()
{
    entries_.clear();
    standIns_.clear();
    controls_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

uint16_t CapacityFleet::freePort()
{
    while (!isPortFree(nextPort_))
        ++nextPort_;
    return nextPort_++;
}

std::string CapacityFleet::writeFile(const std::string& name, const Json& content) const
{
    auto path = folder_ + "/" + name + ".json";
    std::ofstream(path) << content.dump(2);
    return path;
}

std::unique_ptr<ChildProcess> CapacityFleet::start(const std::string& program, const std::vector<std::string>& arguments, const std::string& name)
{
    return std::make_unique<ChildProcess>(programFolder_ + "/" + program, arguments, folder_ + "/" + name + ".log");
}

void CapacityFleet::startControl(size_t voters)
{
    Json list = Json::array();
    for (size_t i = 0; i < voters; ++i) {
        controls_.push_back({ nullptr, freePort(), freePort() });
        list.push_back({ { "node", i + 1 }, { "host", "127.0.0.1" }, { "port", controls_[i].link }, { "admin_port", controls_[i].admin } });
    }
    for (size_t i = 0; i < voters; ++i) {
        auto name = "control-" + std::to_string(i + 1);
        Json settings { { "node", i + 1 }, { "fleet_key", fleetKey }, { "data_folder", folder_ + "/data/" + name },
            { "link", { { "host", "127.0.0.1" }, { "port", controls_[i].link } } },
            { "admin", { { "host", "127.0.0.1" }, { "port", controls_[i].admin } } },
            { "operator_key_hashes", { sha256Hex(operatorKey) } }, { "voters", list }, { "log_level", "warning" } };
        std::filesystem::create_directories(folder_ + "/data");
        controls_[i].process = start("briarhitch-control", { "--config=" + writeFile(name, settings) }, name);
    }
    for (const auto& control : controls_)
        waitUntil("control is ready", [&] { return callPlain(control.admin, { "GET", "/readyz", {}, "" }).status == 200; });
}

void CapacityFleet::growTo(size_t entries)
{
    Json voters = Json::array();
    for (const auto& control : controls_)
        voters.push_back({ { "host", "127.0.0.1" }, { "port", control.link } });
    while (entries_.size() < entries) {
        Entry entry;
        entry.port = freePort();
        auto name = "entry-" + std::to_string(entries_.size());
        Json settings { { "node", firstEntryNode + entries_.size() }, { "region", region }, { "zone", "north-" + std::to_string(entries_.size() % 4) },
            { "fleet_key", fleetKey }, { "http", { { "host", "127.0.0.1" }, { "port", entry.port } } },
            { "link", { { "host", "127.0.0.1" }, { "port", freePort() } } },
            { "control_voters", voters }, { "log_level", "warning" } };
        entry.process = start("briarhitch-entry", { "--config=" + writeFile(name, settings) }, name);
        entries_.push_back(std::move(entry));
    }
    for (const auto& entry : entries_)
        waitUntil("entry is ready", [&] { return callPlain(entry.port, { "GET", "/readyz", {}, "" }).status == 200; });
}

void CapacityFleet::acceptChange(size_t exceptVoter)
{
    Json body { { "change_id", "capacity-" + std::to_string(++changes_) }, { "expected_version", 0 },
        { "contract", { { "tier", 1 }, { "key_hashes", { sha256Hex("accepted-" + std::to_string(changes_)) } } } } };
    PlainRequest request { "PUT", "/v1/customers/accepted-" + std::to_string(changes_) + "?wait_s=0",
        { { "Authorization", std::string("Bearer ") + operatorKey } }, body.dump() };
    waitUntil("a change is accepted", [&] {
        for (size_t i = 0; i < controls_.size(); ++i) {
            if (i != exceptVoter && callPlain(controls_[i].admin, request, acceptTimeout).status == okStatus)
                return true;
        }
        return false;
    });
}

Json CapacityFleet::operate(const std::string& method, const std::string& path, Json body)
{
    if (!body.is_null())
        body["change_id"] = "capacity-" + std::to_string(++changes_);
    PlainRequest request { method, path, { { "Authorization", std::string("Bearer ") + operatorKey } }, body.is_null() ? "" : body.dump() };
    PlainAnswer answer;
    // A change may be sent again, because its id makes it take effect once.
    waitUntil("a leader answers " + path, [&] {
        for (const auto& control : controls_) {
            answer = callPlain(control.admin, request, operatorTimeout);
            if (answer.status == okStatus)
                return true;
            if (answer.status >= firstRefusal && answer.status < firstServerError)
                throw std::runtime_error(path + ": " + answer.body);
        }
        return false;
    });
    return Json::parse(answer.body);
}

Json CapacityFleet::status()
{
    return operate("GET", "/v1/status");
}

std::optional<size_t> CapacityFleet::ownerOf(const std::string& pool)
{
    auto pools = status().at("pools");
    for (const auto& record : pools) {
        if (record.at("name") == pool && record.at("owner").is_number_unsigned() && record.at("owner").get<size_t>() >= firstEntryNode)
            return record.at("owner").get<size_t>() - firstEntryNode;
    }
    return std::nullopt;
}

size_t CapacityFleet::leader()
{
    return status().at("leader").get<size_t>() - 1;
}

void CapacityFleet::addCustomers(size_t from, size_t to)
{
    for (size_t number = from; number < to; ++number) {
        Json contract { { "tier", number % 4 }, { "share", 1 + number % 7 }, { "key_hashes", { sha256Hex("key-" + std::to_string(number)) } },
            { "repeatable", { { { "service", "shop" }, { "method", "GET" } }, { { "service", "model" } } } } };
        // The first customer is the load generator's; the others have the usual kind of ceiling.
        if (number != 1)
            contract["ceiling"] = { { "requests_per_second", 50 }, { "tokens_per_second", 20000 }, { "in_flight", 100 } };
        operate("PUT", "/v1/customers/customer-" + std::to_string(number) + "?wait_s=0", { { "contract", contract }, { "expected_version", 0 } });
    }
}

void CapacityFleet::addTarget(const std::string& kind, const std::string& serves, uint16_t port)
{
    Json target { { "kind", kind }, { "serves", serves }, { "region", region }, { "zone", "north-1" }, { "host", "127.0.0.1" }, { "port", port }, { "slots", 256 } };
    operate("PUT", "/v1/targets/target-" + std::to_string(++targets_) + "?wait_s=0", { { "target", target }, { "expected_version", 0 } });
}

void CapacityFleet::addIdleTargets(size_t from, size_t to)
{
    if (idlePort_ == 0)
        idlePort_ = startStandIn("briarhitch-fake-engine", {});
    for (size_t number = from; number < to; ++number)
        addTarget("engine", "idle-" + std::to_string(number % 19), idlePort_);
}

uint16_t CapacityFleet::startStandIn(const std::string& program, std::vector<std::string> flags)
{
    auto portFile = folder_ + "/" + program + "-" + std::to_string(standIns_.size()) + ".port";
    flags.push_back("--port_file=" + portFile);
    standIns_.push_back(start(program, flags, program));
    uint16_t port = 0;
    waitUntil(program + " listens", [&] { return static_cast<bool>(std::ifstream(portFile) >> port); });
    return port;
}

void CapacityFleet::addEngine(const std::vector<std::string>& flags)
{
    addTarget("engine", "small", startStandIn("briarhitch-fake-engine", flags));
}

void CapacityFleet::addService()
{
    addTarget("service", "shop", startStandIn("briarhitch-fake-service", {}));
}

double CapacityFleet::timeToForce()
{
    auto name = "timed-" + std::to_string(changes_);
    Json contract { { "tier", 1 }, { "key_hashes", { sha256Hex(name) } } };
    auto begin = BootClock::now();
    auto answer = operate("PUT", "/v1/customers/" + name + "?wait_s=30", { { "contract", contract }, { "expected_version", 0 } });
    if (!answer.value("in_force", false))
        throw std::runtime_error("a change was not in force within 30 s");
    return toSeconds(BootClock::now() - begin);
}

std::unique_ptr<ChildProcess> CapacityFleet::startLoad(const std::vector<std::string>& flags, const Json& mix)
{
    Json customers { { "customers", { { { "name", "customer-1" }, { "key", callerKey }, { "mix", mix } } } } };
    std::vector<std::string> arguments { "--customers=" + writeFile("load", customers), "--service=shop", "--model=small", "--seed=1" };
    std::string targets;
    for (const auto& entry : entries_)
        targets += (targets.empty() ? "" : ",") + std::string("127.0.0.1:") + std::to_string(entry.port);
    arguments.push_back("--entries=" + targets);
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return start("briarhitch-load", arguments, "load-" + std::to_string(++changes_));
}

Json loadResult(ChildProcess& load)
{
    if (!load.waitExit(120s))
        throw std::runtime_error("briarhitch-load did not end in time");
    auto output = load.log();
    return Json::parse(output.substr(output.find('{')));
}

Json CapacityFleet::load(const std::vector<std::string>& flags, const Json& mix)
{
    return loadResult(*startLoad(flags, mix));
}

double CapacityFleet::metric(uint16_t port, const std::string& name) const
{
    auto text = callPlain(port, { "GET", "/metrics", {}, "" }).body;
    auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

CapacityFleet::Totals CapacityFleet::totals()
{
    Totals totals;
    totals.usage.push_back(readUsage(controls_[0].process->pid()));
    totals.sent.push_back(metric(controls_[0].admin, "control_link_bytes_sent"));
    totals.received.push_back(metric(controls_[0].admin, "control_link_bytes_received"));
    for (const auto& entry : entries_) {
        totals.usage.push_back(readUsage(entry.process->pid()));
        totals.sent.push_back(metric(entry.port, "entry_link_bytes_sent"));
        totals.received.push_back(metric(entry.port, "entry_link_bytes_received"));
    }
    return totals;
}

std::vector<Usage> CapacityFleet::measure(double seconds)
{
    // Reading the counters costs the processes some time themselves, so the window begins after it.
    auto before = totals();
    for (size_t i = 0; i <= entries_.size(); ++i)
        before.usage[i] = readUsage(i == 0 ? controls_[0].process->pid() : entries_[i - 1].process->pid());
    auto begin = BootClock::now();
    pause(seconds);
    std::vector<ProcessUsage> usage;
    for (size_t i = 0; i <= entries_.size(); ++i)
        usage.push_back(readUsage(i == 0 ? controls_[0].process->pid() : entries_[i - 1].process->pid()));
    double elapsed = toSeconds(BootClock::now() - begin);
    auto after = totals();
    std::vector<Usage> result;
    for (size_t i = 0; i < usage.size(); ++i) {
        result.push_back({ (usage[i].cpuSeconds - before.usage[i].cpuSeconds) / elapsed, usage[i].residentBytes,
            (after.sent[i] - before.sent[i]) / elapsed, (after.received[i] - before.received[i]) / elapsed });
    }
    return result;
}

double CapacityFleet::dataBytes() const
{
    double bytes = 0;
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder_ + "/data")) {
        if (file.is_regular_file())
            bytes += static_cast<double>(file.file_size());
    }
    return bytes;
}

}
