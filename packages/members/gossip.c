#include "members/members_private.h"

#include <string.h>

/* An empty message; free it with members_message_free. */
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

static struct members_record *
most_urgent(struct members *members, const struct members_message *message)
{
    struct members_record *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        bool is_taken = false;
        for (guint i = 0; i < message->updates->len && !is_taken; i++) {
            is_taken = strcmp(g_array_index(message->updates,
                                            struct members_update, i)
                                  .node.name,
                              record->node.name) == 0;
        }
        if (!is_taken && record->n_sends_left > 0 &&
            (best == NULL || record->n_sends_left > best->n_sends_left)) {
            best = record;
        }
    }
    return best;
}

/* What the receiver should know of itself: that it is held for less than
 * alive here, so that it can refute. */
static void
add_claim(struct members_message *message, const struct members_record *to)
{
    struct members_update update = {.is_brief = true};

    if (to == NULL) {
        return;
    }
    if (to->needs_check) {
        update.node = to->node;
        update.node.state = MEMBERS_DEAD;
        update.node.incarnation = to->claimed_incarnation;
        g_array_append_val(message->updates, update);
    }
    else if (to->node.state == MEMBERS_SUSPECT ||
             to->node.state == MEMBERS_DEAD) {
        add_update(message, to);
    }
}

static void
add_everything(struct members *members, struct members_message *message)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct members_record *record = value;
        struct members_update update = {.node = record->node};
        /* Even a suspect goes in full: the reader may not know it. */
        update.is_brief = record->node.state == MEMBERS_DEAD ||
                          record->node.state == MEMBERS_LEFT;
        g_array_append_val(message->updates, update);
    }
}

static void
add_news(struct members *members, struct members_message *message)
{
    while (message->updates->len < MEMBERS_MAX_UPDATES) {
        struct members_record *record = most_urgent(members, message);
        if (record == NULL) {
            return;
        }
        add_update(message, record);
        record->n_sends_left--;
    }
}

/* Makes a message with the news that fit, or with the full state. */
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
    add_claim(message, to);
    if (is_full || self->n_sends_left > 0) {
        add_update(message, self);
        self->n_sends_left -= self->n_sends_left > 0 ? 1 : 0;
    }
    if (kind == MEMBERS_STATE && members->refreshing_until_ms == 0) {
        add_everything(members, message);
    }
    else {
        add_news(members, message);
    }
    return message;
}

/* Appends the sending of a message to the actions. */
void
members_emit(GArray *out, const char *address, struct members_message *message)
{
    struct members_action action = {.kind = MEMBERS_SEND, .message = message};
    g_strlcpy(action.address, address, sizeof(action.address));
    g_array_append_val(out, action);
}

/* Tells a few nodes at once what changed; each of them does the same, so that
 * all know within a few hops.  Servers' keepers follow the view: while views
 * differ, asks go to the wrong node. */
void
members_send_rumor(struct members *members, int64_t now_ms, GArray *out)
{
    const struct members_node *some[MEMBERS_N_HELPERS];
    int n_some;

    if (!members->has_rumor || now_ms < members->next_rumor_ms) {
        return;
    }
    members->has_rumor = false;
    members->next_rumor_ms = now_ms + MEMBERS_RUMOR_MS;
    n_some = members_pick(members, MEMBERS_N_HELPERS, some);
    for (int i = 0; i < n_some; i++) {
        /* An answer that nobody waits for: its news count all the same. */
        members_emit(out, some[i]->control_address,
                     members_compose(members, MEMBERS_ACK, 0, NULL));
    }
}

/* A message is itself news of its sender, also when it does not carry the
 * sender's record. */
static void
note_sender(struct members *members, const struct members_message *message,
            int64_t now_ms)
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
        if (message->incarnation >= record->claimed_incarnation &&
            members_is_live(record)) {
            record->needs_check = false;
        }
    }
}

/* Someone who knows this node and is not known here: ask who it is. */
static void
pull_unknown_sender(struct members *members,
                    const struct members_message *message, int64_t now_ms,
                    GArray *out)
{
    if (now_ms < members->next_unknown_ms || message->from_address[0] == 0) {
        return;
    }
    members->next_unknown_ms = now_ms + members->desc.probe_ms;
    members_pull_from(members, message->from_address, NULL, out);
}

static void
take_updates(struct members *members, const struct members_message *message,
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

/* Handles a message of a peer.  An answer, if one is due, is the first
 * action appended and goes to the message's from_address. */
void
members_receive(struct members *members, const struct members_message *message,
                int64_t now_ms, GArray *out)
{
    const struct members_record *sender;

    if (strcmp(message->from, members->self.node.name) == 0) {
        return;
    }
    take_updates(members, message, now_ms);
    note_sender(members, message, now_ms);
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
        members_acked(members, message->sequence, out);
        break;
    case MEMBERS_PROBE_FOR:
        members_probe_for(members, message, now_ms, out);
        break;
    case MEMBERS_STATE:
        members->has_joined = true;
        members->refreshing_until_ms = 0;
        break;
    }
    if (sender == NULL) {
        pull_unknown_sender(members, message, now_ms, out);
    }
    members_send_rumor(members, now_ms, out);
}
