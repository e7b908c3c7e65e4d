#include "contracts/queue.h"

#include <string.h>

static void
free_flow(gpointer data)
{
    struct queue_flow *flow = data;

    g_queue_clear_full(&flow->entries, g_free);
    g_free(flow->operator_name);
    g_free(flow);
}

/* Prepares an empty queue. */
void
queue_init(struct queue *queue)
{
    memset(queue, 0, sizeof(*queue));
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        queue->classes[i].flows =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_flow);
    }
}

/* Frees the contents of the queue. */
void
queue_finish(struct queue *queue)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        g_hash_table_destroy(queue->classes[i].flows);
    }
}

/* Returns the number of waiting admission requests. */
int
queue_count(const struct queue *queue)
{
    int count = 0;

    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        count += queue->classes[i].count;
    }
    return count;
}

/* Returns how many waiting admission requests could run if there were free
 * slots; at most long_room of the long ones are counted. */
int
queue_count_eligible(const struct queue *queue, int long_room)
{
    int longs = queue->classes[CONTRACTS_ONLINE_LONG].count;

    return queue->classes[CONTRACTS_ONLINE_SHORT].count +
           CLAMP(long_room, 0, longs);
}

static struct queue_flow *
find_flow(struct queue_class *class_queue,
          const struct contracts_admission *admission)
{
    struct queue_flow *flow =
        g_hash_table_lookup(class_queue->flows, admission->operator_name);

    if (flow == NULL) {
        flow = g_new0(struct queue_flow, 1);
        flow->operator_name = g_strdup(admission->operator_name);
        flow->start = class_queue->virtual_now;
        g_hash_table_insert(class_queue->flows, flow->operator_name, flow);
    }
    flow->weight = admission->weight > 0 ? admission->weight : 1;
    return flow;
}

/* Inserts an entry behind those whose callers have waited as long or longer.
 */
static void
insert_by_age(GQueue *entries, struct queue_entry *entry)
{
    GList *at = entries->tail;

    while (at != NULL &&
           ((struct queue_entry *)at->data)->first_ms > entry->first_ms) {
        at = at->prev;
    }
    if (at == NULL) {
        g_queue_push_head(entries, entry);
    }
    else {
        g_queue_insert_after(entries, at, entry);
    }
}

/* Adds an online admission request, which waits from now_ms on. */
void
queue_push(struct queue *queue, const struct contracts_admission *admission,
           int64_t now_ms)
{
    struct queue_class *class_queue = &queue->classes[admission->class_];
    struct queue_flow *flow = find_flow(class_queue, admission);
    struct queue_entry *entry = g_new0(struct queue_entry, 1);

    if (g_queue_is_empty(&flow->entries)) {
        /* Idle time doesn't give an operator a larger share later. */
        flow->start = MAX(flow->start, class_queue->virtual_now);
    }
    entry->admission = *admission;
    entry->since_ms = now_ms;
    entry->until_ms = now_ms + admission->wait_ms;
    entry->first_ms = now_ms - admission->earlier_ms;
    insert_by_age(&flow->entries, entry);
    class_queue->count++;
}

static bool
comes_before(const struct queue_flow *a, const struct queue_flow *b)
{
    if (a->start != b->start) {
        return a->start < b->start;
    }
    const struct queue_entry *head_a = a->entries.head->data;
    const struct queue_entry *head_b = b->entries.head->data;
    if (head_a->first_ms != head_b->first_ms) {
        return head_a->first_ms < head_b->first_ms;
    }
    return strcmp(a->operator_name, b->operator_name) < 0;
}

static struct queue_flow *
next_flow(struct queue_class *class_queue)
{
    struct queue_flow *best = NULL;
    struct queue_flow *flow;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, class_queue->flows);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&flow)) {
        if (!g_queue_is_empty(&flow->entries) &&
            (best == NULL || comes_before(flow, best))) {
            best = flow;
        }
    }
    return best;
}

/* Frees an empty flow, unless its operator has used more than its share: the
 * start time is then needed to make its next request wait. */
static void
drop_idle_flow(struct queue_class *class_queue, struct queue_flow *flow)
{
    if (g_queue_is_empty(&flow->entries) &&
        flow->start <= class_queue->virtual_now) {
        g_hash_table_remove(class_queue->flows, flow->operator_name);
    }
}

static bool
is_in_time(const struct queue_entry *entry, int64_t now_ms)
{
    return entry->admission.prefer_ms <= 0 ||
           now_ms < entry->first_ms + entry->admission.prefer_ms;
}

/* Removes the oldest entry that is still in time, or the oldest one if all are
 * late.  Under overload, serving late ones first would make all others late,
 * too. */
static struct queue_entry *
pop_flow(struct queue_flow *flow, int64_t now_ms)
{
    for (GList *at = flow->entries.head; at != NULL; at = at->next) {
        struct queue_entry *entry = at->data;
        if (is_in_time(entry, now_ms)) {
            g_queue_delete_link(&flow->entries, at);
            return entry;
        }
    }
    return g_queue_pop_head(&flow->entries);
}

static struct queue_entry *
pop_class(struct queue_class *class_queue, int64_t now_ms)
{
    struct queue_flow *flow = next_flow(class_queue);
    struct queue_entry *entry;

    if (flow == NULL) {
        return NULL;
    }
    entry = pop_flow(flow, now_ms);
    class_queue->virtual_now = MAX(class_queue->virtual_now, flow->start);
    flow->start += 1 / flow->weight;
    class_queue->count--;
    if (class_queue->count == 0) {
        /* Past usage has no effect once no request of the class waits. */
        g_hash_table_remove_all(class_queue->flows);
        class_queue->virtual_now = 0;
    }
    return entry;
}

/* Removes and returns the entry to be served next; returns NULL when none may
 * run.  may_run_long is whether a long one may run now. */
struct queue_entry *
queue_pop(struct queue *queue, bool may_run_long, int64_t now_ms)
{
    struct queue_class *shorts = &queue->classes[CONTRACTS_ONLINE_SHORT];
    struct queue_class *longs = &queue->classes[CONTRACTS_ONLINE_LONG];
    bool has_long = may_run_long && longs->count > 0;

    if (shorts->count > 0 &&
        (!has_long || queue->shorts_in_row < QUEUE_SHORTS_PER_LONG)) {
        queue->shorts_in_row = has_long ? queue->shorts_in_row + 1 : 0;
        return pop_class(shorts, now_ms);
    }
    if (!has_long) {
        return NULL;
    }
    queue->shorts_in_row = 0;
    return pop_class(longs, now_ms);
}

static struct queue_entry *
remove_entry(struct queue_class *class_queue, struct queue_flow *flow,
             GList *link)
{
    struct queue_entry *entry = link->data;

    g_queue_delete_link(&flow->entries, link);
    class_queue->count--;
    drop_idle_flow(class_queue, flow);
    return entry;
}

/* Criteria for remove_first_match(); NULL members match every entry. */
struct match {
    const char *holder;
    const uint64_t *ask_id;
    const int64_t *expired_ms;
};

static bool
matches(const struct queue_entry *entry, const struct match *match)
{
    return (match->holder == NULL ||
            strcmp(entry->admission.holder, match->holder) == 0) &&
           (match->ask_id == NULL ||
            entry->admission.ask_id == *match->ask_id) &&
           (match->expired_ms == NULL ||
            entry->until_ms <= *match->expired_ms);
}

static struct queue_entry *
remove_first_match(struct queue *queue, const struct match *match)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        struct queue_class *class_queue = &queue->classes[i];
        struct queue_flow *flow;
        GHashTableIter iter;

        g_hash_table_iter_init(&iter, class_queue->flows);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&flow)) {
            for (GList *l = flow->entries.head; l != NULL; l = l->next) {
                if (matches(l->data, match)) {
                    return remove_entry(class_queue, flow, l);
                }
            }
        }
    }
    return NULL;
}

/* Removes and returns the admission request with this ask_id of a holder, or
 * returns NULL. */
struct queue_entry *
queue_remove(struct queue *queue, const char *holder, uint64_t ask_id)
{
    struct match match = {.holder = holder, .ask_id = &ask_id};

    return remove_first_match(queue, &match);
}

/* Removes and frees all admission requests of a holder. */
void
queue_remove_holder(struct queue *queue, const char *holder)
{
    struct match match = {.holder = holder};
    struct queue_entry *entry;

    while ((entry = remove_first_match(queue, &match)) != NULL) {
        g_free(entry);
    }
}

/* Removes and returns an entry whose wait has ended, or returns NULL. */
struct queue_entry *
queue_pop_expired(struct queue *queue, int64_t now_ms)
{
    struct match match = {.expired_ms = &now_ms};

    return remove_first_match(queue, &match);
}

/* Returns the position, from 1, that a new admission request would have in the
 * order of service.  The position is estimated from the operator's share and
 * the number of its waiting requests, and is at most one more than the number
 * of all waiting requests. */
double
queue_position(const struct queue *queue,
               const struct contracts_admission *admission)
{
    const struct queue_class *class_queue = &queue->classes[admission->class_];
    double weight = admission->weight > 0 ? admission->weight : 1;
    double weights = weight;
    double own = 1;
    struct queue_flow *flow;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, class_queue->flows);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&flow)) {
        if (strcmp(flow->operator_name, admission->operator_name) == 0) {
            own += flow->entries.length;
        }
        else if (flow->entries.length > 0) {
            weights += flow->weight;
        }
    }
    return MIN(own * weights / weight, queue_count(queue) + 1.0);
}

/* Makes room for a new admission request: removes and returns the entry
 * that has waited least of the flow that has the most entries relative to its
 * weight.  Returns NULL when the flow of the new request would have as many or
 * more. */
struct queue_entry *
queue_evict_for(struct queue *queue,
                const struct contracts_admission *admission)
{
    double weight = admission->weight > 0 ? admission->weight : 1;
    struct queue_class *class_queue = NULL;
    struct queue_flow *longest = NULL;
    double most_length = 0;
    double own = 1 / weight;

    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        struct queue_flow *flow;
        GHashTableIter iter;

        g_hash_table_iter_init(&iter, queue->classes[i].flows);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&flow)) {
            double length = flow->entries.length / flow->weight;
            if (i == (int)admission->class_ &&
                strcmp(flow->operator_name, admission->operator_name) == 0) {
                own = (flow->entries.length + 1) / weight;
            }
            if (length > most_length) {
                most_length = length;
                longest = flow;
                class_queue = &queue->classes[i];
            }
        }
    }
    if (longest == NULL || own >= most_length) {
        return NULL;
    }
    return remove_entry(class_queue, longest, longest->entries.tail);
}
