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

#include "httpc/httpc.h"
#include "httpc/response.h"

enum {
    MAX_READS = 4, /* in a row, before other connections are served */
};

struct httpc_connection {
    const struct httpc_ops *ops;
    void *owner;
    struct httpc *httpc;
    struct lws *wsi; /* NULL: not open */
    int fd;          /* owned by wsi */
    lws_sorted_usec_list_t failure_timer;
    const char *failure; /* why the connection could not be opened */
    /* request */
    GString *head; /* freed with the body once both are written */
    char *body;
    size_t head_size;
    size_t body_size;
    size_t n_written; /* bytes of head and body */
    bool is_connected;
    bool is_write_broken; /* the connection takes no more of the request */
    lws_sorted_usec_list_t write_timer; /* requests the next event to write */
    /* response */
    struct httpc_response *response;
    bool is_paused;
    bool is_in_callback; /* what called the callback frees the connection */
    bool is_closed;      /* by the owner */
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

static GString *
format_head(const struct httpc_request *request)
{
    GString *head = g_string_sized_new(1024);

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
        if (request->content_type[0] != '\0') {
            append_header(head, "content-type", request->content_type);
        }
        g_string_append_printf(head, "content-length: %zu\r\n",
                               request->body_size);
    }
    g_string_append(head, "\r\n");
    return head;
}

static void
free_request(struct httpc_connection *connection)
{
    if (connection->head != NULL) {
        g_string_free(connection->head, TRUE);
        connection->head = NULL;
    }
    g_clear_pointer(&connection->body, g_free);
}

/* Fills in the parts of the request that are not written yet; returns how
 * many. */
static size_t
find_unwritten(const struct httpc_connection *connection,
               struct iovec parts[2])
{
    size_t at = connection->n_written;
    size_t n_parts = 0;

    if (at < connection->head_size) {
        parts[n_parts++] =
            (struct iovec){.iov_base = connection->head->str + at,
                           .iov_len = connection->head_size - at};
        at = connection->head_size;
    }
    at -= connection->head_size;
    if (at < connection->body_size) {
        parts[n_parts++] =
            (struct iovec){.iov_base = connection->body + at,
                           .iov_len = connection->body_size - at};
    }
    return n_parts;
}

static size_t
count_written_body(const struct httpc_connection *connection)
{
    return connection->n_written -
           MIN(connection->n_written, connection->head_size);
}

static void
on_write_timer(lws_sorted_usec_list_t *timer)
{
    struct httpc_connection *connection =
        lws_container_of(timer, struct httpc_connection, write_timer);

    lws_callback_on_writable(connection->wsi);
}

/* Writes as much of the request as the connection takes; returns the bytes of
 * the body among them.  If it takes none any more, a response may still be
 * read. */
static size_t
write_request(struct httpc_connection *connection)
{
    size_t before = count_written_body(connection);
    struct iovec parts[2];
    struct msghdr message = {.msg_iov = parts};

    while (connection->head != NULL && !connection->is_write_broken) {
        message.msg_iovlen = find_unwritten(connection, parts);
        ssize_t n =
            sendmsg(connection->fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            /* libwebsockets forgets a request for the next event that is made
             * during this one. */
            lws_sul_schedule(connection->httpc->lws, 0,
                             &connection->write_timer, on_write_timer, 1);
            break;
        }
        if (n < 0) {
            connection->is_write_broken = true;
            break;
        }
        connection->n_written += (size_t)n;
        if (connection->n_written ==
            connection->head_size + connection->body_size) {
            free_request(connection);
        }
    }
    return count_written_body(connection) - before;
}

/* Returns whether the server's system has acknowledged all of the request. */
bool
httpc_is_request_taken(const struct httpc_connection *connection)
{
    int n_unsent = 0;

    if (connection->n_written <
        connection->head_size + connection->body_size) {
        return false;
    }
    return ioctl(connection->fd, SIOCOUTQ, &n_unsent) != 0 || n_unsent == 0;
}

/* ---- the end ---- */

static void
free_connection(struct httpc_connection *connection)
{
    free_request(connection);
    httpc_response_free(connection->response);
    g_free(connection);
}

/* libwebsockets closes the socket in the next iteration of the event loop, so
 * the pointer from there is removed first. */
static void
detach(struct httpc_connection *connection)
{
    lws_sul_cancel(&connection->failure_timer);
    lws_sul_cancel(&connection->write_timer);
    if (connection->wsi != NULL) {
        lws_set_opaque_user_data(connection->wsi, NULL);
        lws_set_timeout(connection->wsi, PENDING_TIMEOUT_USER_OK,
                        LWS_TO_KILL_ASYNC);
        connection->wsi = NULL;
    }
}

/* Closes the connection; no callback runs any more. */
void
httpc_close(struct httpc_connection *connection)
{
    detach(connection);
    connection->is_closed = true;
    if (!connection->is_in_callback) {
        free_connection(connection);
    }
}

static void
end(struct httpc_connection *connection, enum httpc_end result,
    const char *reason)
{
    connection->is_in_callback = true;
    connection->ops->ended(connection->owner, result, reason);
    detach(connection);
    free_connection(connection);
}

/* ---- the response ---- */

static bool
on_head(void *context, int status)
{
    struct httpc_connection *connection = context;

    connection->ops->head(connection->owner, status);
    return !connection->is_closed;
}

static bool
on_body(void *context, const char *data, size_t size)
{
    struct httpc_connection *connection = context;

    connection->ops->body(connection->owner, data, size);
    return !connection->is_closed;
}

static const struct httpc_response_ops RESPONSE_OPS = {on_head, on_body};

/* Parses received bytes.  Returns false if the connection is gone. */
static bool
feed_response(struct httpc_connection *connection, const char *data,
              size_t size)
{
    enum httpc_response_result result;

    connection->is_in_callback = true;
    result = httpc_response_feed(connection->response, data, size);
    connection->is_in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
        return false;
    }
    if (result == HTTPC_RESPONSE_MORE) {
        return true;
    }
    if (result == HTTPC_RESPONSE_COMPLETE) {
        end(connection, HTTPC_COMPLETE, NULL);
    }
    else {
        end(connection, HTTPC_BROKEN,
            httpc_response_error(connection->response));
    }
    return false;
}

/* Ends the connection after the server has closed it. */
static void
end_by_close(struct httpc_connection *connection, bool is_reset)
{
    bool is_closed = !is_reset &&
                     httpc_response_has_head(connection->response) &&
                     httpc_response_ends_by_close(connection->response);

    if (is_closed) {
        end(connection, HTTPC_CLOSED, NULL);
    }
    else {
        end(connection, HTTPC_BROKEN,
            "the connection closed before the end of the response");
    }
}

/* ---- events ---- */

/* Handles the end of connecting; returns false if the connection is gone. */
static bool
check_connected(struct httpc_connection *connection)
{
    int error = 0;
    socklen_t size = sizeof(error);

    if (connection->is_connected) {
        return true;
    }
    if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
    }
    if (error != 0) {
        end(connection, HTTPC_BROKEN, g_strerror(error));
        return false;
    }
    connection->is_connected = true;
    if (connection->ops->connected == NULL) {
        return true;
    }
    connection->is_in_callback = true;
    connection->ops->connected(connection->owner);
    connection->is_in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
        return false;
    }
    return true;
}

/* Returns whether the connection was reset.  The error of a reset is reported
 * only once, perhaps to a write; a hang-up remains. */
static bool
is_reset(const struct httpc_connection *connection)
{
    struct pollfd polled = {.fd = connection->fd, .events = POLLIN};

    return connection->is_write_broken ||
           (poll(&polled, 1, 0) > 0 &&
            (polled.revents & (POLLERR | POLLHUP)) != 0);
}

/* Reads and parses up to max_reads pieces; stops when nothing is left, or when
 * the connection is paused unless it is closing.  Returns false if the
 * connection is gone. */
static bool
read_response(struct httpc_connection *connection, int max_reads,
              bool is_closing)
{
    char *buffer = connection->httpc->read_buffer;

    for (int i = 0; i < max_reads && (is_closing || !connection->is_paused);
         i++) {
        ssize_t n =
            recv(connection->fd, buffer, HTTPC_READ_SIZE, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        if (n <= 0) {
            end_by_close(connection, n < 0 || is_reset(connection));
            return false;
        }
        if (!feed_response(connection, buffer, (size_t)n)) {
            return false;
        }
        if (n < HTTPC_READ_SIZE && !is_closing) {
            return true;
        }
    }
    return true;
}

static int
on_readable(struct httpc_connection *connection)
{
    return check_connected(connection) &&
                   read_response(connection, MAX_READS, false)
               ? 0
               : -1;
}

static int
on_writable(struct httpc_connection *connection)
{
    size_t n_bytes;

    if (!check_connected(connection)) {
        return -1;
    }
    n_bytes = write_request(connection);
    if (n_bytes == 0 || connection->ops->written == NULL) {
        return 0;
    }
    connection->is_in_callback = true;
    connection->ops->written(connection->owner, n_bytes);
    connection->is_in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
        return -1;
    }
    return 0;
}

/* libwebsockets closes the connection by itself, since the server has closed
 * it; received bytes may be left. */
static void
on_closed(struct httpc_connection *connection)
{
    lws_set_opaque_user_data(connection->wsi, NULL);
    lws_sul_cancel(&connection->write_timer);
    connection->wsi = NULL;
    if (check_connected(connection) &&
        read_response(connection, INT_MAX, true)) {
        end_by_close(connection, true);
    }
}

/* Handles libwebsockets' events of a connection.  The socket of one that is
 * gone is closed. */
int
httpc_on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
               void *in, size_t length)
{
    struct httpc_connection *connection =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);

    (void)user;
    (void)in;
    (void)length;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        return connection != NULL ? on_readable(connection) : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return connection != NULL ? on_writable(connection) : -1;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (connection != NULL) {
            on_closed(connection);
        }
        return 0;
    default:
        return 0;
    }
}

/* ---- opening ---- */

/* Sets what the socket needs before it connects; returns false with errno. */
static bool
set_up_socket(int fd, const char *source, int send_buffer_bytes)
{
    struct sockaddr_in from = {.sin_family = AF_INET};
    int is_on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof(is_on));
    if (send_buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes,
                   sizeof(send_buffer_bytes));
    }
    if (source == NULL) {
        return true;
    }
    errno = EINVAL;
    return inet_pton(AF_INET, source, &from.sin_addr) == 1 &&
           bind(fd, (struct sockaddr *)&from, sizeof(from)) == 0;
}

/* Returns a socket that connects to the request's address, or -1 with
 * errno. */
static int
open_socket(const char *source, const struct httpc_request *request)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)request->port)};
    int fd;

    if (inet_pton(AF_INET, request->host, &to.sin_addr) != 1) {
        errno = EINVAL;
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (!set_up_socket(fd, source, request->send_buffer_bytes) ||
        (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
         errno != EINPROGRESS)) {
        int error = errno;
        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

static void
report_failure(lws_sorted_usec_list_t *timer)
{
    struct httpc_connection *connection =
        lws_container_of(timer, struct httpc_connection, failure_timer);

    end(connection, HTTPC_BROKEN, connection->failure);
}

/* Hands the socket to libwebsockets; returns false with errno. */
static bool
adopt_socket(struct httpc_connection *connection)
{
    lws_sock_file_fd_type descriptor = {.filefd = connection->fd};

    connection->wsi = lws_adopt_descriptor_vhost(
        connection->httpc->vhost, LWS_ADOPT_RAW_FILE_DESC, descriptor,
        connection->httpc->protocol, NULL);
    if (connection->wsi == NULL) {
        close(connection->fd);
        errno = EMFILE;
        return false;
    }
    lws_set_opaque_user_data(connection->wsi, connection);
    lws_callback_on_writable(connection->wsi);
    return true;
}

/* Opens a connection and sends the request, whose texts are copied.  If that
 * fails, ops->ended runs from the event loop. */
struct httpc_connection *
httpc_open(struct httpc *httpc, const struct httpc_request *request)
{
    struct httpc_connection *connection = g_new0(struct httpc_connection, 1);

    connection->ops = request->ops;
    connection->owner = request->owner;
    connection->httpc = httpc;
    connection->response = httpc_response_new(
        &RESPONSE_OPS, connection, strcmp(request->method, "HEAD") == 0);
    connection->head = format_head(request);
    connection->head_size = connection->head->len;
    connection->body = g_memdup2(request->body, request->body_size);
    connection->body_size = request->body_size;
    connection->fd = open_socket(httpc->source, request);
    if (connection->fd < 0 || !adopt_socket(connection)) {
        connection->failure = g_strerror(errno);
        lws_sul_schedule(httpc->lws, 0, &connection->failure_timer,
                         report_failure, 1);
    }
    return connection;
}

/* ---- other public functions ---- */

/* Initialises the client; the context and the vhost stay the owner's. */
void
httpc_init(struct httpc *httpc, const struct httpc_desc *desc)
{
    httpc->lws = desc->context;
    httpc->vhost = desc->vhost;
    httpc->protocol = desc->protocol;
    httpc->source = g_strdup(desc->source);
    httpc->read_buffer = g_malloc(HTTPC_READ_SIZE);
}

/* Frees the client's memory; all connections must have been closed. */
void
httpc_finish(struct httpc *httpc)
{
    g_free(httpc->source);
    g_free(httpc->read_buffer);
    httpc->read_buffer = NULL;
}

/* Stops reading the response until httpc_resume. */
void
httpc_pause(struct httpc_connection *connection)
{
    connection->is_paused = true;
    if (connection->wsi != NULL) {
        lws_rx_flow_control(connection->wsi, 0);
    }
}

/* Continues reading. */
void
httpc_resume(struct httpc_connection *connection)
{
    connection->is_paused = false;
    if (connection->wsi != NULL) {
        lws_rx_flow_control(connection->wsi, 1);
    }
}

/* Returns a header of the response, which lives as long as the connection, or
 * NULL.  `name` is in lower case. */
const char *
httpc_header(const struct httpc_connection *connection, const char *name)
{
    return httpc_response_header(connection->response, name);
}
