#include "control/control_private.h"

#include <string.h>

enum { KEPT_MS = 5000, MAX_HANDOVERS = 4096 };

/* One that came before this node knew itself to be the next keeper. */
struct handover {
    Control__Handover *message;
    int64_t until_ms;
};

static void
free_handover(gpointer data)
{
    struct handover *handover = data;
    control__handover__free_unpacked(handover->message, NULL);
    g_free(handover);
}

/* Prepares an empty set of early handovers. */
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
add_grant(GPtrArray *holders, const struct control_grant *grant)
{
    Control__HandedHolder *holder = holder_entry(holders, grant->holder);
    Control__Held *held = g_new(Control__Held, 1);

    control__held__init(held);
    held->contract = grant->contract;
    held->work_class = (uint32_t)grant->class_;
    held->slots = (uint32_t)grant->slots;
    holder->held = g_renew(Control__Held *, holder->held, holder->n_held + 1);
    holder->held[holder->n_held++] = held;
}

/* Tells the next keeper of a server all that this one granted, so that it
 * need not be cautious until the holders have reported. */
void
control_handover_send(struct control *control, const char *server)
{
    Control__Handover handover = CONTROL__HANDOVER__INIT;
    int index = world_find_server(control->world, server);
    int keeper = control_owner_of(control, index);
    GPtrArray *holders;
    GHashTableIter iter;
    gpointer value;

    if (keeper == WORLD_NONE) {
        return;
    }
    holders = g_ptr_array_new_with_free_func(free_holder);
    g_hash_table_iter_init(&iter, control->owner.granted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_grant *grant = value;
        if (strcmp(grant->server, server) == 0) {
            add_grant(holders, grant);
        }
    }
    handover.server = (char *)server;
    handover.n_holders = holders->len;
    handover.holders = (Control__HandedHolder **)holders->pdata;
    control_send(control, control_node_address(control, keeper),
                 CONTROL_HANDOVER, &handover.base, 0);
    g_ptr_array_free(holders, TRUE);
}

static bool
is_good(const Control__Handover *handover)
{
    if (handover->server[0] == '\0' ||
        !control_text_is_good(handover->server, CONTROL_SERVER_SIZE)) {
        return false;
    }
    for (size_t i = 0; i < handover->n_holders; i++) {
        const char *holder = handover->holders[i]->holder;
        if (holder[0] == '\0' ||
            !control_text_is_good(holder, MEMBERS_NAME_SIZE)) {
            return false;
        }
    }
    return true;
}

/* Takes the table of a server from its last keeper. */
bool
control_handover_take(struct control *control,
                      const struct wire_message *message)
{
    Control__Handover *received =
        control__handover__unpack(NULL, message->size, message->body);
    struct handover *handover;
    struct control_owned_server *kept;

    if (received == NULL || !is_good(received) ||
        g_hash_table_size(control->owner.handovers) >= MAX_HANDOVERS) {
        control__handover__free_unpacked(received, NULL);
        return false;
    }
    handover = g_new0(struct handover, 1);
    handover->message = received;
    handover->until_ms = control->now_ms + KEPT_MS;
    g_hash_table_replace(control->owner.handovers, received->server, handover);
    kept = g_hash_table_lookup(control->owner.servers, received->server);
    if (kept != NULL) {
        control_handover_apply(control, kept);
    }
    return true;
}

/* Enters what the last keeper has handed over, if it has. */
void
control_handover_apply(struct control *control,
                       struct control_owned_server *kept)
{
    struct handover *handover =
        g_hash_table_lookup(control->owner.handovers, kept->server);

    if (handover == NULL) {
        return;
    }
    g_hash_table_steal(control->owner.handovers, kept->server);
    for (size_t i = 0; i < handover->message->n_holders; i++) {
        const Control__HandedHolder *holder = handover->message->holders[i];
        control_owner_apply(control, kept, holder->holder, holder->n_held,
                            holder->held);
    }
    contracts_controller_rebuilt(kept->controller);
    kept->is_whole = true;
    free_handover(handover);
}

static gboolean
is_old(gpointer key, gpointer value, gpointer now)
{
    return ((struct handover *)value)->until_ms <= *(const int64_t *)now;
}

/* Drops handovers of servers that this node did not come to keep. */
void
control_handover_tick(struct control *control)
{
    g_hash_table_foreach_remove(control->owner.handovers, is_old,
                                &control->now_ms);
}
