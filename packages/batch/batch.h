/*
 * batch: runs batch jobs.  A job has a file of items, each of which gets
 * exactly one result.  One task per node keeps the records of jobs in the
 * key-value service, runs the items of shards (parts of a job) under batch
 * contracts, and serves the front's requests about files and jobs.
 *
 * The front sends a batch_request and gets back an HTTP status and JSON in the
 * format of the public OpenAI API.  Large bodies are sent in pieces:
 *
 *     BATCH_UPLOAD_OPEN -> id, BATCH_UPLOAD_DATA (bytes) ... ,
 *     BATCH_UPLOAD_CLOSE -> the file object, or an error that names the line
 *     BATCH_FILE_READ (offset, length) -> bytes, is_end
 *
 * The results of a job can be read while the job runs.  All reads of one
 * download carry the same `download` number and see the results that were
 * committed when it started.  A read may return fewer bytes than requested.
 */
#ifndef CARDAMOM_BATCH_H
#define CARDAMOM_BATCH_H

#include "base/base.h"
#include "bulk/bulk.h"
#include "control/control.h"
#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

enum batch_op {
    BATCH_UPLOAD_OPEN,  /* json_in: {"purpose":..,"filename":..} */
    BATCH_UPLOAD_DATA,  /* id, bytes */
    BATCH_UPLOAD_CLOSE, /* id */
    BATCH_UPLOAD_ABORT, /* id */
    BATCH_FILE_GET,
    BATCH_FILE_LIST, /* id, length: as for BATCH_JOB_LIST */
    BATCH_FILE_READ, /* id, offset, length */
    BATCH_FILE_DELETE,
    BATCH_JOB_CREATE, /* json_in: the request body; idempotency_key */
    BATCH_JOB_GET,
    BATCH_JOB_LIST, /* id: last job of the previous page (empty: none);
                       length: maximum number of jobs (0: default) */
    BATCH_JOB_CANCEL,
};

struct batch_request {
    struct base_call call;
    void (*answered)(struct batch_request *request, void *task_state);
    void *context;
    /* request */
    enum batch_op op;
    char operator_name[BASE_NAME_SIZE];
    char id[80];
    char idempotency_key[80];
    char *json_in;
    GBytes *bytes; /* in for UPLOAD_DATA, out for FILE_READ */
    int64_t offset;
    int64_t length;    /* FILE_READ: number of bytes to read; 0: 1 MiB */
    uint64_t download; /* FILE_READ: number of the download; 0: the value of
                          the `context` pointer is used instead */
    /* response */
    int status;                /* HTTP status code */
    enum base_verdict verdict; /* whether the operation ran */
    char *json_out;
    bool is_end; /* FILE_READ: no bytes follow */
};

struct batch;

struct batch_request *batch_request_new(enum batch_op op,
                                        const char *operator_name);
void batch_request_free(struct batch_request *request);
void batch_request_send(struct batch *batch, struct batch_request *request,
                        struct base_task *from,
                        void (*answered)(struct batch_request *request,
                                         void *task_state));

struct batch_desc {
    const char *node;
    const char *zone;
    const char *source; /* local IP for connections; NULL: any */
    struct platform *platform;
    struct control *control;
    struct bulk *bulk;
    struct base_counters *counters;
    struct base_tracer *tracer;
    bool is_runner;         /* claims and runs shards */
    int64_t maintenance_ms; /* time between scans of all records; 0: 600,000 */
    int64_t orphan_age_s;   /* unreferenced chunks are removed at this age;
                               0: 86,400 */
};

struct batch *batch_start(const struct batch_desc *desc,
                          struct base_error *err);
void batch_update(struct batch *batch, struct world *world,
                  struct members_view *view);
/* Stops claiming shards, lets running items finish, commits their results and
 * releases the shards to other runners.  batch_is_idle returns true once
 * nothing is left. */
void batch_drain(struct batch *batch);
bool batch_is_idle(struct batch *batch);
void batch_stop(struct batch *batch);

#ifdef __cplusplus
}
#endif

#endif
