#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace briarhitch {

enum class FaultKind : uint8_t {
    KillEntry,
    FreezeEntry,
    StopEntry,
    KillControl,
    FreezeControl,
    WipeControl,
    SilenceLink,
    CutLink,
    CutLinkOneWay,
    DelayLink,
    ResetLink,
    BreakLink,
    TargetStalls,
    TargetResets,
    TargetRefuses,
    TargetIsLate,
    TargetLimitsRate,
    OperatorChange,
};
constexpr size_t faultKindCount = 18;

struct Fault {
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds duration { 0 };
    FaultKind kind { FaultKind::KillEntry };
    /** Picks the victim among those of its kind. */
    uint32_t victim { 0 };
};

/** Several faults a second, many of them at the same time; the same seed gives the same schedule. */
std::vector<Fault> makeSchedule(uint64_t seed, std::chrono::seconds length);
std::string nameOf(FaultKind kind);
std::string describe(const Fault& fault);

}
