#pragma once

#include "eventloop.h"

#include <functional>
#include <future>
#include <memory>
#include <optional>

namespace baobabswitch {

/// Maximum time that another thread waits for the event loop before the node is reported as not alive.
inline constexpr milliseconds loop_timeout{1000};

/// Runs a function on the event loop and returns its result, or nothing if the loop doesn't run it within
/// `loop_timeout`.
template <class Result>
std::optional<Result> run_on_loop(event_loop& loop, std::function<Result()> fn) {
    auto promise = std::make_shared<std::promise<Result>>();
    auto answer = promise->get_future();
    loop.post([promise, fn = std::move(fn)] { promise->set_value(fn()); });
    if (answer.wait_for(loop_timeout) != std::future_status::ready) {
        return std::nullopt;
    }
    return answer.get();
}

} // namespace baobabswitch
