#include <string.h>

#include "backends/backends_private.h"
#include "base/http_text.h"

enum {
    /* libwebsockets' own time limits would end long requests, so they are set
     * far beyond the limits of the calls' timers. */
    LIBRARY_TIMEOUT_S = 24 * 3600,
    SERVICE_BUFFER_SIZE = HTTPC_READ_SIZE,
    /* libwebsockets scans its whole table of descriptors for each connection,
     * so a larger table makes every connection slower. */
    FD_LIMIT = 4096,
};

static const struct lws_protocols PROTOCOLS[] = {
    {"backends", httpc_on_event, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

/* Sets the members of a context's info that backends needs.  The owner may set
 * the others before or after this call. */
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
    struct lws_vhost *vhost;

    memset(backends, 0, sizeof(*backends));
    backends->lws = desc->context;
    backends->counters = desc->counters;
    vhost = lws_create_vhost(desc->context, &info);
    if (vhost == NULL) {
        base_error_set(
            err, BASE_INTERNAL,
            "libwebsockets could not create the vhost for backends");
        return false;
    }
    base_table_init(&backends->calls, sizeof(struct backends_call *));
    httpc_init(&backends->httpc, &(struct httpc_desc){
                                     .context = desc->context,
                                     .vhost = vhost,
                                     .protocol = "backends",
                                     .source = desc->source,
                                 });
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
    httpc_finish(&backends->httpc);
}

/* Returns which part of a request would not be sent as it is, and so could be
 * read as another header or request; NULL: none. */
static const char *
find_invalid_part(const struct backends_request *request)
{
    if (!base_http_is_token(request->method) ||
        !base_http_is_target(request->path)) {
        return "method or path";
    }
    if (!base_http_is_value(request->host) ||
        (request->host_header != NULL &&
         !base_http_is_value(request->host_header)) ||
        (request->content_type != NULL &&
         !base_http_is_value(request->content_type))) {
        return "host or content type";
    }
    for (const char *const *pair = request->headers;
         pair != NULL && *pair != NULL; pair += 2) {
        if (!base_http_is_token(pair[0]) || !base_http_is_value(pair[1])) {
            return "header";
        }
    }
    return NULL;
}

/* Starts a call.  The request is copied, so it may be freed after return.
 * Fails with BASE_INVALID; `done` is not called then. */
struct base_handle
backends_send(struct backends *backends,
              const struct backends_request *request, struct base_error *err)
{
    struct base_handle none = {0, 0};
    struct base_handle handle;
    struct backends_call *call;
    const char *part;

    if (request->host == NULL || request->port <= 0 ||
        request->method == NULL || request->path == NULL ||
        request->ops == NULL || request->ops->done == NULL) {
        base_error_set(err, BASE_INVALID,
                       "host, port, method, path and ops->done "
                       "must be set");
        return none;
    }
    part = find_invalid_part(request);
    if (part != NULL) {
        base_error_set(err, BASE_INVALID,
                       "the request's %s has a character that is not allowed",
                       part);
        return none;
    }
    call = backends_call_new(backends, request);
    handle = call->handle;
    backends_call_enter(call, BACKENDS_CONNECTING);
    if (backends->counters != NULL) {
        base_counter_add(
            base_counter(backends->counters, "backend_attempts_total"), 1);
    }
    backends_connection_open(call, request);
    return handle;
}

/* Ends a call and closes its connection; `done` is called before return.  Does
 * nothing if the call has already ended. */
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

/* Stops reading the response until backends_resume. */
void
backends_pause(struct backends *backends, struct base_handle handle)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL || call->is_paused) {
        return;
    }
    call->is_paused = true;
    httpc_pause(call->connection);
}

/* Continues reading.  The silence limit starts again. */
void
backends_resume(struct backends *backends, struct base_handle handle)
{
    struct backends_call *call = backends_call_find(backends, handle);

    if (call == NULL || !call->is_paused) {
        return;
    }
    call->is_paused = false;
    call->limit_since_ms = base_clock_ms();
    backends_call_schedule(call, call->limit_since_ms);
    httpc_resume(call->connection);
}

/* Changes the silence limit of a running call. */
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

/* Returns a header of the response; see the header file. */
const char *
backends_header(struct backends *backends, struct base_handle handle,
                const char *name)
{
    const struct backends_call *call = backends_call_find(backends, handle);

    return call == NULL ? NULL : httpc_header(call->connection, name);
}
