#pragma once

#include "httpmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace baobabswitch {

/// State of a node's local target, as exchanged between nodes.
enum class target_state {
    none,    ///< no target has announced itself
    up,      ///< accepts calls
    leaving, ///< accepts no new calls
    down,    ///< the node or its target doesn't respond
};

std::string_view target_state_name(target_state state);

/// One node and its target.
struct member {
    std::string node;
    std::uint64_t incarnation = 0; ///< start time of the process, ms since the epoch
    std::uint64_t version = 0;     ///< counts changes of this entry within an incarnation
    endpoint address;
    std::string domain;
    std::string service;
    target_state state = target_state::none;
    std::size_t slots = 0;
    /// Configuration version in force at the node. It only increases within an incarnation, and an increase
    /// doesn't raise the entry's version.
    std::uint64_t config_version = 0;
};

/// All known members, by node id.
using member_table = std::map<std::string, member, std::less<>>;

/// Orders entries of one node: by incarnation, then version, then state. The state settles the race between
/// a node's own change and another node's report that it is down, which may carry the same version.
bool is_newer(const member& entry, const member& other);

/// Stores the entry if it is newer than the known one; returns whether it did.
bool merge(member_table& table, const member& entry);

/// Returns the wire format [node, incarnation, version, address, domain, service, state, slots,
/// configuration version].
nlohmann::json to_json(const member& entry);
/// Fails with malformed when a field is missing or of the wrong type.
result<member> member_from_json(const nlohmann::json& value);

} // namespace baobabswitch
