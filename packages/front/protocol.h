/*
 * protocol: how the callers and servers of a site speak, for fronts that serve
 * routes by host and path.  The front decides; an protocol only names headers
 * and calls and turns batch jobs into bytes and back.
 *
 *     front_start(&(struct front_desc){.protocol = &my_edge, ...}, &err);
 *
 * Header names are in lower case.
 */
#ifndef CARDAMOM_FRONT_PROTOCOL_H
#define CARDAMOM_FRONT_PROTOCOL_H

#include "base/base.h"
#include "jobs/jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a call to the front is, beside requests for a route. */
enum front_protocol_call {
    FRONT_CALL_NONE,
    FRONT_CALL_READY,
    FRONT_CALL_JOB_RESULTS,
    FRONT_CALL_JOB_INPUT, /* the body of one item */
    FRONT_CALL_JOB_END,
};

/* A request's prompt, where its headers tell of it. */
struct front_protocol_prompt {
    int input_tokens;
    int output_tokens;   /* the most */
    uint64_t shared_key; /* of the parts that others may share; 0: none */
};

struct front_protocol {
    /* of requests */
    const char *request_id;      /* one for each try of a client; echoed */
    const char *deadline_ms;     /* how long the client waits from now */
    const char *expected_server; /* another server refuses the request */
    const char *last_event_id;   /* a stream goes on after this event */
    const char *wait_ms;         /* how long a read may be held back */
    /* of answers */
    const char *refused_not_run; /* the server did not run the request */
    const char *const
        *relayed_headers;   /* to the caller, as the server sent them */
    int misdirected_status; /* another server than the expected one */
    /* The call of a method and path; id gets what follows the call's path. */
    enum front_protocol_call (*find_call)(const char *method, const char *path,
                                          char *id, size_t id_size);
    /* The prompt; header gives a value by name, or NULL. */
    void (*read_prompt)(const char *(*header)(const void *context,
                                              const char *name),
                        const void *context,
                        struct front_protocol_prompt *out);
    /* batch jobs */
    const char *results_after; /* the query's first position */
    const char *input_item;    /* the query's item */
    struct jobs_job *(*decode_job)(const char *id, const char *body,
                                   size_t size, struct base_error *err);
    GString *(*encode_results)(const struct jobs_answer *answer);
};

#ifdef __cplusplus
}
#endif

#endif
