#include "notices/notices.h"

#include <math.h>
#include <string.h>

enum {
    MAX_ENTRIES = 4096,
    /* Rounds in which a change is sent, each to three random peers.  Four
     * rounds miss one node in e^12. */
    BROADCAST_ROUNDS = 4,
    /* The entries of servers lapse in outages of the store and come back. */
    RETENTION_MS = 60000,
};

struct notices_entry {
    struct notices_record record;
    int64_t learned_ms; /* when this node learned of the record's version */
    int64_t missing_since_ms; /* the server is not registered; 0: it is */
    int rounds_left;          /* broadcast rounds still to send */
};

/* Initializes an empty set. */
void
notices_init(struct notices *notices)
{
    notices->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/* Frees the set's memory. */
void
notices_finish(struct notices *notices)
{
    g_hash_table_destroy(notices->entries);
}

/* Reads a decimal number of requests a second; false if it is none, is
 * negative or is not finite. */
bool
notices_parse_limit(const char *text, double *out)
{
    char *end = NULL;
    double limit;

    if (!g_ascii_isdigit(text[0]) && text[0] != '.') {
        return false;
    }
    limit = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(limit) || limit < 0) {
        return false;
    }
    *out = limit;
    return true;
}

static struct notices_entry *
find(const struct notices *notices, const char *server)
{
    return g_hash_table_lookup(notices->entries, server);
}

static struct notices_entry *
add(struct notices *notices, const struct notices_server *server)
{
    struct notices_entry *entry;

    if (g_hash_table_size(notices->entries) >= MAX_ENTRIES) {
        return NULL;
    }
    entry = g_new0(struct notices_entry, 1);
    entry->record.server = *server;
    entry->record.limit_per_s = NOTICES_NO_LIMIT;
    g_hash_table_insert(notices->entries, entry->record.server.name, entry);
    return entry;
}

/* Whether a record tells more than that the server exists. */
static bool
says_something(const struct notices_record *record)
{
    return record->version > 0 || record->is_leaving;
}

static void
note_change(struct notices_entry *entry, int64_t now_ms)
{
    entry->learned_ms = now_ms;
    entry->rounds_left = BROADCAST_ROUNDS;
}

/* Whether a server whose entry is of an earlier start has started again. */
static bool
is_restart(const struct notices_entry *entry, int64_t started_ms)
{
    return started_ms > entry->record.server.started_ms;
}

static void
restart(struct notices_entry *entry, int64_t started_ms)
{
    entry->record.server.started_ms = started_ms;
    entry->record.version = 0;
    entry->record.limit_per_s = NOTICES_NO_LIMIT;
    entry->record.is_leaving = false;
    entry->learned_ms = 0;
    entry->rounds_left = 0;
}

/* Applies a response of a server, received at now_ms, to a request that was
 * sent at sent_ms.  Responses may arrive out of order: a lower limit counts at
 * once, while a higher one, or none, only counts if the request was sent after
 * this node had learned of the present limit.  Returns whether the record has
 * changed. */
bool
notices_observe(struct notices *notices, const struct notices_server *server,
                double limit_per_s, int64_t sent_ms, int64_t now_ms)
{
    struct notices_entry *entry = find(notices, server->name);

    if (entry == NULL && limit_per_s < NOTICES_NO_LIMIT) {
        entry = add(notices, server);
    }
    if (entry == NULL) {
        return false;
    }
    if (is_restart(entry, server->started_ms)) {
        restart(entry, server->started_ms);
    }
    if (limit_per_s == entry->record.limit_per_s ||
        (limit_per_s > entry->record.limit_per_s &&
         sent_ms < entry->learned_ms)) {
        return false;
    }
    entry->record.limit_per_s = limit_per_s;
    entry->record.version++;
    note_change(entry, now_ms);
    return true;
}

/* Applies a response of a server that says that it leaves.  Returns whether
 * that is new. */
bool
notices_observe_leaving(struct notices *notices,
                        const struct notices_server *server)
{
    struct notices_entry *entry = find(notices, server->name);

    if (entry == NULL) {
        entry = add(notices, server);
    }
    if (entry == NULL) {
        return false;
    }
    if (is_restart(entry, server->started_ms)) {
        restart(entry, server->started_ms);
    }
    if (entry->record.is_leaving) {
        return false;
    }
    entry->record.is_leaving = true;
    entry->rounds_left = BROADCAST_ROUNDS;
    return true;
}

/* Whether the limit of `a` replaces that of `b`, of the same start. */
static bool
is_newer(const struct notices_record *a, const struct notices_record *b)
{
    if (a->version != b->version) {
        return a->version > b->version;
    }
    return a->limit_per_s < b->limit_per_s;
}

/* Applies another node's record.  Returns whether it was newer. */
bool
notices_merge(struct notices *notices, const struct notices_record *record,
              int64_t now_ms)
{
    struct notices_entry *entry = find(notices, record->server.name);
    bool is_changed = false;

    if (!says_something(record) || !(record->limit_per_s >= 0)) {
        return false;
    }
    if (entry == NULL) {
        entry = add(notices, &record->server);
    }
    if (entry == NULL ||
        record->server.started_ms < entry->record.server.started_ms) {
        return false;
    }
    if (is_restart(entry, record->server.started_ms)) {
        restart(entry, record->server.started_ms);
    }
    if (is_newer(record, &entry->record)) {
        entry->record.version = record->version;
        entry->record.limit_per_s = record->limit_per_s;
        is_changed = true;
    }
    if (record->is_leaving && !entry->record.is_leaving) {
        entry->record.is_leaving = true;
        is_changed = true;
    }
    if (is_changed) {
        note_change(entry, now_ms);
    }
    return is_changed;
}

/* Returns the requests a second that a server takes, or NOTICES_NO_LIMIT. */
double
notices_limit(const struct notices *notices, const char *server)
{
    const struct notices_entry *entry = find(notices, server);

    return entry == NULL ? NOTICES_NO_LIMIT : entry->record.limit_per_s;
}

/* Returns whether a server has said that it leaves. */
bool
notices_is_leaving(const struct notices *notices, const char *server)
{
    const struct notices_entry *entry = find(notices, server);

    return entry != NULL && entry->record.is_leaving;
}

/* Copies a server's record; false if there is none. */
bool
notices_find(const struct notices *notices, const char *server,
             struct notices_record *out)
{
    const struct notices_entry *entry = find(notices, server);

    if (entry == NULL || !says_something(&entry->record)) {
        return false;
    }
    *out = entry->record;
    return true;
}

/* Returns the records to send in the next broadcast round, or all of them, as
 * an array of struct notices_record that the caller frees; NULL if there are
 * none. */
GArray *
notices_take(struct notices *notices, bool is_all)
{
    GArray *records = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, notices->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct notices_entry *entry = value;
        if (!says_something(&entry->record) ||
            (!is_all && entry->rounds_left == 0)) {
            continue;
        }
        entry->rounds_left -= is_all ? 0 : 1;
        if (records == NULL) {
            records = g_array_new(FALSE, FALSE, sizeof(struct notices_record));
        }
        g_array_append_val(records, entry->record);
    }
    return records;
}

/* Takes the registered servers: forgets what earlier starts of them said, and
 * servers that have not been registered for RETENTION_MS. */
void
notices_set_servers(struct notices *notices,
                    const struct notices_server *servers, int n_servers,
                    int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, notices->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct notices_entry *entry = value;
        if (entry->missing_since_ms == 0) {
            entry->missing_since_ms = now_ms;
        }
    }
    for (int i = 0; i < n_servers; i++) {
        struct notices_entry *entry = find(notices, servers[i].name);
        if (entry == NULL) {
            continue;
        }
        entry->missing_since_ms = 0;
        if (is_restart(entry, servers[i].started_ms)) {
            restart(entry, servers[i].started_ms);
        }
    }
    g_hash_table_iter_init(&iter, notices->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct notices_entry *entry = value;
        if (entry->missing_since_ms != 0 &&
            now_ms - entry->missing_since_ms >= RETENTION_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns a hash of the records of registered servers, which does not depend
 * on their order; 0 if there are none. */
uint64_t
notices_digest(const struct notices *notices)
{
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, notices->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct notices_entry *entry = value;
        const struct notices_record *record = &entry->record;
        uint64_t numbers[4];
        if (entry->missing_since_ms != 0 || !says_something(record)) {
            continue;
        }
        numbers[0] = (uint64_t)record->server.started_ms;
        numbers[1] = record->version;
        memcpy(&numbers[2], &record->limit_per_s, sizeof(numbers[2]));
        numbers[3] = record->is_leaving;
        digest += base_hash(numbers, sizeof(numbers),
                            base_hash_text(record->server.name, 0));
    }
    return digest;
}
