#include "members/members_private.h"

#include <string.h>

enum {
    DEFAULT_PROBE_INTERVAL_MS = 1000,
    DEFAULT_ACK_TIMEOUT_MS = 500,
    DEFAULT_PROBE_TIMEOUT_MS = 1500,
    DEFAULT_SUSPICION_MS = 3000,
    DEFAULT_MAX_PULL_INTERVAL_MS = 60000,
    DEFAULT_RETRY_INTERVAL_MS = 5000,
    DEFAULT_FORGET_DEAD_MS = 2 * 3600 * 1000,
    DEFAULT_FORGET_LEFT_MS = 10 * 60 * 1000,
};

static int64_t
value_or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

static void
apply_defaults(struct members_desc *desc)
{
    desc->probe_interval_ms =
        value_or_default(desc->probe_interval_ms, DEFAULT_PROBE_INTERVAL_MS);
    desc->ack_timeout_ms =
        value_or_default(desc->ack_timeout_ms, DEFAULT_ACK_TIMEOUT_MS);
    desc->probe_timeout_ms =
        value_or_default(desc->probe_timeout_ms, DEFAULT_PROBE_TIMEOUT_MS);
    desc->suspicion_ms =
        value_or_default(desc->suspicion_ms, DEFAULT_SUSPICION_MS);
    desc->max_pull_interval_ms = value_or_default(
        desc->max_pull_interval_ms, DEFAULT_MAX_PULL_INTERVAL_MS);
    desc->retry_interval_ms =
        value_or_default(desc->retry_interval_ms, DEFAULT_RETRY_INTERVAL_MS);
    desc->forget_dead_ms =
        value_or_default(desc->forget_dead_ms, DEFAULT_FORGET_DEAD_MS);
    desc->forget_left_ms =
        value_or_default(desc->forget_left_ms, DEFAULT_FORGET_LEFT_MS);
}

/* Makes the state of a node that knows only itself and its seeds; it joins the
 * fleet with the first ticks.  Free it with members_free. */
struct members *
members_new(const struct members_desc *desc)
{
    struct members *members = g_new0(struct members, 1);

    members->desc = *desc;
    apply_defaults(&members->desc);
    members->random = g_rand_new_with_seed((guint32)desc->seed);
    members->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    members->self.node = desc->self;
    members->self.node.state = MEMBERS_ALIVE;
    members->self.ring_key = base_hash_text(desc->self.name, 0);
    members->ring = g_ptr_array_new();
    members->is_ring_stale = true;
    members->probes = g_array_new(FALSE, TRUE, sizeof(struct members_probe));
    members->version = 1;
    members->last_tick_ms = desc->now_ms;
    members->next_probe_ms = desc->now_ms;
    members->next_pull_ms = desc->now_ms;
    members->next_retry_ms = desc->now_ms + members->desc.retry_interval_ms;
    members->seeds = g_new0(char *, desc->n_seeds + 1);
    for (int i = 0, n = 0; i < desc->n_seeds; i++) {
        if (strcmp(desc->seeds[i], desc->self.control_address) != 0) {
            members->seeds[n++] = g_strdup(desc->seeds[i]);
        }
    }
    members->pull_interval_ms = MEMBERS_JOIN_RETRY_MS;
    members->has_joined = members->seeds[0] == NULL;
    members_queue_update(members, &members->self);
    return members;
}

/* Frees the node's state; NULL is allowed. */
void
members_free(struct members *members)
{
    if (members == NULL) {
        return;
    }
    g_strfreev(members->seeds);
    g_rand_free(members->random);
    g_hash_table_destroy(members->records);
    g_ptr_array_free(members->ring, TRUE);
    g_array_free(members->probes, TRUE);
    g_free(members);
}

/* Sets this node's state to LEAVING, or to LEFT if has_left is set, and sends
 * it to a few nodes at once, which gossip it. */
void
members_leave(struct members *members, bool has_left, int64_t now_ms,
              GArray *out)
{
    const struct members_node *targets[MEMBERS_FANOUT];
    int n_targets;

    members->self.node.state = has_left ? MEMBERS_LEFT : MEMBERS_LEAVING;
    members_refute(members, members->self.node.incarnation, now_ms);
    n_targets = members_pick(members, MEMBERS_FANOUT, targets);
    for (int i = 0; i < n_targets; i++) {
        members_emit(out, targets[i]->control_address,
                     members_compose(members, MEMBERS_PROBE,
                                     ++members->next_sequence, NULL));
    }
}

/* Sets the configuration revision of this node, which all further messages
 * carry. */
void
members_set_world_revision(struct members *members, int64_t revision)
{
    members->self.node.world_revision = revision;
}

/* See the header; members_snapshot copies it into the view. */
uint64_t
members_version(const struct members *members)
{
    return members->version;
}

/* Returns whether another node has sent its full state, or no seed is set. */
bool
members_has_joined(const struct members *members)
{
    return members->has_joined;
}

/* See the header. */
const struct members_node *
members_pick_newer(struct members *members, int64_t above)
{
    const struct members_node *chosen = NULL;
    guint n_newer = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct members_record *record = value;
        if (members_is_live(record) && record->node.world_revision > above &&
            members_random(members, ++n_newer) == 0) {
            chosen = &record->node;
        }
    }
    return chosen;
}

/* See the header. */
int64_t
members_highest_revision(const struct members *members)
{
    int64_t highest = members->self.node.world_revision;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct members_record *record = value;
        if (members_is_live(record)) {
            highest = MAX(highest, record->node.world_revision);
        }
    }
    return highest;
}

/* See the header. */
int
members_pick(struct members *members, int n, const struct members_node **out)
{
    GPtrArray *ring = members_ring(members);
    int n_picked = 0;

    /* Selection sampling: each subset is equally likely. */
    for (guint i = 0; i < ring->len && n_picked < n; i++) {
        guint left = ring->len - i;
        if (members_random(members, left) < n - n_picked) {
            const struct members_record *record = g_ptr_array_index(ring, i);
            out[n_picked++] = &record->node;
        }
    }
    return n_picked;
}
