/*
 * Declarations shared by the sources of this package.  All state here belongs
 * to the jobs task.
 *
 *   jobs.c       the task: its calls, its timer, start and stop
 *   store.c      calls to the key-value service
 *   pages.c      reads of many records, page by page
 *   record.c     encoding and decoding of stored records
 *   submit.c     acceptance of jobs
 *   waiting.c    the tokens that wait on a route with a limit
 *   refusal.c    refusals of requests that another node may still serve
 *   read.c       reads of results and inputs, and ends of jobs, also of jobs
 *                that other nodes run
 *   stored_results.c  results of a job in the key-value service
 *   archive.c    results of ended jobs that other nodes ran
 *   run.c        a job that this node runs: commits of its results
 *   checkpoint.c partial outputs of a job's unfinished items
 *   lease.c      the lease of this node and its runner entry
 *   home.c       which node runs a job
 *   runner_state.c  whether the runner of a job has stopped
 *   scan.c       scans for jobs whose runner has stopped
 *   checks.c     what scans have found of this node's jobs
 *   claim.c      claims of jobs whose runner has stopped
 *   item.c       an attempt of one item at a backend server
 *   admission.c  admission requests for items
 *   held.c       the memory of the jobs that this node runs
 *   outputs.c    the memory of the outputs of all items
 *   cost.c       estimates of the work of items
 *   events.c     collection of streams of server-sent events
 *   rpc.c        RPCs between nodes, on a task of their own
 */
#ifndef CARDAMOM_JOBS_PRIVATE_H
#define CARDAMOM_JOBS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"
#include "jobs/archive.h"
#include "jobs/events.h"
#include "jobs/home.h"
#include "jobs/record.h"
#include "jobs/rpc.h"
#include "jobs/runner_state.h"
#include "place/place.h"
#include "work/work.h"

enum {
    JOBS_TICK_MS = 50,
    JOBS_WRITE_RETRY_MS = 300, /* after a commit or checkpoint that failed */
    JOBS_MAX_CHECKPOINT_PIECES = 8,
    JOBS_SERVER_SIZE = BASE_NAME_SIZE,
    /* Pieces of results in one call; a service may return fewer. */
    JOBS_PAGE_PIECES = 16,
    /* Records in a page of a long list; a service may return others. */
    JOBS_PAGE_ENTRIES = 200,
};

enum jobs_work_state {
    JOBS_WORK_WAITING,   /* until not_before_ms, or for a free slot */
    JOBS_WORK_ADMITTING, /* an admission request is pending */
    JOBS_WORK_RUNNING,   /* sent to a server */
    JOBS_WORK_DONE,      /* has a result that is not committed yet */
    JOBS_WORK_LISTED,    /* its result is committed */
};

struct jobs_run;
struct scan;

/* An item that this node runs. */
struct jobs_work {
    struct jobs_run *run;
    int index;
    enum jobs_work_state state;
    struct jobs_events events; /* output received so far */
    int n_failures;            /* number of responses with status 500 */
    int n_refusals;            /* refused attempts since the last new event */
    int n_cuts;                /* attempts that were cut off for their size */
    bool is_cut;               /* the open attempt is */
    int64_t output_bytes;      /* memory of `events`, as counted in jobs */
    int64_t not_before_ms;     /* earliest next attempt in JOBS_WORK_WAITING */
    bool is_completed;         /* valid in JOBS_WORK_DONE */
    struct quarantine_parts parts; /* of the prompt, at the deployment */
    /* admission */
    struct place_request choice;
    int n_requested;          /* servers asked for admission so far */
    int64_t world_generation; /* at the start of this admission */
    int least_busy_server;    /* index of the least loaded busy server; or
                                 WORLD_NONE */
    double least_load;        /* load of least_busy_server */
    bool is_queued;           /* may wait in the queue of the server's owner */
    bool knows_pools; /* the answer told the loads of the deployment's pools */
    int server;       /* index in the world */
    char server_name[JOBS_SERVER_SIZE];
    /* attempt */
    uint64_t contract; /* 0: none */
    struct base_handle call;
    int status;
    bool is_stream;
    int64_t n_discarded; /* bytes of a body that is no event stream */
    bool is_answered;    /* events enough to clear the parts of the prompt */
    bool is_preempted;   /* cancelled: preempted, or the run stops */
    int64_t sent_at_us;  /* time when it was sent, on base_clock_us */
    int64_t first_event_us;   /* arrival of the first new event; 0: none yet */
    int64_t n_earlier_events; /* events received before this attempt */
};

/* A job that this node runs. */
struct jobs_run {
    struct jobs *jobs;
    struct jobs_job *job;
    struct jobs_head head; /* last known state in the key-value service */
    int64_t revision;      /* revision of the head record */
    /* Of struct jobs_result: those from the position first_held on.  Earlier
     * ones are read from the key-value service when they are requested. */
    GPtrArray *results;
    int first_held;
    struct jobs_work *works;  /* by item index */
    int n_open;               /* number of items neither done nor listed */
    int n_active;             /* number of items in admission or running */
    int max_attempts;         /* failures after which an item is given up */
    int64_t due_at_ms;        /* target time of completion, wall clock */
    int64_t give_up_at_ms;    /* when open items are given up, wall clock */
    int64_t route_removed_ms; /* when the route was found missing, or 0 */
    GArray *committing; /* of int: indices of items in the pending commit */
    struct jobs_head next_head; /* head as the pending commit writes it */
    GPtrArray *commit_pieces;   /* its results, encoded, of GBytes; or NULL */
    int64_t piece_bytes;        /* of results and checkpoints, uncompressed */
    bool has_more_results;      /* finished items do not fit into the commit */
    bool is_commit_uncertain;   /* it may have taken effect without a reply */
    bool is_committing;
    bool is_releasing; /* the pending commit releases the job */
    bool has_stopped;  /* ended, lost or released: sends no more items */
    /* The node was without its lease since the head was last seen: another
     * node may have claimed the job.  Until that is known, results are not
     * served. */
    bool is_unconfirmed;
    int n_checkpoint_pieces;     /* stored pieces of checkpoints, at most */
    int64_t checkpoint_revision; /* of the first of them */
    int n_sent_pieces;           /* of the checkpoint sent last */
    int n_references;            /* pending calls that refer to the run */
    int64_t held_bytes;     /* of the job and `results`, from jobs->held */
    int64_t next_commit_ms; /* earliest time of the next commit */
    int64_t last_commit_ms; /* or the start of the run */
    int n_writes;           /* pending commits and checkpoints */
    bool is_checkpoint_requested; /* an item or the last checkpoint failed */
    int64_t next_checkpoint_ms;   /* earliest time of the next checkpoint */
    int64_t checkpoint_events;    /* number of events in the last checkpoint */
};

/* The nodes that run the jobs of a region. */
struct jobs_region {
    char name[BASE_NAME_SIZE]; /* empty: no region is known */
    struct jobs_homes nodes;
};

/* What is known of the work of items; see cost.c. */
struct jobs_cost {
    bool is_enabled;
    struct work_estimator events;      /* number of events of an item */
    struct work_estimator event_times; /* slot time of an event, in ms */
    /* admissions with and without an estimate; NULL unless is_enabled */
    struct base_counter *n_known;
    struct base_counter *n_unknown;
};

/* The jobs task. */
struct jobs {
    struct base_task task;
    struct lws_context *lws;
    struct backends backends;
    bool has_backends;
    struct place *place;
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char runner[JOBS_RUNNER_SIZE]; /* name of this process as a runner,
                                      NODE#LIFE (see jobs/record.h) */
    struct platform *platform;
    struct control *control;
    struct base_counters *counters;
    struct jobs_header_names names;
    void (*read_parts)(const char *(*header)(const void *context,
                                             const char *name),
                       const void *context, struct quarantine_parts *out);
    struct jobs_job *(*decode)(const char *id, const char *text, size_t size,
                               struct base_error *err);
    const struct platform_limits *limits; /* of the key-value service */
    int64_t lease_ms;
    lws_sorted_usec_list_t timer;
    struct world *world;
    int64_t world_generation; /* incremented when `world` changes */
    struct members_view *view;
    GHashTable *runs;        /* id to struct jobs_run */
    GPtrArray *stopped_runs; /* freed when nothing refers to them */
    GHashTable *pending_ids; /* ids being accepted or claimed */
    GHashTable *runners;     /* id of another node's job to its runner */
    struct jobs_archive archive;
    GHashTable *submissions; /* id to struct submission in progress */
    /* Of struct jobs_waiting: those that the read under way counts, or NULL,
     * and those that wait for the next one. */
    GPtrArray *counted;
    GPtrArray *uncounted;
    uint64_t n_counts;         /* such reads so far */
    GHashTable *writes;        /* id to struct pending_write, see waiting.c */
    struct jobs_region *homes; /* by region; one for all if none is known */
    int n_homes;               /* 0: no membership view yet */
    int region;                /* index in homes of this node's region */
    struct jobs_rpc *rpc;      /* NULL: no RPCs to other nodes */
    GQueue waiting_reads;      /* of struct jobs_request: wait for a result */
    int n_admissions;          /* number of pending admission requests */
    int n_running;             /* number of items at servers */
    int n_calls;               /* pending calls to other tasks */
    int n_head_reads;          /* of them, for checks of heads */
    struct base_budget held;   /* jobs that run here, and their results */
    struct base_budget transfers; /* values of calls to the store */
    /* Of results in replies; a counted reference, since requests may be freed
     * after the task. */
    struct base_budget *answers;
    GQueue waiting_calls; /* of struct pending_call (store.c): for transfers */
    int64_t output_limit; /* bytes of the outputs of unfinished items */
    int64_t output_bytes; /* their memory now */
    int is_draining;      /* atomic */
    int is_idle;          /* atomic */
    /* lease */
    int64_t lease_id;       /* 0: none */
    int lease_epoch;        /* number of leases lost */
    bool is_leasing;        /* a call for the lease or the entry is pending */
    bool is_registered;     /* the runner's entry is stored */
    int64_t entry_revision; /* last known one of the entry */
    int64_t lease_wanted_until_ms;
    /* When this node last had its lease, or no open job. */
    int64_t lease_missing_ms;
    GQueue lease_waits;   /* of struct jobs_lease_wait */
    bool is_confirming;   /* the heads of unconfirmed runs are being read */
    int confirming_epoch; /* lease_epoch when that began */
    bool is_leaving;      /* accepts no more jobs */
    bool is_announcing_leaving; /* in the entry being written */
    bool has_announced_leaving; /* in the stored entry */
    int64_t lease_until_ms;     /* the lease is valid until then */
    int64_t next_lease_call_ms; /* time of the next call for lease or entry */
    /* scan for jobs without a runner */
    struct scan *scan;          /* under way; NULL: none */
    int64_t next_scan_ms;       /* on base_clock_ms */
    GHashTable *missing_since;  /* runner to the time of the first scan without
                                   its entry, of int64_t */
    GHashTable *orphaned_since; /* job to the time of the first scan that found
                                   it without a runner, of int64_t */
    struct jobs_cost cost;
    /* metrics */
    struct base_counter *n_accepted;
    struct base_counter *n_refusals_stored;
    struct base_counter *n_commits_rejected;
    struct base_counter *n_completed;
    struct base_counter *n_given_up;
    struct base_counter *n_claims;
    struct base_counter *n_lost;
    struct base_counter *n_preemptions;
    struct base_counter *n_resumes;
    struct base_counter *running_gauge;
    struct base_counter *input_gauge;
    struct base_counter *output_gauge;
    struct base_counter *n_outputs_cut;
};

/* ---- store.c ---- */

/* Called on the jobs task with the reply of a call to the key-value service;
 * kv is freed afterwards. */
struct jobs_kv_callback {
    void (*on_done)(struct jobs *jobs, struct platform_kv *kv, void *context);
    void *context;
};

void jobs_kv_send(struct jobs *jobs, struct platform_kv *kv,
                  struct jobs_kv_callback callback);
void jobs_kv_read(struct jobs *jobs, struct platform_kv *kv, int64_t bytes,
                  struct jobs_kv_callback callback);
const struct platform_entry *jobs_kv_find_entry(const struct platform_kv *kv,
                                                const char *key);
void jobs_read_head(struct jobs *jobs, const char *id,
                    struct jobs_kv_callback callback);
const struct platform_entry *jobs_kv_find_head(const struct platform_kv *kv,
                                               const char *id);

/* ---- pages.c ---- */

struct jobs_pages_ops {
    void (*on_page)(struct jobs *jobs, const struct platform_kv *page,
                    void *context);
    /* Called once, with the last page, or with one that has failed. */
    void (*on_end)(struct jobs *jobs, const struct platform_kv *last,
                   void *context);
};

void jobs_read_pages(struct jobs *jobs, const char *prefix,
                     const struct jobs_pages_ops *ops, void *context);

/* ---- stored_results.c ---- */

/* Results of a job from a position on. */
struct jobs_stored_results {
    bool is_ok;
    struct base_error err; /* if not is_ok */
    GPtrArray *results; /* of struct jobs_result; the receiver may steal it */
    int first;          /* position of the first of them */
    bool is_all;        /* they are all that the job has */
};

/* Called on the jobs task with the results of a read, which are freed
 * afterwards. */
struct jobs_stored_callback {
    void (*on_done)(struct jobs *jobs, struct jobs_stored_results *stored,
                    void *context);
    void *context;
};

void jobs_stored_read(struct jobs *jobs, const struct jobs_head *head,
                      int position, struct jobs_stored_callback callback);

/* ---- jobs.c ---- */

void jobs_reply(struct jobs *jobs, struct jobs_request *request,
                enum jobs_status status);
void jobs_reply_kv_error(struct jobs *jobs, struct jobs_request *request,
                         const struct platform_kv *kv);
const struct world_ingress *
jobs_find_route(const struct jobs *jobs, const char *host, const char *path);
const struct world_ingress *jobs_route_of(const struct jobs *jobs,
                                          const struct jobs_head *head);
int jobs_find_home(const struct jobs *jobs, const char *region, const char *id,
                   int except);
bool jobs_forward(struct jobs *jobs, struct jobs_request *request, int node,
                  void (*on_done)(struct jobs_request *request,
                                  void *task_state));

/* ---- waiting.c ---- */

/* A job that is submitted to a route with a limit of waiting tokens. */
struct jobs_waiting {
    const struct jobs_head *head;
    int64_t tokens; /* of the other open jobs that share its limit */
    /* Called when the job is found to be open already. */
    void (*on_known)(struct jobs *jobs, const struct platform_entry *entry,
                     void *context);
    /* Called when `tokens` is known, if `last` has not failed. */
    void (*on_counted)(struct jobs *jobs, const struct platform_kv *last,
                       void *context);
    void *context;
};

void jobs_waiting_init(struct jobs *jobs);
void jobs_waiting_finish(struct jobs *jobs);
void jobs_waiting_count(struct jobs *jobs, struct jobs_waiting *waiting);
void jobs_waiting_write(struct jobs *jobs, const struct jobs_waiting *waiting);
void jobs_waiting_written(struct jobs *jobs,
                          const struct jobs_waiting *waiting,
                          bool may_be_stored);

/* ---- refusal.c ---- */

bool jobs_refusal_begin(struct jobs *jobs, struct jobs_request *request);

/* ---- submit.c and read.c ---- */

void jobs_submit(struct jobs *jobs, struct jobs_request *request);
void jobs_read_results(struct jobs *jobs, struct jobs_request *request);
void jobs_read_input(struct jobs *jobs, struct jobs_request *request);
void jobs_end(struct jobs *jobs, struct jobs_request *request);
void jobs_serve_waiting_reads(struct jobs *jobs, int64_t now_ms);

/* ---- run.c ---- */

struct jobs_run *jobs_run_start(struct jobs *jobs, struct jobs_job *job,
                                struct jobs_head *head, int64_t revision,
                                int lease_epoch, GPtrArray *results);
bool jobs_run_shrink_pieces(struct jobs_run *run);
void jobs_run_item_done(struct jobs_run *run, struct jobs_work *work,
                        bool is_completed);
void jobs_run_stop(struct jobs_run *run, const char *why);
void jobs_run_tick(struct jobs_run *run, int64_t now_ms);
void jobs_run_free(struct jobs_run *run);
void jobs_run_update_head(struct jobs_run *run, const struct jobs_head *head,
                          int64_t revision);
int jobs_run_n_results(const struct jobs_run *run);
bool jobs_run_is_complete(const struct jobs_run *run);

/* ---- checkpoint.c ---- */

/* The stored checkpoint of a job. */
struct jobs_checkpoint {
    GPtrArray *partials; /* of struct jobs_result */
    int n_pieces;        /* number of the last piece and one more */
    int64_t revision;    /* of the first piece, or PLATFORM_ABSENT */
};

void jobs_checkpoint_init(struct jobs_run *run);
void jobs_checkpoint_read(struct jobs_checkpoint *checkpoint,
                          const GPtrArray *entries);
void jobs_checkpoint_finish(struct jobs_checkpoint *checkpoint);
void jobs_checkpoint_restore(struct jobs_run *run,
                             const struct jobs_checkpoint *checkpoint);
void jobs_checkpoint_add(struct jobs_run *run, struct platform_kv *kv,
                         bool has_output);
void jobs_checkpoint_tick(struct jobs_run *run, int64_t now_ms);

/* ---- lease.c ---- */

/* Called when the node holds its lease, or could not get it in time. */
struct jobs_lease_wait {
    void (*on_lease)(struct jobs *jobs, void *context, bool is_held);
    void *context;
    int64_t until_ms;
};

bool jobs_holds_lease(const struct jobs *jobs);
bool jobs_is_certain(const struct jobs *jobs, int lease_epoch);
bool jobs_may_send(const struct jobs *jobs);
void jobs_lease_tick(struct jobs *jobs, int64_t now_ms);
void jobs_with_lease(struct jobs *jobs,
                     void (*on_lease)(struct jobs *jobs, void *context,
                                      bool is_held),
                     void *context);
void jobs_lease_stop(struct jobs *jobs);

/* ---- scan.c ---- */

void jobs_scan_tick(struct jobs *jobs, int64_t now_ms);
void jobs_scan_soon(struct jobs *jobs);
void jobs_release_to_home(struct jobs *jobs, const struct jobs_head *head,
                          int64_t revision);

/* ---- checks.c and claim.c ---- */

void jobs_check(struct jobs *jobs, struct jobs_request *request);
void jobs_check_head(struct jobs *jobs, const struct jobs_check *check);
void jobs_claim(struct jobs *jobs, const struct jobs_head *head,
                int64_t revision);
void jobs_claim_again(struct jobs *jobs, const struct jobs_head *head,
                      int64_t revision, int lease_epoch);

/* ---- admission.c and item.c ---- */

void jobs_dispatch(struct jobs *jobs, int64_t now_ms);
void jobs_work_release_contract(struct jobs_work *work, bool is_servers_fault);
int jobs_work_find_server(const struct jobs_work *work);
void jobs_work_read_parts(struct jobs_work *work);
void jobs_work_send(struct jobs_work *work);
void jobs_work_cancel(struct jobs_work *work);
void jobs_preempt(void *task_state, uint64_t contract, int slots);

/* ---- held.c ---- */

int64_t jobs_job_bytes(const struct jobs_job *job);
int64_t jobs_input_bytes(const struct jobs *jobs,
                         const struct jobs_head *head);
bool jobs_held_take(struct jobs *jobs, int64_t bytes);
void jobs_held_update(struct jobs_run *run);
void jobs_held_shrink(struct jobs *jobs);

/* ---- outputs.c ---- */

void jobs_outputs_init(struct jobs *jobs, int64_t limit);
void jobs_output_init(struct jobs_work *work);
void jobs_output_changed(struct jobs_work *work);
void jobs_output_drop(struct jobs_work *work);
void jobs_output_finish(struct jobs_work *work);
bool jobs_outputs_admit_items(const struct jobs *jobs);

/* ---- cost.c ---- */

void jobs_cost_init(struct jobs *jobs, bool is_enabled,
                    struct base_counters *counters);
void jobs_cost_finish(struct jobs *jobs);
int64_t jobs_cost_expected(struct jobs_work *work, int server);
void jobs_cost_learn_time(struct jobs_work *work, int64_t now_us);
void jobs_cost_learn_events(struct jobs_work *work);

#endif
