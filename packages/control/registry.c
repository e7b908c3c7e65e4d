#include "control/control_private.h"

#include <string.h>

enum {
    /* The contract of the key-value service says that servers whose entries
     * lapsed in an outage register again within about two seconds after it. */
    LAPSE_GRACE_MS = 2100,
    /* The shortest outage in which entries may lapse.  After a shorter one
     * each server still sends its next heartbeat in time. */
    MIN_LAPSE_OUTAGE_MS = 1000,
    MAX_ENTRIES = 20000,
    /* Of these, removed ones.  They are kept so that a node that was cut off
     * does not bring them back. */
    MAX_REMOVED = 2000,
    /* Requests that a server may run at once, far more than any does: sums
     * over a site's servers must stay in range. */
    MAX_SLOTS = 65536,
};

/* The entry of one server, at the latest revision known. */
struct control_registered {
    char *key;
    int64_t revision;
    GBytes *value;    /* NULL: removed */
    uint64_t content; /* hash of the content, see hash_content */
    bool is_server;   /* the value was decoded into `server` */
    struct world_registration server;
    int broadcast_rounds;     /* remaining rounds that include the entry */
    int64_t removal_due_ms;   /* time of a delayed removal; 0: none */
    int64_t removed_revision; /* revision of the delayed removal */
};

static void
clear_value(struct control_registered *entry)
{
    if (entry->value != NULL) {
        g_bytes_unref(entry->value);
        entry->value = NULL;
    }
    if (entry->is_server) {
        world_registration_finish(&entry->server);
        entry->is_server = false;
    }
}

static void
free_entry(gpointer data)
{
    struct control_registered *entry = data;

    clear_value(entry);
    g_free(entry->key);
    g_free(entry);
}

/* Initializes an empty registry. */
void
control_registry_init(struct control *control)
{
    control->registry.entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
}

/* Frees the registry. */
void
control_registry_finish(struct control *control)
{
    g_hash_table_destroy(control->registry.entries);
}

/* ---- configuration ---- */

static void
update_world(struct control *control)
{
    GHashTable *entries = control->registry.entries;
    const struct world_registration **servers = g_new0(
        const struct world_registration *, g_hash_table_size(entries) + 1);
    GHashTableIter iter;
    gpointer value;
    int n_servers = 0;

    if (control->site == NULL) {
        g_free(servers);
        return;
    }
    g_hash_table_iter_init(&iter, entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_registered *entry = value;
        if (entry->is_server) {
            servers[n_servers++] = &entry->server;
        }
    }
    control_world_changed(
        control, world_from_site(control->site, control->site_zones,
                                 control->n_site_zones, servers, n_servers));
    g_free(servers);
}

/* Puts a site's configuration in force.  Takes ownership of `site`. */
void
control_site_changed(struct control *control, struct world_site *site)
{
    world_site_free(control->site);
    control->site = site;
    update_world(control);
}

/* ---- entries ---- */

/* Hashes the parts of an entry that the configuration depends on.  Heartbeats
 * change the revision of an entry, but not this hash. */
static uint64_t
hash_content(const struct control_registered *entry)
{
    const struct world_registration *server = &entry->server;
    char *text;
    uint64_t hash;

    if (!entry->is_server) {
        return base_hash_text(entry->value == NULL ? "gone" : "unreadable", 1);
    }
    text = g_strdup_printf("%s %s:%d %s %d %d %" G_GINT64_FORMAT,
                           server->service, server->host, server->port,
                           server->zone, server->slots, server->is_draining,
                           server->started_ms);
    hash = base_hash_text(text, 0);
    g_free(text);
    return hash;
}

/* Returns what makes a registration unusable, or NULL.  Any program may have
 * written it.  The id is sent to the server in a header, and messages and
 * tables between nodes bound its length. */
static const char *
find_fault(const struct world_registration *server)
{
    size_t length = strlen(server->id);

    if (length == 0 || length >= CONTROL_SERVER_SIZE) {
        return "the id is empty or too long";
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(server->id[i])) {
            return "the id is not printable";
        }
    }
    if (!g_hostname_is_ip_address(server->host)) {
        return "the host is not an IP address";
    }
    if (server->port <= 0 || server->port > UINT16_MAX) {
        return "the port is out of range";
    }
    if (server->slots <= 0 || server->slots > MAX_SLOTS) {
        return "the number of slots is out of range";
    }
    return NULL;
}

static void
check_registration(struct control_registered *entry, struct base_error *err)
{
    const char *fault = find_fault(&entry->server);

    if (fault != NULL) {
        base_error_set(err, BASE_INVALID, "%s", fault);
        world_registration_finish(&entry->server);
        entry->is_server = false;
    }
}

static void
decode_value(struct control *control, struct control_registered *entry)
{
    struct base_error err = {0};
    gsize size = 0;
    const char *text;

    if (entry->value == NULL) {
        return;
    }
    text = g_bytes_get_data(entry->value, &size);
    entry->is_server = control->source->decode_server(entry->key, text, size,
                                                      &entry->server, &err);
    if (entry->is_server) {
        check_registration(entry, &err);
    }
    if (!entry->is_server) {
        base_log(BASE_LOG_WARNING, "server.unreadable",
                 "key=%s revision=%" G_GINT64_FORMAT " error=\"%s\"",
                 entry->key, entry->revision, err.text);
    }
}

static void
update_digest(struct control *control)
{
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->registry.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_registered *entry = value;
        if (entry->value != NULL) {
            digest += base_hash_text(entry->key, entry->content);
        }
    }
    control->registry.digest = digest;
}

static void
log_change(const struct control_registered *entry, const char *from)
{
    const char *state = !entry->is_server           ? "gone"
                        : entry->server.is_draining ? "draining"
                                                    : "ready";

    base_log(BASE_LOG_NOTICE, "server.changed",
             "server=%s state=%s address=%s:%d revision=%" G_GINT64_FORMAT
             " from=%s",
             entry->key, state, entry->is_server ? entry->server.host : "-",
             entry->is_server ? entry->server.port : 0, entry->revision, from);
}

static gint
compare_revisions(gconstpointer a, gconstpointer b)
{
    const struct control_registered *const *left = a;
    const struct control_registered *const *right = b;

    return ((*left)->revision > (*right)->revision) -
           ((*left)->revision < (*right)->revision);
}

/* Forgets the removed entries that are longest unchanged, if there are more
 * than MAX_REMOVED. */
static void
limit_removed(struct control *control)
{
    GPtrArray *removed = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->registry.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_registered *entry = value;
        if (entry->value == NULL) {
            g_ptr_array_add(removed, value);
        }
    }
    if (removed->len > MAX_REMOVED) {
        g_ptr_array_sort(removed, compare_revisions);
    }
    for (guint i = 0; i + MAX_REMOVED < removed->len; i++) {
        const struct control_registered *entry = removed->pdata[i];
        g_hash_table_remove(control->registry.entries, entry->key);
    }
    g_ptr_array_free(removed, TRUE);
}

static struct control_registered *
find_or_add(struct control *control, const char *key)
{
    struct control_registered *entry =
        g_hash_table_lookup(control->registry.entries, key);

    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(control->registry.entries) >= MAX_ENTRIES) {
        base_log(BASE_LOG_WARNING, "server.ignored",
                 "key=%s reason=\"there are %d entries\"", key, MAX_ENTRIES);
        return NULL;
    }
    entry = g_new0(struct control_registered, 1);
    entry->key = g_strdup(key);
    entry->content = hash_content(entry);
    g_hash_table_insert(control->registry.entries, entry->key, entry);
    return entry;
}

/* Applies an entry if its revision is higher than the known one; value NULL
 * means that it was removed.  `from` names the source in the log.  Returns
 * true if the content changed; a heartbeat only changes the revision. */
static bool
apply_entry(struct control *control, const char *key, int64_t revision,
            GBytes *value, const char *from)
{
    struct control_registered *entry = find_or_add(control, key);
    uint64_t before;

    if (entry == NULL || revision <= entry->revision) {
        return false;
    }
    before = entry->content;
    entry->removal_due_ms = 0;
    entry->revision = revision;
    clear_value(entry);
    entry->value = value == NULL ? NULL : g_bytes_ref(value);
    decode_value(control, entry);
    entry->content = hash_content(entry);
    if (entry->content == before) {
        return false;
    }
    entry->broadcast_rounds = CONTROL_BROADCAST_ROUNDS;
    log_change(entry, from);
    return true;
}

static void
publish_changes(struct control *control)
{
    limit_removed(control);
    update_digest(control);
    update_world(control);
    control_broadcast_changes(control);
}

/* ---- from the key-value service ---- */

static void
delay_removal(struct control *control, struct control_registered *entry,
              int64_t revision, int64_t due_ms)
{
    struct control_registry *registry = &control->registry;

    entry->removal_due_ms = due_ms;
    entry->removed_revision = revision;
    if (registry->removals_due_ms == 0 || due_ms < registry->removals_due_ms) {
        registry->removals_due_ms = due_ms;
    }
}

/* Applies the removal of an entry.  Shortly after an outage, the entry may be
 * removed only because its lease lapsed: the removal is then delayed so that
 * the server can register again. */
static bool
remove_entry(struct control *control, const char *key, int64_t revision)
{
    struct control_registered *entry =
        g_hash_table_lookup(control->registry.entries, key);

    if (entry == NULL || entry->value == NULL || revision <= entry->revision) {
        return false;
    }
    if (control->now_ms < control->registry.grace_until_ms) {
        delay_removal(control, entry, revision,
                      control->registry.grace_until_ms);
        return false;
    }
    return apply_entry(control, key, revision, NULL, "store");
}

/* Applies a listing, which says nothing about entries after its revision. */
static bool
apply_listing(struct control *control, const GPtrArray *listing,
              int64_t revision)
{
    struct control_registry *registry = &control->registry;
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    GList *keys = g_hash_table_get_keys(registry->entries);
    bool is_changed = false;

    for (guint i = 0; i < listing->len; i++) {
        const struct platform_entry *entry = listing->pdata[i];
        g_hash_table_add(listed, entry->key);
        is_changed |= apply_entry(control, entry->key, entry->revision,
                                  entry->value, "store");
    }
    for (GList *at = keys; at != NULL; at = at->next) {
        if (!g_hash_table_contains(listed, at->data)) {
            is_changed |= remove_entry(control, at->data, revision);
        }
    }
    registry->listed_revision = MAX(registry->listed_revision, revision);
    registry->listed_ms = control->now_ms;
    g_list_free(keys);
    g_hash_table_destroy(listed);
    return is_changed;
}

static void
on_entry_event(struct platform_event *event, void *task_state)
{
    struct control *control = task_state;
    bool is_changed = false;

    control->now_ms = base_clock_ms();
    if (event->is_regained) {
        if (event->outage_ms >= MIN_LAPSE_OUTAGE_MS) {
            control->registry.grace_until_ms =
                control->now_ms + LAPSE_GRACE_MS;
        }
    }
    else if (event->is_reset) {
        is_changed =
            event->listing != NULL &&
            apply_listing(control, event->listing, event->listing_revision);
        control->registry.is_listed = true;
    }
    else if (event->is_delete) {
        is_changed =
            remove_entry(control, event->entry.key, event->entry.revision);
    }
    else {
        is_changed =
            apply_entry(control, event->entry.key, event->entry.revision,
                        event->entry.value, "store");
    }
    if (is_changed) {
        publish_changes(control);
    }
}

/* Starts or stops watching the servers' entries in the key-value service. */
void
control_registry_watch(struct control *control, bool is_watcher)
{
    struct control_registry *registry = &control->registry;

    if (control->platform == NULL || control->source == NULL ||
        is_watcher == (registry->watch != 0)) {
        return;
    }
    if (is_watcher) {
        registry->watch =
            platform_watch(control->platform, control->source->servers_prefix,
                           &control->task, NULL, on_entry_event);
    }
    else {
        platform_unwatch(control->platform, registry->watch);
        registry->watch = 0;
    }
}

/* Applies the delayed removals that are due. */
static void
apply_delayed_removals(struct control *control)
{
    struct control_registry *registry = &control->registry;
    GHashTableIter iter;
    gpointer value;
    bool is_changed = false;

    registry->removals_due_ms = 0;
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_registered *entry = value;
        if (entry->removal_due_ms == 0) {
            continue;
        }
        if (control->now_ms < entry->removal_due_ms) {
            delay_removal(control, entry, entry->removed_revision,
                          entry->removal_due_ms);
            continue;
        }
        entry->removal_due_ms = 0;
        is_changed |= apply_entry(control, entry->key, entry->removed_revision,
                                  NULL, "lapse");
    }
    if (is_changed) {
        publish_changes(control);
    }
}

/* Starts or stops the watch.  A starting node whose peers do not tell it the
 * entries watches even if it is not chosen as a watcher.  Applies delayed
 * removals. */
void
control_registry_tick(struct control *control)
{
    const struct control_registry *registry = &control->registry;

    control_registry_watch(control, control_reads_store(control));
    if (registry->removals_due_ms != 0 &&
        control->now_ms >= registry->removals_due_ms) {
        apply_delayed_removals(control);
    }
}

/* ---- between nodes ---- */

/* Records that an unknown entry has been removed, and tells the peers.
 * Returns true if it is recorded. */
static bool
record_removal(struct control *control, const char *key)
{
    struct control_registered *entry = find_or_add(control, key);

    if (entry == NULL) {
        return false;
    }
    entry->revision = control->registry.listed_revision;
    entry->broadcast_rounds = CONTROL_BROADCAST_ROUNDS;
    return true;
}

/* Applies the entry of a peer that missed its removal.  For LAPSE_GRACE_MS
 * after the listing, the entry may have lapsed in an outage: until then it is
 * used, so that the server can register again. */
static bool
apply_stale_entry(struct control *control, const char *key, int64_t revision,
                  GBytes *value, const char *from)
{
    struct control_registry *registry = &control->registry;
    int64_t due_ms = registry->listed_ms + LAPSE_GRACE_MS;
    struct control_registered *entry;
    bool is_changed;

    if (control->now_ms >= due_ms) {
        base_log(BASE_LOG_NOTICE, "server.stale",
                 "server=%s revision=%" G_GINT64_FORMAT " from=%s", key,
                 revision, from);
        return record_removal(control, key);
    }
    is_changed = apply_entry(control, key, revision, value, from);
    entry = g_hash_table_lookup(registry->entries, key);
    if (entry != NULL) {
        delay_removal(control, entry, registry->listed_revision, due_ms);
    }
    return is_changed;
}

/* Returns true if the store's listing has no such entry, though it has all
 * that existed at a later revision. */
static bool
is_stale(const struct control *control, const char *key, int64_t revision)
{
    return revision < control->registry.listed_revision &&
           g_hash_table_lookup(control->registry.entries, key) == NULL;
}

static bool
apply_from_peer(struct control *control, const char *key, int64_t revision,
                GBytes *value, const char *from)
{
    return value != NULL && is_stale(control, key, revision)
               ? apply_stale_entry(control, key, revision, value, from)
               : apply_entry(control, key, revision, value, from);
}

/* Applies the servers' entries of a peer's update.  Returns true if any
 * content changed; the caller then broadcasts the changes. */
bool
control_registry_apply(struct control *control, const Control__News *update)
{
    bool is_changed = false;

    if (control->source == NULL || update->n_servers == 0) {
        return false;
    }
    for (size_t i = 0; i < update->n_servers; i++) {
        const Control__Registration *from = update->servers[i];
        GBytes *value = from->is_gone
                            ? NULL
                            : g_bytes_new(from->value.data, from->value.len);
        if (from->key[0] != '\0' && control_is_valid_text(from->key, 201)) {
            is_changed |= apply_from_peer(control, from->key, from->revision,
                                          value, update->from_address);
        }
        if (value != NULL) {
            g_bytes_unref(value);
        }
    }
    if (is_changed) {
        limit_removed(control);
        update_digest(control);
        update_world(control);
    }
    if (update->digest != 0 && update->digest == control->registry.digest) {
        control->registry.is_agreed = true;
    }
    return is_changed;
}

/* Adds servers' entries to a message: all of them if is_all is true, otherwise
 * those with remaining broadcast rounds, whose number is then reduced by one.
 * The caller frees the array and its messages, not what they point to. */
void
control_registry_add_to(struct control *control, Control__News *update,
                        bool is_all)
{
    guint n_entries = g_hash_table_size(control->registry.entries);
    GHashTableIter iter;
    gpointer value;

    update->servers = g_new0(Control__Registration *, n_entries + 1);
    g_hash_table_iter_init(&iter, control->registry.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_registered *entry = value;
        Control__Registration *out;
        gsize size = 0;
        if (entry->broadcast_rounds == 0 && !is_all) {
            continue;
        }
        out = g_new(Control__Registration, 1);
        control__registration__init(out);
        out->key = entry->key;
        out->revision = entry->revision;
        out->is_gone = entry->value == NULL;
        if (entry->value != NULL) {
            out->value.data = (uint8_t *)g_bytes_get_data(entry->value, &size);
            out->value.len = size;
        }
        update->servers[update->n_servers++] = out;
        entry->broadcast_rounds -= is_all ? 0 : 1;
    }
}
