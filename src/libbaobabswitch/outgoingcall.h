#pragma once

#include "nodestate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

/// A call on its way from this node to the nodes beside the targets of a service, with its retries.
class outgoing_call : public std::enable_shared_from_this<outgoing_call> {
public:
    using callback = std::function<void(call_outcome)>;

    /// `record` is the record of a keyed request or labelled child call; without one the call keeps its own
    /// marks.
    outgoing_call(node_state& node, call_info info, retry_ledger ledger, std::shared_ptr<key_record> record,
                  callback on_done);

    /// Sends the first attempt. The callback runs exactly once, possibly before this returns.
    void start();
    /// Gives the call up; nobody waits for its answer any more. The callback still runs. A call with a record
    /// keeps its exchange open once it was sent, so that the record gets the final outcome.
    void cancel();

private:
    bool passes_threshold();
    void report_to_parent();
    void attempt();
    void schedule_hedge(time_point now);
    void hedge();
    std::size_t untried_targets() const;
    void on_result(const std::string& target, const std::string& call, unsigned loan, time_point sent_at,
                   http_result outcome);
    void on_not_run(call_outcome outcome);
    void on_unknown(call_outcome outcome);
    void finish(call_outcome outcome);
    bool may_retry();
    attempt_tracker& tracker();

    node_state& node_;
    call_info info_;
    retry_ledger ledger_;
    std::shared_ptr<key_record> record_;
    attempt_tracker own_tracker_;
    callback on_done_;
    std::vector<std::string> tried_;
    unsigned local_retries_ = 0; ///< baselines only
    struct open_attempt {
        http_client::exchange_id exchange = 0;
        endpoint peer;
        std::string call;
    };
    std::vector<open_attempt> open_; ///< more than one while a hedge runs
    timer_handle hedge_timer_;
    bool finished_ = false;
    bool cancelled_ = false;
};

} // namespace baobabswitch
