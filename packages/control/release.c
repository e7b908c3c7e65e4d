#include "control/control_private.h"

#include <string.h>

enum {
    RELEASE_DELAY_MS = 10, /* releases wait for company this long */
    /* Online work may be waiting for the slots that batch gives back. */
    BATCH_DELAY_MS = 0,
    RECENT_MS = 3000, /* kept to be sent again on a new connection */
    MAX_RECENT = 4096,
};

/* A release sent a short while ago. */
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

/* Forgets releases that are old, or all. */
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

/* The connection to a peer was silent: releases sent on it may be lost, and
 * a keeper ignores those that it has seen. */
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

/* Tells the keeper of a server that slots of a contract are free. */
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
    int keeper =
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
    if (keeper == WORLD_NONE) {
        return;
    }
    if (control_is_self(control, keeper)) {
        control_owner_release(control, control->node, &release);
        return;
    }
    if (!is_batch && slots_left > 0) {
        /* That a first token is late must be heard while it still helps. */
        control_send(control, control_node_address(control, keeper),
                     CONTROL_RELEASE, &release.base, 0);
        return;
    }
    send_release(control, control_node_address(control, keeper), &release);
}
