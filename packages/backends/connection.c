#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "backends/backends_private.h"

/* The connection of a call.  libwebsockets waits for its events; reading and
 * writing is done here, since the library's HTTP client formats the request
 * line into 2 KB, knows few methods, and reports a reset as a close. */

enum {
    MAX_READS = 4, /* in a row, before other connections are served */
    FIRST_FINAL_STATUS = 200,
    FIRST_REDIRECT_STATUS = 300,
    FIRST_ERROR_STATUS = 400,
};

/* ---- the request ---- */

static void
append_header(GString *head, const char *name, const char *value)
{
    g_string_append(head, name);
    g_string_append(head, ": ");
    g_string_append(head, value);
    g_string_append(head, "\r\n");
}

/* Formats the head; every part has been checked, see find_invalid_part. */
static GString *
format_head(const struct backends_request *request)
{
    GString *head = g_string_sized_new(1024);
    const char *type = request->content_type;

    g_string_append_printf(head, "%s %s HTTP/1.1\r\n", request->method,
                           request->path);
    if (request->host_header != NULL) {
        append_header(head, "host", request->host_header);
    }
    else {
        g_string_append_printf(head, "host: %s:%d\r\n", request->host,
                               request->port);
    }
    append_header(head, "connection", "close");
    for (const char *const *pair = request->headers;
         pair != NULL && *pair != NULL; pair += 2) {
        append_header(head, pair[0], pair[1]);
    }
    if (request->body_size > 0) {
        type = type != NULL ? type : "application/json";
        if (type[0] != '\0') {
            append_header(head, "content-type", type);
        }
        g_string_append_printf(head, "content-length: %zu\r\n",
                               request->body_size);
    }
    g_string_append(head, "\r\n");
    return head;
}

static void
free_request(struct backends_call *call)
{
    g_string_free(call->head, TRUE);
    call->head = NULL;
    g_free(call->body);
    call->body = NULL;
}

/* Fills in the parts of the request that are not written yet; returns how
 * many. */
static size_t
find_unwritten(const struct backends_call *call, struct iovec parts[2])
{
    size_t at = call->n_written;
    size_t n_parts = 0;

    if (at < call->head_size) {
        parts[n_parts++] = (struct iovec){.iov_base = call->head->str + at,
                                          .iov_len = call->head_size - at};
        at = call->head_size;
    }
    at -= call->head_size;
    if (at < call->body_size) {
        parts[n_parts++] = (struct iovec){.iov_base = call->body + at,
                                          .iov_len = call->body_size - at};
    }
    return n_parts;
}

static void
on_write_timer(lws_sorted_usec_list_t *timer)
{
    struct backends_call *call =
        lws_container_of(timer, struct backends_call, write_timer);

    lws_callback_on_writable(call->wsi);
}

/* Writes as much of the request as the connection takes.  If it takes none any
 * more, a response may still be read. */
static void
write_request(struct backends_call *call)
{
    struct iovec parts[2];
    struct msghdr message = {.msg_iov = parts};

    while (call->head != NULL && !call->is_write_broken) {
        message.msg_iovlen = find_unwritten(call, parts);
        ssize_t n = sendmsg(call->fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            /* libwebsockets forgets a request for the next event that is made
             * during this one. */
            lws_sul_schedule(call->owner->lws, 0, &call->write_timer,
                             on_write_timer, 1);
            return;
        }
        if (n < 0) {
            call->is_write_broken = true;
            return;
        }
        call->n_written += (size_t)n;
        if (call->n_written == call->head_size + call->body_size) {
            free_request(call);
        }
    }
}

/* Returns whether the server's system has acknowledged all of the request. */
static bool
is_request_taken(const struct backends_call *call)
{
    int n_unsent = 0;

    if (call->n_written < call->head_size + call->body_size) {
        return false;
    }
    return ioctl(call->fd, SIOCOUTQ, &n_unsent) != 0 || n_unsent == 0;
}

/* ---- the response ---- */

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
    echoed = backends_response_header(call->response, call->id_header);
    return echoed == NULL ? !is_success
                          : strcmp(echoed, call->request_id) == 0;
}

/* Returns whether the server refused the request without running it. */
static bool
is_refused_not_run(const struct backends_call *call)
{
    const struct backends_response *response = call->response;

    if (call->status < FIRST_ERROR_STATUS) {
        return false;
    }
    if (call->refusal_status != 0 && call->status == call->refusal_status) {
        return true;
    }
    if (call->refusal_header != NULL) {
        return backends_response_header(response, call->refusal_header) !=
               NULL;
    }
    return g_strcmp0(backends_response_header(response, "x-ran"), "no") == 0;
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

static bool
on_head(void *context, int status)
{
    struct backends_call *call = context;
    const char *content_type =
        backends_response_header(call->response, "content-type");
    const char *fault;

    call->status = status < FIRST_FINAL_STATUS ? 0 : status;
    backends_call_enter(call, BACKENDS_READING);
    fault = find_head_fault(call, status);
    if (fault != NULL) {
        backends_call_fail(call, BASE_CORRUPT, fault);
        backends_call_end(call);
        return false;
    }
    call->is_refused_not_run = is_refused_not_run(call);
    if (call->ops->head != NULL) {
        call->ops->head(call->context, call->status,
                        content_type != NULL ? content_type : "");
    }
    return !call->is_ended;
}

static bool
on_body(void *context, const char *data, size_t size)
{
    struct backends_call *call = context;

    call->limit_since_ms = base_clock_ms();
    if (call->ops->body != NULL) {
        call->ops->body(call->context, data, size);
    }
    return !call->is_ended;
}

static const struct backends_response_ops RESPONSE_OPS = {on_head, on_body};

/* Parses received bytes.  Returns false if the call has ended with them. */
static bool
feed_response(struct backends_call *call, const char *data, size_t size)
{
    enum backends_response_result result;

    call->is_parsing = true;
    result = backends_response_feed(call->response, data, size);
    call->is_parsing = false;
    if (call->is_ended) {
        backends_call_free(call);
        return false;
    }
    if (result == BACKENDS_RESPONSE_MORE) {
        return true;
    }
    if (result == BACKENDS_RESPONSE_COMPLETE) {
        call->is_complete = true;
    }
    else {
        backends_call_fail(call, BASE_UNAVAILABLE,
                           backends_response_error(call->response));
    }
    backends_call_end(call);
    return false;
}

/* Ends the call at the end of its connection.  A response without length and
 * chunks is whole then, where the request allows that, unless the connection
 * was reset or the server had not taken all of the request: it may have
 * crashed, and its system reports a reset only if unread bytes lie there at
 * that moment.  With an error it may have refused to read the request. */
static void
end_response(struct backends_call *call, bool is_reset)
{
    call->is_complete =
        backends_response_has_head(call->response) &&
        backends_response_ends_by_close(call->response) &&
        call->may_end_by_close && !is_reset &&
        (call->status >= FIRST_ERROR_STATUS || is_request_taken(call));
    if (!call->is_complete) {
        backends_call_fail(
            call, BASE_UNAVAILABLE,
            "the connection closed before the end of the response");
    }
    backends_call_end(call);
}

/* ---- events ---- */

/* Handles the end of connecting; returns false if the call has ended. */
static bool
check_connected(struct backends_call *call)
{
    int error = 0;
    socklen_t size = sizeof(error);

    if (call->phase != BACKENDS_CONNECTING) {
        return true;
    }
    if (getsockopt(call->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
    }
    if (error != 0) {
        backends_call_fail(call, BASE_UNAVAILABLE, g_strerror(error));
        backends_call_end(call);
        return false;
    }
    /* From here on the server may have received the request. */
    backends_call_enter(call, BACKENDS_WAITING);
    return true;
}

/* Returns whether the connection was reset.  The error of a reset is reported
 * only once, perhaps to a write; a hang-up remains. */
static bool
is_reset(const struct backends_call *call)
{
    struct pollfd polled = {.fd = call->fd, .events = POLLIN};

    return call->is_write_broken ||
           (poll(&polled, 1, 0) > 0 &&
            (polled.revents & (POLLERR | POLLHUP)) != 0);
}

/* Reads and parses up to max_reads pieces; stops when nothing is left, or when
 * the call is paused unless it is closing.  Returns false if the call has
 * ended. */
static bool
read_response(struct backends_call *call, int max_reads, bool is_closing)
{
    char *buffer = call->owner->read_buffer;

    for (int i = 0; i < max_reads && (is_closing || !call->is_paused); i++) {
        ssize_t n = recv(call->fd, buffer, BACKENDS_READ_SIZE, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        if (n <= 0) {
            end_response(call, n < 0 || is_reset(call));
            return false;
        }
        if (!feed_response(call, buffer, (size_t)n)) {
            return false;
        }
        if (n < BACKENDS_READ_SIZE && !is_closing) {
            return true;
        }
    }
    return true;
}

static int
on_readable(struct backends_call *call)
{
    return check_connected(call) && read_response(call, MAX_READS, false) ? 0
                                                                          : -1;
}

static int
on_writable(struct backends_call *call)
{
    if (!check_connected(call)) {
        return -1;
    }
    write_request(call);
    return 0;
}

/* libwebsockets closes the connection by itself, since the server has closed
 * it; received bytes may be left. */
static void
on_closed(struct backends_call *call)
{
    lws_set_opaque_user_data(call->wsi, NULL);
    lws_sul_cancel(&call->write_timer);
    call->wsi = NULL;
    if (check_connected(call) && read_response(call, INT_MAX, true)) {
        end_response(call, true);
    }
}

/* Handles libwebsockets' events of a connection for the call that owns it.  A
 * connection whose call has ended is closed. */
int
backends_connection_event(struct lws *wsi, enum lws_callback_reasons reason,
                          void *user, void *in, size_t length)
{
    struct backends_call *call =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);

    (void)user;
    (void)in;
    (void)length;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        return call != NULL ? on_readable(call) : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return call != NULL ? on_writable(call) : -1;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (call != NULL) {
            on_closed(call);
        }
        return 0;
    default:
        return 0;
    }
}

/* ---- opening ---- */

/* Returns a socket that connects to the request's address, or -1 with
 * errno. */
static int
open_socket(const char *source, const struct backends_request *request)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)request->port)};
    struct sockaddr_in from = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int is_on = 1;
    bool is_ok;

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof(is_on));
    errno = EINVAL;
    is_ok = inet_pton(AF_INET, request->host, &to.sin_addr) == 1 &&
            (source == NULL ||
             (inet_pton(AF_INET, source, &from.sin_addr) == 1 &&
              bind(fd, (struct sockaddr *)&from, sizeof(from)) == 0)) &&
            (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 ||
             errno == EINPROGRESS);
    if (!is_ok) {
        int error = errno;
        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

/* Opens the connection of a new call.  If that fails, the call ends from the
 * event loop. */
void
backends_connection_open(struct backends_call *call,
                         const struct backends_request *request)
{
    lws_sock_file_fd_type descriptor;

    call->response = backends_response_new(
        &RESPONSE_OPS, call, strcmp(request->method, "HEAD") == 0);
    call->head = format_head(request);
    call->head_size = call->head->len;
    call->fd = open_socket(call->owner->source, request);
    descriptor.filefd = call->fd;
    if (call->fd >= 0) {
        call->wsi = lws_adopt_descriptor_vhost(call->owner->vhost,
                                               LWS_ADOPT_RAW_FILE_DESC,
                                               descriptor, "backends", NULL);
        if (call->wsi == NULL) {
            close(call->fd);
            errno = EMFILE;
        }
    }
    if (call->wsi == NULL) {
        backends_call_fail(call, BASE_UNAVAILABLE, g_strerror(errno));
        backends_call_end_soon(call);
        return;
    }
    lws_set_opaque_user_data(call->wsi, call);
    lws_callback_on_writable(call->wsi);
}
