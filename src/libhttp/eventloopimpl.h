#pragma once

#include "eventloop.h"

#include <optional>
#include <utility> // Asio 1.74 uses std::exchange without including it

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace baobabswitch {

/// Gives the network code of this library access to the Asio context; not part of the public interface.
struct event_loop::impl {
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{context};
    std::optional<boost::asio::signal_set> reload_signals;
    std::function<void(std::string_view)> on_unexpected_error;
};

} // namespace baobabswitch
