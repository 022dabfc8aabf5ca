#include "targetannouncement.h"

#include "jsontext.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

namespace {

constexpr std::int64_t max_announced_slots = 10'000;
constexpr std::int64_t max_announced_connections = 100'000;

error bad_announcement(std::string_view field, std::string remedy) {
    return {error_kind::malformed, "the announcement's \"" + std::string{field} + "\" is missing or invalid",
            std::move(remedy)};
}

/// Returns an integer field of an announcement, `absent` if it is missing, or nothing if it is invalid.
std::optional<std::size_t> announced_number(const nlohmann::json& body, const char* name, std::size_t absent,
                                            std::int64_t greatest) {
    const auto it = body.find(name);
    if (it == body.end()) {
        return absent;
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
        it->get<std::uint64_t>() > static_cast<std::uint64_t>(greatest)) {
        return std::nullopt;
    }
    return it->get<std::size_t>();
}

bool is_service_name(std::string_view text) {
    return !text.empty() && text.size() <= 64 &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

} // namespace

result<local_target> parse_announcement(const node_state& node, const std::string& text) {
    const auto body = parse_json_or_discard(text);
    if (!body.is_object()) {
        return error{error_kind::malformed, "the announcement is not a JSON object",
                     "send {\"service\", \"address\", \"slots\", \"connections\", \"state\"}"};
    }
    const auto field = [&](const char* name) {
        const auto it = body.find(name);
        return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
    };
    local_target it;
    it.service = field("service");
    if (!is_service_name(it.service)) {
        return bad_announcement("service", "send 1 to 64 of the characters a-z, 0-9 and -");
    }
    const auto address = parse_endpoint(field("address"));
    if (!address || address.value().port == 0 ||
        (!address.value().host.starts_with("127.") && address.value().host != node.settings.listen.host &&
         address.value().host != node.settings.advertise.host)) {
        return bad_announcement("address", "send an IPv4 address of this VM with a port");
    }
    it.address = address.value();
    const auto slots = announced_number(body, "slots", 1, max_announced_slots);
    if (!slots) {
        return bad_announcement("slots", "send a whole number from 1 to 10000");
    }
    constexpr std::size_t default_connections = 16;
    const auto connections =
        announced_number(body, "connections", default_connections, max_announced_connections);
    if (!connections) {
        return bad_announcement("connections", "send a whole number from 1 to 100000");
    }
    it.slots = *slots;
    it.connections = *connections;
    const auto state = body.contains("state") ? field("state") : "up";
    if (state != "up" && state != "leaving") {
        return bad_announcement("state", "send \"up\" or \"leaving\"");
    }
    it.state = state == "up" ? target_state::up : target_state::leaving;
    return it;
}

} // namespace baobabswitch
