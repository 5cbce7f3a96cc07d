#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace briarhitch {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** A named field of a log line. */
using LogField = std::pair<std::string, std::variant<std::string, int64_t, double>>;
using LogFields = std::vector<LogField>;

/**
 * Writes the log of the whole process to standard output, one JSON object per line, without blocking: lines that a slow
 * reader does not accept are dropped and counted. Every line contains `node`, if it is not empty.
 */
void setUpLogging(LogLevel minimum, const std::string& node = {});

/** Writes the log of a command line tool to standard error. */
void setUpToolLogging(LogLevel minimum);

/** The log of one component; every line names the component. Never log keys or prompts. */
class Log {
public:
    /** `prefix`: name of the component, for example "entry:". */
    explicit Log(std::string_view prefix);
    ~Log();

    void debug(std::string_view message) const;
    void info(std::string_view message) const;
    void warning(std::string_view message) const;
    void error(std::string_view message) const;
    /** Logs a decision or a change of the process's view of the system, with the inputs that caused it. */
    void event(std::string_view name, const LogFields& fields) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
