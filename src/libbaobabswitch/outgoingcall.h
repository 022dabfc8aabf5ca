#pragma once

#include "nodestate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

/// A call from this node to the targets of a service, through their nodes, including retries and hedges.
class outgoing_call : public std::enable_shared_from_this<outgoing_call> {
public:
    using callback = std::function<void(call_outcome)>;

    /// `record` is the record of a keyed request or labelled child call; if null, the call tracks its
    /// attempts itself.
    outgoing_call(node_state& node, call_info info, retry_ledger ledger, std::shared_ptr<key_record> record,
                  callback on_done);

    /// Sends the first attempt. The callback is invoked exactly once, possibly before this returns.
    void start();
    /// Cancels the call when its response is no longer needed. The callback is still invoked. The exchange of
    /// a call that has a record and was already sent stays open, so that the record gets the final outcome.
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
    unsigned local_retries_ = 0; ///< used by the baseline policies only
    struct open_attempt {
        http_client::exchange_id exchange = 0;
        endpoint peer;
        std::string call;
    };
    std::vector<open_attempt> open_; ///< more than one while a hedged attempt is in flight
    timer_handle hedge_timer_;
    bool finished_ = false;
    bool cancelled_ = false;
};

} // namespace baobabswitch
