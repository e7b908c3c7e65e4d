#include "jobs/jobs_private.h"

/* The memory of the outputs of all unfinished items together.  Each attempt
 * may send as much as it likes, so the sum is bounded: beyond half of the
 * limit no further items are sent to servers, and beyond the limit the largest
 * output is dropped and its item runs again later. */
enum {
    DEFAULT_LIMIT_BYTES = 48 << 20,
    MAX_SHARE = 4, /* one output may have 1 / MAX_SHARE of the limit */
    MAX_TEXT_BYTES = 16 << 20, /* and no more than this */
};

/* Prepares the count.  limit: in bytes; 0: 48 MiB. */
void
jobs_outputs_init(struct jobs *jobs, int64_t limit)
{
    jobs->output_limit = limit > 0 ? limit : DEFAULT_LIMIT_BYTES;
    jobs->output_gauge = base_gauge(jobs->counters, "job_output_bytes");
    jobs->n_outputs_cut =
        base_counter(jobs->counters, "job_outputs_cut_total");
}

/* Prepares the output of an item. */
void
jobs_output_init(struct jobs_work *work)
{
    jobs_events_init(&work->events);
    work->events.max_text =
        MIN(work->run->jobs->output_limit / MAX_SHARE, MAX_TEXT_BYTES);
    jobs_output_changed(work);
}

static void
count(struct jobs_work *work, int64_t bytes)
{
    struct jobs *jobs = work->run->jobs;

    jobs->output_bytes += bytes - work->output_bytes;
    work->output_bytes = bytes;
}

static void
publish(struct jobs *jobs)
{
    base_counter_set(jobs->output_gauge, jobs->output_bytes);
}

/* Frees the output of an item that is listed. */
void
jobs_output_drop(struct jobs_work *work)
{
    jobs_events_drop(&work->events);
    count(work, jobs_events_bytes(&work->events));
    publish(work->run->jobs);
}

/* Frees the output of an item with the item. */
void
jobs_output_finish(struct jobs_work *work)
{
    jobs_events_finish(&work->events);
    count(work, 0);
    publish(work->run->jobs);
}

/* Returns the item with the largest output among those that can run again, or
 * NULL. */
static struct jobs_work *
find_largest(struct jobs *jobs)
{
    struct jobs_work *largest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        for (guint i = 0; i < run->job->items->len; i++) {
            struct jobs_work *work = &run->works[i];
            if (work->state <= JOBS_WORK_RUNNING &&
                work->events.text->len + work->events.pending->len > 0 &&
                (largest == NULL ||
                 work->output_bytes > largest->output_bytes)) {
                largest = work;
            }
        }
    }
    return largest;
}

/* Drops the output of an item and ends its attempt, if it has one. */
static void
cut_off(struct jobs *jobs, struct jobs_work *work)
{
    const struct jobs_item *item = work->run->job->items->pdata[work->index];

    base_log(BASE_LOG_WARNING, "jobs.output_cut",
             "job=%s item=%s server=%s bytes=%" G_GINT64_FORMAT
             " all=%" G_GINT64_FORMAT " limit=%" G_GINT64_FORMAT,
             work->run->head.id, item->id, work->server_name,
             work->output_bytes, jobs->output_bytes, jobs->output_limit);
    base_counter_add(jobs->n_outputs_cut, 1);
    jobs_output_drop(work);
    if (work->state == JOBS_WORK_RUNNING) {
        work->is_cut = true;
        backends_cancel(&jobs->backends, work->call);
    }
}

/* Counts the memory of an output that has changed, and brings the sum below
 * its limit. */
void
jobs_output_changed(struct jobs_work *work)
{
    struct jobs *jobs = work->run->jobs;
    struct jobs_work *largest;

    count(work, jobs_events_bytes(&work->events));
    while (jobs->output_bytes > jobs->output_limit &&
           (largest = find_largest(jobs)) != NULL) {
        cut_off(jobs, largest);
    }
    publish(jobs);
}

/* Returns whether further items may be sent to servers.  One at a time may
 * always, since the outputs of waiting items are freed only when they have
 * run. */
bool
jobs_outputs_admit_items(const struct jobs *jobs)
{
    return jobs->output_bytes < jobs->output_limit / 2 ||
           jobs->n_running + jobs->n_admissions == 0;
}
