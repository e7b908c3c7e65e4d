#include "control/control_private.h"

enum { ROUND_PEERS = 3 };

/* Sends a message to a few random peers: one round of a broadcast.  In each
 * round of three peers a node is missed with the probability 1/e. */
void
control_send_round(struct control *control, enum control_kind kind,
                   const struct control_bytes *bytes)
{
    const struct members_node *peers[ROUND_PEERS];
    int n_peers = members_pick(control->members, ROUND_PEERS, peers);

    for (int i = 0; i < n_peers; i++) {
        wire_send(&control->endpoint, peers[i]->control_address, kind,
                  bytes->data, bytes->size);
    }
}
