#include "control/control_private.h"

#include <string.h>

/* Owners that failed to answer.  Admission requests for their servers are
 * answered from the local share until a probe is answered. */
enum {
    PROBE_INTERVAL_MS = 500, /* about the time in which a probe fails */
    /* Time-out of a probe.  It usually fails earlier, when the connection is
     * detected as silent. */
    PROBE_TIMEOUT_MS = 1000,
};

/* An owner that failed to answer. */
struct unreachable_owner {
    struct control *control;
    char owner[MEMBERS_NAME_SIZE];
    int64_t next_probe_ms; /* earliest time of the next probe */
    uint64_t probe;        /* pending wire request; 0: none */
};

static void
forget_unreachable(struct control *control, struct unreachable_owner *entry)
{
    if (entry->probe != 0) {
        wire_cancel(&control->endpoint, entry->probe);
    }
    g_hash_table_remove(control->client.unreachable, entry->owner);
}

/* Records whether an owner answered a request or probe. */
void
control_note_reachability(struct control *control, const char *owner,
                          bool is_reachable)
{
    struct unreachable_owner *entry =
        g_hash_table_lookup(control->client.unreachable, owner);

    if (is_reachable) {
        if (entry != NULL) {
            forget_unreachable(control, entry);
        }
        return;
    }
    if (entry == NULL) {
        entry = g_new0(struct unreachable_owner, 1);
        entry->control = control;
        g_strlcpy(entry->owner, owner, sizeof(entry->owner));
        g_hash_table_insert(control->client.unreachable, entry->owner, entry);
    }
    entry->next_probe_ms = control->now_ms + PROBE_INTERVAL_MS;
}

static void
on_probe_done(void *context, const struct wire_answer *reply)
{
    struct unreachable_owner *entry = context;

    entry->probe = 0;
    control_note_reachability(entry->control, entry->owner,
                              reply->code == BASE_OK);
}

/* Probes an owner by asking for a configuration above the highest possible
 * revision.  Any reply shows that the owner is reachable. */
static void
probe(struct control *control, struct unreachable_owner *entry)
{
    Control__RecordPull pull = CONTROL__RECORD_PULL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .kind = CONTROL_RECORD_PULL,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .is_idempotent = true,
        .answered = on_probe_done,
        .context = entry,
    };
    int node = members_view_find(control->view, entry->owner);

    entry->next_probe_ms = control->now_ms + PROBE_INTERVAL_MS;
    if (node < 0 || entry->probe != 0) {
        return;
    }
    pull.above = INT64_MAX;
    bytes = control_pack(&pull.base);
    desc.address = control->view->nodes[node].control_address;
    desc.body = bytes.data;
    desc.size = bytes.size;
    entry->probe = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

/* Whether an owner failed to answer and has not answered since.  Sends a probe
 * when one is due, so that no admission request has to wait for a time-out to
 * detect that the owner is reachable again. */
bool
control_is_unreachable(struct control *control, const char *owner)
{
    struct unreachable_owner *entry =
        g_hash_table_lookup(control->client.unreachable, owner);

    if (entry == NULL) {
        return false;
    }
    if (control->now_ms >= entry->next_probe_ms) {
        probe(control, entry);
    }
    return true;
}
