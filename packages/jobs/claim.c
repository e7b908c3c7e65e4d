#include "jobs/jobs_private.h"

#include <string.h>

/* A claim of a job whose runner has stopped, while its records are read. */
struct claim {
    char id[JOBS_ID_SIZE];
    struct jobs_head head;
    int64_t revision;   /* of the head */
    int lease_epoch;    /* when the head was written or read */
    int64_t held_bytes; /* taken from jobs->held */
    struct jobs_job *job;
    GPtrArray *results; /* of struct jobs_result; NULL: more than a page */
    struct jobs_checkpoint checkpoint;
};

static void
free_claim(struct claim *claim)
{
    jobs_head_finish(&claim->head);
    jobs_job_free(claim->job);
    if (claim->results != NULL) {
        g_ptr_array_free(claim->results, TRUE);
    }
    jobs_checkpoint_finish(&claim->checkpoint);
    g_free(claim);
}

static void
abort_claim(struct jobs *jobs, struct claim *claim, const char *why)
{
    base_budget_give(&jobs->held, claim->held_bytes);
    base_log(BASE_LOG_INFO, "jobs.claim_failed", "id=%s reason=\"%s\"",
             claim->id, why);
    g_hash_table_remove(jobs->pending_ids, claim->id);
    free_claim(claim);
}

/* Starts the run of a claimed job from the checkpoint in a reply. */
static void
start_run(struct jobs *jobs, struct claim *claim, const struct platform_kv *kv)
{
    base_budget_give(&jobs->held,
                     claim->held_bytes); /* the run takes its own */
    jobs_checkpoint_read(&claim->checkpoint, kv->entries);
    if (!g_hash_table_contains(jobs->runs, claim->id)) {
        base_counter_add(jobs->n_claims, 1);
        struct jobs_run *run = jobs_run_start(
            jobs, g_steal_pointer(&claim->job), &claim->head, claim->revision,
            claim->lease_epoch, g_steal_pointer(&claim->results));
        jobs_checkpoint_restore(run, &claim->checkpoint);
    }
    g_hash_table_remove(jobs->pending_ids, claim->id);
    free_claim(claim);
}

/* Decodes the results in a reply, which has all of them. */
static bool
read_results(struct claim *claim, const struct platform_kv *kv)
{
    struct base_error err = {0};

    claim->results = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (jobs_checkpoint_number(entry->key) < 0 &&
            !jobs_results_decode(entry->value, claim->results, &err)) {
            base_log_error("jobs.results_unreadable", &err, "key=%s",
                           entry->key);
            return false;
        }
    }
    return jobs_results_are_whole(claim->results) &&
           claim->results->len == claim->head.listed->len;
}

static void
on_checkpoint(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;

    if (kv->status != PLATFORM_OK) {
        abort_claim(jobs, claim, "its checkpoint cannot be read");
        return;
    }
    start_run(jobs, claim, kv);
}

static void
on_results(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;
    char *prefix;

    if (kv->status != PLATFORM_OK) {
        abort_claim(jobs, claim, "its results cannot be read");
        return;
    }
    if (!kv->has_more) {
        if (!read_results(claim, kv)) {
            abort_claim(jobs, claim, "its results are not valid");
            return;
        }
        start_run(jobs, claim, kv);
        return;
    }
    /* The items that are left need none of the results. */
    prefix = jobs_checkpoint_key(claim->id, 0);
    jobs_kv_read(jobs, platform_kv_new(PLATFORM_LIST, prefix),
                 jobs->limits->value_bytes,
                 (struct jobs_kv_callback){on_checkpoint, claim});
    g_free(prefix);
}

static bool
read_job(struct jobs *jobs, struct claim *claim, const struct platform_kv *kv,
         struct base_error *err)
{
    GPtrArray *pieces = g_ptr_array_new();
    GBytes *text;

    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        g_ptr_array_add(pieces, entry->value);
    }
    text = jobs_text_join(pieces, err);
    g_ptr_array_free(pieces, TRUE);
    if (text == NULL) {
        return false;
    }
    gsize size = 0;
    const char *data = g_bytes_get_data(text, &size);
    claim->job = jobs->decode(claim->id, data, size, err);
    g_bytes_unref(text);
    if (claim->job != NULL) {
        jobs_job_drop_text(claim->job);
    }
    /* The head lists results by the index of their item. */
    return claim->job != NULL &&
           claim->job->items->len == claim->head.tokens->len;
}

static void
on_input(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;
    struct platform_kv *results;
    struct base_error err = {0};
    char *prefix;

    if (kv->status != PLATFORM_OK || !read_job(jobs, claim, kv, &err)) {
        abort_claim(jobs, claim, "its input cannot be read");
        return;
    }
    prefix = g_strconcat(JOBS_RESULTS_PREFIX, claim->id, "/", NULL);
    results = platform_kv_new(PLATFORM_LIST, prefix);
    results->limit = JOBS_PAGE_PIECES;
    jobs_kv_read(jobs, results, jobs->limits->value_bytes,
                 (struct jobs_kv_callback){on_results, claim});
    g_free(prefix);
}

static void
load_job(struct jobs *jobs, struct claim *claim)
{
    char *prefix = g_strconcat(JOBS_INPUT_PREFIX, claim->id, "/", NULL);

    jobs_kv_read(jobs, platform_kv_new(PLATFORM_LIST, prefix),
                 jobs_input_bytes(jobs, &claim->head),
                 (struct jobs_kv_callback){on_input, claim});
    g_free(prefix);
}

static void
on_claimed(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;

    if (kv->status != PLATFORM_OK) {
        abort_claim(
            jobs, claim,
            "another writer changed the head first, or the write failed");
        return;
    }
    claim->revision = kv->revision;
    load_job(jobs, claim);
}

static void
write_claim(struct jobs *jobs, void *context, bool is_held)
{
    struct claim *claim = context;
    char *key = jobs_head_key(claim->id);
    struct platform_kv *kv;

    if (!is_held || g_atomic_int_get(&jobs->is_draining)) {
        g_free(key);
        abort_claim(jobs, claim, "this node has no lease");
        return;
    }
    kv = platform_kv_new(PLATFORM_PUT_IF, key);
    base_log(
        BASE_LOG_INFO, "jobs.claiming",
        "id=%s from=%s epoch=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT,
        claim->id, claim->head.runner, claim->head.epoch, claim->revision);
    claim->head.epoch++;
    g_strlcpy(claim->head.runner, jobs->runner, sizeof(claim->head.runner));
    kv->expect_revision = claim->revision;
    kv->value = jobs_head_encode(&claim->head);
    claim->lease_epoch = jobs->lease_epoch;
    g_free(key);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_claimed, claim});
}

static struct claim *
new_claim(struct jobs *jobs, const struct jobs_head *head, int64_t revision,
          int64_t held_bytes)
{
    struct claim *claim = g_new0(struct claim, 1);

    g_strlcpy(claim->id, head->id, sizeof(claim->id));
    jobs_head_copy(&claim->head, head);
    claim->revision = revision;
    claim->held_bytes = held_bytes;
    g_hash_table_add(jobs->pending_ids, g_strdup(claim->id));
    return claim;
}

/* Makes this node the runner of a job, in a new epoch, and then loads the
 * job.  Without memory for it the job is left for a later scan. */
void
jobs_claim(struct jobs *jobs, const struct jobs_head *head, int64_t revision)
{
    int64_t bytes = jobs_input_bytes(jobs, head);

    if (!jobs_held_take(jobs, bytes)) {
        base_log(BASE_LOG_INFO, "jobs.claim_delayed",
                 "id=%s bytes=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT,
                 head->id, bytes, base_budget_used(&jobs->held));
        return;
    }
    jobs_with_lease(jobs, write_claim, new_claim(jobs, head, revision, bytes));
}

/* Loads a job whose head names this process as its runner already: the reply
 * to the write that accepted or claimed it was lost. */
void
jobs_claim_again(struct jobs *jobs, const struct jobs_head *head,
                 int64_t revision, int lease_epoch)
{
    struct claim *claim = new_claim(jobs, head, revision, 0);

    claim->lease_epoch = lease_epoch;
    load_job(jobs, claim);
}
