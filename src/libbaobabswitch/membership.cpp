#include "membership.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace baobabswitch {

namespace {

constexpr std::array<std::string_view, 4> state_names{"none", "up", "leaving", "down"};

} // namespace

std::string_view target_state_name(target_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

bool is_newer(const member& entry, const member& other) {
    return std::tie(entry.incarnation, entry.version, entry.state) >
           std::tie(other.incarnation, other.version, other.state);
}

bool merge(member_table& table, const member& entry) {
    const auto [it, inserted] = table.try_emplace(entry.node, entry);
    if (inserted) {
        return true;
    }
    auto& known = it->second;
    const auto newest_config_version = entry.incarnation == known.incarnation
                                           ? std::max(entry.config_version, known.config_version)
                                           : entry.config_version;
    if (!is_newer(entry, known)) {
        if (entry.incarnation == known.incarnation) {
            known.config_version = newest_config_version;
        }
        return false;
    }
    known = entry;
    known.config_version = newest_config_version;
    return true;
}

nlohmann::json to_json(const member& entry) {
    return nlohmann::json::array({entry.node, entry.incarnation, entry.version, to_string(entry.address),
                                  entry.domain, entry.service, static_cast<int>(entry.state), entry.slots,
                                  entry.config_version});
}

result<member> member_from_json(const nlohmann::json& value) {
    try {
        member entry;
        value.at(0).get_to(entry.node);
        value.at(1).get_to(entry.incarnation);
        value.at(2).get_to(entry.version);
        auto address = parse_endpoint(value.at(3).get<std::string>());
        if (!address) {
            return address.error();
        }
        entry.address = address.value();
        value.at(4).get_to(entry.domain);
        value.at(5).get_to(entry.service);
        const auto state = value.at(6).get<std::size_t>();
        if (state >= state_names.size()) {
            return error{error_kind::malformed, "a member entry has an unknown state", "update this node"};
        }
        entry.state = static_cast<target_state>(state);
        value.at(7).get_to(entry.slots);
        value.at(8).get_to(entry.config_version);
        return entry;
    } catch (const nlohmann::json::exception& ex) {
        return error{error_kind::malformed, std::string{"a member entry is malformed: "} + ex.what(),
                     "check that all nodes run the same version"};
    }
}

} // namespace baobabswitch
