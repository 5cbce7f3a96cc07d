#include "briarhitch/core/Log.h"
#include "briarhitch/entry/EntryProcess.h"
#include "briarhitch/runtime/Program.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, config, "", "settings file, JSON with comments; see examples/entry.json");
ABSL_FLAG(bool, check_config, false, "validate the settings file, print its errors, and exit");

namespace briarhitch {
namespace {

    constexpr auto usageText = "an entry of a Briarhitch fleet: serves callers' requests and owns pools.\n\n"
                               "usage: briarhitch-entry --config FILE [--check_config]\n\n"
                               "SIGTERM and SIGINT drain: no new requests, those in flight complete, pools are handed over. A second\n"
                               "one terminates the process at once.\n"
                               "exit codes: 0 drained, or the settings are valid; 1 an address cannot be bound; 2 invalid flags or\n"
                               "settings; 143 terminated at once";
    constexpr ProgramInfo program { "briarhitch-entry", usageText, "EntryMain" };

    int runMain()
    {
        auto settings = loadSettings<EntrySettings>(program, absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_check_config));
        if (!settings)
            return settings.error();
        setUpLogging(settings->logLevel, "entry-" + std::to_string(settings->node.value()));
        return runEntryProcess(std::move(*settings), std::nullopt, absl::GetFlag(FLAGS_config));
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, briarhitch::program, briarhitch::runMain);
}
