/*
 * Declarations shared by the sources of backends:
 *
 * backends.c    the public functions and the libwebsockets vhost
 * call.c        a call: its state, time limits and end
 * connection.c  the events of a call's connection: checks the response
 */
#ifndef CARDAMOM_BACKENDS_PRIVATE_H
#define CARDAMOM_BACKENDS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"
#include "httpc/httpc.h"

enum backends_phase {
    BACKENDS_CONNECTING,
    BACKENDS_WAITING, /* bytes may have been sent; no whole head yet */
    BACKENDS_READING, /* the response's head has arrived */
};

struct backends_call {
    struct backends *owner;
    struct base_handle handle;
    const struct backends_ops *ops;
    void *context;
    struct httpc_connection *connection; /* NULL: ended */
    enum backends_phase phase;
    /* request */
    char *request_id;
    char *id_header;
    char *refusal_header; /* NULL: x-ran: no */
    int refusal_status;
    bool may_end_by_close;
    /* response */
    int status;
    bool is_refused_not_run;
    bool is_complete;
    bool is_failed; /* err has the reason */
    struct base_error err;
    /* time limits */
    lws_sorted_usec_list_t timer;
    int64_t connect_ms;
    int64_t first_byte_ms;
    int64_t silence_ms;
    int64_t deadline_ms;
    /* The phase's limit counts from here: the start of the phase, the last
     * received byte of the body or the last resume, whichever is latest. */
    int64_t limit_since_ms;
    bool is_paused;
};

/* call.c */
struct backends_call *backends_call_find(struct backends *backends,
                                         struct base_handle handle);
struct backends_call *
backends_call_new(struct backends *backends,
                  const struct backends_request *request);
void backends_call_fail(struct backends_call *call, enum base_code code,
                        const char *text);
void backends_call_end(struct backends_call *call);
void backends_call_enter(struct backends_call *call,
                         enum backends_phase phase);
void backends_call_schedule(struct backends_call *call, int64_t now_ms);

/* connection.c */
void backends_connection_open(struct backends_call *call,
                              const struct backends_request *request);

#endif
