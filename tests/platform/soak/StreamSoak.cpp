#include "platform/soak/StreamSoak.h"

#include "platform/soak/ProcessFaults.h"
#include "platform/soak/StreamCallers.h"

#include <filesystem>
#include <iostream>
#include <thread>

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr Duration startTimeout = 60s;
    constexpr Duration pollInterval = 50ms;
    constexpr Duration pauseBetweenFaults = 1500ms;
    constexpr uint64_t namedVersionsCount = 3;

    Json routingDocument()
    {
        auto route = [](const char* prefix, const char* kind, const char* service, bool isResumable) {
            return Json { { "name", prefix }, { "host", "a.example" }, { "pathPrefix", prefix }, { "kind", kind }, { "timeoutMs", 20000 }, { "targetLatencyMs", 1000 }, { "service", service }, { "maxAttempts", 3 }, { "resumable", isResumable } };
        };
        return { { "version", 7 }, { "routes", { route("/charge/", "unsafe", "shop", false), route("/query/", "streaming", "llm", true) } },
            { "services", { { { "name", "shop" } }, { { "name", "llm" }, { "engine", { { "slots", 12 } } } } } }, { "tenants", { { { "name", "harbour" }, { "apiKeys", { "key" } } } } } };
    }

    /** Whether the entry passes requests on to a target; one in a few loses its answer. */
    bool isServing(HttpClient& client, const PlatformProcesses& fleet, int front, const std::string& requestId)
    {
        auto settings = PlatformProcesses::callSettings(fleet.host(front), PlatformProcesses::callerPort, "POST", "/charge/1", "", PlatformProcesses::requestHeaders(requestId, "key", 1000));
        auto response = fetch(client, settings);
        return response && (response->status == 200 || response->status == 502);
    }

    /** Starts all processes, and waits until the entries serve; false if they do not. */
    bool startFleet(PlatformProcesses& fleet)
    {
        for (int number : ProcessFaults::controls)
            fleet.startControl(number, true);
        for (int number : ProcessFaults::poolOwners)
            fleet.startPoolOwner(number);
        for (int number : ProcessFaults::fronts)
            fleet.startFront(number);
        Loop loop;
        HttpClient client(loop);
        auto end = BootClock::now() + startTimeout;
        loop.spawn([&] {
            auto waitFor = [&](const std::function<bool()>& condition) {
                while (!condition() && BootClock::now() < end)
                    sleepFor(loop, pollInterval);
            };
            waitFor([&] { return fleet.callOperatorApi(client, 1, "PUT", routingDocument().dump()).status == 200; });
            int warmUps = 0;
            for (int front : ProcessFaults::fronts)
                waitFor([&] { return isServing(client, fleet, front, "warm-up-" + std::to_string(++warmUps)); });
            loop.stop();
        });
        loop.run();
        return BootClock::now() < end;
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

    void keepLogs(const PlatformProcesses& fleet, const std::string& folder)
    {
        std::filesystem::create_directories(folder);
        std::filesystem::copy(fleet.folder(), folder, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    }

}

std::vector<std::string> playStreamSoak(uint64_t seed, const StreamSoakSettings& settings)
{
    PlatformProcesses fleet(settings.binFolder);
    LedgerTargetsSettings targetsSettings;
    targetsSettings.seed = seed;
    targetsSettings.addressPrefix = fleet.addressPrefix();
    targetsSettings.port = PlatformProcesses::platformPort;
    targetsSettings.versions = static_cast<NamedVersions>(seed % namedVersionsCount);
    targetsSettings.endDelay = settings.endDelay;
    LedgerTargets targets(targetsSettings);
    if (!startFleet(fleet)) {
        fleet.killAll();
        return { "the fleet does not serve" };
    }
    StreamCallersSettings callersSettings { seed, {}, PlatformProcesses::callerPort };
    for (int number : ProcessFaults::fronts)
        callersSettings.entries.emplace_back("front-" + std::to_string(number), fleet.host(number));
    StreamCallers callers(callersSettings, targets);
    ProcessFaults faults(fleet, targets, seed);
    bool hasFaults = seed % 2 == 0;
    for (auto end = BootClock::now() + settings.length; BootClock::now() < end;) {
        std::this_thread::sleep_for(std::min(pauseBetweenFaults, end - BootClock::now()));
        if (hasFaults && BootClock::now() < end)
            faults.playOne();
    }
    callers.stop();
    auto [violations, runs] = targets.withLedger([&](RunLedger& ledger) { return std::pair { ledger.judge(faults.disruptions, settings.bound), ledger.runs().size() }; });
    violations.insert(violations.end(), callers.violations.begin(), callers.violations.end());
    const auto& counts = callers.counts;
    std::cout << "seed " << seed << ": versions " << seed % namedVersionsCount << ", faults " << faults.disruptions.size() << ", streams " << counts.streams << ", whole " << counts.wholeStreams << ", continued " << counts.continuations << ", silent " << counts.silentContinuations
              << ", at once " << counts.doubleContinuations << ", charges " << counts.charges << ", paid " << counts.paidCharges << ", runs " << runs
              << ", stopped " << countInLogs(fleet, "attempt superseded") << ", violations " << violations.size() << std::endl;
    if (!violations.empty() && !settings.keepFolder.empty())
        keepLogs(fleet, settings.keepFolder + "/streams-" + std::to_string(seed));
    fleet.killAll();
    return violations;
}

}
