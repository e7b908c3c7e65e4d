#include "jobs/jobs_private.h"

#include <string.h>

/* The memory of the jobs that this node runs: their items and the results that
 * it holds for readers.  Results are stored, so those of complete jobs and
 * then those of open jobs are freed when there is no memory; readers get them
 * from the store.  A job without memory stays in the store without a runner.
 */
enum {
    ITEM_BYTES = 1024, /* an item and its state, without texts */
};

/* Returns the memory that a job takes. */
int64_t
jobs_job_bytes(const struct jobs_job *job)
{
    int64_t bytes = (int64_t)job->items->len * ITEM_BYTES;

    for (guint i = 0; i < job->items->len; i++) {
        const struct jobs_item *item = job->items->pdata[i];
        bytes += (int64_t)strlen(item->path) +
                 (int64_t)g_bytes_get_size(item->body);
        for (guint n = 0; n < item->headers->len; n++) {
            bytes += (int64_t)strlen(item->headers->pdata[n]) + 1;
        }
    }
    return bytes;
}

/* Returns the memory that a stored job takes, or at most the size of its
 * pieces if an earlier version of this program stored it. */
int64_t
jobs_input_bytes(const struct jobs *jobs, const struct jobs_head *head)
{
    return head->input_bytes > 0
               ? head->input_bytes
               : head->n_input_pieces * jobs->limits->value_bytes;
}

static int64_t
run_bytes(const struct jobs_run *run)
{
    int64_t bytes = jobs_job_bytes(run->job);

    for (guint i = 0; i < run->results->len; i++) {
        const struct jobs_result *result = run->results->pdata[i];
        bytes += (int64_t)(sizeof(*result) + result->size);
    }
    return bytes;
}

/* Counts the memory of a run that has changed. */
void
jobs_held_update(struct jobs_run *run)
{
    int64_t bytes = run_bytes(run);

    base_budget_add(&run->jobs->held, bytes - run->held_bytes);
    run->held_bytes = bytes;
}

/* Returns the complete run that was the first to be complete, or NULL. */
static struct jobs_run *
find_oldest_complete(struct jobs *jobs)
{
    struct jobs_run *oldest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        if (jobs_run_is_complete(run) && run->n_references == 0 &&
            (oldest == NULL || run->last_commit_ms < oldest->last_commit_ms)) {
            oldest = run;
        }
    }
    return oldest;
}

/* Frees the results that an open run holds for readers. */
static void
free_results(struct jobs_run *run)
{
    run->first_held += (int)run->results->len;
    g_ptr_array_set_size(run->results, 0);
    jobs_held_update(run);
}

static bool
is_above(const struct jobs *jobs, int64_t bytes)
{
    return base_budget_used(&jobs->held) + bytes > jobs->held.limit;
}

/* Frees what the store has too, until `bytes` more have memory. */
static void
free_stored(struct jobs *jobs, int64_t bytes)
{
    GHashTableIter iter;
    gpointer value;
    struct jobs_run *run;

    while (is_above(jobs, bytes) &&
           (run = find_oldest_complete(jobs)) != NULL) {
        jobs_run_stop(run, "complete, and its memory is needed");
        base_budget_give(&jobs->held, run->held_bytes);
        run->held_bytes = 0; /* the next tick frees it */
    }
    g_hash_table_iter_init(&iter, jobs->runs);
    while (is_above(jobs, bytes) &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        free_results(value);
    }
}

/* Takes memory for a job; returns false if there is none. */
bool
jobs_held_take(struct jobs *jobs, int64_t bytes)
{
    free_stored(jobs, bytes);
    return base_budget_take(&jobs->held, bytes);
}

/* Frees results that have been added beyond the limit. */
void
jobs_held_shrink(struct jobs *jobs)
{
    free_stored(jobs, 0);
}
