#include "soak/SoakFleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <cstdio>
#include <iostream>

ABSL_FLAG(uint64_t, first_seed, 1, "first seed");
ABSL_FLAG(uint64_t, last_seed, 1, "last seed");
ABSL_FLAG(int, seconds, 10, "length of each seed's schedule");
ABSL_FLAG(uint32_t, entries, 3, "entries of the fleet, 1 to 100");
ABSL_FLAG(bool, shrink, false, "drops faults from a failing schedule while it still fails");
ABSL_FLAG(std::string, keep, "soak-logs", "folder for the logs of seeds that fail");

namespace {

using namespace briarhitch;

SoakResult playOnce(uint64_t seed, const std::vector<Fault>& schedule, std::chrono::seconds length)
{
    SoakFleet fleet(std::clamp(absl::GetFlag(FLAGS_entries), 1U, 100U));
    auto result = fleet.play(seed, schedule, length);
    if (!result.violations.empty())
        fleet.copyLogsTo(absl::GetFlag(FLAGS_keep) + "/seed-" + std::to_string(seed));
    return result;
}

/** The faults without which the schedule no longer fails. */
std::vector<Fault> shrink(uint64_t seed, std::vector<Fault> schedule, std::chrono::seconds length)
{
    for (size_t part = schedule.size() / 2; part > 0; part /= 2) {
        for (size_t begin = 0; begin + part <= schedule.size();) {
            auto shorter = schedule;
            auto first = shorter.begin() + static_cast<std::ptrdiff_t>(begin);
            shorter.erase(first, first + static_cast<std::ptrdiff_t>(part));
            if (playOnce(seed, shorter, length).violations.empty())
                begin += part;
            else
                schedule = std::move(shorter);
        }
    }
    return schedule;
}

}

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    absl::SetProgramUsageMessage("runs a fleet of real processes under seeded faults and judges what callers were told");
    absl::ParseCommandLine(argc, argv);
    std::chrono::seconds length(absl::GetFlag(FLAGS_seconds));
    std::array<size_t, faultKindCount> injected {};
    size_t failed = 0;
    for (uint64_t seed = absl::GetFlag(FLAGS_first_seed); seed <= absl::GetFlag(FLAGS_last_seed); ++seed) {
        auto schedule = makeSchedule(seed, length);
        auto result = playOnce(seed, schedule, length);
        std::cout << "seed " << seed << ": " << schedule.size() << " faults, asked " << result.asked << ", answered " << result.answered << ", charges " << result.charges
                  << ", told not run " << result.promisedNotRun << ", changes " << result.acknowledgedChanges
                  << ", calls under a rate limit " << result.rateLimitedCalls << " of " << static_cast<int>(result.rateLimitedCapacity) << ", deadly requests at targets " << result.deadlyArrivals << " (" << result.boundedDeadlyArrivals << " bounded)"
                  << ", violations " << result.violations.size() << std::endl;
        for (size_t kind = 0; kind < faultKindCount; ++kind)
            injected[kind] += result.injected[kind];
        if (result.violations.empty())
            continue;
        ++failed;
        for (const auto& text : result.violations)
            std::cout << "  violation: " << text << "\n";
        std::cout << "  again: briarhitch-soak --first_seed=" << seed << " --last_seed=" << seed << " --seconds=" << length.count() << "\n";
        if (absl::GetFlag(FLAGS_shrink))
            schedule = shrink(seed, schedule, length);
        for (const auto& fault : schedule)
            std::cout << "  " << describe(fault) << "\n";
    }
    std::cout << "injected:";
    for (size_t kind = 0; kind < faultKindCount; ++kind)
        std::cout << " " << nameOf(static_cast<FaultKind>(kind)) << "=" << injected[kind];
    std::cout << "\nseeds that failed: " << failed << std::endl;
    return failed == 0 ? 0 : 1;
}
