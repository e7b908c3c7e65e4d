#include <string.h>

#include "backends/backends_private.h"

enum {
    FIRST_FINAL_STATUS = 200,
    FIRST_REDIRECT_STATUS = 300,
    FIRST_ERROR_STATUS = 400,
};

/* Checks that the response belongs to this request, so that a server that
 * mixes up its responses does not send one caller another's data. */
static bool
is_own_response(const struct backends_call *call)
{
    bool is_success = call->status >= FIRST_FINAL_STATUS &&
                      call->status < FIRST_REDIRECT_STATUS;
    const char *echoed;

    if (call->request_id == NULL) {
        return true;
    }
    echoed = httpc_header(call->connection, call->id_header);
    return echoed == NULL ? !is_success
                          : strcmp(echoed, call->request_id) == 0;
}

/* Returns whether the server refused the request without running it. */
static bool
is_refused_not_run(const struct backends_call *call)
{
    const struct httpc_connection *connection = call->connection;

    if (call->status < FIRST_ERROR_STATUS) {
        return false;
    }
    if (call->refusal_status != 0 && call->status == call->refusal_status) {
        return true;
    }
    if (call->refusal_header != NULL) {
        return httpc_header(connection, call->refusal_header) != NULL;
    }
    return g_strcmp0(httpc_header(connection, "x-ran"), "no") == 0;
}

/* Returns why the head is not that of a response to this request, or NULL. */
static const char *
find_head_fault(const struct backends_call *call, int status)
{
    if (status == 0) {
        return "the response's status is not valid";
    }
    if (status < FIRST_FINAL_STATUS) {
        return "an interim response, which was not asked for";
    }
    return is_own_response(call)
               ? NULL
               : "the response's request id is missing or belongs to another "
                 "request";
}

static void
on_connected(void *owner)
{
    /* From here on the server may have received the request. */
    backends_call_enter(owner, BACKENDS_WAITING);
}

static void
on_head(void *owner, int status)
{
    struct backends_call *call = owner;
    const char *content_type = httpc_header(call->connection, "content-type");
    const char *fault;

    call->status = status < FIRST_FINAL_STATUS ? 0 : status;
    backends_call_enter(call, BACKENDS_READING);
    fault = find_head_fault(call, status);
    if (fault != NULL) {
        backends_call_fail(call, BASE_CORRUPT, fault);
        backends_call_end(call);
        return;
    }
    call->is_refused_not_run = is_refused_not_run(call);
    if (call->ops->head != NULL) {
        call->ops->head(call->context, call->status,
                        content_type != NULL ? content_type : "");
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct backends_call *call = owner;

    call->limit_since_ms = base_clock_ms();
    if (call->ops->body != NULL) {
        call->ops->body(call->context, data, size);
    }
}

/* Returns whether a response that ended with its connection is whole.  It is,
 * where the request allows that, unless the server had not taken all of the
 * request: it may have crashed, and its system reports a reset only if unread
 * bytes lie there at that moment.  With an error it may have refused to read
 * the request. */
static bool
is_whole_at_close(const struct backends_call *call)
{
    return call->may_end_by_close &&
           (call->status >= FIRST_ERROR_STATUS ||
            httpc_is_request_taken(call->connection));
}

static void
on_ended(void *owner, enum httpc_end end, const char *reason)
{
    struct backends_call *call = owner;

    call->is_complete = end == HTTPC_COMPLETE ||
                        (end == HTTPC_CLOSED && is_whole_at_close(call));
    if (!call->is_complete) {
        backends_call_fail(
            call, BASE_UNAVAILABLE,
            reason != NULL
                ? reason
                : "the connection closed before the end of the response");
    }
    backends_call_end(call);
}

/* Opens the connection of a new call. */
void
backends_connection_open(struct backends_call *call,
                         const struct backends_request *request)
{
    static const struct httpc_ops OPS = {.connected = on_connected,
                                         .head = on_head,
                                         .body = on_body,
                                         .ended = on_ended};

    call->connection = httpc_open(
        &call->owner->httpc, &(struct httpc_request){
                                 .ops = &OPS,
                                 .owner = call,
                                 .host = request->host,
                                 .port = request->port,
                                 .method = request->method,
                                 .path = request->path,
                                 .host_header = request->host_header,
                                 .content_type = request->content_type != NULL
                                                     ? request->content_type
                                                     : "application/json",
                                 .headers = request->headers,
                                 .body = request->body,
                                 .body_size = request->body_size,
                             });
}
