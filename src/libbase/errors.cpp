#include "errors.h"

#include <array>
#include <utility>

namespace baobabswitch {

namespace {

constexpr std::array names{
    std::pair{error_kind::unknown_kind, std::string_view{"unknown-kind"}},
    std::pair{error_kind::unknown_service, std::string_view{"unknown-service"}},
    std::pair{error_kind::bad_timeout, std::string_view{"bad-timeout"}},
    std::pair{error_kind::key_required, std::string_view{"key-required"}},
    std::pair{error_kind::bad_key, std::string_view{"bad-key"}},
    std::pair{error_kind::key_owner_gone, std::string_view{"key-owner-gone"}},
    std::pair{error_kind::key_owner_unreachable, std::string_view{"key-owner-unreachable"}},
    std::pair{error_kind::unknown_parent, std::string_view{"unknown-parent"}},
    std::pair{error_kind::spoofed_header, std::string_view{"spoofed-header"}},
    std::pair{error_kind::too_large, std::string_view{"too-large"}},
    std::pair{error_kind::malformed, std::string_view{"malformed"}},
    std::pair{error_kind::shed, std::string_view{"shed"}},
    std::pair{error_kind::overloaded, std::string_view{"overloaded"}},
    std::pair{error_kind::expired, std::string_view{"expired"}},
    std::pair{error_kind::no_target, std::string_view{"no-target"}},
    std::pair{error_kind::draining, std::string_view{"draining"}},
    std::pair{error_kind::target_failed, std::string_view{"target-failed"}},
    std::pair{error_kind::target_garbage, std::string_view{"target-garbage"}},
    std::pair{error_kind::cancelled, std::string_view{"cancelled"}},
    std::pair{error_kind::timeout, std::string_view{"timeout"}},
    std::pair{error_kind::retry_budget_spent, std::string_view{"retry-budget-spent"}},
    std::pair{error_kind::bad_mac, std::string_view{"bad-mac"}},
    std::pair{error_kind::unauthorized, std::string_view{"unauthorized"}},
    std::pair{error_kind::bad_settings, std::string_view{"bad-settings"}},
    std::pair{error_kind::bad_document, std::string_view{"bad-document"}},
    std::pair{error_kind::conflict, std::string_view{"conflict"}},
    std::pair{error_kind::outcome_unknown, std::string_view{"outcome-unknown"}},
    std::pair{error_kind::store_unavailable, std::string_view{"store-unavailable"}},
    std::pair{error_kind::not_found, std::string_view{"not-found"}},
    std::pair{error_kind::internal, std::string_view{"internal"}},
};

} // namespace

std::string_view error_name(error_kind kind) {
    for (const auto& [it, name] : names) {
        if (it == kind) {
            return name;
        }
    }
    return "internal";
}

std::string describe(const error& err) {
    std::string text{error_name(err.kind)};
    text += ": " + err.message;
    if (!err.remedy.empty()) {
        text += "; " + err.remedy;
    }
    return text;
}

} // namespace baobabswitch
