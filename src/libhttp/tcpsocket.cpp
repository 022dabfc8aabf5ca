#include "tcpsocket.h"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobabswitch {

namespace {

constexpr int keepalive_probe_count = 2;

void set_integer_option(int socket, int level, int name, int value) {
    // If setting the option fails, a dead peer is still detected, later, by the timeout of the exchange.
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

pending_input peek_input(int socket) {
    char buf = 0;
    const auto n = ::recv(socket, &buf, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return pending_input::bytes;
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? pending_input::none : pending_input::end;
}

void set_dead_peer_timeouts(int socket, milliseconds user_timeout, std::chrono::seconds probe_interval) {
    if (user_timeout.count() > 0) {
        set_integer_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout.count()));
    }
    if (probe_interval.count() > 0) {
        const auto seconds = static_cast<int>(probe_interval.count());
        set_integer_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_integer_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
        set_integer_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
        set_integer_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probe_count);
    }
}

} // namespace baobabswitch
