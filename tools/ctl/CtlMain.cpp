#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Loop.h"
#include "ctl/CtlCommands.h"
#include "ctl/CtlOptions.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, servers, {}, "operators' addresses of the control voters: HOST:PORT,HOST:PORT,...");
ABSL_FLAG(std::string, key, "", "operator key; better kept in a --profile file, because other users can see flags");
ABSL_FLAG(std::string, profile, "", "JSON file with \"servers\" (array of HOST:PORT) and \"operator_key\"; flags take precedence");
ABSL_FLAG(bool, json, false, "print the server's JSON");
ABSL_FLAG(std::string, change_id, "", "id of the change; give the printed id of an earlier try to send that change again");
ABSL_FLAG(int64_t, expected_version, -1, "version of the object that the change is based on, 0 to create it; -1 takes the present one");
ABSL_FLAG(std::string, file, "", "file with a contract or a target in JSON; - for standard input");
ABSL_FLAG(std::string, entry, "", "HOST:PORT of an entry, for explain");
ABSL_FLAG(std::vector<std::string>, logs, {}, "log files of entries and control processes, for explain");
ABSL_FLAG(double, duration_s, 0, "time until a rollout should be complete, in seconds");
ABSL_FLAG(double, wait_s, 5, "time to wait for a change to be in force on all nodes, 0 to 30 s");
ABSL_FLAG(double, timeout_s, 10, "time to look for a leader, in seconds");

namespace briarhitch {
namespace {

    constexpr auto usageText = "changes and shows a Briarhitch fleet.\n\n"
                               "usage: briarhitch-ctl [FLAGS] COMMAND\n\n"
                               "  customer set NAME --file FILE      create or change a contract\n"
                               "  customer show NAME                 show a contract\n"
                               "  customer list                      list all contracts\n"
                               "  customer wind-down NAME STEP       no_new_work, drained, exported, then erased\n"
                               "  customer export NAME               print the contract and the run records of a drained customer\n"
                               "  target add NAME --file FILE        add or change a target; it becomes active\n"
                               "  target show NAME\n"
                               "  target drain NAME                  send it no new work\n"
                               "  target retire NAME                 take it out for good\n"
                               "  target list\n"
                               "  suspect list                       requests and prompt parts that are blocked because they crash targets\n"
                               "  suspect clear SUSPECT              let it run again\n"
                               "  rollout start SERVICE VERSION --duration_s N\n"
                               "                                     move a service to the targets of a software version\n"
                               "  rollout status [SERVICE]           state, counts and the reasons of the last decisions\n"
                               "  change show CHANGE_ID              the answer that a change got\n"
                               "  voter add|remove NODE             change the members of the control log\n"
                               "  status                             leader, nodes, pools, repairs under way\n"
                               "  explain REQUEST_ID --entry HOST:PORT   why a request was routed, delayed or refused\n"
                               "  explain REQUEST_ID --logs FILE,FILE    the same from the logs of several processes\n\n"
                               "A change prints its id first. If the answer is lost, send the same command with --change_id ID:\n"
                               "it is applied at most once.\n"
                               "exit codes: 0 done, and in force on every node; 1 refused; 2 wrong usage; 3 no voter answered,\n"
                               "a change may have been accepted; 4 accepted, but not yet applied by every node";

    CtlOptions optionsFromFlags()
    {
        CtlOptions options;
        options.servers = absl::GetFlag(FLAGS_servers);
        options.operatorKey = absl::GetFlag(FLAGS_key);
        options.isJson = absl::GetFlag(FLAGS_json);
        options.changeId = absl::GetFlag(FLAGS_change_id);
        options.file = absl::GetFlag(FLAGS_file);
        options.entry = absl::GetFlag(FLAGS_entry);
        options.logs = absl::GetFlag(FLAGS_logs);
        options.durationSeconds = absl::GetFlag(FLAGS_duration_s);
        options.waitSeconds = absl::GetFlag(FLAGS_wait_s);
        options.timeoutSeconds = absl::GetFlag(FLAGS_timeout_s);
        if (auto version = absl::GetFlag(FLAGS_expected_version); version >= 0)
            options.expectedVersion = static_cast<uint64_t>(version);
        return options;
    }

    CtlExit runMain(const std::vector<std::string>& words)
    {
        auto options = optionsFromFlags();
        if (auto profile = absl::GetFlag(FLAGS_profile); !profile.empty()) {
            if (auto read = readProfile(profile, options); !read) {
                std::cerr << read.error().message << "\n";
                return CtlExit::WrongUsage;
            }
        }
        Loop loop;
        CtlCommands commands(loop, options);
        CtlExit exit = CtlExit::Good;
        loop.spawn([&] {
            exit = commands.run(words);
            loop.stop();
        });
        loop.run();
        // Idle connections may still have fibers, which must not run once the loop is gone.
        std::cout.flush();
        exitProcess(static_cast<int>(exit));
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(briarhitch::usageText);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("briarhitch-ctl " BRIARHITCH_VERSION "\n"); };
    // All flags of this program are in this file; the library's own are of no use to operators.
    usage.contains_helpshort_flags = [](absl::string_view file) { return file.find("CtlMain") != absl::string_view::npos; };
    usage.contains_help_flags = usage.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(usage);
    auto arguments = absl::ParseCommandLine(argc, argv);
    briarhitch::setUpToolLogging(briarhitch::LogLevel::Warning);
    std::vector<std::string> words(arguments.begin() + 1, arguments.end());
    briarhitch::runMain(words);
}
