#include "storesync.h"

#include "configspread.h"
#include "jsontext.h"
#include "localtargetwatch.h"
#include "peerstate.h"

#include <algorithm>
#include <map>
#include <utility>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Maximum duration of a watch. Longer watches need fewer store calls. Their length does not delay the
/// detection of a silent connection, since keep-alive probes detect it within 3 s.
constexpr std::chrono::seconds max_watch_duration{20};
/// Duration of the watch that only probes whether the store answers; the shortest possible one.
constexpr milliseconds probe_watch_duration{1};
/// Delays before the next watch, which batch a burst of changes into few calls. A configuration has to take
/// effect quickly. Target entries may be older, since the node beside a target decides whether a call runs.
constexpr milliseconds config_watch_delay{60};
constexpr milliseconds target_watch_delay{800};
/// Time within which nodes write their entries again after the store came back from a copy.
constexpr std::chrono::seconds rewrite_time{2};
/// Bounds of the exponential backoff after a failure. Jitter scales each delay by a factor between 0.5
/// and 1.5.
constexpr milliseconds min_backoff{120};
constexpr milliseconds max_backoff{700};

result<void> read_entry(std::string_view text, target_entry& it) {
    BOOST_OUTCOME_TRY(content, parse_json(text));
    std::string peer;
    BOOST_OUTCOME_TRYV(read_field(content, "peer", peer));
    BOOST_OUTCOME_TRY(address, parse_endpoint(peer));
    it.peer = address;
    BOOST_OUTCOME_TRYV(read_field(content, "domain", it.domain));
    BOOST_OUTCOME_TRYV(read_field(content, "service", it.service));
    BOOST_OUTCOME_TRYV(read_field(content, "instance", it.instance));
    BOOST_OUTCOME_TRYV(read_field(content, "slots", it.slots, number_range<unsigned>{0, max_target_slots}));
    BOOST_OUTCOME_TRYV(read_field(content, "accepting", it.accepting));
    BOOST_OUTCOME_TRYV(read_field(content, "leaving", it.leaving));
    BOOST_OUTCOME_TRYV(read_field(content, "started_ms", it.started_ms));
    // A node publishes neither before its target has announced itself.
    const bool has_target = it.peer.port != 0 && it.slots > 0 && is_instance_id(it.instance);
    if (it.accepting && !has_target) {
        return error{error_kind::malformed, "it accepts calls without a port, slots or an instance id",
                     "delete the object; its node writes it again"};
    }
    return success();
}

} // namespace

std::string encode_entry(const target_entry& it) {
    return print_json(json{{"peer", to_string(it.peer)},
                           {"domain", it.domain},
                           {"service", it.service},
                           {"instance", it.instance},
                           {"slots", it.slots},
                           {"accepting", it.accepting},
                           {"leaving", it.leaving},
                           {"started_ms", it.started_ms}});
}

result<target_entry> decode_entry(const stored_object& stored) {
    target_entry it;
    it.node = stored.name;
    it.revision = stored.revision;
    if (const auto read = read_entry(stored.content, it); !read) {
        return error{error_kind::malformed,
                     "the entry of target node " + stored.name + " is malformed: " + read.error().message,
                     "delete the object; its node writes it again"};
    }
    return it;
}

/// Watched objects of one kind.
struct store_sync::collection {
    std::string kind;
    std::function<void(const stored_object&)> on_object;
    /// Called with the names of all objects and the revision after a complete list was read.
    std::function<void(const std::set<std::string>&, const era_revision&)> on_loaded;
    bool watched_without_delay = false; ///< the objects come from a watch that must not be stale
    bool relies_on_others = false;      ///< a long watch that may be stale is waiting
    bool avoids_stale_reads = false;    ///< the last one was answered from an earlier era
    /// Number of the current list, watch or pause; the ends of earlier ones are ignored.
    unsigned step = 0;
    freshness list_freshness = freshness::current; ///< of the next list
    milliseconds watch_delay = config_watch_delay;
    era_revision revision;
    unsigned failures = 0;
    /// Revisions of the entries that were rejected last, by name; each is logged once.
    std::map<std::string, era_revision, std::less<>> rejected;
};

store_sync::store_sync(mesh_state& state, object_client& store)
    : state_(state),
      store_(store),
      config_(std::make_unique<collection>()),
      targets_(std::make_unique<collection>()) {
    config_->kind = state.port.config_kind;
    config_->on_object = [this](const stored_object& it) {
        if (apply_config(it) && config_->watched_without_delay) {
            push_config_to_domain(state_);
        }
    };
    config_->on_loaded = [](const std::set<std::string>&, const era_revision&) {
    };
    targets_->kind = state.port.target_kind;
    targets_->watch_delay = target_watch_delay;
    targets_->on_object = [this](const stored_object& it) {
        apply_target(it);
        if (it.name == state_.settings.node && !writing_) {
            // Replaces an entry that another program wrote under this node's name.
            publish_own_entry([](bool) {});
        }
    };
    targets_->on_loaded = [this](const std::set<std::string>& names, const era_revision& revision) {
        on_targets_loaded(names, revision);
    };
}

store_sync::~store_sync() {
    *alive_ = false;
}

std::uint64_t store_sync::era() const {
    return era_;
}

void store_sync::follow_era() {
    const auto latest = store_.era();
    if (latest == era_) {
        return;
    }
    const auto previous = std::exchange(era_, latest);
    const bool holds_revisions =
        is_known(config_->revision) || is_known(targets_->revision) || is_known(own_revision_);
    if (previous == 0 && !holds_revisions) {
        return; // The first response of the store.
    }
    era_began_ = boot_clock::now();
    state_.metrics.count_event("store_era_changed");
    state_.log.write_always("store-era", {{"era", era_},
                                          {"previous", previous},
                                          {"config_revision", config_->revision.number},
                                          {"targets_revision", targets_->revision.number},
                                          {"own_revision", own_revision_.number}});
    own_revision_ = {};
    stored_entry_.reset();
    for (auto* it : {config_.get(), targets_.get()}) {
        it->revision = {};
        it->rejected.clear();
        it->list_freshness = freshness::current;
        it->failures = 0;
        retry(*it, true);
    }
    state_.loop.schedule(rewrite_time, [this, latest, alive = alive_] {
        if (*alive && era_ == latest) {
            remove_unwritten_entries();
        }
    });
}

bool store_sync::is_outdated(const era_revision& it, std::string_view call) {
    if (it.era >= era_) {
        return false;
    }
    state_.metrics.count_event("outdated_store_response");
    state_.log.write("store-response-outdated",
                     {{"call", call}, {"era", it.era}, {"current_era", era_}, {"revision", it.number}});
    return true;
}

void store_sync::log_unreadable(const error& cause, std::string_view call) {
    if (cause.kind == error_kind::malformed) {
        state_.metrics.count_event("malformed_store_response");
        state_.log.write("store-response-rejected", {{"call", call}, {"error", describe(cause)}});
    }
}

void store_sync::remove_unwritten_entries() {
    if (targets_->revision.era != era_) {
        return; // on_targets_loaded() removes them once there is a list.
    }
    std::erase_if(state_.targets.by_node, [this](const auto& it) {
        const auto& revision = it.second.entry.revision;
        return it.first != state_.settings.node && is_known(revision) && revision.era < era_;
    });
}

void store_sync::on_targets_loaded(const std::set<std::string>& names, const era_revision& revision) {
    const bool rewriting = boot_clock::now() - era_began_ < rewrite_time;
    std::vector<std::string> gone;
    for (const auto& [node, view] : state_.targets.by_node) {
        const auto& known = view.entry.revision;
        // A stale list may lack entries that are newer than its revision, and the list of a new era those
        // that their nodes have yet to write again.
        const bool may_return = rewriting && is_known(known) && known.era < revision.era;
        if (!names.contains(node) && node != state_.settings.node && known <= revision && !may_return) {
            gone.push_back(node);
        }
    }
    for (const auto& node : gone) {
        remove_target(state_.targets, node);
    }
    if (!names.contains(state_.settings.node) && own_revision_ <= revision) {
        stored_entry_.reset();
        own_revision_ = {};
    }
    if (removed_ && is_known(own_revision_)) {
        remove_own_entry([] {}); // The store has lost the removal.
    }
    state_.targets_known = true;
    publish_own_entry([](bool) {});
}

void store_sync::start() {
    // A node that was restarted needs its own entry as it is now: it says whether the target left. When the
    // whole system starts for the first time, there is none.
    const auto wanted = state_.settings.first_start ? freshness::stale : freshness::current;
    config_->list_freshness = wanted;
    targets_->list_freshness = wanted;
    load(*config_);
    load(*targets_);
}

bool store_sync::is_connected() const {
    return connected_;
}

void store_sync::record_store_result(bool reached, std::string_view what) {
    state_.metrics.count_store_call(what, reached ? "answered" : "failed");
    if (reached != connected_ || !connection_state_logged_) {
        state_.log.write(reached ? "store-regained" : "store-lost", {{"call", what}});
        connection_state_logged_ = true;
    }
    connected_ = reached;
}

void store_sync::load(collection& it) {
    const auto step = ++it.step;
    store_.list(it.kind, it.list_freshness, [this, &it, step, alive = alive_](result<object_list> listed) {
        if (!*alive) {
            return;
        }
        record_store_result(listed.has_value(), "list");
        follow_era();
        if (step != it.step) {
            return;
        }
        if (!listed) {
            log_unreadable(listed.error(), "list");
            retry(it, true);
            return;
        }
        if (is_outdated(listed.value().revision, "list")) {
            it.list_freshness = freshness::current;
            retry(it, true);
            return;
        }
        it.failures = 0;
        it.revision = listed.value().revision;
        count_unreadable(it, listed.value());
        it.watched_without_delay = false;
        std::set<std::string> names;
        for (const auto& object : listed.value().objects) {
            names.insert(object.name);
            it.on_object(object);
        }
        std::erase_if(it.rejected, [&](const auto& entry) { return !names.contains(entry.first); });
        it.on_loaded(names, it.revision);
        // If the history since a stale list is gone, the next list must be current.
        it.list_freshness = freshness::current;
        probe_and_watch(it);
    });
}

/// Chooses the freshness of the next watch. Target entries may be older than the configuration, since the
/// node beside a target decides whether a call runs.
freshness store_sync::choose_freshness(const collection& it) {
    if (it.avoids_stale_reads) {
        return freshness::current;
    }
    if (&it == targets_.get()) {
        return freshness::stale;
    }
    const auto now = boot_clock::now();
    const auto& targets = state_.targets;
    const bool undelayed = is_config_watcher(targets, state_.settings, now);
    const auto lifetime = claim_lifetime(state_.settings.config_apply_time);
    const auto watchers =
        std::count_if(targets.by_node.begin(), targets.by_node.end(), [&](const auto& node) {
            return node.second.entry.domain == state_.settings.domain &&
                   claims_config_watch(node.second.presence, now, lifetime);
        });
    state_.log.write("config-watch", {{"undelayed", undelayed}, {"other_watchers", watchers}});
    return undelayed ? freshness::current : freshness::stale;
}

void store_sync::reconsider_config_watch() {
    if (config_->relies_on_others && is_config_watcher(state_.targets, state_.settings, boot_clock::now())) {
        watch(*config_, max_watch_duration, choose_freshness(*config_));
    }
}

/// Watches for changes. If the store has stopped responding, a watch fails only after its full duration, so a
/// short and cheap watch first checks that the store answers.
void store_sync::probe_and_watch(collection& it) {
    watch(it, probe_watch_duration, it.avoids_stale_reads ? freshness::current : freshness::stale);
}

void store_sync::watch(collection& it, boot_duration wait, freshness wanted) {
    const auto step = ++it.step;
    it.relies_on_others = &it == config_.get() && wait == max_watch_duration && wanted == freshness::stale;
    if (&it == config_.get() && wait == max_watch_duration) {
        state_.watches_config = wanted == freshness::current;
    }
    store_.watch(it.kind, it.revision, wait, wanted,
                 [this, &it, step, wait, wanted, alive = alive_](result<object_list> changes) {
                     if (!*alive) {
                         return;
                     }
                     follow_era();
                     if (step != it.step) {
                         return;
                     }
                     it.relies_on_others = false;
                     // The changes since this revision can't be obtained or read, so the kind is listed
                     // again.
                     const bool reload = !changes && (changes.error().kind == error_kind::not_found ||
                                                      changes.error().kind == error_kind::malformed);
                     record_store_result(changes.has_value() || reload,
                                         wait == probe_watch_duration ? "probe" : "watch");
                     if (!changes) {
                         log_unreadable(changes.error(), "watch");
                         retry(it, reload);
                         return;
                     }
                     if (is_outdated(changes.value().revision, "watch")) {
                         it.avoids_stale_reads = true;
                         retry(it, false);
                         return;
                     }
                     it.avoids_stale_reads = it.avoids_stale_reads && wait == probe_watch_duration;
                     it.failures = 0;
                     it.list_freshness = freshness::stale;
                     it.revision = std::max(it.revision, changes.value().revision);
                     count_unreadable(it, changes.value());
                     it.watched_without_delay = wanted == freshness::current;
                     for (const auto& object : changes.value().objects) {
                         it.on_object(object);
                     }
                     if (wait == probe_watch_duration && changes.value().objects.empty()) {
                         watch(it, max_watch_duration, choose_freshness(it));
                         return;
                     }
                     state_.loop.schedule(it.watch_delay, [this, &it, step, alive] {
                         if (*alive && step == it.step) {
                             probe_and_watch(it);
                         }
                     });
                 });
}

void store_sync::retry(collection& it, bool reload) {
    it.relies_on_others = false;
    if (&it == config_.get()) {
        state_.watches_config = false;
    }
    const auto base = std::min<milliseconds>(min_backoff * (1U << std::min(it.failures, 4U)), max_backoff);
    ++it.failures;
    const auto step = ++it.step;
    const auto pause = std::chrono::duration_cast<duration>(from_ms(to_ms(base) * (0.5 + uniform(state_))));
    state_.loop.schedule(pause, [this, &it, step, reload, alive = alive_] {
        if (!*alive || step != it.step) {
            return;
        }
        if (reload) {
            load(it);
        } else {
            probe_and_watch(it);
        }
    });
}

bool store_sync::apply_config(const stored_object& it) {
    if (it.name != state_.port.config_name || it.deleted) {
        return false;
    }
    // adopt_config() logs a rejected document and keeps the current one.
    const auto adopted = adopt_config(state_, it.content, "store");
    return adopted && adopted.value();
}

void store_sync::apply_target(const stored_object& it) {
    const bool own = it.name == state_.settings.node;
    if (it.deleted) {
        if (!own) {
            remove_target(state_.targets, it.name);
        } else if (it.revision >= own_revision_) {
            stored_entry_.reset();
            own_revision_ = {};
            publish_own_entry([](bool) {});
        }
        return;
    }
    auto decoded = decode_entry(it);
    if (!decoded) {
        reject_entry(it, decoded.error());
        if (own && it.revision >= own_revision_) {
            own_revision_ = it.revision;
            stored_entry_.reset();
        }
        return;
    }
    auto& entry = decoded.value();
    if (own) {
        if (it.revision >= own_revision_) {
            own_revision_ = it.revision;
            stored_entry_ = entry;
        }
        if (entry.leaving) {
            record_departed(state_, entry);
        }
        restore_target(state_, entry);
        return;
    }
    if (update_target(state_.targets, entry)) {
        state_.log.write("target-entry", {{"target_node", entry.node},
                                          {"service", entry.service},
                                          {"instance", entry.instance},
                                          {"accepting", entry.accepting},
                                          {"revision", entry.revision.number}});
    }
}

void store_sync::reject_entry(const stored_object& it, const error& cause) {
    auto& known = targets_->rejected[it.name];
    if (known == it.revision) {
        return;
    }
    known = it.revision;
    state_.metrics.count_event("malformed_entry");
    state_.log.write("entry-rejected",
                     {{"name", it.name}, {"revision", it.revision.number}, {"error", describe(cause)}});
}

void store_sync::count_unreadable(const collection& it, const object_list& list) {
    if (list.unreadable > 0) {
        state_.metrics.count_event("malformed_entry");
        state_.log.write("entries-unreadable",
                         {{"kind", it.kind}, {"count", list.unreadable}, {"revision", list.revision.number}});
    }
}

void store_sync::fetch_config(const endpoint& peer) {
    if (config_fetch_pending_) {
        return;
    }
    config_fetch_pending_ = true;
    if (!connected_) {
        // Without the store, the peer also tells which targets there are.
        pull_peer_state(state_, peer, [this, alive = alive_] {
            if (*alive) {
                config_fetch_pending_ = false;
            }
        });
        return;
    }
    pull_peer_config(state_, peer, [this, alive = alive_](bool newer) {
        if (!*alive) {
            return;
        }
        if (newer) {
            config_fetch_pending_ = false;
            return;
        }
        store_.get(state_.port.config_kind, state_.port.config_name,
                   [this, alive](const result<stored_object>& read) {
                       if (!*alive) {
                           return;
                       }
                       config_fetch_pending_ = false;
                       record_store_result(read.has_value(), "get");
                       follow_era();
                       if (read && !is_outdated(read.value().revision, "get")) {
                           apply_config(read.value());
                       }
                   });
    });
}

void store_sync::publish_own_entry(std::function<void(bool)> done) {
    publish_callbacks_.push_back(std::move(done));
    if (!writing_) {
        write_own_entry();
    }
}

void store_sync::write_own_entry() {
    const auto wanted = own_entry(state_);
    target_entry known = stored_entry_.value_or(target_entry{});
    known.revision = {};
    if (!state_.target.current || known == wanted || removed_) {
        finish_write(known == wanted);
        return;
    }
    writing_ = true;
    // The own entry is needed in the target table, since the local target also serves callers on this VM.
    update_target(state_.targets, wanted);
    const auto written = [this, alive = alive_](result<stored_object> it) {
        if (*alive) {
            on_written(std::move(it));
        }
    };
    if (!is_known(own_revision_)) {
        store_.create(state_.port.target_kind, wanted.node, encode_entry(wanted), written);
        return;
    }
    store_.replace(state_.port.target_kind, {wanted.node, own_revision_, encode_entry(wanted), false},
                   written);
}

void store_sync::on_written(result<stored_object> written) {
    writing_ = false;
    const bool conflict = !written && written.error().kind == error_kind::conflict;
    const bool gone = !written && written.error().kind == error_kind::not_found;
    record_store_result(written.has_value() || conflict || gone, "write");
    follow_era();
    if (written && is_outdated(written.value().revision, "write")) {
        write_own_entry();
        return;
    }
    if (written) {
        apply_target(written.value());
        write_own_entry(); // Writes again if the entry has changed meanwhile; otherwise completes the write.
        return;
    }
    if (gone) {
        stored_entry_.reset();
        own_revision_ = {};
        write_own_entry();
        return;
    }
    if (conflict) {
        // The response to an earlier write was lost, or this node stored an entry before it was restarted.
        // The stored entry is read to get its revision.
        writing_ = true;
        store_.get(state_.port.target_kind, state_.settings.node,
                   [this, alive = alive_](result<stored_object> read) {
                       if (!*alive) {
                           return;
                       }
                       writing_ = false;
                       record_store_result(read.has_value(), "get");
                       follow_era();
                       if (!read || is_outdated(read.value().revision, "get")) {
                           finish_write(false);
                           retry_write();
                           return;
                       }
                       own_revision_ = {};
                       apply_target(read.value());
                       write_own_entry();
                   });
        return;
    }
    state_.log.write("own-entry-not-stored", {{"error", describe(written.error())}});
    finish_write(false);
    retry_write();
}

void store_sync::retry_write() {
    state_.loop.schedule(min_backoff * 2, [this, alive = alive_] {
        if (*alive && !writing_) {
            write_own_entry();
        }
    });
}

void store_sync::finish_write(bool stored) {
    const auto waiting = std::move(publish_callbacks_);
    publish_callbacks_.clear();
    for (const auto& fn : waiting) {
        fn(stored);
    }
}

void store_sync::remove_own_entry(std::function<void()> done) {
    removed_ = true;
    if (!is_known(own_revision_)) {
        done();
        return;
    }
    store_.remove(state_.port.target_kind, state_.settings.node, own_revision_,
                  [this, alive = alive_, done = std::move(done)](const result<stored_object>& removed) {
                      if (*alive) {
                          record_store_result(removed.has_value(), "remove");
                          follow_era();
                      }
                      done();
                  });
}

} // namespace baobabswitch
