#include "eventloop.h"

#include "eventloopimpl.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace asio = boost::asio;

namespace baobabswitch {

struct timer_handle::state {
    explicit state(asio::io_context& context) : timer(context) {}
    asio::steady_timer timer;
};

timer_handle::timer_handle(std::weak_ptr<state> timer) : timer_(std::move(timer)) {}

void timer_handle::cancel() {
    if (const auto it = timer_.lock()) {
        it->timer.cancel();
    }
}

event_loop::event_loop() : impl_(std::make_unique<impl>()) {}

event_loop::~event_loop() = default;

void event_loop::run() {
    const auto guard = asio::make_work_guard(impl_->context);
    for (bool ended = false; !ended;) {
        try {
            impl_->context.run();
            ended = true;
        } catch (const std::exception& ex) {
            if (!impl_->on_unexpected_error) {
                throw;
            }
            impl_->on_unexpected_error(ex.what());
        }
    }
    impl_->context.restart();
}

void event_loop::stop() {
    impl_->context.stop();
}

void event_loop::post(std::function<void()> fn) {
    asio::post(impl_->context, std::move(fn));
}

timer_handle event_loop::schedule(duration delay, std::function<void()> fn) {
    auto it = std::make_shared<timer_handle::state>(impl_->context);
    it->timer.expires_after(delay);
    it->timer.async_wait([it, fn = std::move(fn)](boost::system::error_code ec) {
        if (!ec) {
            fn();
        }
    });
    return timer_handle{it};
}

void event_loop::schedule_every(duration period, std::function<void()> fn) {
    schedule(period, [this, period, fn = std::move(fn)] {
        try {
            fn();
        } catch (...) {
            schedule_every(period, fn); // An error in one run does not prevent the next.
            throw;
        }
        schedule_every(period, fn);
    });
}

void event_loop::on_unexpected_error(std::function<void(std::string_view)> fn) {
    impl_->on_unexpected_error = std::move(fn);
}

void event_loop::on_termination_signal(std::function<void()> fn) {
    impl_->signals.add(SIGTERM);
    impl_->signals.add(SIGINT);
    impl_->signals.async_wait([fn = std::move(fn)](boost::system::error_code ec, int) {
        if (!ec) {
            fn();
        }
    });
}

void event_loop::on_reload_signal(std::function<void()> fn) {
    if (!impl_->reload_signals) {
        impl_->reload_signals.emplace(impl_->context, SIGHUP);
    }
    impl_->reload_signals->async_wait([this, fn = std::move(fn)](boost::system::error_code ec, int) {
        if (!ec) {
            on_reload_signal(fn);
            fn();
        }
    });
}

event_loop::impl& event_loop::implementation() {
    return *impl_;
}

} // namespace baobabswitch
