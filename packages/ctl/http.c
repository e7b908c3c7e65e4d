#include "ctl/ctl.h"

#include <libwebsockets.h>
#include <string.h>

enum {
    DEFAULT_TIMEOUT_MS = 10000,
    WRITE_SIZE = 65536,
    READ_SIZE = 32768,
};

/* State of one request in progress, with its own libwebsockets context. */
struct exchange {
    struct ctl_http *http;
    struct base_error *err; /* the first error */
    size_t sent;            /* bytes of the body */
    int64_t last_progress_ms;
    bool is_done;
    bool is_complete;
    unsigned char *buffer; /* LWS_PRE + WRITE_SIZE bytes */
};

static void
fail(struct exchange *exchange, enum base_code code, const char *text)
{
    if (exchange->err->code == BASE_OK) {
        base_error_set(exchange->err, code, "%s: %s", exchange->http->url,
                       text);
    }
    exchange->is_done = true;
}

static bool
add_header(struct lws *wsi, const char *name, const char *value,
           unsigned char **at, unsigned char *end)
{
    char *with_colon = g_strconcat(name, ":", NULL);
    int failed = lws_add_http_header_by_name(
        wsi, (const unsigned char *)with_colon, (const unsigned char *)value,
        (int)strlen(value), at, end);

    g_free(with_colon);
    return failed == 0;
}

static int
add_headers(struct exchange *exchange, struct lws *wsi, unsigned char **at,
            unsigned char *end)
{
    struct ctl_http *http = exchange->http;
    const char *type = http->content_type;
    bool is_ok = true;

    if (http->token != NULL) {
        char *bearer = g_strconcat("Bearer ", http->token, NULL);
        is_ok = add_header(wsi, "authorization", bearer, at, end);
        g_free(bearer);
    }
    for (int i = 0; is_ok && http->headers && http->headers[i]; i += 2) {
        is_ok =
            add_header(wsi, http->headers[i], http->headers[i + 1], at, end);
    }
    if (is_ok && http->body != NULL) {
        char length[32];
        snprintf(length, sizeof(length), "%zu", http->body_size);
        is_ok = add_header(wsi, "content-type",
                           type ? type : "application/json", at, end) &&
                add_header(wsi, "content-length", length, at, end);
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return is_ok ? 0 : -1;
}

static int
send_body(struct exchange *exchange, struct lws *wsi)
{
    struct ctl_http *http = exchange->http;
    size_t left = http->body_size - exchange->sent;
    size_t size = MIN(left, (size_t)WRITE_SIZE);
    bool is_last = size == left;

    if (http->body == NULL || (left == 0 && exchange->sent > 0)) {
        return 0;
    }
    memcpy(exchange->buffer + LWS_PRE, http->body + exchange->sent, size);
    int written = lws_write(wsi, exchange->buffer + LWS_PRE, size,
                            is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0) {
        return -1;
    }
    exchange->sent += size;
    exchange->last_progress_ms = base_clock_ms();
    if (is_last) {
        lws_client_http_body_pending(wsi, 0);
        return 0;
    }
    lws_callback_on_writable(wsi);
    return 0;
}

static void
receive_body(struct exchange *exchange, const char *data, size_t size)
{
    struct ctl_http *http = exchange->http;

    exchange->last_progress_ms = base_clock_ms();
    if (http->sink != NULL) {
        http->sink(http->sink_context, data, size);
        return;
    }
    g_string_append_len(http->response, data, (gssize)size);
}

static int
read_body(struct lws *wsi)
{
    char space[LWS_PRE + READ_SIZE];
    char *start = space + LWS_PRE;
    int length = READ_SIZE;

    return lws_http_client_read(wsi, &start, &length) < 0 ? -1 : 0;
}

static void
read_response_head(struct exchange *exchange, struct lws *wsi)
{
    struct ctl_http *http = exchange->http;

    exchange->last_progress_ms = base_clock_ms();
    http->status = (int)lws_http_client_http_response(wsi);
    lws_hdr_custom_copy(wsi, http->ran, sizeof(http->ran),
                        "x-cardamompick-ran:", 19);
}

static int
on_lws_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
             void *in, size_t size)
{
    struct exchange *exchange = lws_context_user(lws_get_context(wsi));

    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        fail(exchange, BASE_UNAVAILABLE,
             in ? (const char *)in : "connection refused");
        break;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return add_headers(exchange, wsi, in, *(unsigned char **)in + size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return send_body(exchange, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        read_response_head(exchange, wsi);
        break;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        receive_body(exchange, in, size);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_body(wsi);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        exchange->is_complete = true;
        exchange->is_done = true;
        break;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        if (!exchange->is_complete) {
            fail(exchange, BASE_UNAVAILABLE,
                 "connection closed before the response was complete");
        }
        break;
    default:
        break;
    }
    return 0;
}

static struct lws_context *
make_context(struct exchange *exchange)
{
    static const struct lws_protocols PROTOCOLS[] = {
        {"http", on_lws_event, 0, READ_SIZE, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0},
    };
    struct lws_context_creation_info info;

    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = PROTOCOLS;
    info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.fd_limit_per_thread = 16;
    info.user = exchange;
    info.client_ssl_ca_filepath = exchange->http->ca_file;
    lws_set_log_level(LLL_ERR, NULL);
    return lws_create_context(&info);
}

static bool
open_connection(struct exchange *exchange, struct lws_context *context)
{
    struct lws_client_connect_info info;
    char *copy = g_strdup(exchange->http->url);
    const char *scheme = NULL;
    const char *address = NULL;
    const char *path = NULL;
    int port = 0;
    bool is_ok = false;

    if (lws_parse_uri(copy, &scheme, &address, &port, &path) == 0) {
        char *rooted = g_strconcat("/", path, NULL);
        memset(&info, 0, sizeof(info));
        info.context = context;
        info.address = address;
        info.host = address;
        info.origin = address;
        info.port = port;
        info.path = rooted;
        info.method = exchange->http->method;
        info.ssl_connection =
            strcmp(scheme, "https") == 0 ? LCCSCF_USE_SSL : 0;
        info.alpn = "http/1.1";
        /* libwebsockets passes the body only to connections bound to a
         * protocol. */
        info.local_protocol_name = "http";
        is_ok = lws_client_connect_via_info(&info) != NULL;
        g_free(rooted);
    }
    g_free(copy);
    return is_ok;
}

/* Sends the request and waits for the response.  Returns false if no complete
 * response arrived; err says why (BASE_UNAVAILABLE or BASE_TIMEOUT).  An HTTP
 * error status counts as a response.  Call ctl_http_finish in both cases. */
bool
ctl_http_run(struct ctl_http *http, struct base_error *err)
{
    struct exchange exchange = {.http = http, .err = err};
    int64_t limit_ms =
        http->timeout_ms ? http->timeout_ms : DEFAULT_TIMEOUT_MS;
    struct lws_context *context = make_context(&exchange);

    http->response = g_string_new(NULL);
    exchange.buffer = g_malloc(LWS_PRE + WRITE_SIZE);
    exchange.last_progress_ms = base_clock_ms();
    if (!open_connection(&exchange, context)) {
        fail(&exchange, BASE_UNAVAILABLE,
             "can't open a connection; expected http://HOST:PORT or "
             "https://HOST:PORT");
    }
    while (!exchange.is_done) {
        lws_service(context, 0);
        if (base_clock_ms() - exchange.last_progress_ms > limit_ms) {
            fail(&exchange, BASE_TIMEOUT, "timed out waiting for the node");
        }
    }
    /* After an error, the close of the connection is no further error. */
    exchange.is_complete |= err->code != BASE_OK;
    lws_context_destroy(context);
    g_free(exchange.buffer);
    return err->code == BASE_OK;
}

/* Frees the response. */
void
ctl_http_finish(struct ctl_http *http)
{
    if (http->response != NULL) {
        g_string_free(http->response, TRUE);
        http->response = NULL;
    }
}
