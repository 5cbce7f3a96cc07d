#pragma once

#include "briarhitch/core/Random.h"
#include "platform/process/PlatformProcesses.h"
#include "platform/soak/LedgerTargets.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace briarhitch::platform {

/** Kills, freezes and stops the processes of a fleet, one after the other; the same seed draws the same faults. */
class ProcessFaults {
public:
    static constexpr int fronts[] { 20, 21, 22 };
    static constexpr int poolOwners[] { 4, 5 };
    static constexpr int controls[] { 1, 2, 3 };

    ProcessFaults(PlatformProcesses& fleet, LedgerTargets& targets, uint64_t seed);

    /** Returns when the process runs again. */
    void playOne();

    /** What the faults so far excuse. */
    std::vector<Disruption> disruptions;

private:
    template <size_t count>
    int pick(const int (&numbers)[count])
    {
        return numbers[random_.below(count)];
    }

    /** `entry` is empty for a process of the core. */
    void disrupt(const std::string& entry, const std::function<void()>& action);
    void freeze(const std::string& name, bool isFront, std::chrono::milliseconds duration);
    void replaceFront(bool isPlanned, std::chrono::milliseconds duration);
    void replacePoolOwner(std::chrono::milliseconds duration);
    void replaceControl(std::chrono::milliseconds duration);

    PlatformProcesses& fleet_;
    LedgerTargets& targets_;
    Random random_;
};

}
