/*
 * Internals of the batch task.  Its files:
 *
 *     batch.c        event loop, start and stop, dispatch of requests
 *     store.c        calls to the key-value service and to bulk
 *     uploads.c      uploads of files
 *     files.c        requests about files
 *     file_read.c    downloads of files and of results
 *     job_create.c   creation of jobs
 *     jobs.c         requests about jobs
 *     open_jobs.c    table of open jobs, operators' recent usage
 *     job_check.c    check of one open job: ends it, expires it or claims a
 *                    shard of it
 *     runner.c       runner's lease, live runners, when to claim shards
 *     shard_run.c    execution of a claimed shard: reads its items, adds
 *                    results
 *     commit.c       stores results and commits the shard's record
 *     items.c        sends one item to a server and handles the response
 *     slot_pools.c   contracts for slots on servers, dispatch of items
 *     maintenance.c  repair of chunks, removal of old records and chunks
 *     tracker.c      states of a shard's items (no I/O)
 *     schedule.c     choice of the next job (no I/O)
 *     target.c       deployment that an item is sent to
 *     lines.c        lines of JSONL files
 *     records.c      records in the key-value service
 *     response.c     response of a server to one item
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
    BATCH_MAX_RUNNING = 2048, /* items in flight per node */
};

/* Rate of claims, commits and removals that a node may write.  A node may make
 * two writes per second in total; the rest is for lease renewals. */
#define BATCH_KV_WRITES_PER_S 1.4

struct batch_run; /* the execution of a shard that this node has claimed */

/* A job that has not ended, as the watch last reported it. */
struct batch_open_job {
    struct batch_job record;
    int64_t revision;
    int64_t next_check_ms; /* earliest time of the next check */
    int64_t wait_ms;       /* back-off between checks that found no work */
    bool is_checking;      /* a check is in progress */
    bool is_urgent; /* this node closed a shard of the job since the last
                       check, so all items of the job may have ended */
    int n_ended;    /* items with a result at the last check */
};

/* The slots that a contract grants to this node on one server. */
struct batch_pool {
    char server[BASE_NAME_SIZE];
    int index;         /* the server's index in the world; WORLD_NONE: not
                          configured */
    uint64_t contract; /* 0: none */
    int granted;       /* slots granted by the contract */
    int in_use; /* slots in use; may exceed granted until items are cancelled
                 */
    int64_t until_ms;        /* end of the contract's term */
    int64_t next_request_ms; /* earliest time of the next request */
    int64_t next_grow_ms;    /* earliest time to request more slots */
    bool is_requesting;      /* an admission request is pending */
    int n_busy;              /* requests in a row that were not granted */
    /* outcomes of items since the last report to the server's owner */
    struct contracts_outcome outcome;
    int n_outcomes;
};

/* An item that was parsed and has no result yet. */
struct batch_item {
    struct batch_run *run;
    int index; /* index of the item in the shard */
    char *custom_id;
    char *method;
    char *path;
    char *body;  /* request body; NULL: none */
    char *model; /* engines only */
    char request_id[48];
    int deployment; /* index in the world; WORLD_NONE: no longer configured */
    bool is_engine;
    bool is_chat;
    bool is_streamed; /* the response is requested as a stream */
    bool is_idempotent;
    struct batch_response stream_response; /* used if is_streamed */
    GString *content;      /* body of a response that is no stream of tokens */
    bool is_too_large;     /* content would exceed its size limit */
    int n_failed_attempts; /* attempts that failed on a server */
    int n_refused_attempts; /* attempts that a server refused without running
                               it */
    /* Servers of unsuccessful attempts. */
    char tried_servers[3][BASE_NAME_SIZE];
    int n_tried_servers;
    int64_t not_before_ms; /* earliest time of the next attempt */
    /* the current attempt */
    struct base_handle call;
    struct batch_pool *pool;
    struct base_span span; /* start_us 0: none */
    bool is_preempted;
    int64_t sent_at_us;
    int64_t first_token_at_us; /* time of this attempt's first token; 0: none
                                  yet */
    int n_kept_tokens; /* tokens of earlier attempts after which this one
                          resumed */
    int status;        /* HTTP status; 0: none received */
    GList link;        /* in batch->running */
};

/* The result lines of a shard: its outputs or its errors. */
struct batch_stream {
    GArray *sealed; /* of struct batch_piece: stored pieces that are full */
    GString *tail;  /* lines that are not in a sealed piece */
    int tail_items;
    /* pending bulk_put, which stores the first put_size bytes of the tail */
    bool is_putting;
    size_t put_size;
    int put_items;
    int64_t next_put_ms; /* earliest time of the next put */
    /* The current commit includes the lines up to commit_bytes.  Both numbers
     * of bytes count from the first line that was added after the claim. */
    int64_t sealed_bytes; /* bytes of lines moved to sealed pieces */
    int64_t commit_bytes; /* bytes of lines added before the commit started */
    int commit_items;     /* items in the tail when the commit started */
    /* stored piece with the first lines of the tail; stored_size 0: none */
    struct batch_piece stored;
    size_t stored_size;
    int stored_items;
};

enum batch_commit_step {
    BATCH_COMMIT_IDLE,
    BATCH_COMMIT_STORING, /* storing the result lines in bulk */
    BATCH_COMMIT_WRITING, /* writing the record to the key-value service */
};

struct batch_run {
    struct batch *batch;
    struct batch_job job;
    int number;
    char *key;
    struct batch_tracker tracker;
    bool is_dead; /* abandoned: nothing more is sent or committed for it */
    int n_references;
    bool is_stopping;  /* the job was cancelled, expired or failed */
    bool is_releasing; /* the node is draining, so the shard is to be released
                          to other runners */
    /* reading the items */
    struct batch_file file;
    bool has_file;
    int first_item;  /* index in the file of the shard's first item */
    int next_item;   /* index in the shard of the next item to parse */
    guint piece;     /* index of the current piece of the file */
    int piece_item;  /* index in the file of the piece's first item */
    GBytes *bytes;   /* contents of the piece; NULL: not read */
    size_t position; /* offset in `bytes` of the next line */
    int line_item;   /* index in the file of the item on that line */
    bool is_reading;
    int64_t next_read_ms; /* earliest time of the next read, after a failure */
    GQueue ready;         /* of struct batch_item: parsed, may be sent */
    GQueue beginning;     /* of struct batch_item: non-idempotent, until their
                             started record is committed */
    int n_running;
    /* results */
    struct batch_stream outputs;
    struct batch_stream errors;
    enum batch_commit_step step;
    int64_t next_commit_ms; /* earliest time of the next commit */
    int64_t claimed_at_ms;
    int64_t next_write_ms; /* earliest time to write the record again */
    int n_failed_writes;   /* failed writes of the record in a row */
    bool is_write_sent;
};

struct batch {
    struct base_task task;
    struct lws_context *lws;
    struct backends backends;
    bool has_backends;
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char claim[BATCH_CLAIM_SIZE]; /* identifies this process in records */
    struct platform *platform;
    struct control *control;
    struct bulk *bulk;
    struct base_tracer *tracer;
    bool is_runner;
    int is_draining;     /* atomic */
    int is_idle;         /* atomic */
    int n_pending_calls; /* pending calls to other tasks */
    bool is_stopped;
    struct world *world;       /* configuration; NULL: none received yet */
    struct members_view *view; /* NULL: none received yet */
    int64_t next_tick_ms;
    lws_sorted_usec_list_t timer;
    bool needs_dispatch;
    int64_t last_kv_failure_ms; /* last failed call to the key-value service;
                                   0: none */
    /* front */
    GHashTable *uploads;   /* id to struct batch_upload */
    GHashTable *snapshots; /* file and download to struct batch_snapshot */
    /* open jobs */
    GHashTable *open_jobs; /* id to struct batch_open_job */
    uint64_t watch;        /* 0: none */
    bool is_listing;
    bool is_listed;           /* the table is complete */
    int64_t next_list_ms;     /* time of the next listing */
    GHashTable *recent_usage; /* operator to double: items started, with
                                 exponential decay */
    int64_t last_usage_decay_ms;
    double recent_starts; /* items of all operators started, with a faster
                             exponential decay */
    int64_t last_starts_decay_ms;
    /* runner */
    int64_t lease;           /* 0: none */
    bool is_lease_requested; /* a request for it is pending */
    bool is_registered;      /* the runner's key is written under the lease */
    int64_t entry_revision;  /* last known one of the runner's key */
    int64_t lease_until_ms;
    int64_t lease_next_ms;  /* time of the next request about the lease */
    GPtrArray *runs;        /* of struct batch_run */
    int n_claiming;         /* pending claims */
    double write_credit;    /* token bucket that limits writes to the key-value
                               service: writes that may be sent now */
    int64_t last_refill_ms; /* time at which write_credit was last refilled */
    GHashTable *runners;    /* node to claim id, as last read */
    GHashTable *claims_seen;   /* claim ids found in shards' records */
    GHashTable *missing_since; /* claim id to int64_t: time in ms since which
                                  no runner key contains the id */
    bool is_reading_runners;
    bool has_missing_runner; /* a runner has disappeared since the last check
                                of a job */
    int64_t next_runners_read_ms;
    int64_t last_runners_read_ms; /* time of the last successful read of the
                                     runners; 0: none */
    int64_t lease_last_needed_ms; /* last time that there was work */
    int64_t next_check_ms; /* earliest time of the next check of a job */
    /* items and contracts */
    GQueue running;    /* of struct batch_item, oldest first */
    GHashTable *pools; /* server to struct batch_pool */
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

/* Callbacks that run on the batch task with the result of a call to another
 * task.  The result is freed after the callback returns. */
struct batch_kv_callback {
    void (*on_done)(struct batch *batch, struct platform_kv *kv,
                    void *context);
    void *context;
};
struct batch_put_callback {
    void (*on_done)(struct batch *batch, struct bulk_put *put, void *context);
    void *context;
};
struct batch_get_callback {
    void (*on_done)(struct batch *batch, struct bulk_get *get, void *context);
    void *context;
};

void batch_kv(struct batch *batch, struct platform_kv *kv,
              struct batch_kv_callback callback);
void batch_kv_get(struct batch *batch, char *key,
                  struct batch_kv_callback callback);
void batch_kv_list(struct batch *batch, char *prefix, const char *after,
                   int64_t limit, struct batch_kv_callback callback);
void batch_kv_put(struct batch *batch, char *key, GBytes *value,
                  int64_t expect_revision, struct batch_kv_callback callback);
void batch_kv_delete(struct batch *batch, char *key, int64_t expect_revision,
                     struct batch_kv_callback callback);
void batch_put(struct batch *batch, GBytes *bytes, const char *region,
               bool is_result, struct batch_put_callback callback);
void batch_get(struct batch *batch, const struct bulk_chunk *chunk,
               struct batch_get_callback callback);
const char *batch_region(const struct batch *batch);
int64_t batch_now_s(void);
bool batch_take_write_token(struct batch *batch, int64_t now_ms, int reserve);

/* ---- batch.c: replies to the front ---- */

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
                          bool *is_error_file);

/* ---- file_read.c ---- */

void batch_file_read(struct batch *batch, struct batch_request *request);
void batch_snapshots_tick(struct batch *batch, int64_t now_ms);
void batch_snapshot_free(void *snapshot);

/* ---- jobs.c ---- */

/* A job, open or ended, with the counts of its shards. */
struct batch_job_view {
    struct batch_job job;
    int64_t revision;
    int n_claimed;              /* number of claimed shards */
    int n_closed;               /* number of closed shards */
    struct batch_counts counts; /* numbers of items */
    GPtrArray *shards; /* of struct batch_shard, in order; NULL: not claimed
                          yet */
    int64_t revisions[BATCH_MAX_SHARDS]; /* revisions of the shards' records */
};
/* Receives the result of batch_job_find.  The view is valid during the
 * callback.  If it is NULL, `failed` is the key-value call that failed, or
 * NULL if the job does not exist. */
struct batch_find_callback {
    void (*on_found)(struct batch *batch, const struct batch_job_view *view,
                     const struct platform_kv *failed, void *context);
    void *context;
};
void batch_job_find(struct batch *batch, const char *operator_name,
                    const char *job_id, struct batch_find_callback callback);
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
double batch_item_start_rate(struct batch *batch);
double batch_recent_usage(struct batch *batch, const char *operator_name);
void batch_add_usage(struct batch *batch, const char *operator_name,
                     double items);
double batch_operator_weight(const struct batch *batch,
                             const char *operator_name);

/* ---- runner.c ---- */

void batch_runner_tick(struct batch *batch, int64_t now_ms);
void batch_runner_finish(struct batch *batch);
bool batch_has_lease(const struct batch *batch);
bool batch_is_runner_alive(struct batch *batch, const char *job_id, int number,
                           const struct batch_shard *shard);
void batch_run_ref(struct batch_run *run);
void batch_run_unref(struct batch_run *run);

/* ---- shard_run.c ---- */

struct batch_run *batch_run_new(struct batch *batch,
                                const struct batch_job *job, int number,
                                const struct batch_shard *claimed,
                                int64_t revision);
void batch_run_tick(struct batch_run *run, int64_t now_ms);
void batch_run_stop(struct batch_run *run);
void batch_run_abandon(struct batch_run *run);
struct batch_item *batch_run_start_item(struct batch_run *run, int deployment,
                                        int64_t now_ms);
void batch_run_requeue_item(struct batch_run *run, struct batch_item *item);
void batch_run_end_item(struct batch_run *run, struct batch_item *item,
                        json_t *response, const char *code, const char *text);
int batch_run_count_unstarted(const struct batch_run *run);

/* ---- commit.c ---- */

void batch_stream_init(struct batch_stream *stream, const GArray *sealed);
void batch_stream_finish(struct batch_stream *stream);
void batch_commit_tick(struct batch_run *run, int64_t now_ms);

/* ---- items.c ---- */

struct batch_item *batch_item_new(struct batch_run *run, int index,
                                  const struct batch_line *line,
                                  const struct batch_target *target);
void batch_item_free(struct batch_item *item);
void batch_item_send(struct batch_item *item, struct batch_pool *pool);
void batch_item_cancel(struct batch_item *item);

/* ---- slot_pools.c ---- */

void batch_pools_tick(struct batch *batch, int64_t now_ms);
void batch_pools_dispatch(struct batch *batch, int64_t now_ms);
void batch_pools_finish(struct batch *batch);
void batch_pool_end_item(struct batch *batch, struct batch_pool *pool,
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
