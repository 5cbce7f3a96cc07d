#include "capacity/RecoveryTimes.h"

#include "briarhitch/core/Clock.h"
#include "capacity/CapacityFleet.h"

#include <algorithm>
#include <csignal>
#include <poll.h>
#include <stdexcept>

namespace briarhitch {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr auto pool = "model:small@north";
    constexpr int tries = 3;
    constexpr int ownerPolls = 100;
    constexpr int ownerPollMs = 100;
    constexpr int loadLeadMs = 2000;
    constexpr size_t entryCount = 3;
    constexpr size_t voterCount = 3;

    PlainRequest probe()
    {
        return { "POST", "/v1/chat/completions", { { "Authorization", "Bearer key-1" }, { "Content-Type", "application/json" } },
            R"({"model":"small","max_tokens":1,"messages":[{"role":"user","content":"probe"}]})" };
    }

    /** Seconds until a request that is sent now, and again when it is refused, is answered. */
    double timeToAnswer(uint16_t port)
    {
        auto begin = BootClock::now();
        while (callPlain(port, probe()).status != 200) {
            if (toSeconds(BootClock::now() - begin) > 60)
                throw std::runtime_error("no request was answered within 60 s of a failure");
            ::poll(nullptr, 0, 10);
        }
        return toSeconds(BootClock::now() - begin);
    }

    void makeFleet(CapacityFleet& fleet)
    {
        fleet.startControl(voterCount);
        fleet.growTo(entryCount);
        fleet.addCustomers(1, 2);
        for (int i = 0; i < 2; ++i)
            fleet.addEngine({ "--slots=64", "--step_time=5ms", "--step_growth=0" });
        fleet.addService();
        fleet.timeToForce();
        timeToAnswer(fleet.entryPort(0));
    }

    Json summarize(std::vector<double> times, const Json& loads)
    {
        std::sort(times.begin(), times.end());
        return { { "median_s", times[times.size() / 2] }, { "longest_s", times.back() }, { "load", loads } };
    }

    Json whatCallersMet(ChildProcess& load)
    {
        auto result = loadResult(load);
        return { { "offered", result.at("offered") }, { "answered", result.at("answered") }, { "wrong", result.at("wrong") },
            { "broken", result.at("broken") }, { "refused", result.at("refused") } };
    }

    /** Fails one process of a fresh fleet under load; returns seconds until service is back, and the callers' view. */
    template <class Fail>
    Json measureFailure(const std::string& programs, const std::string& folder, Fail&& failAndWait)
    {
        std::vector<double> times;
        Json loads = Json::array();
        for (int i = 0; i < tries; ++i) {
            CapacityFleet fleet(programs, folder);
            makeFleet(fleet);
            auto load = fleet.startLoad({ "--rate=40", "--time=10s", "--count=100000", "--max_tokens=10", "--longest_prompt=200" },
                { { "stream", 4 }, { "status", 4 }, { "charge", 2 } });
            ::poll(nullptr, 0, loadLeadMs);
            times.push_back(failAndWait(fleet));
            loads.push_back(whatCallersMet(*load));
        }
        return summarize(times, loads);
    }

    size_t waitOwner(CapacityFleet& fleet)
    {
        for (int i = 0; i < ownerPolls; ++i) {
            if (auto owner = fleet.ownerOf(pool))
                return *owner;
            ::poll(nullptr, 0, ownerPollMs);
        }
        throw std::runtime_error("the pool has no owner before the failure: " + fleet.status().dump());
    }

    double failOwner(CapacityFleet& fleet, int signal)
    {
        auto owner = waitOwner(fleet);
        fleet.entryProcess(owner).signal(signal);
        return timeToAnswer(fleet.entryPort((owner + 1) % entryCount));
    }

    double failLeader(CapacityFleet& fleet, int signal)
    {
        auto leader = fleet.leader();
        fleet.controlProcess(leader).signal(signal);
        auto begin = BootClock::now();
        fleet.acceptChange(leader);
        return toSeconds(BootClock::now() - begin);
    }

}

Json measureRecovery(const std::string& programs, const std::string& folder)
{
    Json result;
    result["owner_killed"] = measureFailure(programs, folder, [](CapacityFleet& fleet) { return failOwner(fleet, SIGKILL); });
    result["owner_frozen"] = measureFailure(programs, folder, [](CapacityFleet& fleet) { return failOwner(fleet, SIGSTOP); });
    result["leader_killed"] = measureFailure(programs, folder, [](CapacityFleet& fleet) { return failLeader(fleet, SIGKILL); });
    result["leader_frozen"] = measureFailure(programs, folder, [](CapacityFleet& fleet) { return failLeader(fleet, SIGSTOP); });
    return result;
}

}
