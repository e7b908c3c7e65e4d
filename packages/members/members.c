#include "members/members_private.h"

#include <string.h>

enum {
    DEFAULT_PROBE_MS = 1000,
    DEFAULT_DIRECT_MS = 500,
    DEFAULT_FAIL_MS = 1500,
    DEFAULT_SUSPICION_MS = 3000,
    DEFAULT_PULL_MS = 60000,
    DEFAULT_RETRY_MS = 5000,
    DEFAULT_FORGET_DEAD_MS = 2 * 3600 * 1000,
    DEFAULT_FORGET_LEFT_MS = 10 * 60 * 1000,
};

static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

static void
fill_defaults(struct members_desc *desc)
{
    desc->probe_ms = or_default(desc->probe_ms, DEFAULT_PROBE_MS);
    desc->direct_ms = or_default(desc->direct_ms, DEFAULT_DIRECT_MS);
    desc->fail_ms = or_default(desc->fail_ms, DEFAULT_FAIL_MS);
    desc->suspicion_ms = or_default(desc->suspicion_ms, DEFAULT_SUSPICION_MS);
    desc->pull_ms = or_default(desc->pull_ms, DEFAULT_PULL_MS);
    desc->retry_ms = or_default(desc->retry_ms, DEFAULT_RETRY_MS);
    desc->forget_dead_ms =
        or_default(desc->forget_dead_ms, DEFAULT_FORGET_DEAD_MS);
    desc->forget_left_ms =
        or_default(desc->forget_left_ms, DEFAULT_FORGET_LEFT_MS);
}

/* Makes a node that knows itself and its seeds; it joins as it ticks. */
struct members *
members_new(const struct members_desc *desc)
{
    struct members *members = g_new0(struct members, 1);

    members->desc = *desc;
    fill_defaults(&members->desc);
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
    members->next_retry_ms = desc->now_ms + members->desc.retry_ms;
    members->seeds = g_new0(char *, desc->n_seeds + 1);
    for (int i = 0, n = 0; i < desc->n_seeds; i++) {
        if (strcmp(desc->seeds[i], desc->self.control_address) != 0) {
            members->seeds[n++] = g_strdup(desc->seeds[i]);
        }
    }
    members->pull_wait_ms = MEMBERS_JOIN_RETRY_MS;
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

/* Announces LEAVING, or with is_gone LEFT, to a few nodes at once; they
 * spread it. */
void
members_leave(struct members *members, bool is_gone, int64_t now_ms,
              GArray *out)
{
    const struct members_node *some[MEMBERS_N_HELPERS];
    int n_some;

    members->self.node.state = is_gone ? MEMBERS_LEFT : MEMBERS_LEAVING;
    members_refute(members, members->self.node.incarnation, now_ms);
    n_some = members_pick(members, MEMBERS_N_HELPERS, some);
    for (int i = 0; i < n_some; i++) {
        members_emit(out, some[i]->control_address,
                     members_compose(members, MEMBERS_PROBE,
                                     ++members->next_sequence, NULL));
    }
}

/* Tells the others, with the next messages, which configuration is in force
 * here. */
void
members_set_world_revision(struct members *members, int64_t revision)
{
    members->self.node.world_revision = revision;
}

/* The version of the view; see members_snapshot. */
uint64_t
members_version(const struct members *members)
{
    return members->version;
}

/* Whether another node has told its full state, or there is none to ask. */
bool
members_has_joined(const struct members *members)
{
    return members->has_joined;
}

/* Where a newer configuration than `above` can be had. */
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

/* The newest configuration that is known to be in force anywhere. */
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

/* Picks live nodes at random, without repetition. */
int
members_pick(struct members *members, int n, const struct members_node **out)
{
    GPtrArray *ring = members_ring(members);
    int n_picked = 0;

    /* Selection sampling keeps each subset equally likely. */
    for (guint i = 0; i < ring->len && n_picked < n; i++) {
        guint left = ring->len - i;
        if (members_random(members, left) < n - n_picked) {
            const struct members_record *record = g_ptr_array_index(ring, i);
            out[n_picked++] = &record->node;
        }
    }
    return n_picked;
}
