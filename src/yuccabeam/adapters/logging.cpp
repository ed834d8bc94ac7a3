#include "yuccabeam/adapters/logging.hpp"

#include "yuccabeam/values/key_value_text.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace yuccabeam::adapters {

namespace {

constexpr char const* pattern =
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p component=%c %m%n";

} // namespace

void start_logging(log_options const& options) {
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    log4cxx::AppenderPtr appender;
    if (options.file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    else
        appender =
            std::make_shared<log4cxx::FileAppender>(layout, options.file);
    auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(options.level));
}

void log_change(log_level level, std::string_view component,
                std::string_view event, log_fields const& fields) {
    std::string line = "event=" + std::string(event);
    for (auto const& [key, value] : fields)
        line.append(" ").append(key).append("=").append(quoted_value(value));
    auto logger = log4cxx::Logger::getLogger(std::string(component));
    switch (level) {
    case log_level::info:
        LOG4CXX_INFO(logger, line);
        break;
    case log_level::warn:
        LOG4CXX_WARN(logger, line);
        break;
    case log_level::error:
        LOG4CXX_ERROR(logger, line);
        break;
    }
}

} // namespace yuccabeam::adapters
