#include "front/front_private.h"

#include <string.h>

#include "front/http1.h"

/* Callers' connections of a site.  libwebsockets passes their bytes on without
 * parsing them, and http1 parses them: the library's own HTTP server does not
 * accept chunked bodies. */

enum {
    /* Limits that apply unless the configuration sets others. */
    DEFAULT_IDLE_TIMEOUT_MS = 15000, /* of a keep-alive connection */
    DEFAULT_HEAD_TIMEOUT_MS = 5000,  /* for a request's head to arrive */
    DEFAULT_HEAD_LIMIT = BACKENDS_HEAD_SIZE, /* bytes */
    /* Bytes of later requests that are buffered while one is served, before
     * reading stops. */
    MAX_PIPELINED_BYTES = 65536,
    RESPONSE_HEAD_SIZE = 1024,     /* allocated at first; grows if needed */
    REJECTION_SIZE = 512,          /* buffer of write_rejection */
    LIBRARY_TIMEOUT_S = 24 * 3600, /* libwebsockets' own network timeout */
};

static const struct front_transport RAW_TRANSPORT;

struct front_raw_connection {
    /* Must be the first member: requests point to it. */
    struct front_connection connection;
    GList link;
    struct front *front;
    struct lws *wsi;
    unsigned serves; /* of enum front_serves */
    struct http1 *http1;
    GString *pipelined; /* bytes received after the request being served */
    int64_t head_started_ms; /* first bytes of an incomplete head; 0: none */
    int64_t idle_since_ms;   /* when the last request ended */
    bool is_rejected;        /* later bytes are ignored until it closes */
    lws_sorted_usec_list_t resume_timer; /* calls resume */
};

static void
parse_target(struct front_request *request, const char *target)
{
    const char *query = strchr(target, '?');

    request->target = g_strdup(target);
    request->path = query == NULL ? g_strdup(target)
                                  : g_strndup(target, (gsize)(query - target));
    request->query = query == NULL ? NULL : g_strdup(query + 1);
}

static void
parse_request_id(struct front_request *request)
{
    const char *id =
        front_request_header(request, request->front->protocol->request_id);

    if (id != NULL && id[0] != '\0') {
        g_free(request->id);
        request->id = g_strdup(id);
    }
}

/* Sets the deadline from the caller's header, up to the configured maximum, or
 * else from the configured default. */
static void
parse_deadline(struct front_request *request)
{
    const struct world *world = request->world;
    const char *text =
        front_request_header(request, request->front->protocol->deadline_ms);
    int64_t wanted = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);
    int64_t limit =
        world == NULL ? FRONT_DEADLINE_MS : world->limits.deadline_ms;

    if (wanted > 0) {
        limit = world == NULL ? wanted
                              : MIN(wanted, world->limits.max_deadline_ms);
    }
    request->deadline_ms = request->started_us / 1000 + limit;
}

static void
on_head(void *context, const struct http1_head *head)
{
    struct front_raw_connection *raw = context;
    struct front_request *request = front_request_new(raw->front, raw->wsi);

    raw->connection.request = request;
    raw->head_started_ms = 0;
    request->connection = &raw->connection;
    request->transport = &RAW_TRANSPORT;
    request->serves = raw->serves;
    request->request_headers = head->fields;
    g_strlcpy(request->method, head->method, sizeof(request->method));
    parse_target(request, head->target);
    parse_request_id(request);
    parse_deadline(request);
    request->content_type =
        g_strdup(front_request_header(request, "content-type"));
    request->is_chunked = head->is_chunked;
    request->body_expected = head->length;
    request->received_bytes = (int64_t)head->size + head->length;
    request->is_body_complete = !head->is_chunked && head->length == 0;
    request->closes_after = !head->is_keep_alive;
    base_span_start(&request->span, "front.request", NULL);
    front_request_begin(request);
}

/* ---- request bodies ---- */

static void
on_body(void *context, const char *data, size_t size)
{
    struct front_raw_connection *raw = context;

    if (raw->connection.request != NULL) {
        front_request_body(raw->connection.request, data, size);
    }
}

static void
on_end(void *context)
{
    struct front_raw_connection *raw = context;

    if (raw->connection.request != NULL) {
        front_request_body_end(raw->connection.request);
    }
}

static const struct http1_ops PARSER_OPS = {on_head, on_body, on_end};

/* ---- reading and writing ---- */

/* Writes a complete response without a request and closes the connection
 * within a second. */
static void
write_rejection(struct front_raw_connection *raw, const char *text)
{
    unsigned char space[LWS_PRE + REJECTION_SIZE];
    size_t size;

    raw->is_rejected = true;
    size = g_strlcpy((char *)space + LWS_PRE, text, REJECTION_SIZE);
    lws_write(raw->wsi, space + LWS_PRE, size, LWS_WRITE_RAW);
    lws_set_timeout(raw->wsi, PENDING_TIMEOUT_USER_OK, 1);
}

static size_t
get_head_limit(const struct front_raw_connection *raw)
{
    const struct world *world = raw->front->world;

    return world != NULL && world->limits.header_bytes > 0
               ? (size_t)world->limits.header_bytes
               : DEFAULT_HEAD_LIMIT;
}

static void
reject_head(struct front_raw_connection *raw, const char *status)
{
    char text[128];

    g_snprintf(text, sizeof(text),
               "HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close"
               "\r\n\r\n",
               status);
    write_rejection(raw, text);
}

/* Answers 400 with the reason to a request that cannot be parsed. */
static void
reject_malformed(struct front_raw_connection *raw)
{
    char *json = front_fault_json(&FRONT_BAD_REQUEST, http1_error(raw->http1));
    char text[REJECTION_SIZE];

    g_snprintf(text, sizeof(text),
               "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json"
               "\r\ncontent-length: %zu\r\nconnection: close\r\n\r\n%s",
               strlen(json), json);
    free(json);
    write_rejection(raw, text);
}

/* Parses received bytes; those after the end of a request are buffered.
 * Returns false when the connection must be closed. */
static bool
parse_bytes(struct front_raw_connection *raw, const char *data, size_t size)
{
    size_t used = 0;
    enum http1_result result = http1_feed(raw->http1, data, size, &used);

    switch (result) {
    case HTTP1_ENDED:
        g_string_append_len(raw->pipelined, data + used,
                            (gssize)(size - used));
        return true;
    case HTTP1_BAD:
    case HTTP1_HEAD_TOO_LARGE:
        if (raw->connection.request != NULL) {
            return false;
        }
        if (result == HTTP1_BAD) {
            reject_malformed(raw);
        }
        else {
            reject_head(raw, "431 Request Header Fields Too Large");
        }
        return true;
    case HTTP1_MORE:
        break;
    }
    if (http1_head_size(raw->http1) > get_head_limit(raw)) {
        reject_head(raw, "431 Request Header Fields Too Large");
    }
    else if (http1_head_size(raw->http1) > 0 && raw->head_started_ms == 0) {
        raw->head_started_ms = base_clock_ms();
    }
    return true;
}

static int
on_bytes(struct front_raw_connection *raw, const char *data, size_t size)
{
    if (raw->is_rejected) {
        return 0;
    }
    if (http1_is_paused(raw->http1) || raw->pipelined->len > 0) {
        g_string_append_len(raw->pipelined, data, (gssize)size);
        if (raw->pipelined->len > MAX_PIPELINED_BYTES) {
            lws_rx_flow_control(raw->wsi, 0);
        }
        return 0;
    }
    return parse_bytes(raw, data, size) ? 0 : -1;
}

/* Continues writing the response or, after it, parses the buffered bytes.
 * This runs from a timer because libwebsockets drops a request for another
 * write callback that is made within a write callback. */
static void
resume(lws_sorted_usec_list_t *timer)
{
    struct front_raw_connection *raw =
        lws_container_of(timer, struct front_raw_connection, resume_timer);
    GString *pipelined = raw->pipelined;

    if (raw->connection.request != NULL) {
        lws_callback_on_writable(raw->wsi);
        return;
    }
    if (pipelined->len == 0) {
        return;
    }
    raw->pipelined = g_string_new(NULL);
    if (!parse_bytes(raw, pipelined->str, pipelined->len)) {
        lws_set_timeout(raw->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    g_string_free(pipelined, TRUE);
}

static void
schedule_resume(struct front_raw_connection *raw)
{
    lws_sul_schedule(raw->front->lws, 0, &raw->resume_timer, resume, 1);
}

static void
write_again(struct front_request *request)
{
    schedule_resume((struct front_raw_connection *)request->connection);
}

/* Prepares the connection for the next request once a response has been
 * written; its bytes may have been received already. */
static int
finish_response(struct front_connection *connection, struct lws *wsi)
{
    struct front_raw_connection *raw =
        (struct front_raw_connection *)connection;

    http1_next(raw->http1);
    raw->idle_since_ms = base_clock_ms();
    lws_rx_flow_control(wsi, 1);
    if (raw->pipelined->len > 0) {
        schedule_resume(raw);
    }
    return 0;
}

static bool
write_head(struct front_request *request)
{
    GString *head = g_string_sized_new(LWS_PRE + RESPONSE_HEAD_SIZE);
    size_t size;
    bool is_ok;

    g_string_set_size(head, LWS_PRE);
    g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", request->status,
                           http1_reason(request->status));
    if (request->closes_after) {
        front_add_header(request, "connection", "close");
    }
    for (guint i = 0; i + 1 < request->response_headers->len; i += 2) {
        g_string_append_printf(
            head, "%s %s\r\n", (char *)request->response_headers->pdata[i],
            (char *)request->response_headers->pdata[i + 1]);
    }
    g_string_append(head, "\r\n");
    size = head->len - LWS_PRE;
    request->is_head_written = true;
    is_ok = lws_write(request->wsi, (unsigned char *)head->str + LWS_PRE, size,
                      LWS_WRITE_RAW) >= 0;
    g_string_free(head, TRUE);
    return is_ok;
}

static const struct front_transport RAW_TRANSPORT = {
    write_head, LWS_WRITE_RAW, write_again, finish_response};

/* ---- connections ---- */

/* Returns what the address serves to which a connection was made. */
static unsigned
find_serves(const struct front_raw_connections *connections, struct lws *wsi)
{
    const struct lws_vhost *vhost = lws_get_vhost(wsi);

    for (int i = 0; i < connections->n_vhosts; i++) {
        if (connections->vhosts[i] == vhost) {
            return connections->serves[i];
        }
    }
    return 0;
}

static int
on_open(struct lws *wsi)
{
    struct front_raw_connection *raw = g_new0(struct front_raw_connection, 1);

    raw->front = lws_context_user(lws_get_context(wsi));
    raw->wsi = wsi;
    raw->serves = find_serves(&raw->front->raw_connections, wsi);
    raw->link.data = raw;
    raw->pipelined = g_string_new(NULL);
    raw->idle_since_ms = base_clock_ms();
    raw->http1 = http1_new(&PARSER_OPS, raw);
    lws_set_opaque_user_data(wsi, raw);
    g_queue_push_tail_link(&raw->front->raw_connections.open, &raw->link);
    return 0;
}

static void
on_close(struct lws *wsi, struct front_raw_connection *raw)
{
    lws_set_opaque_user_data(wsi, NULL);
    lws_sul_cancel(&raw->resume_timer);
    if (raw->connection.request != NULL) {
        front_request_closed(raw->connection.request);
    }
    g_queue_unlink(&raw->front->raw_connections.open, &raw->link);
    g_string_free(raw->pipelined, TRUE);
    http1_free(raw->http1);
    g_free(raw);
}

static int
on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct front_raw_connection *raw =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);

    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        return raw == NULL ? on_open(wsi) : 0;
    case LWS_CALLBACK_RAW_RX:
        return raw == NULL ? -1 : on_bytes(raw, in, size);
    case LWS_CALLBACK_RAW_WRITEABLE:
        return raw != NULL && raw->connection.request != NULL
                   ? front_request_writable(raw->connection.request)
                   : 0;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (raw != NULL) {
            on_close(wsi, raw);
        }
        return 0;
    default:
        return 0;
    }
}

static const struct lws_protocols PROTOCOLS[] = {
    {"callers", on_event, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

/* Listens on an address of a site.  Fails with BASE_UNAVAILABLE. */
bool
front_raw_listen(struct front *front, const struct front_site_address *listen,
                 struct base_error *err)
{
    struct front_raw_connections *connections = &front->raw_connections;
    const char *address = listen->address;
    const char *colon = strrchr(address, ':');
    char *host = g_strndup(address, (gsize)(colon - address));
    char *name = g_strdup_printf("callers-%d", connections->n_vhosts);
    struct lws_context_creation_info info = {
        .port = (int)g_ascii_strtoll(colon + 1, NULL, 10),
        .iface = host,
        .vhost_name = name,
        .protocols = PROTOCOLS,
        .listen_accept_role = "raw-skt",
        .listen_accept_protocol = "callers",
        .timeout_secs = LIBRARY_TIMEOUT_S,
        .options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                   LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG |
                   /* With IPv6 enabled, the library ignores .iface. */
                   LWS_SERVER_OPTION_DISABLE_IPV6,
    };
    struct lws_vhost *vhost = lws_create_vhost(front->lws, &info);

    g_free(host);
    g_free(name);
    if (vhost == NULL) {
        base_error_set(err, BASE_UNAVAILABLE, "can't listen on %s", address);
        return false;
    }
    connections->serves[connections->n_vhosts] = listen->serves;
    connections->vhosts[connections->n_vhosts++] = vhost;
    return true;
}

static int64_t
or_default(int64_t value, int64_t default_value)
{
    return value > 0 ? value : default_value;
}

/* Returns whether the head takes too long to arrive or the connection has been
 * idle for too long. */
static bool
is_timed_out(const struct front_raw_connection *raw, int64_t now_ms)
{
    const struct world *world = raw->front->world;
    int64_t head_timeout_ms = or_default(
        world == NULL ? 0 : world->limits.header_ms, DEFAULT_HEAD_TIMEOUT_MS);
    int64_t idle_timeout_ms = or_default(
        world == NULL ? 0 : world->limits.idle_ms, DEFAULT_IDLE_TIMEOUT_MS);

    if (raw->connection.request != NULL || raw->is_rejected) {
        return false;
    }
    if (raw->head_started_ms != 0) {
        return now_ms - raw->head_started_ms > head_timeout_ms;
    }
    return now_ms - raw->idle_since_ms > idle_timeout_ms;
}

/* Closes the connections whose request head does not arrive in time, with
 * status 408, and those that have been idle for too long. */
void
front_raw_tick(struct front *front, int64_t now_ms)
{
    GList *next;

    for (GList *at = front->raw_connections.open.head; at != NULL; at = next) {
        struct front_raw_connection *raw = at->data;
        next = at->next;
        if (!is_timed_out(raw, now_ms)) {
            continue;
        }
        if (raw->head_started_ms != 0) {
            reject_head(raw, "408 Request Timeout");
            continue;
        }
        lws_set_timeout(raw->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}
