#include "jobs/jobs_private.h"

#include <string.h>

/* Checks of heads: a scan, of this or another node, has found a state of a job
 * that this node may not know. */

enum { MAX_HEAD_READS = 500 }; /* at one time; scans repeat the checks */

struct head_read {
    struct jobs_check check;
    int lease_epoch; /* when it was sent */
};

static void
apply_check(struct jobs *jobs, const struct head_read *read,
            const struct jobs_head *head, int64_t revision)
{
    const struct jobs_check *check = &read->check;
    struct jobs_run *run = g_hash_table_lookup(jobs->runs, check->id);

    if (run != NULL) {
        jobs_run_update_head(run, head, revision);
        return;
    }
    if (!jobs_head_is_open(head) ||
        g_hash_table_contains(jobs->pending_ids, check->id) ||
        g_atomic_int_get(&jobs->is_draining)) {
        return;
    }
    if (strcmp(head->runner, jobs->runner) == 0) {
        jobs_claim_again(jobs, head, revision, read->lease_epoch);
    }
    else if (check->is_orphan && revision == check->revision) {
        jobs_claim(jobs, head, revision);
    }
}

static void
on_head_checked(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct head_read *read = context;
    const char *id = read->check.id;
    const struct platform_entry *entry = jobs_kv_find_head(kv, id);
    struct base_error err = {0};
    struct jobs_head head;

    jobs->n_head_reads--;
    if (kv->status == PLATFORM_OK && entry != NULL) {
        if (jobs_head_decode(id, entry->value, &head, &err)) {
            apply_check(jobs, read, &head, entry->revision);
            jobs_head_finish(&head);
        }
        else {
            base_log_error("jobs.head_unreadable", &err, "id=%s", id);
        }
    }
    g_free(read);
}

/* Compares a head that a scan found with this node's own state, and reads it
 * again if they differ: the job was claimed or ended by another node, is
 * missing here although it names this runner, or has lost its runner. */
void
jobs_check_head(struct jobs *jobs, const struct jobs_check *check)
{
    const struct jobs_run *run = g_hash_table_lookup(jobs->runs, check->id);
    struct head_read *read;

    if (g_hash_table_contains(jobs->pending_ids, check->id) ||
        (run != NULL &&
         (run->n_writes > 0 || check->revision <= run->revision)) ||
        jobs->n_head_reads >= MAX_HEAD_READS) {
        return;
    }
    jobs->n_head_reads++;
    read = g_new0(struct head_read, 1);
    read->check = *check;
    read->lease_epoch = jobs->lease_epoch;
    jobs_read_head(jobs, check->id,
                   (struct jobs_kv_callback){on_head_checked, read});
}

/* ---- lists of checks ---- */

static GHashTable *
index_checks(const GArray *checks)
{
    GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < checks->len; i++) {
        g_hash_table_add(ids, g_array_index(checks, struct jobs_check, i).id);
    }
    return ids;
}

/* Returns whether a job is among those that the checks of a request cover. */
static bool
is_covered(const struct jobs_request *request, const struct jobs_head *head)
{
    return strcmp(head->region, request->region) == 0 &&
           strcmp(head->id, request->list_after) > 0 &&
           (request->list_until[0] == '\0' ||
            strcmp(head->id, request->list_until) <= 0);
}

/* Checks the runs that the list of this node's open jobs lacks. */
static void
check_unlisted(struct jobs *jobs, const struct jobs_request *request)
{
    GHashTable *listed = index_checks(request->checks);
    GList *runs = g_hash_table_get_values(jobs->runs);

    for (GList *at = runs; at != NULL; at = at->next) {
        const struct jobs_run *run = at->data;
        struct jobs_check check = {.revision = request->list_revision};
        if (!jobs_run_is_complete(run) && is_covered(request, &run->head) &&
            !g_hash_table_contains(listed, run->head.id)) {
            g_strlcpy(check.id, run->head.id, sizeof(check.id));
            jobs_check_head(jobs, &check);
        }
    }
    g_list_free(runs);
    g_hash_table_destroy(listed);
}

/* Applies what another node's scan found of this node's jobs.  It begins at
 * any of them, as the last ones may have to wait for the next scan. */
void
jobs_check(struct jobs *jobs, struct jobs_request *request)
{
    guint n = request->checks->len;
    guint first = n > 0 ? (guint)g_random_int_range(0, (gint32)n) : 0;

    for (guint i = 0; i < n; i++) {
        jobs_check_head(jobs,
                        &g_array_index(request->checks, struct jobs_check,
                                       (first + i) % n));
    }
    if (request->list_revision > 0) {
        check_unlisted(jobs, request);
    }
}
