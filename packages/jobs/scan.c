#include "jobs/jobs_private.h"

#include <string.h>

/* A few nodes of each region list the heads of all open jobs.  They notify
 * each runner of its jobs in the list, so that it notices those that others
 * have claimed or ended, and the homes of jobs whose runner has stopped. */
enum {
    SCAN_MS = 2000,
    SCAN_RETRY_MS = 500, /* ms until a scan after one that failed */
    SCAN_SOON_MS = 200, /* ms until a scan after an event that calls for one */
    RECHECK_MS = 300,   /* ms between scans while a runner may have stopped */
    /* Time that a job's home has for claiming it: two calls to the store, each
     * with a retry.  A home that does not reach the store never does. */
    HOME_CLAIM_MS = 3500,
};

/* A scan's results. */
struct scan {
    struct jobs *jobs;
    int region;       /* index in jobs->homes */
    int64_t revision; /* of the store */
    int64_t now_ms;
    GHashTable *entries;        /* runner to state text, both in the reply */
    GHashTable *calls;          /* node name to struct jobs_request */
    GHashTable *missing_since;  /* the next jobs->missing_since */
    GHashTable *orphaned_since; /* the next jobs->orphaned_since */
    int n_orphans;
};

/* ---- runners ---- */

static bool
is_leaving_entry(const struct platform_entry *entry)
{
    gsize size = 0;
    const char *state = g_bytes_get_data(entry->value, &size);

    return size == strlen(JOBS_RUNNER_LEAVING) &&
           memcmp(state, JOBS_RUNNER_LEAVING, size) == 0;
}

/* Returns for how long consecutive scans have found a key.  `known` has the
 * times of the first scans; `next` gets those that the next scan needs. */
static int64_t
found_for_ms(const struct scan *scan, GHashTable *known, GHashTable *next,
             const char *key)
{
    const int64_t *first_ms = g_hash_table_lookup(known, key);
    int64_t since_ms = first_ms != NULL ? *first_ms : scan->now_ms;

    g_hash_table_replace(next, g_strdup(key),
                         g_memdup2(&since_ms, sizeof(since_ms)));
    return scan->now_ms - since_ms;
}

static int
find_node(const struct jobs *jobs, const char *runner)
{
    char *name = jobs_runner_node(runner);
    int node = members_view_find(jobs->view, name);

    g_free(name);
    return node;
}

static enum jobs_runner_state
judge(struct scan *scan, const struct jobs_head *head, int node)
{
    const struct platform_entry *entry =
        g_hash_table_lookup(scan->entries, head->runner);
    struct jobs_runner_facts facts = {
        .name = head->runner,
        .has_entry = entry != NULL,
        .is_leaving = entry != NULL && is_leaving_entry(entry),
        .node = node < 0 ? NULL : &scan->jobs->view->nodes[node],
    };

    if (entry == NULL) {
        facts.missing_ms = found_for_ms(scan, scan->jobs->missing_since,
                                        scan->missing_since, head->runner);
    }
    return jobs_runner_judge(&facts);
}

/* ---- calls to other nodes ---- */

static struct jobs_request *
find_call(struct scan *scan, const char *node)
{
    struct jobs_request *call = g_hash_table_lookup(scan->calls, node);

    if (call == NULL) {
        call = jobs_request_new(JOBS_CHECK, "");
        call->checks = g_array_new(FALSE, TRUE, sizeof(struct jobs_check));
        g_strlcpy(call->region, scan->jobs->homes[scan->region].name,
                  sizeof(call->region));
        call->list_revision = scan->revision;
        g_hash_table_insert(scan->calls, g_strdup(node), call);
    }
    return call;
}

static void
add_check(struct scan *scan, const char *node, const struct jobs_head *head,
          int64_t revision, bool is_orphan)
{
    struct jobs_check check = {.revision = revision, .is_orphan = is_orphan};

    g_strlcpy(check.id, head->id, sizeof(check.id));
    g_array_append_val(find_call(scan, node)->checks, check);
}

/* Claims the orphans of a call whose node did not answer. */
static void
on_call_done(struct jobs_request *call, void *task_state)
{
    struct jobs *jobs = task_state;

    jobs->n_calls--;
    for (guint i = 0; call->status != JOBS_OK && i < call->checks->len; i++) {
        const struct jobs_check *check =
            &g_array_index(call->checks, struct jobs_check, i);
        if (check->is_orphan) {
            jobs_check_head(jobs, check);
        }
    }
    jobs_request_free(call);
}

/* Sends a call to a node, or applies it if that is this one.  Takes ownership
 * of the call. */
static void
deliver(struct jobs *jobs, const char *name, struct jobs_request *call)
{
    int node = members_view_find(jobs->view, name);

    if (node == jobs->view->self) {
        jobs_check(jobs, call);
        jobs_request_free(call);
        return;
    }
    if (node < 0 || !jobs_forward(jobs, call, node, on_call_done)) {
        call->status = JOBS_REFUSED;
        jobs->n_calls++;
        on_call_done(call, jobs);
    }
}

/* Asks the home of a job that this node does not run, or runs no longer, to
 * claim it now. */
void
jobs_release_to_home(struct jobs *jobs, const struct jobs_head *head,
                     int64_t revision)
{
    struct jobs_check check = {.revision = revision, .is_orphan = true};
    struct jobs_request *call;
    int home;

    if (jobs->view == NULL) {
        return;
    }
    home = jobs_find_home(jobs, head->region, head->id, jobs->view->self);
    if (home == WORLD_NONE) {
        return;
    }
    call = jobs_request_new(JOBS_CHECK, "");
    call->checks = g_array_new(FALSE, TRUE, sizeof(struct jobs_check));
    g_strlcpy(check.id, head->id, sizeof(check.id));
    g_array_append_val(call->checks, check);
    deliver(jobs, jobs->view->nodes[home].name, call);
}

/* ---- received checks ---- */

static bool
is_listed(const GArray *checks, const char *id)
{
    for (guint i = 0; i < checks->len; i++) {
        if (strcmp(g_array_index(checks, struct jobs_check, i).id, id) == 0) {
            return true;
        }
    }
    return false;
}

/* Checks the runs that the list of this node's open jobs lacks. */
static void
check_unlisted(struct jobs *jobs, const struct jobs_request *request)
{
    GList *runs = g_hash_table_get_values(jobs->runs);

    for (GList *at = runs; at != NULL; at = at->next) {
        const struct jobs_run *run = at->data;
        struct jobs_check check = {.revision = request->list_revision};
        if (!jobs_run_is_complete(run) &&
            strcmp(run->head.region, request->region) == 0 &&
            !is_listed(request->checks, run->head.id)) {
            g_strlcpy(check.id, run->head.id, sizeof(check.id));
            jobs_check_head(jobs, &check);
        }
    }
    g_list_free(runs);
}

/* Applies what another node's scan found of this node's jobs. */
void
jobs_check(struct jobs *jobs, struct jobs_request *request)
{
    for (guint i = 0; i < request->checks->len; i++) {
        jobs_check_head(jobs,
                        &g_array_index(request->checks, struct jobs_check, i));
    }
    if (request->list_revision > 0) {
        check_unlisted(jobs, request);
    }
}

/* ---- scans ---- */

static int
region_of(const struct jobs *jobs, const struct jobs_head *head)
{
    for (int i = 0; i < jobs->n_homes; i++) {
        if (strcmp(jobs->homes[i].name, head->region) == 0) {
            return i;
        }
    }
    return jobs->region;
}

/* Returns the node that is to claim a job without a runner, or WORLD_NONE:
 * its home, or this node if the home has not claimed it in time.  `runner` is
 * the node of its last runner, or WORLD_NONE. */
static int
find_claimer(const struct scan *scan, const struct jobs_head *head, int runner)
{
    const struct jobs *jobs = scan->jobs;

    if (found_for_ms(scan, jobs->orphaned_since, scan->orphaned_since,
                     head->id) >= HOME_CLAIM_MS) {
        return jobs->view->self;
    }
    /* A later process on the runner's node may claim it, but not a runner that
     * cannot reach the store. */
    if (runner >= 0 && (int64_t)jobs->view->nodes[runner].life >
                           jobs_runner_life(head->runner)) {
        runner = WORLD_NONE;
    }
    return jobs_homes_find(&jobs->homes[scan->region].nodes, head->id, runner);
}

static void
check_job(struct scan *scan, const struct jobs_head *head, int64_t revision)
{
    struct jobs *jobs = scan->jobs;
    int node = find_node(jobs, head->runner);
    int claimer;

    switch (judge(scan, head, node)) {
    case JOBS_RUNNER_LIVE:
        add_check(scan, jobs->view->nodes[node].name, head, revision, false);
        return;
    case JOBS_RUNNER_UNCLEAR:
        jobs->next_scan_ms =
            MIN(jobs->next_scan_ms, scan->now_ms + RECHECK_MS);
        return;
    case JOBS_RUNNER_STOPPED:
        break;
    }
    claimer = find_claimer(scan, head, node);
    scan->n_orphans++;
    if (claimer != WORLD_NONE) {
        add_check(scan, jobs->view->nodes[claimer].name, head, revision, true);
    }
}

static void
check_jobs(struct scan *scan, const struct platform_kv *kv)
{
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        const char *id = entry->key + strlen(JOBS_HEAD_PREFIX);
        struct base_error err = {0};
        struct jobs_head head;
        if (!g_str_has_prefix(entry->key, JOBS_HEAD_PREFIX)) {
            continue;
        }
        if (!jobs_head_decode(id, entry->value, &head, &err)) {
            base_log_error("jobs.head_unreadable", &err, "id=%s", id);
            continue;
        }
        if (jobs_head_is_open(&head) &&
            region_of(scan->jobs, &head) == scan->region) {
            check_job(scan, &head, entry->revision);
        }
        jobs_head_finish(&head);
    }
}

static void
index_entries(struct scan *scan, const struct platform_kv *kv)
{
    for (guint i = 0; i < kv->entries->len; i++) {
        struct platform_entry *entry = kv->entries->pdata[i];
        if (g_str_has_prefix(entry->key, JOBS_NODE_PREFIX)) {
            char *runner = entry->key + strlen(JOBS_NODE_PREFIX);
            int node = find_node(scan->jobs, runner);
            g_hash_table_insert(scan->entries, runner, entry);
            if (node >= 0) {
                /* It is notified even if it has no job in the list. */
                find_call(scan, scan->jobs->view->nodes[node].name);
            }
        }
    }
}

static void
deliver_calls(struct scan *scan)
{
    GHashTableIter iter;
    gpointer name;
    gpointer call;

    g_hash_table_iter_init(&iter, scan->calls);
    while (g_hash_table_iter_next(&iter, &name, &call)) {
        deliver(scan->jobs, name, call);
    }
}

static void
scan_region(struct scan *scan, int region, const struct platform_kv *kv)
{
    scan->region = region;
    scan->entries = g_hash_table_new(g_str_hash, g_str_equal);
    scan->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    scan->n_orphans = 0;
    index_entries(scan, kv);
    check_jobs(scan, kv);
    deliver_calls(scan);
    base_log(BASE_LOG_DEBUG, "jobs.scanned",
             "region=%s entries=%u runners=%u orphans=%d "
             "revision=%" G_GINT64_FORMAT,
             scan->jobs->homes[region].name, kv->entries->len,
             g_hash_table_size(scan->entries), scan->n_orphans, kv->revision);
    g_hash_table_destroy(scan->entries);
    g_hash_table_destroy(scan->calls);
}

static bool
scans_region(const struct jobs *jobs, int region)
{
    return jobs_homes_scans(&jobs->homes[region].nodes, jobs->view->self,
                            base_wall_ms());
}

static void
on_scanned(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct scan scan = {
        .jobs = jobs,
        .revision = kv->revision,
        .now_ms = base_clock_ms(),
    };

    (void)context;
    jobs->is_scanning = false;
    if (kv->status != PLATFORM_OK) {
        jobs->next_scan_ms = scan.now_ms + SCAN_RETRY_MS;
        return;
    }
    scan.missing_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    scan.orphaned_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 0; i < jobs->n_homes; i++) {
        if (scans_region(jobs, i)) {
            scan_region(&scan, i, kv);
        }
    }
    g_hash_table_destroy(jobs->missing_since);
    g_hash_table_destroy(jobs->orphaned_since);
    jobs->missing_since = scan.missing_since;
    jobs->orphaned_since = scan.orphaned_since;
}

/* Scans all jobs soon instead of at the usual time. */
void
jobs_scan_soon(struct jobs *jobs)
{
    int64_t soon_ms = base_clock_ms() + SCAN_SOON_MS;

    if (jobs->next_scan_ms > soon_ms) {
        jobs->next_scan_ms = soon_ms;
    }
}

static bool
is_scanner(const struct jobs *jobs)
{
    for (int i = 0; jobs->view != NULL && i < jobs->n_homes; i++) {
        if (scans_region(jobs, i)) {
            return true;
        }
    }
    return false;
}

/* Scans all jobs when a scan is due and this node is a scanner. */
void
jobs_scan_tick(struct jobs *jobs, int64_t now_ms)
{
    if (jobs->is_scanning || now_ms < jobs->next_scan_ms ||
        g_atomic_int_get(&jobs->is_draining)) {
        return;
    }
    if (!is_scanner(jobs)) {
        /* What it found is out of date at its next turn. */
        g_hash_table_remove_all(jobs->missing_since);
        g_hash_table_remove_all(jobs->orphaned_since);
        return;
    }
    jobs->next_scan_ms = now_ms + SCAN_MS;
    jobs->is_scanning = true;
    jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, JOBS_ACTIVE_PREFIX),
                 (struct jobs_kv_callback){on_scanned, NULL});
}
