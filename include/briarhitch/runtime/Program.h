#pragma once

#include <functional>

namespace briarhitch {

/** What a program says of itself. */
struct ProgramInfo {
    const char* name;
    /** For --help: what it does, how it is called, its exit codes. */
    const char* usage;
    /** Part of the name of the source file whose flags --help lists. */
    const char* mainFile;
};

/** Exit code for wrong flags or settings, the same in all daemons. */
inline constexpr int exitWrongUsage = 2;

/** Parses the flags, runs the body and ends the process with its result. Arguments that are no flags are wrong usage. */
[[noreturn]] void runProgram(int argc, char** argv, const ProgramInfo& info, const std::function<int()>& body);

}
