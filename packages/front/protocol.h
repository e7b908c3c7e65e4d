/*
 * protocol: header names, calls and encodings that a site uses between
 * callers, the front and backend servers.  A site is an installation that is
 * configured from outside and whose servers register themselves.  A front with
 * a protocol serves its routes by host and path.  A protocol only names
 * headers, recognizes calls and converts batch jobs to and from bytes; the
 * front makes all decisions.
 *
 *     front_start(&(struct front_desc){.protocol = &my_protocol, ...}, &err);
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

/* Calls that the front handles itself instead of routing them. */
enum front_protocol_call {
    FRONT_CALL_NONE, /* a request for a route */
    FRONT_CALL_READY,
    FRONT_CALL_JOB_RESULTS,
    FRONT_CALL_JOB_INPUT, /* the body of one item */
    FRONT_CALL_JOB_END,
};

/* What the headers of a request say about its prompt; 0: unknown. */
struct front_protocol_prompt {
    int input_tokens;
    int output_tokens;   /* upper limit */
    uint64_t shared_key; /* hash of the prefix that other prompts may share;
                            0: none */
};

struct front_protocol {
    /* request headers */
    const char *request_id;      /* id of one try of a client; sent back */
    const char *deadline_ms;     /* time that the client waits from now */
    const char *expected_server; /* any other server refuses the request */
    const char *last_event_id;   /* a stream resumes after this event */
    const char *wait_ms;         /* maximum delay of a read of job results */
    const char *api_key;         /* the caller's API key; NULL: none */
    /* To servers: the name of the caller's operator; NULL: not sent. */
    const char *operator_name;
    /* response headers */
    const char *refused_not_run; /* the server did not run the request */
    const char *request_limit; /* requests a second that the server takes from
                                  all nodes together; NULL: none say so */
    const char *leaving; /* value 1: the server leaves; NULL: none say so */
    const char *const *relayed_headers; /* copied to the caller unchanged;
                                           ends with NULL */
    int misdirected_status; /* status from a server that is not the expected
                               one */
    /* Returns the call of a method and path; *id is the part of the path that
     * follows the call's prefix, or "". */
    enum front_protocol_call (*find_call)(const char *method, const char *path,
                                          const char **id);
    /* Reads the prompt's figures from the headers; the callback `header`
     * returns a header's value by name, or NULL. */
    void (*read_prompt)(const char *(*header)(const void *context,
                                              const char *name),
                        const void *context,
                        struct front_protocol_prompt *out);
    /* Reads the parts of the prompt that other requests may share.  NULL:
     * prompts have no parts. */
    void (*read_parts)(const char *(*header)(const void *context,
                                             const char *name),
                       const void *context, struct quarantine_parts *out);
    /* batch jobs */
    const char *results_after; /* query parameter: first position to read */
    const char *input_item;    /* query parameter: item to read */
    /* Returns the job of a request body, or NULL with err set. */
    struct jobs_job *(*decode_job)(const char *id, const char *body,
                                   size_t size, struct base_error *err);
    /* Returns the response body; the caller frees it. */
    GString *(*encode_results)(const struct jobs_answer *answer);
};

#ifdef __cplusplus
}
#endif

#endif
