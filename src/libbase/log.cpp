#include "log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <memory>
#include <vector>

namespace baobabswitch {

namespace {

log4cxx::LevelPtr to_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    case log_level::info:
        break;
    }
    return log4cxx::Level::getInfo();
}

} // namespace

void set_up_logging(log_level min_level) {
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(std::make_shared<log4cxx::JSONLayout>(),
                                                               log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(to_level(min_level));
}

log_level parse_log_level(std::string_view name) {
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

void log(log_level level, std::string_view component, std::string_view message, log_fields fields) {
    const auto logger = log4cxx::Logger::getLogger(std::string{component});
    const auto native = to_level(level);
    if (!logger->isEnabledFor(native)) {
        return;
    }
    std::vector<std::unique_ptr<log4cxx::MDC>> context;
    context.reserve(fields.size());
    for (const auto& [name, value] : fields) {
        context.push_back(std::make_unique<log4cxx::MDC>(std::string{name}, value));
    }
    logger->forcedLog(native, std::string{message}, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace baobabswitch
