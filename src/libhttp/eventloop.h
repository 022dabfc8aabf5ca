#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace baobabswitch {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using std::chrono::milliseconds;

/// Handle that cancels a scheduled function; copies refer to the same timer.
class timer_handle {
public:
    struct state;

    timer_handle() = default;
    explicit timer_handle(std::weak_ptr<state> timer);

    /// Cancels the timer. If its delay has already elapsed, the function may still run. Event loop thread
    /// only.
    void cancel();

private:
    std::weak_ptr<state> timer_;
};

/// Single-threaded event loop that runs all network I/O and timers of a process.
class event_loop {
public:
    struct impl;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs until stop() is called; may be called again after that.
    void run();
    /// Ends run(); may be called from any thread.
    void stop();
    /// Runs a function on the loop's thread; may be called from any thread.
    void post(std::function<void()> fn);
    /// Runs a function once after a delay. Event loop thread only, or before run().
    timer_handle schedule(duration delay, std::function<void()> fn);
    /// Runs a function repeatedly for the lifetime of the loop. The period is the delay before the first run
    /// and from the end of each run to the next.
    void schedule_every(duration period, std::function<void()> fn);
    /// Calls the function once, on the first SIGTERM or SIGINT.
    void on_termination_signal(std::function<void()> fn);

    /// Sets the function that is told what an exception from any function or I/O handler on the loop says;
    /// the loop goes on after that. Without it, run() throws the exception.
    void on_unexpected_error(std::function<void(std::string_view)> fn);

    /// Calls the function on each SIGHUP.
    void on_reload_signal(std::function<void()> fn);

    impl& implementation();

private:
    std::unique_ptr<impl> impl_;
};

} // namespace baobabswitch
