#include "jobs/jobs_private.h"

#include <string.h>

enum {
    SCAN_MS = 2000, /* ms between scans of all heads while jobs run here */
    /* Between scans while no jobs run here.  It equals the default lease,
     * since the entry of a stopped runner may remain for that long. */
    IDLE_SCAN_MS = 3000,
    SCAN_RETRY_MS = 500, /* ms until a scan after one that failed */
    SCAN_SOON_MS = 200, /* ms until a scan after an event that calls for one */
    RECHECK_MS = 300,   /* ms between scans while a runner is about to stop */
    MAX_CLAIMS_PER_SCAN = 16,
};

/* ---- claims ---- */

/* A claim of a job whose runner has stopped, while its records are read. */
struct claim {
    char id[JOBS_ID_SIZE];
    struct jobs_head head;
    int64_t revision; /* of the head */
    struct jobs_job *job;
    GPtrArray *results;  /* of struct jobs_result */
    GPtrArray *partials; /* the checkpoint, of struct jobs_result */
};

static void
free_claim(struct claim *claim)
{
    jobs_head_finish(&claim->head);
    jobs_job_free(claim->job);
    if (claim->results != NULL) {
        g_ptr_array_free(claim->results, TRUE);
    }
    if (claim->partials != NULL) {
        g_ptr_array_free(claim->partials, TRUE);
    }
    g_free(claim);
}

static void
abort_claim(struct jobs *jobs, struct claim *claim, const char *why)
{
    base_log(BASE_LOG_INFO, "jobs.claim_failed", "id=%s reason=\"%s\"",
             claim->id, why);
    g_hash_table_remove(jobs->pending_ids, claim->id);
    free_claim(claim);
}

static void
on_results(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;
    struct base_error err = {0};

    claim->results = g_ptr_array_new_with_free_func(jobs_result_free);
    claim->partials = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = 0; kv->status == PLATFORM_OK && i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        jobs_results_decode(entry->value,
                            jobs_is_checkpoint_key(entry->key)
                                ? claim->partials
                                : claim->results,
                            &err);
    }
    if (kv->status != PLATFORM_OK || err.code != BASE_OK ||
        claim->results->len != claim->head.listed->len) {
        abort_claim(jobs, claim, "its results cannot be read");
        return;
    }
    if (!g_hash_table_contains(jobs->runs, claim->id)) {
        base_counter_add(jobs->n_claims, 1);
        struct jobs_run *run =
            jobs_run_start(jobs, g_steal_pointer(&claim->job), &claim->head,
                           claim->revision, g_steal_pointer(&claim->results));
        jobs_run_restore_checkpoint(run, claim->partials);
    }
    g_hash_table_remove(jobs->pending_ids, claim->id);
    free_claim(claim);
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
    return claim->job != NULL;
}

static void
on_input(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct claim *claim = context;
    struct base_error err = {0};
    char *prefix;

    if (kv->status != PLATFORM_OK || !read_job(jobs, claim, kv, &err)) {
        abort_claim(jobs, claim, "its input cannot be read");
        return;
    }
    prefix = g_strconcat(JOBS_RESULTS_PREFIX, claim->id, "/", NULL);
    jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, prefix),
                 (struct jobs_kv_callback){on_results, claim});
    g_free(prefix);
}

static void
load_job(struct jobs *jobs, struct claim *claim)
{
    char *prefix = g_strconcat(JOBS_INPUT_PREFIX, claim->id, "/", NULL);

    jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, prefix),
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

/* Makes this node the runner of a job, in a new epoch, and then loads the
 * job. */
static void
claim_job(struct jobs *jobs, const struct jobs_head *head, int64_t revision)
{
    struct claim *claim = g_new0(struct claim, 1);
    char *key = jobs_head_key(head->id);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    g_strlcpy(claim->id, head->id, sizeof(claim->id));
    jobs_head_copy(&claim->head, head);
    base_log(BASE_LOG_INFO, "jobs.claiming",
             "id=%s from=%s epoch=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT,
             head->id, head->runner, head->epoch, revision);
    claim->head.epoch++;
    g_strlcpy(claim->head.runner, jobs->runner, sizeof(claim->head.runner));
    kv->expect_revision = revision;
    kv->value = jobs_head_encode(&claim->head);
    g_free(key);
    g_hash_table_add(jobs->pending_ids, g_strdup(claim->id));
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_claimed, claim});
}

/* Loads a job whose head record in the key-value service names this runner
 * although the job does not run here.  This happens when the reply to the
 * write that accepted the job was lost. */
static void
adopt_job(struct jobs *jobs, const struct jobs_head *head, int64_t revision)
{
    struct claim *claim = g_new0(struct claim, 1);

    g_strlcpy(claim->id, head->id, sizeof(claim->id));
    jobs_head_copy(&claim->head, head);
    claim->revision = revision;
    g_hash_table_add(jobs->pending_ids, g_strdup(claim->id));
    load_job(jobs, claim);
}

/* ---- scans ---- */

/* The runner of the latest process of a node. */
struct live_runner {
    const char *runner;
    bool is_leaving;
};

/* Returns the node's name from a runner's name, NODE#LIFE; the caller frees
 * it. */
static char *
copy_node_name(const char *runner)
{
    return g_strndup(runner, strcspn(runner, "#"));
}

/* Returns the start time in a runner's name, NODE#LIFE, in microseconds; 0
 * when the name has none. */
static int64_t
parse_start_time(const char *runner)
{
    const char *start = strchr(runner, '#');

    return start == NULL ? 0 : g_ascii_strtoll(start + 1, NULL, 10);
}

/* Returns the live runner on the node of `runner`, which may be another
 * process of that node, or NULL. */
static const struct live_runner *
find_runner_of_node(GHashTable *live_runners, const char *runner)
{
    char *node = copy_node_name(runner);
    const struct live_runner *found = g_hash_table_lookup(live_runners, node);

    g_free(node);
    return found;
}

static bool
is_live(GHashTable *live_runners, const char *runner)
{
    const struct live_runner *found =
        find_runner_of_node(live_runners, runner);

    return found != NULL && strcmp(found->runner, runner) == 0;
}

/* Returns whether this node's runner is the one that claims a job once the
 * runner named in the head has stopped.  All nodes choose the same one: the
 * runner of a later process on the same node, or else the live runner with the
 * highest rendezvous hash. */
static bool
is_next_runner(const struct jobs *jobs, GHashTable *live_runners,
               const struct jobs_head *head)
{
    const struct live_runner *successor =
        find_runner_of_node(live_runners, head->runner);
    uint64_t seed = base_hash_text(head->id, 0);
    uint64_t own = base_hash_text(jobs->runner, seed);
    GHashTableIter iter;
    gpointer value;

    if (successor != NULL && !successor->is_leaving &&
        strcmp(successor->runner, head->runner) != 0) {
        return strcmp(successor->runner, jobs->runner) == 0;
    }
    g_hash_table_iter_init(&iter, live_runners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct live_runner *at = value;
        if (!at->is_leaving && strcmp(at->runner, head->runner) != 0 &&
            base_hash_text(at->runner, seed) > own) {
            return false;
        }
    }
    return true;
}

/* Returns whether a runner whose entry is still stored will stop soon: it is
 * leaving, or its node is missing from the membership view or accepts no
 * work. */
static bool
will_leave_soon(const struct jobs *jobs, GHashTable *live_runners,
                const char *runner)
{
    const struct live_runner *found =
        find_runner_of_node(live_runners, runner);
    char *node;
    int index;

    if (found == NULL || jobs->view == NULL || found->is_leaving) {
        return found != NULL && found->is_leaving;
    }
    node = copy_node_name(runner);
    index = members_view_find(jobs->view, node);
    g_free(node);
    return index < 0 || !members_accepts_work(&jobs->view->nodes[index]);
}

static int
check_job(struct jobs *jobs, const struct jobs_head *head, int64_t revision,
          GHashTable *live_runners)
{
    struct jobs_run *run = g_hash_table_lookup(jobs->runs, head->id);

    if (run != NULL) {
        jobs_run_update_head(run, head, revision);
        return 0;
    }
    if (!jobs_head_is_open(head) ||
        g_hash_table_contains(jobs->pending_ids, head->id)) {
        return 0;
    }
    if (strcmp(head->runner, jobs->runner) == 0) {
        adopt_job(jobs, head, revision);
        return 1;
    }
    if (!is_next_runner(jobs, live_runners, head)) {
        return 0;
    }
    if (!is_live(live_runners, head->runner)) {
        claim_job(jobs, head, revision);
        return 1;
    }
    if (will_leave_soon(jobs, live_runners, head->runner)) {
        jobs->next_scan_ms =
            MIN(jobs->next_scan_ms, base_clock_ms() + RECHECK_MS);
    }
    return 0;
}

static bool
is_leaving_entry(const struct platform_entry *entry)
{
    gsize size = 0;
    const char *state = g_bytes_get_data(entry->value, &size);

    return size == strlen(JOBS_RUNNER_LEAVING) &&
           memcmp(state, JOBS_RUNNER_LEAVING, size) == 0;
}

/* Adds a runner, unless a later process of its node is known.  The entry of a
 * killed process stays until its lease ends; the entry of a later process on
 * the same node shows before then that the killed one has stopped. */
static void
add_live_runner(GHashTable *live_runners, const struct platform_entry *entry)
{
    const char *runner = entry->key + strlen(JOBS_NODE_PREFIX);
    const struct live_runner *known =
        find_runner_of_node(live_runners, runner);
    struct live_runner *added;

    if (known != NULL &&
        parse_start_time(known->runner) > parse_start_time(runner)) {
        return;
    }
    added = g_new0(struct live_runner, 1);
    added->runner = runner;
    added->is_leaving = is_leaving_entry(entry);
    g_hash_table_replace(live_runners, copy_node_name(runner), added);
}

/* Returns the live runners among the entries, by node.  They point into `kv`
 * and are valid as long as it is. */
static GHashTable *
list_live_runners(const struct platform_kv *kv)
{
    GHashTable *live_runners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (g_str_has_prefix(entry->key, JOBS_NODE_PREFIX)) {
            add_live_runner(live_runners, entry);
        }
    }
    return live_runners;
}

static void
on_scanned(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    GHashTable *live_runners;
    int n_claims = 0;

    jobs->is_scanning = false;
    if (kv->status != PLATFORM_OK) {
        jobs->next_scan_ms = base_clock_ms() + SCAN_RETRY_MS;
        return;
    }
    if (!jobs_holds_lease(jobs) || g_atomic_int_get(&jobs->is_draining)) {
        return;
    }
    live_runners = list_live_runners(kv);
    for (guint i = 0; i < kv->entries->len && n_claims < MAX_CLAIMS_PER_SCAN;
         i++) {
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
        n_claims += check_job(jobs, &head, entry->revision, live_runners);
        jobs_head_finish(&head);
    }
    base_log(BASE_LOG_DEBUG, "jobs.scanned",
             "entries=%u runners=%u claims=%d revision=%" G_GINT64_FORMAT,
             kv->entries->len, g_hash_table_size(live_runners), n_claims,
             kv->revision);
    g_hash_table_destroy(live_runners);
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

/* Scans all jobs when a scan is due. */
void
jobs_scan_tick(struct jobs *jobs, int64_t now_ms)
{
    bool has_jobs = g_hash_table_size(jobs->runs) > 0;

    if (jobs->is_scanning || now_ms < jobs->next_scan_ms ||
        !jobs_holds_lease(jobs) || g_atomic_int_get(&jobs->is_draining)) {
        return;
    }
    /* With jobs here the scans are more frequent, since they also detect that
     * a client has ended a job. */
    jobs->next_scan_ms = now_ms + (has_jobs ? SCAN_MS : IDLE_SCAN_MS);
    jobs->is_scanning = true;
    jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, JOBS_ACTIVE_PREFIX),
                 (struct jobs_kv_callback){on_scanned, NULL});
}
