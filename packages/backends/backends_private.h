/*
 * Declarations shared by the sources of backends:
 *
 * backends.c   the public functions and the libwebsockets vhost
 * call.c       a call: its state, time limits and end
 * http.c       libwebsockets' events on a call's connection
 */
#ifndef CARDAMOM_BACKENDS_PRIVATE_H
#define CARDAMOM_BACKENDS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"

enum backends_phase {
    BACKENDS_CONNECTING,
    BACKENDS_WAITING, /* bytes may have been sent; no response yet */
    BACKENDS_READING, /* the response's head has arrived */
};

/* How the end of a response's body is marked. */
enum backends_framing {
    BACKENDS_BY_CLOSE, /* not marked: a truncated body can't be detected */
    BACKENDS_BY_LENGTH,
    BACKENDS_BY_CHUNKS,
};

struct backends_call {
    struct backends *owner;
    struct base_handle handle;
    const struct backends_ops *ops;
    void *context;
    struct lws *wsi;
    enum backends_phase phase;
    /* request */
    char *body; /* freed once it is written */
    size_t body_size;
    size_t body_written;
    char *content_type;
    char **headers; /* name, value, ..., NULL */
    char *request_id;
    char *id_header;
    char *refusal_header; /* NULL: x-ran: no */
    int refusal_status;
    bool may_end_by_close;
    bool is_head_method;
    /* response */
    int status;
    enum backends_framing framing;
    int64_t body_expected; /* bytes; only with BACKENDS_BY_LENGTH */
    int64_t body_received;
    int n_empty_reads; /* since the last byte of the body */
    bool is_reading;   /* lws_http_client_read is on the stack */
    bool is_at_close;  /* the current read found only the peer's close */
    bool is_reset;     /* that close was a reset */
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

/* http.c */
int backends_http_callback(struct lws *wsi, enum lws_callback_reasons reason,
                           void *user, void *in, size_t length);
/* At least as many bytes as libwebsockets may have read together with the
 * head, so that one read passes on all of them. */
enum { BACKENDS_READ_SIZE = 32768 };

#endif
