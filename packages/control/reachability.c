#include "control/control_private.h"

#include <string.h>

/* Keepers that don't answer.  Asks are answered from the local share then,
 * and probes find out when the keeper is back. */
enum {
    PROBE_MS = 500,   /* between probes: about as long as one takes to fail */
    ANSWER_MS = 1000, /* of a probe; the connection's silence ends it before */
};

/* A keeper that failed to answer. */
struct unreached {
    struct control *control;
    char keeper[MEMBERS_NAME_SIZE];
    int64_t probe_ms; /* no probe before this */
    uint64_t probe;   /* on the wire; 0: none */
};

static void
forget_unreachable(struct control *control, struct unreached *unreached)
{
    if (unreached->probe != 0) {
        wire_cancel(&control->endpoint, unreached->probe);
    }
    g_hash_table_remove(control->client.unreachable, unreached->keeper);
}

/* Takes in whether a keeper answered. */
void
control_note_reachability(struct control *control, const char *keeper,
                          bool is_reachable)
{
    struct unreached *unreached =
        g_hash_table_lookup(control->client.unreachable, keeper);

    if (is_reachable) {
        if (unreached != NULL) {
            forget_unreachable(control, unreached);
        }
        return;
    }
    if (unreached == NULL) {
        unreached = g_new0(struct unreached, 1);
        unreached->control = control;
        g_strlcpy(unreached->keeper, keeper, sizeof(unreached->keeper));
        g_hash_table_insert(control->client.unreachable, unreached->keeper,
                            unreached);
    }
    unreached->probe_ms = control->now_ms + PROBE_MS;
}

static void
probe_answered(void *context, const struct wire_answer *reply)
{
    struct unreached *unreached = context;

    unreached->probe = 0;
    control_note_reachability(unreached->control, unreached->keeper,
                              reply->code == BASE_OK);
}

/* Asks a keeper for a configuration that nobody has: any answer will do. */
static void
probe(struct control *control, struct unreached *unreached)
{
    Control__RecordPull pull = CONTROL__RECORD_PULL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .kind = CONTROL_RECORD_PULL,
        .timeout_ms = ANSWER_MS,
        .is_idempotent = true,
        .answered = probe_answered,
        .context = unreached,
    };
    int node = members_view_find(control->view, unreached->keeper);

    unreached->probe_ms = control->now_ms + PROBE_MS;
    if (node < 0 || unreached->probe != 0) {
        return;
    }
    pull.above = INT64_MAX;
    bytes = control_pack(&pull.base);
    desc.address = control->view->nodes[node].control_address;
    desc.body = bytes.data;
    desc.size = bytes.size;
    unreached->probe = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

/* Whether a keeper failed to answer and has not been heard of since.  Asks
 * don't wait for its silence again: a probe does. */
bool
control_is_unreachable(struct control *control, const char *keeper)
{
    struct unreached *unreached =
        g_hash_table_lookup(control->client.unreachable, keeper);

    if (unreached == NULL) {
        return false;
    }
    if (control->now_ms >= unreached->probe_ms) {
        probe(control, unreached);
    }
    return true;
}
