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
    MAX_CHECKS = 2000, /* of a region, in the calls that are sent together */
    /* Runners and jobs whose time of the first scan is known.  Others are
     * judged once there is room. */
    MAX_TIMES = 20000,
    /* States of a runner's entry. */
    ENTRY_READY = 1,
    ENTRY_LEAVING = 2,
};

/* What a scan has found of a region's jobs, in the order of their ids. */
struct region_scan {
    char name[BASE_NAME_SIZE];
    GHashTable *calls; /* node name to struct jobs_request */
    int n_checks;      /* in `calls` */
    /* The calls have the jobs after this one; "": all. */
    char after[JOBS_ID_SIZE];
    int n_orphans;
};

/* A scan under way. */
struct scan {
    struct jobs *jobs;
    int64_t revision; /* of the store, before the first head was read */
    int64_t now_ms;
    GHashTable *entries;        /* runner to the state of its entry */
    GHashTable *missing_since;  /* the next jobs->missing_since */
    GHashTable *orphaned_since; /* the next jobs->orphaned_since */
    struct region_scan *regions;
    int n_regions;
    guint n_heads;
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

    if (g_hash_table_size(next) < MAX_TIMES) {
        g_hash_table_replace(next, g_strdup(key),
                             g_memdup2(&since_ms, sizeof(since_ms)));
    }
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
    int entry =
        GPOINTER_TO_INT(g_hash_table_lookup(scan->entries, head->runner));
    struct jobs_runner_facts facts = {
        .name = head->runner,
        .has_entry = entry != 0,
        .is_leaving = entry == ENTRY_LEAVING,
        .node = node < 0 ? NULL : &scan->jobs->view->nodes[node],
    };

    if (entry == 0) {
        facts.missing_ms = found_for_ms(scan, scan->jobs->missing_since,
                                        scan->missing_since, head->runner);
    }
    return jobs_runner_judge(&facts);
}

/* ---- calls to other nodes ---- */

static struct jobs_request *
find_call(struct scan *scan, struct region_scan *region, const char *node)
{
    struct jobs_request *call = g_hash_table_lookup(region->calls, node);

    if (call == NULL) {
        call = jobs_request_new(JOBS_CHECK, "");
        call->checks = g_array_new(FALSE, TRUE, sizeof(struct jobs_check));
        g_strlcpy(call->region, region->name, sizeof(call->region));
        call->list_revision = scan->revision;
        g_hash_table_insert(region->calls, g_strdup(node), call);
    }
    return call;
}

static void
add_check(struct scan *scan, struct region_scan *region, const char *node,
          const struct jobs_head *head, int64_t revision, bool is_orphan)
{
    struct jobs_check check = {.revision = revision, .is_orphan = is_orphan};

    g_strlcpy(check.id, head->id, sizeof(check.id));
    g_array_append_val(find_call(scan, region, node)->checks, check);
    region->n_checks++;
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
find_claimer(const struct scan *scan, const struct jobs_homes *homes,
             const struct jobs_head *head, int runner)
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
    return jobs_homes_find(homes, head->id, runner);
}

static void
check_job(struct scan *scan, struct region_scan *region,
          const struct jobs_homes *homes, const struct jobs_head *head,
          int64_t revision)
{
    struct jobs *jobs = scan->jobs;
    int node = find_node(jobs, head->runner);
    int claimer;

    switch (judge(scan, head, node)) {
    case JOBS_RUNNER_LIVE:
        add_check(scan, region, jobs->view->nodes[node].name, head, revision,
                  false);
        return;
    case JOBS_RUNNER_UNCLEAR:
        jobs->next_scan_ms =
            MIN(jobs->next_scan_ms, scan->now_ms + RECHECK_MS);
        return;
    case JOBS_RUNNER_STOPPED:
        break;
    }
    claimer = find_claimer(scan, homes, head, node);
    region->n_orphans++;
    if (claimer != WORLD_NONE) {
        add_check(scan, region, jobs->view->nodes[claimer].name, head,
                  revision, true);
    }
}

/* Begins the calls about further jobs of a region.  Each runner is notified,
 * even if it has no job in the list. */
static void
begin_calls(struct scan *scan, struct region_scan *region)
{
    GHashTableIter iter;
    gpointer runner;

    g_hash_table_iter_init(&iter, scan->entries);
    while (g_hash_table_iter_next(&iter, &runner, NULL)) {
        int node = find_node(scan->jobs, runner);
        if (node >= 0) {
            find_call(scan, region, scan->jobs->view->nodes[node].name);
        }
    }
}

/* Sends the calls about the jobs of a region up to `until`; "": all that are
 * left. */
static void
deliver_calls(struct scan *scan, struct region_scan *region, const char *until)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, region->calls);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        struct jobs_request *call = value;
        g_strlcpy(call->list_after, region->after, sizeof(call->list_after));
        g_strlcpy(call->list_until, until, sizeof(call->list_until));
        g_hash_table_iter_steal(&iter);
        deliver(scan->jobs, name, call);
        g_free(name);
    }
    g_strlcpy(region->after, until, sizeof(region->after));
    region->n_checks = 0;
}

static struct region_scan *
find_region(const struct scan *scan, const char *name)
{
    for (int i = 0; i < scan->n_regions; i++) {
        if (strcmp(scan->regions[i].name, name) == 0) {
            return &scan->regions[i];
        }
    }
    return NULL;
}

static void
check_head(struct scan *scan, const struct jobs_head *head, int64_t revision)
{
    const struct jobs_region *in =
        &scan->jobs->homes[region_of(scan->jobs, head)];
    struct region_scan *region = find_region(scan, in->name);

    if (region == NULL || !jobs_head_is_open(head)) {
        return;
    }
    check_job(scan, region, &in->nodes, head, revision);
    if (region->n_checks >= MAX_CHECKS) {
        deliver_calls(scan, region, head->id);
        begin_calls(scan, region);
    }
}

static void
check_heads(struct scan *scan, const struct platform_kv *kv)
{
    scan->now_ms = base_clock_ms();
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        const char *id = entry->key + strlen(JOBS_HEAD_PREFIX);
        struct base_error err = {0};
        struct jobs_head head;
        if (!g_str_has_prefix(entry->key, JOBS_HEAD_PREFIX)) {
            continue;
        }
        scan->n_heads++;
        if (!jobs_head_decode(id, entry->value, &head, &err)) {
            base_log_error("jobs.head_unreadable", &err, "id=%s", id);
            continue;
        }
        check_head(scan, &head, entry->revision);
        jobs_head_finish(&head);
    }
}

static void
index_entries(struct scan *scan, const struct platform_kv *kv)
{
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (g_str_has_prefix(entry->key, JOBS_NODE_PREFIX)) {
            g_hash_table_replace(
                scan->entries, g_strdup(entry->key + strlen(JOBS_NODE_PREFIX)),
                GINT_TO_POINTER(is_leaving_entry(entry) ? ENTRY_LEAVING
                                                        : ENTRY_READY));
        }
    }
    for (int i = 0; i < scan->n_regions; i++) {
        begin_calls(scan, &scan->regions[i]);
    }
}

static bool
scans_region(const struct jobs *jobs, int region)
{
    return jobs_homes_scans(&jobs->homes[region].nodes, jobs->view->self,
                            base_wall_ms());
}

static GHashTable *
new_times(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static struct scan *
new_scan(struct jobs *jobs)
{
    struct scan *scan = g_new0(struct scan, 1);

    scan->jobs = jobs;
    scan->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    scan->missing_since = new_times();
    scan->orphaned_since = new_times();
    scan->regions = g_new0(struct region_scan, (gsize)jobs->n_homes);
    for (int i = 0; i < jobs->n_homes; i++) {
        struct region_scan *region = &scan->regions[scan->n_regions];
        if (scans_region(jobs, i)) {
            g_strlcpy(region->name, jobs->homes[i].name, sizeof(region->name));
            region->calls =
                g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)jobs_request_free);
            scan->n_regions++;
        }
    }
    return scan;
}

static void
free_scan(struct scan *scan)
{
    for (int i = 0; i < scan->n_regions; i++) {
        g_hash_table_destroy(scan->regions[i].calls);
    }
    g_free(scan->regions);
    g_hash_table_destroy(scan->entries);
    g_hash_table_destroy(scan->missing_since);
    g_hash_table_destroy(scan->orphaned_since);
    g_free(scan);
}

static void
finish_scan(struct scan *scan)
{
    struct jobs *jobs = scan->jobs;

    for (int i = 0; i < scan->n_regions; i++) {
        struct region_scan *region = &scan->regions[i];
        deliver_calls(scan, region, "");
        base_log(BASE_LOG_DEBUG, "jobs.scanned",
                 "region=%s heads=%u runners=%u orphans=%d "
                 "revision=%" G_GINT64_FORMAT,
                 region->name, scan->n_heads, g_hash_table_size(scan->entries),
                 region->n_orphans, scan->revision);
    }
    /* The old times are freed with the scan. */
    GHashTable *missing_since = jobs->missing_since;
    GHashTable *orphaned_since = jobs->orphaned_since;
    jobs->missing_since = scan->missing_since;
    jobs->orphaned_since = scan->orphaned_since;
    scan->missing_since = missing_since;
    scan->orphaned_since = orphaned_since;
}

/* Ends the scan; `last` is its last reply. */
static void
end_scan(struct jobs *jobs, const struct platform_kv *last)
{
    struct scan *scan = jobs->scan;

    jobs->scan = NULL;
    if (last->status == PLATFORM_OK) {
        finish_scan(scan);
    }
    else {
        jobs->next_scan_ms = base_clock_ms() + SCAN_RETRY_MS;
    }
    free_scan(scan);
}

static void
on_heads(struct jobs *jobs, const struct platform_kv *page, void *context)
{
    (void)context;
    check_heads(jobs->scan, page);
}

static void
on_heads_end(struct jobs *jobs, const struct platform_kv *last, void *context)
{
    (void)context;
    end_scan(jobs, last);
}

/* Receives the entries of all runners, before the heads are read. */
static void
on_entries(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    static const struct jobs_pages_ops OPS = {on_heads, on_heads_end};

    (void)context;
    if (kv->status != PLATFORM_OK) {
        end_scan(jobs, kv);
        return;
    }
    index_entries(jobs->scan, kv);
    jobs_read_pages(jobs, JOBS_HEAD_PREFIX, &OPS, NULL);
}

/* Receives the heads and entries, if they are few.  Heads are judged by the
 * entries, which come after them. */
static void
on_first_page(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct scan *scan = jobs->scan;

    (void)context;
    scan->revision = kv->revision;
    if (kv->status == PLATFORM_OK && kv->has_more) {
        jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, JOBS_NODE_PREFIX),
                     (struct jobs_kv_callback){on_entries, NULL});
        return;
    }
    if (kv->status == PLATFORM_OK) {
        index_entries(scan, kv);
        check_heads(scan, kv);
    }
    end_scan(jobs, kv);
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
    struct platform_kv *kv;

    if (jobs->scan != NULL || now_ms < jobs->next_scan_ms ||
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
    jobs->scan = new_scan(jobs);
    kv = platform_kv_new(PLATFORM_LIST, JOBS_ACTIVE_PREFIX);
    kv->limit = JOBS_PAGE_ENTRIES;
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_first_page, NULL});
}
