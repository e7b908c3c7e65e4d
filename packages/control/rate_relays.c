#include "control/control_private.h"

#include <string.h>

/*
 * Reports to limiters through other nodes.  A node that gets no answer from an
 * operator's limiter also sends its reports to relays, which pass them on to
 * the limiter if it answers them, and its answers back.  A node that is cut
 * off from some nodes only so takes part in the limit as before; its
 * substitute would be a second limiter, with a bucket of its own.
 */

enum {
    REQUEST_TIMEOUT_MS = 1000,
    MAX_PENDING = 1000, /* reports being passed on; more are dropped */
};

/* A report that has been passed on. */
struct relayed_report {
    struct control *control;
    struct wire_return from; /* where to send the answer */
};

/* Creates an empty set of reports that are being passed on. */
GHashTable *
control_rate_relays_new(void)
{
    return g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
}

/* Returns the node through which to send reports, another one for each
 * attempt; WORLD_NONE: there is no other node.  The order differs between
 * nodes, so that no relay serves all of them. */
int
control_rate_relay_choose(struct control *control, int attempt)
{
    const struct members_view *view = control->view;
    uint64_t seed = base_hash_text(view->nodes[view->self].name,
                                   (uint64_t)(unsigned)attempt);
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        uint64_t weight = base_hash_text(node->name, seed);
        if (i == view->self || !members_accepts_work(node) ||
            node->state == MEMBERS_SUSPECT ||
            control_rates_has_lost(control->rates, node->name)) {
            continue;
        }
        if (best == WORLD_NONE || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

static void
on_answered(void *context, const struct wire_answer *reply)
{
    struct relayed_report *relayed = context;
    struct control *control = relayed->control;

    if (reply->code == BASE_OK && reply->kind == CONTROL_RATE_ANSWER) {
        wire_reply(&control->endpoint, &relayed->from, CONTROL_RATE_ANSWER,
                   reply->body, reply->size);
    }
    g_hash_table_remove(control->rate_relays, relayed);
}

/* Passes a report of the node `sender` on to the operator's limiter; `from` is
 * where to send the answer. */
void
control_rate_relay_forward(struct control *control, const char *sender,
                           Control__RateAsk *report, int limiter,
                           const struct wire_return *from)
{
    struct relayed_report *relayed;
    struct control_bytes bytes;
    char *node = report->node;

    if (g_hash_table_size(control->rate_relays) >= MAX_PENDING) {
        return;
    }
    relayed = g_new(struct relayed_report, 1);
    *relayed = (struct relayed_report){control, *from};
    g_hash_table_add(control->rate_relays, relayed);
    base_counter_add(
        base_counter(control->counters, "rate_reports_relayed_total"), 1);
    report->node = (char *)sender;
    bytes = control_pack(&report->base);
    report->node = node;
    wire_request(&control->endpoint,
                 &(struct wire_request_desc){
                     .address = control_node_address(control, limiter),
                     .kind = CONTROL_RATE_ASK,
                     .body = bytes.data,
                     .size = bytes.size,
                     .timeout_ms = REQUEST_TIMEOUT_MS,
                     .is_idempotent = true,
                     .answered = on_answered,
                     .context = relayed,
                 });
    g_free(bytes.data);
}
