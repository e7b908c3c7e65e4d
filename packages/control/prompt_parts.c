#include "control/control_private.h"

enum {
    ROUND_MS = 100,   /* between rounds; equals the tick of an idle task */
    EXPIRY_MS = 1000, /* between looks for records that may be dropped */
    MAX_CRASHES = 1 << 20, /* in one record; far more than can happen */
};

/* Returns a node's number in the quarantine. */
static uint64_t
number_of(const char *node)
{
    return base_hash_text(node, 0);
}

/* Initializes an empty quarantine. */
void
control_prompt_parts_init(struct control *control)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;

    g_mutex_init(&prompt_parts->lock);
    quarantine_init(
        &prompt_parts->quarantine,
        &(struct quarantine_desc){.node = number_of(control->node)});
    prompt_parts->crashes =
        base_counter(control->counters, "control_prompt_crashes_total");
    prompt_parts->refusals =
        base_counter(control->counters, "control_prompt_refusals_total");
}

/* Frees the quarantine. */
void
control_prompt_parts_finish(struct control *control)
{
    quarantine_finish(&control->prompt_parts.quarantine);
    g_mutex_clear(&control->prompt_parts.lock);
}

/* ---- for other tasks ---- */

/* Decides on a new request with these parts.  Returns 0 if it may be sent to a
 * server, else in how many ms it may come back. */
int64_t
control_prompt_admit(struct control *control,
                     const struct quarantine_parts *parts)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    int64_t wait_ms;

    if (parts->n_parts == 0) {
        return 0;
    }
    g_mutex_lock(&prompt_parts->lock);
    wait_ms =
        quarantine_admit(&prompt_parts->quarantine, parts, base_clock_ms());
    g_mutex_unlock(&prompt_parts->lock);
    if (wait_ms > 0) {
        base_counter_add(prompt_parts->refusals, 1);
    }
    return wait_ms;
}

/* Returns for how many ms more an admitted request with these parts must not
 * be sent to a server; 0: it may. */
int64_t
control_prompt_blocked_ms(struct control *control,
                          const struct quarantine_parts *parts)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    int64_t blocked_ms;

    if (parts->n_parts == 0) {
        return 0;
    }
    g_mutex_lock(&prompt_parts->lock);
    blocked_ms = quarantine_blocked_ms(&prompt_parts->quarantine, parts,
                                       base_clock_ms());
    g_mutex_unlock(&prompt_parts->lock);
    return blocked_ms;
}

/* Returns the highest number of crashes that count against one of the
 * parts. */
int
control_prompt_suspicion(struct control *control,
                         const struct quarantine_parts *parts)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    int suspicion;

    g_mutex_lock(&prompt_parts->lock);
    suspicion = quarantine_suspicion(&prompt_parts->quarantine, parts);
    g_mutex_unlock(&prompt_parts->lock);
    return suspicion;
}

/* Notes that a server crashed before it answered a request with these
 * parts. */
void
control_prompt_crashed(struct control *control,
                       const struct quarantine_parts *parts,
                       const char *server)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    int64_t now_ms = base_clock_ms();

    if (parts->n_parts == 0) {
        return;
    }
    base_counter_add(prompt_parts->crashes, 1);
    for (int i = 0; i < parts->n_parts; i++) {
        struct quarantine_parts part = {.n_parts = 1,
                                        .parts = {parts->parts[i]}};
        int n_crashes;
        int64_t blocked_ms;
        g_mutex_lock(&prompt_parts->lock);
        quarantine_note_crash(&prompt_parts->quarantine, &part,
                              base_hash_text(server, 0), now_ms);
        n_crashes = quarantine_crashes(&prompt_parts->quarantine, &part);
        blocked_ms =
            quarantine_blocked_ms(&prompt_parts->quarantine, &part, now_ms);
        g_mutex_unlock(&prompt_parts->lock);
        base_log(BASE_LOG_NOTICE, "prompt.crash",
                 "part=%016" G_GINT64_MODIFIER
                 "x is_request=%d server=%s crashes=%d "
                 "blocked_ms=%" G_GINT64_FORMAT,
                 parts->parts[i],
                 parts->has_request && i == parts->n_parts - 1, server,
                 n_crashes, blocked_ms);
    }
}

/* Notes that a server answered a request with these parts. */
void
control_prompt_answered(struct control *control,
                        const struct quarantine_parts *parts)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;

    for (int i = 0; i < parts->n_parts; i++) {
        struct quarantine_parts part = {.n_parts = 1,
                                        .parts = {parts->parts[i]}};
        bool is_cleared;
        part.has_request = parts->has_request && i == parts->n_parts - 1;
        g_mutex_lock(&prompt_parts->lock);
        is_cleared = quarantine_note_answer(&prompt_parts->quarantine, &part,
                                            base_clock_ms());
        g_mutex_unlock(&prompt_parts->lock);
        if (is_cleared) {
            base_log(BASE_LOG_INFO, "prompt.cleared",
                     "part=%016" G_GINT64_MODIFIER "x", parts->parts[i]);
        }
    }
}

/* ---- between nodes ---- */

/* Takes the nodes that may try blocked parts from the membership view. */
void
control_prompt_parts_set_nodes(struct control *control)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    const struct members_view *view = control->view;
    uint64_t *nodes = g_new(uint64_t, view->n_nodes);
    int n_nodes = 0;

    for (int i = 0; i < view->n_nodes; i++) {
        if (members_accepts_work(&view->nodes[i])) {
            nodes[n_nodes++] = number_of(view->nodes[i].name);
        }
    }
    g_mutex_lock(&prompt_parts->lock);
    quarantine_set_nodes(&prompt_parts->quarantine, nodes, n_nodes);
    g_mutex_unlock(&prompt_parts->lock);
    g_free(nodes);
}

static void
fill_part(Control__PromptPart *out, const struct quarantine_record *record)
{
    control__prompt_part__init(out);
    out->part = record->part;
    out->n_clears = record->state.n_clears;
    out->n_crashes = record->state.n_crashes;
    out->crash = record->state.crash;
    out->server = record->state.server;
    out->crash_age_ms = record->crash_age_ms;
}

/* Packs records of type struct quarantine_record. */
static struct control_bytes
pack_records(const GArray *records)
{
    Control__PromptParts message = CONTROL__PROMPT_PARTS__INIT;
    Control__PromptPart *parts = g_new(Control__PromptPart, records->len);
    Control__PromptPart **pointers =
        g_new(Control__PromptPart *, records->len);
    struct control_bytes bytes;

    for (guint i = 0; i < records->len; i++) {
        fill_part(&parts[i],
                  &g_array_index(records, struct quarantine_record, i));
        pointers[i] = &parts[i];
    }
    message.parts = pointers;
    message.n_parts = records->len;
    bytes = control_pack(&message.base);
    g_free(pointers);
    g_free(parts);
    return bytes;
}

static void
send_records(struct control *control, const GArray *records,
             const char *address)
{
    struct control_bytes bytes = pack_records(records);

    wire_send(&control->endpoint, address, CONTROL_PROMPT_PARTS, bytes.data,
              bytes.size);
    g_free(bytes.data);
}

static GArray *
take_records(struct control *control, bool is_all)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    GArray *records;

    g_mutex_lock(&prompt_parts->lock);
    records =
        quarantine_take(&prompt_parts->quarantine, is_all, control->now_ms);
    g_mutex_unlock(&prompt_parts->lock);
    return records;
}

/* Sends all records to a node, whose digest differs from this node's. */
void
control_prompt_parts_send_all(struct control *control, const char *address)
{
    GArray *records = take_records(control, true);

    if (records != NULL) {
        send_records(control, records, address);
        g_array_free(records, TRUE);
    }
}

static void
broadcast_round(struct control *control)
{
    GArray *records = take_records(control, false);
    struct control_bytes bytes;

    if (records == NULL) {
        return;
    }
    control->prompt_parts.next_round_ms = control->now_ms + ROUND_MS;
    bytes = pack_records(records);
    control_send_round(control, CONTROL_PROMPT_PARTS, &bytes);
    g_free(bytes.data);
    g_array_free(records, TRUE);
}

static struct quarantine_record
read_part(const Control__PromptPart *in)
{
    struct quarantine_record record = {
        .part = in->part,
        .state = {in->n_clears, MIN(in->n_crashes, MAX_CRASHES), in->crash,
                  in->server},
        .crash_age_ms = in->crash_age_ms,
    };

    return record;
}

static void
merge_part(struct control *control, const struct quarantine_record *record,
           const char *sender)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    struct quarantine_parts part = {.n_parts = 1, .parts = {record->part}};
    int64_t blocked_ms;
    bool is_new;

    g_mutex_lock(&prompt_parts->lock);
    is_new =
        quarantine_merge(&prompt_parts->quarantine, record, control->now_ms);
    blocked_ms = quarantine_blocked_ms(&prompt_parts->quarantine, &part,
                                       control->now_ms);
    g_mutex_unlock(&prompt_parts->lock);
    if (is_new && blocked_ms > 0) {
        base_log(BASE_LOG_NOTICE, "prompt.blocked",
                 "part=%016" G_GINT64_MODIFIER "x blocked_ms=%" G_GINT64_FORMAT
                 " from=%s",
                 record->part, blocked_ms, sender);
    }
}

/* Handles a peer's records; false if the message is malformed. */
bool
control_prompt_parts_receive(struct control *control,
                             const struct wire_message *message)
{
    Control__PromptParts *parts =
        control__prompt_parts__unpack(NULL, message->size, message->body);

    if (parts == NULL) {
        return false;
    }
    for (size_t i = 0; i < parts->n_parts; i++) {
        struct quarantine_record record = read_part(parts->parts[i]);
        merge_part(control, &record, message->sender);
    }
    control__prompt_parts__free_unpacked(parts, NULL);
    return true;
}

/* Returns a hash of the blocked parts. */
uint64_t
control_prompt_parts_digest(struct control *control)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;
    uint64_t digest;

    g_mutex_lock(&prompt_parts->lock);
    digest = quarantine_digest(&prompt_parts->quarantine, control->now_ms);
    g_mutex_unlock(&prompt_parts->lock);
    return digest;
}

/* Sends the next round of changes if due, and drops old records. */
void
control_prompt_parts_tick(struct control *control)
{
    struct control_prompt_parts *prompt_parts = &control->prompt_parts;

    if (control->now_ms >= prompt_parts->next_round_ms) {
        broadcast_round(control);
    }
    if (control->now_ms >= prompt_parts->next_expiry_ms) {
        prompt_parts->next_expiry_ms = control->now_ms + EXPIRY_MS;
        g_mutex_lock(&prompt_parts->lock);
        quarantine_expire(&prompt_parts->quarantine, control->now_ms);
        g_mutex_unlock(&prompt_parts->lock);
    }
}
