#include "members/members_private.h"

#include <string.h>

/* Makes an empty message; free it with members_message_free. */
struct members_message *
members_message_new(enum members_message_kind kind)
{
    struct members_message *message = g_new0(struct members_message, 1);
    message->kind = kind;
    message->updates = g_array_new(FALSE, TRUE, sizeof(struct members_update));
    return message;
}

/* Frees a message; NULL is allowed. */
void
members_message_free(struct members_message *message)
{
    if (message != NULL) {
        g_array_free(message->updates, TRUE);
        g_free(message);
    }
}

static void
add_update(struct members_message *message,
           const struct members_record *record)
{
    struct members_update update = {.node = record->node};

    update.is_brief = record->node.state != MEMBERS_ALIVE &&
                      record->node.state != MEMBERS_LEAVING;
    g_array_append_val(message->updates, update);
}

/* Returns the record with the most sends left whose update is not in the
 * message yet, or NULL. */
static struct members_record *
find_most_pending(struct members *members,
                  const struct members_message *message)
{
    struct members_record *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        bool is_included = false;
        for (guint i = 0; i < message->updates->len && !is_included; i++) {
            is_included = strcmp(g_array_index(message->updates,
                                               struct members_update, i)
                                     .node.name,
                                 record->node.name) == 0;
        }
        if (!is_included && record->n_sends_left > 0 &&
            (best == NULL || record->n_sends_left > best->n_sends_left)) {
            best = record;
        }
    }
    return best;
}

/* Adds the receiver's own status if it is suspect or dead here, or if another
 * node's full state reports it as such, so that the receiver can refute
 * that. */
static void
add_receiver_status(struct members_message *message,
                    const struct members_record *to)
{
    struct members_update update = {.is_brief = true};

    if (to == NULL) {
        return;
    }
    if (to->needs_check) {
        update.node = to->node;
        update.node.state = MEMBERS_DEAD;
        update.node.incarnation = to->reported_incarnation;
        g_array_append_val(message->updates, update);
    }
    else if (to->node.state == MEMBERS_SUSPECT ||
             to->node.state == MEMBERS_DEAD) {
        add_update(message, to);
    }
}

static void
add_all_records(struct members *members, struct members_message *message)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        struct members_update update = {.node = record->node};
        /* A suspect's record is sent in full, since the receiver may not know
         * that node. */
        update.is_brief = record->node.state == MEMBERS_DEAD ||
                          record->node.state == MEMBERS_LEFT;
        g_array_append_val(message->updates, update);
    }
}

/* Fills the message with updates that are still to be sent. */
static void
add_pending_updates(struct members *members, struct members_message *message)
{
    while (message->updates->len < MEMBERS_MAX_UPDATES) {
        struct members_record *record = find_most_pending(members, message);
        if (record == NULL) {
            return;
        }
        add_update(message, record);
        record->n_sends_left--;
    }
}

/* Makes a message to `to`, which is NULL when the receiver has no record here.
 * A MEMBERS_STATE has all records; every other message has as many pending
 * updates as fit.  After a pause the records are outdated, so that a
 * MEMBERS_STATE then has pending updates only. */
struct members_message *
members_compose(struct members *members, enum members_message_kind kind,
                uint64_t sequence, const struct members_record *to)
{
    struct members_message *message = members_message_new(kind);
    struct members_record *self = &members->self;
    bool is_full = kind == MEMBERS_PULL || kind == MEMBERS_STATE;

    message->sequence = sequence;
    g_strlcpy(message->from, self->node.name, sizeof(message->from));
    g_strlcpy(message->from_address, self->node.control_address,
              sizeof(message->from_address));
    message->incarnation = self->node.incarnation;
    message->state = self->node.state;
    message->world_revision = self->node.world_revision;
    add_receiver_status(message, to);
    if (is_full || self->n_sends_left > 0) {
        add_update(message, self);
        self->n_sends_left -= self->n_sends_left > 0 ? 1 : 0;
    }
    if (kind == MEMBERS_STATE && members->refreshing_until_ms == 0) {
        add_all_records(members, message);
    }
    else {
        add_pending_updates(members, message);
    }
    return message;
}

/* Appends an action that sends the message. */
void
members_emit(GArray *out, const char *address, struct members_message *message)
{
    struct members_action action = {.kind = MEMBERS_SEND, .message = message};
    g_strlcpy(action.address, address, sizeof(action.address));
    g_array_append_val(out, action);
}

/* Sends changes to a few nodes at once; each of them does the same, so that
 * all nodes know within a few hops.  A server's owner is computed from the
 * view: while views differ, admission requests go to the wrong node. */
void
members_push_updates(struct members *members, int64_t now_ms, GArray *out)
{
    const struct members_node *targets[MEMBERS_FANOUT];
    int n_targets;

    if (!members->has_urgent_update || now_ms < members->next_push_ms) {
        return;
    }
    members->has_urgent_update = false;
    members->next_push_ms = now_ms + MEMBERS_PUSH_INTERVAL_MS;
    n_targets = members_pick(members, MEMBERS_FANOUT, targets);
    for (int i = 0; i < n_targets; i++) {
        /* An acknowledgement of no probe; only its updates matter. */
        members_emit(out, targets[i]->control_address,
                     members_compose(members, MEMBERS_ACK, 0, NULL));
    }
}

/* Applies the sender's incarnation, state and configuration revision from the
 * header of a message, which does not always carry the sender's record. */
static void
apply_sender_header(struct members *members,
                    const struct members_message *message, int64_t now_ms)
{
    struct members_record *record =
        g_hash_table_lookup(members->records, message->from);

    if (record != NULL) {
        if (message->incarnation > record->node.incarnation) {
            struct members_update update = {.node = record->node};
            update.is_brief = true;
            update.node.incarnation = message->incarnation;
            update.node.state = message->state;
            members_apply_gossip(members, &update, now_ms);
        }
        record->node.world_revision =
            MAX(record->node.world_revision, message->world_revision);
        if (message->incarnation >= record->reported_incarnation &&
            members_is_live(record)) {
            record->needs_check = false;
        }
    }
}

/* Pulls the state of a sender that has no record here, at most once per probe
 * interval. */
static void
pull_from_unknown_sender(struct members *members,
                         const struct members_message *message, int64_t now_ms,
                         GArray *out)
{
    if (now_ms < members->next_unknown_pull_ms ||
        message->from_address[0] == 0) {
        return;
    }
    members->next_unknown_pull_ms = now_ms + members->desc.probe_interval_ms;
    members_pull_from(members, message->from_address, NULL, out);
}

static void
apply_updates(struct members *members, const struct members_message *message,
              int64_t now_ms)
{
    for (guint i = 0; i < message->updates->len; i++) {
        const struct members_update *update =
            &g_array_index(message->updates, struct members_update, i);
        if (message->kind == MEMBERS_STATE) {
            members_apply_state(members, update, now_ms);
        }
        else {
            members_apply_gossip(members, update, now_ms);
        }
    }
}

/* Handles a message of a peer.  A reply, if there is one, is the first action
 * appended and goes to the message's from_address. */
void
members_receive(struct members *members, const struct members_message *message,
                int64_t now_ms, GArray *out)
{
    const struct members_record *sender;

    if (strcmp(message->from, members->self.node.name) == 0) {
        return;
    }
    apply_updates(members, message, now_ms);
    apply_sender_header(members, message, now_ms);
    sender = g_hash_table_lookup(members->records, message->from);
    switch (message->kind) {
    case MEMBERS_PROBE:
        members_emit(
            out, message->from_address,
            members_compose(members, MEMBERS_ACK, message->sequence, sender));
        break;
    case MEMBERS_PULL:
        members_emit(out, message->from_address,
                     members_compose(members, MEMBERS_STATE, message->sequence,
                                     sender));
        break;
    case MEMBERS_ACK:
        members_receive_ack(members, message->sequence, out);
        break;
    case MEMBERS_PROBE_REQUEST:
        members_relay_probe(members, message, now_ms, out);
        break;
    case MEMBERS_STATE:
        members->has_joined = true;
        members->refreshing_until_ms = 0;
        break;
    }
    if (sender == NULL) {
        pull_from_unknown_sender(members, message, now_ms, out);
    }
    members_push_updates(members, now_ms, out);
}
