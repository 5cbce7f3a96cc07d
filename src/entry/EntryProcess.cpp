#include "briarhitch/entry/EntryProcess.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Loop.h"

#include <csignal>
#include <fstream>
#include <sstream>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Exit codes; they are listed in the usage texts. */
    constexpr int exitSuccess = 0;
    constexpr int exitFailure = 1;
    /** The code that a shell reports for a process terminated by SIGTERM. */
    constexpr int exitTerminated = 128 + SIGTERM;
    /** Interval at which the settings file is checked for changes. */
    constexpr Duration settingsCheckInterval = 2s;

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /** The loop, signal handling and settings file of the process; everything else is in EntryNode. */
    class EntryProcess {
    public:
        EntryProcess(EntrySettings settings, std::optional<EntryExtensions> extensions, std::string settingsPath)
            : node_(loop_, std::move(settings), std::move(extensions))
            , settingsPath_(std::move(settingsPath))
            , settingsText_(readFile(settingsPath_))
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
                log_.error(started.error().message);
                exitCode_ = exitFailure;
                loop_.stop();
                return;
            }
            loop_.onSignal(SIGTERM, [this] { onShutdownSignal(); });
            loop_.onSignal(SIGINT, [this] { onShutdownSignal(); });
            loop_.onSignal(SIGHUP, [this] { reloadIfChanged(); });
            loop_.spawn([this] {
                for (;;) {
                    sleepFor(loop_, settingsCheckInterval);
                    reloadIfChanged();
                }
            });
            log_.info("Serves.");
        }

        void reloadIfChanged()
        {
            auto text = readFile(settingsPath_);
            if (text == settingsText_)
                return;
            settingsText_ = text;
            auto settings = EntrySettings::fromText(text, settingsPath_);
            if (!settings) {
                log_.warning("Ignored the changed settings file, because it is invalid: " + settings.error().message);
                return;
            }
            node_.reload(*settings);
            log_.info("Reloaded the changed settings file.");
        }

        void onShutdownSignal()
        {
            if (isDraining_) {
                log_.warning("Terminating without draining, because of a second signal.");
                exitProcess(exitTerminated);
            }
            isDraining_ = true;
            loop_.spawn([this] {
                node_.drain();
                loop_.stop();
            });
        }

        Loop loop_;
        EntryNode node_;
        std::string settingsPath_;
        std::string settingsText_;
        Log log_ { "entry:" };
        bool isDraining_ { false };
        int exitCode_ { exitSuccess };
    };

}

int runEntryProcess(EntrySettings settings, std::optional<EntryExtensions> extensions, const std::string& settingsPath)
{
    // Never destroyed, because fibers still refer to its members when run() returns.
    auto* process = new EntryProcess(std::move(settings), std::move(extensions), settingsPath);
    return process->run();
}

}
