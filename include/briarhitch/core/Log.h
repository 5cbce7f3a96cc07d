#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace briarhitch {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Sends the log of the whole process to standard error. */
void setUpLogging(LogLevel minimum);

/** The log of one part of the system; every line starts with the part's prefix. Never pass keys or prompts. */
class Log {
public:
    /** For example "entry:". */
    explicit Log(std::string_view prefix);
    ~Log();

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warning(std::string_view sentence) const;
    void error(std::string_view sentence) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
