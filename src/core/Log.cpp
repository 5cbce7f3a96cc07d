#include "briarhitch/core/Log.h"

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/LineWriter.h"

#include <functional>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace briarhitch {

namespace {

    using Json = nlohmann::ordered_json;

    void initializeOnce()
    {
        // Intentionally never destroyed: fibers may log until the process ends.
        static auto* initializer = new log4cplus::Initializer;
        (void)initializer;
    }

    std::string& nodeName()
    {
        static auto* name = new std::string;
        return *name;
    }

    log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    const char* levelName(log4cplus::LogLevel level)
    {
        if (level >= log4cplus::ERROR_LOG_LEVEL)
            return "error";
        if (level >= log4cplus::WARN_LOG_LEVEL)
            return "warning";
        return level >= log4cplus::INFO_LOG_LEVEL ? "info" : "debug";
    }

    /** Writes messages unchanged; they are complete JSON lines. */
    class LineAppender : public log4cplus::Appender {
    public:
        LineAppender()
            : writer_(STDOUT_FILENO, LineRateLimit {}, &BootClock::now)
        {
        }
        ~LineAppender() override { destructorImpl(); }

        void close() override
        {
            writer_.flush();
            closed = true;
        }

    protected:
        void append(const log4cplus::spi::InternalLoggingEvent& event) override { writer_.write(event.getMessage()); }

    private:
        LineWriter writer_;
    };

}

void setUpLogging(LogLevel minimum, const std::string& node)
{
    initializeOnce();
    nodeName() = node;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr(new LineAppender));
    root.setLogLevel(toLog4cplusLevel(minimum));
}

void setUpToolLogging(LogLevel minimum)
{
    initializeOnce();
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)));
    root.setLogLevel(toLog4cplusLevel(minimum));
}

struct Log::Impl {
    std::string component;
    log4cplus::Logger logger;

    void write(log4cplus::LogLevel level, const std::function<void(Json&)>& fill) const
    {
        if (!logger.isEnabledFor(level))
            return;
        Json line;
        line["unix_ms"] = wallClockMs();
        line["level"] = levelName(level);
        if (!nodeName().empty())
            line["node"] = nodeName();
        line["part"] = component;
        fill(line);
        logger.log(level, line.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

    void write(log4cplus::LogLevel level, std::string_view message) const
    {
        write(level, [&](Json& line) { line["message"] = std::string(message); });
    }
};

Log::Log(std::string_view prefix)
{
    initializeOnce();
    if (prefix.ends_with(':'))
        prefix.remove_suffix(1);
    impl_ = std::make_unique<Impl>(Impl { std::string(prefix), log4cplus::Logger::getInstance("briarhitch") });
}

Log::~Log() = default;

void Log::debug(std::string_view message) const { impl_->write(log4cplus::DEBUG_LOG_LEVEL, message); }
void Log::info(std::string_view message) const { impl_->write(log4cplus::INFO_LOG_LEVEL, message); }
void Log::warning(std::string_view message) const { impl_->write(log4cplus::WARN_LOG_LEVEL, message); }
void Log::error(std::string_view message) const { impl_->write(log4cplus::ERROR_LOG_LEVEL, message); }

void Log::event(std::string_view name, const LogFields& fields) const
{
    impl_->write(log4cplus::INFO_LOG_LEVEL, [&](Json& line) {
        line["event"] = std::string(name);
        for (const auto& [field, value] : fields)
            std::visit([&, key = field](const auto& known) { line[key] = known; }, value);
    });
}

}
