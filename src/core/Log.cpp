#include "briarhitch/core/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace briarhitch {

namespace {

    constexpr auto layoutPattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n";

    void initializeOnce()
    {
        // Never destroyed: fibers may log until the process ends.
        static auto* initializer = new log4cplus::Initializer;
        (void)initializer;
    }

    log4cplus::LogLevel toLibraryLevel(LogLevel level)
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

}

void setUpLogging(LogLevel minimum)
{
    initializeOnce();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(layoutPattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLibraryLevel(minimum));
}

struct Log::Impl {
    std::string prefix;
    log4cplus::Logger logger;

    void write(log4cplus::LogLevel level, std::string_view sentence) const
    {
        if (logger.isEnabledFor(level))
            logger.log(level, prefix + " " + std::string(sentence));
    }
};

Log::Log(std::string_view prefix)
{
    initializeOnce();
    impl_ = std::make_unique<Impl>(Impl { std::string(prefix), log4cplus::Logger::getInstance("briarhitch") });
}

Log::~Log() = default;

void Log::debug(std::string_view sentence) const { impl_->write(log4cplus::DEBUG_LOG_LEVEL, sentence); }
void Log::info(std::string_view sentence) const { impl_->write(log4cplus::INFO_LOG_LEVEL, sentence); }
void Log::warning(std::string_view sentence) const { impl_->write(log4cplus::WARN_LOG_LEVEL, sentence); }
void Log::error(std::string_view sentence) const { impl_->write(log4cplus::ERROR_LOG_LEVEL, sentence); }

}
