#include "metadatastandin.h"
#include "metadatastore.h"
#include "storesync.h"

#include "rawpeer.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;

namespace {

const endpoint store_address{"127.88.252.1", 18399};
constexpr std::string_view source_host = "127.88.252.2";

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string sound_entry() {
    target_entry it;
    it.node = "sound";
    it.peer = {"127.0.0.1", 8300};
    it.domain = "east";
    it.service = "front";
    it.instance = "i-1";
    it.slots = 8;
    it.accepting = true;
    it.started_ms = 1000;
    return encode_entry(it);
}

/// Returns the sound entry with one field replaced by other JSON text.
std::string entry_with(const std::string& field, const std::string& value) {
    const auto entry = sound_entry();
    const auto start = entry.find('"' + field + "\":") + field.size() + 3;
    return entry.substr(0, start) + value + entry.substr(entry.find_first_of(",}", start));
}

/// Contents that another program may leave among the entries, none of which names a target that can be used.
std::vector<std::string> odd_contents() {
    return {nested(150'000),
            R"({"peer":)" + nested(100'000) + '}',
            entry_with("slots", "-5"),
            entry_with("slots", "1e300"),
            entry_with("slots", "1e400"),
            entry_with("slots", "0"),
            entry_with("slots", "4294967303"),
            entry_with("slots", "123456789012345678901234567890"),
            entry_with("slots", "8.5"),
            entry_with("started_ms", "18446744073709551616"),
            entry_with("started_ms", "-1"),
            entry_with("peer", R"("127.0.0.1:0")"),
            entry_with("peer", R"("127.0.0.1:70000")"),
            entry_with("peer", R"("127.0.0.1:-1")"),
            entry_with("peer", R"("host:8300")"),
            entry_with("peer", "7"),
            entry_with("instance", R"("a\r\nX-Other: b")"),
            entry_with("instance", R"("")"),
            entry_with("instance", R"("\ud800")"),
            entry_with("accepting", R"("yes")"),
            entry_with("service", "null"),
            entry_with("domain", "[]"),
            "null",
            "7",
            "\"text\"",
            "[]",
            "{}"};
}

struct store_fixture {
    event_loop loop;
    std::unique_ptr<object_client> client = platform::make_metadata_store(loop, store_address, source_host);

    void run_for(milliseconds time) {
        loop.schedule(time, [this] { loop.stop(); });
        loop.run();
    }
    std::optional<result<object_list>> list() {
        std::optional<result<object_list>> listed;
        client->list("targets", freshness::current, [&](result<object_list> it) { listed = std::move(it); });
        run_for(milliseconds{200});
        return listed;
    }
    std::optional<result<object_list>> watch(std::uint64_t after) {
        std::optional<result<object_list>> changes;
        client->watch("targets", {0, after}, milliseconds{20}, freshness::current,
                      [&](result<object_list> it) { changes = std::move(it); });
        run_for(milliseconds{200});
        return changes;
    }
};

/// Returns a peer that answers each request with one body.
std::unique_ptr<raw_peer> respond_with(event_loop& loop, const std::string& body) {
    return std::make_unique<raw_peer>(loop, store_address, [body](const auto& it, const std::string&) {
        it->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
}

std::string object_text(const std::string& metadata) {
    return R"({"metadata":)" + metadata + R"(,"spec":{}})";
}

std::size_t count_sound(const object_list& it) {
    return static_cast<std::size_t>(
        std::count_if(it.objects.begin(), it.objects.end(),
                      [](const auto& object) { return object.name == "sound" && decode_entry(object); }));
}

} // namespace

// Guards against one odd entry of another program that ends each node which reads the list, or hides the
// sound entries.
TEST_CASE("odd contents among the entries name no target and hide no sound entry", "[odd]") {
    CHECK(decode_entry({"sound", {1, 1}, sound_entry(), false}));
    for (const auto& content : odd_contents()) {
        INFO(content.substr(0, 200));
        store_fixture it;
        auto store = metadata_standin::create(it.loop, store_address);
        REQUIRE(store);
        store.value()->put("targets", "odd", content);
        store.value()->put("targets", "sound", sound_entry());
        const auto listed = it.list();
        REQUIRE((listed && *listed));
        CHECK(count_sound(listed->value()) == 1);
        const auto changes = it.watch(1);
        REQUIRE((changes && *changes));
        CHECK(count_sound(changes->value()) == 1);
        CHECK(changes->value().revision == listed->value().revision);
        for (const auto& object : listed->value().objects) {
            CHECK(decode_entry(object).has_value() == (object.name == "sound"));
        }
    }
}

// Guards against objects without readable metadata that make the whole page or batch of changes unreadable.
TEST_CASE("objects with odd metadata are left out and counted", "[odd]") {
    const auto sound = R"({"metadata":{"name":"sound","revision":7},"spec":)" + sound_entry() + '}';
    for (const auto& odd :
         {std::string{"null"}, std::string{"7"}, std::string{"[]"}, std::string{"{}"}, nested(150'000),
          object_text("null"), object_text("[]"), object_text("7"), object_text(R"({"name":7,"revision":3})"),
          object_text(R"({"name":"x"})"), object_text(R"({"name":"x","revision":-3})"),
          object_text(R"({"name":"x","revision":1e400})"), object_text(R"({"name":"\ud800","revision":3})"),
          object_text(R"({"name":"x","revision":3,"deleting":"no"})"), object_text(nested(100'000))}) {
        INFO(odd.substr(0, 200));
        store_fixture it;
        auto peer = respond_with(it.loop, R"({"items":[)" + odd + ',' + sound + R"(],"events":[{"object":)" +
                                              odd + R"(,"deleted":false},{"object":)" + sound +
                                              R"(}],"has_more":false,"store_revision":9})");
        for (const auto& found : {it.list(), it.watch(1)}) {
            REQUIRE((found && *found));
            CHECK(count_sound(found->value()) == 1);
            CHECK(found->value().objects.size() == 1);
            CHECK(found->value().unreadable == 1);
            CHECK(found->value().revision == era_revision{0, 9});
        }
    }
}

// Guards against a response that ends the process, or a list that reads the same page without end.
TEST_CASE("a response that can't be read as a whole is a failed call", "[odd]") {
    for (const auto& body : {std::string{}, std::string{"no"}, std::string{"[]"}, nested(2'000'000),
                             std::string{"{}"}, std::string{R"({"items":{},"events":{},"store_revision":1})"},
                             std::string{R"({"items":[],"events":[],"store_revision":"1"})"},
                             std::string{R"({"items":[],"events":[],"store_revision":1e400})"},
                             R"({"items":[)" + object_text(R"({"name":"a","revision":1})") +
                                 R"(],"events":7,"has_more":true,"store_revision":1})",
                             std::string{R"({"items":[7],"events":7,"has_more":true,"store_revision":1})"}}) {
        INFO(body.substr(0, 200));
        store_fixture it;
        auto peer = respond_with(it.loop, body);
        for (const auto& found : {it.list(), it.watch(1)}) {
            REQUIRE(found);
            CHECK(found->has_error());
        }
    }
}

// Guards against revisions that are used beyond the era of the store in which they were given out.
TEST_CASE("the client ties revisions to the era of the response") {
    store_fixture it;
    const std::string page = R"({"items":[],"events":[],"has_more":false,"store_revision":7})";
    const std::string first_page = R"({"items":[)" + object_text(R"({"name":"a","revision":1})") +
                                   R"(],"has_more":true,"store_revision":7})";
    std::vector<std::pair<std::string, std::string>> responses;
    std::size_t sent = 0;
    raw_peer peer{it.loop, store_address, [&](const auto& conn, const std::string&) {
                      const auto& [head, body] = responses.at(sent++);
                      conn->send("HTTP/1.1 " + head + "\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body);
                  }};
    responses = {{"200 OK", page},
                 {"200 OK\r\nStore-Era: 3", page},
                 {"410 Gone\r\nStore-Era: 4", "{}"},
                 {"200 OK\r\nStore-Era: x", page},
                 {"200 OK\r\nStore-Era: 4", first_page},
                 {"200 OK\r\nStore-Era: 5", page}};
    CHECK(it.list()->value().revision == era_revision{0, 7});
    CHECK(it.list()->value().revision == era_revision{3, 7});
    CHECK(it.watch(7)->error().kind == error_kind::not_found);
    CHECK(it.client->era() == 4);
    CHECK(it.watch(7)->error().kind == error_kind::malformed);
    CHECK(it.list()->has_error()); // Its pages belong to two eras.
    CHECK(sent == 6);
    CHECK(it.client->era() == 5);
}

// Guards against names of another program that break the request for the next page.
TEST_CASE("the name of the last object is encoded in the request for the next page", "[odd]") {
    store_fixture it;
    std::vector<std::string> requests;
    raw_peer peer{it.loop, store_address, [&](const auto& conn, const std::string& request) {
                      requests.push_back(request.substr(0, request.find("\r\n")));
                      const auto body =
                          requests.size() == 1
                              ? R"({"items":[)" + object_text(R"({"name":"a b&c\r\n","revision":1})") +
                                    R"(],"has_more":true,"store_revision":1})"
                              : std::string{R"({"items":[],"has_more":false,"store_revision":1})"};
                      conn->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body);
                  }};
    const auto listed = it.list();
    REQUIRE((listed && *listed));
    REQUIRE(requests.size() == 2);
    CHECK(requests[1].find("&after=a%20b%26c%0D%0A ") != std::string::npos);
}
