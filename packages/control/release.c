#include "control/control_private.h"

#include <string.h>

enum {
    RELEASE_DELAY_MS = 10, /* to batch several releases into one packet */
    /* Not delayed: online requests may be queued for the released slots. */
    BATCH_DELAY_MS = 0,
    /* How long a release is kept, to be sent again on a new connection. */
    RECENT_MS = 3000,
    MAX_RECENT = 4096,
};

/* A release sent less than RECENT_MS ago. */
struct recent_release {
    char address[MEMBERS_ADDRESS_SIZE];
    struct control_bytes bytes;
    int64_t sent_ms;
};

static void
free_recent(gpointer data)
{
    struct recent_release *recent = data;
    g_free(recent->bytes.data);
    g_free(recent);
}

/* Drops remembered releases that are older than RECENT_MS or exceed
 * MAX_RECENT, or all of them. */
void
control_release_forget(struct control *control, bool is_all)
{
    GQueue *queue = control->client.recent;
    struct recent_release *oldest;

    while ((oldest = g_queue_peek_head(queue)) != NULL) {
        if (!is_all && queue->length <= MAX_RECENT &&
            control->now_ms - oldest->sent_ms < RECENT_MS) {
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
    recent->sent_ms = control->now_ms;
    wire_send_later(&control->endpoint, address, CONTROL_RELEASE,
                    recent->bytes.data, recent->bytes.size,
                    release->is_batch ? BATCH_DELAY_MS : RELEASE_DELAY_MS);
    g_queue_push_tail(control->client.recent, recent);
    control_release_forget(control, false);
}

/* Resends the recent releases to a peer whose connection was silent, as they
 * may be lost.  The owner ignores those that it has received before. */
void
control_release_resend(void *context, const char *address)
{
    struct control *control = context;

    for (GList *at = control->client.recent->head; at != NULL; at = at->next) {
        const struct recent_release *recent = at->data;
        if (strcmp(recent->address, address) == 0 &&
            control->now_ms - recent->sent_ms < RECENT_MS) {
            wire_send_later(&control->endpoint, address, CONTROL_RELEASE,
                            recent->bytes.data, recent->bytes.size, 1);
        }
    }
}

/* Notifies the owner of a server that slots of a contract are released.
 * slots_left is 0 when the contract ends.  outcome may be NULL. */
void
control_send_release(struct control *control, const char *server,
                     uint64_t contract, int slots_left, bool is_batch,
                     const struct contracts_outcome *outcome)
{
    Control__Release release = CONTROL__RELEASE__INIT;
    Control__Outcome how = CONTROL__OUTCOME__INIT;
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
        how.first_token_us = outcome->first_token_us;
        how.inter_token_us = outcome->inter_token_us;
        how.tokens = (uint32_t)MAX(outcome->tokens, 0);
        how.failed = outcome->failed;
        release.outcome = &how;
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
