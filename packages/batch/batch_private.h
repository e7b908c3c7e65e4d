/*
 * The parts of the batch task: batch.c has its loop and its calls, store.c
 * its calls to the key-value service and to bulk, uploads.c takes files,
 * files.c and file_read.c serve them, job_create.c and jobs.c serve jobs,
 * open_jobs.c knows the open jobs, runner.c claims shards, shard_run.c holds
 * one, commit.c commits it, items.c runs items, slot_pools.c holds contracts,
 * job_check.c ends jobs, maintenance.c repairs and removes.
 */
#ifndef CARDAMOM_BATCH_PRIVATE_H
#define CARDAMOM_BATCH_PRIVATE_H

#include <jansson.h>
#include <libwebsockets.h>

#include "backends/backends.h"
#include "batch/response.h"
#include "batch/batch.h"
#include "batch/tracker.h"
#include "batch/lines.h"
#include "batch/records.h"
#include "batch/schedule.h"
#include "batch/target.h"

enum {
    BATCH_TICK_MS = 50,
    BATCH_KV_WRITES_BURST = 4,
    BATCH_MAX_ACTIVE_SHARDS = 16,
    BATCH_MAX_RUNNING = 2048, /* items sent at a time, a node */
};

/* Claims, commits and removals of a node; its lease takes the rest of two
 * writes a second. */
#define BATCH_KV_WRITES_PER_S 1.4

struct batch_run; /* a shard that this node holds */

/* An open job as the watch tells it. */
struct batch_open_job {
    struct batch_job record;
    int64_t revision;
    int64_t check_ms; /* not looked at before this */
    int64_t wait_ms;  /* between looks that found nothing */
    bool is_checking; /* a read or a write for it is under way */
    bool is_urgent;   /* all its shards may be closed */
    int n_ended;      /* items, as last read */
};

/* A contract held on one server. */
struct batch_pool {
    char server[64];
    int index; /* in the world; WORLD_NONE: gone */
    uint64_t contract;
    int granted;
    int in_use;
    int64_t until_ms;
    int64_t ask_ms;  /* not asked before this */
    int64_t grow_ms; /* not for more slots before this */
    bool is_asking;
    int n_busy; /* answers in a row */
    /* since the last report */
    struct contracts_outcome outcome;
    int n_outcomes;
};

/* An item between its line and its result. */
struct batch_item {
    struct batch_run *run;
    int index; /* in the shard */
    char *custom_id;
    char *method;
    char *path;
    char *body;  /* as sent */
    char *model; /* engines only */
    char request_id[48];
    int deployment;
    bool is_engine;
    bool is_chat;
    bool is_streamed;
    bool is_idempotent;
    struct batch_response answer; /* streamed */
    GString *content;             /* not streamed */
    bool is_too_large;
    int tries;     /* that a server failed */
    int n_refused; /* times that a server refused without running it */
    char tried[3][64];
    int n_tried;
    int64_t not_before_ms;
    /* while it runs */
    struct base_handle call;
    struct batch_pool *lane;
    struct base_span span; /* start_us 0: none */
    bool is_preempted;
    int64_t sent_us;
    int64_t first_us;
    int first_tokens; /* n_tokens when it was sent */
    int status;
    GList link; /* in batch->running or run->ready */
};

/* The lines of one kind of results of a shard. */
struct batch_stream {
    GArray *sealed; /* of struct batch_piece; full ones */
    GString *tail;  /* lines after the sealed ones */
    int tail_items;
    /* the put under way */
    bool is_putting;
    size_t put_size;
    int put_items;
    int64_t retry_ms;
    /* the lines that the commit under way speaks of */
    int64_t sealed_bytes; /* left the tail since the claim */
    int64_t commit_bytes; /* all that came since the claim */
    int commit_items;     /* of the tail */
    /* the last piece stored of the tail's beginning */
    struct batch_piece stored;
    size_t stored_size;
    int stored_items;
};

enum batch_commit_step {
    BATCH_COMMIT_IDLE,
    BATCH_COMMIT_STORING, /* the tails go to bulk */
    BATCH_COMMIT_WRITING, /* the record goes to the key-value service */
};

struct batch_run {
    struct batch *batch;
    struct batch_job job;
    int number;
    char *key;
    struct batch_tracker holder;
    bool is_dead; /* lost or ended; freed when nothing refers to it */
    int n_references;
    bool is_stopping; /* cancelled, expired */
    bool is_releasing;
    /* reading the items */
    struct batch_file file;
    bool has_file;
    int first_item; /* of the shard in the file */
    int next_item;  /* to be parsed next, in the shard */
    guint piece;    /* of the file */
    int piece_item; /* the file's item that the piece begins with */
    GBytes *bytes;  /* of the piece; NULL: not there */
    size_t position;
    int line_item; /* the file's item at position */
    bool is_reading;
    int64_t read_ms;  /* not read before this, after a failure */
    GQueue ready;     /* of struct batch_item, parsed */
    GQueue beginning; /* of struct batch_item, to be committed as begun */
    int n_running;
    /* results */
    struct batch_stream outputs;
    struct batch_stream errors;
    enum batch_commit_step step;
    int64_t commit_ms; /* not committed before this */
    int64_t claimed_ms;
    int64_t retry_ms;
    int attempts;
    bool is_write_sent;
};

struct batch {
    struct base_task task;
    struct lws_context *lws;
    struct backends backends;
    bool has_backends;
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char claim[BATCH_CLAIM_SIZE];
    struct platform *platform;
    struct control *control;
    struct bulk *bulk;
    struct base_tracer *tracer;
    bool is_runner;
    int is_draining; /* atomic */
    int is_idle;     /* atomic */
    int n_outside;   /* calls to other tasks under way */
    bool is_stopped;
    struct world *world;       /* NULL until there is one */
    struct members_view *view; /* NULL until there is one */
    int64_t tick_ms;
    lws_sorted_usec_list_t timer;
    bool needs_dispatch;
    int64_t kv_failed_ms; /* the last failure of the key-value service */
    /* front */
    GHashTable *uploads;   /* id to struct batch_upload */
    GHashTable *snapshots; /* file and reader to struct batch_snapshot */
    /* open jobs */
    GHashTable *open_jobs; /* id to struct batch_open_job */
    uint64_t watch;        /* 0: none */
    bool is_listing;
    bool is_listed;
    int64_t list_ms;
    GHashTable *served; /* operator to double: items started, decaying */
    int64_t served_ms;
    double started; /* items lately, decaying fast: the pace */
    int64_t started_ms;
    /* runner */
    int64_t lease;
    bool is_lease_asked;
    bool is_registered; /* the runner's key is there */
    int64_t lease_until_ms;
    int64_t lease_next_ms;
    GPtrArray *runs; /* of struct batch_run */
    int n_claiming;
    double write_credit;
    int64_t write_ms;
    GHashTable *runners;       /* node to claim id, as last read */
    GHashTable *claims_seen;   /* claim ids in shards' records */
    GHashTable *missing_since; /* claim id to int64_t ms: not among runners */
    bool is_reading_runners;
    bool has_missing_runner;
    int64_t runners_ms;
    int64_t runners_read_ms;
    int64_t wanted_ms; /* the lease was last of use */
    int64_t check_ms;
    /* items and contracts */
    GQueue running;    /* of struct batch_item, oldest first */
    GHashTable *lanes; /* server to struct batch_pool */
    /* maintenance */
    struct batch_maintenance *maintenance;
    /* counters */
    struct base_counter *n_accepted;
    struct base_counter *n_completed;
    struct base_counter *n_failed;
    struct base_counter *n_claims;
    struct base_counter *n_takeovers;
    struct base_counter *n_lost_shards;
    struct base_counter *n_commits;
    struct base_counter *n_kv_writes;
    struct base_counter *n_kv_reads;
    struct base_counter *n_preempted;
    struct base_counter *n_resumed;
    struct base_counter *n_retried;
    struct base_counter *n_jobs_accepted;
    struct base_counter *n_jobs_ended;
    struct base_counter *running_gauge;
    struct base_counter *shards_gauge;
    struct base_counter *at_risk_gauge;
    struct base_counter *slots_gauge;
    struct base_counter *used_gauge;
};

/* ---- store.c ---- */

/* What goes on once an answer of another task is here.  The answer is freed
 * after the call. */
struct batch_kv_callback {
    void (*answered)(struct batch *batch, struct platform_kv *kv,
                     void *context);
    void *context;
};
struct batch_put_callback {
    void (*answered)(struct batch *batch, struct bulk_put *put, void *context);
    void *context;
};
struct batch_get_callback {
    void (*answered)(struct batch *batch, struct bulk_get *get, void *context);
    void *context;
};

void batch_kv(struct batch *batch, struct platform_kv *kv,
              struct batch_kv_callback next);
void batch_kv_get(struct batch *batch, char *key,
                  struct batch_kv_callback next);
void batch_kv_list(struct batch *batch, char *prefix, const char *after,
                   int64_t limit, struct batch_kv_callback next);
void batch_kv_put(struct batch *batch, char *key, GBytes *value,
                  int64_t expect_revision, struct batch_kv_callback next);
void batch_kv_delete(struct batch *batch, char *key, int64_t expect_revision,
                     struct batch_kv_callback next);
void batch_put(struct batch *batch, GBytes *bytes, const char *region,
               bool is_result, struct batch_put_callback next);
void batch_get(struct batch *batch, const struct bulk_chunk *chunk,
               struct batch_get_callback next);
const char *batch_region(const struct batch *batch);
int64_t batch_now_s(void);
bool batch_take_write_token(struct batch *batch, int64_t now_ms, int reserve);

/* ---- batch.c: answers to the front ---- */

void batch_reply_json(struct batch_request *request, int status,
                      json_t *object);
void batch_reply_error(struct batch_request *request, int status,
                       enum base_verdict verdict, const char *code,
                       const char *format, ...) G_GNUC_PRINTF(5, 6);
void batch_reply_kv_error(struct batch_request *request,
                          const struct platform_kv *kv);

/* ---- uploads.c ---- */

void batch_upload_open(struct batch *batch, struct batch_request *request);
void batch_upload_data(struct batch *batch, struct batch_request *request);
void batch_upload_close(struct batch *batch, struct batch_request *request);
void batch_upload_abort(struct batch *batch, struct batch_request *request);
void batch_uploads_tick(struct batch *batch, int64_t now_ms);
void batch_upload_free(void *upload);

/* ---- files.c ---- */

json_t *batch_file_to_json(const struct batch_file *file);
void batch_file_get(struct batch *batch, struct batch_request *request);
void batch_file_list(struct batch *batch, struct batch_request *request);
void batch_file_delete(struct batch *batch, struct batch_request *request);
bool batch_is_result_file(const char *file_id, char *job_id, size_t size,
                          bool *is_errors);

/* ---- file_read.c ---- */

void batch_file_read(struct batch *batch, struct batch_request *request);
void batch_snapshots_tick(struct batch *batch, int64_t now_ms);
void batch_snapshot_free(void *snapshot);

/* ---- jobs.c ---- */

/* Finds a job, open or ended, with the counts of its shards.  job is NULL
 * with an error: BASE_NOT_FOUND or BASE_UNAVAILABLE. */
struct batch_job_view {
    struct batch_job job;
    int64_t revision;
    int n_claimed; /* shards */
    int n_closed;
    struct batch_counts counts;
    GPtrArray *shards; /* of struct batch_shard, in order; NULL: not claimed */
    int64_t revisions[BATCH_MAX_SHARDS]; /* of the shards' records */
};
struct batch_find_callback {
    void (*found)(struct batch *batch, const struct batch_job_view *view,
                  const struct platform_kv *failed, void *context);
    void *context;
};
void batch_job_find(struct batch *batch, const char *operator_name,
                    const char *job_id, struct batch_find_callback next);
json_t *batch_job_to_json(const struct batch_job_view *view);
void batch_job_create(struct batch *batch, struct batch_request *request);
void batch_job_get(struct batch *batch, struct batch_request *request);
void batch_job_list(struct batch *batch, struct batch_request *request);
void batch_job_cancel(struct batch *batch, struct batch_request *request);

/* ---- open_jobs.c ---- */

int batch_runner_rank(const struct batch *batch);
void batch_open_jobs_tick(struct batch *batch, int64_t now_ms);
void batch_open_jobs_finish(struct batch *batch);
void batch_open_job_free(void *job);
struct batch_open_job *batch_open_jobs_choose(struct batch *batch,
                                              int64_t now_ms, bool has_room);
void batch_open_jobs_recheck(struct batch *batch, int64_t when_ms);
double batch_items_per_s(struct batch *batch);
double batch_served(struct batch *batch, const char *operator_name);
void batch_add_served(struct batch *batch, const char *operator_name,
                      double items);
double batch_operator_weight(const struct batch *batch,
                             const char *operator_name);

/* ---- runner.c ---- */

void batch_runner_tick(struct batch *batch, int64_t now_ms);
void batch_runner_finish(struct batch *batch);
bool batch_has_lease(const struct batch *batch);
bool batch_is_runner_alive(struct batch *batch, const char *job_id, int number,
                           const struct batch_shard *shard);
void batch_ref_run(struct batch_run *run);
void batch_unref_run(struct batch_run *run);

/* ---- shard_run.c ---- */

struct batch_run *batch_run_new(struct batch *batch,
                                const struct batch_job *job, int number,
                                const struct batch_shard *claimed,
                                int64_t revision);
void batch_run_tick(struct batch_run *run, int64_t now_ms);
void batch_run_stop(struct batch_run *run);
void batch_run_lose(struct batch_run *run);
struct batch_item *batch_run_take_item(struct batch_run *run, int deployment,
                                       int64_t now_ms);
void batch_run_return_item(struct batch_run *run, struct batch_item *item);
void batch_run_result(struct batch_run *run, struct batch_item *item,
                      json_t *response, const char *code, const char *text);
int batch_run_unstarted(const struct batch_run *run);

/* ---- commit.c ---- */

void batch_stream_init(struct batch_stream *stream, const GArray *sealed);
void batch_stream_finish(struct batch_stream *stream);
void batch_commit_tick(struct batch_run *run, int64_t now_ms);

/* ---- items.c ---- */

struct batch_item *batch_item_new(struct batch_run *run, int index,
                                  const struct batch_line *line,
                                  const struct batch_target *target);
void batch_item_free(struct batch_item *item);
void batch_item_send(struct batch_item *item, struct batch_pool *lane);
void batch_item_cancel(struct batch_item *item);

/* ---- slot_pools.c ---- */

void batch_pools_tick(struct batch *batch, int64_t now_ms);
void batch_pools_dispatch(struct batch *batch, int64_t now_ms);
void batch_pools_finish(struct batch *batch);
void batch_pool_item_ended(struct batch *batch, struct batch_pool *lane,
                           const struct contracts_outcome *outcome);

/* ---- job_check.c ---- */

void batch_check_job(struct batch *batch, struct batch_open_job *job,
                     bool has_room);

/* ---- maintenance.c ---- */

void batch_maintenance_start(struct batch *batch,
                             const struct batch_desc *desc);
void batch_maintenance_tick(struct batch *batch, int64_t now_ms);
void batch_maintenance_finish(struct batch *batch);

#endif
