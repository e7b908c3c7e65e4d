#include "platform/http.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum {
    CONNECTIONS = 64,
    WRITE_BYTES = 16384,
    READ_BYTES = 16384,
    /* A larger one would hide how much of a body the other side has taken. */
    SEND_BUFFER_BYTES = 131072,
    /* Long enough that libwebsockets does not end a long poll; each call has
     * a timer of its own. */
    LIBRARY_TIMEOUT_S = 24 * 3600,
};

struct platform_http_call {
    struct platform_http *http;
    const struct platform_http_ops *ops;
    void *context;
    lws_sorted_usec_list_t timer;
    struct lws *wsi;
    int64_t timeout_ms;
    GString *request_body; /* NULL: none */
    size_t n_written;
    size_t n_since_progress; /* bytes of bodies since the timer was set */
    GString *response_body;
    struct platform_http_result result;
};

static void
free_call(struct platform_http_call *call)
{
    if (call->request_body != NULL) {
        g_string_free(call->request_body, TRUE);
    }
    g_string_free(call->response_body, TRUE);
    g_free(call);
}

/* Detaches the call from its connection, which libwebsockets closes in the
 * next iteration of the event loop. */
static void
close_connection(struct platform_http_call *call)
{
    lws_sul_cancel(&call->timer);
    if (call->wsi == NULL) {
        return;
    }
    lws_set_opaque_user_data(call->wsi, NULL);
    lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                    LWS_TO_KILL_ASYNC);
    call->wsi = NULL;
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
    struct lws_context *lws = call->http->lws;

    close_connection(call);
    lws_sul_schedule(lws, 0, &call->timer, report_done, 1);
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

static void
limit_send_buffer(struct lws *wsi)
{
    int size = SEND_BUFFER_BYTES;

    if (setsockopt(lws_get_socket_fd(wsi), SOL_SOCKET, SO_SNDBUF, &size,
                   sizeof(size)) < 0) {
        base_log(BASE_LOG_DEBUG, "kv.send_buffer", "error=\"%s\"",
                 g_strerror(errno));
    }
}

static int
append_headers(struct platform_http_call *call, struct lws *wsi,
               unsigned char **at, size_t room)
{
    static const char TYPE[] = "application/json";
    unsigned char *end = *at + room;
    char length[24];

    call->result.is_sent = true;
    if (call->request_body == NULL) {
        return 0;
    }
    int size =
        snprintf(length, sizeof(length), "%zu", call->request_body->len);
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                     (const unsigned char *)TYPE,
                                     (int)strlen(TYPE), at, end) ||
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     (const unsigned char *)length, size, at,
                                     end)) {
        return -1;
    }
    limit_send_buffer(wsi);
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

static int
write_body(struct platform_http_call *call, struct lws *wsi)
{
    unsigned char buffer[LWS_PRE + WRITE_BYTES];

    if (call->request_body == NULL ||
        call->n_written == call->request_body->len) {
        return 0;
    }
    size_t left = call->request_body->len - call->n_written;
    size_t size = MIN(left, (size_t)WRITE_BYTES);
    bool is_last = size == left;
    memcpy(buffer + LWS_PRE, call->request_body->str + call->n_written, size);
    if (is_last) {
        lws_client_http_body_pending(wsi, 0);
    }
    if (lws_write(wsi, buffer + LWS_PRE, size,
                  is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    call->n_written += size;
    record_transfer(call, size, false);
    if (!is_last) {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

static void
read_response_head(struct platform_http_call *call, struct lws *wsi)
{
    char value[16];

    call->result.status = (int)lws_http_client_http_response(wsi);
    if (lws_hdr_copy(wsi, value, sizeof(value), WSI_TOKEN_HTTP_RETRY_AFTER) >
        0) {
        call->result.retry_after_s = (int)g_ascii_strtoll(value, NULL, 10);
    }
}

/* Reads from the connection; libwebsockets passes the bytes of the body to
 * LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ. */
static int
read_body(struct lws *wsi)
{
    char buffer[LWS_PRE + READ_BYTES];
    char *at = buffer + LWS_PRE;
    int room = READ_BYTES;

    return lws_http_client_read(wsi, &at, &room) < 0 ? -1 : 0;
}

static int
receive_body(struct platform_http_call *call, const char *data, size_t size)
{
    if (call->ops->data != NULL && call->result.status == 200) {
        arm_timeout(call);
        call->ops->data(call->context, data, size);
        return 0;
    }
    if (call->response_body->len + size > call->http->max_response_bytes) {
        base_log(BASE_LOG_WARNING, "kv.response_too_large",
                 "status=%d limit=%zu", call->result.status,
                 call->http->max_response_bytes);
        return -1;
    }
    g_string_append_len(call->response_body, data, (gssize)size);
    record_transfer(call, size, true);
    return 0;
}

static int
on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct platform_http_call *call = lws_get_opaque_user_data(wsi);

    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return call == NULL ? -1 : append_headers(call, wsi, in, size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call == NULL ? -1 : write_body(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        if (call == NULL) {
            return -1;
        }
        read_response_head(call, wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return call == NULL ? -1 : read_body(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return call == NULL ? -1 : receive_body(call, in, size);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        if (call != NULL) {
            call->result.is_complete = true;
            finish_call(call);
        }
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        if (call != NULL) {
            call->wsi = NULL;
            lws_set_opaque_user_data(wsi, NULL);
            finish_call(call);
        }
        return 0;
    default:
        return 0;
    }
}

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
    return on_event(wsi, reason, user, in, size);
}

/* Creates the libwebsockets context; http->woken must be set before.  Fails
 * with BASE_INTERNAL. */
bool
platform_http_init(struct platform_http *http, struct base_error *err)
{
    static const struct lws_protocols PROTOCOLS[] = {
        {"platform", on_loop_event, 0, READ_BYTES, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0}};
    struct lws_context_creation_info info;

    lws_set_log_level(LLL_ERR, NULL);
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = PROTOCOLS;
    info.gid = (gid_t)-1;
    info.uid = (uid_t)-1;
    info.user = http;
    info.timeout_secs = LIBRARY_TIMEOUT_S;
    info.timeout_secs_ah_idle = LIBRARY_TIMEOUT_S;
    info.connect_timeout_secs = LIBRARY_TIMEOUT_S;
    info.fd_limit_per_thread = CONNECTIONS;
    info.http_proxy_address = "none:0"; /* ignore $http_proxy */
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    http->lws = lws_create_context(&info);
    if (http->lws == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "cannot create the platform's libwebsockets context");
        return false;
    }
    http->vhost = lws_create_vhost(http->lws, &info);
    if (http->vhost == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "cannot create the platform's libwebsockets vhost");
        lws_context_destroy(http->lws);
        return false;
    }
    return true;
}

/* Frees the context; all calls must have ended or been cancelled. */
void
platform_http_finish(struct platform_http *http)
{
    lws_context_destroy(http->lws);
    http->lws = NULL;
}

static void
connect_call(struct platform_http_call *call,
             const struct platform_http_request *request)
{
    struct lws_client_connect_info info;
    const char *colon = strrchr(request->address, ':');

    if (colon == NULL) {
        finish_call(call);
        return;
    }
    char *host =
        g_strndup(request->address, (gsize)(colon - request->address));
    memset(&info, 0, sizeof(info));
    info.context = call->http->lws;
    info.vhost = call->http->vhost;
    info.address = host;
    info.port = (int)g_ascii_strtoll(colon + 1, NULL, 10);
    info.path = request->path;
    info.host = request->address;
    info.method = request->method;
    info.local_protocol_name = "platform";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = call;
    info.iface = call->http->source;
    arm_timeout(call);
    struct lws *wsi = lws_client_connect_via_info(&info);
    g_free(host);
    if (wsi == NULL) {
        finish_call(call);
    }
    else if (lws_get_opaque_user_data(wsi) == call) {
        call->wsi = wsi;
    }
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
    call->request_body = request->body;
    call->timeout_ms = request->timeout_ms;
    call->response_body = g_string_new(NULL);
    connect_call(call, request);
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
