#include "localtargetwatch.h"
#include "meshrig.h"
#include "port.h"
#include "storesync.h"

#include <catch2/catch.hpp>

#include <future>

using namespace baobabswitch;

namespace {

/// Copy of the store as it is now.
struct store_copy {
    std::map<std::string, std::map<std::string, stored_object>> kinds;
    std::uint64_t revision = 0;
};

store_copy copy_of(memory_object_store& it) {
    const std::lock_guard lock{it.mutex};
    return {it.kinds, it.revision};
}

/// Makes the store unavailable for a moment and lets it come back from the copy. `before_return` runs before
/// nodes can reach it.
void return_from_copy(mesh_rig& rig, const store_copy& copy, const std::function<void()>& before_return) {
    rig.store.set_unavailable(true);
    rig.run_for(milliseconds{400});
    rig.store.restore(copy.kinds, copy.revision);
    before_return();
    rig.store.set_unavailable(false);
}

bool knows_target(mesh_rig& rig, std::size_t n, const std::string& node) {
    std::promise<bool> found;
    rig.nodes[n].loop->post(
        [&] { found.set_value(rig.nodes[n].node->state().targets.by_node.contains(node)); });
    return found.get_future().get();
}

/// Store client whose calls wait until the test answers them.
class manual_client final : public object_client {
public:
    std::uint64_t told_era = 0;
    std::map<std::string, list_callback> lists;   ///< by kind
    std::map<std::string, list_callback> watches; ///< by kind
    std::map<std::string, freshness> freshness_of_watch;
    std::vector<object_callback> writes;

    std::uint64_t era() const override {
        return told_era;
    }
    void list(std::string_view kind, freshness, list_callback fn) override {
        lists[std::string{kind}] = std::move(fn);
    }
    void watch(std::string_view kind, era_revision, boot_duration, freshness wanted,
               list_callback fn) override {
        watches[std::string{kind}] = std::move(fn);
        freshness_of_watch[std::string{kind}] = wanted;
    }
    void get(std::string_view, std::string_view, object_callback) override {}
    void create(std::string_view, std::string_view, std::string, object_callback fn) override {
        writes.push_back(std::move(fn));
    }
    void replace(std::string_view, const stored_object&, object_callback fn) override {
        writes.push_back(std::move(fn));
    }
    void remove(std::string_view, std::string_view, era_revision, object_callback) override {}
};

/// A node's view of the store with a manual client. The first lists are answered, in era 1 and at revision
/// 50; the targets' list holds `targets`.
struct sync_fixture {
    event_loop loop;
    mesh_settings settings = make_settings();
    mesh_state state{loop, settings, platform::make_port()};
    manual_client client;
    store_sync sync{state, client};

    explicit sync_fixture(const std::vector<stored_object>& targets = {}) {
        sync.start();
        client.told_era = 1;
        const auto targets_list = client.lists.at("targets");
        targets_list(object_list{targets, {1, 50}});
        client.lists.at("config")(object_list{{}, {1, 50}});
        client.lists.clear();
    }
    static mesh_settings make_settings() {
        mesh_settings it;
        it.node = "n9";
        it.domain = "east";
        return it;
    }
    void run_for(milliseconds time) {
        loop.schedule(time, [this] { loop.stop(); });
        loop.run();
    }
};

stored_object make_object(const std::string& node, const era_revision& revision) {
    target_entry it;
    it.node = node;
    it.peer = {"127.0.0.1", 8300};
    it.domain = "east";
    return {node, revision, encode_entry(it), false};
}

} // namespace

// Guards against a watch that goes on from a revision which the store gave out again for another change, and
// against own entries that stay lost (docs/incidents/restored-store-hides-configuration.md).
TEST_CASE("after the store came back from a copy, new versions are applied and own entries written again") {
    struct variant {
        const char* revisions;
        unsigned other_writes;
        bool late; ///< the new version is written after the nodes are back
    };
    unsigned subnet = 48;
    for (const variant& it :
         {variant{"behind those of the old era", 0, true}, variant{"as many as in the old era", 0, false},
          variant{"past those of the old era", 6, false}}) {
        INFO(it.revisions);
        mesh_rig rig{subnet++};
        rig.publish(1);
        rig.add_vm("front", "east", 10);
        rig.add_vm("front", "west", 10);
        rig.announce(0, 1);
        rig.announce(1, 1);
        rig.run_for(milliseconds{1000});
        const auto copy = copy_of(rig.store);
        rig.announce(0, 2, true);
        rig.run_for(milliseconds{300});
        rig.publish(2);
        rig.run_for(milliseconds{1000});
        REQUIRE(rig.config_version_of(0) == 2);
        return_from_copy(rig, copy, [&] {
            for (unsigned n = 0; n < it.other_writes; ++n) {
                rig.store.put("other", "object", std::to_string(n));
            }
            rig.publish(2);
            if (!it.late) {
                rig.publish(3);
            }
        });
        rig.run_for(milliseconds{1000});
        if (it.late) {
            rig.publish(3);
            rig.run_for(milliseconds{500});
        }
        CHECK(rig.config_version_of(0) == 3);
        CHECK(rig.config_version_of(1) == 3);
        CHECK(rig.store.content("targets", "n0").find(R"("leaving":true)") != std::string::npos);
    }
}

// Guards against a target that left and is used again, since the copy of the store does not have its leaving
// and its node forgets it in a restart.
TEST_CASE("a restart after the store came back from a copy does not bring back a target that left") {
    mesh_rig rig{55};
    rig.publish(1);
    rig.add_vm("front", "east", 10);
    rig.add_vm("back", "east", 10);
    rig.announce(0, 1);
    rig.announce(1, 1);
    rig.run_for(milliseconds{1000});
    const auto copy = copy_of(rig.store);
    rig.announce(0, 2, true);
    rig.run_for(milliseconds{300});
    return_from_copy(rig, copy, [&] { rig.publish(2); });
    rig.run_for(milliseconds{2000});
    rig.kill_node(0);
    rig.start_node(0, false);
    rig.targets[0]->healthy = false;
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        rig.run_for(milliseconds{120});
        rig.announce(0, sequence);
    }
    rig.run_for(milliseconds{300});
    const auto call = rig.send(0, "GET", "/read/x", "r");
    rig.run_for(milliseconds{1300});
    CHECK(call->status == 503);
    CHECK(rig.targets[0]->runs.empty());
}

// Guards against requests that fail until each node has written the entry that the copy does not have, and
// against targets that stay in use though nobody writes their entry again.
TEST_CASE("targets that the copy of the store does not have serve on for the time of a rewrite") {
    mesh_rig rig{56};
    rig.publish(1);
    rig.add_vm("front", "east", 10);
    rig.announce(0, 1);
    rig.run_for(milliseconds{1000});
    const auto copy = copy_of(rig.store);
    rig.add_vm("back", "east", 10);
    rig.announce(1, 1);
    rig.add_lost_vm("other", "east", 7);
    rig.run_for(milliseconds{1500});
    REQUIRE(knows_target(rig, 0, "lost7"));
    return_from_copy(rig, copy, [] {});
    std::vector<std::shared_ptr<caller_result>> calls;
    for (int n = 0; n < 60; ++n) {
        calls.push_back(rig.send(0, "GET", "/back/x", "b" + std::to_string(n)));
        rig.run_for(milliseconds{20});
    }
    rig.run_for(milliseconds{300});
    CHECK(std::count_if(calls.begin(), calls.end(), [](const auto& it) { return it->status != 200; }) == 0);
    rig.run_for(milliseconds{1500});
    CHECK(knows_target(rig, 0, "n1"));
    CHECK_FALSE(knows_target(rig, 0, "lost7"));
}

// Guards against data of a lost history that a slow or stale response brings back, and against a write that
// counts as stored though the store has lost it.
TEST_CASE("a response of an earlier era of the store changes nothing") {
    sync_fixture it;
    auto& client = it.client;
    it.state.target.current.emplace();
    it.state.target.current->instance = "i-1";
    it.state.target.current->slots = 4;
    std::vector<bool> stored;
    it.sync.publish_own_entry([&](bool done) { stored.push_back(done); });
    REQUIRE(client.writes.size() == 1);
    client.told_era = 2;
    client.watches.at("config")(object_list{{}, {2, 51}});
    it.run_for(milliseconds{250});
    REQUIRE(client.lists.size() == 2); // Both kinds are listed again.
    client.lists.at("targets")(object_list{{make_object("n1", {1, 90})}, {1, 90}});
    CHECK(it.state.targets.by_node.count("n1") == 0);
    client.writes.front()(stored_object{"n9", {1, 51}, encode_entry(own_entry(it.state)), false});
    CHECK(stored.empty());
    REQUIRE(client.writes.size() == 2); // The write is repeated in the new era.
    client.lists.at("config")(object_list{{}, {2, 40}});
    client.watches.at("config")(object_list{{}, {1, 91}});
    it.run_for(milliseconds{250});
    CHECK(client.freshness_of_watch.at("config") == freshness::current);
}

// Guards against entries of an earlier era that stay for good when the store comes back twice in a moment.
TEST_CASE("entries that nobody writes again are removed when the store comes back from a copy twice") {
    sync_fixture it{{make_object("n1", {1, 7})}};
    for (const std::uint64_t era : {2U, 3U}) {
        it.client.told_era = era;
        it.client.watches.at("config")(result<object_list>{error{error_kind::not_found, "", ""}});
        it.run_for(milliseconds{1200});
    }
    it.client.lists.at("targets")(object_list{{}, {3, 4}});
    CHECK(it.state.targets.by_node.count("n1") == 1);
    it.run_for(milliseconds{1200});
    CHECK(it.state.targets.by_node.count("n1") == 0);
}

// Guards against a watch that starts while the kind is listed again, without a revision to start from.
TEST_CASE("a node that relied on others to watch lists the configuration before it watches in a new era") {
    sync_fixture it{{make_object("n1", {1, 7}), make_object("n2", {1, 8}), make_object("n3", {1, 9})}};
    auto& client = it.client;
    for (auto& [name, view] : it.state.targets.by_node) {
        record_heard(view.presence, true, boot_clock::now());
    }
    client.watches.at("config")(object_list{{}, {1, 50}}); // the probe
    REQUIRE(client.freshness_of_watch.at("config") == freshness::stale);
    const auto targets_watch = client.watches.at("targets");
    client.watches.clear();
    client.told_era = 2;
    targets_watch(object_list{{}, {2, 51}});
    for (auto& [name, view] : it.state.targets.by_node) {
        record_unreachable(view.presence, boot_clock::now());
    }
    it.sync.reconsider_config_watch();
    CHECK(client.watches.count("config") == 0);
    it.run_for(milliseconds{250});
    CHECK(client.lists.count("config") == 1);
}
