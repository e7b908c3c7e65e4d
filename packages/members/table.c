#include "members/members_private.h"

#include <math.h>
#include <string.h>

enum {
    SENDS_PER_DOUBLING = 2, /* sends of an update per doubling of the fleet */
    SENDS_AFTER_STATE = 2,  /* sends of one from a full state; most have it */
};

/* Returns whether the node is presumed running. */
bool
members_is_live(const struct members_record *record)
{
    return record->node.state == MEMBERS_ALIVE ||
           record->node.state == MEMBERS_SUSPECT ||
           record->node.state == MEMBERS_LEAVING;
}

static bool
is_live_state(enum members_state state)
{
    return state == MEMBERS_ALIVE || state == MEMBERS_SUSPECT ||
           state == MEMBERS_LEAVING;
}

/* Queues the record's update for so many of the next messages that it reaches
 * every node with near certainty. */
void
members_queue_update(struct members *members, struct members_record *record)
{
    double n_nodes = g_hash_table_size(members->records) + 2;
    record->n_sends_left = SENDS_PER_DOUBLING * (int)ceil(log2(n_nodes));
}

/* Returns how long a suspect has to refute before it is declared dead.  It
 * grows with the fleet, since updates take longer to reach more nodes. */
int64_t
members_suspicion_ms(const struct members *members)
{
    double n_nodes = g_hash_table_size(members->records) + 1;
    return (int64_t)((double)members->desc.suspicion_ms *
                     MAX(1.0, log10(n_nodes)));
}

/* Increments the view's version and queues the record's update, after a change
 * of the record. */
void
members_record_change(struct members *members, struct members_record *record,
                      int64_t now_ms)
{
    record->last_change_ms = now_ms;
    members->version++;
    members->is_ring_stale = true;
    members->has_urgent_update |= record != &members->self;
    members_queue_update(members, record);
}

static struct members_record *
add_record(struct members *members, const struct members_node *node)
{
    struct members_record *record = g_new0(struct members_record, 1);

    record->node = *node;
    record->ring_key = base_hash_text(node->name, 0);
    g_hash_table_insert(members->records, record->node.name, record);
    return record;
}

/* Replaces a record by a newer update. */
static void
overwrite(struct members *members, struct members_record *record,
          const struct members_update *update, int64_t now_ms)
{
    int64_t revision =
        MAX(record->node.world_revision, update->node.world_revision);

    if (update->is_brief) {
        record->node.incarnation = update->node.incarnation;
        record->node.state = update->node.state;
    }
    else {
        record->node = update->node;
    }
    record->node.world_revision = revision;
    if (update->node.state != MEMBERS_SUSPECT) {
        record->is_leaving = update->node.state == MEMBERS_LEAVING;
    }
    record->suspect_until_ms = now_ms + members_suspicion_ms(members);
    record->needs_check = false;
    members_record_change(members, record, now_ms);
}

/* Returns whether an update takes precedence over the record.  Only the node
 * itself raises its incarnation; within one incarnation the worse state
 * wins. */
static bool
is_newer(const struct members_update *update,
         const struct members_record *record)
{
    static const int PRECEDENCE[] = {
        [MEMBERS_ALIVE] = 0, [MEMBERS_LEAVING] = 1, [MEMBERS_SUSPECT] = 2,
        [MEMBERS_DEAD] = 3,  [MEMBERS_LEFT] = 4,
    };

    if (update->node.incarnation != record->node.incarnation) {
        return update->node.incarnation > record->node.incarnation;
    }
    return PRECEDENCE[update->node.state] > PRECEDENCE[record->node.state];
}

/* Refutes a report about this node: raises its incarnation above the current
 * one and above `incarnation`, that of the report, and queues the update. */
void
members_refute(struct members *members, uint64_t incarnation, int64_t now_ms)
{
    struct members_record *self = &members->self;

    self->node.incarnation = MAX(self->node.incarnation, incarnation) + 1;
    members_record_change(members, self, now_ms);
}

static void
apply_to_self(struct members *members, const struct members_update *update,
              int64_t now_ms)
{
    struct members_record *self = &members->self;
    bool is_same = update->node.state == self->node.state &&
                   update->node.incarnation == self->node.incarnation;

    if (update->node.incarnation < self->node.incarnation) {
        /* The sender has missed the refutation. */
        if (!is_live_state(update->node.state)) {
            members_queue_update(members, self);
        }
        return;
    }
    if (is_same) {
        return;
    }
    members_refute(members, update->node.incarnation, now_ms);
}

/* Applies one update that a message carried. */
void
members_apply_gossip(struct members *members,
                     const struct members_update *update, int64_t now_ms)
{
    struct members_record *record;

    if (strcmp(update->node.name, members->self.node.name) == 0) {
        apply_to_self(members, update, now_ms);
        return;
    }
    record = g_hash_table_lookup(members->records, update->node.name);
    if (record == NULL) {
        if (update->is_brief || !is_live_state(update->node.state)) {
            return;
        }
        record = add_record(members, &update->node);
        overwrite(members, record, update, now_ms);
        return;
    }
    if (is_newer(update, record)) {
        overwrite(members, record, update, now_ms);
    }
}

/* Applies one record of another node's full state.  Such a state may be
 * outdated, for instance after a partition: a node that it reports as suspect
 * or dead but that is live here is probed first, and its state is kept. */
void
members_apply_state(struct members *members,
                    const struct members_update *update, int64_t now_ms)
{
    struct members_record *record =
        g_hash_table_lookup(members->records, update->node.name);
    enum members_state state = update->node.state;

    if (record != NULL && members_is_live(record) &&
        (state == MEMBERS_DEAD || state == MEMBERS_SUSPECT)) {
        if (update->node.incarnation >= record->node.incarnation) {
            record->needs_check = true;
            record->reported_incarnation = update->node.incarnation;
        }
        return;
    }
    members_apply_gossip(members, update, now_ms);
    record = g_hash_table_lookup(members->records, update->node.name);
    if (record != NULL && record->last_change_ms == now_ms) {
        record->n_sends_left = MIN(record->n_sends_left, SENDS_AFTER_STATE);
    }
}

/* Marks a node as suspect after a failed probe. */
void
members_suspect(struct members *members, struct members_record *record,
                int64_t now_ms)
{
    if (record->node.state != MEMBERS_ALIVE &&
        record->node.state != MEMBERS_LEAVING) {
        return;
    }
    record->node.state = MEMBERS_SUSPECT;
    record->suspect_until_ms = now_ms + members_suspicion_ms(members);
    members_record_change(members, record, now_ms);
}

static bool
is_expired(const struct members *members, const struct members_record *record,
           int64_t now_ms)
{
    int64_t age_ms = now_ms - record->last_change_ms;

    if (record->node.state == MEMBERS_DEAD) {
        return age_ms >= members->desc.forget_dead_ms;
    }
    return record->node.state == MEMBERS_LEFT &&
           age_ms >= members->desc.forget_left_ms;
}

/* Declares suspects dead whose time to refute has ended, and removes nodes
 * that died or left long ago. */
void
members_expire_records(struct members *members, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        if (record->node.state == MEMBERS_SUSPECT &&
            now_ms >= record->suspect_until_ms) {
            record->node.state = MEMBERS_DEAD;
            members_record_change(members, record, now_ms);
        }
        else if (is_expired(members, record, now_ms)) {
            g_hash_table_iter_remove(&iter);
            members->version++;
            members->is_ring_stale = true;
        }
    }
}

static gint
compare_ring(gconstpointer left, gconstpointer right)
{
    const struct members_record *a =
        *(const struct members_record *const *)left;
    const struct members_record *b =
        *(const struct members_record *const *)right;

    if (a->ring_key == b->ring_key) {
        return strcmp(a->node.name, b->node.name);
    }
    return a->ring_key < b->ring_key ? -1 : 1;
}

/* Returns the other live nodes in the order of the hashes of their names,
 * beginning after this node's.  A node probes mainly the first ones:
 * neighbours rarely change, so few connections are needed, and each node is
 * probed by the same number of others. */
GPtrArray *
members_ring(struct members *members)
{
    GPtrArray *sorted;
    GHashTableIter iter;
    gpointer value;
    guint first = 0;

    if (!members->is_ring_stale) {
        return members->ring;
    }
    members->is_ring_stale = false;
    sorted = g_ptr_array_new();
    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (members_is_live(value)) {
            g_ptr_array_add(sorted, value);
        }
    }
    g_ptr_array_sort(sorted, compare_ring);
    while (
        first < sorted->len &&
        ((struct members_record *)g_ptr_array_index(sorted, first))->ring_key <
            members->self.ring_key) {
        first++;
    }
    g_ptr_array_set_size(members->ring, 0);
    for (guint i = 0; i < sorted->len; i++) {
        g_ptr_array_add(members->ring,
                        g_ptr_array_index(sorted, (first + i) % sorted->len));
    }
    g_ptr_array_free(sorted, TRUE);
    return members->ring;
}
