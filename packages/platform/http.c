#include "platform/http.h"

#include <string.h>

enum {
    CONNECTIONS = 64,
    FIRST_FINAL_STATUS = 200,
    /* A larger one would hide how much of a body the other side has taken. */
    SEND_BUFFER_BYTES = 131072,
    /* Long enough that libwebsockets does not end a long poll; each call has
     * a timer of its own. */
    LIBRARY_TIMEOUT_S = 24 * 3600,
};

#define PROTOCOL "platform"

struct platform_http_call {
    struct platform_http *http;
    const struct platform_http_ops *ops;
    void *context;
    lws_sorted_usec_list_t timer;
    struct httpc_connection *connection; /* NULL: ended */
    int64_t timeout_ms;
    size_t n_since_progress; /* bytes of bodies since the timer was set */
    GString *response_body;
    struct platform_http_result result;
};

static void
free_call(struct platform_http_call *call)
{
    g_string_free(call->response_body, TRUE);
    g_free(call);
}

static void
close_connection(struct platform_http_call *call)
{
    lws_sul_cancel(&call->timer);
    if (call->connection != NULL) {
        httpc_close(call->connection);
        call->connection = NULL;
    }
}

static void
report_done(lws_sorted_usec_list_t *timer)
{
    struct platform_http_call *call =
        lws_container_of(timer, struct platform_http_call, timer);

    close_connection(call);
    call->result.body = call->response_body->str;
    call->result.size = call->response_body->len;
    call->ops->done(call->context, &call->result);
    free_call(call);
}

/* Ends the call.  ops->done runs from the event loop, so that it never runs
 * inside another function of its caller. */
static void
finish_call(struct platform_http_call *call)
{
    close_connection(call);
    lws_sul_schedule(call->http->lws, 0, &call->timer, report_done, 1);
}

static void
arm_timeout(struct platform_http_call *call)
{
    lws_sul_schedule(call->http->lws, 0, &call->timer, report_done,
                     (lws_usec_t)call->timeout_ms * LWS_US_PER_MS);
}

/* Counts bytes of a body that were sent or received; enough of them start the
 * time limit anew. */
static void
record_transfer(struct platform_http_call *call, size_t size, bool is_response)
{
    call->n_since_progress += size;
    if (call->n_since_progress < PLATFORM_HTTP_PROGRESS_BYTES) {
        return;
    }
    call->n_since_progress = 0;
    if (call->ops->progress != NULL) {
        call->ops->progress(call->context, is_response);
    }
    arm_timeout(call);
}

/* ---- events of the connection ---- */

static void
on_connected(void *owner)
{
    struct platform_http_call *call = owner;

    call->result.is_sent = true;
}

static void
on_written(void *owner, size_t n_bytes)
{
    record_transfer(owner, n_bytes, false);
}

static void
on_head(void *owner, int status)
{
    struct platform_http_call *call = owner;
    const char *retry_after = httpc_header(call->connection, "retry-after");

    if (status < FIRST_FINAL_STATUS) {
        base_log(BASE_LOG_WARNING, "kv.bad_status", "status=%d", status);
        finish_call(call);
        return;
    }
    call->result.status = status;
    if (retry_after != NULL) {
        call->result.retry_after_s =
            (int)CLAMP(g_ascii_strtoll(retry_after, NULL, 10), 0, INT_MAX);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct platform_http_call *call = owner;

    if (call->ops->data != NULL && call->result.status == 200) {
        arm_timeout(call);
        call->ops->data(call->context, data, size);
        return;
    }
    if (call->response_body->len + size > call->http->max_response_bytes) {
        base_log(BASE_LOG_WARNING, "kv.response_too_large",
                 "status=%d limit=%zu", call->result.status,
                 call->http->max_response_bytes);
        finish_call(call);
        return;
    }
    g_string_append_len(call->response_body, data, (gssize)size);
    record_transfer(call, size, true);
}

/* A response with neither a length nor chunks is whole when the other side
 * closes: what was cut off is no valid text, and is refused by its decoder. */
static void
on_ended(void *owner, enum httpc_end end, const char *reason)
{
    struct platform_http_call *call = owner;

    call->result.is_complete = end != HTTPC_BROKEN;
    if (reason != NULL) {
        base_log(BASE_LOG_DEBUG, "kv.broken", "status=%d reason=\"%s\"",
                 call->result.status, reason);
    }
    finish_call(call);
}

static const struct httpc_ops OPS = {
    .connected = on_connected,
    .written = on_written,
    .head = on_head,
    .body = on_body,
    .ended = on_ended,
};

static int
on_loop_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
              void *in, size_t size)
{
    struct platform_http *http;

    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
        http = lws_context_user(lws_get_context(wsi));
        http->woken(http->context);
        return 0;
    }
    return httpc_on_event(wsi, reason, user, in, size);
}

/* ---- public functions ---- */

/* Creates the libwebsockets context; http->woken must be set before.  Fails
 * with BASE_INTERNAL. */
bool
platform_http_init(struct platform_http *http, struct base_error *err)
{
    static const struct lws_protocols PROTOCOLS[] = {
        {PROTOCOL, on_loop_event, 0, 0, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0}};
    struct lws_context_creation_info info;
    struct lws_vhost *vhost;

    lws_set_log_level(LLL_ERR, NULL);
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = PROTOCOLS;
    info.gid = (gid_t)-1;
    info.uid = (uid_t)-1;
    info.user = http;
    info.timeout_secs = LIBRARY_TIMEOUT_S;
    info.connect_timeout_secs = LIBRARY_TIMEOUT_S;
    info.fd_limit_per_thread = CONNECTIONS;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    http->lws = lws_create_context(&info);
    if (http->lws == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "cannot create the platform's libwebsockets context");
        return false;
    }
    vhost = lws_create_vhost(http->lws, &info);
    if (vhost == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "cannot create the platform's libwebsockets vhost");
        lws_context_destroy(http->lws);
        return false;
    }
    httpc_init(&http->httpc, &(struct httpc_desc){.context = http->lws,
                                                  .vhost = vhost,
                                                  .protocol = PROTOCOL,
                                                  .source = http->source});
    return true;
}

/* Frees the context; all calls must have ended or been cancelled. */
void
platform_http_finish(struct platform_http *http)
{
    httpc_finish(&http->httpc);
    lws_context_destroy(http->lws);
    http->lws = NULL;
}

/* Opens the connection of a call. */
static void
connect_call(struct platform_http_call *call,
             const struct platform_http_request *request)
{
    const char *colon = strrchr(request->address, ':');
    char *host;

    if (colon == NULL) {
        finish_call(call);
        return;
    }
    host = g_strndup(request->address, (gsize)(colon - request->address));
    arm_timeout(call);
    call->connection = httpc_open(
        &call->http->httpc,
        &(struct httpc_request){
            .ops = &OPS,
            .owner = call,
            .host = host,
            .port = (int)g_ascii_strtoll(colon + 1, NULL, 10),
            .method = request->method,
            .path = request->path,
            .content_type = "application/json",
            .body = request->body != NULL ? request->body->str : NULL,
            .body_size = request->body != NULL ? request->body->len : 0,
            .send_buffer_bytes = request->body != NULL ? SEND_BUFFER_BYTES : 0,
        });
    g_free(host);
}

/* Sends a request and passes the result to ops->done.  Until then the caller
 * may cancel the returned call. */
struct platform_http_call *
platform_http_send(struct platform_http *http,
                   const struct platform_http_request *request)
{
    struct platform_http_call *call = g_new0(struct platform_http_call, 1);

    call->http = http;
    call->ops = request->ops;
    call->context = request->context;
    call->timeout_ms = request->timeout_ms;
    call->response_body = g_string_new(NULL);
    connect_call(call, request);
    if (request->body != NULL) {
        g_string_free(request->body, TRUE);
    }
    return call;
}

/* Changes the longest time without progress, from the next progress on. */
void
platform_http_set_timeout(struct platform_http_call *call, int64_t timeout_ms)
{
    call->timeout_ms = timeout_ms;
}

/* Closes the call's connection and frees the call; ops->done does not run.
 * Must not be called from ops->done of the same call. */
void
platform_http_cancel(struct platform_http_call *call)
{
    close_connection(call);
    free_call(call);
}
