#include "front/exchange.h"

#include <string.h>

#include "base/event_stream.h"
#include "base/http_text.h"

/* Handles requests whose route is selected by host and path.  Streams are
 * relayed event by event, so that a broken one can resume on another server
 * after the last complete event.  Other responses are buffered until they are
 * complete, up to MAX_BUFFERED bytes, so that the request can still be tried
 * again when one breaks. */

enum {
    MAX_BUFFERED = 262144,    /* bytes of a response that is no stream */
    MAX_EVENT_BYTES = 262144, /* maximum size of one event of a stream */
    /* Time limit for the first event or byte of a response when another server
     * may serve the request instead: a multiple of the route's target, but at
     * least MIN_FIRST_OUTPUT_MS. */
    FIRST_OUTPUT_TARGET_FACTOR = 4,
    MIN_FIRST_OUTPUT_MS = 1000,
    /* retry-after of a refusal; slots become free several times within it. */
    RETRY_AFTER_MS = 150,
};

struct ingress {
    struct exchange exchange;
    char last_event[64]; /* the id of the last event relayed */
    /* The last 5xx response, sent if no attempt succeeds. */
    int failed_status; /* 0: none */
    GString *failed_body;
    GPtrArray *failed_headers;
};

/* Copies the headers that the caller gets from the head of a response. */
static void
copy_relayed_headers(struct exchange *exchange, struct attempt *attempt)
{
    const struct front_protocol *protocol = exchange->front->protocol;

    attempt->relayed_headers = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; protocol->relayed_headers[i] != NULL; i++) {
        const char *value =
            backends_header(&exchange->front->backends, attempt->call,
                            protocol->relayed_headers[i]);
        if (value != NULL) {
            g_ptr_array_add(attempt->relayed_headers,
                            g_strdup(protocol->relayed_headers[i]));
            g_ptr_array_add(attempt->relayed_headers, g_strdup(value));
        }
    }
}

static void
on_head(struct exchange *exchange, struct attempt *attempt)
{
    attempt->buffered_body = g_string_new(NULL);
    copy_relayed_headers(exchange, attempt);
    if (!attempt->is_event_stream) {
        attempt->first_token_us = MAX(base_clock_us() - attempt->sent_us, 1);
    }
}

static void
add_headers(struct front_request *request, const GPtrArray *headers)
{
    for (guint i = 0; headers != NULL && i + 1 < headers->len; i += 2) {
        front_add_header(request, headers->pdata[i], headers->pdata[i + 1]);
    }
}

/* Starts the response to the caller, unless an earlier attempt has. */
static void
begin_stream(struct exchange *exchange, struct attempt *attempt)
{
    struct front_request *request = exchange->request;

    if (request->status != 0) {
        return;
    }
    add_headers(request, attempt->relayed_headers);
    front_stream_begin(request, attempt->status, attempt->content_type);
}

/* Stops reading from the server while too many bytes wait for the caller. */
static void
pause_if_full(struct exchange *exchange, struct attempt *attempt)
{
    if (front_pending(exchange->request) > FRONT_HIGH_WATER) {
        backends_pause(&exchange->front->backends, attempt->call);
    }
}

/* ---- streams ---- */

/* Copies the id of an event, from its line "id: ..."; false if it has none. */
static bool
read_event_id(const char *event, size_t size, char *out, size_t out_size)
{
    const char *at = event;
    const char *line;
    size_t length;

    while (base_event_line(&at, event + size, &line, &length)) {
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            char *text = g_strndup(line + 3, length - 3);
            g_strlcpy(out, g_strstrip(text), out_size);
            g_free(text);
            return true;
        }
    }
    return false;
}

/* Relays one complete event, or drops it when another attempt has won.
 * Returns false when the attempt has ended. */
static bool
relay_event(struct ingress *ingress, struct attempt *attempt,
            const char *event, size_t size)
{
    struct exchange *exchange = &ingress->exchange;
    char id[sizeof(ingress->last_event)] = "";
    bool has_id = read_event_id(event, size, id, sizeof(id));

    if (!exchange_try_win(exchange, attempt)) {
        return true;
    }
    if (has_id && exchange->tokens > 0 && ingress->last_event[0] != '\0' &&
        g_ascii_strtoll(id, NULL, 10) <=
            g_ascii_strtoll(ingress->last_event, NULL, 10)) {
        exchange_fail_attempt(exchange, attempt, "server repeated an event");
        return false;
    }
    exchange->is_committed = !exchange->choice.is_idempotent;
    begin_stream(exchange, attempt);
    front_stream_write(exchange->request, event, size);
    if (has_id) {
        g_strlcpy(ingress->last_event, id, sizeof(ingress->last_event));
    }
    exchange->resume_after = ingress->last_event;
    exchange_count_token(exchange, attempt);
    return true;
}

static void
relay_events(struct ingress *ingress, struct attempt *attempt)
{
    size_t from = 0;
    size_t size;

    while ((size = base_event_size(attempt->buffered_body->str + from,
                                   attempt->buffered_body->len - from)) > 0) {
        if (!relay_event(ingress, attempt, attempt->buffered_body->str + from,
                         size)) {
            return;
        }
        from += size;
    }
    g_string_erase(attempt->buffered_body, 0, (gssize)from);
    if (attempt->buffered_body->len > MAX_EVENT_BYTES) {
        exchange_fail_attempt(&ingress->exchange, attempt,
                              "an event is too long: over 256 KiB");
        return;
    }
    pause_if_full(&ingress->exchange, attempt);
}

/* ---- other responses ---- */

/* Returns whether the body of a response that is no stream may reach the
 * caller.  It may not in place of the rest of a stream that has begun. */
static bool
can_use_body(const struct exchange *exchange, const struct attempt *attempt)
{
    return attempt->is_event_stream || exchange->tokens == 0;
}

static void
on_plain_body(struct exchange *exchange, struct attempt *attempt,
              const char *data, size_t size)
{
    struct front_request *request = exchange->request;

    if (!can_use_body(exchange, attempt)) {
        /* Read to its end, which tells whether the request was refused. */
        g_string_append_len(attempt->buffered_body, data, (gssize)size);
        if (attempt->buffered_body->len > MAX_BUFFERED) {
            exchange_fail_attempt(exchange, attempt,
                                  "a response that is no stream in place of "
                                  "the rest of one");
        }
        return;
    }
    if (exchange->is_committed) {
        front_stream_write(request, data, size);
        pause_if_full(exchange, attempt);
        return;
    }
    g_string_append_len(attempt->buffered_body, data, (gssize)size);
    if (attempt->buffered_body->len <= MAX_BUFFERED ||
        !exchange_try_win(exchange, attempt)) {
        return;
    }
    exchange->is_committed = true;
    begin_stream(exchange, attempt);
    front_stream_write(request, attempt->buffered_body->str,
                       attempt->buffered_body->len);
    g_string_truncate(attempt->buffered_body, 0);
    pause_if_full(exchange, attempt);
}

static void
on_body(struct exchange *exchange, struct attempt *attempt, const char *data,
        size_t size)
{
    if (!attempt->is_event_stream) {
        on_plain_body(exchange, attempt, data, size);
        return;
    }
    g_string_append_len(attempt->buffered_body, data, (gssize)size);
    relay_events((struct ingress *)exchange, attempt);
}

/* ---- ends of attempts and requests ---- */

/* Saves a 5xx response for the caller in case all other attempts fail too. */
static void
save_failed_response(struct ingress *ingress, struct attempt *attempt)
{
    if (ingress->failed_body != NULL) {
        g_string_free(ingress->failed_body, TRUE);
        g_ptr_array_free(ingress->failed_headers, TRUE);
    }
    ingress->failed_status = attempt->status;
    ingress->failed_body = g_steal_pointer(&attempt->buffered_body);
    ingress->failed_headers = g_steal_pointer(&attempt->relayed_headers);
}

static enum attempt_end
on_ended(struct exchange *exchange, struct attempt *attempt,
         const struct backends_result *result)
{
    struct ingress *ingress = (struct ingress *)exchange;

    if (!can_use_body(exchange, attempt)) {
        return ATTEMPT_BROKEN;
    }
    if (!result->is_complete || result->err.code != BASE_OK ||
        (result->verdict == BASE_NOT_RUN && result->status >= 400)) {
        return ATTEMPT_BROKEN;
    }
    if (attempt->is_event_stream) {
        return base_event_is_empty(attempt->buffered_body->str,
                                   attempt->buffered_body->len)
                   ? ATTEMPT_COMPLETE
                   : ATTEMPT_BROKEN;
    }
    if (result->status < 500 || exchange->is_committed) {
        return ATTEMPT_COMPLETE;
    }
    save_failed_response(ingress, attempt);
    return ATTEMPT_BROKEN;
}

static void
respond(struct front_request *request, int status, const char *content_type,
        const GPtrArray *headers, const GString *body)
{
    add_headers(request, headers);
    front_respond(request, status, content_type, body->str, body->len);
}

static void
log_relayed(const struct exchange *exchange, const struct attempt *attempt)
{
    int64_t started_us = exchange->request->started_us;

    base_log(BASE_LOG_INFO, "front.relayed",
             "id=%s server=%s status=%d tries=%d events=%d "
             "first_ms=%" G_GINT64_FORMAT " server_first_ms=%" G_GINT64_FORMAT
             " longest_gap_ms=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
             exchange->request->id, attempt->server_name, attempt->status,
             exchange->n_attempts, exchange->tokens,
             exchange->tokens > 0
                 ? (exchange->first_relayed_us - started_us) / 1000
                 : 0,
             attempt->first_token_us / 1000, exchange->longest_gap_us / 1000,
             (base_clock_us() - started_us) / 1000);
}

static void
on_completed(struct exchange *exchange, struct attempt *attempt)
{
    struct front_request *request = exchange->request;

    log_relayed(exchange, attempt);
    if (attempt->is_event_stream || exchange->is_committed) {
        begin_stream(exchange, attempt);
        /* Of a stream: line ends after its last event. */
        front_stream_write(request, attempt->buffered_body->str,
                           attempt->buffered_body->len);
        front_stream_end(request);
        return;
    }
    respond(request, attempt->status, attempt->content_type,
            attempt->relayed_headers, attempt->buffered_body);
}

/* Responds 503: the request was not run and may be tried again after
 * retry_after_ms. */
static void
refuse(struct front_request *request, int64_t retry_after_ms, const char *text)
{
    static const struct front_fault BUSY = {503, BASE_NOT_RUN, "server_error",
                                            "overloaded", 0};

    front_add_retry_after(request, retry_after_ms);
    front_fail(request, &BUSY, "%s", text);
}

static void
on_failed(struct exchange *exchange, const struct front_fault *fault,
          const char *text)
{
    struct ingress *ingress = (struct ingress *)exchange;
    struct front_request *request = exchange->request;

    base_log(BASE_LOG_INFO, "front.request_failed",
             "id=%s ran=%s attempts=%d events=%d left_ms=%" G_GINT64_FORMAT
             " reason=\"%s\"",
             request->id, base_verdict_name(fault->verdict),
             exchange->n_attempts, exchange->tokens,
             request->deadline_ms - base_clock_ms(), text);
    if (request->status != 0) {
        front_stream_break(request);
    }
    else if (ingress->failed_status != 0) {
        respond(request, ingress->failed_status, "", ingress->failed_headers,
                ingress->failed_body);
    }
    else if (fault->verdict == BASE_NOT_RUN) {
        refuse(request,
               exchange->retry_after_ms > 0 ? exchange->retry_after_ms
                                            : RETRY_AFTER_MS,
               text);
    }
    else {
        front_fail(request, fault, "%s", text);
    }
}

static const struct exchange_ops EXCHANGE_OPS = {
    on_head, on_body, on_ended, on_completed, on_failed,
};

/* ---- requests ---- */

/* Returns whether a header says who the caller is.  The API key is not
 * forwarded, and this node sets the operator's name. */
static bool
is_identity_header(const struct front_protocol *protocol, const char *name)
{
    return (protocol->api_key != NULL &&
            g_ascii_strcasecmp(protocol->api_key, name) == 0) ||
           (protocol->operator_name != NULL &&
            g_ascii_strcasecmp(protocol->operator_name, name) == 0);
}

/* Returns whether the call to the server sets a header, or this node decides
 * its value. */
static bool
is_set_here(const struct front_protocol *protocol, const char *name)
{
    const char *const set[] = {
        "content-length",        "host",
        "content-type",          protocol->request_id,
        protocol->deadline_ms,   protocol->expected_server,
        protocol->last_event_id,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(set); i++) {
        if (g_ascii_strcasecmp(set[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether a header concerns only the caller's connection, by its name
 * or because the caller says so. */
static bool
is_hop_header(const GPtrArray *headers, const char *name)
{
    if (base_http_is_hop_header(name)) {
        return true;
    }
    for (guint i = 0; i + 1 < headers->len; i += 2) {
        if (g_ascii_strcasecmp(headers->pdata[i], "connection") == 0 &&
            base_http_lists_header(headers->pdata[i + 1], name)) {
            return true;
        }
    }
    return false;
}

static void
append_header(GPtrArray *headers, const char *name, const char *value)
{
    g_ptr_array_add(headers, g_strdup(name));
    g_ptr_array_add(headers, g_strdup(value));
}

/* Copies the caller's headers that are forwarded to the server, and adds the
 * operator's name. */
static GPtrArray *
copy_headers(const struct front_request *request)
{
    const struct front_protocol *protocol = request->front->protocol;
    const GPtrArray *headers = request->request_headers;
    bool has_operators = request->world->has_operators;
    GPtrArray *copy = g_ptr_array_new_with_free_func(g_free);

    for (guint i = 0; i + 1 < headers->len; i += 2) {
        const char *name = headers->pdata[i];
        if (!is_set_here(protocol, name) && !is_hop_header(headers, name) &&
            !(has_operators && is_identity_header(protocol, name))) {
            append_header(copy, name, headers->pdata[i + 1]);
        }
    }
    if (request->operator_name[0] != '\0' && protocol->operator_name != NULL) {
        append_header(copy, protocol->operator_name, request->operator_name);
    }
    return copy;
}

static const char *
get_header(const void *context, const char *name)
{
    return front_request_header(context, name);
}

/* Returns how long the caller had been waiting for the response when the
 * request arrived at this node; 0 if that is not known. */
static int64_t
earlier_wait(struct front_request *request, const struct world_ingress *route)
{
    struct front *front = request->front;
    int64_t earlier_ms;
    char *key;

    if (!front->count_earlier_waits ||
        front_request_header(request, front->protocol->deadline_ms) == NULL) {
        return 0;
    }
    key = g_strconcat(route->host, route->prefix, NULL); /* unlike its name */
    earlier_ms = front_deadlines_record(
        &front->deadlines, key,
        request->deadline_ms - request->started_us / 1000, route->timeout_ms);
    g_free(key);
    if (earlier_ms > 0) {
        base_counter_add(front->metrics.returned_requests, 1);
    }
    return earlier_ms;
}

/* Sets up the exchange for a request on the route. */
static void
prepare(struct ingress *ingress, struct front_request *request,
        const struct world_ingress *route, int deployment)
{
    struct exchange *exchange = &ingress->exchange;
    const struct front_protocol *protocol = request->front->protocol;
    const char *resume_event =
        front_request_header(request, protocol->last_event_id);
    struct front_protocol_prompt prompt = {0};
    int64_t started_ms = request->started_us / 1000;
    int64_t earlier_ms;
    bool may_resume =
        route->kind == WORLD_INGRESS_STREAM && route->is_resumable;

    earlier_ms = earlier_wait(request, route);
    request->deadline_ms =
        MIN(request->deadline_ms, started_ms + route->timeout_ms);
    exchange_init(exchange, &EXCHANGE_OPS, request, deployment);
    exchange->earlier_ms = earlier_ms;
    exchange->protocol = protocol;
    exchange->method = request->method;
    exchange->path = g_strdup(request->target);
    exchange->host = front_request_header(request, "host");
    exchange->headers = copy_headers(request);
    exchange->content_type = request->content_type;
    exchange->body = request->body->str;
    exchange->body_size = request->body->len;
    exchange->max_runs = route->max_attempts;
    exchange->target_ms = route->target_ms;
    exchange->silence_ms = route->silence_ms;
    exchange->choice.is_idempotent =
        route->kind == WORLD_INGRESS_SAFE || may_resume;
    if (resume_event != NULL) {
        g_strlcpy(ingress->last_event, resume_event,
                  sizeof(ingress->last_event));
        exchange->resume_after = ingress->last_event;
    }
    if (exchange->choice.is_idempotent) {
        exchange->first_output_ms =
            MAX(route->target_ms * FIRST_OUTPUT_TARGET_FACTOR,
                MIN_FIRST_OUTPUT_MS);
    }
    protocol->read_prompt(get_header, request, &prompt);
    exchange->choice.prefix_key = prompt.shared_key;
    g_strlcpy(exchange->route, route->name, sizeof(exchange->route));
    exchange->input_tokens = prompt.input_tokens;
    exchange->output_tokens = prompt.output_tokens;
    if (protocol->read_parts != NULL) {
        protocol->read_parts(get_header, request, &exchange->parts);
    }
    exchange_identify(exchange);
}

static void
run(struct front_request *request)
{
    const struct world_ingress *route = world_find_ingress(
        request->world, front_request_header(request, "host"), request->path);
    int deployment = world_choose_split(route, g_random_double());
    struct ingress *ingress;

    request->class_name = route->name;
    if (deployment == WORLD_NONE) {
        refuse(request, RETRY_AFTER_MS, "the route has no service");
        return;
    }
    ingress = g_new0(struct ingress, 1);
    prepare(ingress, request, route, deployment);
    request->state = ingress;
    exchange_start(&ingress->exchange);
}

static void
output_drained(struct front_request *request)
{
    struct ingress *ingress = request->state;

    if (ingress != NULL && ingress->exchange.winner != NULL) {
        backends_resume(&ingress->exchange.front->backends,
                        ingress->exchange.winner->call);
    }
}

static void
closed(struct front_request *request)
{
    struct ingress *ingress = request->state;

    if (ingress == NULL) {
        return;
    }
    exchange_finish(&ingress->exchange);
    if (ingress->failed_body != NULL) {
        g_string_free(ingress->failed_body, TRUE);
        g_ptr_array_free(ingress->failed_headers, TRUE);
    }
    g_free(ingress);
    request->state = NULL;
}

const struct front_handler FRONT_INGRESS = {
    .run = run, .output_drained = output_drained, .closed = closed};
