#include "front/front_private.h"

#include <string.h>

enum {
    HEAD_SIZE = 4096,
    WRITE_SIZE = 32768,
    DISCARD_SIZE = 1048576 /* bytes of an unneeded request body to read */
};

/* Adds a header to the response.  Call it before the response begins. */
void
front_add_header(struct front_request *request, const char *name,
                 const char *value)
{
    g_ptr_array_add(request->response_headers, g_strconcat(name, ":", NULL));
    g_ptr_array_add(request->response_headers, g_strdup(value));
}

/* Returns whether the response has no body, whatever its head says (RFC 9112,
 * 6.3).  Bytes after its head would be taken for the next response. */
static bool
must_omit_body(const struct front_request *request, int status)
{
    return strcmp(request->method, "HEAD") == 0 || status == 204 ||
           status == 304;
}

static void
begin_response(struct front_request *request, int status,
               const char *content_type)
{
    char traceparent[BASE_TRACEPARENT_SIZE];

    request->status = status;
    request->has_no_body = must_omit_body(request, status);
    request->last_progress_ms = base_clock_ms();
    if (content_type[0] != '\0') {
        front_add_header(request, "content-type", content_type);
    }
    if (request->front->protocol != NULL) {
        front_add_header(request, request->front->protocol->request_id,
                         request->id);
    }
    else {
        front_add_header(request, "x-request-id", request->id);
        base_traceparent_format(&request->span.context, traceparent);
        front_add_header(request, "traceparent", traceparent);
    }
    if (g_atomic_int_get(&request->front->is_draining)) {
        request->closes_after = true;
    }
}

/* Whether the response must wait for the rest of the request body.  Up to
 * DISCARD_SIZE bytes are read and dropped, because closing the connection with
 * unread bytes sends a reset, which may hide the response from the caller.  If
 * more is left, the connection is closed after the response.  A chunked body,
 * whose size is not known, is read to its end. */
static bool
must_wait_for_body(struct front_request *request)
{
    int64_t left = request->body_expected - request->body_received;

    if (request->is_body_complete || request->closes_after) {
        return false;
    }
    if (request->is_chunked) {
        return true;
    }
    if (left <= DISCARD_SIZE) {
        return true;
    }
    request->closes_after = true;
    return false;
}

static void
schedule_response_write(struct front_request *request)
{
    if (request->wsi != NULL && !must_wait_for_body(request)) {
        lws_callback_on_writable(request->wsi);
    }
}

/* Responds with a complete body.  A response without one gets a length only if
 * it is known from `body`; that of a server's response to HEAD is not. Ignored
 * when the request already has a response. */
void
front_respond(struct front_request *request, int status,
              const char *content_type, const char *body, size_t size)
{
    char text[24];

    if (request->status != 0 || request->wsi == NULL) {
        return;
    }
    begin_response(request, status, content_type);
    if (!request->has_no_body || (size > 0 && status != 204)) {
        g_snprintf(text, sizeof(text), "%zu", size);
        front_add_header(request, "content-length", text);
    }
    if (!request->has_no_body) {
        g_string_append_len(request->out, body, (gssize)size);
    }
    request->is_ended = true;
    schedule_response_write(request);
}

/* Begins a response of unknown length; front_stream_write adds its bytes.
 * Ignored when the request already has a response. */
void
front_stream_begin(struct front_request *request, int status,
                   const char *content_type)
{
    if (request->status != 0 || request->wsi == NULL) {
        return;
    }
    begin_response(request, status, content_type);
    if (!request->has_no_body) {
        front_add_header(request, "transfer-encoding", "chunked");
    }
    front_add_header(request, "cache-control", "no-cache");
    request->is_stream = true;
    base_counter_add(request->front->metrics.open_streams, 1);
    schedule_response_write(request);
}

/* Adds bytes to a stream that has begun. */
void
front_stream_write(struct front_request *request, const char *data,
                   size_t size)
{
    if (request->wsi == NULL || request->is_ended || size == 0) {
        return;
    }
    if (front_pending(request) == 0) {
        request->last_progress_ms = base_clock_ms();
    }
    if (request->has_no_body) {
        return;
    }
    g_string_append_printf(request->out, "%zx\r\n", size);
    g_string_append_len(request->out, data, (gssize)size);
    g_string_append_len(request->out, "\r\n", 2);
    schedule_response_write(request);
}

/* Ends a complete stream. */
void
front_stream_end(struct front_request *request)
{
    if (request->wsi == NULL || request->is_ended) {
        return;
    }
    if (!request->has_no_body) {
        g_string_append(request->out, "0\r\n\r\n");
    }
    request->is_ended = true;
    schedule_response_write(request);
}

/* Ends a stream that can't be completed: the connection is closed without the
 * last chunk, so that the caller notices. */
void
front_stream_break(struct front_request *request)
{
    if (request->wsi == NULL || request->is_ended) {
        return;
    }
    request->is_ended = true;
    request->closes_after = true;
    schedule_response_write(request);
}

/* Returns how many bytes wait to be passed to the caller's connection. */
size_t
front_pending(const struct front_request *request)
{
    return request->out->len - request->out_written;
}

static bool
add_headers(struct front_request *request, unsigned char **at,
            unsigned char *end)
{
    if (request->closes_after) {
        front_add_header(request, "connection", "close");
    }
    for (guint i = 0; i + 1 < request->response_headers->len; i += 2) {
        const char *name = g_ptr_array_index(request->response_headers, i);
        const char *value =
            g_ptr_array_index(request->response_headers, i + 1);
        if (lws_add_http_header_by_name(
                request->wsi, (const unsigned char *)name,
                (const unsigned char *)value, (int)strlen(value), at, end)) {
            return false;
        }
    }
    return lws_finalize_http_header(request->wsi, at, end) == 0;
}

static bool
write_head(struct front_request *request)
{
    unsigned char space[LWS_PRE + HEAD_SIZE];
    unsigned char *start = space + LWS_PRE;
    unsigned char *at = start;
    unsigned char *end = start + HEAD_SIZE - 1;
    size_t size;

    if (lws_add_http_header_status(request->wsi, (unsigned)request->status,
                                   &at, end) != 0 ||
        !add_headers(request, &at, end)) {
        return false;
    }
    size = (size_t)(at - start);
    request->is_head_written = true;
    return lws_write(request->wsi, start, size, LWS_WRITE_HTTP_HEADERS) >= 0;
}

static int
finish_transaction(struct front_connection *connection, struct lws *wsi)
{
    (void)connection;
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

static void
write_again(struct front_request *request)
{
    lws_callback_on_writable(request->wsi);
}

const struct front_transport FRONT_HTTP = {write_head, LWS_WRITE_HTTP,
                                           write_again, finish_transaction};

static bool
write_out(struct front_request *request)
{
    size_t size = MIN(front_pending(request), (size_t)WRITE_SIZE);
    unsigned char *from =
        (unsigned char *)request->out->str + request->out_written;

    if (size == 0) {
        return true;
    }
    if (lws_write(request->wsi, from, size,
                  (enum lws_write_protocol)request->transport->write_kind) <
        0) {
        return false;
    }
    request->last_progress_ms = base_clock_ms();
    request->out_written += size;
    if (front_pending(request) == 0) {
        g_string_truncate(request->out, 0);
        request->out_written = 0;
    }
    return true;
}

static int
finish_response(struct front_request *request)
{
    struct lws *wsi = request->wsi;
    struct front_connection *connection = request->connection;
    const struct front_transport *transport = request->transport;
    bool is_last = request->closes_after || !request->is_body_complete;

    front_request_closed(request);
    return is_last ? -1 : transport->response_done(connection, wsi);
}

/* Writes more of the response; called when the connection is writable.
 * Returns -1 when the connection is to be closed. */
int
front_request_writable(struct front_request *request)
{
    if (request->status == 0 || must_wait_for_body(request)) {
        return 0;
    }
    if (!request->is_head_written &&
        !request->transport->write_head(request)) {
        return -1;
    }
    if (!write_out(request)) {
        return -1;
    }
    if (front_pending(request) > 0 ||
        lws_partial_buffered(request->wsi) != 0) {
        request->transport->schedule_write(request);
    }
    else if (request->is_ended) {
        return finish_response(request);
    }
    if (front_pending(request) <= FRONT_LOW_WATER &&
        request->route->handler->output_drained != NULL &&
        !request->is_ended) {
        request->route->handler->output_drained(request);
    }
    return 0;
}
