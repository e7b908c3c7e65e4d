/*
 * batch: jobs that finish exactly once.  It runs as one task that owns the
 * jobs' records in the key-value service, runs shards under bulk contracts
 * and answers the front's requests about files and jobs.
 *
 * The front sends a batch_request and gets back a status and JSON, both in
 * the published OpenAI shape; large bodies pass in pieces:
 *
 *     BATCH_UPLOAD_OPEN -> id, BATCH_UPLOAD_DATA (bytes) ... ,
 *     BATCH_UPLOAD_CLOSE -> the file object, or the faulty line
 *     BATCH_FILE_READ (offset, length) -> bytes, is_end
 *
 * The results of a job can be read while they are produced.  All reads of
 * one download carry the same `download` number and see what was committed
 * at its beginning; a read may return fewer bytes than asked for.
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
    BATCH_FILE_LIST,
    BATCH_FILE_READ, /* id, offset, length */
    BATCH_FILE_DELETE,
    BATCH_JOB_CREATE, /* json_in: the request body; idempotency_key */
    BATCH_JOB_GET,
    BATCH_JOB_LIST, /* id: after this one; length: at most so many */
    BATCH_JOB_CANCEL,
};

struct batch_request {
    struct base_call call;
    void (*answered)(struct batch_request *request, void *task_state);
    void *context;
    enum batch_op op;
    char operator_name[64];
    char id[80];
    char idempotency_key[80];
    char *json_in;
    GBytes *bytes; /* in for UPLOAD_DATA, out for FILE_READ */
    int64_t offset;
    int64_t length;
    uint64_t download; /* FILE_READ: of one reader; 0: `context` tells */
    /* the answer */
    int status; /* HTTP */
    enum base_verdict verdict;
    char *json_out;
    bool is_end;
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
    const char *source; /* IP to connect from; NULL: the system's choice */
    struct platform *platform;
    struct control *control;
    struct bulk *bulk;
    struct base_counters *counters;
    struct base_tracer *tracer;
    bool is_runner;
    int64_t maintenance_ms; /* between walks over all records; 0: 600,000 */
    int64_t orphan_age_s;   /* of a chunk that nothing refers to; 0: 86,400 */
};

struct batch *batch_start(const struct batch_desc *desc,
                          struct base_error *err);
void batch_update(struct batch *batch, struct world *world,
                  struct members_view *view);
/* Stops taking shards; finishes, hands over and commits what is running.
 * batch_is_idle turns true when nothing is left. */
void batch_drain(struct batch *batch);
bool batch_is_idle(struct batch *batch);
void batch_stop(struct batch *batch);

#ifdef __cplusplus
}
#endif

#endif
