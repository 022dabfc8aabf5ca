#include "jsontext.h"

#include "seed.h"

#include <catch2/catch.hpp>

#include <random>

using namespace baobabswitch;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against text of another program that nests so deep that copying or printing its value overflows the
// stack.
TEST_CASE("deeply nested text is rejected before it is parsed") {
    CHECK(parse_json(nested(max_json_depth)));
    const auto deep = parse_json(nested(max_json_depth + 1));
    REQUIRE_FALSE(deep);
    CHECK(deep.error().kind == error_kind::malformed);
    CHECK_FALSE(parse_json(nested(2'000'000)));
    CHECK_FALSE(parse_json(std::string(2'000'000, '[')));
    CHECK(parse_json(R"(["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["])"));
    CHECK(parse_json_or_discard(nested(2'000'000)).is_discarded());
}

// Guards against numbers that wrap or lose their fraction when they are stored in a narrower type.
TEST_CASE("numbers of another type or out of range are rejected with the name of their field") {
    for (const auto* text : {"-5", "1e300", "1.5", "65536", "18446744073709551616",
                             "123456789012345678901234567890", "\"7\"", "null", "true", "[7]", "{}"}) {
        const auto object = parse_json(std::string{R"({"port":)"} + text + '}');
        REQUIRE(object);
        std::uint16_t port = 1;
        const auto read = read_field(object.value(), "port", port);
        INFO(text);
        REQUIRE_FALSE(read);
        CHECK(read.error().message.find("\"port\"") != std::string::npos);
        CHECK(port == 1);
    }
    std::uint16_t port = 0;
    CHECK(read_field(json{{"port", 65535}}, "port", port));
    CHECK(port == 65535);
    CHECK_FALSE(read_field(json{{"port", 0}}, "port", port, number_range<std::uint16_t>{1, 65535}));
    CHECK_FALSE(read_field(json::array({1}), "port", port));
    CHECK_FALSE(parse_json(R"({"port":1e400})"));
}

// Guards against one unreadable element that hides the elements beside it.
TEST_CASE("containers are split without parsing their elements") {
    const auto text = R"( [ {"a":"],}\""} , [1,[2]], 1e400, "\ud800", )" + nested(100'000) + " ] ";
    const auto elements = split_json_array(text);
    REQUIRE(elements);
    REQUIRE(elements->size() == 5);
    CHECK((*elements)[0] == R"({"a":"],}\""})");
    CHECK((*elements)[2] == "1e400");
    CHECK((*elements)[4].size() == 200'000);
    const auto members = split_json_object(R"({"x":{"y":[1,2]},"z":"a,b"})");
    REQUIRE(members);
    CHECK(member_text(*members, "x") == R"({"y":[1,2]})");
    CHECK(member_text(*members, "z") == R"("a,b")");
    CHECK(member_text(*members, "none").empty());
    CHECK(split_json_array("[]")->empty());
    CHECK(split_json_object(" {} ")->empty());
    for (const auto* text :
         {"", "[", "]", "[}", "{]", "[\"]", "[[}]", "{\"a\"}", "{1:2}", "{a:1}", "[1]2", "null"}) {
        INFO(text);
        CHECK_FALSE((split_json_array(text).has_value() || split_json_object(text).has_value()));
    }
}

// Guards against a splitter that disagrees with the parser about where an element ends.
TEST_CASE("splitting random documents gives the elements that the parser finds") {
    std::mt19937_64 random{first_seed()};
    const std::function<json(unsigned)> make = [&](unsigned depth) -> json {
        switch (random() % (depth == 0 ? 4 : 6)) {
        case 0:
            return random() % 1000;
        case 1:
            return std::string{"\"\\[{,:}]\n\xc3\xa9"}.substr(0, random() % 10);
        case 2:
            return static_cast<double>(random() % 100) / 8;
        case 3:
            return random() % 2 == 0;
        case 4: {
            auto list = json::array();
            for (auto n = random() % 4; n > 0; --n) {
                list.push_back(make(depth - 1));
            }
            return list;
        }
        default: {
            auto object = json::object();
            for (auto n = random() % 4; n > 0; --n) {
                object["k" + std::to_string(n)] = make(depth - 1);
            }
            return object;
        }
        }
    };
    for (int n = 0; n < 2000; ++n) {
        auto list = json::array();
        for (auto count = random() % 5; count > 0; --count) {
            list.push_back(make(4));
        }
        const auto text =
            list.dump(static_cast<int>(random() % 3) - 1, ' ', false, json::error_handler_t::replace);
        const auto elements = split_json_array(text);
        REQUIRE(elements);
        REQUIRE(elements->size() == list.size());
        for (std::size_t it = 0; it < list.size(); ++it) {
            REQUIRE(parse_json((*elements)[it]).value() == parse_json(text).value()[it]);
        }
    }
}
