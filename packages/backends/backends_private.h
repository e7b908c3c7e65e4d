/*
 * What the sources of this package share: one call and its way through the
 * connection's callbacks.
 */
#ifndef CARDAMOM_BACKENDS_PRIVATE_H
#define CARDAMOM_BACKENDS_PRIVATE_H

#include <libwebsockets.h>

#include "backends/backends.h"

enum backends_phase {
    BACKENDS_CONNECTING,
    BACKENDS_WAITING, /* the request may be on its way; no answer yet */
    BACKENDS_READING,
};

/* How the end of an answer's body is marked. */
enum backends_framing {
    BACKENDS_BY_CLOSE, /* not at all: never known to be whole */
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
    /* the question */
    char *body; /* freed once it is written */
    size_t body_size;
    size_t body_written;
    char *content_type;
    char **headers; /* name, value, ..., NULL */
    char *request_id;
    char *id_header;
    char *refusal_header; /* NULL: x-ran: no */
    int refusal_status;
    bool is_head_method;
    /* the answer */
    int status;
    enum backends_framing framing;
    int64_t body_expected; /* in bytes, by length */
    int64_t body_received;
    bool is_reading;
    bool is_at_close; /* the current read met the peer's close, not bytes */
    bool is_refused_not_run;
    bool is_complete;
    bool is_failed; /* err says why */
    struct base_error err;
    /* time */
    lws_sorted_usec_list_t timer;
    int64_t connect_ms;
    int64_t first_byte_ms;
    int64_t silence_ms;
    int64_t deadline_ms;
    int64_t phase_started_ms; /* or the last byte read */
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
/* One read takes all that the library may have kept beside the head. */
enum { BACKENDS_READ_SIZE = 32768 };

#endif
