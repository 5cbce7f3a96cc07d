#include "briarhitch/control/ControlProcess.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Program.h"
#include "briarhitch/settings/ControlSettings.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file, JSON with comments; see examples/control.json");
ABSL_FLAG(bool, check_config, false, "validate the settings file, print its errors, and exit");
ABSL_FLAG(bool, rebuild_as_sole_voter, false,
    "make the voter of this stopped process the only one, keeping all data of its data folder, and exit; only after permanent loss of "
    "a majority of the disks, see docs/consensus.md");

namespace briarhitch {
namespace {

    /** Exit codes, as the usage text lists them. */
    constexpr int exitSuccess = 0;
    constexpr int exitFailure = 1;

    constexpr auto usageText = "a voter of the control log and the operators' HTTP API of a Briarhitch fleet.\n\n"
                               "usage: briarhitch-control --config FILE [--check_config | --rebuild_as_sole_voter]\n\n"
                               "SIGTERM and SIGINT end the process once running requests are complete; a second one terminates it.\n"
                               "exit codes: 0 ended by a signal, or the settings are valid; 1 an address cannot be bound or the\n"
                               "data folder cannot be used; 2 invalid flags or settings";
    constexpr ProgramInfo program { "briarhitch-control", usageText, "ControlMain" };

    int runMain()
    {
        auto settings = loadSettings<ControlSettings>(program, absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_check_config));
        if (!settings)
            return settings.error();
        if (absl::GetFlag(FLAGS_rebuild_as_sole_voter)) {
            auto rebuilt = RaftNode::rebuildAsSoleVoter(settings->dataFolder, settings->node);
            std::cerr << (rebuilt ? "node " + std::to_string(settings->node.value()) + " is the only voter now" : rebuilt.error().message) << "\n";
            return rebuilt ? exitSuccess : exitFailure;
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
