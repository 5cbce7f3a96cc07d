#include "soak/SoakSchedule.h"

#include "briarhitch/core/Random.h"

#include <algorithm>
#include <array>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr std::array<const char*, faultKindCount> names { "kill_entry", "freeze_entry", "stop_entry", "kill_control", "freeze_control",
        "wipe_control", "silence_link", "cut_link", "cut_link_one_way", "delay_link", "reset_link", "break_link", "target_stalls",
        "target_resets", "target_refuses", "target_is_late", "target_limits_rate", "operator_change" };
    constexpr milliseconds shortestPause = 100ms;
    constexpr uint64_t pauseSpreadMs = 600;
    constexpr milliseconds shortestFault = 200ms;
    constexpr uint64_t faultSpreadMs = 3000;
    // A wiped voter and the loss of a second disk of three may lose what was acknowledged; no promise covers that.
    constexpr milliseconds quietAroundWipe = 6s;

    bool isOfControl(FaultKind kind)
    {
        return kind == FaultKind::KillControl || kind == FaultKind::FreezeControl || kind == FaultKind::WipeControl;
    }

}

std::vector<Fault> makeSchedule(uint64_t seed, std::chrono::seconds length)
{
    Random random(seed);
    std::vector<Fault> faults;
    for (milliseconds at = 500ms; at < length;) {
        Fault fault;
        fault.at = at;
        fault.kind = static_cast<FaultKind>(random.below(faultKindCount));
        fault.victim = static_cast<uint32_t>(random.next());
        fault.duration = shortestFault + milliseconds(random.below(faultSpreadMs));
        at += shortestPause + milliseconds(random.below(pauseSpreadMs));
        bool isTooClose = std::any_of(faults.begin(), faults.end(), [&](const Fault& other) {
            bool isWipeAround = isOfControl(fault.kind) && isOfControl(other.kind) && (fault.kind == FaultKind::WipeControl || other.kind == FaultKind::WipeControl);
            return isWipeAround && fault.at < other.at + other.duration + quietAroundWipe;
        });
        if (!isTooClose)
            faults.push_back(fault);
    }
    return faults;
}

std::string nameOf(FaultKind kind)
{
    return names.at(static_cast<size_t>(kind));
}

std::string describe(const Fault& fault)
{
    return std::to_string(fault.at.count()) + " ms: " + nameOf(fault.kind) + " " + std::to_string(fault.victim % 100) + " for " + std::to_string(fault.duration.count()) + " ms";
}

}
