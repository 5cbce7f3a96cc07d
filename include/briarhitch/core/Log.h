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

/** A named value of a log line. */
using LogField = std::pair<std::string, std::variant<std::string, int64_t, double>>;
using LogFields = std::vector<LogField>;

/**
 * Sends the log of the whole process to standard output, one JSON object a line, never blocking: what a slow reader
 * does not take is dropped and counted. `node` stands in every line.
 */
void setUpLogging(LogLevel minimum, const std::string& node = {});

/** Sends the log of a command line tool to standard error. */
void setUpToolLogging(LogLevel minimum);

/** The log of one part of the system; every line names the part. Never pass keys or prompts. */
class Log {
public:
    /** For example "entry:". */
    explicit Log(std::string_view prefix);
    ~Log();

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warning(std::string_view sentence) const;
    void error(std::string_view sentence) const;
    /** A decision or a change of what the process believes, with the inputs that decided it. */
    void event(std::string_view name, const LogFields& fields) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
