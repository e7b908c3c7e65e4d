/*
 * jobs: small batch jobs.  A job is submitted in one request and stored
 * completely in the key-value service.  Large jobs are uploaded as files and
 * belong to `batch`.
 *
 *     struct jobs_request *r = jobs_request_new(JOBS_SUBMIT, id);
 *     r->job = job;                       // r now owns the job
 *     jobs_request_send(jobs, r, &my_task, on_answer);
 *     ... on_answer runs on my_task: r->status, r->answer, r->body ...
 *     jobs_request_free(r);
 *
 * A stored job consists of a head record, its input, and its list of results
 * in the order in which they were committed.  Every change goes through a
 * compare-and-swap of the head.  The position of a result in the list never
 * changes.
 *
 * Every call about a job goes to its home, a node that all nodes compute from
 * the job's id (home.h).  The home accepts the job and is its runner: it sends
 * the job's items to backend servers under batch contracts.  A long job, or
 * one that a node has no memory for, is stored without a runner, and a home
 * claims it once it has memory.  A runner with open jobs holds a lease.  When
 * a runner stops, the next home claims its jobs and increments their epochs,
 * so that all later writes of the old runner fail and no result is listed
 * twice.
 */
#ifndef CARDAMOM_JOBS_H
#define CARDAMOM_JOBS_H

#include "base/base.h"
#include "base/budget.h"
#include "control/control.h"
#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    JOBS_ID_SIZE = 80,
    JOBS_SUBMISSION_SIZE = 17, /* a random identity, hexadecimal */
    JOBS_MAX_ITEMS = 200,
    JOBS_MAX_WAIT_MS = 1000, /* longest delay of a read without results */
    /* Of an item: path and headers; more than a front takes of a head, unless
     * the configuration allows more. */
    JOBS_MAX_HEAD_BYTES = 28672,
    JOBS_MAX_TOKENS =
        INT32_MAX, /* of an item; the sum of all cannot overflow */
};

struct jobs_item {
    char id[JOBS_ID_SIZE];
    char *path;
    GPtrArray *headers; /* name, value, ... */
    GBytes *body;
    int64_t tokens; /* prompt tokens plus the limit of output tokens */
};

struct jobs_job {
    char id[JOBS_ID_SIZE];
    char *host; /* host and path of the request that submitted the job */
    char *path;
    GPtrArray *items; /* of struct jobs_item */
    GBytes *text;     /* body of the request that submitted the job; stored */
};

struct jobs_job *jobs_job_new(const char *id);
void jobs_job_free(struct jobs_job *job);
void jobs_job_drop_text(struct jobs_job *job);
struct jobs_item *jobs_job_add(struct jobs_job *job);

bool jobs_is_valid_id(const char *id);
bool jobs_can_store(const char *id, const char *host, const char *path,
                    struct base_error *err);

enum jobs_op {
    JOBS_SUBMIT,
    JOBS_RESULTS, /* reads results from position `after` on */
    JOBS_INPUT,   /* reads the request body of `item` */
    JOBS_END,     /* ends the job; listed results remain readable */
    /* between nodes only: what a scan found of the called node's jobs */
    JOBS_CHECK,
};

enum jobs_status {
    JOBS_OK,
    JOBS_NOT_FOUND,
    JOBS_FULL,    /* over the route's limit of waiting tokens; not accepted */
    JOBS_REFUSED, /* cannot be served now; nothing was changed */
    JOBS_UNCERTAIN,   /* no reply from the store; may have taken effect */
    JOBS_NOT_ALLOWED, /* no route, or the route does not accept jobs */
    JOBS_TOO_LARGE,   /* more than the store takes in a transaction */
};

struct jobs_result {
    char id[JOBS_ID_SIZE]; /* item id */
    bool is_completed;     /* false: the item was given up */
    char *text;            /* output; may contain zero bytes */
    size_t size;
    bool is_partial; /* while stored pieces are decoded: the text goes on */
};

/* A page of a job's list of results. */
struct jobs_answer {
    int total;          /* number of items of the job */
    int next;           /* value of `after` for the next read */
    GPtrArray *results; /* of struct jobs_result */
};

/* The head of an open job, as a scan of the store found it. */
struct jobs_check {
    char id[JOBS_ID_SIZE];
    int64_t revision;
    bool is_orphan; /* its runner has stopped */
};

/* A request to the jobs task, for one operation on one job. */
struct jobs_request {
    struct base_call call;
    void (*on_done)(struct jobs_request *request, void *task_state);
    void *context; /* for the sender */
    /* request */
    enum jobs_op op;
    char id[JOBS_ID_SIZE];
    char item[JOBS_ID_SIZE]; /* JOBS_INPUT */
    /* The calling operator; "" if the site has none, or the route is open. */
    char operator_name[WORLD_OPERATOR_NAME_SIZE];
    struct jobs_job *job; /* JOBS_SUBMIT; owned by the request */
    /* JOBS_SUBMIT: revision of the sender's configuration, which has the
     * route; 0: unknown. */
    int64_t config_revision;
    /* JOBS_RESULTS: first position to read; JOBS_END: writes of
     * the head that have failed with a conflict */
    int after;
    int64_t wait_ms;   /* JOBS_RESULTS: longest wait for a result, in ms */
    bool is_from_peer; /* from another node; not forwarded again */
    int n_forwards;    /* nodes that it has been forwarded to */
    char called_node[MEMBERS_NAME_SIZE]; /* the last of them */
    /* A node that it was forwarded to gave no reply, and may serve it late. */
    bool is_unanswered;
    /* JOBS_SUBMIT: identity of this submission of the job; empty if it was
     * never forwarded */
    char submission[JOBS_SUBMISSION_SIZE];
    /* JOBS_CHECK */
    GArray *checks;              /* of struct jobs_check */
    char region[BASE_NAME_SIZE]; /* the checks are of this region's jobs */
    int64_t list_revision;       /* see jobs.proto, Call.revision */
    /* The checks list the jobs after the first and up to the second of these;
     * "": without a bound. */
    char list_after[JOBS_ID_SIZE];
    char list_until[JOBS_ID_SIZE];
    /* reply */
    enum jobs_status status;
    struct jobs_answer answer;
    struct base_budget *answers; /* a reference; answer_bytes are taken */
    int64_t answer_bytes;
    GBytes *body; /* JOBS_INPUT */
    /* JOBS_REFUSED: the node that runs the job; empty: not known */
    char runner_node[MEMBERS_NAME_SIZE];
    struct base_error err;
    /* private to the jobs task */
    bool is_final; /* JOBS_RESULTS: the list that is read cannot change */
    /* Operator of the job whose records are read. */
    char job_operator[WORLD_OPERATOR_NAME_SIZE];
    GList link;            /* entry in the queue of waiting reads */
    int64_t wait_until_ms; /* time when the wait ends, on base_clock_ms */
};

struct jobs_request *jobs_request_new(enum jobs_op op, const char *id);
void jobs_request_free(struct jobs_request *request);

struct jobs;

void jobs_request_send(struct jobs *jobs, struct jobs_request *request,
                       struct base_task *from,
                       void (*on_done)(struct jobs_request *request,
                                       void *task_state));

/* Names of the HTTP headers that the backend servers of an installation use,
 * in lower case. */
struct jobs_header_names {
    const char *request_id;
    const char *expected_server;
    const char *last_event_id;
    /* its presence in a response means that the item did not run */
    const char *refused_not_run;
    /* HTTP status with which a server responds that it is not the expected
     * one; the item did not run */
    int misdirected_status;
    /* requests a second that the server takes from all nodes together; NULL:
     * none say so */
    const char *request_limit;
    const char *leaving; /* value 1: the server leaves; NULL: none say so */
    const char *operator_name; /* names the job's operator; NULL: not sent */
    const char *api_key; /* removed from the headers of items; NULL: none */
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
    /* Parses the stored text of a job; NULL with an error when it is
     * invalid.  Runs on the jobs task. */
    struct jobs_job *(*decode)(const char *id, const char *text, size_t size,
                               struct base_error *err);
    /* Reads the parts of an item's prompt that other requests may share; the
     * callback `header` returns a header's value by name, or NULL.  NULL:
     * prompts have no parts. */
    void (*read_parts)(const char *(*header)(const void *context,
                                             const char *name),
                       const void *context, struct quarantine_parts *out);
    bool cost_routing;       /* estimates the work of items for admission */
    const char *rpc_address; /* "IP:port" for RPCs between nodes; NULL: none */
    /* CURVE keys of the RPC endpoint; NULL: no CURVE */
    const char *public_key_file;
    const char *secret_key_file;
    const char *peer_keys_file;
    int64_t lease_ms;       /* lease of a runner; 0: 3,000 */
    int64_t output_bytes;   /* memory for the outputs of unfinished items; 0:
                               48 MiB */
    int64_t input_bytes;    /* for jobs and their results; 0: 48 MiB */
    int64_t transfer_bytes; /* for values to and from the key-value service at
                               one time; 0: 8 MiB */
    int64_t life; /* start of the process, wall ms; 0: now.  The node's
                     membership record must have the same. */
};

struct jobs *jobs_start(const struct jobs_desc *desc, struct base_error *err);
void jobs_update(struct jobs *jobs, struct world *world,
                 struct members_view *view);
/* Releases this node's jobs to other nodes.  jobs_is_idle returns true once
 * that is done. */
void jobs_drain(struct jobs *jobs);
bool jobs_is_idle(struct jobs *jobs);
void jobs_stop(struct jobs *jobs);

#ifdef __cplusplus
}
#endif

#endif
