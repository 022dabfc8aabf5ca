#include "callrig.h"
#include "peermessages.h"

using namespace callrig;

namespace {

struct refusal {
    http_request request;
    unsigned status;
    std::string cause;
};

http_request with(http_request request, const std::string& name, const std::string& value) {
    request.headers.emplace_back(name, value);
    return request;
}

std::uint64_t counted(const test_cluster& it, const std::string& event) {
    const auto text = it.metrics.render();
    const auto at = text.find("{event=\"" + event + "\"");
    if (at == std::string::npos) {
        return 0;
    }
    return static_cast<std::uint64_t>(std::stod(text.substr(text.find('}', at) + 1)));
}

} // namespace

TEST_CASE("invalid requests get a typed error, are counted and not run", "[calls]") {
    // Guards against invalid input that reaches a target, stops the node or is not counted.
    test_cluster it{1};
    it.add_target(1, [](const http_request&, const auto& exchange) { exchange->respond({200, {}, "ok"}); });
    http_request many = look();
    for (int n = 0; n < 70; ++n) {
        many.headers.emplace_back("X-" + std::to_string(n), "1");
    }
    const std::vector<refusal> examples{
        {{"POST", "/v1/call/desk/look", {}, ""}, 400, "unknown-kind"},
        {{"POST", "/v1/call/desk/look", {{"Baobab-Kind", "nothing"}}, ""}, 400, "unknown-kind"},
        {{"POST", "/v1/call/other/look", {{"Baobab-Kind", "look"}}, ""}, 400, "unknown-service"},
        {with(look(), "Baobab-Timeout-Ms", "0"), 400, "bad-timeout"},
        {with(look(), "Baobab-Timeout-Ms", "-5"), 400, "bad-timeout"},
        {with(look(), "Baobab-Timeout-Ms", ""), 400, "bad-timeout"},
        {with(look(), "Baobab-Timeout-Ms", "99999999999999999999999"), 400, "bad-timeout"},
        {with(look(), "Baobab-Kind", "book"), 400, "malformed"},
        {with(look(), "baobab-internal-grant", "9"), 400, "spoofed-header"},
        {with(look(), "Baobab-Mac", "00"), 400, "spoofed-header"},
        {{"POST", "/v1/keys", {{"Baobab-Internal-X", "1"}}, ""}, 400, "spoofed-header"},
        {{"POST", "/v1/keys?count=1001", {}, ""}, 400, "malformed"},
        {{"POST", "/v1/call/desk/" + std::string(5000, 'x'), {{"Baobab-Kind", "look"}}, ""},
         413,
         "too-large"},
        {{"POST", "/v1/call/desk/book", {{"Baobab-Kind", "book"}}, ""}, 428, "key-required"},
        {book("garbage"), 400, "bad-key"},
        {book(std::string(300, '.')), 400, "bad-key"},
        {with(look(), "Baobab-Parent", "n1.1.1"), 400, "unknown-parent"},
        {with(with(look(), "Baobab-Parent", "n1.1.1"), "Baobab-Child", std::string(65, 'x')), 400,
         "malformed"},
        {{"GET", "/v1/outcomes/garbage", {}, ""}, 400, "bad-key"},
        {{"GET", "/v1/call/desk/look", {}, ""}, 404, "not-found"},
        {{"POST", "/n/call/desk/look", {{"Baobab-Internal-Call", "n1.1.1"}}, ""}, 403, "bad-mac"},
        {{"POST", "/n/cancel/n1.1.1", {}, ""}, 403, "bad-mac"},
        {{"POST", "/n/key/n1.1.1.x", {}, ""}, 403, "bad-mac"},
        {many, 431, "too-large"},
        {with(look(), "X", std::string(17'000, 'x')), 431, "too-large"},
        {{"POST", "/v1/call/desk/look", {{"Baobab-Kind", "look"}}, std::string(1'100'000, 'x')},
         413,
         "too-large"},
    };
    for (const auto& ex : examples) {
        const auto before = counted(it, ex.cause);
        const auto response = it.call(1, ex.request);
        INFO(ex.request.target.substr(0, 40) << " " << response.body);
        CHECK(response.status == ex.status);
        CHECK(cause(response) == ex.cause);
        CHECK(outcome(response) == "not-run");
        CHECK(counted(it, ex.cause) == before + 1);
    }
    CHECK(it.total_runs() == 0);
    CHECK(it.call(1, with(look(), "Baobab-Timeout-Ms", "18446744073709551615")).body == "ok");
    it.at(1).pending_entries = max_calls;
    CHECK(cause(it.call(1, look())) == "overloaded");
    it.at(1).pending_entries = 0;
    CHECK(it.violation.empty());
}

TEST_CASE("a full table of calls at the target's node refuses hops", "[calls]") {
    // Guards against unbounded memory use: a node must refuse calls beyond the limit of 20,000.
    test_cluster it{2};
    it.add_target(2, [](const http_request&, const auto& exchange) { exchange->respond({}); });
    for (std::size_t n = 0; n < max_calls; ++n) {
        it.at(2).calls.emplace(std::to_string(n), target_call{});
    }
    const auto response = it.call(1, look());
    CHECK((cause(response) == "overloaded" && outcome(response) == "not-run"));
    it.at(2).calls.clear();
    CHECK(it.call(1, look()).status == 200);
}

TEST_CASE("a hop with out-of-range fields is refused as not run", "[calls]") {
    // Guards against overflow of a duration, and against an excessive retry grant from a peer.
    test_cluster it{1};
    it.add_target(1, [](const http_request&, const auto& exchange) { exchange->respond({}); });
    call_info info;
    info.call = "n1.1.1";
    info.request = "r";
    info.service = "desk";
    info.path = "/look";
    info.kind = "look";
    const auto hop = [&](unsigned grant, unsigned depth, milliseconds timeout) {
        info.depth = depth;
        return it.call(1, make_hop_request(it.at(1), info, grant, timeout));
    };
    CHECK(hop(1, 1, milliseconds{500}).status == 200);
    CHECK(cause(hop(1'000'000, 1, milliseconds{500})) == "malformed");
    CHECK(cause(hop(1, 1000, milliseconds{500})) == "malformed");
    CHECK(cause(hop(1, 1, milliseconds{std::numeric_limits<std::int64_t>::max()})) == "malformed");
    CHECK(it.total_runs() == 1);
}

TEST_CASE("an announcement with invalid fields changes nothing", "[calls]") {
    // Guards against an invalid announcement, or one from another host, that replaces or stops the local
    // target.
    test_cluster it{1};
    const nlohmann::json good{
        {"service", "desk"}, {"address", "127.0.0.1:9"}, {"slots", 2}, {"connections", 3}};
    CHECK(it.announce(1, good).status == 200);
    const std::vector<std::pair<const char*, nlohmann::json>> changes{{"service", 5},
                                                                      {"service", ""},
                                                                      {"service", "Desk!"},
                                                                      {"address", "10.0.0.9:80"},
                                                                      {"address", 1},
                                                                      {"address", "here:1"},
                                                                      {"address", "127.0.0.1:0"},
                                                                      {"slots", 0},
                                                                      {"slots", -1},
                                                                      {"slots", "2"},
                                                                      {"slots", 2.5},
                                                                      {"slots", 1e12},
                                                                      {"state", "on"},
                                                                      {"state", nullptr},
                                                                      {"connections", 0},
                                                                      {"connections", nullptr}};
    for (const auto& [name, value] : changes) {
        auto bad = good;
        bad[name] = value;
        INFO(bad.dump());
        CHECK(it.announce(1, bad).status == 400);
    }
    CHECK(it.announce(1, nlohmann::json::array()).status == 400);
    CHECK(it.at(1).target.slots == 2);
    CHECK(it.at(1).target.state == target_state::up);
}
