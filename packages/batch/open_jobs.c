#include "batch/batch_private.h"

#include <math.h>
#include <string.h>

/* Runners watch the open jobs in the key-value service. */
enum {
    /* Maximum number of nodes per region that watch the open jobs; the nodes
     * are chosen by hash.  The limit keeps the number of watches from growing
     * with the fleet. */
    MAX_RUNNERS_PER_REGION = 32,
    RELIST_MS = 60000,
    LIST_RETRY_MS = 1000,
    USAGE_HALF_LIFE_MS = 10000,
    RATE_HALF_LIFE_MS = 1000,
    LIST_PAGE = 200,
};

void
batch_open_job_free(void *argument)
{
    struct batch_open_job *job = argument;

    batch_job_finish(&job->record);
    g_free(job);
}

static void
stop_job_runs(struct batch *batch, const char *job_id, bool is_removed)
{
    for (guint i = 0; i < batch->runs->len; i++) {
        struct batch_run *run = batch->runs->pdata[i];
        if (strcmp(run->job.id, job_id) != 0) {
            continue;
        }
        if (is_removed) {
            batch_run_abandon(run);
        }
        else {
            batch_run_stop(run);
        }
    }
}

static void
upsert_open_job(struct batch *batch, GBytes *value, int64_t revision)
{
    struct batch_job record;
    struct batch_open_job *job;

    if (!batch_job_parse(value, &record)) {
        batch_job_finish(&record);
        return;
    }
    job = g_hash_table_lookup(batch->open_jobs, record.id);
    if (job != NULL && job->revision >= revision) {
        batch_job_finish(&record);
        return;
    }
    if (job == NULL) {
        job = g_new0(struct batch_open_job, 1);
        g_hash_table_insert(batch->open_jobs, g_strdup(record.id), job);
    }
    batch_job_finish(&job->record);
    job->record = record;
    job->revision = revision;
    job->next_check_ms = 0;
    if (record.stop != BATCH_NOT_STOPPED) {
        stop_job_runs(batch, record.id, false);
    }
}

static void
remove_open_job(struct batch *batch, const char *key)
{
    const char *slash = strrchr(key, '/');
    const char *id = slash == NULL ? key : slash + 1;

    stop_job_runs(batch, id, true);
    g_hash_table_remove(batch->open_jobs, id);
}

/* ---- listing and watching ---- */

static void
remove_unlisted_jobs(struct batch *batch, GHashTable *seen)
{
    GHashTableIter iter;
    gpointer id;
    GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);

    g_hash_table_iter_init(&iter, batch->open_jobs);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (!g_hash_table_contains(seen, id)) {
            g_ptr_array_add(removed, g_strdup(id));
        }
    }
    for (guint i = 0; i < removed->len; i++) {
        remove_open_job(batch, removed->pdata[i]);
    }
    g_ptr_array_unref(removed);
}

static void
on_jobs_list_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    GHashTable *seen = context;
    const struct platform_entry *last = NULL;

    if (kv->status != PLATFORM_OK) {
        batch->is_listing = false;
        g_hash_table_unref(seen);
        return;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        const char *slash = strrchr(entry->key, '/');
        g_hash_table_add(seen, g_strdup(slash == NULL ? "" : slash + 1));
        upsert_open_job(batch, entry->value, entry->revision);
        last = entry;
    }
    if (kv->has_more && last != NULL) {
        batch_kv_list(batch, g_strdup(BATCH_JOBS), last->key, LIST_PAGE,
                      (struct batch_kv_callback){on_jobs_list_done, seen});
        return;
    }
    remove_unlisted_jobs(batch, seen);
    g_hash_table_unref(seen);
    batch->is_listing = false;
    batch->is_listed = true;
}

static void
list_jobs(struct batch *batch, int64_t now_ms)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    batch->is_listing = true;
    batch->next_list_ms = now_ms + RELIST_MS;
    batch_kv_list(batch, g_strdup(BATCH_JOBS), NULL, LIST_PAGE,
                  (struct batch_kv_callback){on_jobs_list_done, seen});
}

static void
on_job_event(struct platform_event *event, void *task_state)
{
    struct batch *batch = task_state;

    if (event->is_reset) {
        batch->next_list_ms = 0;
    }
    else if (event->is_delete) {
        remove_open_job(batch, event->entry.key);
    }
    else {
        upsert_open_job(batch, event->entry.value, event->entry.revision);
    }
}

/* Returns the rank of this node among the nodes of its region that accept
 * work, ordered by the hashes of their names; 0 is the first. */
int
batch_runner_rank(const struct batch *batch)
{
    const struct members_view *view = batch->view;
    uint64_t own = base_hash_text(batch->node, 0);
    const char *region = batch_region(batch);
    int n_before = 0;

    for (int i = 0; view != NULL && i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        int zone = world_find_zone(batch->world, node->zone);
        bool is_in_region =
            zone != WORLD_NONE &&
            strcmp(
                batch->world->regions[batch->world->zones[zone].region].name,
                region) == 0;
        n_before += is_in_region && members_accepts_work(node) &&
                    base_hash_text(node->name, 0) < own;
    }
    return n_before;
}

/* Starts or ends the watch of open jobs, and lists them again every
 * RELIST_MS. */
void
batch_open_jobs_tick(struct batch *batch, int64_t now_ms)
{
    bool wants_watch = batch->is_runner && batch->world != NULL &&
                       (batch->runs->len > 0 ||
                        batch_runner_rank(batch) < MAX_RUNNERS_PER_REGION);

    if (wants_watch && batch->watch == 0) {
        batch->watch = platform_watch(batch->platform, BATCH_JOBS,
                                      &batch->task, NULL, on_job_event);
        batch->next_list_ms = 0;
    }
    if (!wants_watch && batch->watch != 0) {
        batch_open_jobs_finish(batch);
    }
    if (batch->watch != 0 && !batch->is_listing &&
        now_ms >= batch->next_list_ms) {
        list_jobs(batch, now_ms);
        if (!batch->is_listed) {
            batch->next_list_ms = now_ms + LIST_RETRY_MS;
        }
    }
}

/* Ends the watch and clears the table of open jobs. */
void
batch_open_jobs_finish(struct batch *batch)
{
    if (batch->watch != 0) {
        platform_unwatch(batch->platform, batch->watch);
        batch->watch = 0;
    }
    g_hash_table_remove_all(batch->open_jobs);
    batch->is_listed = false;
}

/* ---- recent usage of operators ---- */

static void
decay_usage(struct batch *batch)
{
    int64_t now_ms = base_clock_ms();
    double factor = exp2(-(double)(now_ms - batch->last_usage_decay_ms) /
                         USAGE_HALF_LIFE_MS);
    GHashTableIter iter;
    gpointer value;

    if (now_ms - batch->last_usage_decay_ms < BATCH_TICK_MS) {
        return;
    }
    batch->last_usage_decay_ms = now_ms;
    g_hash_table_iter_init(&iter, batch->recent_usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        *(double *)value *= factor;
    }
}

/* Returns how many items of the operator this node started recently, with
 * exponential decay. */
double
batch_recent_usage(struct batch *batch, const char *operator_name)
{
    double *recent_usage =
        g_hash_table_lookup(batch->recent_usage, operator_name);

    decay_usage(batch);
    return recent_usage == NULL ? 0.0 : *recent_usage;
}

static void
decay_start_rate(struct batch *batch)
{
    int64_t now_ms = base_clock_ms();

    batch->recent_starts *= exp2(
        -(double)(now_ms - batch->last_starts_decay_ms) / RATE_HALF_LIFE_MS);
    batch->last_starts_decay_ms = now_ms;
}

/* Returns the rate at which this node has started items recently, in items per
 * second. */
double
batch_item_start_rate(struct batch *batch)
{
    decay_start_rate(batch);
    return batch->recent_starts * M_LN2 * 1000.0 / RATE_HALF_LIFE_MS;
}

/* Adds started items to the operator's recent usage. */
void
batch_add_usage(struct batch *batch, const char *operator_name, double items)
{
    double *recent_usage =
        g_hash_table_lookup(batch->recent_usage, operator_name);

    if (recent_usage == NULL) {
        recent_usage = g_new0(double, 1);
        g_hash_table_insert(batch->recent_usage, g_strdup(operator_name),
                            recent_usage);
    }
    *recent_usage += items;
    if (base_clock_ms() - batch->last_starts_decay_ms >= BATCH_TICK_MS) {
        decay_start_rate(batch);
    }
    batch->recent_starts += items;
}

/* Returns the operator's weight; 1 if it is no longer configured. */
double
batch_operator_weight(const struct batch *batch, const char *operator_name)
{
    int index = batch->world == NULL
                    ? WORLD_NONE
                    : world_find_operator(batch->world, operator_name);
    return index == WORLD_NONE ? 1.0 : batch->world->operators[index].weight;
}

/* ---- choice of the next job to check ---- */

static bool
needs_ending(const struct batch_open_job *job, int64_t now_s)
{
    return job->is_urgent || job->record.stop != BATCH_NOT_STOPPED ||
           now_s > job->record.deadline_s;
}

static struct batch_choice
make_choice(struct batch *batch, const struct batch_open_job *job,
            int64_t now_s)
{
    struct batch_progress progress = {
        .created_s = job->record.created_s,
        .deadline_s = job->record.deadline_s,
        .now_s = now_s,
        .n_items = job->record.n_items,
        .n_ended = job->n_ended,
    };
    struct batch_choice choice = {
        .recent_usage = batch_recent_usage(batch, job->record.operator_name),
        .weight = batch_operator_weight(batch, job->record.operator_name),
        .slack_s = batch_slack_s(&progress),
        .is_at_risk = batch_is_at_risk(&progress),
    };
    return choice;
}

/* Makes the next check of every open job due at `when_ms` or earlier.  Called
 * when a runner has disappeared, since its shards may be claimable at
 * `when_ms`. */
void
batch_open_jobs_recheck(struct batch *batch, int64_t when_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->open_jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_open_job *job = value;
        job->next_check_ms = MIN(job->next_check_ms, when_ms);
        job->wait_ms = 0;
    }
}

/* Returns the open job of this region to check now, or NULL if no check is
 * due. It prefers a job that has to be ended; otherwise, if the node has room
 * for another shard, it returns the job that batch_choose selects. */
struct batch_open_job *
batch_open_jobs_choose(struct batch *batch, int64_t now_ms, bool has_room)
{
    GHashTableIter iter;
    gpointer value;
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct batch_choice));
    GPtrArray *jobs = g_ptr_array_new();
    struct batch_open_job *chosen = NULL;
    int64_t now_s = batch_now_s();
    int n_at_risk = 0;
    int best;

    g_hash_table_iter_init(&iter, batch->open_jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_open_job *job = value;
        struct batch_choice choice;
        if (strcmp(job->record.region, batch_region(batch)) != 0) {
            continue;
        }
        choice = make_choice(batch, job, now_s);
        n_at_risk += choice.is_at_risk;
        if (job->is_checking || now_ms < job->next_check_ms) {
            continue;
        }
        if (needs_ending(job, now_s)) {
            chosen = job;
        }
        g_array_append_val(choices, choice);
        g_ptr_array_add(jobs, job);
    }
    base_counter_set(batch->at_risk_gauge, n_at_risk);
    best = batch_choose((struct batch_choice *)(void *)choices->data,
                        (int)choices->len);
    if (chosen == NULL && has_room && best >= 0) {
        chosen = jobs->pdata[best];
    }
    g_array_unref(choices);
    g_ptr_array_unref(jobs);
    return chosen;
}
