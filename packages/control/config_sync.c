#include "control/control_private.h"

#include <string.h>

#include "config/config.h"

enum {
    READ_RETRY_MS = 1000,
    PULL_RETRY_MS = 200,
    PULL_TIMEOUT_MS = 3000,
    JOIN_WAIT_MS = 2000, /* for peers, once the key-value service answered */
    KV_WAIT_MS = 5000,   /* for the key-value service, once peers answered */
    MAX_RECORD_BYTES = 4 * 1024 * 1024,
};

/* Prepares the state before any configuration is known. */
void
control_config_init(struct control *control)
{
    struct control_config_sync *spread = &control->spread;

    spread->started_ms = control->now_ms;
    spread->applied_counter =
        base_counter(control->counters, "config_applied_total");
    spread->refused_counter =
        base_counter(control->counters, "config_refused_total");
    spread->revision_gauge = base_gauge(control->counters, "config_revision");
}

/* Frees the record and ends the watch. */
void
control_config_finish(struct control *control)
{
    control_config_watch(control, false);
    if (control->spread.packed != NULL) {
        g_bytes_unref(control->spread.packed);
    }
}

static void
refuse(struct control *control, int64_t number, const char *path,
       const char *text)
{
    control->spread.refused = MAX(control->spread.refused, number);
    base_counter_add(control->spread.refused_counter, 1);
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
        refuse(control, record->number, first ? first->path : "$",
               first ? first->text : "not a configuration document");
    }
    else if (strcmp(world->environment, control->environment) != 0) {
        refuse(control, record->number, "$.environment",
               "of another environment");
        world_unref(world);
        world = NULL;
    }
    world_problems_finish(&problems);
    return world;
}

static void
keep_text(struct control *control, int64_t number, const char *text,
          size_t size)
{
    struct control_config_sync *spread = &control->spread;

    spread->number = number;
    if (spread->packed != NULL) {
        g_bytes_unref(spread->packed);
    }
    spread->packed = control_compress(text, size);
    base_counter_add(spread->applied_counter, 1);
    base_counter_set(spread->revision_gauge, number);
    members_set_world_revision(control->members, number);
}

/* The same for a configuration of another writer. */
static void
offer_site(struct control *control, const char *text, size_t size)
{
    struct control_config_sync *spread = &control->spread;
    struct base_error err = {0};
    struct world_site *site = control->source->decode_site(text, size, &err);

    if (site == NULL) {
        refuse(control, 0, "$", err.text);
        return;
    }
    if (site->number <= spread->number) {
        world_site_free(site);
        return;
    }
    keep_text(control, site->number, text, size);
    base_log(BASE_LOG_NOTICE, "config.applied",
             "revision=%" G_GINT64_FORMAT " routes=%d services=%d",
             site->number, site->n_routes, site->n_services);
    control_site_changed(control, site);
    control_broadcast_changes(control);
}

/* Takes a record from wherever it came.  Only a higher number than the one
 * in force counts, so the configuration never goes back. */
static void
offer(struct control *control, const char *text, size_t size)
{
    struct control_config_sync *spread = &control->spread;
    struct config_record record = {0};
    struct base_error err = {0};
    struct world *world;

    if (control->source != NULL) {
        offer_site(control, text, size);
        return;
    }
    if (!config_record_parse(text, size, &record, &err)) {
        refuse(control, 0, "$", err.text);
        return;
    }
    if (record.number <= MAX(spread->number, spread->refused)) {
        config_record_finish(&record);
        return;
    }
    world = parse_document(control, &record);
    if (world != NULL) {
        keep_text(control, record.number, text, size);
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
offer_entry(struct control *control, const struct platform_entry *entry)
{
    gsize size = 0;
    const char *text =
        entry->value ? g_bytes_get_data(entry->value, &size) : NULL;

    if (text != NULL) {
        offer(control, text, size);
    }
}

static void
read_answered(struct platform_kv *kv, void *task_state)
{
    struct control *control = task_state;

    control->n_platform_calls--;
    control->spread.is_reading = false;
    if (kv->status == PLATFORM_OK) {
        control->spread.has_read = true;
        if (kv->entries != NULL && kv->entries->len > 0) {
            offer_entry(control, g_ptr_array_index(kv->entries, 0));
        }
    }
    else {
        control->spread.next_read_ms = control->now_ms + READ_RETRY_MS;
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
    control->spread.is_reading = true;
    platform_kv_send(control->platform, get, &control->task, read_answered);
    g_free(key);
}

static void
record_changed(struct platform_event *event, void *task_state)
{
    struct control *control = task_state;

    if (event->is_reset && event->listing != NULL) {
        control->spread.has_read = true;
        for (guint i = 0; i < event->listing->len; i++) {
            offer_entry(control, event->listing->pdata[i]);
        }
    }
    else if (event->is_regained) {
        return;
    }
    else if (event->is_reset) {
        control->spread.has_read = false;
        control->spread.next_read_ms = control->now_ms;
    }
    else if (!event->is_delete) {
        offer_entry(control, &event->entry);
    }
}

/* Begins or ends this node's watch on the record. */
void
control_config_watch(struct control *control, bool is_watcher)
{
    struct control_config_sync *spread = &control->spread;

    if (control->platform == NULL || is_watcher == (spread->watch != 0)) {
        return;
    }
    if (is_watcher) {
        char *key = record_key(control);
        spread->watch = platform_watch(control->platform, key, &control->task,
                                       NULL, record_changed);
        /* What changed before the watch began. */
        spread->has_read = false;
        g_free(key);
    }
    else {
        platform_unwatch(control->platform, spread->watch);
        spread->watch = 0;
    }
}

/* ---- from peers ---- */

static void
pull_answered(void *context, const struct wire_answer *answer)
{
    struct control *control = context;
    Control__Record *record = NULL;
    GByteArray *text = NULL;

    control->spread.is_pulling = false;
    control->spread.next_pull_ms = control->now_ms + PULL_RETRY_MS;
    if (answer->code == BASE_OK && answer->kind == CONTROL_RECORD) {
        record = control__record__unpack(NULL, answer->size, answer->body);
    }
    if (record != NULL && record->packed.len > 0) {
        text = control_decompress(record->packed.data, record->packed.len,
                                  MAX_RECORD_BYTES);
    }
    if (text != NULL) {
        offer(control, (const char *)text->data, text->len);
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
        .answered = pull_answered,
        .context = control,
    };

    pull.above = control->spread.number;
    bytes = control_pack(&pull.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    control->spread.is_pulling = true;
    wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

/* A peer tells of its number: a higher one is pulled from it. */
void
control_config_update(struct control *control, const Control__News *news)
{
    int64_t known = MAX(control->spread.number, control->spread.refused);

    if (news->world_revision > known && !control->spread.is_pulling &&
        news->from_address[0] != '\0') {
        pull_from(control, news->from_address);
    }
}

/* A peer wants the record, if it is newer than its own. */
void
control_config_serve(struct control *control, const Control__RecordPull *pull,
                     const struct wire_return *back)
{
    struct control_config_sync *spread = &control->spread;
    Control__Record record = CONTROL__RECORD__INIT;

    record.number = spread->number;
    if (spread->packed != NULL && pull->above < spread->number) {
        gsize size;
        record.packed.data =
            (uint8_t *)g_bytes_get_data(spread->packed, &size);
        record.packed.len = size;
    }
    control_reply(control, back, CONTROL_RECORD, &record.base);
}

/* ---- time ---- */

/* A starting node takes the highest of the key-value service and its peers;
 * with either out of reach it waits a bounded time, then takes the other's. */
static bool
is_settled(struct control *control)
{
    struct control_config_sync *spread = &control->spread;
    int64_t waited_ms = control->now_ms - spread->started_ms;
    bool has_joined = members_has_joined(control->members);
    bool has_read = spread->has_read || control->platform == NULL;
    bool has_servers =
        control->source == NULL || control->registry.is_listed ||
        (waited_ms >= KV_WAIT_MS && control->registry.digest != 0);

    if (control->world == NULL || !has_servers ||
        members_highest_revision(control->members) >
            MAX(spread->number, spread->refused)) {
        return false;
    }
    if (has_read) {
        return has_joined || waited_ms >= JOIN_WAIT_MS;
    }
    return has_joined && waited_ms >= KV_WAIT_MS;
}

/* Reads and pulls what is due, and decides whether the node is ready. */
void
control_config_tick(struct control *control)
{
    struct control_config_sync *spread = &control->spread;
    bool wants_read = !spread->has_read && !spread->is_reading &&
                      control->now_ms >= spread->next_read_ms;
    const struct members_node *newer;

    /* Once ready, only watchers ask the key-value service. */
    if (wants_read && control->platform != NULL &&
        (spread->watch != 0 || g_atomic_int_get(&control->is_ready) == 0)) {
        read_record(control);
    }
    if (!spread->is_pulling && control->now_ms >= spread->next_pull_ms) {
        newer = members_pick_newer(control->members,
                                   MAX(spread->number, spread->refused));
        if (newer != NULL) {
            pull_from(control, newer->control_address);
        }
    }
    if (g_atomic_int_get(&control->is_ready) == 0 && is_settled(control)) {
        g_atomic_int_set(&control->is_ready, 1);
        control->is_changed = true;
        base_log(BASE_LOG_NOTICE, "control.ready",
                 "revision=%" G_GINT64_FORMAT, spread->number);
    }
}
