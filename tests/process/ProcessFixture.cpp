#include "process/ProcessFixture.h"

#include "briarhitch/core/Digest.h"
#include "support/ExpectedAnswer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int pollMs = 10;
    constexpr auto defaultFleetKey = "fleet key of the tests";
    // Ports below the range from which the kernel takes those of outgoing connections.
    constexpr int firstPort = 10000;
    constexpr int portsPerProcess = 20;
    constexpr int processesWithOwnPorts = 1000;
    constexpr auto logTailBytes = 4000;

    bool isPortFree(uint16_t port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        bool isFree = bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(socket);
        return isFree;
    }

    Json parse(const std::string& text)
    {
        return Json::parse(text, nullptr, false);
    }

    /** A voter that knows no leader reports its own state, which may be old, and says so. */
    bool isReportWithoutLeader(const PlainAnswer& answer)
    {
        auto json = parse(answer.body);
        return json.is_object() && !json.value("is_leader", true);
    }

}

ProcessFixture::ProcessFixture()
    : nextPort_(static_cast<uint16_t>(firstPort + getpid() % processesWithOwnPorts * portsPerProcess))
{
    auto pattern = (std::filesystem::temp_directory_path() / "briarhitch-test-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
}

ProcessFixture::~ProcessFixture()
{
    for (auto& daemon : daemons_)
        daemon->process->kill();
    if (HasFailure()) {
        for (const auto& daemon : daemons_) {
            auto log = daemon->process->log();
            std::cout << "log of " << daemon->name << ":\n"
                      << log.substr(log.size() - std::min<size_t>(log.size(), logTailBytes)) << "\n";
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

uint16_t ProcessFixture::freePort()
{
    while (!isPortFree(nextPort_))
        ++nextPort_;
    return nextPort_++;
}

std::string ProcessFixture::writeSettings(const std::string& name, const Json& settings)
{
    auto path = folder_ + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
}

Daemon& ProcessFixture::start(Daemon daemon)
{
    daemon.process = std::make_unique<ChildProcess>(std::string(BRIARHITCH_BIN_DIR) + "/" + daemon.program, daemon.arguments, folder_ + "/" + daemon.name + ".log");
    daemons_.push_back(std::make_unique<Daemon>(std::move(daemon)));
    return *daemons_.back();
}

void ProcessFixture::restart(Daemon& daemon)
{
    daemon.process->kill();
    daemon.process = std::make_unique<ChildProcess>(std::string(BRIARHITCH_BIN_DIR) + "/" + daemon.program, daemon.arguments, folder_ + "/" + daemon.name + ".log");
}

Daemon& ProcessFixture::daemon(const std::string& name)
{
    auto it = std::find_if(daemons_.begin(), daemons_.end(), [&](const auto& daemon) { return daemon->name == name; });
    if (it == daemons_.end())
        throw std::logic_error("no daemon " + name);
    return **it;
}

void ProcessFixture::startControls(size_t count, const std::function<uint16_t(int from, int to, uint16_t port)>& portBetween)
{
    for (size_t node = 1; node <= count; ++node)
        voters_.push_back({ { "node", node + 100 }, { "host", "127.0.0.1" }, { "port", freePort() }, { "admin_port", freePort() } });
    for (const auto& voter : voters_) {
        int number = voter["node"].get<int>() - 100;
        auto name = "control-" + std::to_string(number);
        auto seen = voters_;
        for (size_t other = 1; portBetween && other <= count; ++other) {
            if (static_cast<int>(other) != number)
                seen[other - 1]["port"] = portBetween(number, static_cast<int>(other), voters_[other - 1]["port"]);
        }
        Json settings = { { "node", voter["node"] }, { "fleet_key", defaultFleetKey }, { "data_folder", folder_ + "/" + name },
            { "link", { { "host", "127.0.0.1" }, { "port", voter["port"] } } }, { "admin", { { "host", "127.0.0.1" }, { "port", voter["admin_port"] } } },
            { "operator_key_hashes", { sha256Hex(operatorKey) } }, { "voters", seen } };
        std::filesystem::create_directory(folder_ + "/" + name);
        start({ name, "briarhitch-control", { "--config=" + writeSettings(name, settings) }, voter["admin_port"], voter["port"], nullptr });
    }
}

Daemon& ProcessFixture::startEntry(uint32_t node, const std::string& fleetKey, const VoterPort& voterPort, const AnnouncedPort& announcedPort)
{
    auto name = "entry-" + std::to_string(node);
    auto port = freePort();
    auto linkPort = freePort();
    Json voters = Json::array();
    for (const auto& voter : voters_) {
        uint16_t own = voter["port"];
        voters.push_back({ { "host", voter["host"] }, { "port", voterPort ? voterPort(voter["node"].get<int>() - 100, own) : own } });
    }
    Json settings = { { "node", node }, { "region", "lakes" }, { "zone", node % 2 ? "duluth" : "sault" }, { "fleet_key", fleetKey },
        { "http", { { "host", "127.0.0.1" }, { "port", port } } }, { "link", { { "host", "127.0.0.1" }, { "port", linkPort } } },
        { "control_voters", voters }, { "limits", { { "token_timeout_ms", 1000 }, { "charge_timeout_ms", 1000 } } } };
    if (announcedPort)
        settings["announced_link"] = { { "host", "127.0.0.1" }, { "port", announcedPort(linkPort) } };
    return start({ name, "briarhitch-entry", { "--config=" + writeSettings(name, settings) }, port, linkPort, nullptr });
}

void ProcessFixture::waitPortFile(Daemon& daemon, const std::string& path)
{
    waitUntil(daemon.name + " listens", [&] { return static_cast<bool>(std::ifstream(path) >> daemon.port); });
    // A restart must come up where the targets' records point.
    daemon.arguments.push_back("--port=" + std::to_string(daemon.port));
}

Daemon& ProcessFixture::startEngine(const std::string& name, std::vector<std::string> flags)
{
    auto path = folder_ + "/" + name + ".port";
    flags.push_back("--port_file=" + path);
    auto& started = start({ name, "briarhitch-fake-engine", std::move(flags), 0, 0, nullptr });
    waitPortFile(started, path);
    engines_.push_back(name);
    return started;
}

Daemon& ProcessFixture::startService(const std::string& name, std::vector<std::string> flags)
{
    auto path = folder_ + "/" + name + ".port";
    flags.push_back("--port_file=" + path);
    auto& started = start({ name, "briarhitch-fake-service", std::move(flags), 0, 0, nullptr });
    waitPortFile(started, path);
    services_.push_back(name);
    return started;
}

void ProcessFixture::startWholePath()
{
    auto& fast = startEngine("engine-1", { "--step_time=5ms", "--check_fencing" });
    auto& slow = startEngine("engine-2", { "--step_time=15ms" });
    // With a second one, a charge that is wrongly repeated has somewhere to run.
    startService("booking-1");
    startService("booking-2");
    startControls(1);
    putCustomer(defaultContract());
    putTarget(fast, "engine");
    putTarget(slow, "engine");
    for (const auto& name : services_)
        putTarget(daemon(name), "service");
    waitReady(startEntry(1));
    waitReady(startEntry(2));
    for (uint32_t node : { 1, 2 }) {
        waitUntil("entry " + std::to_string(node) + " answers", [&] { return callPlain(entry(node).port, chat("warm up", 1, false)).status == 200; });
        waitUntil("entry " + std::to_string(node) + " reaches the service", [&] { return callPlain(entry(node).port, lookup("warm-up")).status == 200; });
    }
}

void ProcessFixture::waitUntil(const std::string& what, const std::function<bool()>& condition, std::chrono::seconds bound)
{
    auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("not in time: " + what);
        poll(nullptr, 0, pollMs);
    }
}

void ProcessFixture::waitReady(const Daemon& daemon)
{
    waitUntil(daemon.name + " is ready", [&] {
        if (!daemon.process->isRunning())
            throw std::runtime_error(daemon.name + " ended at its start");
        return callPlain(daemon.port, { "GET", "/readyz", {}, "" }, 2s).status == 200;
    });
}

PlainAnswer ProcessFixture::callOperators(const std::string& method, const std::string& path, const Json& body)
{
    PlainRequest request { method, path, { { "Authorization", std::string("Bearer ") + operatorKey } }, body.is_null() ? "" : body.dump() };
    PlainAnswer answer;
    waitUntil("a control leader answers", [&] {
        for (const auto& voter : voters_) {
            answer = callPlain(voter["admin_port"], request);
            auto kind = errorField(answer, "kind");
            // A change without an answer may be sent again, because its id makes it take effect once.
            if (answer.isWhole && answer.status != 307 && kind != "no_quorum" && kind != "not_leader" && !isReportWithoutLeader(answer))
                return true;
        }
        return false;
    });
    return answer;
}

Json ProcessFixture::change(const std::string& method, const std::string& path, Json body)
{
    body["change_id"] = "test-" + std::to_string(++changes_);
    auto answer = callOperators(method, path + "?wait_s=20", body);
    EXPECT_EQ(answer.status, 200) << method << " " << path << ": " << answer.body;
    auto json = parse(answer.body);
    EXPECT_TRUE(json.is_object() && json.value("in_force", false)) << answer.body;
    return json;
}

Json ProcessFixture::status()
{
    return parse(callOperators("GET", "/v1/status").body);
}

uint32_t ProcessFixture::ownerOf(const std::string& pool)
{
    auto json = status();
    for (const auto& record : json["pools"]) {
        if (record["name"] == pool && record["owner"].is_number())
            return record["owner"];
    }
    return 0;
}

uint64_t ProcessFixture::epochOf(const std::string& pool)
{
    auto json = status();
    for (const auto& record : json["pools"]) {
        if (record["name"] == pool)
            return record["epoch"];
    }
    return 0;
}

Json ProcessFixture::defaultContract()
{
    return { { "tier", 1 }, { "share", 1 }, { "key_hashes", { sha256Hex(customerKey) } },
        { "repeatable", { { { "service", "model" } }, { { "service", service }, { "method", "GET" }, { "path_prefix", "/status/" } } } } };
}

void ProcessFixture::putCustomer(const Json& contract, uint64_t expectedVersion)
{
    change("PUT", std::string("/v1/customers/") + customer, { { "expected_version", expectedVersion }, { "contract", contract } });
}

void ProcessFixture::putTarget(const Daemon& target, const std::string& kind, uint16_t port)
{
    Json record = { { "kind", kind }, { "serves", kind == "engine" ? model : service }, { "region", "lakes" }, { "zone", "duluth" },
        { "host", "127.0.0.1" }, { "port", port == 0 ? target.port : port }, { "checks_fencing", target.name == "engine-1" } };
    change("PUT", "/v1/targets/" + target.name, { { "expected_version", 0 }, { "target", record } });
}

Json ProcessFixture::ledger(const Daemon& standIn)
{
    PlainAnswer answer;
    waitUntil("the ledger of " + standIn.name, [&] { return (answer = callPlain(standIn.port, { "GET", "/admin/ledger", {}, "" })).isWhole; });
    return parse(answer.body);
}

void ProcessFixture::orderFaults(const Daemon& standIn, const Json& faults)
{
    // A stand-in that has crashed accepts no connection for a while.
    waitUntil(standIn.name + " takes the order", [&] { return callPlain(standIn.port, { "POST", "/admin/faults", {}, faults.dump() }).status == 200; });
}

void ProcessFixture::orderServiceFaults(const Json& faults)
{
    for (const auto& name : services_)
        orderFaults(daemon(name), faults);
}

uint64_t ProcessFixture::timesCharged(const std::string& chargeId)
{
    uint64_t count = 0;
    for (const auto& name : services_)
        count += ledger(daemon(name))["charges"].value(chargeId, uint64_t { 0 });
    return count;
}

size_t ProcessFixture::timesRun(const std::string& prompt)
{
    auto name = checksumOf("user: " + prompt + "\n");
    size_t count = 0;
    for (const auto& engine : engines_) {
        auto json = ledger(daemon(engine));
        for (const auto& request : json["requests"])
            count += request["prompt"] == name && request["state"] != "refused" && request["state"] != "fenced" ? 1 : 0;
    }
    return count;
}

PlainRequest ProcessFixture::chat(const std::string& prompt, int tokens, bool isStream, const std::string& key)
{
    Json body = { { "model", model }, { "max_tokens", tokens }, { "stream", isStream }, { "messages", { { { "role", "user" }, { "content", prompt } } } } };
    return { "POST", "/v1/chat/completions", { { "Authorization", "Bearer " + key }, { "Content-Type", "application/json" } }, body.dump() };
}

PlainRequest ProcessFixture::charge(const std::string& chargeId, const std::string& idempotencyKey)
{
    PlainRequest request { "POST", std::string("/services/") + service + "/charges", { { "Authorization", std::string("Bearer ") + customerKey } },
        Json { { "charge_id", chargeId }, { "amount", 100 } }.dump() };
    if (!idempotencyKey.empty())
        request.headers["Idempotency-Key"] = idempotencyKey;
    return request;
}

PlainRequest ProcessFixture::lookup(const std::string& id)
{
    return { "GET", std::string("/services/") + service + "/status/" + id, { { "Authorization", std::string("Bearer ") + customerKey } }, "" };
}

std::string textOfStream(const std::string& body)
{
    std::string text;
    std::istringstream lines(body);
    bool isOver = false;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: "))
            continue;
        if (isOver)
            return {};
        isOver = line == "data: [DONE]";
        if (!isOver)
            text += parse(line.substr(6))["choices"][0]["delta"].value("content", std::string());
    }
    return isOver ? text : std::string();
}

std::string textOfWhole(const std::string& body)
{
    auto json = parse(body);
    if (!json.is_object() || !json.contains("choices"))
        return {};
    return json["choices"][0]["message"].value("content", std::string());
}

std::vector<int> idsOfStream(const std::string& body)
{
    std::vector<int> ids;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: "))
            ids.push_back(std::stoi(line.substr(4)));
    }
    return ids;
}

std::string expectedChat(const std::string& prompt, int tokens)
{
    return expectedAnswer("user: " + prompt + "\n", tokens);
}

std::string errorField(const PlainAnswer& answer, const std::string& field)
{
    auto json = parse(answer.body);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object() || !json["error"].contains(field))
        return {};
    const auto& value = json["error"][field];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

}
