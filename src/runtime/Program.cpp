#include "briarhitch/runtime/Program.h"

#include "briarhitch/runtime/Loop.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <iostream>
#include <string>

namespace briarhitch {

void runProgram(int argc, char** argv, const ProgramInfo& info, const std::function<int()>& body)
{
    absl::SetProgramUsageMessage(info.usage);
    absl::FlagsUsageConfig usage;
    usage.version_string = [name = std::string(info.name)] { return name + " " BRIARHITCH_VERSION "\n"; };
    // Flags of the libraries are of no use to operators.
    usage.contains_helpshort_flags = [file = std::string(info.mainFile)](absl::string_view path) { return path.find(file) != absl::string_view::npos; };
    usage.contains_help_flags = usage.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(usage);
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        std::cerr << info.name << ": takes flags only; see --help\n";
        exitProcess(exitWrongUsage);
    }
    int code = body();
    std::cout.flush();
    exitProcess(code);
}

}
