#include <string.h>

#include "backends/backends_private.h"

enum {
    /* The library's own limits would cut long requests; the calls' timers
     * are the ones that count. */
    LIBRARY_TIMEOUT_S = 24 * 3600,
    SERVICE_BUFFER_SIZE = BACKENDS_READ_SIZE,
    /* The library searches its table of descriptors from end to end for each
     * connection, so a larger table makes every connection slower. */
    FD_LIMIT = 4096,
};

static const struct lws_protocols PROTOCOLS[] = {
    {"backends", backends_http_callback, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

/* Sets what backends needs of a context's info; the owner sets the rest
 * before or after. */
void
backends_prepare_info(struct lws_context_creation_info *info)
{
    info->options |= LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info->pt_serv_buf_size = SERVICE_BUFFER_SIZE;
    info->max_http_header_data = BACKENDS_HEAD_SIZE;
    info->max_http_header_pool = FD_LIMIT;
    info->fd_limit_per_thread = FD_LIMIT;
    info->count_threads = 1;
}

/* Adds a vhost for outgoing connections to the owner's context.  Fails with
 * BASE_INTERNAL. */
bool
backends_init(struct backends *backends, const struct backends_desc *desc,
              struct base_error *err)
{
    struct lws_context_creation_info info = {
        .port = CONTEXT_PORT_NO_LISTEN,
        .vhost_name = "backends",
        .protocols = PROTOCOLS,
        .timeout_secs = LIBRARY_TIMEOUT_S,
        .connect_timeout_secs = LIBRARY_TIMEOUT_S,
    };

    memset(backends, 0, sizeof(*backends));
    backends->lws = desc->context;
    backends->counters = desc->counters;
    backends->source = g_strdup(desc->source);
    backends->vhost = lws_create_vhost(desc->context, &info);
    if (backends->vhost == NULL) {
        base_error_set(err, BASE_INTERNAL, "no vhost for backends");
        return false;
    }
    base_table_init(&backends->calls, sizeof(struct backends_call *));
    backends->read_buffer = g_malloc(LWS_PRE + BACKENDS_READ_SIZE);
    return true;
}

/* Cancels all calls.  The context may be destroyed afterwards. */
void
backends_finish(struct backends *backends)
{
    uint32_t cursor = 0;
    struct base_handle handle;

    while ((handle = base_table_next(&backends->calls, &cursor)).generation !=
           0) {
        backends_cancel(backends, handle);
    }
    base_table_finish(&backends->calls);
    g_free(backends->source);
    g_free(backends->read_buffer);
    backends->read_buffer = NULL;
}

static void
connect_call(struct backends_call *call,
             const struct backends_request *request)
{
    char host[256];
    struct lws_client_connect_info info = {
        .context = call->owner->lws,
        .vhost = call->owner->vhost,
        .address = request->host,
        .port = request->port,
        .path = request->path,
        .host = host,
        .method = request->method,
        .local_protocol_name = PROTOCOLS[0].name,
        .alpn = "http/1.1",
        /* A redirect followed by the library would send the request twice. */
        .ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
        .opaque_user_data = call,
        .pwsi = &call->wsi,
        .iface = call->owner->source,
    };

    g_snprintf(host, sizeof(host), "%s:%d", request->host, request->port);
    if (request->host_header != NULL) {
        g_strlcpy(host, request->host_header, sizeof(host));
    }
    if (lws_client_connect_via_info(&info) == NULL) {
        call->wsi = NULL;
        backends_call_fail(call, BASE_UNAVAILABLE, "no connection");
        backends_call_end_soon(call);
    }
}

/* Starts a request.  Its copy of the request is complete on return.  Fails
 * with BASE_INVALID, and then done is not called. */
struct base_handle
backends_send(struct backends *backends,
              const struct backends_request *request, struct base_error *err)
{
    struct base_handle none = {0, 0};
    struct base_handle handle;
    struct backends_call *call;

    if (request->host == NULL || request->port <= 0 ||
        request->method == NULL || request->path == NULL ||
        request->ops == NULL || request->ops->done == NULL) {
        base_error_set(err, BASE_INVALID,
                       "host, port, method, path and done "
                       "are needed");
        return none;
    }
    call = backends_call_new(backends, request);
    handle = call->handle;
    backends_call_enter(call, BACKENDS_CONNECTING);
    if (backends->counters != NULL) {
        base_counter_add(
            base_counter(backends->counters, "backend_attempts_total"), 1);
    }
    connect_call(call, request);
    return handle;
}

/* Ends a call and closes its connection; done has run on return.  A call
 * that has ended already is left alone. */
void
backends_cancel(struct backends *backends, struct base_handle handle)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL) {
        return;
    }
    backends_call_fail(call, BASE_TIMEOUT, "cancelled");
    backends_call_end(call);
}

/* Stops reading the answer until backends_resume. */
void
backends_pause(struct backends *backends, struct base_handle handle)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL || call->is_paused || call->wsi == NULL) {
        return;
    }
    call->is_paused = true;
    lws_rx_flow_control(call->wsi, 0);
}

/* Reads on; the silence limit starts anew. */
void
backends_resume(struct backends *backends, struct base_handle handle)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL || !call->is_paused) {
        return;
    }
    call->is_paused = false;
    call->phase_started_ms = base_clock_ms();
    backends_call_schedule(call, call->phase_started_ms);
    lws_rx_flow_control(call->wsi, 1);
}

/* Sets the silence limit of a call that runs. */
void
backends_set_silence(struct backends *backends, struct base_handle handle,
                     int64_t silence_ms)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL || call->silence_ms == silence_ms) {
        return;
    }
    call->silence_ms = silence_ms;
    backends_call_schedule(call, base_clock_ms());
}

/* Copies a header of the answer. */
bool
backends_header(struct backends *backends, struct base_handle handle,
                const char *name, char *out, size_t size)
{
    struct backends_call *call = backends_call_find(backends, handle);
    char with_colon[64];
    int length = g_snprintf(with_colon, sizeof(with_colon), "%s:", name);

    if (call == NULL || call->wsi == NULL) {
        return false;
    }
    return lws_hdr_custom_copy(call->wsi, out, (int)size, with_colon,
                               length) >= 0;
}
