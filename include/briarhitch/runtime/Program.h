#pragma once

#include "briarhitch/core/Error.h"

#include <functional>
#include <iostream>
#include <string>

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

/**
 * Reads a daemon's settings file. On wrong usage or settings it says so and returns the exit code to end with, and 0 if
 * the file was only to be checked and is good.
 */
template <class Settings>
tl::expected<Settings, int> loadSettings(const ProgramInfo& info, const std::string& path, bool isCheckOnly)
{
    if (path.empty()) {
        std::cerr << info.name << ": --config is missing; see --help\n";
        return tl::unexpected(exitWrongUsage);
    }
    auto settings = Settings::fromFile(path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return tl::unexpected(exitWrongUsage);
    }
    if (isCheckOnly) {
        std::cout << path << ": good\n";
        return tl::unexpected(0);
    }
    return std::move(*settings);
}

}
