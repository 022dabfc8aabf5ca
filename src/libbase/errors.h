#pragma once

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace baobabswitch {

/// Kinds of error reported to callers, operators and peers; error_name() returns the name used on the wire.
enum class error_kind {
    unknown_kind,
    unknown_service,
    bad_timeout,
    key_required,
    bad_key,
    key_owner_gone,
    key_owner_unreachable,
    unknown_parent,
    spoofed_header,
    too_large,
    malformed,
    shed,
    overloaded,
    expired,
    no_target,
    draining,
    target_failed,
    target_garbage,
    cancelled,
    timeout,
    retry_budget_spent,
    bad_mac,
    unauthorized,
    bad_settings,
    bad_document,
    conflict,
    outcome_unknown,
    store_unavailable,
    not_found,
    internal,
};

/// Returns the name of an error kind as it appears in responses, logs and metrics, for example
/// "key-required".
std::string_view error_name(error_kind kind);

/// An error: its kind, a message, and in `remedy` the action that resolves it.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;
};

/// Formats an error as "kind: message; remedy".
std::string describe(const error& err);

template <class Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace baobabswitch
