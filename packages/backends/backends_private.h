/*
 * Declarations shared by the sources of backends:
 *
 * backends.c    the public functions and the libwebsockets vhost
 * call.c        a call: its state, time limits and end
 * connection.c  the connection of a call: writes the request, reads and checks
 *               the response
 * response.c    the parser of a response (response.h)
 */
#ifndef CARDAMOM_BACKENDS_PRIVATE_H
#define CARDAMOM_BACKENDS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"
#include "backends/response.h"

enum { BACKENDS_READ_SIZE = 32768 };

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
    struct lws *wsi;
    int fd; /* owned by wsi */
    enum backends_phase phase;
    /* request */
    GString *head; /* freed with the body once both are written */
    char *body;
    size_t head_size;
    size_t body_size;
    size_t n_written;     /* bytes of head and body */
    bool is_write_broken; /* the connection takes no more of the request */
    lws_sorted_usec_list_t write_timer; /* requests the next event to write */
    char *request_id;
    char *id_header;
    char *refusal_header; /* NULL: x-ran: no */
    int refusal_status;
    bool may_end_by_close;
    /* response */
    struct backends_response *response;
    int status;
    bool is_parsing; /* the parser is on the stack */
    bool is_ended;   /* `done` was called; freed when the parser returns */
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
void backends_call_end_soon(struct backends_call *call);
void backends_call_enter(struct backends_call *call,
                         enum backends_phase phase);
void backends_call_schedule(struct backends_call *call, int64_t now_ms);
void backends_call_free(struct backends_call *call);

/* connection.c */
int backends_connection_event(struct lws *wsi,
                              enum lws_callback_reasons reason, void *user,
                              void *in, size_t length);
void backends_connection_open(struct backends_call *call,
                              const struct backends_request *request);

#endif
