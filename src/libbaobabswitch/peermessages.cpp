#include "peermessages.h"

#include "jsontext.h"
#include "thresholds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace baobabswitch {

namespace {

constexpr std::string_view internal_prefix = "Baobab-Internal-";
constexpr std::uint64_t weight_scale = 100; ///< weights are transmitted in hundredths
constexpr double max_weight = 100;

/// Limits for the values in a peer's request. The durations and retry counts that a configuration may set are
/// below these limits.
constexpr std::uint64_t max_hop_timeout_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_hop_grant = 100;
constexpr std::uint64_t max_hop_depth = 64;

/// Hop-by-hop headers, which are not forwarded.
constexpr std::array<std::string_view, 7> connection_headers{
    "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

/// Serializes the internal headers for the MAC.
std::string signed_headers(const http_headers& headers) {
    std::string buf;
    for (const auto& [name, value] : headers) {
        if (has_header_prefix({{name, value}}, internal_prefix)) {
            buf += name + ":" + value + "\n";
        }
    }
    return buf;
}

bool header_flag(const http_headers& headers, std::string_view name) {
    return header_or_empty(headers, name) == "1";
}

std::optional<std::uint64_t> header_number(const http_headers& headers, std::string_view name) {
    return parse_number(header_or_empty(headers, name));
}

outcome_kind outcome_from_name(std::string_view name) {
    if (name == "done") {
        return outcome_kind::done;
    }
    if (name == "not-run") {
        return outcome_kind::not_run;
    }
    return name == "promised" ? outcome_kind::promised : outcome_kind::unknown;
}

unsigned http_status(const call_outcome& outcome) {
    if (outcome.kind == outcome_kind::done) {
        return outcome.response.status;
    }
    if (outcome.kind == outcome_kind::promised) {
        return 202;
    }
    const auto cause = outcome.cause ? outcome.cause->kind : error_kind::internal;
    switch (cause) {
    case error_kind::unknown_kind:
    case error_kind::unknown_service:
    case error_kind::bad_timeout:
    case error_kind::bad_key:
    case error_kind::spoofed_header:
    case error_kind::malformed:
    case error_kind::unknown_parent:
        return 400;
    case error_kind::key_required:
        return 428;
    case error_kind::too_large:
        return 413;
    case error_kind::bad_mac:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::timeout:
        return outcome.kind == outcome_kind::unknown ? 504 : 503;
    default:
        return outcome.kind == outcome_kind::unknown ? 502 : 503;
    }
}

} // namespace

std::string error_body(const error& cause) {
    return nlohmann::json{
        {"error", error_name(cause.kind)}, {"message", cause.message}, {"remedy", cause.remedy}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

error_kind error_from_name(std::string_view name) {
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n) {
        const auto kind = static_cast<error_kind>(n);
        if (error_name(kind) == name) {
            return kind;
        }
    }
    return error_kind::internal;
}

http_request make_peer_request(const node_state& node, std::string method, std::string path,
                               http_headers headers, std::string body) {
    const auto signed_text = signed_headers(headers);
    const auto incarnation = std::to_string(node.incarnation);
    const std::array<std::string_view, 6> parts{method,      path,        node.settings.node_id,
                                                incarnation, signed_text, body};
    const auto mac = sign(node.settings.keys, parts);
    headers.emplace_back("Baobab-Node", node.settings.node_id);
    headers.emplace_back("Baobab-Incarnation", incarnation);
    headers.emplace_back("Baobab-Key-Id", mac.key_id);
    headers.emplace_back("Baobab-Mac", mac.code);
    return {std::move(method), std::move(path), std::move(headers), std::move(body)};
}

result<void> verify_peer_request(const node_state& node, const http_request& request) {
    const auto signed_text = signed_headers(request.headers);
    const std::array<std::string_view, 6> parts{request.method,
                                                request.target,
                                                header_or_empty(request.headers, "Baobab-Node"),
                                                header_or_empty(request.headers, "Baobab-Incarnation"),
                                                signed_text,
                                                request.body};
    const message_mac mac{std::string{header_or_empty(request.headers, "Baobab-Key-Id")},
                          std::string{header_or_empty(request.headers, "Baobab-Mac")}};
    return verify(node.settings.keys, mac, parts);
}

http_request make_hop_request(const node_state& node, const call_info& info, unsigned grant,
                              milliseconds timeout) {
    http_headers headers{
        {"Baobab-Internal-Call", info.call},
        {"Baobab-Internal-Request", info.request},
        {"Baobab-Internal-Kind", info.kind},
        {"Baobab-Internal-Importance", std::to_string(info.importance)},
        {"Baobab-Internal-Idempotent", info.idempotent ? "1" : "0"},
        {"Baobab-Internal-Cancellable", info.cancellable ? "1" : "0"},
        {"Baobab-Internal-Timeout-Ms", std::to_string(timeout.count())},
        {"Baobab-Internal-Grant", std::to_string(grant)},
        {"Baobab-Internal-Depth", std::to_string(info.depth)},
        {"Baobab-Internal-Weight", std::to_string(std::lround(info.weight * weight_scale))},
    };
    return make_peer_request(node, "POST", "/n/call/" + info.service + info.path, std::move(headers),
                             info.body);
}

http_request make_key_request(const node_state& node, const call_info& info, const std::string& key,
                              milliseconds timeout) {
    http_headers headers{
        {"Baobab-Internal-Target", info.service + info.path},
        {"Baobab-Internal-Kind", info.kind},
        {"Baobab-Internal-Timeout-Ms", std::to_string(timeout.count())},
    };
    return make_peer_request(node, "POST", "/n/key/" + key, std::move(headers), info.body);
}

bool is_complete_answer_to(const call_outcome& outcome, std::string_view call_id) {
    const auto length = header_number(outcome.response.headers, "Content-Length");
    return outcome.response_call == call_id && (!length || *length == outcome.response.body.size());
}

void strip_reserved_headers(http_headers& headers) {
    std::erase_if(headers, [](const auto& it) {
        return has_header_prefix({it}, "Baobab-") || has_header_prefix({it}, "Retry-After-Ms") ||
               std::any_of(connection_headers.begin(), connection_headers.end(), [&](std::string_view name) {
                   return it.first.size() == name.size() && has_header_prefix({it}, name);
               });
    });
}

result<call_info> parse_hop_request(const http_request& request, time_point now) {
    const auto& headers = request.headers;
    const auto importance = header_number(headers, "Baobab-Internal-Importance");
    const auto timeout = header_number(headers, "Baobab-Internal-Timeout-Ms");
    const auto grant = header_number(headers, "Baobab-Internal-Grant");
    const auto depth = header_number(headers, "Baobab-Internal-Depth");
    constexpr std::string_view prefix = "/n/call/";
    const auto rest = std::string_view{request.target}.substr(prefix.size());
    const auto slash = rest.find('/');
    call_info info;
    info.call = header_or_empty(headers, "Baobab-Internal-Call");
    info.request = header_or_empty(headers, "Baobab-Internal-Request");
    info.kind = header_or_empty(headers, "Baobab-Internal-Kind");
    if (!importance || *importance > max_importance || !timeout || !grant || !depth ||
        *timeout > max_hop_timeout_ms || *grant > max_hop_grant || *depth > max_hop_depth ||
        slash == std::string_view::npos || info.call.empty() || info.request.empty()) {
        return error{error_kind::malformed, "a call from another node has a missing or invalid header",
                     "check that all nodes run the same version"};
    }
    info.service = rest.substr(0, slash);
    info.path = rest.substr(slash);
    info.importance = static_cast<importance_level>(*importance);
    info.idempotent = header_flag(headers, "Baobab-Internal-Idempotent");
    info.cancellable = header_flag(headers, "Baobab-Internal-Cancellable");
    info.depth = static_cast<unsigned>(*depth);
    info.weight = std::clamp(
        static_cast<double>(header_number(headers, "Baobab-Internal-Weight").value_or(weight_scale)) /
            weight_scale,
        1.0, max_weight);
    info.grant = static_cast<unsigned>(*grant);
    info.deadline = now + milliseconds{*timeout};
    info.body = request.body;
    return info;
}

http_response make_hop_response(call_outcome outcome) {
    const auto status = http_status(outcome);
    http_response response;
    if (outcome.kind == outcome_kind::done || outcome.kind == outcome_kind::promised) {
        response = std::move(outcome.response);
    } else if (outcome.cause) {
        response.headers.emplace_back("Content-Type", "application/json");
        response.body = error_body(*outcome.cause);
    }
    response.status = status;
    response.headers.emplace_back("Baobab-Outcome", outcome_name(outcome.kind));
    response.headers.emplace_back("Baobab-Internal-Spent", std::to_string(outcome.spent));
    response.headers.emplace_back("Baobab-Internal-Threshold", format_thresholds(outcome.thresholds));
    response.headers.emplace_back("Baobab-Internal-Wait-Ms", std::to_string(outcome.wait.count()));
    if (outcome.kind == outcome_kind::not_run) {
        response.headers.emplace_back("Baobab-Internal-Not-Run", "1");
    }
    return response;
}

call_outcome parse_hop_response(http_response response) {
    call_outcome outcome;
    outcome.kind = outcome_from_name(header_or_empty(response.headers, "Baobab-Outcome"));
    if (outcome.kind == outcome_kind::not_run && !header_flag(response.headers, "Baobab-Internal-Not-Run")) {
        outcome.kind = outcome_kind::unknown;
    }
    outcome.spent =
        static_cast<unsigned>(header_number(response.headers, "Baobab-Internal-Spent").value_or(0));
    outcome.thresholds = parse_thresholds(header_or_empty(response.headers, "Baobab-Internal-Threshold"));
    const auto wait = header_number(response.headers, "Baobab-Internal-Wait-Ms").value_or(0);
    outcome.wait = milliseconds{std::min(wait, max_hop_timeout_ms)};
    outcome.response_call = header_or_empty(response.headers, "Baobab-Internal-Call");
    if (outcome.kind != outcome_kind::done && outcome.kind != outcome_kind::promised) {
        const auto body = parse_json_or_discard(response.body);
        error cause{error_kind::internal, "the target's node reported no cause", "see that node's log"};
        if (body.is_object()) {
            const auto text = [&](const char* name) {
                const auto it = body.find(name);
                return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
            };
            cause.kind = error_from_name(text("error"));
            cause.message = text("message");
            cause.remedy = text("remedy");
        }
        outcome.cause = std::move(cause);
        return outcome;
    }
    std::erase_if(response.headers, [](const auto& it) {
        return has_header_prefix({it}, internal_prefix) || has_header_prefix({it}, "Baobab-Outcome");
    });
    outcome.response = std::move(response);
    return outcome;
}

http_response make_caller_response(call_outcome outcome, std::string_view request_id) {
    const auto wait = outcome.wait;
    const bool not_run = outcome.kind == outcome_kind::not_run;
    auto response = make_hop_response(std::move(outcome));
    std::erase_if(response.headers, [](const auto& it) { return has_header_prefix({it}, internal_prefix); });
    response.headers.emplace_back("Baobab-Request", std::string{request_id});
    if (not_run) {
        constexpr milliseconds min_retry_wait{100};
        response.headers.emplace_back("Retry-After-Ms",
                                      std::to_string(std::max(wait, min_retry_wait).count()));
    }
    return response;
}

} // namespace baobabswitch
