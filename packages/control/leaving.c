#include "control/control_private.h"

#include <string.h>

enum {
    POLL_MS = 1000,
    FULL_UPDATE_MS = 1000, /* shortest time between two full updates */
    /* Time to keep entries of hosts that are not leaving any more. */
    RETENTION_MS = 3600 * 1000,
    MAX_ENTRIES = 10000,
    BROADCAST_FANOUT = 3,
    BROADCAST_ROUND_MS = 100, /* equals the tick of an idle control task */
};

/* Whether a host is leaving.  The entry with the latest timestamp wins. */
struct control_leaving_entry {
    char address[MEMBERS_ADDRESS_SIZE];
    bool is_leaving;
    int64_t stamp_ms; /* wall clock of the watcher when it saw the change */
    int broadcast_rounds; /* remaining rounds that include the entry */
};

/* Initializes the set of leaving hosts as empty. */
void
control_leaving_init(struct control *control)
{
    control->leaving.entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    control->leaving.gauge =
        base_gauge(control->counters, "control_leaving_hosts");
    control->leaving.sent_counter =
        base_counter(control->counters, "control_news_sent_total");
}

/* Frees the set of leaving hosts. */
void
control_leaving_finish(struct control *control)
{
    g_hash_table_destroy(control->leaving.entries);
}

/* Recomputes the digest.  It is a sum, so that the order of entries does not
 * matter. */
static void
update_digest(struct control *control)
{
    uint64_t digest = 0;
    int64_t n_leaving = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->leaving.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_leaving_entry *entry = value;
        digest += base_hash_text(entry->address, (uint64_t)entry->stamp_ms);
        n_leaving += entry->is_leaving ? 1 : 0;
    }
    control->leaving.digest = digest;
    base_counter_set(control->leaving.gauge, n_leaving);
}

/* Whether `address` is the server's host, or its host and port. */
static bool
is_address_of(const struct world_server *server, const char *address)
{
    const char *colon = strrchr(address, ':');
    size_t host_length = strlen(server->host);

    if (colon == NULL) {
        return strcmp(server->host, address) == 0;
    }
    return (size_t)(colon - address) == host_length &&
           strncmp(server->host, address, host_length) == 0 &&
           atoi(colon + 1) == server->port;
}

/* Whether the server has said in a response that it leaves, or the platform
 * reports so, either of its whole host or of its host and port. */
bool
control_is_leaving(struct control *control, int server)
{
    const struct world_server *config = &control->world->servers[server];
    GHashTableIter iter;
    gpointer value;

    if (control_has_said_leaving(control, config->name)) {
        return true;
    }
    g_hash_table_iter_init(&iter, control->leaving.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_leaving_entry *entry = value;
        if (entry->is_leaving && is_address_of(config, entry->address)) {
            return true;
        }
    }
    return false;
}

/* Applies an entry if it is later than the known one; returns whether it was.
 * New entries beyond MAX_ENTRIES are ignored. */
static bool
apply_entry(struct control *control, const char *address, bool is_leaving,
            int64_t stamp_ms)
{
    struct control_leaving_entry *entry =
        g_hash_table_lookup(control->leaving.entries, address);

    if (entry == NULL) {
        if (g_hash_table_size(control->leaving.entries) >= MAX_ENTRIES) {
            return false;
        }
        entry = g_new0(struct control_leaving_entry, 1);
        g_strlcpy(entry->address, address, sizeof(entry->address));
        g_hash_table_insert(control->leaving.entries, entry->address, entry);
    }
    else if (stamp_ms <= entry->stamp_ms) {
        return false;
    }
    entry->is_leaving = is_leaving;
    entry->stamp_ms = stamp_ms;
    entry->broadcast_rounds = CONTROL_BROADCAST_ROUNDS;
    base_log(BASE_LOG_NOTICE, is_leaving ? "host.leaving" : "host.not_leaving",
             "address=%s", address);
    return true;
}

/* Called after entries changed: updates the digest, notifies the listener and
 * broadcasts the changes. */
static void
publish_changes(struct control *control)
{
    update_digest(control);
    control->is_changed = true;
    control_broadcast_changes(control);
}

/* Adds entries of leaving hosts to a message: all of them if is_all is true,
 * otherwise those with remaining broadcast rounds, whose number is then
 * reduced by one.  The caller frees the array and its messages, not the texts.
 */
void
control_leaving_add_to(struct control *control, Control__News *update,
                       bool is_all)
{
    guint n_entries = g_hash_table_size(control->leaving.entries);
    GHashTableIter iter;
    gpointer value;

    update->leaving = g_new0(Control__Leaving *, n_entries + 1);
    g_hash_table_iter_init(&iter, control->leaving.entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_leaving_entry *entry = value;
        Control__Leaving *out;
        if (entry->broadcast_rounds == 0 && !is_all) {
            continue;
        }
        out = g_new(Control__Leaving, 1);
        control__leaving__init(out);
        out->address = entry->address;
        out->is_leaving = entry->is_leaving;
        out->stamp_ms = entry->stamp_ms;
        update->leaving[update->n_leaving++] = out;
        entry->broadcast_rounds -= is_all ? 0 : 1;
    }
}

/* Frees what fill_update allocated. */
static void
free_update(Control__News *update)
{
    for (size_t i = 0; i < update->n_leaving; i++) {
        g_free(update->leaving[i]);
    }
    g_free(update->leaving);
    for (size_t i = 0; i < update->n_servers; i++) {
        g_free(update->servers[i]);
    }
    g_free(update->servers);
}

static void
fill_update(struct control *control, Control__News *update, bool is_all)
{
    control__news__init(update);
    update->world_revision = control->config_sync.revision;
    update->from_address = control->address;
    control_leaving_add_to(control, update, is_all);
    control_registry_add_to(control, update, is_all);
    if (is_all && g_atomic_int_get(&control->is_ready) != 0) {
        update->digest = control->registry.digest;
    }
}

/* Sends the entries with remaining broadcast rounds to a few random nodes. */
static void
broadcast_round(struct control *control)
{
    const struct members_node *peers[BROADCAST_FANOUT];
    int n_peers = members_pick(control->members, BROADCAST_FANOUT, peers);
    Control__News update;

    control->leaving.broadcast_rounds--;
    control->leaving.next_round_ms = control->now_ms + BROADCAST_ROUND_MS;
    fill_update(control, &update, false);
    for (int i = 0; i < n_peers; i++) {
        control_send(control, peers[i]->control_address, CONTROL_NEWS,
                     &update.base, 0);
    }
    base_counter_add(control->leaving.sent_counter, n_peers);
    free_update(&update);
}

/* Sends the recent changes to a few nodes now and to further nodes in the
 * following rounds.  Each node that receives a change does the same. */
void
control_broadcast_changes(struct control *control)
{
    control->leaving.broadcast_rounds = CONTROL_BROADCAST_ROUNDS;
    broadcast_round(control);
}

/* Applies the entries of leaving hosts and registered servers in a peer's
 * update that are newer than the known ones. */
void
control_leaving_apply(struct control *control, const Control__News *update)
{
    bool is_changed = control_registry_apply(control, update);

    for (size_t i = 0; i < update->n_leaving; i++) {
        const Control__Leaving *leaving = update->leaving[i];
        if (leaving->address[0] != '\0' &&
            control_is_valid_text(leaving->address, MEMBERS_ADDRESS_SIZE)) {
            is_changed |= apply_entry(control, leaving->address,
                                      leaving->is_leaving, leaving->stamp_ms);
        }
    }
    if (is_changed) {
        publish_changes(control);
    }
}

/* Returns the digest of leaving hosts, registered servers, blocked parts of
 * prompts and what servers said of themselves.  Nodes with equal digests have
 * the same entries. */
uint64_t
control_leaving_digest(struct control *control)
{
    return control->leaving.digest + control->registry.digest +
           control_prompt_parts_digest(control) +
           control_notices_digest(control);
}

/* Compares the digest that a peer sent with a membership message with this
 * node's, and sends the peer all entries if they differ, at most once in
 * FULL_UPDATE_MS.  The peer does the same. */
void
control_leaving_compare_digest(struct control *control, const char *address,
                               uint64_t digest)
{
    Control__News update;

    bool is_empty = g_hash_table_size(control->leaving.entries) == 0 &&
                    g_hash_table_size(control->registry.entries) == 0 &&
                    control_prompt_parts_digest(control) == 0 &&
                    control_notices_digest(control) == 0;

    if (digest == control_leaving_digest(control) || address[0] == '\0' ||
        control->now_ms < control->leaving.next_full_update_ms || is_empty) {
        return;
    }
    control->leaving.next_full_update_ms = control->now_ms + FULL_UPDATE_MS;
    fill_update(control, &update, true);
    control_send(control, address, CONTROL_NEWS, &update.base, 0);
    free_update(&update);
    control_prompt_parts_send_all(control, address);
    control_notices_send_all(control, address);
}

/* ---- the platform's list of hosts ---- */

static bool
is_known_leaving(struct control *control, const char *address)
{
    const struct control_leaving_entry *entry =
        g_hash_table_lookup(control->leaving.entries, address);
    return entry != NULL && entry->is_leaving;
}

static void
on_hosts_done(struct platform_hosts *hosts, void *task_state)
{
    struct control *control = task_state;
    bool is_changed = false;

    control->n_platform_calls--;
    control->leaving.is_requesting = false;
    for (guint i = 0; hosts->is_ok && i < hosts->hosts->len; i++) {
        const struct platform_host *host = g_ptr_array_index(hosts->hosts, i);
        if (host->address == NULL ||
            !control_is_valid_text(host->address, MEMBERS_ADDRESS_SIZE) ||
            host->is_leaving == is_known_leaving(control, host->address)) {
            continue;
        }
        is_changed |= apply_entry(control, host->address, host->is_leaving,
                                  base_wall_ms());
    }
    if (is_changed) {
        publish_changes(control);
    }
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer now)
{
    const struct control_leaving_entry *entry = value;
    return !entry->is_leaving &&
           *(const int64_t *)now - entry->stamp_ms >= RETENTION_MS;
}

/* Sends the next broadcast round if due.  Watchers also read the platform's
 * list of hosts, once in POLL_MS. */
void
control_leaving_tick(struct control *control)
{
    int64_t wall_ms = base_wall_ms();

    if (control->leaving.broadcast_rounds > 0 &&
        control->now_ms >= control->leaving.next_round_ms) {
        broadcast_round(control);
    }
    if (!control->is_watcher || control->platform == NULL ||
        control->leaving.is_requesting ||
        control->now_ms < control->leaving.next_poll_ms) {
        return;
    }
    control->leaving.next_poll_ms = control->now_ms + POLL_MS;
    control->leaving.is_requesting = true;
    if (g_hash_table_foreach_remove(control->leaving.entries, is_outdated,
                                    &wall_ms) > 0) {
        update_digest(control);
    }
    control->n_platform_calls++;
    platform_hosts_send(control->platform, &control->task, NULL,
                        on_hosts_done);
}
