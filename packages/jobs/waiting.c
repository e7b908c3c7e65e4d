#include "jobs/jobs_private.h"

#include <string.h>

/*
 * The tokens that wait on a route with a limit.  Counting them takes a read of
 * all open jobs.  One read at a time serves all submissions that have arrived
 * before it; those that arrive meanwhile wait for the next one.  Jobs that
 * this node is writing count, too: the read may have missed them.
 */

/* A job that this node writes, or has written since the last read began. */
struct pending_write {
    char *route;
    char *operator_name;
    int64_t tokens;
    uint64_t listed_in; /* number of the last read that found it */
    bool has_ended;
};

static void
free_write(gpointer data)
{
    struct pending_write *write = data;

    g_free(write->route);
    g_free(write->operator_name);
    g_free(write);
}

/* Returns whether the tokens of a job with this route and operator count
 * towards the limit of another job: that of its route and, if the site has
 * operators, its operator. */
static bool
shares_limit(const struct jobs_waiting *waiting, const char *route,
             const char *operator_name)
{
    return strcmp(waiting->head->route, route) == 0 &&
           strcmp(waiting->head->operator_name, operator_name) == 0;
}

static void
count_head(struct jobs *jobs, const struct jobs_head *head)
{
    struct pending_write *write = g_hash_table_lookup(jobs->writes, head->id);

    if (write != NULL) {
        write->listed_in = jobs->n_counts;
    }
    for (guint i = 0; i < jobs->counted->len; i++) {
        struct jobs_waiting *waiting = jobs->counted->pdata[i];
        if (shares_limit(waiting, head->route, head->operator_name)) {
            waiting->tokens += jobs_head_waiting_tokens(head);
        }
    }
}

static void
count_writes(struct jobs *jobs, struct jobs_waiting *waiting)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->writes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pending_write *write = value;
        if (write->listed_in != jobs->n_counts &&
            shares_limit(waiting, write->route, write->operator_name)) {
            waiting->tokens += write->tokens;
        }
    }
}

static gboolean
has_ended(gpointer id, gpointer value, gpointer context)
{
    (void)id;
    (void)context;
    return ((const struct pending_write *)value)->has_ended;
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
finish_counts(struct jobs *jobs, GPtrArray *counted,
              const struct platform_kv *last)
{
    for (guint i = 0; i < counted->len; i++) {
        struct jobs_waiting *waiting = counted->pdata[i];
        count_writes(jobs, waiting);
        waiting->on_counted(jobs, last, waiting->context);
    }
    g_ptr_array_free(counted, TRUE);
}

/* Submissions that wait for the next read fail with one that has failed: they
 * would wait as long again. */
static void
on_end(struct jobs *jobs, const struct platform_kv *last, void *context)
{
    GPtrArray *counted = g_steal_pointer(&jobs->counted);
    GPtrArray *uncounted = NULL;

    (void)context;
    if (last->status != PLATFORM_OK) {
        uncounted = jobs->uncounted;
        jobs->uncounted = g_ptr_array_new();
    }
    finish_counts(jobs, counted, last);
    if (uncounted != NULL) {
        finish_counts(jobs, uncounted, last);
    }
    g_hash_table_foreach_remove(jobs->writes, has_ended, NULL);
    if (jobs->counted == NULL && jobs->uncounted->len > 0) {
        count_next(jobs);
    }
}

static void
count_next(struct jobs *jobs)
{
    static const struct jobs_pages_ops OPS = {on_page, on_end};

    jobs->n_counts++;
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

/* Counts the tokens of a job that is going to be written. */
void
jobs_waiting_write(struct jobs *jobs, const struct jobs_waiting *waiting)
{
    struct pending_write *write = g_new0(struct pending_write, 1);

    write->route = g_strdup(waiting->head->route);
    write->operator_name = g_strdup(waiting->head->operator_name);
    write->tokens = jobs_head_waiting_tokens(waiting->head);
    g_hash_table_replace(jobs->writes, g_strdup(waiting->head->id), write);
}

/* Ends the write of a job.  If it may have been stored, its tokens count until
 * the next read has begun. */
void
jobs_waiting_written(struct jobs *jobs, const struct jobs_waiting *waiting,
                     bool may_be_stored)
{
    struct pending_write *write =
        g_hash_table_lookup(jobs->writes, waiting->head->id);

    if (write != NULL && may_be_stored && jobs->counted != NULL) {
        write->has_ended = true;
    }
    else {
        g_hash_table_remove(jobs->writes, waiting->head->id);
    }
}

/* Creates the state of this file. */
void
jobs_waiting_init(struct jobs *jobs)
{
    jobs->uncounted = g_ptr_array_new();
    jobs->writes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_write);
}

/* Frees the state of this file. */
void
jobs_waiting_finish(struct jobs *jobs)
{
    g_ptr_array_free(jobs->uncounted, TRUE);
    if (jobs->counted != NULL) {
        g_ptr_array_free(jobs->counted, TRUE);
    }
    g_hash_table_destroy(jobs->writes);
}
