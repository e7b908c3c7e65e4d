/*
 * What the sources of jobs share; all of it belongs to the jobs task.
 *
 *   jobs.c    the task, its calls and its ticks
 *   store.c   calls to the key-value service
 *   record.c  what is stored
 *   submit.c  accepting a job
 *   read.c    results, inputs and ends of jobs, also of other nodes'
 *   run.c     a job that this node runs: its list of results
 *   lease.c   the node's lease and its entry
 *   claim.c   jobs whose runner is gone
 *   item.c    one item at a server
 *   admission.c     contracts for items
 *   events.c  the text of a stream of events
 *   rpc.c    calls between nodes, on a task of its own
 */
#ifndef CARDAMOM_JOBS_PRIVATE_H
#define CARDAMOM_JOBS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"
#include "jobs/events.h"
#include "jobs/rpc.h"
#include "jobs/record.h"
#include "place/place.h"

enum {
    JOBS_TICK_MS = 50,
    JOBS_SERVER_SIZE = 64,
};

enum jobs_work_state {
    JOBS_WORK_WAITING,
    JOBS_WORK_ADMITTING,
    JOBS_WORK_RUNNING,
    JOBS_WORK_DONE, /* its result is to be listed */
    JOBS_WORK_LISTED,
};

struct jobs_run;

/* An item that this node runs. */
struct jobs_work {
    struct jobs_run *run;
    int index;
    enum jobs_work_state state;
    struct jobs_events events; /* what has arrived of its output */
    int n_failures;            /* answers of a server that failed */
    int n_refusals;            /* in a row, without having run */
    int64_t not_before_ms;
    bool is_completed; /* once it is done */
    /* asking */
    struct place_request choice;
    int n_requested;
    int64_t world_generation; /* that the choices below were made in */
    int least_busy_server;
    double least_load;
    bool is_queued;
    int server; /* in the world */
    char server_name[JOBS_SERVER_SIZE];
    /* running */
    uint64_t contract; /* 0: none */
    struct base_handle call;
    int status;
    bool is_stream;
    bool is_preempted;
    int64_t sent_us;
    int64_t first_us;
    int64_t n_known_events; /* events known when it was sent */
};

/* A job that this node runs. */
struct jobs_run {
    struct jobs *jobs;
    struct jobs_job *job;
    struct jobs_head head; /* as it is in the key-value service */
    int64_t revision;
    GPtrArray *results; /* of struct jobs_result, by position */
    struct jobs_work *works;
    int n_open;            /* neither done nor listed */
    int n_active;          /* asking or running */
    int max_attempts;      /* failures until an item is given up */
    int64_t due_ms;        /* wall clock */
    int64_t give_up_ms;    /* wall clock */
    GArray *committing;    /* of int: items in the commit under way */
    struct jobs_head next; /* the commit under way */
    bool is_committing;
    bool is_releasing; /* the commit gives the job away */
    bool has_stopped;  /* ended, lost or complete: nothing runs any more */
    int n_references;  /* calls under way */
    int64_t commit_ms; /* not committed before this */
    int n_writes;      /* of its records, under way */
    bool has_failures; /* counted since the last checkpoint */
    int64_t checkpoint_ms;
    int64_t checkpoint_events; /* that the last one held */
};

struct jobs {
    struct base_task task;
    struct lws_context *lws;
    struct backends backends;
    bool has_backends;
    struct place *place;
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char runner[JOBS_RUNNER_SIZE];
    struct platform *platform;
    struct control *control;
    struct base_counters *counters;
    struct jobs_header_names names;
    struct jobs_job *(*decode)(const char *id, const char *text, size_t size,
                               struct base_error *err);
    int64_t lease_ms;
    lws_sorted_usec_list_t timer;
    struct world *world;
    int64_t world_generation; /* grows with each change of `world` */
    struct members_view *view;
    GHashTable *runs;        /* id to struct jobs_run, of this node */
    GPtrArray *stopped_runs; /* runs to be freed when nothing refers to them */
    GHashTable *submitting;  /* ids whose acceptance is under way */
    GHashTable *runner_nodes; /* id of a job to the node that runs it */
    struct jobs_rpc *rpc;     /* NULL: other nodes are not asked */
    GQueue waiting_reads;     /* of struct jobs_request: reads held back */
    int n_admissions;
    int n_running;
    int n_calls; /* to other tasks, under way */
    bool is_stopped;
    int is_draining; /* atomic */
    int is_idle;     /* atomic */
    /* the lease */
    int64_t lease;
    bool is_leasing;
    bool is_registered;
    bool is_leaving;            /* takes no more jobs */
    bool is_announcing_leaving; /* in the entry on its way */
    bool has_announced_leaving; /* in the entry that is there */
    int64_t lease_until_ms;
    int64_t lease_next_ms;
    /* looking for jobs without a runner */
    bool is_scanning;
    int64_t scan_ms;
    struct base_counter *n_accepted;
    struct base_counter *n_completed;
    struct base_counter *n_given_up;
    struct base_counter *n_claims;
    struct base_counter *n_lost;
    struct base_counter *n_preemptions;
    struct base_counter *n_resumes;
    struct base_counter *running_gauge;
};

/* ---- store.c ---- */

/* What goes on with an answer; `context` is the caller's. */
struct jobs_kv_callback {
    void (*answered)(struct jobs *jobs, struct platform_kv *kv, void *context);
    void *context;
};

void jobs_kv_send(struct jobs *jobs, struct platform_kv *kv,
                  struct jobs_kv_callback next);
const struct platform_entry *jobs_kv_find_entry(const struct platform_kv *kv,
                                                const char *key);

/* ---- jobs.c ---- */

void jobs_reply(struct jobs *jobs, struct jobs_request *request,
                enum jobs_status status);
void jobs_reply_kv_error(struct jobs *jobs, struct jobs_request *request,
                         const struct platform_kv *kv);
const struct world_ingress *
jobs_find_route(const struct jobs *jobs, const char *host, const char *path);

/* ---- submit.c, read.c ---- */

void jobs_submit(struct jobs *jobs, struct jobs_request *request);
void jobs_read_results(struct jobs *jobs, struct jobs_request *request);
void jobs_read_input(struct jobs *jobs, struct jobs_request *request);
void jobs_end(struct jobs *jobs, struct jobs_request *request);
void jobs_serve_waiting_reads(struct jobs *jobs, int64_t now_ms);

/* ---- run.c ---- */

struct jobs_run *jobs_run_start(struct jobs *jobs, struct jobs_job *job,
                                struct jobs_head *head, int64_t revision,
                                GPtrArray *results);
void jobs_run_restore_partials(struct jobs_run *run,
                               const GPtrArray *partials);
void jobs_run_item_done(struct jobs_run *run, struct jobs_work *work,
                        bool is_completed);
void jobs_run_stop(struct jobs_run *run, const char *why);
void jobs_run_tick(struct jobs_run *run, int64_t now_ms);
void jobs_run_free(struct jobs_run *run);
void jobs_run_update_head(struct jobs_run *run, const struct jobs_head *head,
                          int64_t revision);

/* ---- lease.c, claim.c ---- */

bool jobs_holds_lease(const struct jobs *jobs);
void jobs_lease_tick(struct jobs *jobs, int64_t now_ms);
void jobs_scan_tick(struct jobs *jobs, int64_t now_ms);
void jobs_scan_soon(struct jobs *jobs);

/* ---- admission.c, item.c ---- */

void jobs_dispatch(struct jobs *jobs, int64_t now_ms);
void jobs_work_release(struct jobs_work *work, bool is_servers_fault);
int jobs_work_find_server(const struct jobs_work *work);
void jobs_work_send(struct jobs_work *work);
void jobs_work_cancel(struct jobs_work *work);
void jobs_preempt(void *task_state, uint64_t contract, int slots);

#endif
