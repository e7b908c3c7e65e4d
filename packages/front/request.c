#include "front/front_private.h"

#include <string.h>

enum {
    HEADER_SIZE = 256,
    RANDOM_ID_SIZE = 33, /* 128 bits in hexadecimal digits */
    /* A request body must arrive within MIN_BODY_MS plus its size divided by
     * BODY_BYTES_PER_S. */
    BODY_BYTES_PER_S = 65536,
    MIN_BODY_MS = 20000,
};

/* Creates a request on a connection, which holds the first reference until
 * front_request_closed. */
struct front_request *
front_request_new(struct front *front, struct lws *wsi)
{
    struct front_request *request = g_new0(struct front_request, 1);

    request->references = 1;
    request->front = front;
    request->wsi = wsi;
    request->link.data = request;
    request->transport = &FRONT_HTTP;
    request->response_headers = g_ptr_array_new_with_free_func(g_free);
    request->out = g_string_new(NULL);
    request->operator_index = WORLD_NONE;
    request->started_us = base_clock_us();
    request->last_progress_ms = request->started_us / 1000;
    request->id = g_malloc(RANDOM_ID_SIZE);
    base_random_id(request->id, RANDOM_ID_SIZE);
    if (front->world != NULL) {
        request->world = world_ref(front->world);
    }
    g_queue_push_tail_link(&front->requests, &request->link);
    g_atomic_int_inc(&front->n_open);
    base_counter_add(front->metrics.open_requests, 1);
    return request;
}

/* Takes a reference, for a call whose reply arrives later. */
struct front_request *
front_request_ref(struct front_request *request)
{
    request->references++;
    return request;
}

/* Releases a reference. */
void
front_request_unref(struct front_request *request)
{
    if (--request->references > 0) {
        return;
    }
    front_body_end(request);
    g_free(request->id);
    g_free(request->path);
    g_free(request->query);
    g_free(request->content_type);
    g_free(request->range);
    g_free(request->target);
    if (request->request_headers != NULL) {
        g_ptr_array_free(request->request_headers, TRUE);
    }
    if (request->body != NULL) {
        g_string_free(request->body, TRUE);
    }
    g_string_free(request->out, TRUE);
    g_ptr_array_free(request->response_headers, TRUE);
    if (request->world != NULL) {
        world_unref(request->world);
    }
    g_free(request);
}

static char *
copy_known_header(struct lws *wsi, enum lws_token_indexes token)
{
    int size = lws_hdr_total_length(wsi, token);
    char *text;

    if (size <= 0) {
        return NULL;
    }
    text = g_malloc((gsize)size + 1);
    if (lws_hdr_copy(wsi, text, size + 1, token) < 0) {
        text[0] = '\0';
    }
    return text;
}

static bool
copy_custom_header(struct lws *wsi, const char *name, char *out, size_t size)
{
    if (lws_hdr_custom_copy(wsi, out, (int)size, name, (int)strlen(name)) <=
        0) {
        out[0] = '\0';
        return false;
    }
    return true;
}

/* Copies the query in encoded form, so that it can be passed on and split at
 * '&'.  libwebsockets only returns decoded fragments. */
static char *
copy_query(struct lws *wsi)
{
    GString *query = g_string_new(NULL);
    char fragment[2048];

    for (int i = 0; lws_hdr_copy_fragment(wsi, fragment, sizeof(fragment),
                                          WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
         i++) {
        if (query->len > 0) {
            g_string_append_c(query, '&');
        }
        g_string_append_uri_escaped(query, fragment, "=/:,;@!$*()'", FALSE);
    }
    return g_string_free(query, query->len == 0);
}

static const char *
method_name(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_PATCH:
        return "PATCH";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    case LWSHUMETH_OPTIONS:
        return "OPTIONS";
    default:
        return "-";
    }
}

static void
read_deadline(struct front_request *request)
{
    char text[24];
    int64_t requested = 0;
    int64_t limit = 60000;
    int64_t max = 600000;

    if (request->world != NULL) {
        limit = request->world->limits.deadline_ms;
        max = request->world->limits.max_deadline_ms;
    }
    if (copy_custom_header(request->wsi, "x-deadline-ms:", text,
                           sizeof(text))) {
        requested = g_ascii_strtoll(text, NULL, 10);
    }
    if (requested > 0) {
        limit = MIN(requested, max);
    }
    request->deadline_ms = request->started_us / 1000 + limit;
}

static void
read_head(struct front_request *request)
{
    struct lws *wsi = request->wsi;
    struct base_span_context parent;
    char text[HEADER_SIZE];
    char *path = NULL;
    int size = 0;
    int method = lws_http_get_uri_and_method(wsi, &path, &size);

    g_strlcpy(request->method, method_name(method), sizeof(request->method));
    request->path = path == NULL ? g_strdup("") : g_strndup(path, (gsize)size);
    request->query = copy_query(wsi);
    request->content_type =
        copy_known_header(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    request->range = copy_known_header(wsi, WSI_TOKEN_HTTP_RANGE);
    copy_custom_header(wsi, "idempotency-key:", request->idempotency_key,
                       sizeof(request->idempotency_key));
    if (lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) >
        0) {
        request->body_expected = MAX(g_ascii_strtoll(text, NULL, 10), 0);
    }
    request->is_body_complete = request->body_expected == 0;
    read_deadline(request);
    bool has_parent =
        copy_custom_header(wsi, "traceparent:", text, sizeof(text)) &&
        base_traceparent_parse(text, &parent);
    base_span_start(&request->span, "front.request",
                    has_parent ? &parent : NULL);
}

/* Refuses a head that is larger than the limit.  libwebsockets parses heads of
 * up to BACKENDS_HEAD_SIZE bytes and closes the connection on larger ones.
 * The bytes received so far may include a part of the body, so their number
 * less the body's whole size is a lower bound of the head's size. */
static bool
check_head_size(struct front_request *request)
{
    int64_t size = request->received_bytes - request->body_expected;
    int64_t limit = request->world == NULL
                        ? BACKENDS_HEAD_SIZE
                        : request->world->limits.header_bytes;

    if (size > limit) {
        front_fail(request, &FRONT_HEAD_TOO_LARGE,
                   "the head has %" G_GINT64_FORMAT
                   " bytes, the limit is %" G_GINT64_FORMAT,
                   size, limit);
        request->closes_after = true;
        return false;
    }
    return true;
}

static bool
check_body_head(struct front_request *request)
{
    int64_t limit =
        request->world == NULL ? 0 : request->world->limits.body_bytes;

    if (request->request_headers == NULL &&
        lws_hdr_total_length(request->wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) >
            0) {
        front_fail(request, &FRONT_LENGTH_REQUIRED,
                   "a request body needs a content-length");
        request->closes_after = true;
        return false;
    }
    if (request->route->handler->body == NULL &&
        request->body_expected > limit) {
        char text[128];
        g_snprintf(text, sizeof(text),
                   "the body has %" G_GINT64_FORMAT
                   " bytes, the limit is %" G_GINT64_FORMAT,
                   request->body_expected, limit);
        front_fail_by_config(request, &FRONT_TOO_LARGE, text);
        return false;
    }
    return true;
}

/* Returns the value of a header, or NULL.  Only for requests whose head this
 * package parsed (raw_connection.c), not libwebsockets. */
const char *
front_request_header(const struct front_request *request, const char *name)
{
    for (guint i = 0; request->request_headers != NULL &&
                      i + 1 < request->request_headers->len;
         i += 2) {
        if (g_ascii_strcasecmp(request->request_headers->pdata[i], name) ==
            0) {
            return request->request_headers->pdata[i + 1];
        }
    }
    return NULL;
}

static bool
find_route(struct front_request *request)
{
    static const struct front_handler NONE = {0};
    static const struct front_route UNKNOWN = {"unknown", "*", "",
                                               true,      0,   &NONE};
    bool is_known_path = false;

    if (request->front->protocol != NULL) {
        request->route = front_protocol_route(request);
        return request->status == 0;
    }
    request->route =
        front_route_find(request->method, request->path, &is_known_path);
    if (request->route != NULL) {
        return true;
    }
    request->route = &UNKNOWN;
    if (is_known_path) {
        front_fail(request, &FRONT_WRONG_METHOD, "%s is not served here",
                   request->method);
    }
    else {
        front_fail(request, &FRONT_NOT_FOUND, "there is no such path");
    }
    return false;
}

static void
send_continue(struct front_request *request)
{
    unsigned char space[LWS_PRE + 32];
    unsigned char *at = space + LWS_PRE;
    static const char TEXT[] = "HTTP/1.1 100 Continue\r\n\r\n";

    bool is_expected =
        request->request_headers != NULL
            ? front_request_header(request, "expect") != NULL
            : lws_hdr_total_length(request->wsi, WSI_TOKEN_HTTP_EXPECT) > 0;

    if (request->is_body_complete || !is_expected) {
        return;
    }
    if (request->status != 0) {
        /* The caller waits for 100 Continue and won't send its body. */
        request->closes_after = true;
        lws_callback_on_writable(request->wsi);
        return;
    }
    memcpy(at, TEXT, sizeof(TEXT) - 1);
    lws_write(request->wsi, at, sizeof(TEXT) - 1,
              (enum lws_write_protocol)request->transport->write_kind);
}

/* Called when libwebsockets has parsed a request's head. */
void
front_request_accept(struct front_request *request)
{
    read_head(request);
    front_request_begin(request);
}

/* Finds the route of a request whose head has been parsed, authenticates the
 * caller and starts the handler. */
void
front_request_begin(struct front_request *request)
{
    if (find_route(request) && check_head_size(request) &&
        check_body_head(request) &&
        (request->route->scope == 0 || front_authorize(request))) {
        const struct front_handler *handler = request->route->handler;
        if (handler->begin != NULL) {
            handler->begin(request);
        }
        if (handler->body == NULL) {
            request->body = g_string_new(NULL);
            if (request->status == 0 && !request->is_body_complete) {
                front_body_begin(request);
            }
        }
    }
    send_continue(request);
    if (request->is_body_complete && request->status == 0) {
        request->route->handler->run(request);
    }
}

/* Receives bytes of the body. */
void
front_request_body(struct front_request *request, const char *data,
                   size_t size)
{
    request->body_received += (int64_t)size;
    request->last_progress_ms = base_clock_ms();
    if (request->status != 0) {
        return; /* has a response already; the body is dropped */
    }
    if (request->route->handler->body != NULL) {
        request->route->handler->body(request, data, size);
        return;
    }
    if (request->is_chunked && request->world != NULL &&
        request->body_received > request->world->limits.body_bytes) {
        char text[128];
        g_snprintf(text, sizeof(text),
                   "the body is larger than %" G_GINT64_FORMAT " bytes",
                   request->world->limits.body_bytes);
        front_fail_by_config(request, &FRONT_TOO_LARGE, text);
        request->closes_after = true;
        lws_callback_on_writable(request->wsi);
        return;
    }
    if (!front_body_grow(request)) {
        return;
    }
    if (request->body->len == 0 && request->body_expected > 0) {
        g_string_free(request->body, TRUE);
        request->body = g_string_sized_new((gsize)request->body_expected);
    }
    g_string_append_len(request->body, data, (gssize)size);
}

/* Called when the body is complete. */
void
front_request_body_end(struct front_request *request)
{
    if (request->is_body_complete) {
        return;
    }
    request->is_body_complete = true;
    if (request->status == 0) {
        request->route->handler->run(request);
    }
    else {
        lws_callback_on_writable(request->wsi);
    }
}

/* Pauses or resumes reading the body. */
void
front_request_pause_body(struct front_request *request, bool is_paused)
{
    if (request->wsi == NULL || request->is_paused == is_paused) {
        return;
    }
    request->is_paused = is_paused;
    request->last_progress_ms = base_clock_ms();
    lws_rx_flow_control(request->wsi, is_paused ? 0 : 1);
}

/* Records the time of a request, for front_is_idle.  Requests that need no key
 * are left out: health checks and metrics never cease, and a planned stop must
 * not wait for them. */
static void
record_request_time(const struct front_request *request)
{
    if (request->route != NULL && request->route->scope != 0) {
        __atomic_store_n(&request->front->last_request_ms, base_clock_ms(),
                         __ATOMIC_RELAXED);
    }
}

static void
count_request(struct front_request *request)
{
    char name[128];
    int status = request->status;
    int64_t took_us = base_clock_us() - request->started_us;

    g_snprintf(name, sizeof(name),
               "requests_total{route=\"%s\",class=\"%s\",status=\"%d\"}",
               request->route->name,
               request->class_name ? request->class_name : "none", status);
    base_counter_add(base_counter(request->front->metrics.counters, name), 1);
    base_log(request->class_name != NULL || status >= 500 ? BASE_LOG_INFO
                                                          : BASE_LOG_DEBUG,
             "front.request",
             "id=%s route=%s operator=%s status=%d took_us=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT,
             request->id, request->route->name, request->operator_name, status,
             took_us, request->world != NULL ? request->world->revision : 0);
    base_span_attribute(&request->span, "request_id", "%s", request->id);
    base_span_attribute(&request->span, "route", "%s", request->route->name);
    base_span_attribute(&request->span, "operator", "%s",
                        request->operator_name);
    base_span_attribute(&request->span, "status", "%d", status);
    request->span.failed = status >= 500 || status == 0;
    base_span_end(&request->span, request->front->tracer);
}

/* Closes a request that has its response or whose caller disconnected (status
 * 0 if it had no response yet), and releases the connection's reference. */
void
front_request_closed(struct front_request *request)
{
    struct front *front = request->front;

    if (request->wsi == NULL) {
        return;
    }
    request->connection->request = NULL;
    request->wsi = NULL;
    g_queue_unlink(&front->requests, &request->link);
    front_body_closed(request);
    front_admit_end(request);
    if (request->route != NULL) {
        if (request->route->handler->closed != NULL) {
            request->route->handler->closed(request);
        }
        count_request(request);
    }
    if (request->is_stream) {
        base_counter_add(front->metrics.open_streams, -1);
    }
    base_counter_add(front->metrics.open_requests, -1);
    record_request_time(request);
    g_atomic_int_add(&front->n_open, -1);
    front_request_unref(request);
}

static void
close_connection(struct front_request *request, const char *why)
{
    struct lws *wsi = request->wsi;

    base_log(BASE_LOG_INFO, "front.caller_closed", "id=%s why=\"%s\"",
             request->id, why);
    front_request_closed(request);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static bool
is_body_overdue(const struct front_request *request, int64_t now_ms)
{
    int64_t started_ms = request->started_us / 1000;
    int64_t max_ms =
        MIN_BODY_MS + request->body_expected * 1000 / BODY_BYTES_PER_S;

    if (request->is_body_complete || request->is_paused) {
        return false;
    }
    return now_ms - request->last_progress_ms >
               request->front->caller_silence_ms ||
           (request->route->handler->body == NULL &&
            now_ms - started_ms > max_ms);
}

/* Called twice a second: fails the request or closes the connection when the
 * caller sends or reads too slowly, and calls the handler's tick. */
void
front_request_tick(struct front_request *request, int64_t now_ms)
{
    int64_t silent_ms = now_ms - request->last_progress_ms;

    front_body_tick(request, now_ms);
    if (is_body_overdue(request, now_ms)) {
        if (request->status != 0) {
            close_connection(request,
                             "the request body did not arrive in time");
            return;
        }
        front_fail(request, &FRONT_CALLER_SLOW,
                   "the request body arrived too slowly");
        request->closes_after = true;
        lws_callback_on_writable(request->wsi);
        return;
    }
    if (request->is_head_written &&
        (front_pending(request) > 0 || request->is_ended) &&
        silent_ms > request->front->caller_silence_ms) {
        close_connection(request,
                         "the caller did not read the answer in time");
        return;
    }
    if (request->route->handler->tick != NULL) {
        request->route->handler->tick(request, now_ms);
    }
}

/* Returns a copy of a query parameter, decoded, or NULL when it is not
 * given. */
char *
front_request_query_copy(const struct front_request *request, const char *name)
{
    size_t name_size = strlen(name);
    char *value = NULL;
    char **parts;

    if (request->query == NULL) {
        return NULL;
    }
    parts = g_strsplit(request->query, "&", -1);
    for (int i = 0; parts[i] != NULL && value == NULL; i++) {
        if (strncmp(parts[i], name, name_size) == 0 &&
            parts[i][name_size] == '=') {
            value = g_uri_unescape_string(parts[i] + name_size + 1, NULL);
            value = value != NULL ? value : g_strdup("");
        }
    }
    g_strfreev(parts);
    return value;
}

/* Copies as much of a query parameter, decoded, as fits; returns false when it
 * is not given. */
bool
front_request_query(const struct front_request *request, const char *name,
                    char *out, size_t size)
{
    char *value = front_request_query_copy(request, name);
    bool is_found = value != NULL;

    g_strlcpy(out, is_found ? value : "", size);
    g_free(value);
    return is_found;
}
