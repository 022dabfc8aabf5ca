#pragma once

#include "configstore.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// A domain's watcher writes its status at least every 10 s, so an older one means that the domain is cut off
/// from the platform; the margin allows for slow writes and clock skew.
inline constexpr std::chrono::seconds status_stale_after{15};

/// Rollout state of the accepted configuration in one failure domain.
enum class rollout_phase {
    in_force, ///< all live nodes have it
    pending,  ///< some live node has an older version
    cut_off,  ///< the domain's status is stale; the version is pending until the domain returns
};

/// Returns "in force", "pending" or "cut off".
std::string_view rollout_phase_name(rollout_phase phase);

struct domain_rollout {
    std::string domain;
    rollout_phase phase = rollout_phase::pending;
    std::uint64_t least_version = 0; ///< lowest in force at a live node, by the last status
    std::uint64_t greatest_version = 0;
    std::string last_status; ///< UTC time of the last status; shown as the start of being cut off
    std::size_t members = 0;
    std::map<std::string, std::size_t> targets; ///< number by state, for example "up"
};

struct rollout {
    audit_entry accepted; ///< the newest version; version 0 while there is none
    std::vector<domain_rollout> domains;
};

/// Evaluates the value of one object status/<domain>. Fails with malformed.
result<domain_rollout> evaluate_domain_status(std::string_view value, std::uint64_t accepted_version,
                                              std::chrono::system_clock::time_point now);

/// Reads what is accepted and what is in force in each domain. Blocks; it makes one read for each domain and
/// two more. Fails as read_config() does, but not when there is no configuration.
result<rollout> read_rollout(object_store& store, std::chrono::system_clock::time_point now);

/// Reports whether every domain that is not cut off has the version, or a higher one, in force.
bool in_force_where_reachable(const rollout& state, std::uint64_t version);

nlohmann::json to_json(const rollout& state);

} // namespace baobabswitch
