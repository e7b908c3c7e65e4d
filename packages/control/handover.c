#include "control/control_private.h"

#include <string.h>

enum {
    /* A handover is kept this long for a server that is not owned yet. */
    RETENTION_MS = 5000,
    MAX_HANDOVERS = 4096
};

/* A received handover.  It may arrive before this node has learnt that it owns
 * the server. */
struct handover {
    Control__Handover *message;
    int64_t expires_at_ms;
};

static void
free_handover(gpointer data)
{
    struct handover *handover = data;
    control__handover__free_unpacked(handover->message, NULL);
    g_free(handover);
}

/* Prepares an empty set of received handovers. */
void
control_handover_init(struct control *control)
{
    control->owner.handovers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_handover);
}

/* Frees the set. */
void
control_handover_finish(struct control *control)
{
    g_hash_table_destroy(control->owner.handovers);
}

static void
free_holder(gpointer data)
{
    Control__HandedHolder *holder = data;

    for (size_t i = 0; i < holder->n_held; i++) {
        g_free(holder->held[i]);
    }
    g_free(holder->held);
    g_free(holder);
}

static Control__HandedHolder *
holder_entry(GPtrArray *holders, const char *name)
{
    Control__HandedHolder *holder;

    for (guint i = 0; i < holders->len; i++) {
        holder = g_ptr_array_index(holders, i);
        if (strcmp(holder->holder, name) == 0) {
            return holder;
        }
    }
    holder = g_new(Control__HandedHolder, 1);
    control__handed_holder__init(holder);
    holder->holder = (char *)name;
    g_ptr_array_add(holders, holder);
    return holder;
}

static void
add_grant(struct control *control, GPtrArray *holders,
          const struct control_grant *grant)
{
    Control__HandedHolder *holder = holder_entry(holders, grant->holder);
    Control__Held *held = g_new(Control__Held, 1);

    control__held__init(held);
    held->contract = grant->contract;
    held->work_class = (uint32_t)grant->class_;
    held->slots = (uint32_t)grant->slots;
    control_fill_work(held, grant->work_ms,
                      control->now_ms - grant->granted_ms);
    holder->held = g_renew(Control__Held *, holder->held, holder->n_held + 1);
    holder->held[holder->n_held++] = held;
}

/* Sends all contracts of a server to its next owner, which can then lift the
 * server's provisional limit before the holders have reported. */
void
control_handover_send(struct control *control, const char *server)
{
    Control__Handover handover = CONTROL__HANDOVER__INIT;
    Control__ServerNotice notice;
    int index = world_find_server(control->world, server);
    int owner = control_owner_of(control, index);
    GPtrArray *holders;
    GHashTableIter iter;
    gpointer value;

    if (owner == WORLD_NONE) {
        return;
    }
    holders = g_ptr_array_new_with_free_func(free_holder);
    g_hash_table_iter_init(&iter, control->owner.granted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_grant *grant = value;
        if (strcmp(grant->server, server) == 0) {
            add_grant(control, holders, grant);
        }
    }
    handover.server = (char *)server;
    handover.n_holders = holders->len;
    handover.holders = (Control__HandedHolder **)holders->pdata;
    if (control_notice_fill(control, server, &notice)) {
        handover.notice = &notice;
    }
    control_send(control, control_node_address(control, owner),
                 CONTROL_HANDOVER, &handover.base, 0);
    g_ptr_array_free(holders, TRUE);
}

static bool
is_valid(const Control__Handover *handover)
{
    if (handover->server[0] == '\0' ||
        !control_is_valid_text(handover->server, CONTROL_SERVER_SIZE)) {
        return false;
    }
    for (size_t i = 0; i < handover->n_holders; i++) {
        const char *holder = handover->holders[i]->holder;
        if (holder[0] == '\0' ||
            !control_is_valid_text(holder, MEMBERS_NAME_SIZE)) {
            return false;
        }
    }
    return true;
}

/* Receives the contracts of a server from its previous owner; false if the
 * message is malformed or too many are stored. */
bool
control_handover_receive(struct control *control,
                         const struct wire_message *message)
{
    Control__Handover *received =
        control__handover__unpack(NULL, message->size, message->body);
    struct handover *handover;
    struct control_owned_server *owned;

    if (received == NULL || !is_valid(received) ||
        g_hash_table_size(control->owner.handovers) >= MAX_HANDOVERS) {
        control__handover__free_unpacked(received, NULL);
        return false;
    }
    if (received->notice != NULL) {
        control_notice_merge(control, received->notice, message->sender);
    }
    handover = g_new0(struct handover, 1);
    handover->message = received;
    handover->expires_at_ms = control->now_ms + RETENTION_MS;
    g_hash_table_replace(control->owner.handovers, received->server, handover);
    owned = g_hash_table_lookup(control->owner.servers, received->server);
    if (owned != NULL) {
        control_handover_apply(control, owned);
    }
    return true;
}

/* Adds the contracts that a server's previous owner handed over, if it did. */
void
control_handover_apply(struct control *control,
                       struct control_owned_server *owned)
{
    struct handover *handover =
        g_hash_table_lookup(control->owner.handovers, owned->server);

    if (handover == NULL) {
        return;
    }
    g_hash_table_steal(control->owner.handovers, owned->server);
    for (size_t i = 0; i < handover->message->n_holders; i++) {
        const Control__HandedHolder *holder = handover->message->holders[i];
        control_owner_add_contracts(control, owned, holder->holder,
                                    holder->n_held, holder->held);
    }
    contracts_controller_rebuilt(owned->controller);
    owned->is_rebuild_started = true;
    free_handover(handover);
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer now)
{
    return ((struct handover *)value)->expires_at_ms <= *(const int64_t *)now;
}

/* Drops handovers of servers that this node did not own within RETENTION_MS.
 */
void
control_handover_tick(struct control *control)
{
    g_hash_table_foreach_remove(control->owner.handovers, has_expired,
                                &control->now_ms);
}
