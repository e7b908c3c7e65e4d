/*
 * httpc: connections that each carry one HTTP/1.1 request and its response.
 * backends and platform use it.  It runs on the owner's libwebsockets context,
 * which waits for the events of the sockets; reading and writing is done here,
 * since the library's HTTP client formats the request line into 2 KB, parses
 * heads up to a size that is set for all connections, knows few methods and
 * encodings, and reports a reset as a close.
 *
 *     static const struct lws_protocols PROTOCOLS[] = {
 *         {"calls", httpc_on_event, 0, 0, 0, NULL, 0}, ...};
 *     httpc_init(&httpc, &(struct httpc_desc){
 *         .context = lws, .vhost = vhost, .protocol = "calls"});
 *     connection = httpc_open(&httpc, &(struct httpc_request){
 *         .ops = &OPS, .owner = my, .host = "127.0.0.1", .port = 80,
 *         .method = "GET", .path = "/"});
 *     ... calls ops->connected, ->head, ->body several times, ->ended ...
 *     httpc_finish(&httpc);
 *
 * A connection has no time limits: its owner closes it with httpc_close, from
 * any callback too, and no callback runs after that.  After ops->ended it is
 * gone.  All functions run on the context's service thread; no callback runs
 * before httpc_open has returned.
 */
#ifndef CARDAMOM_HTTPC_H
#define CARDAMOM_HTTPC_H

#include <libwebsockets.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum httpc_end {
    HTTPC_COMPLETE, /* the response's end was marked */
    HTTPC_CLOSED,   /* a response with neither a length nor chunks, and then an
                       orderly close */
    HTTPC_BROKEN,   /* refused, reset, cut off or not HTTP */
};

struct httpc_connection;

/* Callbacks of a connection; `owner` is the request's. */
struct httpc_ops {
    /* From here on the server may have received the request.  May be NULL. */
    void (*connected)(void *owner);
    /* The connection has taken more bytes of the request's body.  May be
     * NULL. */
    void (*written)(void *owner, size_t n_bytes);
    /* The head of the final response is complete.  status: 101, or from 200 to
     * 599; 0: not valid. */
    void (*head)(void *owner, int status);
    void (*body)(void *owner, const char *data, size_t size);
    /* reason: why it is HTTPC_BROKEN, else NULL. */
    void (*ended)(void *owner, enum httpc_end end, const char *reason);
};

struct httpc_request {
    const struct httpc_ops *ops;
    void *owner;
    const char *host; /* an IPv4 address */
    int port;
    /* The owner has checked that these have no character that would end them.
     */
    const char *method;
    const char *path;
    const char *host_header;    /* NULL: host:port */
    const char *content_type;   /* of a request with a body; "": none */
    const char *const *headers; /* name, value, ..., NULL; or NULL */
    const char *body;           /* copied */
    size_t body_size;
    int send_buffer_bytes; /* of the socket; 0: chosen by the system */
};

struct httpc_desc {
    struct lws_context *context;
    struct lws_vhost *vhost;
    const char *protocol; /* name of the vhost's protocol whose callback is or
                             calls httpc_on_event; outlives httpc */
    const char *source;   /* IP address to connect from; NULL: any */
};

struct httpc {
    struct lws_context *lws;
    struct lws_vhost *vhost;
    const char *protocol;
    char *source;
    char *read_buffer;
};

enum { HTTPC_READ_SIZE = 32768 };

void httpc_init(struct httpc *httpc, const struct httpc_desc *desc);
void httpc_finish(struct httpc *httpc);
struct httpc_connection *httpc_open(struct httpc *httpc,
                                    const struct httpc_request *request);
void httpc_close(struct httpc_connection *connection);
void httpc_pause(struct httpc_connection *connection);
void httpc_resume(struct httpc_connection *connection);
const char *httpc_header(const struct httpc_connection *connection,
                         const char *name);
bool httpc_is_request_taken(const struct httpc_connection *connection);
int httpc_on_event(struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t length);

#ifdef __cplusplus
}
#endif

#endif
