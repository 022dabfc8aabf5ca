#pragma once

#include "bootclock.h"

namespace baobabswitch {

/// Signs of life of another node, as seen by this one. An entry in the store is none: nobody removes the
/// entry of a VM that is lost.
struct node_presence {
    boot_time_point heard_at{};    ///< last message from the node
    boot_time_point watching_at{}; ///< last message that said that it watches the configuration; see
                                   ///< is_config_watcher()
    boot_time_point lost_since{};  ///< first failed connection since the last message
    boot_time_point next_check{};  ///< of a lost node
};

/// Records a message from the node. `watches_config` is what it says of itself.
void record_heard(node_presence& it, bool watches_config, boot_time_point now);
/// Records that no connection to the node could be established.
void record_unreachable(node_presence& it, boot_time_point now);

/// Returns whether the last attempt to reach the node failed and it has sent no message since.
bool is_lost(const node_presence& it);
/// Returns whether the node has been lost for so long that it no longer takes part in what nodes share. Until
/// then it may be partitioned from this node only.
bool is_gone(const node_presence& it, boot_time_point now);
/// Returns whether a message arrived recently.
bool was_heard_recently(const node_presence& it, boot_time_point now);
/// Returns for how long a node may rely on others to watch the configuration without hearing it from them
/// again. What remains of the time within which a configuration has to be in force is left for noticing that
/// the others are lost and reading it.
boot_duration claim_lifetime(boot_duration config_apply_time);
/// Returns whether the node said within `lifetime` that it watches the configuration without delay.
bool claims_config_watch(const node_presence& it, boot_time_point now, boot_duration lifetime);
/// Returns whether a lost node is due for another attempt to reach it. The intervals grow with the time for
/// which it has been lost.
bool is_check_due(const node_presence& it, boot_time_point now);

} // namespace baobabswitch
