#include "quarantine/quarantine.h"

#include <string.h>

enum {
    DEFAULT_MAX_CRASHES = 3,
    DEFAULT_SPACING_MS = 200, /* longer than a crash takes to be noticed by
                                 all nodes, shorter than most servers start */
    DEFAULT_BLOCK_MS = 10000,
    MAX_DOUBLINGS = 5, /* of the time for which a part is blocked */
    DEFAULT_RETRY_MS = 2000,
    /* Time in which all nodes hear of a crash: that of a request, and four
     * rounds of reports. */
    NEWS_MS = 500,
    FORGET_MS = 120000, /* after the last change of a part not blocked */
    DEFAULT_MAX_RECORDS = 512,
    /* Reports of one server within this time are of one crash: a server needs
     * longer to start again. */
    SAME_CRASH_MS = 1000,
    ROUNDS = 4, /* rounds in which a change is taken for the peers */
};

struct crash {
    uint64_t id; /* the lowest of those that the nodes gave it */
    uint64_t server;
    int64_t at_ms; /* as this node heard of it */
};

struct entry {
    uint64_t part;
    struct crash crashes[QUARANTINE_MAX_CRASHES]; /* by time */
    int n_crashes;
    uint32_t n_clears;  /* times that an answer cleared the part, anywhere */
    uint64_t clearer;   /* the node of the last of them */
    int64_t cleared_ms; /* its time, as this node heard of it */
    int64_t changed_ms;
    int64_t tried_ms; /* last time this node admitted a try; 0: never */
    int rounds;       /* remaining rounds that take the entry */
};

/* Sets the number of nodes that exchange records; 0: this one only. */
void
quarantine_set_nodes(struct quarantine *quarantine, int n_nodes)
{
    quarantine->desc.n_nodes = MAX(n_nodes, 1);
}

/* Initializes an empty quarantine. */
void
quarantine_init(struct quarantine *quarantine,
                const struct quarantine_desc *desc)
{
    quarantine->desc = *desc;
    if (desc->max_crashes == 0) {
        quarantine->desc.max_crashes = DEFAULT_MAX_CRASHES;
    }
    if (desc->spacing_ms == 0) {
        quarantine->desc.spacing_ms = DEFAULT_SPACING_MS;
    }
    if (desc->block_ms == 0) {
        quarantine->desc.block_ms = DEFAULT_BLOCK_MS;
    }
    if (desc->retry_ms == 0) {
        quarantine->desc.retry_ms = DEFAULT_RETRY_MS;
    }
    if (desc->max_records == 0) {
        quarantine->desc.max_records = DEFAULT_MAX_RECORDS;
    }
    quarantine_set_nodes(quarantine, desc->n_nodes);
    quarantine->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Frees the contents. */
void
quarantine_finish(struct quarantine *quarantine)
{
    g_hash_table_destroy(quarantine->entries);
}

/* Makes the hashes those of the parts at one deployment: a part may crash the
 * servers of one and be answered by another. */
void
quarantine_scope(struct quarantine_parts *parts, const char *deployment)
{
    for (int i = 0; i < parts->n_parts; i++) {
        parts->parts[i] = base_hash_text(deployment, parts->parts[i]);
    }
}

/* ---- judgement ---- */

static struct entry *
find_entry(const struct quarantine *quarantine, uint64_t part)
{
    return g_hash_table_lookup(quarantine->entries, &part);
}

/* The crashes of a part since its last answer. */
struct judgement {
    int n_crashes;            /* that count */
    int64_t blocked_until_ms; /* 0: never blocked */
};

/* Crashes while the part is blocked are of requests sent before; one after
 * that doubles the time. */
static struct judgement
judge(const struct quarantine *quarantine, const struct entry *entry)
{
    const struct quarantine_desc *desc = &quarantine->desc;
    struct judgement judgement = {0, 0};
    int64_t last_ms = 0;
    int n_doublings = 0;

    for (int i = 0; i < entry->n_crashes; i++) {
        int64_t at_ms = entry->crashes[i].at_ms;
        if ((entry->n_clears > 0 && at_ms <= entry->cleared_ms) ||
            at_ms < judgement.blocked_until_ms ||
            (judgement.n_crashes > 0 && at_ms - last_ms < desc->spacing_ms)) {
            continue;
        }
        judgement.n_crashes++;
        last_ms = at_ms;
        if (judgement.n_crashes >= desc->max_crashes) {
            judgement.blocked_until_ms =
                at_ms + (desc->block_ms << MIN(n_doublings, MAX_DOUBLINGS));
            n_doublings++;
        }
    }
    return judgement;
}

/* Returns for how many ms more requests with one of these parts must not reach
 * a server; 0: they may. */
int64_t
quarantine_blocked_ms(const struct quarantine *quarantine,
                      const struct quarantine_parts *parts, int64_t now_ms)
{
    int64_t blocked_ms = 0;

    for (int i = 0; i < parts->n_parts; i++) {
        const struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL) {
            blocked_ms =
                MAX(blocked_ms,
                    judge(quarantine, entry).blocked_until_ms - now_ms);
        }
    }
    return blocked_ms;
}

/* Returns the time from which this node tries a part again.  On average, one
 * more node may try in each NEWS_MS, so that most hear what became of the
 * first try. */
static int64_t
next_try_ms(const struct quarantine *quarantine, const struct entry *entry,
            int64_t blocked_until_ms)
{
    const struct quarantine_desc *desc = &quarantine->desc;
    uint64_t delay_ms =
        base_hash(&entry->part, sizeof(entry->part), desc->node) %
        ((uint64_t)desc->n_nodes * NEWS_MS);
    int64_t at_ms = blocked_until_ms + (int64_t)delay_ms;

    return entry->tried_ms == 0 ? at_ms
                                : MAX(at_ms, entry->tried_ms + desc->retry_ms);
}

/* Decides on a new request with these parts.  Returns 0 if it may reach a
 * server, else in how many ms to come back.  Of the requests with a part that
 * was blocked, it admits one at a time, until an answer clears the part. */
int64_t
quarantine_admit(struct quarantine *quarantine,
                 const struct quarantine_parts *parts, int64_t now_ms)
{
    int64_t wait_ms = 0;

    for (int i = 0; i < parts->n_parts; i++) {
        const struct entry *entry = find_entry(quarantine, parts->parts[i]);
        int64_t until_ms =
            entry == NULL ? 0 : judge(quarantine, entry).blocked_until_ms;
        if (until_ms != 0) {
            wait_ms = MAX(wait_ms,
                          next_try_ms(quarantine, entry, until_ms) - now_ms);
        }
    }
    for (int i = 0; wait_ms == 0 && i < parts->n_parts; i++) {
        struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL && judge(quarantine, entry).blocked_until_ms != 0) {
            entry->tried_ms = now_ms;
        }
    }
    return wait_ms;
}

/* Returns the highest number of crashes that count against one of the
 * parts. */
int
quarantine_suspicion(const struct quarantine *quarantine,
                     const struct quarantine_parts *parts)
{
    int most = 0;

    for (int i = 0; i < parts->n_parts; i++) {
        const struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL) {
            most = MAX(most, judge(quarantine, entry).n_crashes);
        }
    }
    return most;
}

/* ---- evidence ---- */

/* Whether `a` is dropped before `b`: parts with fewer crashes first, then
 * those that changed least recently. */
static bool
is_dropped_before(const struct quarantine *quarantine, const struct entry *a,
                  const struct entry *b)
{
    int n_a = judge(quarantine, a).n_crashes;
    int n_b = judge(quarantine, b).n_crashes;

    return n_a != n_b ? n_a < n_b : a->changed_ms < b->changed_ms;
}

static void
drop_one(struct quarantine *quarantine)
{
    GHashTableIter iter;
    gpointer value;
    const struct entry *first = NULL;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        if (first == NULL || is_dropped_before(quarantine, entry, first)) {
            first = entry;
        }
    }
    if (first != NULL) {
        g_hash_table_remove(quarantine->entries, &first->part);
    }
}

static struct entry *
find_or_add(struct quarantine *quarantine, uint64_t part)
{
    struct entry *entry = find_entry(quarantine, part);

    if (entry != NULL) {
        return entry;
    }
    if ((int)g_hash_table_size(quarantine->entries) >=
        quarantine->desc.max_records) {
        drop_one(quarantine);
    }
    entry = g_new0(struct entry, 1);
    entry->part = part;
    g_hash_table_insert(quarantine->entries, &entry->part, entry);
    return entry;
}

/* Finds a crash by its id, or else by its server and time, since several nodes
 * may have noted it. */
static struct crash *
find_crash(struct entry *entry, const struct crash *wanted)
{
    for (int i = 0; i < entry->n_crashes; i++) {
        if (entry->crashes[i].id == wanted->id) {
            return &entry->crashes[i];
        }
    }
    for (int i = 0; i < entry->n_crashes; i++) {
        struct crash *crash = &entry->crashes[i];
        if (crash->server == wanted->server &&
            ABS(crash->at_ms - wanted->at_ms) < SAME_CRASH_MS) {
            return crash;
        }
    }
    return NULL;
}

static void
sort_crashes(struct entry *entry)
{
    for (int i = 1; i < entry->n_crashes; i++) {
        struct crash moved = entry->crashes[i];
        int to = i;
        while (to > 0 && entry->crashes[to - 1].at_ms > moved.at_ms) {
            entry->crashes[to] = entry->crashes[to - 1];
            to--;
        }
        entry->crashes[to] = moved;
    }
}

/* Adds a crash; of several reports of one crash the earliest time and the
 * lowest id stay.  Reports that come late are known by the id, for any time
 * between nodes grows with each transfer.  Returns false if there is nothing
 * new, or if the crash is older than all of a full record. */
static bool
add_crash(struct entry *entry, struct crash added)
{
    struct crash *known = find_crash(entry, &added);

    if (known != NULL) {
        bool is_new = added.id < known->id;
        known->id = MIN(known->id, added.id);
        known->at_ms = MIN(known->at_ms, added.at_ms);
        sort_crashes(entry);
        return is_new;
    }
    if (entry->n_crashes == QUARANTINE_MAX_CRASHES) {
        if (added.at_ms <= entry->crashes[0].at_ms) {
            return false;
        }
        entry->n_crashes--;
        memmove(entry->crashes, entry->crashes + 1,
                (size_t)entry->n_crashes * sizeof(entry->crashes[0]));
    }
    entry->crashes[entry->n_crashes++] = added;
    sort_crashes(entry);
    return true;
}

static void
note_change(struct entry *entry, int64_t now_ms)
{
    entry->changed_ms = now_ms;
    entry->rounds = ROUNDS;
}

/* Notes that a server, given by the hash of its name, crashed while it had not
 * begun to answer a request with these parts. */
void
quarantine_note_crash(struct quarantine *quarantine,
                      const struct quarantine_parts *parts, uint64_t server,
                      int64_t now_ms)
{
    const uint64_t origin[] = {quarantine->desc.node, server,
                               (uint64_t)now_ms};
    struct crash crash = {base_hash(origin, sizeof(origin), 0), server,
                          now_ms};

    for (int i = 0; i < parts->n_parts; i++) {
        struct entry *entry = find_or_add(quarantine, parts->parts[i]);
        if (add_crash(entry, crash)) {
            note_change(entry, now_ms);
        }
    }
}

/* Notes that a server answered a request with these parts.  Returns whether
 * that cleared a part of a crash. */
bool
quarantine_note_answer(struct quarantine *quarantine,
                       const struct quarantine_parts *parts, int64_t now_ms)
{
    bool is_cleared = false;

    for (int i = 0; i < parts->n_parts; i++) {
        struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry == NULL || judge(quarantine, entry).n_crashes == 0) {
            continue;
        }
        entry->cleared_ms = now_ms;
        entry->n_clears++;
        entry->clearer = quarantine->desc.node;
        note_change(entry, now_ms);
        is_cleared = true;
    }
    return is_cleared;
}

/* Drops the records that neither block nor have changed for FORGET_MS. */
void
quarantine_expire(struct quarantine *quarantine, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        int64_t until_ms = judge(quarantine, entry).blocked_until_ms;
        if (now_ms - MAX(entry->changed_ms, until_ms) >= FORGET_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* ---- exchange between nodes ---- */

static struct quarantine_record
make_record(const struct entry *entry, int64_t now_ms)
{
    struct quarantine_record record = {
        .part = entry->part,
        .n_crashes = entry->n_crashes,
        .n_clears = entry->n_clears,
        .clearer = entry->clearer,
        .clear_age_ms = entry->n_clears > 0 ? now_ms - entry->cleared_ms : 0,
    };

    for (int i = 0; i < entry->n_crashes; i++) {
        record.crashes[i].id = entry->crashes[i].id;
        record.crashes[i].server = entry->crashes[i].server;
        record.crashes[i].age_ms = now_ms - entry->crashes[i].at_ms;
    }
    return record;
}

/* Returns the records of type struct quarantine_record that changed and were
 * not yet taken often enough, or all; NULL if there are none.  The caller
 * frees the array. */
GArray *
quarantine_take(struct quarantine *quarantine, bool is_all, int64_t now_ms)
{
    GArray *records = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct entry *entry = value;
        struct quarantine_record record;
        if (!is_all && entry->rounds == 0) {
            continue;
        }
        entry->rounds -= is_all ? 0 : 1;
        record = make_record(entry, now_ms);
        if (records == NULL) {
            records =
                g_array_new(FALSE, FALSE, sizeof(struct quarantine_record));
        }
        g_array_append_val(records, record);
    }
    return records;
}

/* Of two nodes that cleared a part at the same time, the clear of the one with
 * the higher number counts on all nodes. */
static bool
is_later_clear(const struct quarantine_record *record,
               const struct entry *entry)
{
    return record->n_clears != entry->n_clears
               ? record->n_clears > entry->n_clears
               : record->clearer > entry->clearer;
}

/* Adds a peer's record, which is taken for other peers in turn.  Returns
 * whether it was new. */
bool
quarantine_merge(struct quarantine *quarantine,
                 const struct quarantine_record *record, int64_t now_ms)
{
    struct entry *entry = find_or_add(quarantine, record->part);
    bool is_new = false;

    for (int i = 0; i < record->n_crashes; i++) {
        const struct quarantine_crash *crash = &record->crashes[i];
        is_new |=
            add_crash(entry, (struct crash){crash->id, crash->server,
                                            now_ms - MAX(crash->age_ms, 0)});
    }
    /* Each transfer makes a clear seem later by its duration, so its time is
     * taken only once. */
    if (is_later_clear(record, entry)) {
        entry->n_clears = record->n_clears;
        entry->clearer = record->clearer;
        entry->cleared_ms = now_ms - MAX(record->clear_age_ms, 0);
        is_new = true;
    }
    if (is_new) {
        note_change(entry, now_ms);
    }
    return is_new;
}

/* Returns a hash of the blocked parts; 0: none.  Nodes with different hashes
 * should exchange all records. */
uint64_t
quarantine_digest(const struct quarantine *quarantine, int64_t now_ms)
{
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        if (judge(quarantine, entry).blocked_until_ms > now_ms) {
            digest += base_hash(&entry->part, sizeof(entry->part), 0);
        }
    }
    return digest;
}
