#include "jobs/archive.h"

#include <string.h>

#include "jobs/jobs.h"

/* Prepares an empty archive of at most max_size bytes of results. */
void
jobs_archive_init(struct jobs_archive *archive, size_t max_size)
{
    memset(archive, 0, sizeof(*archive));
    g_queue_init(&archive->order);
    archive->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    archive->max_size = max_size;
}

static void
remove_oldest(struct jobs_archive *archive)
{
    struct jobs_archived *job = g_queue_pop_head(&archive->order);

    g_hash_table_remove(archive->jobs, job->id);
    archive->size -= job->size;
    g_ptr_array_free(job->results, TRUE);
    g_free(job->operator_name);
    g_free(job->id);
    g_free(job);
}

/* Frees the contents. */
void
jobs_archive_finish(struct jobs_archive *archive)
{
    while (archive->order.length > 0) {
        remove_oldest(archive);
    }
    g_hash_table_destroy(archive->jobs);
}

/* Adds a job that will not change, unless it is known or too large.  Takes
 * ownership of the results. */
void
jobs_archive_add(struct jobs_archive *archive, const char *id,
                 const char *operator_name, int n_items, GPtrArray *results)
{
    struct jobs_archived *job;
    size_t size = sizeof(*job);

    for (guint i = 0; i < results->len; i++) {
        const struct jobs_result *result = results->pdata[i];
        size += sizeof(*result) + result->size;
    }
    if (size > archive->max_size || g_hash_table_contains(archive->jobs, id)) {
        g_ptr_array_free(results, TRUE);
        return;
    }
    while (archive->size + size > archive->max_size) {
        remove_oldest(archive);
    }
    job = g_new0(struct jobs_archived, 1);
    job->id = g_strdup(id);
    job->operator_name = g_strdup(operator_name);
    job->n_items = n_items;
    job->results = results;
    job->size = size;
    archive->size += size;
    g_queue_push_tail(&archive->order, job);
    g_hash_table_insert(archive->jobs, job->id, job);
}

/* Returns a job, valid until the next addition, or NULL. */
const struct jobs_archived *
jobs_archive_find(const struct jobs_archive *archive, const char *id)
{
    return g_hash_table_lookup(archive->jobs, id);
}
