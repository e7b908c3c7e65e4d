#include "contracts/queue.h"

#include <string.h>

static void
free_lane(gpointer data)
{
    struct queue_flow *lane = data;

    g_queue_clear_full(&lane->entries, g_free);
    g_free(lane->operator_name);
    g_free(lane);
}

/* Prepares an empty queue. */
void
queue_init(struct queue *queue)
{
    memset(queue, 0, sizeof(*queue));
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        queue->classes[i].lanes =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lane);
    }
}

/* Frees the queue and the asks in it. */
void
queue_finish(struct queue *queue)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        g_hash_table_destroy(queue->classes[i].lanes);
    }
}

/* How many asks wait. */
int
queue_count(const struct queue *queue)
{
    int count = 0;

    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        count += queue->classes[i].count;
    }
    return count;
}

/* How many of the waiting asks could run, had they slots, when long_room
 * more long ones may run. */
int
queue_eligible(const struct queue *queue, int long_room)
{
    int longs = queue->classes[CONTRACTS_ONLINE_LONG].count;

    return queue->classes[CONTRACTS_ONLINE_SHORT].count +
           CLAMP(long_room, 0, longs);
}

static struct queue_flow *
find_flow(struct queue_class *waiting, const struct contracts_admission *ask)
{
    struct queue_flow *lane =
        g_hash_table_lookup(waiting->lanes, ask->operator_name);

    if (lane == NULL) {
        lane = g_new0(struct queue_flow, 1);
        lane->operator_name = g_strdup(ask->operator_name);
        lane->start = waiting->now;
        g_hash_table_insert(waiting->lanes, lane->operator_name, lane);
    }
    lane->weight = ask->weight > 0 ? ask->weight : 1;
    return lane;
}

/* Adds an online ask that waits from now_ms on. */
void
queue_push(struct queue *queue, const struct contracts_admission *ask,
           int64_t now_ms)
{
    struct queue_class *waiting = &queue->classes[ask->class_];
    struct queue_flow *lane = find_flow(waiting, ask);
    struct queue_entry *entry = g_new0(struct queue_entry, 1);

    if (g_queue_is_empty(&lane->entries)) {
        /* An operator that had nothing to ask saves up no credit. */
        lane->start = MAX(lane->start, waiting->now);
    }
    entry->ask = *ask;
    entry->since_ms = now_ms;
    entry->until_ms = now_ms + ask->wait_ms;
    g_queue_push_tail(&lane->entries, entry);
    waiting->count++;
}

static bool
comes_before(const struct queue_flow *a, const struct queue_flow *b)
{
    if (a->start != b->start) {
        return a->start < b->start;
    }
    const struct queue_entry *head_a = a->entries.head->data;
    const struct queue_entry *head_b = b->entries.head->data;
    if (head_a->since_ms != head_b->since_ms) {
        return head_a->since_ms < head_b->since_ms;
    }
    return strcmp(a->operator_name, b->operator_name) < 0;
}

static struct queue_flow *
next_flow(struct queue_class *waiting)
{
    struct queue_flow *best = NULL;
    struct queue_flow *lane;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, waiting->lanes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
        if (!g_queue_is_empty(&lane->entries) &&
            (best == NULL || comes_before(lane, best))) {
            best = lane;
        }
    }
    return best;
}

/* Forgets operators that wait for nothing and have no debt. */
static void
drop_idle_flow(struct queue_class *waiting, struct queue_flow *lane)
{
    if (g_queue_is_empty(&lane->entries) && lane->start <= waiting->now) {
        g_hash_table_remove(waiting->lanes, lane->operator_name);
    }
}

static bool
is_in_time(const struct queue_entry *entry, int64_t now_ms)
{
    return entry->ask.prefer_ms <= 0 ||
           now_ms < entry->since_ms + entry->ask.prefer_ms;
}

/* The oldest ask that is still in time, else the oldest: under overload the
 * late ones would make all others late, too. */
static struct queue_entry *
pop_flow(struct queue_flow *lane, int64_t now_ms)
{
    for (GList *at = lane->entries.head; at != NULL; at = at->next) {
        struct queue_entry *entry = at->data;
        if (is_in_time(entry, now_ms)) {
            g_queue_delete_link(&lane->entries, at);
            return entry;
        }
    }
    return g_queue_pop_head(&lane->entries);
}

static struct queue_entry *
pop_class(struct queue_class *waiting, int64_t now_ms)
{
    struct queue_flow *lane = next_flow(waiting);
    struct queue_entry *entry;

    if (lane == NULL) {
        return NULL;
    }
    entry = pop_flow(lane, now_ms);
    waiting->now = MAX(waiting->now, lane->start);
    lane->start += 1 / lane->weight;
    waiting->count--;
    if (waiting->count == 0) {
        /* Nobody contends any more: all debts are void. */
        g_hash_table_remove_all(waiting->lanes);
        waiting->now = 0;
    }
    return entry;
}

/* Takes the ask whose turn it is, or NULL when none may run; the caller
 * frees it.  may_long says whether a long one may run now. */
struct queue_entry *
queue_pop(struct queue *queue, bool may_long, int64_t now_ms)
{
    struct queue_class *shorts = &queue->classes[CONTRACTS_ONLINE_SHORT];
    struct queue_class *longs = &queue->classes[CONTRACTS_ONLINE_LONG];
    bool has_long = may_long && longs->count > 0;

    if (shorts->count > 0 &&
        (!has_long || queue->short_turns < QUEUE_SHORT_TURNS)) {
        queue->short_turns = has_long ? queue->short_turns + 1 : 0;
        return pop_class(shorts, now_ms);
    }
    if (!has_long) {
        return NULL;
    }
    queue->short_turns = 0;
    return pop_class(longs, now_ms);
}

static struct queue_entry *
take(struct queue_class *waiting, struct queue_flow *lane, GList *link)
{
    struct queue_entry *entry = link->data;

    g_queue_delete_link(&lane->entries, link);
    waiting->count--;
    drop_idle_flow(waiting, lane);
    return entry;
}

/* What take_first looks for; NULL members are not looked at. */
struct match {
    const char *holder;
    const uint64_t *ask_id;
    const int64_t *due_ms;
};

static bool
matches(const struct queue_entry *entry, const struct match *match)
{
    return (match->holder == NULL ||
            strcmp(entry->ask.holder, match->holder) == 0) &&
           (match->ask_id == NULL || entry->ask.ask_id == *match->ask_id) &&
           (match->due_ms == NULL || entry->until_ms <= *match->due_ms);
}

static struct queue_entry *
take_first(struct queue *queue, const struct match *match)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        struct queue_class *waiting = &queue->classes[i];
        struct queue_flow *lane;
        GHashTableIter iter;

        g_hash_table_iter_init(&iter, waiting->lanes);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
            for (GList *l = lane->entries.head; l != NULL; l = l->next) {
                if (matches(l->data, match)) {
                    return take(waiting, lane, l);
                }
            }
        }
    }
    return NULL;
}

/* Takes the ask that a holder numbered so, or NULL. */
struct queue_entry *
queue_remove(struct queue *queue, const char *holder, uint64_t ask_id)
{
    struct match match = {.holder = holder, .ask_id = &ask_id};

    return take_first(queue, &match);
}

/* Forgets all asks of a holder. */
void
queue_remove_holder(struct queue *queue, const char *holder)
{
    struct match match = {.holder = holder};
    struct queue_entry *entry;

    while ((entry = take_first(queue, &match)) != NULL) {
        g_free(entry);
    }
}

/* Takes an ask whose wait is over, or NULL. */
struct queue_entry *
queue_pop_expired(struct queue *queue, int64_t now_ms)
{
    struct match match = {.due_ms = &now_ms};

    return take_first(queue, &match);
}

/* How many asks are served before one that came now would be: at most all
 * that wait, and under fair shares as many as its operator's part of the
 * turns allows. */
double
queue_turns(const struct queue *queue, const struct contracts_admission *ask)
{
    const struct queue_class *waiting = &queue->classes[ask->class_];
    double weight = ask->weight > 0 ? ask->weight : 1;
    double weights = weight;
    double own = 1;
    struct queue_flow *lane;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, waiting->lanes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
        if (strcmp(lane->operator_name, ask->operator_name) == 0) {
            own += lane->entries.length;
        }
        else if (lane->entries.length > 0) {
            weights += lane->weight;
        }
    }
    return MIN(own * weights / weight, queue_count(queue) + 1.0);
}

/* Takes the newest ask of the operator that has the most asks waiting for
 * its weight; NULL when that would be the asker itself. */
struct queue_entry *
queue_drop_for(struct queue *queue, const struct contracts_admission *ask)
{
    double weight = ask->weight > 0 ? ask->weight : 1;
    struct queue_class *waiting = NULL;
    struct queue_flow *longest = NULL;
    double most = 0;
    double own = 1 / weight;

    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        struct queue_flow *lane;
        GHashTableIter iter;

        g_hash_table_iter_init(&iter, queue->classes[i].lanes);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
            double length = lane->entries.length / lane->weight;
            if (i == (int)ask->class_ &&
                strcmp(lane->operator_name, ask->operator_name) == 0) {
                own = (lane->entries.length + 1) / weight;
            }
            if (length > most) {
                most = length;
                longest = lane;
                waiting = &queue->classes[i];
            }
        }
    }
    if (longest == NULL || own >= most) {
        return NULL;
    }
    return take(waiting, longest, longest->entries.tail);
}
