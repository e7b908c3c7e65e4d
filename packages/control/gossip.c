#include "control/control_private.h"

#include <string.h>

enum { GOSSIP_REQUEST_MS = 1500 };

static void receive_gossip(struct control *control, const char *sender,
                           const void *body, size_t size,
                           const struct wire_return *back);

/* The context of a request is control itself, which outlives all requests. */
static void
on_gossip_done(void *context, const struct wire_answer *answer)
{
    if (answer->code == BASE_OK && answer->kind == CONTROL_GOSSIP) {
        receive_gossip(context, answer->sender, answer->body, answer->size,
                       NULL);
    }
}

static void
send_message(struct control *control, const char *address,
             const struct members_message *message)
{
    struct control_bytes bytes =
        control_pack_gossip(message, control_leaving_digest(control));
    bool wants_answer =
        message->kind == MEMBERS_PROBE || message->kind == MEMBERS_PULL;

    if (wants_answer) {
        struct wire_request_desc desc = {
            .address = address,
            .kind = CONTROL_GOSSIP,
            .body = bytes.data,
            .size = bytes.size,
            .timeout_ms = GOSSIP_REQUEST_MS,
            .is_idempotent = true,
            .answered = on_gossip_done,
            .context = control,
        };
        wire_request(&control->endpoint, &desc);
    }
    else {
        wire_send(&control->endpoint, address, CONTROL_GOSSIP, bytes.data,
                  bytes.size);
    }
    g_free(bytes.data);
}

/* Performs the actions that members returned.  If `back` belongs to a request
 * and the first action is the answer to it, the answer is sent as the reply.
 */
static void
perform_actions(struct control *control, const struct wire_return *back)
{
    GArray *actions = control->actions;

    for (guint i = 0; i < actions->len; i++) {
        struct members_action *action =
            &g_array_index(actions, struct members_action, i);
        if (action->kind == MEMBERS_PAUSED) {
            base_log(BASE_LOG_WARNING, "control.paused", "node=%s",
                     control->node);
            control_owner_reset(control);
            control_client_report_all(control);
            continue;
        }
        if (back != NULL && back->request != 0 && i == 0 &&
            (action->message->kind == MEMBERS_ACK ||
             action->message->kind == MEMBERS_STATE)) {
            struct control_bytes bytes = control_pack_gossip(
                action->message, control_leaving_digest(control));
            wire_reply(&control->endpoint, back, CONTROL_GOSSIP, bytes.data,
                       bytes.size);
            g_free(bytes.data);
        }
        else {
            send_message(control, action->address, action->message);
        }
        members_message_free(action->message);
    }
    g_array_set_size(actions, 0);
}

static void
receive_gossip(struct control *control, const char *sender, const void *body,
               size_t size, const struct wire_return *back)
{
    uint64_t digest = 0;
    struct members_message *message =
        control_unpack_gossip(sender, body, size, &digest);

    if (message == NULL) {
        base_counter_add(
            base_counter(control->counters, "control_malformed_total"), 1);
        return;
    }
    members_receive(control->members, message, control->now_ms,
                    control->actions);
    perform_actions(control, back);
    control_leaving_compare_digest(control, message->from_address, digest);
    members_message_free(message);
}

/* Handles a gossip message of a peer.  Always returns true: malformed messages
 * are counted here, and the caller must not count them again. */
bool
control_gossip_receive(struct control *control,
                       const struct wire_message *message)
{
    receive_gossip(control, message->sender, message->body, message->size,
                   &message->from);
    return true;
}

/* Runs the timers of membership. */
void
control_gossip_tick(struct control *control)
{
    members_tick(control->members, control->now_ms, control->actions);
    perform_actions(control, NULL);
}

/* Announces that this node has left if has_left is true, otherwise that it
 * accepts no new work. */
void
control_gossip_leave(struct control *control, bool has_left)
{
    members_leave(control->members, has_left, control->now_ms,
                  control->actions);
    perform_actions(control, NULL);
}
