#include "quarantine/quarantine.h"

#include <math.h>
#include <string.h>

enum {
    DEFAULT_MAX_CRASHES = 3,
    DEFAULT_SPACING_MS = 200, /* longer than a node takes to notice a cut on
                                 all its connections, shorter than most
                                 servers take to start */
    DEFAULT_BLOCK_MS = 10000,
    MAX_DOUBLINGS = 5, /* of the time for which a part is blocked */
    DEFAULT_RETRY_MS = 2000,
    /* In which twice as many nodes may try a part that was blocked, for each
     * doubling of the fleet: long against the time from a try until all nodes
     * have heard of its crash, which grows in the same way. */
    TRY_DOUBLING_MS = 600,
    /* After the last change of a part not blocked.  Answers are remembered for
     * this time at most, and for half of it at least. */
    FORGET_MS = 120000,
    DEFAULT_MAX_RECORDS = 512,
    /* A message of some 500 bytes.  With three of them in 100 ms a node stays
     * within 15 KB/s however many servers crash. */
    DEFAULT_MAX_TAKEN = 12,
    MAX_TAKEN_OF_ALL = 64, /* for a node that knows other blocked parts */
    DEFAULT_MAX_ANSWERED = 2048,
    /* A part that was answered lately needs as many times the crashes: then
     * the culprit, which mostly was not, is blocked first and alone. */
    ANSWERED_FACTOR = 2,
    /* Reports of one server within this time are of one crash: a server needs
     * longer to start again. */
    SAME_CRASH_MS = 1000,
    MAX_AGE_MS = 1 << 30, /* of a crash in a record */
    ROUNDS = 4,           /* rounds in which a change is taken for the peers */
    /* Servers whose crash a node may notice after it heard of further ones. */
    MAX_RECENT = 4,
};

/* A server that crashed, and when this node heard of it. */
struct recent {
    uint64_t server;
    int64_t crashed_ms;
};

struct entry {
    uint64_t part;
    struct quarantine_state state; /* see quarantine.h */
    int64_t crashed_ms;            /* last crash, as this node heard of it */
    int64_t noted_ms; /* last crash that this node counted itself */
    int64_t changed_ms;
    struct recent recent[MAX_RECENT]; /* a ring */
    int n_recent;                     /* ever added to it */
    int64_t tried_ms; /* last time this node admitted a try; 0: never */
    int rounds;       /* remaining rounds that take the entry */
};

/* Sets the numbers of the nodes that exchange records and get requests, with
 * or without this one.  They are copied. */
void
quarantine_set_nodes(struct quarantine *quarantine, const uint64_t *nodes,
                     int n_nodes)
{
    g_array_set_size(quarantine->nodes, 0);
    g_array_append_vals(quarantine->nodes, nodes, (guint)n_nodes);
}

/* Returns an empty set of parts. */
static GHashTable *
new_set(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
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
    if (desc->max_taken == 0) {
        quarantine->desc.max_taken = DEFAULT_MAX_TAKEN;
    }
    quarantine->nodes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (desc->max_answered == 0) {
        quarantine->desc.max_answered = DEFAULT_MAX_ANSWERED;
    }
    quarantine->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    quarantine->answered = new_set();
    quarantine->answered_before = new_set();
    quarantine->answered_since_ms = 0;
}

/* Frees the contents. */
void
quarantine_finish(struct quarantine *quarantine)
{
    g_hash_table_destroy(quarantine->entries);
    g_hash_table_destroy(quarantine->answered);
    g_hash_table_destroy(quarantine->answered_before);
    g_array_free(quarantine->nodes, TRUE);
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

/* Adds the request itself, by a hash of what is the same when it is sent once
 * more.  Call it once, before quarantine_scope. */
void
quarantine_add_request(struct quarantine_parts *parts, uint64_t request)
{
    parts->parts[parts->n_parts++] = request;
    parts->has_request = true;
}

/* Whether the part with this index is the request itself. */
static bool
is_request(const struct quarantine_parts *parts, int index)
{
    return parts->has_request && index == parts->n_parts - 1;
}

/* ---- judgement ---- */

static struct entry *
find_entry(const struct quarantine *quarantine, uint64_t part)
{
    return g_hash_table_lookup(quarantine->entries, &part);
}

/* Whether this node had an answer to a request with the part lately. */
static bool
was_answered(const struct quarantine *quarantine, uint64_t part)
{
    return g_hash_table_contains(quarantine->answered, &part) ||
           g_hash_table_contains(quarantine->answered_before, &part);
}

/* Returns the number of crashes after which this node blocks a part. */
static int
max_crashes_of(const struct quarantine *quarantine, const struct entry *entry)
{
    return quarantine->desc.max_crashes *
           (was_answered(quarantine, entry->part) ? ANSWERED_FACTOR : 1);
}

/* Returns the time until which a part is blocked if max_crashes block it; 0:
 * it has never been since its last answer.  Each crash after a block doubles
 * the time. */
static int64_t
blocked_from_ms(const struct quarantine *quarantine, const struct entry *entry,
                int max_crashes)
{
    int n_doublings = (int)entry->state.n_crashes - max_crashes;

    return n_doublings < 0
               ? 0
               : entry->crashed_ms + (quarantine->desc.block_ms
                                      << MIN(n_doublings, MAX_DOUBLINGS));
}

/* Returns the time until which this node blocks a part, or 0. */
static int64_t
blocked_until_ms(const struct quarantine *quarantine,
                 const struct entry *entry)
{
    return blocked_from_ms(quarantine, entry,
                           max_crashes_of(quarantine, entry));
}

/* Whether a crash of the server was counted a moment ago: a crash breaks many
 * connections, of several nodes. */
static bool
is_known_crash(const struct entry *entry, uint64_t server, int64_t now_ms)
{
    for (int i = 0; i < MIN(entry->n_recent, MAX_RECENT); i++) {
        if (entry->recent[i].server == server &&
            now_ms - entry->recent[i].crashed_ms < SAME_CRASH_MS) {
            return true;
        }
    }
    return false;
}

/* Whether a crash is a further one.  While a part is blocked, requests that
 * were sent before crash servers.  When a node is cut off, its connections to
 * many servers break at once; crashes that it has heard of from others are not
 * of this kind, and add up without a pause. */
static bool
is_further_crash(const struct quarantine *quarantine,
                 const struct entry *entry, uint64_t server, int64_t now_ms)
{
    int64_t since_ms =
        now_ms - (was_answered(quarantine, entry->part) ? entry->crashed_ms
                                                        : entry->noted_ms);

    if (entry->state.n_crashes == 0) {
        return true;
    }
    return now_ms >= blocked_until_ms(quarantine, entry) &&
           !is_known_crash(entry, server, now_ms) &&
           since_ms >= quarantine->desc.spacing_ms;
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
                MAX(blocked_ms, blocked_until_ms(quarantine, entry) - now_ms);
        }
    }
    return blocked_ms;
}

/* Returns this node's place, from 0, in the order in which the nodes try a
 * part: that of hashes, so that all agree. */
static int
place_in_turn(const struct quarantine *quarantine, uint64_t part)
{
    uint64_t own = base_hash(&part, sizeof(part), quarantine->desc.node);
    int n_before = 0;

    for (guint i = 0; i < quarantine->nodes->len; i++) {
        uint64_t node = g_array_index(quarantine->nodes, uint64_t, i);
        n_before += base_hash(&part, sizeof(part), node) < own ? 1 : 0;
    }
    return n_before;
}

/* Returns the time from which this node tries a part again.  At first only one
 * node does.  Then their number doubles again and again, since a part that has
 * not been tried comes seldom. */
static int64_t
next_try_ms(const struct quarantine *quarantine, const struct entry *entry,
            int64_t blocked_until_ms)
{
    double n_doublings = log2(place_in_turn(quarantine, entry->part) + 1);
    double doubling_ms = TRY_DOUBLING_MS * log2(quarantine->nodes->len + 1);
    int64_t at_ms = blocked_until_ms + (int64_t)(n_doublings * doubling_ms);

    return entry->tried_ms == 0
               ? at_ms
               : MAX(at_ms, entry->tried_ms + quarantine->desc.retry_ms);
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
            entry == NULL ? 0 : blocked_until_ms(quarantine, entry);
        if (until_ms != 0) {
            wait_ms = MAX(wait_ms,
                          next_try_ms(quarantine, entry, until_ms) - now_ms);
        }
    }
    for (int i = 0; wait_ms == 0 && i < parts->n_parts; i++) {
        struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL && blocked_until_ms(quarantine, entry) != 0) {
            entry->tried_ms = now_ms;
        }
    }
    return wait_ms;
}

/* Returns the highest number of crashes of one of the parts since its last
 * answer. */
int
quarantine_crashes(const struct quarantine *quarantine,
                   const struct quarantine_parts *parts)
{
    int most = 0;

    for (int i = 0; i < parts->n_parts; i++) {
        const struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL) {
            most = MAX(most, (int)entry->state.n_crashes);
        }
    }
    return most;
}

/* Returns the highest number of crashes that count against one of the parts.
 * Those of a part that was answered lately count beyond what blocks others. */
int
quarantine_suspicion(const struct quarantine *quarantine,
                     const struct quarantine_parts *parts)
{
    int most = 0;

    for (int i = 0; i < parts->n_parts; i++) {
        const struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (entry != NULL) {
            int n_spared = max_crashes_of(quarantine, entry) -
                           quarantine->desc.max_crashes;
            most = MAX(most, (int)entry->state.n_crashes - n_spared);
        }
    }
    return most;
}

/* ---- evidence ---- */

/* Whether `a` is dropped before `b`: parts with fewer crashes first, then
 * those that changed least recently. */
static bool
is_dropped_before(const struct entry *a, const struct entry *b)
{
    return a->state.n_crashes != b->state.n_crashes
               ? a->state.n_crashes < b->state.n_crashes
               : a->changed_ms < b->changed_ms;
}

/* Returns the record that is dropped first, or NULL if there is none. */
static const struct entry *
find_least(const struct quarantine *quarantine)
{
    GHashTableIter iter;
    gpointer value;
    const struct entry *first = NULL;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        if (first == NULL || is_dropped_before(entry, first)) {
            first = entry;
        }
    }
    return first;
}

static bool
is_full(const struct quarantine *quarantine)
{
    return (int)g_hash_table_size(quarantine->entries) >=
           quarantine->desc.max_records;
}

static struct entry *
find_or_add(struct quarantine *quarantine, uint64_t part)
{
    struct entry *entry = find_entry(quarantine, part);

    if (entry != NULL) {
        return entry;
    }
    if (is_full(quarantine)) {
        g_hash_table_remove(quarantine->entries,
                            &find_least(quarantine)->part);
    }
    entry = g_new0(struct entry, 1);
    entry->part = part;
    entry->noted_ms = INT64_MIN / 2; /* never; differences don't overflow */
    g_hash_table_insert(quarantine->entries, &entry->part, entry);
    return entry;
}

static void
note_change(struct entry *entry, int64_t now_ms)
{
    entry->changed_ms = now_ms;
    entry->rounds = ROUNDS;
}

static void
remember_crash(struct entry *entry, uint64_t server, int64_t crashed_ms)
{
    entry->crashed_ms = crashed_ms;
    entry->recent[entry->n_recent % MAX_RECENT] =
        (struct recent){server, crashed_ms};
    entry->n_recent++;
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

    for (int i = 0; i < parts->n_parts; i++) {
        struct entry *entry = find_or_add(quarantine, parts->parts[i]);
        if (!is_further_crash(quarantine, entry, server, now_ms)) {
            continue;
        }
        entry->state.n_crashes++;
        entry->state.crash = base_hash(origin, sizeof(origin), 0);
        entry->state.server = server;
        entry->noted_ms = now_ms;
        remember_crash(entry, server, now_ms);
        note_change(entry, now_ms);
    }
}

/* Ends the generation of answered parts if it is old or full, and forgets the
 * one before. */
static void
renew_answered(struct quarantine *quarantine, int64_t now_ms)
{
    GHashTable *forgotten = quarantine->answered_before;

    if (now_ms - quarantine->answered_since_ms < FORGET_MS / 2 &&
        (int)g_hash_table_size(quarantine->answered) <
            quarantine->desc.max_answered) {
        return;
    }
    g_hash_table_remove_all(forgotten);
    quarantine->answered_before = quarantine->answered;
    quarantine->answered = forgotten;
    quarantine->answered_since_ms = now_ms;
}

/* Notes that a server answered a request with these parts.  Returns whether
 * that cleared a part of a crash. */
bool
quarantine_note_answer(struct quarantine *quarantine,
                       const struct quarantine_parts *parts, int64_t now_ms)
{
    bool is_cleared = false;

    renew_answered(quarantine, now_ms);
    for (int i = 0; i < parts->n_parts; i++) {
        struct entry *entry = find_entry(quarantine, parts->parts[i]);
        if (!is_request(parts, i) &&
            !g_hash_table_contains(quarantine->answered, &parts->parts[i])) {
            g_hash_table_add(
                quarantine->answered,
                g_memdup2(&parts->parts[i], sizeof(parts->parts[i])));
        }
        if (entry == NULL || entry->state.n_crashes == 0) {
            continue;
        }
        entry->state =
            (struct quarantine_state){.n_clears = entry->state.n_clears + 1};
        note_change(entry, now_ms);
        is_cleared = true;
    }
    return is_cleared;
}

/* Drops the records that neither block nor have changed for FORGET_MS, and old
 * answers. */
void
quarantine_expire(struct quarantine *quarantine, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    renew_answered(quarantine, now_ms);
    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        int64_t until_ms = blocked_until_ms(quarantine, entry);
        if (now_ms - MAX(entry->changed_ms, until_ms) >= FORGET_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* ---- exchange between nodes ---- */

/* Whether the digest of two nodes may differ by a record: one that may be
 * blocked, or whose crashes an answer has cleared. */
static bool
may_change_digest(const struct quarantine *quarantine,
                  const struct entry *entry)
{
    return entry->state.n_clears > 0 ||
           (int)entry->state.n_crashes >= quarantine->desc.max_crashes;
}

static gint
compare_urgency(gconstpointer left, gconstpointer right, gpointer quarantine)
{
    const struct entry *a = *(struct entry *const *)left;
    const struct entry *b = *(struct entry *const *)right;
    int rank =
        may_change_digest(quarantine, b) - may_change_digest(quarantine, a);

    if (rank != 0) {
        return rank;
    }
    return is_dropped_before(a, b) ? 1 : is_dropped_before(b, a) ? -1 : 0;
}

/* Returns the entries that are due, those that may be blocked first. */
static GPtrArray *
list_due(struct quarantine *quarantine, bool is_all)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        if (is_all || entry->rounds > 0) {
            g_ptr_array_add(due, value);
        }
    }
    g_ptr_array_sort_with_data(due, compare_urgency, quarantine);
    return due;
}

/* Returns records of type struct quarantine_record for other nodes; NULL if
 * there are none: those that changed and were not yet taken often enough, or
 * all.  Their number is limited, and the most urgent ones come first.  The
 * caller frees the array. */
GArray *
quarantine_take(struct quarantine *quarantine, bool is_all, int64_t now_ms)
{
    GPtrArray *due = list_due(quarantine, is_all);
    guint limit =
        is_all ? MAX_TAKEN_OF_ALL : (guint)quarantine->desc.max_taken;
    GArray *records = NULL;

    for (guint i = 0; i < MIN(due->len, limit); i++) {
        struct entry *entry = due->pdata[i];
        struct quarantine_record record = {entry->part, entry->state,
                                           now_ms - entry->crashed_ms};
        entry->rounds -= is_all ? 0 : 1;
        if (records == NULL) {
            records =
                g_array_new(FALSE, FALSE, sizeof(struct quarantine_record));
        }
        g_array_append_val(records, record);
    }
    g_ptr_array_free(due, TRUE);
    return records;
}

/* Orders states: an answer ends all crashes before it, and of two nodes that
 * noted a crash at the same time, the one with the higher id counts. */
static bool
is_later(const struct quarantine_state *a, const struct quarantine_state *b)
{
    if (a->n_clears != b->n_clears) {
        return a->n_clears > b->n_clears;
    }
    if (a->n_crashes != b->n_crashes) {
        return a->n_crashes > b->n_crashes;
    }
    return a->crash > b->crash;
}

/* Whether a peer's record of an unknown part is remembered.  One that would
 * push out others which count no less is not: they would come back from peers,
 * and nodes would exchange them for ever. */
static bool
is_worth_adding(const struct quarantine *quarantine,
                const struct quarantine_record *record)
{
    return !is_full(quarantine) ||
           find_least(quarantine)->state.n_crashes < record->state.n_crashes;
}

/* Takes a peer's record if its state is later, so that it is taken for other
 * peers in turn.  Each transfer makes a crash seem later by its duration, so
 * its time is taken once.  Returns whether the record was new. */
bool
quarantine_merge(struct quarantine *quarantine,
                 const struct quarantine_record *record, int64_t now_ms)
{
    struct entry *entry = find_entry(quarantine, record->part);

    if (entry == NULL && is_worth_adding(quarantine, record)) {
        entry = find_or_add(quarantine, record->part);
    }
    if (entry == NULL || !is_later(&record->state, &entry->state)) {
        return false;
    }
    entry->state = record->state;
    remember_crash(entry, record->state.server,
                   now_ms - CLAMP(record->crash_age_ms, 0, MAX_AGE_MS));
    note_change(entry, now_ms);
    return true;
}

/* Returns a hash of the parts that are blocked where they were not answered
 * lately; 0: none.  Nodes with different hashes should exchange all records.
 */
uint64_t
quarantine_digest(const struct quarantine *quarantine, int64_t now_ms)
{
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *entry = value;
        if (blocked_from_ms(quarantine, entry, quarantine->desc.max_crashes) >
            now_ms) {
            digest += base_hash(&entry->part, sizeof(entry->part), 0);
        }
    }
    return digest;
}
