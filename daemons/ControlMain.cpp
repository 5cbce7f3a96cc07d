#include "briarhitch/control/ControlProcess.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Program.h"
#include "briarhitch/settings/ControlSettings.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file, JSON with comments; see examples/control.json");
ABSL_FLAG(bool, check_config, false, "check the settings file, print what is wrong with it, and exit");
ABSL_FLAG(bool, rebuild_as_sole_voter, false,
    "make the voter of this stopped process the only one, with all that its data folder has, and exit; only after a majority of the "
    "disks is lost for good, see docs/consensus.md");

namespace briarhitch {
namespace {

    /** Exit codes, as the usage text lists them. */
    constexpr int exitGood = 0;
    constexpr int exitFailed = 1;

    constexpr auto usageText = "a voter of the control log and the operators' HTTP API of a Briarhitch fleet.\n\n"
                               "usage: briarhitch-control --config FILE [--check_config | --rebuild_as_sole_voter]\n\n"
                               "SIGTERM and SIGINT end the process after the running requests; a second one ends it at once.\n"
                               "exit codes: 0 ended by a signal, or the settings are good; 1 an address cannot be bound or the\n"
                               "data folder cannot be used; 2 wrong flags or settings";
    constexpr ProgramInfo program { "briarhitch-control", usageText, "ControlMain" };

    int runMain()
    {
        auto settings = loadSettings<ControlSettings>(program, absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_check_config));
        if (!settings)
            return settings.error();
        if (absl::GetFlag(FLAGS_rebuild_as_sole_voter)) {
            auto rebuilt = RaftNode::rebuildAsSoleVoter(settings->dataFolder, settings->node);
            std::cerr << (rebuilt ? "node " + std::to_string(settings->node.value()) + " is the only voter now" : rebuilt.error().message) << "\n";
            return rebuilt ? exitGood : exitFailed;
        }
        setUpLogging(settings->logLevel, "control-" + std::to_string(settings->node.value()));
        runControlProcess(std::move(*settings), {});
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, briarhitch::program, briarhitch::runMain);
}
