#include "control/control_private.h"

#include <string.h>

enum {
    RELEASE_DELAY_MS = 10, /* to batch several releases into one packet */
    /* Releases of batch slots are not delayed, as online requests may be
     * queued for the slots. */
    BATCH_DELAY_MS = 0,
    /* A release is kept this long, to be sent again on a new connection. */
    RECENT_MS = 3000,
    MAX_RECENT = 4096,
};

/* A release sent less than RECENT_MS ago. */
struct recent_release {
    char address[MEMBERS_ADDRESS_SIZE];
    struct control_bytes bytes;
    int64_t sent_at_ms;
};

static void
free_recent(gpointer data)
{
    struct recent_release *recent = data;
    g_free(recent->bytes.data);
    g_free(recent);
}

/* Drops all remembered releases if is_all is true, otherwise those that are
 * older than RECENT_MS or exceed MAX_RECENT. */
void
control_drop_recent_releases(struct control *control, bool is_all)
{
    GQueue *queue = control->client.recent;
    struct recent_release *oldest;

    while ((oldest = g_queue_peek_head(queue)) != NULL) {
        if (!is_all && queue->length <= MAX_RECENT &&
            control->now_ms - oldest->sent_at_ms < RECENT_MS) {
            return;
        }
        free_recent(g_queue_pop_head(queue));
    }
}

static void
send_release(struct control *control, const char *address,
             const Control__Release *release)
{
    struct recent_release *recent = g_new0(struct recent_release, 1);

    g_strlcpy(recent->address, address, sizeof(recent->address));
    recent->bytes = control_pack(&release->base);
    recent->sent_at_ms = control->now_ms;
    wire_send_later(&control->endpoint, address, CONTROL_RELEASE,
                    recent->bytes.data, recent->bytes.size,
                    release->is_batch ? BATCH_DELAY_MS : RELEASE_DELAY_MS);
    g_queue_push_tail(control->client.recent, recent);
    control_drop_recent_releases(control, false);
}

/* Resends the recent releases to a peer whose connection was replaced because
 * it was silent: they may have been lost with it.  The owner ignores those
 * that it has received before. */
void
control_release_resend(void *context, const char *address)
{
    struct control *control = context;

    for (GList *at = control->client.recent->head; at != NULL; at = at->next) {
        const struct recent_release *recent = at->data;
        if (strcmp(recent->address, address) == 0 &&
            control->now_ms - recent->sent_at_ms < RECENT_MS) {
            wire_send_later(&control->endpoint, address, CONTROL_RELEASE,
                            recent->bytes.data, recent->bytes.size, 1);
        }
    }
}

/* Notifies a server's owner that all but slots_left slots of a contract are
 * released; 0 ends the contract.  For an online contract, slots_left > 0
 * only reports on its first token.  outcome may be NULL. */
void
control_send_release(struct control *control, const char *server,
                     uint64_t contract, int slots_left, bool is_batch,
                     const struct contracts_outcome *outcome)
{
    Control__Release release = CONTROL__RELEASE__INIT;
    Control__Outcome wire_outcome = CONTROL__OUTCOME__INIT;
    int index = control->world == NULL
                    ? WORLD_NONE
                    : world_find_server(control->world, server);
    int owner =
        index == WORLD_NONE ? WORLD_NONE : control_owner_of(control, index);

    release.server = (char *)server;
    release.contract = contract;
    release.slots_left = (uint32_t)MAX(slots_left, 0);
    release.is_batch = is_batch;
    if (outcome != NULL) {
        wire_outcome.first_token_us = outcome->first_token_us;
        wire_outcome.inter_token_us = outcome->inter_token_us;
        wire_outcome.tokens = (uint32_t)MAX(outcome->tokens, 0);
        wire_outcome.failed = outcome->failed;
        release.outcome = &wire_outcome;
    }
    if (owner == WORLD_NONE) {
        return;
    }
    if (control_is_self(control, owner)) {
        control_owner_release(control, control->node, &release);
        return;
    }
    if (!is_batch && slots_left > 0) {
        /* A late first token is reported without delay: the report is only
         * useful while the request still runs. */
        control_send(control, control_node_address(control, owner),
                     CONTROL_RELEASE, &release.base, 0);
        return;
    }
    send_release(control, control_node_address(control, owner), &release);
}
