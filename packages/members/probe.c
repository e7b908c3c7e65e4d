#include "members/members_private.h"

#include <string.h>

enum {
    MAX_OPEN_PROBES = 32,
    RANDOM_PROBE_INTERVAL = 8, /* every 8th probe goes to a random node */
    /* If more than 1 / MANY_DEAD_DIVISOR of the nodes are dead, dead nodes are
     * probed at every probe interval. */
    MANY_DEAD_DIVISOR = 8,
};

/* Returns a random number from 0 to bound - 1; 0 if bound is 0. */
int
members_random(struct members *members, guint bound)
{
    return bound < 2 ? 0 : g_rand_int_range(members->random, 0, (gint32)bound);
}

static const char *
random_seed(struct members *members)
{
    guint n_seeds = g_strv_length(members->seeds);
    return n_seeds == 0 ? NULL
                        : members->seeds[members_random(members, n_seeds)];
}

static bool
is_live_address(const struct members *members, const char *address)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct members_record *record = value;
        if (members_is_live(record) &&
            strcmp(record->node.control_address, address) == 0) {
            return true;
        }
    }
    return false;
}

static struct members_record *
random_live(struct members *members)
{
    GPtrArray *ring = members_ring(members);
    return ring->len == 0
               ? NULL
               : g_ptr_array_index(ring, members_random(members, ring->len));
}

/* Returns a random dead node, or NULL, and stores the number of dead nodes in
 * n_dead. */
static struct members_record *
random_dead(struct members *members, guint *n_dead)
{
    struct members_record *chosen = NULL;
    GHashTableIter iter;
    gpointer value;

    *n_dead = 0;
    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        if (record->node.state != MEMBERS_DEAD) {
            continue;
        }
        (*n_dead)++;
        if (members_random(members, *n_dead) == 0) {
            chosen = record;
        }
    }
    return chosen;
}

/* Sends a probe to an address, which is that of the node `to`, or of a seed if
 * `to` is NULL.  The result is valid until the next probe is sent or
 * removed. */
static struct members_probe *
send_probe(struct members *members, struct members_record *to,
           const char *address, int64_t now_ms, GArray *out)
{
    struct members_probe probe = {.sent_at_ms = now_ms};

    if (members->probes->len >= MAX_OPEN_PROBES) {
        g_array_remove_index(members->probes, 0);
    }
    probe.sequence = ++members->next_sequence;
    if (to != NULL) {
        g_strlcpy(probe.name, to->node.name, sizeof(probe.name));
    }
    members_emit(out, address,
                 members_compose(members, MEMBERS_PROBE, probe.sequence, to));
    g_array_append_val(members->probes, probe);
    return &g_array_index(members->probes, struct members_probe,
                          members->probes->len - 1);
}

static struct members_record *
next_to_check(struct members *members)
{
    GPtrArray *ring = members_ring(members);

    for (guint i = 0; i < ring->len; i++) {
        struct members_record *record = g_ptr_array_index(ring, i);
        if (record->needs_check) {
            return record;
        }
    }
    return NULL;
}

/* Returns the node to probe next.  Every second probe goes to a node that
 * needs a check, if there is one.  The others go to the neighbours on the ring
 * in turn, and some to a random node, so that updates reach the whole
 * fleet. */
static struct members_record *
next_to_probe(struct members *members)
{
    GPtrArray *ring = members_ring(members);
    struct members_record *check;

    members->n_probes_sent++;
    if (ring->len == 0) {
        return NULL;
    }
    check = members->n_probes_sent % 2 == 0 ? next_to_check(members) : NULL;
    if (check != NULL) {
        return check;
    }
    if (members->n_probes_sent % RANDOM_PROBE_INTERVAL == 0) {
        return random_live(members);
    }
    members->ring_index =
        (members->ring_index + 1) % MIN(ring->len, MEMBERS_RING_NEIGHBOURS);
    return g_ptr_array_index(ring, members->ring_index);
}

/* Asks a few other nodes to probe a node that has not answered in time. */
static void
request_indirect_probes(struct members *members,
                        const struct members_probe *probe, GArray *out)
{
    const struct members_node *helpers[MEMBERS_FANOUT + 1];
    int n_helpers = members_pick(members, MEMBERS_FANOUT + 1, helpers);
    int n_requested = 0;

    for (int i = 0; i < n_helpers && n_requested < MEMBERS_FANOUT; i++) {
        if (strcmp(helpers[i]->name, probe->name) == 0) {
            continue;
        }
        struct members_message *message = members_compose(
            members, MEMBERS_PROBE_REQUEST, probe->sequence, NULL);
        g_strlcpy(message->target, probe->name, sizeof(message->target));
        members_emit(out, helpers[i]->control_address, message);
        n_requested++;
    }
}

/* Probes a node for a peer that cannot reach it. */
void
members_relay_probe(struct members *members,
                    const struct members_message *message, int64_t now_ms,
                    GArray *out)
{
    struct members_record *target =
        g_hash_table_lookup(members->records, message->target);
    struct members_probe *probe;

    if (target == NULL) {
        return;
    }
    probe =
        send_probe(members, target, target->node.control_address, now_ms, out);
    g_strlcpy(probe->origin, message->from_address, sizeof(probe->origin));
    probe->origin_sequence = message->sequence;
}

/* Handles the answer to a probe, from its target or from a node that probed
 * it for this one, and forwards it if the probe was made for a peer. */
void
members_receive_ack(struct members *members, uint64_t sequence, GArray *out)
{
    for (guint i = 0; i < members->probes->len; i++) {
        const struct members_probe probe =
            g_array_index(members->probes, struct members_probe, i);
        if (probe.sequence != sequence) {
            continue;
        }
        g_array_remove_index(members->probes, i);
        if (probe.origin[0] != '\0') {
            members_emit(out, probe.origin,
                         members_compose(members, MEMBERS_ACK,
                                         probe.origin_sequence, NULL));
        }
        /* A node thought dead, or a seed, has answered: the fleet may have
         * been partitioned, so pull the state of the other side soon. */
        if (probe.is_retry) {
            members->next_pull_ms =
                MIN(members->next_pull_ms,
                    members->last_tick_ms +
                        members_random(
                            members, (guint)members->desc.probe_interval_ms));
        }
        return;
    }
}

/* Requests the full state of one node. */
void
members_pull_from(struct members *members, const char *address,
                  const struct members_record *to, GArray *out)
{
    members_emit(
        out, address,
        members_compose(members, MEMBERS_PULL, ++members->next_sequence, to));
}

static void
handle_failed_probe(struct members *members, const struct members_probe *probe,
                    int64_t now_ms)
{
    struct members_record *record =
        g_hash_table_lookup(members->records, probe->name);

    if (probe->is_retry || probe->origin[0] != '\0' || record == NULL ||
        members->refreshing_until_ms != 0) {
        return;
    }
    members_suspect(members, record, now_ms);
}

/* Requests indirect probes for late probes and removes those that failed. */
static void
check_probes(struct members *members, int64_t now_ms, GArray *out)
{
    for (guint i = 0; i < members->probes->len;) {
        struct members_probe *probe =
            &g_array_index(members->probes, struct members_probe, i);
        int64_t age_ms = now_ms - probe->sent_at_ms;
        bool is_own = !probe->is_retry && probe->origin[0] == '\0';
        if (age_ms >= members->desc.probe_timeout_ms) {
            handle_failed_probe(members, probe, now_ms);
            g_array_remove_index(members->probes, i);
            continue;
        }
        if (is_own && !probe->has_requested_indirect &&
            age_ms >= members->desc.ack_timeout_ms) {
            probe->has_requested_indirect = true;
            request_indirect_probes(members, probe, out);
        }
        i++;
    }
}

/* Probes a dead node, or a seed that is not known to be alive, so that the two
 * sides of a partition find each other again.  If many nodes are dead, as
 * during a partition, it does so at every probe interval. */
static void
retry_dead(struct members *members, int64_t now_ms, GArray *out)
{
    guint n_dead;
    struct members_record *dead = random_dead(members, &n_dead);
    const char *seed = random_seed(members);
    bool has_many =
        n_dead * MANY_DEAD_DIVISOR > g_hash_table_size(members->records);

    members->next_retry_ms =
        now_ms + (has_many ? members->desc.probe_interval_ms
                           : members->desc.retry_interval_ms);
    if (dead != NULL && (seed == NULL || members_random(members, 4) != 0)) {
        send_probe(members, dead, dead->node.control_address, now_ms, out)
            ->is_retry = true;
    }
    else if (seed != NULL && !is_live_address(members, seed)) {
        send_probe(members, NULL, seed, now_ms, out)->is_retry = true;
    }
}

/* Pulls a full state from a random live node or a seed, at intervals that
 * double up to max_pull_interval_ms.  This delivers updates that did not fit
 * in messages while many nodes joined. */
static void
pull(struct members *members, int64_t now_ms, GArray *out)
{
    struct members_record *live = random_live(members);
    const char *seed = random_seed(members);
    const char *address = live != NULL ? live->node.control_address : NULL;

    if (seed != NULL && (address == NULL || !members->has_joined ||
                         members_random(members, 8) == 0)) {
        address = seed;
    }
    if (!members->has_joined || members->refreshing_until_ms != 0) {
        members->pull_interval_ms = MEMBERS_JOIN_RETRY_MS;
    }
    else {
        members->pull_interval_ms = MIN(members->pull_interval_ms * 2,
                                        members->desc.max_pull_interval_ms);
    }
    members->next_pull_ms =
        now_ms + members->pull_interval_ms +
        members_random(members, (guint)members->pull_interval_ms / 4);
    if (address != NULL) {
        members_pull_from(members, address, live, out);
    }
}

/* Recovers from a pause of the process, after which all records are outdated
 * and other nodes may have declared this one dead: drops open probes, restarts
 * the suspicion times, raises the own incarnation and pulls a full state.
 * Until that arrives or the suspicion time ends, no node is declared suspect
 * or dead. */
static void
resume_after_pause(struct members *members, int64_t now_ms, GArray *out)
{
    struct members_action paused = {.kind = MEMBERS_PAUSED};
    int64_t suspicion_ms = members_suspicion_ms(members);
    GHashTableIter iter;
    gpointer value;

    g_array_set_size(members->probes, 0);
    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct members_record *)value)->suspect_until_ms =
            now_ms + suspicion_ms;
    }
    members_refute(members, members->self.node.incarnation, now_ms);
    members->refreshing_until_ms = now_ms + suspicion_ms;
    members->next_pull_ms = now_ms;
    members->next_probe_ms = now_ms;
    g_array_append_val(out, paused);
}

static bool
was_paused(const struct members *members, int64_t now_ms)
{
    return now_ms - members->last_tick_ms > members->desc.suspicion_ms / 2;
}

/* Sends the probes, pulls and changes that are due and updates the records;
 * call it at least ten times a second.  If more than half the suspicion time
 * has passed since the last call, the process is taken to have been paused. */
void
members_tick(struct members *members, int64_t now_ms, GArray *out)
{
    int64_t jitter_ms;

    if (was_paused(members, now_ms)) {
        resume_after_pause(members, now_ms, out);
    }
    members->last_tick_ms = now_ms;
    if (members->refreshing_until_ms != 0 &&
        now_ms >= members->refreshing_until_ms) {
        members->refreshing_until_ms = 0;
    }
    check_probes(members, now_ms, out);
    if (members->refreshing_until_ms == 0) {
        members_expire_records(members, now_ms);
    }
    if (now_ms >= members->next_probe_ms) {
        struct members_record *to = next_to_probe(members);
        jitter_ms = members_random(members,
                                   (guint)members->desc.probe_interval_ms / 5);
        members->next_probe_ms = now_ms + members->desc.probe_interval_ms -
                                 members->desc.probe_interval_ms / 10 +
                                 jitter_ms;
        if (to != NULL) {
            send_probe(members, to, to->node.control_address, now_ms, out);
        }
    }
    if (now_ms >= members->next_retry_ms) {
        retry_dead(members, now_ms, out);
    }
    if (now_ms >= members->next_pull_ms) {
        pull(members, now_ms, out);
    }
    members_push_updates(members, now_ms, out);
}
