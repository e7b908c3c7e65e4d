#include "jobs/jobs_private.h"

#include <string.h>

/*
 * The tokens that wait on a route with a limit.  Counting them takes a read of
 * all open jobs.  One read at a time serves all submissions that have arrived
 * before it; those that arrive meanwhile wait for the next one.
 */

/* Returns whether the tokens of two jobs count towards one limit: that of
 * their route and, if the site has operators, their operator. */
static bool
shares_limit(const struct jobs_head *a, const struct jobs_head *b)
{
    return strcmp(a->route, b->route) == 0 &&
           strcmp(a->operator_name, b->operator_name) == 0;
}

static void
count_head(struct jobs *jobs, const struct jobs_head *head)
{
    for (guint i = 0; i < jobs->counted->len; i++) {
        struct jobs_waiting *waiting = jobs->counted->pdata[i];
        if (shares_limit(head, waiting->head)) {
            waiting->tokens += jobs_head_waiting_tokens(head);
        }
    }
}

/* Ends the count for a job that is found to be open already. */
static void
end_known(struct jobs *jobs, const char *id,
          const struct platform_entry *entry)
{
    for (guint i = 0; i < jobs->counted->len; i++) {
        struct jobs_waiting *waiting = jobs->counted->pdata[i];
        if (strcmp(waiting->head->id, id) == 0) {
            g_ptr_array_remove_index_fast(jobs->counted, i);
            waiting->on_known(jobs, entry, waiting->context);
            return;
        }
    }
}

static void
on_page(struct jobs *jobs, const struct platform_kv *page, void *context)
{
    (void)context;
    for (guint i = 0; i < page->entries->len; i++) {
        const struct platform_entry *entry = page->entries->pdata[i];
        const char *id = entry->key + strlen(JOBS_HEAD_PREFIX);
        struct base_error err = {0};
        struct jobs_head head;
        end_known(jobs, id, entry);
        if (!jobs_head_decode(id, entry->value, &head, &err)) {
            base_log_error("jobs.head_unreadable", &err, "id=%s", id);
            continue;
        }
        count_head(jobs, &head);
        jobs_head_finish(&head);
    }
}

static void count_next(struct jobs *jobs);

static void
on_end(struct jobs *jobs, const struct platform_kv *last, void *context)
{
    GPtrArray *counted = jobs->counted;

    (void)context;
    jobs->counted = NULL;
    for (guint i = 0; i < counted->len; i++) {
        struct jobs_waiting *waiting = counted->pdata[i];
        waiting->on_counted(jobs, last, waiting->context);
    }
    g_ptr_array_free(counted, TRUE);
    if (jobs->uncounted->len > 0) {
        count_next(jobs);
    }
}

static void
count_next(struct jobs *jobs)
{
    static const struct jobs_pages_ops OPS = {on_page, on_end};

    jobs->counted = jobs->uncounted;
    jobs->uncounted = g_ptr_array_new();
    jobs_read_pages(jobs, JOBS_HEAD_PREFIX, &OPS, NULL);
}

/* Counts the tokens of the open jobs that share the limit of a job, unless it
 * is found to be open itself.  Calls back once, when all that are open now
 * have been counted. */
void
jobs_waiting_count(struct jobs *jobs, struct jobs_waiting *waiting)
{
    waiting->tokens = 0;
    g_ptr_array_add(jobs->uncounted, waiting);
    if (jobs->counted == NULL) {
        count_next(jobs);
    }
}
