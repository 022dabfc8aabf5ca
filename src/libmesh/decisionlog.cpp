#include "decisionlog.h"

#include "wallclock.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <memory>

#include <poll.h>
#include <unistd.h>

namespace baobabswitch {

namespace {

/// Rate limit of each event. With about 30 events this bounds the log to about 60 KB/s.
constexpr std::uint64_t lines_per_second = 10;

log4cxx::LoggerPtr decision_logger() {
    static const auto logger = [] {
        auto it = log4cxx::Logger::getLogger("decisions");
        it->setAdditivity(false);
        it->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
            std::make_shared<log4cxx::PatternLayout>("%m%n"), log4cxx::ConsoleAppender::getSystemOut()));
        it->setLevel(log4cxx::Level::getInfo());
        return it;
    }();
    return logger;
}

bool is_stdout_writable() {
    pollfd it{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

} // namespace

decision_log::decision_log(std::string node) : node_(std::move(node)) {}

bool decision_log::should_write(std::string_view event) {
    auto found = counts_.find(event);
    if (found == counts_.end()) {
        found = counts_.emplace(std::string{event}, event_count{}).first;
    }
    if (found->second.written < lines_per_second) {
        ++found->second.written;
        return true;
    }
    ++found->second.suppressed;
    return false;
}

void decision_log::write(std::string_view event, const nlohmann::json& fields) {
    if (should_write(event)) {
        emit(event, fields);
    }
}

void decision_log::write_always(std::string_view event, const nlohmann::json& fields) {
    emit(event, fields);
}

void decision_log::report_suppressed() {
    nlohmann::json suppressed;
    for (auto& [event, count] : counts_) {
        if (count.suppressed > 0) {
            suppressed[event] = count.suppressed;
        }
        count = {};
    }
    if (!suppressed.is_null() || dropped_ > 0) {
        const auto dropped = dropped_;
        dropped_ = 0;
        emit("log-suppressed", {{"lines", suppressed}, {"dropped", dropped}});
    }
}

void decision_log::emit(std::string_view event, const nlohmann::json& fields) {
    if (!is_stdout_writable()) {
        ++dropped_;
        return;
    }
    nlohmann::json line{{"time_ms", wall_clock_ms()}, {"node", node_}, {"event", event}};
    line.update(fields);
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    decision_logger()->forcedLog(log4cxx::Level::getInfo(), text,
                                 log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace baobabswitch
