#pragma once

#include "httpmessage.h"
#include "objectstore.h"

#include <memory>

namespace baobabswitch {

struct platform_client_options {
    /// Bound on connecting, and on each of sending and receiving of all calls but watches. A platform slower
    /// than this counts as unavailable.
    milliseconds timeout{2000};
    /// Added to the wait of a watch to get its receive timeout.
    milliseconds watch_margin{2000};
};

/// Returns an object store that calls the platform over HTTP (design §3.4). May be used from any thread:
/// calls are made one at a time, and a waiting watch blocks only other watches. A write fails with
/// store_unavailable only when the platform certainly did nothing: no connection was made, or the platform
/// answered 429 or 503. A write that was sent and has no usable answer fails with outcome_unknown.
std::unique_ptr<object_store> make_platform_client(const endpoint& platform,
                                                   platform_client_options options = {});

} // namespace baobabswitch
