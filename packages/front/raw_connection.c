#include "front/front_private.h"

#include <string.h>

#include "front/http1.h"

/* Callers' connections of a site, which the library hands over as they are:
 * its own HTTP server takes no bodies in chunks. */

enum {
    DEFAULT_IDLE_MS = 15000, /* a kept connection at rest */
    DEFAULT_HEAD_MS = 5000,  /* for a head to arrive */
    HEAD_LIMIT = BACKENDS_HEAD_SIZE,
    MAX_BEHIND = 65536, /* bytes of later requests, kept while one is served */
    HEAD_SIZE = 1024,
    PLAIN_SIZE = 256, /* an answer before any request was read */
    LIBRARY_TIMEOUT_S = 24 * 3600,
};

static const struct front_transport RAW;

struct front_raw_connection {
    struct front_connection connection; /* first: requests point to it */
    GList link;
    struct front *front;
    struct lws *wsi;
    struct http1 *http1;
    GString *behind; /* came after the request that is served now */
    int64_t head_ms; /* when the head began to arrive; 0: none does */
    int64_t rest_ms; /* since when no request is open */
    bool is_broken;  /* not to be parsed any more */
    lws_sorted_usec_list_t again;
};

static void
take_target(struct front_request *request, const char *target)
{
    const char *query = strchr(target, '?');

    request->target = g_strdup(target);
    request->path = query == NULL ? g_strdup(target)
                                  : g_strndup(target, (gsize)(query - target));
    request->query = query == NULL ? NULL : g_strdup(query + 1);
}

static void
take_id(struct front_request *request)
{
    const char *id =
        front_request_header(request, request->front->protocol->request_id);

    if (id != NULL && id[0] != '\0') {
        g_strlcpy(request->id, id, sizeof(request->id));
    }
}

static void
take_deadline(struct front_request *request)
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
    struct front_raw_connection *peer = context;
    struct front_request *request = front_request_new(peer->front, peer->wsi);

    peer->connection.request = request;
    peer->head_ms = 0;
    request->connection = &peer->connection;
    request->transport = &RAW;
    request->head = head->fields;
    g_strlcpy(request->method, head->method, sizeof(request->method));
    take_target(request, head->target);
    take_id(request);
    take_deadline(request);
    request->content_type =
        g_strdup(front_request_header(request, "content-type"));
    request->is_chunked = head->is_chunked;
    request->body_expected = head->length;
    request->received_bytes = (int64_t)head->size + head->length;
    request->is_body_complete = !head->is_chunked && head->length == 0;
    request->closes_after = !head->is_kept;
    base_span_start(&request->span, "front.request", NULL);
    front_request_begin(request);
}

/* ---- a body ---- */

static void
on_body(void *context, const char *data, size_t size)
{
    struct front_raw_connection *peer = context;

    if (peer->connection.request != NULL) {
        front_request_body(peer->connection.request, data, size);
    }
}

static void
on_end(void *context)
{
    struct front_raw_connection *peer = context;

    if (peer->connection.request != NULL) {
        front_request_body_end(peer->connection.request);
    }
}

static const struct http1_ops READING = {on_head, on_body, on_end};

/* ---- bytes ---- */

static void
answer_plainly(struct front_raw_connection *peer, const char *text)
{
    unsigned char space[LWS_PRE + PLAIN_SIZE];
    size_t size;

    peer->is_broken = true;
    size = g_strlcpy((char *)space + LWS_PRE, text, PLAIN_SIZE);
    lws_write(peer->wsi, space + LWS_PRE, size, LWS_WRITE_RAW);
    lws_set_timeout(peer->wsi, PENDING_TIMEOUT_USER_OK, 1);
}

static size_t
head_limit(const struct front_raw_connection *peer)
{
    const struct world *world = peer->front->world;

    return world != NULL && world->limits.header_bytes > 0
               ? (size_t)world->limits.header_bytes
               : HEAD_LIMIT;
}

static void
refuse_head(struct front_raw_connection *peer, const char *status)
{
    char text[128];

    g_snprintf(text, sizeof(text),
               "HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close"
               "\r\n\r\n",
               status);
    answer_plainly(peer, text);
}

/* Reads what arrived.  False when the connection is to be closed. */
static bool
feed(struct front_raw_connection *peer, const char *data, size_t size)
{
    size_t used = 0;
    enum http1_result result = http1_feed(peer->http1, data, size, &used);

    switch (result) {
    case HTTP1_ENDED:
        g_string_append_len(peer->behind, data + used, (gssize)(size - used));
        return true;
    case HTTP1_BAD:
    case HTTP1_HEAD_TOO_LARGE:
        if (peer->connection.request != NULL) {
            return false;
        }
        refuse_head(peer, result == HTTP1_BAD
                              ? "400 Bad Request"
                              : "431 Request Header Fields Too Large");
        return true;
    case HTTP1_MORE:
        break;
    }
    if (http1_head_size(peer->http1) > head_limit(peer)) {
        refuse_head(peer, "431 Request Header Fields Too Large");
    }
    else if (http1_head_size(peer->http1) > 0 && peer->head_ms == 0) {
        peer->head_ms = base_clock_ms();
    }
    return true;
}

static int
on_bytes(struct front_raw_connection *peer, const char *data, size_t size)
{
    if (peer->is_broken) {
        return 0;
    }
    if (http1_is_waiting(peer->http1) || peer->behind->len > 0) {
        g_string_append_len(peer->behind, data, (gssize)size);
        if (peer->behind->len > MAX_BEHIND) {
            lws_rx_flow_control(peer->wsi, 0);
        }
        return 0;
    }
    return feed(peer, data, size) ? 0 : -1;
}

/* What can't be done within a write: the library would forget a wish to
 * write on that comes from there. */
static void
go_on(lws_sorted_usec_list_t *timer)
{
    struct front_raw_connection *peer =
        lws_container_of(timer, struct front_raw_connection, again);
    GString *behind = peer->behind;

    if (peer->connection.request != NULL) {
        lws_callback_on_writable(peer->wsi);
        return;
    }
    if (behind->len == 0) {
        return;
    }
    peer->behind = g_string_new(NULL);
    if (!feed(peer, behind->str, behind->len)) {
        lws_set_timeout(peer->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    g_string_free(behind, TRUE);
}

static void
go_on_soon(struct front_raw_connection *peer)
{
    lws_sul_schedule(peer->front->lws, 0, &peer->again, go_on, 1);
}

static void
write_again(struct front_request *request)
{
    go_on_soon((struct front_raw_connection *)request->connection);
}

/* The answer to a request is out: the next one may have come meanwhile. */
static int
next_on_raw(struct front_connection *connection, struct lws *wsi)
{
    struct front_raw_connection *peer =
        (struct front_raw_connection *)connection;

    http1_next(peer->http1);
    peer->rest_ms = base_clock_ms();
    lws_rx_flow_control(wsi, 1);
    if (peer->behind->len > 0) {
        go_on_soon(peer);
    }
    return 0;
}

static bool
write_head(struct front_request *request)
{
    GString *head = g_string_sized_new(LWS_PRE + HEAD_SIZE);
    size_t size;
    bool is_ok;

    g_string_set_size(head, LWS_PRE);
    g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", request->status,
                           http1_reason(request->status));
    if (request->closes_after) {
        front_add_header(request, "connection", "close");
    }
    for (guint i = 0; i + 1 < request->headers->len; i += 2) {
        g_string_append_printf(head, "%s %s\r\n",
                               (char *)request->headers->pdata[i],
                               (char *)request->headers->pdata[i + 1]);
    }
    g_string_append(head, "\r\n");
    size = head->len - LWS_PRE;
    request->is_head_written = true;
    is_ok = lws_write(request->wsi, (unsigned char *)head->str + LWS_PRE, size,
                      LWS_WRITE_RAW) >= 0;
    g_string_free(head, TRUE);
    return is_ok;
}

static const struct front_transport RAW = {write_head, LWS_WRITE_RAW,
                                           write_again, next_on_raw};

/* ---- connections ---- */

static int
on_open(struct lws *wsi)
{
    struct front_raw_connection *peer = g_new0(struct front_raw_connection, 1);

    peer->front = lws_context_user(lws_get_context(wsi));
    peer->wsi = wsi;
    peer->link.data = peer;
    peer->behind = g_string_new(NULL);
    peer->rest_ms = base_clock_ms();
    peer->http1 = http1_new(&READING, peer);
    lws_set_opaque_user_data(wsi, peer);
    g_queue_push_tail_link(&peer->front->raw_connections.open, &peer->link);
    return 0;
}

static void
on_close(struct lws *wsi, struct front_raw_connection *peer)
{
    lws_set_opaque_user_data(wsi, NULL);
    lws_sul_cancel(&peer->again);
    if (peer->connection.request != NULL) {
        front_request_closed(peer->connection.request);
    }
    g_queue_unlink(&peer->front->raw_connections.open, &peer->link);
    g_string_free(peer->behind, TRUE);
    http1_free(peer->http1);
    g_free(peer);
}

static int
on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct front_raw_connection *peer =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);

    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        return peer == NULL ? on_open(wsi) : 0;
    case LWS_CALLBACK_RAW_RX:
        return peer == NULL ? -1 : on_bytes(peer, in, size);
    case LWS_CALLBACK_RAW_WRITEABLE:
        return peer != NULL && peer->connection.request != NULL
                   ? front_request_writable(peer->connection.request)
                   : 0;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (peer != NULL) {
            on_close(wsi, peer);
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

/* Listens for callers on "IP:port".  Fails with BASE_UNAVAILABLE. */
bool
front_raw_listen(struct front *front, const char *address,
                 struct base_error *err)
{
    const char *colon = strrchr(address, ':');
    char *host = g_strndup(address, (gsize)(colon - address));
    char *name =
        g_strdup_printf("callers-%d", front->raw_connections.n_vhosts);
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
                   /* With IPv6 on, the address is not looked at. */
                   LWS_SERVER_OPTION_DISABLE_IPV6,
    };
    struct lws_vhost *vhost = lws_create_vhost(front->lws, &info);

    g_free(host);
    g_free(name);
    if (vhost == NULL) {
        base_error_set(err, BASE_UNAVAILABLE, "can't listen on %s", address);
        return false;
    }
    front->raw_connections.vhosts[front->raw_connections.n_vhosts++] = vhost;
    return true;
}

static int64_t
or_default(int64_t value, int64_t default_value)
{
    return value > 0 ? value : default_value;
}

static bool
is_overdue(const struct front_raw_connection *peer, int64_t now_ms)
{
    const struct world *world = peer->front->world;
    int64_t head_ms = or_default(world == NULL ? 0 : world->limits.header_ms,
                                 DEFAULT_HEAD_MS);
    int64_t idle_ms =
        or_default(world == NULL ? 0 : world->limits.idle_ms, DEFAULT_IDLE_MS);

    if (peer->connection.request != NULL || peer->is_broken) {
        return false;
    }
    if (peer->head_ms != 0) {
        return now_ms - peer->head_ms > head_ms;
    }
    return now_ms - peer->rest_ms > idle_ms;
}

/* Closes connections whose head does not come and those at rest for too
 * long. */
void
front_raw_tick(struct front *front, int64_t now_ms)
{
    GList *next;

    for (GList *at = front->raw_connections.open.head; at != NULL; at = next) {
        struct front_raw_connection *peer = at->data;
        next = at->next;
        if (!is_overdue(peer, now_ms)) {
            continue;
        }
        if (peer->head_ms != 0) {
            refuse_head(peer, "408 Request Timeout");
            continue;
        }
        lws_set_timeout(peer->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}
