#include "platform/process/PlatformProcesses.h"
#include "platform/soak/StreamCallers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

ABSL_FLAG(uint64_t, first_seed, 1, "first seed; odd seeds have no faults of processes");
ABSL_FLAG(uint64_t, last_seed, 1, "last seed");
ABSL_FLAG(int, seconds, 12, "time for which callers ask");
ABSL_FLAG(int, bound_ms, 400, "how long a run may go on after the stream has gone on elsewhere");
ABSL_FLAG(bool, planted, false, "targets work on after their connections are closed; succeeds if each seed finds this");
ABSL_FLAG(std::string, keep, "soak-logs", "folder for the logs of seeds that fail");

namespace {

using namespace briarhitch;
using namespace briarhitch::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int fronts[] { 20, 21, 22 };
constexpr int poolOwners[] { 4, 5 };
constexpr int controls[] { 1, 2, 3 };
constexpr Duration plantedEndDelay = 3s;
constexpr Duration startTimeout = 60s;

Json routingDocument()
{
    auto route = [](const char* prefix, const char* kind, const char* service, bool isResumable) {
        return Json { { "name", prefix }, { "host", "a.example" }, { "pathPrefix", prefix }, { "kind", kind }, { "timeoutMs", 20000 }, { "targetLatencyMs", 1000 }, { "service", service }, { "maxAttempts", 3 }, { "resumable", isResumable } };
    };
    return { { "version", 7 }, { "routes", { route("/charge/", "unsafe", "shop", false), route("/query/", "streaming", "llm", true) } },
        { "services", { { { "name", "shop" } }, { { "name", "llm" }, { "engine", { { "slots", 12 } } } } } }, { "tenants", { { { "name", "harbour" }, { "apiKeys", { "key" } } } } } };
}

/** Kills, freezes and stops processes, one after the other. */
class Faults {
public:
    Faults(PlatformProcesses& fleet, LedgerTargets& targets, uint64_t seed)
        : fleet_(fleet)
        , targets_(targets)
        , random_(seed)
    {
    }

    void playOne()
    {
        enum Kind : uint8_t { KillFront,
            FreezeFront,
            StopFront,
            KillPools,
            FreezePools,
            KillControl,
            BreakStreams,
            KindCount };
        constexpr std::chrono::milliseconds shortestFault = 300ms;
        auto duration = shortestFault + std::chrono::milliseconds(random_.below(1500));
        switch (static_cast<Kind>(random_.below(KindCount))) {
        case KillFront:
            replaceFront(
                pick(fronts), [&](ChildProcess& process) { process.kill(); }, duration);
            break;
        case FreezeFront:
            freeze("front-" + std::to_string(pick(fronts)), true, duration);
            break;
        case StopFront:
            replaceFront(
                pick(fronts), [](ChildProcess& process) {
                process.signal(SIGTERM);
                process.waitExit(10s); }, duration);
            break;
        case KillPools:
            killPools(pick(poolOwners), duration);
            break;
        case FreezePools:
            freeze("pools-" + std::to_string(pick(poolOwners)), false, duration);
            break;
        case KillControl:
            killControl(pick(controls), duration);
            break;
        default:
            targets_.breakStreams();
        }
    }

    std::vector<Disruption> disruptions;

private:
    template <size_t count>
    int pick(const int (&numbers)[count]) { return numbers[random_.below(count)]; }

    /** `entry` is empty for a process of the core. */
    void disrupt(const std::string& entry, const std::function<void()>& action)
    {
        auto begin = BootClock::now();
        action();
        disruptions.push_back({ entry, begin, BootClock::now() });
        std::cout << "  " << (entry.empty() ? "core" : entry) << " disrupted for " << toMs(disruptions.back().end - begin) << " ms\n";
    }

    void freeze(const std::string& name, bool isFront, std::chrono::milliseconds duration)
    {
        disrupt(isFront ? name : "", [&] {
            fleet_.at(name).signal(SIGSTOP);
            std::this_thread::sleep_for(duration);
            fleet_.at(name).signal(SIGCONT);
        });
    }

    void replaceFront(int number, const std::function<void(ChildProcess&)>& end, std::chrono::milliseconds duration)
    {
        auto name = "front-" + std::to_string(number);
        disrupt(name, [&] {
            end(fleet_.at(name));
            std::this_thread::sleep_for(duration);
            fleet_.startFront(number);
        });
    }

    void killPools(int number, std::chrono::milliseconds duration)
    {
        disrupt("", [&] {
            fleet_.at("pools-" + std::to_string(number)).kill();
            std::this_thread::sleep_for(duration);
            fleet_.startPoolOwner(number);
        });
    }

    void killControl(int number, std::chrono::milliseconds duration)
    {
        disrupt("", [&] {
            fleet_.at("control-" + std::to_string(number)).kill();
            std::this_thread::sleep_for(duration);
            fleet_.startControl(number, false);
        });
    }

    PlatformProcesses& fleet_;
    LedgerTargets& targets_;
    Random random_;
};

/** Runs the body in a fiber of a loop of its own. */
void inFiber(const std::function<void(Loop&, HttpClient&)>& body)
{
    Loop loop;
    HttpClient client(loop);
    loop.spawn([&] {
        body(loop, client);
        loop.stop();
    });
    loop.run();
}

/** Starts all processes, and waits until the entries serve; false if they do not. */
bool startFleet(PlatformProcesses& fleet)
{
    for (int number : controls)
        fleet.startControl(number, true);
    for (int number : poolOwners)
        fleet.startPoolOwner(number);
    for (int number : fronts)
        fleet.startFront(number);
    bool isServing = false;
    inFiber([&](Loop& loop, HttpClient& client) {
        auto end = BootClock::now() + startTimeout;
        auto waitFor = [&](const std::function<bool()>& condition) {
            while (!condition() && BootClock::now() < end)
                sleepFor(loop, 50ms);
        };
        waitFor([&] { return fleet.callOperatorApi(client, 1, "PUT", routingDocument().dump()).status == 200; });
        int warmUps = 0;
        for (int number : fronts) {
            waitFor([&] {
                auto settings = PlatformProcesses::callSettings(fleet.host(number), PlatformProcesses::callerPort, "POST", "/charge/1", "", PlatformProcesses::requestHeaders("warm-up-" + std::to_string(++warmUps), "key", 1000));
                auto response = fetch(client, settings);
                return response && (response->status == 200 || response->status == 502);
            });
        }
        isServing = BootClock::now() < end;
    });
    return isServing;
}

size_t countInLogs(PlatformProcesses& fleet, const std::string& text)
{
    size_t count = 0;
    for (const auto& [name, process] : fleet.all()) {
        auto log = process->log();
        for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
            ++count;
    }
    return count;
}

/** The violations of one seed. */
std::vector<std::string> play(uint64_t seed)
{
    const auto* binFolder = std::getenv("BRIARHITCH_BIN_DIR");
    PlatformProcesses fleet(binFolder ? binFolder : BRIARHITCH_BIN_DIR);
    LedgerTargetsSettings settings;
    settings.seed = seed;
    settings.addressPrefix = fleet.host(0).substr(0, fleet.host(0).size() - 1);
    settings.port = PlatformProcesses::platformPort;
    settings.versions = static_cast<NamedVersions>(seed % 3);
    settings.endDelay = absl::GetFlag(FLAGS_planted) ? plantedEndDelay : Duration(0);
    LedgerTargets targets(settings);
    if (!startFleet(fleet)) {
        fleet.killAll();
        return { "the fleet does not serve" };
    }
    size_t runsBefore = targets.withLedger([](RunLedger& ledger) { return ledger.runs().size(); });
    StreamCallersSettings callerSettings { seed, {}, PlatformProcesses::callerPort };
    for (int number : fronts)
        callerSettings.entries.emplace_back("front-" + std::to_string(number), fleet.host(number));
    StreamCallers callers(callerSettings, targets);
    Faults faults(fleet, targets, seed);
    bool hasFaults = seed % 2 == 0;
    constexpr Duration pauseBetweenFaults = 1500ms;
    for (auto end = BootClock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds)); BootClock::now() < end;) {
        std::this_thread::sleep_for(std::min(pauseBetweenFaults, end - BootClock::now()));
        if (hasFaults && BootClock::now() < end)
            faults.playOne();
    }
    callers.stop();
    auto violations = targets.withLedger([&](RunLedger& ledger) { return ledger.judge(faults.disruptions, std::chrono::milliseconds(absl::GetFlag(FLAGS_bound_ms))); });
    violations.insert(violations.end(), callers.violations.begin(), callers.violations.end());
    const auto& counts = callers.counts;
    std::cout << "seed " << seed << ": versions " << seed % 3 << ", faults " << faults.disruptions.size() << ", streams " << counts.streams << ", whole " << counts.wholeStreams << ", continued " << counts.continuations << ", silent " << counts.silentContinuations
              << ", at once " << counts.doubleContinuations << ", charges " << counts.charges << ", paid " << counts.paidCharges << ", runs " << targets.withLedger([](RunLedger& ledger) { return ledger.runs().size(); }) - runsBefore
              << ", stopped " << countInLogs(fleet, "attempt superseded") << ", violations " << violations.size() << std::endl;
    if (!violations.empty() && !absl::GetFlag(FLAGS_planted)) {
        auto folder = absl::GetFlag(FLAGS_keep) + "/streams-" + std::to_string(seed);
        std::filesystem::create_directories(folder);
        std::filesystem::copy(fleet.folder(), folder, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    }
    fleet.killAll();
    return violations;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("runs the platform's programs while callers continue streams elsewhere, and judges what targets ran");
    absl::ParseCommandLine(argc, argv);
    bool isPlanted = absl::GetFlag(FLAGS_planted);
    size_t failed = 0;
    for (uint64_t seed = absl::GetFlag(FLAGS_first_seed); seed <= absl::GetFlag(FLAGS_last_seed); ++seed) {
        auto violations = play(seed);
        for (const auto& text : violations)
            std::cout << "  violation: " << text << "\n";
        failed += violations.empty() == isPlanted ? 1 : 0;
    }
    std::cout << "seeds that failed: " << failed << std::endl;
    return failed == 0 ? 0 : 1;
}
