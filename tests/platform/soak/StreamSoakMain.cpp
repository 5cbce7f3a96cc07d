#include "platform/soak/StreamSoak.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(uint64_t, first_seed, 1, "first seed; odd seeds have no faults of processes");
ABSL_FLAG(uint64_t, last_seed, 1, "last seed");
ABSL_FLAG(int, seconds, 12, "time for which callers ask");
ABSL_FLAG(int, bound_ms, 400, "how long two targets may run a stream at once");
ABSL_FLAG(bool, planted, false, "targets work on after their connections are closed; succeeds if each seed finds this");
ABSL_FLAG(std::string, keep, "soak-logs", "folder for the logs of seeds that fail");

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("runs the platform's programs while callers continue streams elsewhere, and judges what targets ran; BRIARHITCH_BIN_DIR selects other programs");
    absl::ParseCommandLine(argc, argv);
    constexpr std::chrono::seconds plantedEndDelay(3);
    bool isPlanted = absl::GetFlag(FLAGS_planted);
    const auto* binFolder = std::getenv("BRIARHITCH_BIN_DIR");
    briarhitch::platform::StreamSoakSettings settings;
    settings.binFolder = binFolder ? binFolder : BRIARHITCH_BIN_DIR;
    settings.keepFolder = isPlanted ? "" : absl::GetFlag(FLAGS_keep);
    settings.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    settings.bound = std::chrono::milliseconds(absl::GetFlag(FLAGS_bound_ms));
    settings.endDelay = isPlanted ? briarhitch::Duration(plantedEndDelay) : briarhitch::Duration(0);
    size_t failed = 0;
    for (uint64_t seed = absl::GetFlag(FLAGS_first_seed); seed <= absl::GetFlag(FLAGS_last_seed); ++seed) {
        auto violations = briarhitch::platform::playStreamSoak(seed, settings);
        for (const auto& text : violations)
            std::cout << "  violation: " << text << "\n";
        failed += violations.empty() == isPlanted ? 1 : 0;
    }
    std::cout << "seeds that failed: " << failed << std::endl;
    return failed == 0 ? 0 : 1;
}
