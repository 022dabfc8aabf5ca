#include "meshrig.h"

#include "port.h"
#include "standinformats.h"
#include "storesync.h"

#include <catch2/catch.hpp>

#include <future>
#include <utility>

using namespace baobabswitch;

namespace {

constexpr std::uint16_t first_port = 18300;
/// Request timeout of the store client; same value as in platform/metadatastore.cpp.
constexpr milliseconds call_timeout{1200};

error unavailable_error() {
    return {error_kind::store_unavailable, "the store is unavailable", "wait"};
}

class memory_object_client final : public object_client {
public:
    memory_object_client(event_loop& loop, memory_object_store& store) : loop_(loop), store_(store) {}

    void list(std::string_view kind, freshness /*wanted*/, list_callback fn) override {
        respond([this, kind = std::string{kind}, fn = std::move(fn)] { fn(read_list(kind)); });
    }
    std::uint64_t era() const override {
        return era_;
    }
    void watch(std::string_view kind, era_revision after, boot_duration wait, freshness wanted,
               list_callback fn) override {
        const std::lock_guard lock{store_.mutex};
        if (store_.silent) {
            loop_.schedule(wait + call_timeout, [fn = std::move(fn)] { fn(unavailable_error()); });
            return;
        }
        if (store_.unavailable) {
            respond([fn = std::move(fn)] { fn(unavailable_error()); });
            return;
        }
        const auto done = std::make_shared<bool>(false);
        if (after.number > store_.revision) {
            respond([this, fn = std::move(fn)] {
                note_era();
                fn(error{error_kind::not_found, "no such history", ""});
            });
            return;
        }
        const auto told = [this, fn = std::move(fn)](result<object_list> it) {
            if (it) {
                note_era();
            }
            fn(std::move(it));
        };
        store_.watches.push_back({&loop_, std::string{kind}, after.number, wanted, told, done});
        loop_.schedule(wait, [after, told, done, era = store_.era] {
            if (!*done) {
                *done = true;
                told(object_list{{}, {era, after.number}});
            }
        });
        store_.notify_watches(std::string{kind});
    }
    void get(std::string_view kind, std::string_view name, object_callback fn) override {
        respond([this, kind = std::string{kind}, name = std::string{name}, fn = std::move(fn)] {
            fn(read_object(kind, name));
        });
    }
    void create(std::string_view kind, std::string_view name, std::string content,
                object_callback fn) override {
        write(std::string{kind}, {std::string{name}, {}, std::move(content), false}, std::move(fn));
    }
    void replace(std::string_view kind, const stored_object& it, object_callback fn) override {
        write(std::string{kind}, it, std::move(fn));
    }
    void remove(std::string_view kind, std::string_view name, era_revision revision,
                object_callback fn) override {
        write(std::string{kind}, {std::string{name}, revision, {}, true}, std::move(fn));
    }

private:
    void respond(std::function<void()> fn) {
        loop_.schedule(milliseconds{4}, std::move(fn));
    }
    /// Takes over the era of the store, as a response tells it.
    void note_era() {
        const std::lock_guard lock{store_.mutex};
        era_ = store_.unavailable ? era_ : store_.era;
    }
    result<object_list> read_list(const std::string& kind) {
        note_era();
        const std::lock_guard lock{store_.mutex};
        if (store_.unavailable) {
            return unavailable_error();
        }
        object_list it;
        it.revision = {store_.era, store_.revision};
        for (const auto& [name, object] : store_.kinds[kind]) {
            if (!object.deleted) {
                it.objects.push_back(object);
            }
        }
        return it;
    }
    result<stored_object> read_object(const std::string& kind, const std::string& name) {
        note_era();
        const std::lock_guard lock{store_.mutex};
        const auto& objects = store_.kinds[kind];
        const auto found = objects.find(name);
        if (store_.unavailable) {
            return unavailable_error();
        }
        if (found == objects.end() || found->second.deleted) {
            return error{error_kind::not_found, "no such object", ""};
        }
        return found->second;
    }
    result<stored_object> write_object(const std::string& kind, const stored_object& it) {
        note_era();
        const std::lock_guard lock{store_.mutex};
        if (store_.unavailable) {
            return unavailable_error();
        }
        auto& known = store_.kinds[kind][it.name];
        const bool exists = is_known(known.revision) && !known.deleted;
        const bool matches = known.revision.number == it.revision.number;
        if (is_known(it.revision) ? !matches : exists) {
            return error{error_kind::conflict, "different revision", ""};
        }
        known = it;
        known.revision = {store_.era, ++store_.revision};
        store_.notify_watches(kind);
        return known;
    }
    void write(std::string kind, stored_object it, object_callback fn) {
        respond([this, kind = std::move(kind), it = std::move(it), fn = std::move(fn)] {
            fn(write_object(kind, it));
        });
    }

    event_loop& loop_;
    memory_object_store& store_;
    std::uint64_t era_ = 0;
};

} // namespace

std::unique_ptr<object_client> memory_object_store::connect(event_loop& loop) {
    return std::make_unique<memory_object_client>(loop, *this);
}

void memory_object_store::put(const std::string& kind, const std::string& name, std::string content) {
    const std::lock_guard lock{mutex};
    kinds[kind][name] = {name, {era, ++revision}, std::move(content), false};
    notify_watches(kind);
}

void memory_object_store::restore(std::map<std::string, std::map<std::string, stored_object>> objects,
                                  std::uint64_t copy_revision) {
    const std::lock_guard lock{mutex};
    ++era;
    revision = copy_revision;
    kinds = std::move(objects);
    for (auto& [kind, all] : kinds) {
        for (auto& [name, it] : all) {
            it.revision.era = era;
        }
    }
    for (auto& it : std::exchange(watches, {})) {
        it.loop->post([it] {
            if (!std::exchange(*it.done, true)) {
                it.fn(unavailable_error());
            }
        });
    }
}

void memory_object_store::set_unavailable(bool value) {
    const std::lock_guard lock{mutex};
    unavailable = value;
}

void memory_object_store::set_silent(bool value) {
    const std::lock_guard lock{mutex};
    silent = value;
}

void memory_object_store::set_stale_watches_lag(bool value) {
    const std::lock_guard lock{mutex};
    stale_watches_lag = value;
}

std::string memory_object_store::content(const std::string& kind, const std::string& name) {
    const std::lock_guard lock{mutex};
    return kinds[kind][name].content;
}

void memory_object_store::notify_watches(const std::string& kind) {
    auto pending = std::move(watches);
    watches.clear();
    for (auto& it : pending) {
        object_list changes;
        changes.revision = {era, revision};
        for (const auto& [name, object] : kinds[kind]) {
            if (it.kind == kind && object.revision.number > it.after) {
                changes.objects.push_back(object);
            }
        }
        if (changes.objects.empty() || (stale_watches_lag && it.wanted == freshness::stale)) {
            watches.push_back(it);
            continue;
        }
        it.loop->post([it, changes = std::move(changes)]() mutable {
            if (!*it.done) {
                *it.done = true;
                it.fn(std::move(changes));
            }
        });
    }
}

mesh_rig::mesh_rig(unsigned subnet) : subnet_(subnet), client_(loop, {}) {}

mesh_rig::~mesh_rig() {
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        kill_node(n);
    }
}

std::size_t mesh_rig::add_vm(const std::string& service, const std::string& domain, unsigned slots) {
    const auto n = targets.size();
    const auto host = "127.77." + std::to_string(subnet_) + "." + std::to_string(n + 1);
    const auto endpoint_at = [&](unsigned port_offset) {
        return endpoint{host, static_cast<std::uint16_t>(first_port + port_offset)};
    };
    auto target = std::make_unique<target_standin>();
    target->address = endpoint_at(1);
    target->instance = "t" + std::to_string(n);
    auto server = http_server::listen(
        loop, target->address, {},
        [this, it = target.get()](http_request request, const std::shared_ptr<http_exchange>& exchange) {
            serve(*it, std::move(request), exchange);
        });
    REQUIRE(server);
    target->server = std::move(server.value());
    mesh_settings it;
    it.node = "n" + std::to_string(n);
    it.domain = domain;
    it.service = service;
    it.target = target->address;
    it.listen = {endpoint_at(0), endpoint_at(4), endpoint_at(2), endpoint_at(6), endpoint_at(8)};
    it.retries = {0.2, 49, std::chrono::seconds{10}};
    it.memory_bytes = memory_bytes;
    settings.push_back(it);
    targets.push_back(std::move(target));
    nodes.emplace_back();
    slots_.push_back(slots);
    start_node(n, true);
    return n;
}

void mesh_rig::start_node(std::size_t n, bool first_start) {
    settings[n].first_start = first_start;
    auto& it = nodes[n];
    it.loop = std::make_unique<event_loop>();
    auto created = mesh_node::create(*it.loop, settings[n], platform::make_port(), store.connect(*it.loop));
    REQUIRE(created);
    it.node = std::move(created.value());
    it.thread = std::thread{[node_loop = it.loop.get()] {
        node_loop->run();
    }};
}

void mesh_rig::kill_node(std::size_t n) {
    auto& it = nodes[n];
    if (!it.node) {
        return;
    }
    it.loop->stop();
    it.thread.join();
    CHECK(violations(it.node->state().invariants) == 0);
    {
        const std::lock_guard lock{store.mutex};
        std::erase_if(store.watches, [&](const auto& watch) { return watch.loop == it.loop.get(); });
    }
    it.node.reset();
    it.loop.reset();
}

void mesh_rig::add_lost_vm(const std::string& service, const std::string& domain, unsigned number) {
    target_entry it;
    it.peer = {"127.77." + std::to_string(subnet_) + ".250", first_port};
    it.domain = domain;
    it.service = service;
    it.instance = "lost" + std::to_string(number);
    it.slots = 10;
    it.accepting = true;
    it.started_ms = 1;
    store.put("targets", it.instance, encode_entry(it));
}

void mesh_rig::stop_node(std::size_t n) {
    nodes[n].loop->post([node = nodes[n].node.get()] { node->stop(); });
}

std::uint64_t mesh_rig::config_version_of(std::size_t n) {
    std::promise<std::uint64_t> version;
    nodes[n].loop->post(
        [&, node = nodes[n].node.get()] { version.set_value(config_version(node->state())); });
    return version.get_future().get();
}

void mesh_rig::announce(std::size_t n, std::uint64_t sequence, bool leaving, std::uint64_t started_ms) {
    target_announcement it;
    it.instance = targets[n]->instance;
    it.service = settings[n].service;
    it.domain = settings[n].domain;
    it.address = targets[n]->address;
    it.started_ms = started_ms;
    it.sequence = sequence;
    it.slots = slots_[n];
    it.leaving = leaving;
    announce(n, it);
}

void mesh_rig::withdraw(std::size_t n) {
    target_announcement it;
    it.instance = targets[n]->instance;
    it.withdrawn = true;
    announce(n, it);
}

void mesh_rig::announce(std::size_t n, const target_announcement& announcement) {
    client_.send(settings[n].listen.control, platform::encode_announcement(announcement), milliseconds{1000},
                 [this](const http_result& outcome) {
                     const auto* response = std::get_if<http_response>(&outcome);
                     acknowledged_announcements += response != nullptr && response->status == 200 ? 1 : 0;
                 });
}

void mesh_rig::publish(std::uint64_t version, double timeout_s) {
    mesh_config config;
    config.version = version;
    const auto add_route = [&](const char* name, const char* prefix, repeatability repeat,
                               const char* service) {
        route it;
        it.name = name;
        it.host = "h.example";
        it.path_prefix = prefix;
        it.repeat = repeat;
        it.timeout = from_ms(timeout_s * 1000);
        it.latency_objective = milliseconds{400};
        it.rank = 1;
        it.max_targets = 2;
        it.parts = {{service, 1}};
        config.routes.push_back(std::move(it));
    };
    add_route("read", "/read/", repeatability::idempotent, "front");
    add_route("write", "/write/", repeatability::at_most_once, "front");
    add_route("back", "/back/", repeatability::idempotent, "back");
    config.services = {{"front", "/healthz", 200}, {"back", "/healthz", 200}};
    config.limits = {16384, 1048576, std::chrono::seconds{3}, std::chrono::seconds{15}};
    store.put("config", "main", platform::encode_configuration(config));
}

std::shared_ptr<caller_result> mesh_rig::send(std::size_t n, const std::string& method,
                                              const std::string& path, const std::string& id,
                                              unsigned deadline_ms, std::string body) {
    auto it = std::make_shared<caller_result>();
    http_request request;
    request.body = std::move(body);
    request.method = method;
    request.target = path;
    request.headers = {
        {"Host", "h.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    const auto sent = boot_clock::now();
    client_.send(settings[n].listen.outbound, std::move(request), milliseconds{deadline_ms},
                 [it, sent](http_result outcome) {
                     it->latency_ms = to_ms(boot_clock::now() - sent);
                     if (auto* response = std::get_if<http_response>(&outcome)) {
                         it->status = response->status;
                         it->response = std::move(*response);
                     }
                 });
    return it;
}

void mesh_rig::run_for(milliseconds time) {
    loop.schedule(time, [this] { loop.stop(); });
    loop.run();
}

void mesh_rig::serve(target_standin& target, http_request request,
                     const std::shared_ptr<http_exchange>& exchange) {
    if (request.target == "/healthz") {
        exchange->respond({target.healthy ? 200U : 503U, {{"X-Instance-Id", target.instance}}, {}});
        return;
    }
    target.received.push_back(request);
    if (header_or_empty(request.headers, "X-Target-Instance") != target.instance) {
        exchange->respond({421, {{"X-Instance-Id", target.instance}}, {}});
        return;
    }
    const std::string id{header_or_empty(request.headers, "X-Request-Id")};
    if (target.request_handler && target.request_handler(request, exchange)) {
        return;
    }
    ++target.runs[id];
    target.max_running = std::max(target.max_running, ++target.running);
    loop.schedule(target.processing_time, [&target, id, exchange] {
        --target.running;
        exchange->respond(
            {200, {{"X-Request-Id", id}, {"X-Response-Signature", "s-" + id}}, "answer of " + id});
    });
}
