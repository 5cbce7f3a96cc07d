#include "platform/soak/ProcessFaults.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;

    enum class FaultKind : uint8_t {
        KillFront,
        FreezeFront,
        StopFront,
        KillPoolOwner,
        FreezePoolOwner,
        KillControl,
        BreakStreams,
    };
    constexpr uint64_t faultKindCount = 7;
    constexpr std::chrono::milliseconds shortestFault = 300ms;
    constexpr uint64_t faultSpreadMs = 1500;
    constexpr std::chrono::seconds plannedStopTimeout = 10s;

}

ProcessFaults::ProcessFaults(PlatformProcesses& fleet, LedgerTargets& targets, uint64_t seed)
    : fleet_(fleet)
    , targets_(targets)
    , random_(seed)
{
}

void ProcessFaults::playOne()
{
    auto duration = shortestFault + std::chrono::milliseconds(random_.below(faultSpreadMs));
    switch (static_cast<FaultKind>(random_.below(faultKindCount))) {
    case FaultKind::KillFront:
        replaceFront(false, duration);
        break;
    case FaultKind::FreezeFront:
        freeze("front-" + std::to_string(pick(fronts)), true, duration);
        break;
    case FaultKind::StopFront:
        replaceFront(true, duration);
        break;
    case FaultKind::KillPoolOwner:
        replacePoolOwner(duration);
        break;
    case FaultKind::FreezePoolOwner:
        freeze("pools-" + std::to_string(pick(poolOwners)), false, duration);
        break;
    case FaultKind::KillControl:
        replaceControl(duration);
        break;
    case FaultKind::BreakStreams:
        targets_.breakStreams();
        break;
    }
}

void ProcessFaults::disrupt(const std::string& entry, const std::function<void()>& action)
{
    auto begin = BootClock::now();
    action();
    disruptions.push_back({ entry, begin, BootClock::now() });
    std::cout << "  " << (entry.empty() ? "core" : entry) << " disrupted for " << toMs(disruptions.back().end - begin) << " ms\n";
}

void ProcessFaults::freeze(const std::string& name, bool isFront, std::chrono::milliseconds duration)
{
    disrupt(isFront ? name : "", [&] {
        fleet_.at(name).signal(SIGSTOP);
        std::this_thread::sleep_for(duration);
        fleet_.at(name).signal(SIGCONT);
    });
}

void ProcessFaults::replaceFront(bool isPlanned, std::chrono::milliseconds duration)
{
    auto number = pick(fronts);
    auto name = "front-" + std::to_string(number);
    disrupt(name, [&] {
        if (isPlanned) {
            fleet_.at(name).signal(SIGTERM);
            fleet_.at(name).waitExit(plannedStopTimeout);
        }
        fleet_.at(name).kill();
        std::this_thread::sleep_for(duration);
        fleet_.startFront(number);
    });
}

void ProcessFaults::replacePoolOwner(std::chrono::milliseconds duration)
{
    auto number = pick(poolOwners);
    disrupt("", [&] {
        fleet_.at("pools-" + std::to_string(number)).kill();
        std::this_thread::sleep_for(duration);
        fleet_.startPoolOwner(number);
    });
}

void ProcessFaults::replaceControl(std::chrono::milliseconds duration)
{
    auto number = pick(controls);
    disrupt("", [&] {
        fleet_.at("control-" + std::to_string(number)).kill();
        std::this_thread::sleep_for(duration);
        fleet_.startControl(number, false);
    });
}

}
