#include "rules.h"

#include "jsontext.h"

#include <algorithm>
#include <set>

#include <arpa/inet.h>

namespace baobabswitch {

namespace {

constexpr unsigned address_bits = 32;

std::uint32_t mask_of(unsigned bits) {
    return bits == 0 ? 0 : ~std::uint32_t{0} << (address_bits - bits);
}

bool parse_address(const std::string& text, std::uint32_t& address) {
    in_addr raw{};
    if (inet_pton(AF_INET, text.c_str(), &raw) != 1) {
        return false;
    }
    address = ntohl(raw.s_addr);
    return true;
}

fault_rule rule_from_json(const nlohmann::json& value) {
    static const std::set<std::string> known{
        "source",         "destination",  "port",       "delay_ms",    "jitter_ms",      "cut",
        "lose_to",        "lose_back",    "cut_answer", "half_answer", "garbage_answer", "cut_after_request",
        "endless_answer", "repeat_answer"};
    for (const auto& [name, it] : value.items()) {
        if (!known.contains(name)) {
            throw std::invalid_argument{"\"" + name + "\" is not a known member of a rule"};
        }
    }
    const auto source = parse_prefix(value.value("source", "0.0.0.0/0"));
    const auto destination = parse_prefix(value.value("destination", "0.0.0.0/0"));
    if (!source || !destination) {
        throw std::invalid_argument{(source ? destination : source).error().message};
    }
    fault_rule rule;
    rule.source = source.value();
    rule.destination = destination.value();
    rule.port = value.value("port", rule.port);
    rule.delay_ms = value.value("delay_ms", rule.delay_ms);
    rule.jitter_ms = value.value("jitter_ms", rule.jitter_ms);
    rule.cut = value.value("cut", rule.cut);
    rule.lose_to = value.value("lose_to", rule.lose_to);
    rule.lose_back = value.value("lose_back", rule.lose_back);
    rule.cut_after_request = value.value("cut_after_request", rule.cut_after_request);
    rule.cut_answer = value.value("cut_answer", rule.cut_answer);
    rule.half_answer = value.value("half_answer", rule.half_answer);
    rule.garbage_answer = value.value("garbage_answer", rule.garbage_answer);
    rule.endless_answer = value.value("endless_answer", rule.endless_answer);
    rule.repeat_answer = value.value("repeat_answer", rule.repeat_answer);
    return rule;
}

} // namespace

result<address_prefix> parse_prefix(std::string_view text) {
    address_prefix prefix;
    const auto slash = std::min(text.find('/'), text.size());
    const auto bits = slash == text.size() ? address_bits : parse_number(text.substr(slash + 1)).value_or(99);
    if (bits > address_bits || !parse_address(std::string{text.substr(0, slash)}, prefix.address)) {
        return error{error_kind::malformed, "\"" + std::string{text} + "\" is not an IPv4 prefix",
                     "use the form 127.1.2.0/27"};
    }
    prefix.bits = static_cast<unsigned>(bits);
    prefix.address &= mask_of(prefix.bits);
    return prefix;
}

bool matches(const address_prefix& prefix, std::string_view host) {
    std::uint32_t address = 0;
    return parse_address(std::string{host}, address) && (address & mask_of(prefix.bits)) == prefix.address;
}

result<std::vector<fault_rule>> parse_rules(std::string_view text) {
    std::vector<fault_rule> rules;
    try {
        const auto body = parse_json_or_discard(text);
        for (const auto& it : body.at("rules")) {
            rules.push_back(rule_from_json(it));
        }
    } catch (const std::exception& ex) {
        return error{error_kind::malformed, ex.what(),
                     "see src/libfaultproxy/rules.h for the members of a rule"};
    }
    return rules;
}

fault_rule combine(const std::vector<fault_rule>& rules, std::string_view source,
                   const endpoint& destination) {
    fault_rule sum;
    for (const auto& it : rules) {
        if (!matches(it.source, source) || !matches(it.destination, destination.host) ||
            (it.port != 0 && it.port != destination.port)) {
            continue;
        }
        sum.delay_ms += it.delay_ms;
        sum.jitter_ms += it.jitter_ms;
        sum.cut = sum.cut || it.cut;
        sum.lose_to = sum.lose_to || it.lose_to;
        sum.lose_back = sum.lose_back || it.lose_back;
        sum.cut_after_request = std::max(sum.cut_after_request, it.cut_after_request);
        sum.cut_answer = std::max(sum.cut_answer, it.cut_answer);
        sum.half_answer = std::max(sum.half_answer, it.half_answer);
        sum.garbage_answer = std::max(sum.garbage_answer, it.garbage_answer);
        sum.endless_answer = std::max(sum.endless_answer, it.endless_answer);
        sum.repeat_answer = std::max(sum.repeat_answer, it.repeat_answer);
    }
    return sum;
}

} // namespace baobabswitch
