#include "briarhitch/core/Log.h"
#include "briarhitch/entry/EntryNode.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/runtime/Program.h"

#include <absl/flags/flag.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file, JSON with comments; see examples/entry.json");
ABSL_FLAG(bool, check_config, false, "check the settings file, print what is wrong with it, and exit");

namespace briarhitch {
namespace {

    /** Exit codes, as the usage text lists them. */
    constexpr int exitGood = 0;
    constexpr int exitFailed = 1;
    /** As a shell reports a process that SIGTERM ended. */
    constexpr int exitCutShort = 128 + SIGTERM;

    constexpr auto usageText = "an entry of a Briarhitch fleet: takes callers' requests and owns pools.\n\n"
                               "usage: briarhitch-entry --config FILE [--check_config]\n\n"
                               "SIGTERM and SIGINT drain: no new work, work in flight ends, pools are handed over. A second one ends\n"
                               "the process at once.\n"
                               "exit codes: 0 drained, or the settings are good; 1 an address cannot be bound; 2 wrong flags or\n"
                               "settings; 143 ended at once";
    constexpr ProgramInfo program { "briarhitch-entry", usageText, "EntryMain" };

    /** The running process; only its loop and its signals. */
    class EntryProcess {
    public:
        explicit EntryProcess(EntrySettings settings)
            : node_(loop_, std::move(settings))
        {
        }

        int run()
        {
            loop_.spawn([this] { start(); });
            loop_.run();
            return exitCode_;
        }

    private:
        void start()
        {
            auto started = node_.start();
            if (!started) {
                console_.error(started.error().message);
                exitCode_ = exitFailed;
                loop_.stop();
                return;
            }
            loop_.onSignal(SIGTERM, [this] { onEndSignal(); });
            loop_.onSignal(SIGINT, [this] { onEndSignal(); });
            console_.info("Serves.");
        }

        void onEndSignal()
        {
            if (isEnding_) {
                console_.warning("Ends at once.");
                exitProcess(exitCutShort);
            }
            isEnding_ = true;
            loop_.spawn([this] {
                node_.drain();
                loop_.stop();
            });
        }

        Loop loop_;
        EntryNode node_;
        Log console_ { "entry:" };
        bool isEnding_ { false };
        int exitCode_ { exitGood };
    };

    int runMain()
    {
        auto settings = loadSettings<EntrySettings>(program, absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_check_config));
        if (!settings)
            return settings.error();
        setUpLogging(settings->logLevel);
        // Fibers still wait on the parts of the process when run() returns, so it is never taken apart.
        auto* process = new EntryProcess(std::move(*settings));
        return process->run();
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, briarhitch::program, briarhitch::runMain);
}
