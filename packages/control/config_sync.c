#include "control/control_private.h"

#include <string.h>

#include "config/config.h"

enum {
    READ_RETRY_MS = 1000,
    PULL_RETRY_MS = 200,
    PULL_TIMEOUT_MS = 3000,
    /* Waits of a starting node, see is_up_to_date. */
    /* Wait for peers, once the key-value service answered. */
    JOIN_WAIT_MS = 2000,
    /* Wait for the key-value service, once peers answered. */
    KV_WAIT_MS = 5000,
    /* A starting node asks the key-value service only if its peers have not
     * told it everything by then, so that the calls do not grow with the nodes
     * that start: once it has joined them, and without peers. */
    STORE_WAIT_MS = 1000,
    ALONE_WAIT_MS = 300,
    /* All nodes that were found are starting, too: the watchers among them
     * read for all.  Two rounds of gossip, for the others to be found. */
    ALL_START_WAIT_MS = 200,
    /* The same when all nodes start for the first time: the watchers, which
     * are chosen when most nodes have joined, read for all others. */
    FIRST_WATCH_MS = 1500,
    FIRST_READ_MS = 4000,
    MAX_RECORD_BYTES = 4 * 1024 * 1024,
};

/* Initializes the state; no configuration is known yet. */
void
control_config_init(struct control *control)
{
    struct control_config_sync *config_sync = &control->config_sync;

    config_sync->started_at_ms = control->now_ms;
    config_sync->applied_counter =
        base_counter(control->counters, "config_applied_total");
    config_sync->refused_counter =
        base_counter(control->counters, "config_refused_total");
    config_sync->revision_gauge =
        base_gauge(control->counters, "config_revision");
}

/* Ends the watch and frees the stored record. */
void
control_config_finish(struct control *control)
{
    control_config_watch(control, false);
    if (control->config_sync.packed != NULL) {
        g_bytes_unref(control->config_sync.packed);
    }
}

static void
refuse_record(struct control *control, int64_t number, const char *path,
              const char *text)
{
    control->config_sync.highest_refused =
        MAX(control->config_sync.highest_refused, number);
    base_counter_add(control->config_sync.refused_counter, 1);
    base_log(BASE_LOG_ERROR, "config.refused",
             "revision=%" G_GINT64_FORMAT " path=%s problem=\"%s\"", number,
             path, text);
}

static struct world *
parse_document(struct control *control, const struct config_record *record)
{
    struct world_problems problems;
    struct world *world;

    world_problems_init(&problems);
    world = config_record_world(record, &problems);
    if (world == NULL) {
        const struct world_problem *first =
            problems.all->len > 0 ? g_ptr_array_index(problems.all, 0) : NULL;
        refuse_record(control, record->number, first ? first->path : "$",
                      first ? first->text : "not a configuration document");
    }
    else if (strcmp(world->environment, control->environment) != 0) {
        refuse_record(control, record->number, "$.environment",
                      "document is for another environment");
        world_unref(world);
        world = NULL;
    }
    world_problems_finish(&problems);
    return world;
}

static void
store_record(struct control *control, int64_t number, const char *text,
             size_t size)
{
    struct control_config_sync *config_sync = &control->config_sync;

    config_sync->revision = number;
    if (config_sync->packed != NULL) {
        g_bytes_unref(config_sync->packed);
    }
    config_sync->packed = control_compress(text, size);
    base_counter_add(config_sync->applied_counter, 1);
    base_counter_set(config_sync->revision_gauge, number);
    members_set_world_revision(control->members, number);
}

/* Applies the configuration of a site, which another program writes.  As in
 * apply_record, older revisions are ignored, but a refused one may be tried
 * again. */
static void
apply_site(struct control *control, const char *text, size_t size)
{
    struct control_config_sync *config_sync = &control->config_sync;
    struct base_error err = {0};
    struct world_site *site = control->source->decode_site(text, size, &err);

    if (site == NULL) {
        refuse_record(control, 0, "$", err.text);
        return;
    }
    if (site->number <= config_sync->revision) {
        world_site_free(site);
        return;
    }
    store_record(control, site->number, text, size);
    base_log(BASE_LOG_NOTICE, "config.applied",
             "revision=%" G_GINT64_FORMAT " routes=%d services=%d",
             site->number, site->n_routes, site->n_services);
    control_site_changed(control, site);
    control_broadcast_changes(control);
}

/* Applies a configuration record from the key-value service or from a peer.
 * Records that are not newer than the one in force or the last refused one are
 * ignored, so the configuration never goes back to an older revision. */
static void
apply_record(struct control *control, const char *text, size_t size)
{
    struct control_config_sync *config_sync = &control->config_sync;
    struct config_record record = {0};
    struct base_error err = {0};
    struct world *world;

    if (control->source != NULL) {
        apply_site(control, text, size);
        return;
    }
    if (!config_record_parse(text, size, &record, &err)) {
        refuse_record(control, 0, "$", err.text);
        return;
    }
    if (record.number <=
        MAX(config_sync->revision, config_sync->highest_refused)) {
        config_record_finish(&record);
        return;
    }
    world = parse_document(control, &record);
    if (world != NULL) {
        store_record(control, record.number, text, size);
        base_log(BASE_LOG_NOTICE, "config.applied",
                 "revision=%" G_GINT64_FORMAT " author=%s", record.number,
                 record.author);
        control_world_changed(control, world);
        control_broadcast_changes(control);
    }
    config_record_finish(&record);
}

/* ---- from the key-value service ---- */

static void
apply_entry(struct control *control, const struct platform_entry *entry)
{
    gsize size = 0;
    const char *text =
        entry->value ? g_bytes_get_data(entry->value, &size) : NULL;

    if (text != NULL) {
        apply_record(control, text, size);
    }
}

static void
on_record_read_done(struct platform_kv *kv, void *task_state)
{
    struct control *control = task_state;

    control->n_platform_calls--;
    control->config_sync.is_reading = false;
    if (kv->status == PLATFORM_OK) {
        control->config_sync.has_read = true;
        if (kv->entries != NULL && kv->entries->len > 0) {
            apply_entry(control, g_ptr_array_index(kv->entries, 0));
        }
    }
    else {
        control->config_sync.next_read_ms = control->now_ms + READ_RETRY_MS;
    }
    platform_kv_free(kv);
}

static char *
record_key(const struct control *control)
{
    return control->source != NULL ? g_strdup(control->source->config_key)
                                   : config_current_key(control->environment);
}

static void
read_record(struct control *control)
{
    char *key = record_key(control);
    struct platform_kv *get = platform_kv_new(PLATFORM_GET, key);

    control->n_platform_calls++;
    control->config_sync.is_reading = true;
    platform_kv_send(control->platform, get, &control->task,
                     on_record_read_done);
    g_free(key);
}

static void
on_record_event(struct platform_event *event, void *task_state)
{
    struct control *control = task_state;

    if (event->is_reset && event->listing != NULL) {
        control->config_sync.has_read = true;
        for (guint i = 0; i < event->listing->len; i++) {
            apply_entry(control, event->listing->pdata[i]);
        }
    }
    else if (event->is_regained) {
        return;
    }
    else if (event->is_reset) {
        control->config_sync.has_read = false;
        control->config_sync.next_read_ms = control->now_ms;
    }
    else if (!event->is_delete) {
        apply_entry(control, &event->entry);
    }
}

/* Starts or stops watching the record in the key-value service. */
void
control_config_watch(struct control *control, bool is_watcher)
{
    struct control_config_sync *config_sync = &control->config_sync;

    if (control->platform == NULL || is_watcher == (config_sync->watch != 0)) {
        return;
    }
    if (is_watcher) {
        char *key = record_key(control);
        config_sync->watch = platform_watch(
            control->platform, key, &control->task, NULL, on_record_event);
        /* Read the record again, in case it changed before the watch began. */
        config_sync->has_read = false;
        g_free(key);
    }
    else {
        platform_unwatch(control->platform, config_sync->watch);
        config_sync->watch = 0;
    }
}

/* ---- from peers ---- */

static void
on_pull_done(void *context, const struct wire_answer *answer)
{
    struct control *control = context;
    Control__Record *record = NULL;
    GByteArray *text = NULL;

    control->config_sync.is_pulling = false;
    control->config_sync.next_pull_ms = control->now_ms + PULL_RETRY_MS;
    if (answer->code != BASE_OK) {
        base_log(BASE_LOG_NOTICE, "config.pull_failed",
                 "peer=%s code=%s waited_ms=%" G_GINT64_FORMAT,
                 control->config_sync.pulled_from,
                 base_code_name(answer->code),
                 base_clock_ms() - control->config_sync.pulled_at_ms);
    }
    if (answer->code == BASE_OK && answer->kind == CONTROL_RECORD) {
        record = control__record__unpack(NULL, answer->size, answer->body);
    }
    if (record != NULL && record->packed.len > 0) {
        text = control_decompress(record->packed.data, record->packed.len,
                                  MAX_RECORD_BYTES);
    }
    if (text != NULL) {
        apply_record(control, (const char *)text->data, text->len);
        g_byte_array_unref(text);
    }
    control__record__free_unpacked(record, NULL);
}

static void
pull_from(struct control *control, const char *address)
{
    Control__RecordPull pull = CONTROL__RECORD_PULL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_RECORD_PULL,
        .timeout_ms = PULL_TIMEOUT_MS,
        .is_idempotent = true,
        .answered = on_pull_done,
        .context = control,
    };

    pull.above = control->config_sync.revision;
    bytes = control_pack(&pull.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    control->config_sync.is_pulling = true;
    control->config_sync.pulled_at_ms = base_clock_ms();
    g_strlcpy(control->config_sync.pulled_from, address,
              sizeof(control->config_sync.pulled_from));
    wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

/* Handles a peer's announcement of its revision; pulls the record from it if
 * the revision is higher than any known here. */
void
control_config_update(struct control *control, const Control__News *update)
{
    int64_t known = MAX(control->config_sync.revision,
                        control->config_sync.highest_refused);

    if (update->world_revision > known && !control->config_sync.is_pulling &&
        update->from_address[0] != '\0') {
        pull_from(control, update->from_address);
    }
}

/* Answers a peer's pull.  The reply contains the record only if it is newer
 * than the one that the peer has. */
void
control_config_serve(struct control *control, const Control__RecordPull *pull,
                     const struct wire_return *back)
{
    struct control_config_sync *config_sync = &control->config_sync;
    Control__Record record = CONTROL__RECORD__INIT;

    record.number = config_sync->revision;
    if (config_sync->packed != NULL && pull->above < config_sync->revision) {
        gsize size;
        record.packed.data =
            (uint8_t *)g_bytes_get_data(config_sync->packed, &size);
        record.packed.len = size;
    }
    control_reply(control, back, CONTROL_RECORD, &record.base);
}

/* ---- maintenance ---- */

/* Returns whether this node reads from the key-value service: once it is
 * ready, if it is a watcher; before, if it has waited long enough for its
 * peers. */
bool
control_reads_store(struct control *control)
{
    int64_t elapsed_ms = control->now_ms - control->config_sync.started_at_ms;
    int64_t wait_ms =
        members_has_joined(control->members) ? STORE_WAIT_MS : ALONE_WAIT_MS;

    if (control->source == NULL) {
        return control->is_watcher ||
               g_atomic_int_get(&control->is_ready) == 0;
    }
    if (g_atomic_int_get(&control->is_ready) != 0) {
        return control->is_watcher;
    }
    if (control->is_watcher && members_has_joined(control->members) &&
        members_highest_revision(control->members) == 0) {
        wait_ms = ALL_START_WAIT_MS;
    }
    if (control->is_first_start) {
        wait_ms = control->is_watcher ? FIRST_WATCH_MS : FIRST_READ_MS;
    }
    return elapsed_ms >= wait_ms;
}

/* Returns whether a member has a configuration that this node does not have
 * and has not refused. */
static bool
is_newer_known(struct control *control)
{
    return members_highest_revision(control->members) >
           MAX(control->config_sync.revision,
               control->config_sync.highest_refused);
}

/* Whether a starting node has the latest configuration that the key-value
 * service and its peers know.  If one of the two is unreachable, the node
 * waits a bounded time for it and then relies on the other. */
static bool
is_up_to_date(struct control *control)
{
    struct control_config_sync *config_sync = &control->config_sync;
    int64_t elapsed_ms = control->now_ms - config_sync->started_at_ms;
    bool has_joined = members_has_joined(control->members);
    bool has_read = config_sync->has_read || control->platform == NULL ||
                    control->registry.is_agreed;
    bool has_server_list =
        control->source == NULL || control->registry.is_listed ||
        control->registry.is_agreed ||
        (elapsed_ms >= KV_WAIT_MS && control->registry.digest != 0);

    if (control->world == NULL || !has_server_list ||
        is_newer_known(control)) {
        return false;
    }
    if (has_read) {
        return has_joined || elapsed_ms >= JOIN_WAIT_MS;
    }
    return has_joined && elapsed_ms >= KV_WAIT_MS;
}

/* Returns whether the watch brings the record with its listing, so that it
 * need not be read besides. */
static bool
is_listed_by_watch(const struct control *control)
{
    return control->source != NULL && control->config_sync.watch != 0;
}

/* Reads the record from the key-value service or pulls it from a peer if due,
 * and marks the node ready once its configuration is up to date. */
void
control_config_tick(struct control *control)
{
    struct control_config_sync *config_sync = &control->config_sync;
    bool wants_read = !config_sync->has_read && !config_sync->is_reading &&
                      control->now_ms >= config_sync->next_read_ms;
    const struct members_node *newer;

    control_config_watch(control,
                         control->is_watcher && control_reads_store(control));
    /* Once ready, only watchers read from the key-value service. */
    if (wants_read && control->platform != NULL &&
        (config_sync->watch != 0 ||
         g_atomic_int_get(&control->is_ready) == 0) &&
        control_reads_store(control) && !is_listed_by_watch(control)) {
        read_record(control);
    }
    if (!config_sync->is_pulling &&
        control->now_ms >= config_sync->next_pull_ms) {
        newer = members_pick_newer(
            control->members,
            MAX(config_sync->revision, config_sync->highest_refused));
        if (newer != NULL) {
            pull_from(control, newer->control_address);
        }
    }
    g_atomic_int_set(&control->is_outdated, is_newer_known(control));
    if (g_atomic_int_get(&control->is_ready) == 0 && is_up_to_date(control)) {
        g_atomic_int_set(&control->is_ready, 1);
        control->is_changed = true;
        base_log(BASE_LOG_NOTICE, "control.ready",
                 "revision=%" G_GINT64_FORMAT, config_sync->revision);
    }
}
