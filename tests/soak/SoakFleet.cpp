#include "soak/SoakFleet.h"

#include "briarhitch/core/Digest.h"
#include "support/ExpectedAnswer.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <poll.h>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr int voters = 3;
    constexpr int stepMs = 20;
    constexpr milliseconds drainBound = 5s;
    /** Added to the duration of a rate limit, so that whole windows are within it. */
    constexpr milliseconds rateLimitTime = 6s;
    constexpr milliseconds rateLimitWindow = 4s;
    /** From the first answer that names a limit until it must be kept. */
    constexpr milliseconds rateLimitNotice = 500ms;
    constexpr double smallestRateLimit = 0.5;
    constexpr uint32_t rateLimitSpread = 12;
    constexpr uint32_t longestLinkDelayMs = 300;
    /** Faults of processes and links last up to this long. */
    constexpr milliseconds longestFault = 5s;
    /** Callers ask this long after the last fault begins, so that all entries are in touch for some seconds. */
    constexpr milliseconds calmTime = 12s;
    const std::vector<std::string> engineNames { "engine-1", "engine-2" };
    const std::vector<std::string> serviceNames { "booking-1", "booking-2" };

    template <class T>
    const T& pick(const std::vector<T>& from, uint32_t number) { return from.at(number % from.size()); }

}

TcpCutter& SoakFleet::forwarder(uint16_t port)
{
    links_.push_back(std::make_unique<TcpCutter>(port));
    return *links_.back();
}

void SoakFleet::start()
{
    auto crashFlag = "--crash_on=" + SoakTraffic::deadlyText();
    startEngine("engine-1", { "--step_time=4ms", "--check_fencing", crashFlag });
    startEngine("engine-2", { "--step_time=8ms", crashFlag });
    for (const auto& name : serviceNames)
        startService(name, { crashFlag });
    startControls(voters, [this](int, int, uint16_t port) { return forwarderPort(port); });
    putCustomer(defaultContract());
    for (const auto& name : engineNames)
        putTarget(daemon(name), "engine", forwarderPort(daemon(name).port));
    for (const auto& name : serviceNames)
        putTarget(daemon(name), "service", forwarderPort(daemon(name).port));
    for (uint32_t node = 1; node <= entries_; ++node) {
        startEntry(
            node, "fleet key of the tests", [this](int, uint16_t port) { return forwarderPort(port); }, [this](uint16_t port) { return forwarderPort(port); });
        callerPorts_.push_back(forwarderPort(entry(node).port));
    }
    recover();
}

SoakResult SoakFleet::play(uint64_t seed, const std::vector<Fault>& schedule, std::chrono::seconds length)
{
    try {
        start();
        SoakTraffic traffic(seed, callerPorts_);
        auto begun = std::chrono::steady_clock::now();
        auto next = schedule.begin();
        while (now_ < length + calmTime || !due_.empty()) {
            now_ = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
            for (; next != schedule.end() && next->at <= now_; ++next)
                begin(*next);
            runDue(now_);
            poll(nullptr, 0, stepMs);
        }
        traffic.stop();
        for (auto& link : links_)
            link->resetOpenConnections();
        recover();
        judge(traffic);
    } catch (const std::exception& error) {
        violation(std::string("the fleet did not recover: ") + error.what());
    }
    return result_;
}

void SoakFleet::later(milliseconds delay, std::function<void()> action)
{
    due_.emplace(now_ + delay, std::move(action));
}

void SoakFleet::runDue(milliseconds now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        auto action = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        action();
    }
}

void SoakFleet::begin(const Fault& fault)
{
    ++result_.injected.at(static_cast<size_t>(fault.kind));
    if (fault.kind != FaultKind::TargetLimitsRate && fault.kind != FaultKind::OperatorChange)
        disruptions_.push_back(BootClock::now() + (fault.kind == FaultKind::StopEntry ? drainBound : fault.duration));
    switch (fault.kind) {
    case FaultKind::KillEntry:
    case FaultKind::FreezeEntry:
    case FaultKind::StopEntry:
        return beginOnProcess(fault, "entry-" + std::to_string(1 + fault.victim % entries_));
    case FaultKind::KillControl:
    case FaultKind::FreezeControl:
    case FaultKind::WipeControl:
        return beginOnProcess(fault, "control-" + std::to_string(1 + fault.victim % voters));
    case FaultKind::SilenceLink:
    case FaultKind::CutLink:
    case FaultKind::CutLinkOneWay:
    case FaultKind::DelayLink:
    case FaultKind::ResetLink:
    case FaultKind::BreakLink:
        return beginOnLink(fault, *links_.at(fault.victim % links_.size()));
    case FaultKind::TargetStalls:
    case FaultKind::TargetResets:
    case FaultKind::TargetRefuses:
    case FaultKind::TargetIsLate: {
        bool isEngine = fault.victim % 2 == 0;
        return beginOnTarget(fault, daemon(pick(isEngine ? engineNames : serviceNames, fault.victim / 2)));
    }
    case FaultKind::TargetLimitsRate:
        return beginRateLimit(fault, pick(serviceNames, fault.victim));
    case FaultKind::OperatorChange:
        return changeCustomers();
    }
}

void SoakFleet::beginOnProcess(const Fault& fault, const std::string& name)
{
    // A process that a fault holds down already is left alone until its recovery.
    if (!down_.insert(name).second)
        return;
    auto& victim = daemon(name);
    auto comeBack = [this, name] {
        restart(daemon(name));
        down_.erase(name);
    };
    switch (fault.kind) {
    case FaultKind::FreezeEntry:
    case FaultKind::FreezeControl:
        victim.process->signal(SIGSTOP);
        later(fault.duration, [this, name] {
            daemon(name).process->signal(SIGCONT);
            down_.erase(name);
        });
        return;
    case FaultKind::StopEntry:
        victim.process->signal(SIGTERM);
        later(drainBound, comeBack);
        return;
    case FaultKind::WipeControl:
        victim.process->kill();
        std::filesystem::remove_all(folder() + "/" + name);
        std::filesystem::create_directory(folder() + "/" + name);
        later(fault.duration, comeBack);
        return;
    default:
        victim.process->kill();
        later(fault.duration, comeBack);
    }
}

void SoakFleet::beginOnLink(const Fault& fault, TcpCutter& link)
{
    switch (fault.kind) {
    case FaultKind::SilenceLink:
        link.cutOpenConnections(true, true);
        return;
    case FaultKind::CutLink:
        link.cutAll();
        later(fault.duration, [&link] { link.heal(); });
        return;
    case FaultKind::CutLinkOneWay:
        link.cutAll(fault.victim / 2 % 2 == 0, fault.victim / 2 % 2 != 0);
        later(fault.duration, [&link] { link.heal(); });
        return;
    case FaultKind::DelayLink:
        link.delay(milliseconds(1 + fault.victim % longestLinkDelayMs));
        later(fault.duration, [&link] { link.delay(0ms); });
        return;
    case FaultKind::ResetLink:
        link.resetOpenConnections();
        return;
    default:
        link.breakOpenConnections();
    }
}

void SoakFleet::beginOnTarget(const Fault& fault, Daemon& target)
{
    const char* mode = fault.kind == FaultKind::TargetStalls ? "stall" : fault.kind == FaultKind::TargetResets ? "reset"
        : fault.kind == FaultKind::TargetRefuses                                                               ? "refuse"
                                                                                                               : "late";
    // A count of zero hits all connections as long as the fault lasts.
    Json order { { "mode", mode }, { "count", fault.victim / 2 % 3 }, { "late_ms", fault.duration.count() } };
    if (target.name.starts_with("engine"))
        order["after_events"] = fault.victim / 4 % 10;
    orderTargetFaults(target, order);
    later(fault.duration, [this, &target] { orderTargetFaults(target, Json::object()); });
}

void SoakFleet::orderTargetFaults(const Daemon& target, Json faults)
{
    if (auto limit = rateLimits_.find(target.name); limit != rateLimits_.end())
        faults["rate_limit"] = limit->second;
    faults["crash_on"] = SoakTraffic::deadlyText();
    orderFaults(target, faults);
}

void SoakFleet::beginRateLimit(const Fault& fault, const std::string& target)
{
    double limit = smallestRateLimit + fault.victim / 2 % rateLimitSpread;
    if (!rateLimits_.try_emplace(target, limit).second)
        return;
    auto begin = BootClock::now();
    orderTargetFaults(daemon(target), Json::object());
    later(fault.duration + rateLimitTime, [this, target, limit, begin] {
        rateLimitPeriods_.push_back({ target, limit, begin, BootClock::now() });
        rateLimits_.erase(target);
        orderTargetFaults(daemon(target), Json::object());
    });
}

void SoakFleet::judgeRateLimits()
{
    constexpr double excessFactor = 1.5;
    constexpr double slack = 5;
    for (const auto& period : rateLimitPeriods_) {
        auto book = ledger(daemon(period.target));
        auto beginMs = toMs(period.begin.time_since_epoch());
        auto endMs = toMs(period.end.time_since_epoch());
        auto keptFromMs = endMs;
        for (const auto& call : book["requests"]) {
            // An answer names the limit that is in force when it is sent.
            if (call["answered_ms"] >= beginMs)
                keptFromMs = std::min(keptFromMs, call["answered_ms"].get<int64_t>() + rateLimitNotice.count());
        }
        std::vector<int64_t> arrivalsMs;
        for (const auto& call : book["requests"]) {
            if (call["arrived_ms"] >= keptFromMs && call["arrived_ms"] < endMs)
                arrivalsMs.push_back(call["arrived_ms"]);
        }
        result_.rateLimitedCalls += arrivalsMs.size();
        result_.rateLimitedCapacity += period.requestsPerSecond * static_cast<double>(endMs - keptFromMs) / 1000;
        double windowSeconds = static_cast<double>(rateLimitWindow.count()) / 1000;
        auto allowed = static_cast<size_t>(excessFactor * period.requestsPerSecond * windowSeconds + slack);
        size_t begin = 0;
        for (size_t end = 0; end < arrivalsMs.size(); ++end) {
            while (arrivalsMs[begin] <= arrivalsMs[end] - rateLimitWindow.count())
                ++begin;
            if (end - begin + 1 > allowed) {
                violation(period.target + ", which named a limit of " + std::to_string(period.requestsPerSecond) + " calls a second, got " + std::to_string(end - begin + 1) + " in 4 s; allowed " + std::to_string(allowed));
                break;
            }
        }
    }
}

void SoakFleet::judgeDeadlyRequests()
{
    constexpr size_t freeCrashesOfRequest = 3;
    constexpr size_t freeCrashesOfPart = 5;
    auto repeated = checksumOf("user: " + SoakTraffic::deadlyPrompt() + "\n");
    std::vector<int64_t> partsMs;
    std::vector<int64_t> promptsMs;
    std::vector<int64_t> callsMs;
    for (const auto& name : engineNames) {
        auto book = ledger(daemon(name));
        for (const auto& request : book["requests"]) {
            if (request["deadly"])
                (request["prompt"] == repeated ? promptsMs : partsMs).push_back(request["arrived_ms"]);
        }
    }
    for (const auto& name : serviceNames) {
        auto book = ledger(daemon(name));
        for (const auto& call : book["requests"]) {
            if (call["deadly"] && call["ran"])
                callsMs.push_back(call["arrived_ms"]);
        }
    }
    judgeDeadlyArrivals("requests with a deadly part of their prompt", std::move(partsMs), freeCrashesOfPart);
    judgeDeadlyArrivals("repeats of a deadly prompt", std::move(promptsMs), freeCrashesOfRequest);
    judgeDeadlyArrivals("repeats of a deadly call", std::move(callsMs), freeCrashesOfRequest);
}

void SoakFleet::judgeDeadlyArrivals(const std::string& what, std::vector<int64_t> arrivalsMs, size_t freeCrashes)
{
    constexpr size_t allowedArrivals = 3;
    constexpr milliseconds stabilityWindow = 3s;
    std::sort(arrivalsMs.begin(), arrivalsMs.end());
    result_.deadlyArrivals += arrivalsMs.size();
    size_t bounded = 0;
    for (size_t i = freeCrashes; i < arrivalsMs.size(); ++i) {
        bool isInTouch = std::none_of(disruptions_.begin(), disruptions_.end(), [&](Instant end) {
            auto endMs = toMs(end.time_since_epoch());
            return arrivalsMs[i] < endMs + stabilityWindow.count() && arrivalsMs[i] > endMs - longestFault.count();
        });
        bounded += isInTouch && arrivalsMs[i] > arrivalsMs[freeCrashes - 1] + stabilityWindow.count() ? 1 : 0;
    }
    result_.boundedDeadlyArrivals += bounded;
    if (bounded > allowedArrivals)
        violation(std::to_string(bounded) + " " + what + " reached targets later than 3 s after the " + std::to_string(freeCrashes) + "th; allowed 3");
}

void SoakFleet::changeCustomers()
{
    auto name = "soak-" + std::to_string(changes_.size());
    // Its answer may take as long as the control nodes need to elect a leader, and faults go on meanwhile.
    changes_.push_back(std::async(std::launch::async, [this, name]() -> std::string {
        try {
            Json contract { { "tier", 2 }, { "share", 1 }, { "key_hashes", { sha256Hex(name) } } };
            auto answer = callOperators("PUT", "/v1/customers/" + name, { { "expected_version", 0 }, { "change_id", name }, { "contract", contract } });
            return answer.status == 200 ? name : "";
        } catch (const std::runtime_error&) {
            return {};
        }
    }));
}

void SoakFleet::recover()
{
    for (uint32_t node = 1; node <= entries_; ++node) {
        waitReady(entry(node));
        for (uint16_t port : { entry(node).port, callerPorts_.at(node - 1) }) {
            waitUntil("entry " + std::to_string(node) + " reaches an engine", [&] { return callPlain(port, chat("recovery", 1, false), 5s).status == 200; });
            waitUntil("entry " + std::to_string(node) + " reaches a service", [&] { return callPlain(port, lookup("recovery"), 5s).status == 200; });
        }
    }
}

void SoakFleet::judge(SoakTraffic& traffic)
{
    result_.asked = traffic.asked;
    result_.answered = traffic.answered;
    result_.charges = traffic.charges.size();
    result_.violations.insert(result_.violations.end(), traffic.violations.begin(), traffic.violations.end());
    judgeRateLimits();
    judgeDeadlyRequests();
    std::map<std::string, uint64_t> charged;
    for (const auto& name : serviceNames) {
        auto book = ledger(daemon(name));
        for (const auto& [id, times] : book["charges"].items())
            charged[id] += times.get<uint64_t>();
    }
    for (const auto& [id, told] : traffic.charges) {
        auto times = charged[id];
        result_.promisedNotRun += told.isPromisedNotRun ? 1 : 0;
        if (times > 1)
            violation("charge " + id + " ran " + std::to_string(times) + " times");
        if (told.isAnswered && times == 0)
            violation("charge " + id + " was answered and did not run");
        if (told.isPromisedNotRun && times > 0)
            violation("charge " + id + " ran, though its caller was told that it did not");
    }
    std::set<std::string> ran;
    for (const auto& name : engineNames) {
        auto book = ledger(daemon(name));
        for (const auto& request : book["requests"]) {
            if (request["state"] != "refused" && request["state"] != "fenced")
                ran.insert(request["prompt"]);
        }
    }
    for (const auto& [prompt, told] : traffic.prompts) {
        result_.promisedNotRun += told.isPromisedNotRun ? 1 : 0;
        if (told.isPromisedNotRun && ran.contains(checksumOf("user: " + prompt + "\n")))
            violation("\"" + prompt + "\" ran, though its caller was told that it did not");
    }
    auto customers = callOperators("GET", "/v1/customers").body;
    for (auto& change : changes_) {
        auto name = change.get();
        result_.acknowledgedChanges += name.empty() ? 0 : 1;
        if (!name.empty() && customers.find("\"" + name + "\"") == std::string::npos && callOperators("GET", "/v1/customers").body.find("\"" + name + "\"") == std::string::npos)
            violation("the acknowledged change " + name + " is gone");
    }
}

void SoakFleet::copyLogsTo(const std::string& path) const
{
    std::filesystem::create_directories(path);
    std::filesystem::copy(folder(), path, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
}

}
