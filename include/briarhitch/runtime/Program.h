#pragma once

#include "briarhitch/core/Error.h"

#include <functional>
#include <iostream>
#include <string>

namespace briarhitch {

/** Name and help of a program. */
struct ProgramInfo {
    const char* name;
    /** Text of --help: what the program does, its arguments and exit codes. */
    const char* usage;
    /** Substring of the path of the source file whose flags --help lists. */
    const char* mainFile;
};

/** Exit code of all daemons for invalid flags or settings. */
inline constexpr int exitWrongUsage = 2;

/** Parses the flags, runs the body and ends the process with its result. Positional arguments are a usage error. */
[[noreturn]] void runProgram(int argc, char** argv, const ProgramInfo& info, const std::function<int()>& body);

/**
 * Reads a daemon's settings file. Prints an error and returns the exit code to end with if the path is missing or the
 * settings are invalid. With isCheckOnly, valid settings return exit code 0.
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
