#include <errno.h>
#include <linux/sockios.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "backends/backends_private.h"

enum {
    HEADER_VALUE_SIZE = 256,
    BODY_WRITE_SIZE = 65536,
    FIRST_FINAL_STATUS = 200,
    FIRST_ERROR_STATUS = 400,
    STATUS_DIGITS = 3,
    /* Reads in a row that bring no byte of a body.  Framing takes a few, if it
     * arrives byte by byte. */
    MAX_EMPTY_READS = 256,
};

static bool
add_header(struct lws *wsi, const char *name, const char *value,
           unsigned char **next, unsigned char *end)
{
    char *with_colon = g_strconcat(name, ":", NULL);
    int failed = lws_add_http_header_by_name(
        wsi, (const unsigned char *)with_colon, (const unsigned char *)value,
        (int)strlen(value), next, end);

    g_free(with_colon);
    return failed == 0;
}

static bool
add_all_headers(struct backends_call *call, struct lws *wsi,
                unsigned char **next, unsigned char *end)
{
    char size[24];

    for (char **pair = call->headers; pair != NULL && *pair != NULL;
         pair += 2) {
        if (!add_header(wsi, pair[0], pair[1], next, end)) {
            return false;
        }
    }
    if (call->body_size == 0) {
        return true;
    }
    g_snprintf(size, sizeof(size), "%zu", call->body_size);
    return (call->content_type[0] == '\0' ||
            add_header(wsi, "content-type", call->content_type, next, end)) &&
           add_header(wsi, "content-length", size, next, end);
}

/* The connection is established and the head is about to be written.  From
 * here on the server may have received the request. */
static int
on_handshake(struct backends_call *call, struct lws *wsi, void *in,
             size_t length)
{
    unsigned char **next = in;

    if (!add_all_headers(call, wsi, next, *next + length)) {
        backends_call_fail(call, BASE_INVALID,
                           "the request's headers are too large");
        return -1;
    }
    if (call->body_size > 0) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    backends_call_enter(call, BACKENDS_WAITING);
    return 0;
}

static int
on_writable(struct backends_call *call, struct lws *wsi)
{
    size_t left = call->body_size - call->body_written;
    size_t size = MIN(left, (size_t)BODY_WRITE_SIZE);
    bool is_last = size == left;

    if (left == 0) {
        return 0;
    }
    if (lws_write(wsi, (unsigned char *)call->body + call->body_written, size,
                  is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        backends_call_fail(
            call, BASE_UNAVAILABLE,
            "the connection broke while the body was being sent");
        return -1;
    }
    call->body_written += size;
    if (is_last) {
        lws_client_http_body_pending(wsi, 0);
        g_free(call->body);
        call->body = NULL;
    }
    else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

static bool
copy_header(struct lws *wsi, const char *name, char *out, size_t size)
{
    char with_colon[64];
    int length = g_snprintf(with_colon, sizeof(with_colon), "%s:", name);

    if (lws_hdr_custom_copy(wsi, out, (int)size, with_colon, length) < 0) {
        out[0] = '\0';
        return false;
    }
    return true;
}

/* Checks that the response belongs to this request, so that a server that
 * mixes up its responses does not send one caller another's data. */
static bool
is_own_response(struct backends_call *call, struct lws *wsi)
{
    char echoed[HEADER_VALUE_SIZE];
    bool is_success = call->status >= 200 && call->status < 300;

    if (call->request_id == NULL) {
        return true;
    }
    if (!copy_header(wsi, call->id_header, echoed, sizeof(echoed))) {
        return !is_success;
    }
    return strcmp(echoed, call->request_id) == 0;
}

static bool
has_no_body(const struct backends_call *call)
{
    return call->is_head_method || call->status == 204 || call->status == 304;
}

/* Determines how the body's end is marked.  This is needed because
 * libwebsockets reports a response that was cut short by a close as completed.
 */
static void
find_framing(struct backends_call *call, struct lws *wsi)
{
    char text[64];

    call->framing = BACKENDS_BY_CLOSE;
    if (lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) >
        0) {
        call->framing = BACKENDS_BY_LENGTH;
        call->body_expected = g_ascii_strtoll(text, NULL, 10);
    }
    if (lws_hdr_copy(wsi, text, sizeof(text),
                     WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0 &&
        g_ascii_strcasecmp(text, "chunked") == 0) {
        call->framing = BACKENDS_BY_CHUNKS;
    }
}

/* Returns whether the server has received all of the request.  One that ends a
 * response before that has broken off, unless it refuses the request: it may
 * have crashed, and its system reports a reset only if unread bytes lie there
 * at that moment. */
static bool
has_taken_request(const struct backends_call *call)
{
    int n_unsent = 0;

    if (call->body_written < call->body_size) {
        return false;
    }
    return call->wsi == NULL ||
           ioctl(lws_get_socket_fd(call->wsi), SIOCOUTQ, &n_unsent) != 0 ||
           n_unsent == 0;
}

static bool
is_body_complete(const struct backends_call *call)
{
    switch (call->framing) {
    case BACKENDS_BY_LENGTH:
        return call->body_received == call->body_expected;
    case BACKENDS_BY_CHUNKS:
        /* libwebsockets finds the last chunk while it parses received bytes.
         * An end without received bytes is a close. */
        return call->is_reading && !call->is_at_close;
    case BACKENDS_BY_CLOSE:
        return call->may_end_by_close && call->is_at_close &&
               !call->is_reset &&
               (call->status >= FIRST_ERROR_STATUS || has_taken_request(call));
    }
    return false;
}

/* Tells whether the server refused the request without running it. */
static bool
is_refused_not_run(const struct backends_call *call, struct lws *wsi)
{
    char value[HEADER_VALUE_SIZE];

    if (call->status < 400) {
        return false;
    }
    if (call->refusal_status != 0 && call->status == call->refusal_status) {
        return true;
    }
    if (call->refusal_header != NULL) {
        return copy_header(wsi, call->refusal_header, value, sizeof(value));
    }
    return copy_header(wsi, "x-ran", value, sizeof(value)) &&
           strcmp(value, "no") == 0;
}

/* Reads the status: three digits, the first from 1 to 5, and then a space or
 * the end of the line (RFC 9112, 4).  libwebsockets takes any number.  Returns
 * false if there is none. */
static bool
read_status(struct backends_call *call, struct lws *wsi)
{
    enum lws_token_indexes token =
        lws_hdr_total_length(wsi, WSI_TOKEN_HTTP) > 0 ? WSI_TOKEN_HTTP
                                                      : WSI_TOKEN_HTTP1_0;
    int size = lws_hdr_total_length(wsi, token) + 1;
    char *text = g_malloc0((gsize)size);
    int n_digits = 0;

    lws_hdr_copy(wsi, text, size, token);
    while (g_ascii_isdigit(text[n_digits])) {
        n_digits++;
    }
    bool is_valid = n_digits == STATUS_DIGITS && text[0] >= '1' &&
                    text[0] <= '5' &&
                    (text[n_digits] == '\0' || text[n_digits] == ' ');
    call->status = is_valid ? (int)g_ascii_strtoll(text, NULL, 10) : 0;
    g_free(text);
    return is_valid;
}

static int
on_head(struct backends_call *call, struct lws *wsi)
{
    struct base_handle handle = call->handle;
    struct backends *backends = call->owner;
    char content_type[HEADER_VALUE_SIZE] = "";

    backends_call_enter(call, BACKENDS_READING);
    if (!read_status(call, wsi)) {
        backends_call_fail(call, BASE_CORRUPT,
                           "the response's status is not valid");
        backends_call_end(call);
        return -1;
    }
    find_framing(call, wsi);
    if (call->status < FIRST_FINAL_STATUS) {
        /* libwebsockets takes what follows it for its body. */
        call->status = 0;
        backends_call_fail(call, BASE_CORRUPT,
                           "an interim response, which was not asked for");
        backends_call_end(call);
        return -1;
    }
    if (!is_own_response(call, wsi)) {
        backends_call_fail(
            call, BASE_CORRUPT,
            "the response's request id is missing or belongs to "
            "another request");
        backends_call_end(call);
        return -1;
    }
    call->is_refused_not_run = is_refused_not_run(call, wsi);
    if (lws_hdr_copy(wsi, content_type, sizeof(content_type),
                     WSI_TOKEN_HTTP_CONTENT_TYPE) < 0) {
        content_type[0] = '\0';
    }
    if (call->ops->head != NULL) {
        call->ops->head(call->context, call->status, content_type);
    }
    call = backends_call_find(backends, handle);
    if (call == NULL) {
        return -1;
    }
    if (has_no_body(call)) {
        call->is_complete = true;
        backends_call_end(call);
        return -1;
    }
    return 0;
}

/* Finds out whether the peer has closed or reset the connection and no bytes
 * are left to read.  The error of a reset is reported only once, perhaps to
 * libwebsockets; a hang-up remains. */
static void
find_close(struct backends_call *call, struct lws *wsi)
{
    struct pollfd polled = {.fd = lws_get_socket_fd(wsi), .events = POLLIN};
    char byte;
    ssize_t n = recv(polled.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool is_failed = n < 0 && errno != EAGAIN && errno != EINTR;

    call->is_at_close = n == 0 || is_failed;
    call->is_reset =
        is_failed || (n == 0 && poll(&polled, 1, 0) > 0 &&
                      (polled.revents & (POLLERR | POLLHUP)) != 0);
}

static int
on_readable(struct backends_call *call, struct lws *wsi)
{
    struct backends *backends = call->owner;
    struct base_handle handle = call->handle;
    char *buffer = backends->read_buffer + LWS_PRE;
    int size = BACKENDS_READ_SIZE;
    int failed;

    if (++call->n_empty_reads > MAX_EMPTY_READS) {
        backends_call_fail(call, BASE_CORRUPT,
                           "the response's framing has no end");
        backends_call_end(call);
        return -1;
    }
    call->is_reading = true;
    find_close(call, wsi);
    failed = lws_http_client_read(wsi, &buffer, &size);
    call = backends_call_find(backends, handle);
    if (call == NULL) {
        return -1;
    }
    call->is_reading = false;
    return failed ? -1 : 0;
}

static int
on_body(struct backends_call *call, const char *data, size_t size)
{
    struct base_handle handle = call->handle;
    struct backends *backends = call->owner;

    call->limit_since_ms = base_clock_ms();
    call->body_received += (int64_t)size;
    call->n_empty_reads = 0;
    call->is_at_close = false; /* libwebsockets had buffered bytes */
    if (size > 0 && call->ops->body != NULL) {
        call->ops->body(call->context, data, size);
    }
    return backends_call_find(backends, handle) == NULL ? -1 : 0;
}

static int
on_end(struct backends_call *call, struct lws *wsi,
       enum lws_callback_reasons reason, const char *text)
{
    bool may_be_complete = reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP ||
                           (reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP &&
                            call->phase == BACKENDS_READING &&
                            call->framing == BACKENDS_BY_CLOSE);

    if (may_be_complete && is_body_complete(call)) {
        call->is_complete = true;
        backends_call_end(call);
        return -1;
    }
    if (reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR) {
        backends_call_fail(call, BASE_UNAVAILABLE,
                           text ? text : "the connection could not be opened");
    }
    else {
        backends_call_fail(
            call, BASE_UNAVAILABLE,
            "the connection closed before the end of the response");
    }
    /* libwebsockets is closing the connection itself. */
    lws_set_opaque_user_data(wsi, NULL);
    call->wsi = NULL;
    if (call->phase == BACKENDS_CONNECTING) {
        /* This may run inside backends_send, where `done` must not be called.
         */
        backends_call_end_soon(call);
        return 0;
    }
    backends_call_end(call);
    return 0;
}

/* Handles libwebsockets' events of a connection for the call that owns it.  A
 * connection whose call has ended is closed. */
int
backends_http_callback(struct lws *wsi, enum lws_callback_reasons reason,
                       void *user, void *in, size_t length)
{
    struct backends_call *call =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);

    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return call ? on_handshake(call, wsi, in, length) : -1;
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call ? on_writable(call, wsi) : -1;
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return call ? on_head(call, wsi) : -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return call ? on_readable(call, wsi) : -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return call ? on_body(call, in, length) : -1;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        return call ? on_end(call, wsi, reason, in) : 0;
    default:
        return 0;
    }
}
