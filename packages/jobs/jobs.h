/*
 * jobs: small batch jobs, submitted whole and kept whole in the key-value
 * service.  Large ones come as files and belong to `batch`.
 *
 *     struct jobs_request *r = jobs_request_new(JOBS_SUBMIT, id);
 *     r->job = job;                       // taken over
 *     jobs_request_send(jobs, r, &my_task, on_answer);
 *
 * A job is one head record, which all changes go through by compare-and-swap,
 * its input, and its results in the order in which they were listed; what has
 * a position there keeps it.  The node that accepted a job runs its items
 * under batch contracts.  A node whose lease ended loses its jobs to others:
 * the head's epoch then makes all its later writes fail, so nothing is listed
 * twice.
 */
#ifndef CARDAMOM_JOBS_H
#define CARDAMOM_JOBS_H

#include "base/base.h"
#include "control/control.h"
#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    JOBS_ID_SIZE = 80,
    JOBS_MAX_ITEMS = 200,
    JOBS_MAX_WAIT_MS = 1000, /* that a read may be held back */
};

struct jobs_item {
    char id[JOBS_ID_SIZE];
    char *path;
    GPtrArray *headers; /* name, value, ... */
    GBytes *body;
    int64_t tokens; /* of the prompt and, at most, of the output */
};

struct jobs_job {
    char id[JOBS_ID_SIZE];
    char *host; /* of the route that it came on */
    char *path;
    GPtrArray *items; /* of struct jobs_item */
    GBytes *text;     /* as submitted; what is kept of it */
};

struct jobs_job *jobs_job_new(const char *id);
void jobs_job_free(struct jobs_job *job);
struct jobs_item *jobs_job_add(struct jobs_job *job);

enum jobs_op {
    JOBS_SUBMIT,
    JOBS_RESULTS, /* from the position `after` on */
    JOBS_INPUT,   /* the body of `item` */
    JOBS_END,
};

enum jobs_status {
    JOBS_OK,
    JOBS_NOT_FOUND,
    JOBS_FULL,        /* too many tokens wait; nothing was accepted */
    JOBS_REFUSED,     /* can't be served now; nothing was done */
    JOBS_UNCERTAIN,   /* no answer; it may have been done */
    JOBS_NOT_ALLOWED, /* the route takes no jobs, or there is none */
};

struct jobs_result {
    char id[JOBS_ID_SIZE]; /* the item's */
    bool is_completed;     /* false: given up */
    char *text;
    size_t size;
};

/* What a read of results gives. */
struct jobs_answer {
    int total;
    int next;
    GPtrArray *results; /* of struct jobs_result */
};

struct jobs_request {
    struct base_call call;
    void (*answered)(struct jobs_request *request, void *task_state);
    void *context;
    /* the question */
    enum jobs_op op;
    char id[JOBS_ID_SIZE];
    char item[JOBS_ID_SIZE];
    struct jobs_job *job;
    int after;
    int64_t wait_ms;       /* JOBS_RESULTS: until there is one */
    bool is_from_peer;     /* another node asks: only this node's own jobs */
    bool has_tried_runner; /* the jobs task's: its runner was asked in vain */
    /* the answer */
    enum jobs_status status;
    struct jobs_answer answer;
    GBytes *body;
    struct base_error err;
    GList link; /* the jobs task's */
    int64_t wait_until_ms;
};

struct jobs_request *jobs_request_new(enum jobs_op op, const char *id);
void jobs_request_free(struct jobs_request *request);

struct jobs;

void jobs_request_send(struct jobs *jobs, struct jobs_request *request,
                       struct base_task *from,
                       void (*answered)(struct jobs_request *request,
                                        void *task_state));

/* Header names of a site, in lower case. */
struct jobs_header_names {
    const char *request_id;
    const char *expected_server;
    const char *last_event_id;
    const char *refused_not_run;
    int misdirected_status;
};

struct jobs_desc {
    const char *node;
    const char *zone;
    const char *source; /* IP to connect from; NULL: the system's choice */
    struct platform *platform;
    struct control *control;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct jobs_header_names names;
    /* Reads a submitted text again, after it was kept. */
    struct jobs_job *(*decode)(const char *id, const char *text, size_t size,
                               struct base_error *err);
    const char *rpc_address; /* "IP:port" for other nodes' calls; NULL: none */
    const char *public_key_file; /* of the link; NULL: no CURVE */
    const char *secret_key_file;
    const char *peer_keys_file;
    int64_t lease_ms; /* of a runner; 0: 3,000 */
};

struct jobs *jobs_start(const struct jobs_desc *desc, struct base_error *err);
void jobs_update(struct jobs *jobs, struct world *world,
                 struct members_view *view);
/* Gives this node's jobs to others; jobs_is_idle turns true when done. */
void jobs_drain(struct jobs *jobs);
bool jobs_is_idle(struct jobs *jobs);
void jobs_stop(struct jobs *jobs);

#ifdef __cplusplus
}
#endif

#endif
