#include "front/exchange.h"

#include <string.h>

enum {
    FIRST_BYTE_MS = 30000, /* of an engine; earlier silence is hedged */
    MAX_PATH = 1024,
    QUEUE_MARGIN_MS = 20, /* kept of the deadline to answer the caller */
    FIRST_PIECE_MS = 80,  /* from the grant to the first piece, as measured */
    DIRECT_CHOICES = 3,   /* asked without waiting, before queueing */
};

static void request_admission(struct attempt *attempt, int server,
                              int64_t wait_ms);

static void send_request(struct attempt *attempt);

static int64_t
left_ms(const struct attempt *attempt)
{
    return attempt->exchange->request->deadline_ms - base_clock_ms();
}

static void
note_tried(struct place_request *place, int server)
{
    if (place->n_tried < PLACE_MAX_TRIED) {
        place->tried[place->n_tried++] = server;
    }
}

/* A broken stream can go on only where the engine can resume. */
static bool
can_serve(const struct exchange *exchange, int server)
{
    return !exchange->needs_resume ||
           exchange->world->servers[server].can_resume;
}

static int
choose_server(struct attempt *attempt)
{
    struct exchange *exchange = attempt->exchange;
    struct place *place = attempt->front->place;
    int server;

    while ((server = place->ops->choose(place, &attempt->place,
                                        base_clock_ms())) != WORLD_NONE) {
        if (can_serve(exchange, server)) {
            return server;
        }
        if (attempt->place.n_tried == PLACE_MAX_TRIED) {
            return WORLD_NONE;
        }
        note_tried(&attempt->place, server);
    }
    return WORLD_NONE;
}

static void
use_server(struct attempt *attempt, int server)
{
    attempt->server = server;
    g_strlcpy(attempt->server_name,
              attempt->exchange->world->servers[server].name,
              sizeof(attempt->server_name));
}

/* Why no server could be had, the least final reason first. */
static enum contracts_answer
why_none(const struct attempt *attempt)
{
    if (attempt->best_busy != WORLD_NONE || attempt->was_busy) {
        return CONTRACTS_BUSY;
    }
    return attempt->was_refused ? CONTRACTS_REFUSED : CONTRACTS_UNAVAILABLE;
}

/* Asks the next choice, or queues at the better of those that were busy. */
static void
try_next_server(struct attempt *attempt)
{
    int server = WORLD_NONE;

    if (attempt->n_asked < DIRECT_CHOICES ||
        attempt->best_busy == WORLD_NONE) {
        server = choose_server(attempt);
    }
    if (server != WORLD_NONE && attempt->n_asked < EXCHANGE_MAX_ADMISSIONS) {
        request_admission(attempt, server, 0);
        return;
    }
    if (attempt->best_busy == WORLD_NONE || attempt->is_hedge) {
        exchange_no_contract(attempt->exchange, attempt, why_none(attempt));
        return;
    }
    attempt->is_queued = true;
    request_admission(attempt, attempt->best_busy,
                      MAX(left_ms(attempt) - QUEUE_MARGIN_MS, 1));
}

static void
end_admission_span(struct attempt *attempt,
                   const struct control_admission *ask)
{
    static const char *const NAMES[] = {"granted", "busy", "refused", "gone"};

    base_span_attribute(&attempt->admission_span, "server", "%s", ask->server);
    base_span_attribute(&attempt->admission_span, "answer", "%s",
                        NAMES[ask->answer]);
    base_span_attribute(&attempt->admission_span, "wait_ms", "%d",
                        (int)ask->wait_ms);
    base_span_attribute(&attempt->admission_span, "local_share", "%d",
                        ask->is_local_share);
    base_span_end(&attempt->admission_span, attempt->front->tracer);
}

static void
note_busy(struct attempt *attempt, const struct control_admission *ask)
{
    double load =
        (ask->load.online + ask->load.queued + 1.0) / MAX(ask->load.window, 1);

    if (attempt->best_busy == WORLD_NONE || load < attempt->best_load) {
        attempt->best_busy = attempt->server;
        attempt->best_load = load;
    }
    note_tried(&attempt->place, attempt->server);
}

/* Goes on without the server that was asked. */
static void
leave_server(struct attempt *attempt)
{
    note_tried(&attempt->place, attempt->server);
    if (attempt->best_busy == attempt->server) {
        attempt->best_busy = WORLD_NONE;
    }
    attempt->is_queued = false;
    try_next_server(attempt);
}

static void
release_unused(struct front *front, const struct control_admission *ask)
{
    static const struct contracts_outcome UNUSED;

    if (ask->contract != 0) {
        control_release(front->control, ask->contract, &UNUSED);
    }
}

static void
take_answer(struct attempt *attempt, const struct control_admission *ask)
{
    switch (ask->answer) {
    case CONTRACTS_GRANTED:
        attempt->contract = ask->contract;
        attempt->is_local_share = ask->is_local_share;
        if (attempt->server == WORLD_NONE) {
            release_unused(attempt->front, ask);
            attempt->contract = 0;
            try_next_server(attempt);
            return;
        }
        send_request(attempt);
        return;
    case CONTRACTS_BUSY:
        if (ask->is_local_share) {
            /* Its keeper can't be asked, so nothing queues there. */
            attempt->was_busy = true;
            leave_server(attempt);
            return;
        }
        if (attempt->is_queued) {
            exchange_no_contract(attempt->exchange, attempt, ask->answer);
            return;
        }
        note_busy(attempt, ask);
        try_next_server(attempt);
        return;
    case CONTRACTS_UNAVAILABLE:
        leave_server(attempt);
        return;
    case CONTRACTS_REFUSED:
        /* This server has no room for this operator; another may have. */
        attempt->was_refused = true;
        note_tried(&attempt->place, attempt->server);
        try_next_server(attempt);
        return;
    }
}

/* The configuration may have changed while the ask was out. */
static void
note_load(struct attempt *attempt, const struct control_admission *ask)
{
    struct place *place = attempt->front->place;

    exchange_sync_world(attempt->exchange);
    if (attempt->server != WORLD_NONE) {
        place->ops->load(place, attempt->server, &ask->load, base_clock_ms());
    }
}

static void
on_answered(struct control_admission *ask, void *task_state)
{
    struct attempt *attempt = ask->context;
    struct front *front = task_state;

    front->n_calls--;
    attempt->is_admission_pending = false;
    end_admission_span(attempt, ask);
    front_reductions_note(front, ask->server, ask->operator_name,
                          &ask->reduction);
    if (attempt->exchange == NULL) {
        /* Nobody waits for it any more. */
        release_unused(front, ask);
        attempt_free(attempt);
    }
    else {
        note_load(attempt, ask);
        take_answer(attempt, ask);
    }
    control_admission_free(ask);
}

/* How long a grant may take and its first piece still be on time. */
static int64_t
prefer_ms(const struct exchange *exchange)
{
    int64_t waited_ms =
        (base_clock_us() - exchange->request->started_us) / 1000;

    if (exchange->target_ms == 0) {
        return 0;
    }
    return MAX(exchange->target_ms - FIRST_PIECE_MS - waited_ms, 1);
}

static void
request_admission(struct attempt *attempt, int server, int64_t wait_ms)
{
    struct exchange *exchange = attempt->exchange;
    struct front *front = attempt->front;
    struct control_admission *ask;

    use_server(attempt, server);
    attempt->n_asked++;
    base_span_start(&attempt->admission_span, "place.ask",
                    &exchange->request->span.context);
    ask = control_admission_new(attempt->server_name, exchange->place.class_);
    g_strlcpy(ask->operator_name, exchange->request->operator_name,
              sizeof(ask->operator_name));
    ask->wait_ms = wait_ms;
    ask->prefer_ms = prefer_ms(exchange);
    ask->slots = 1;
    ask->context = attempt;
    front->n_calls++;
    attempt->is_admission_pending = true;
    base_counter_add(front->metrics.asks, 1);
    control_admission_send(front->control, ask, &front->task, on_answered);
}

/* Starts an attempt: it chooses a server and asks for a contract.  When no
 * server is there, it ends at once by exchange_no_contract. */
void
attempt_start(struct exchange *exchange, bool is_hedge)
{
    struct attempt *attempt = g_new0(struct attempt, 1);

    exchange_sync_world(exchange);
    attempt->exchange = exchange;
    attempt->front = exchange->front;
    attempt->is_hedge = is_hedge;
    attempt->state = ATTEMPT_ADMITTING;
    attempt->place = exchange->place;
    attempt->best_busy = WORLD_NONE;
    attempt->server = WORLD_NONE;
    exchange->lanes[is_hedge ? 1 : 0] = attempt;
    if (exchange->front->is_naive) {
        int server = choose_server(attempt);
        if (server == WORLD_NONE) {
            exchange_no_contract(exchange, attempt, CONTRACTS_UNAVAILABLE);
            return;
        }
        use_server(attempt, server);
        send_request(attempt);
        return;
    }
    try_next_server(attempt);
}

static void
on_head(void *context, int status, const char *content_type)
{
    struct attempt *attempt = context;

    attempt->status = status;
    g_strlcpy(attempt->content_type, content_type,
              sizeof(attempt->content_type));
    attempt->is_event_stream =
        status == 200 && g_str_has_prefix(content_type, "text/event-stream");
    attempt->exchange->ops->head(attempt->exchange, attempt);
}

static void
on_body(void *context, const char *data, size_t size)
{
    struct attempt *attempt = context;

    attempt->exchange->ops->body(attempt->exchange, attempt, data, size);
}

static void
end_span(struct attempt *attempt, const struct backends_result *result)
{
    struct base_span *span = &attempt->span;
    bool is_ours = attempt->state == ATTEMPT_ENDED; /* stopped by us */

    base_span_attribute(span, "server", "%s", attempt->server_name);
    base_span_attribute(span, "status", "%d", result->status);
    base_span_attribute(span, "tokens", "%d", attempt->tokens);
    if (!attempt->is_whole) {
        base_span_attribute(span, "ran", "%s",
                            base_verdict_name(result->verdict));
        base_span_attribute(span, "end", "%s", result->err.text);
    }
    span->failed = !is_ours && result->err.code != BASE_OK;
    base_span_end(span, attempt->front->tracer);
}

static void
on_done(void *context, const struct backends_result *result)
{
    struct attempt *attempt = context;

    end_span(attempt, result);
    attempt->verdict = result->verdict;
    if (attempt->state == ATTEMPT_ENDED) {
        return; /* whoever stopped it goes on */
    }
    attempt->state = ATTEMPT_ENDED;
    exchange_attempt_done(attempt->exchange, attempt, result);
}

static const struct backends_ops BACKEND_OPS = {on_head, on_body, on_done};

static void
fill_limits(const struct exchange *exchange, struct backends_request *out)
{
    const struct world *world = exchange->world;
    bool is_engine =
        world->deployments[exchange->place.deployment].kind == WORLD_ENGINE;
    int64_t left = exchange->request->deadline_ms - base_clock_ms();

    out->deadline_ms = exchange->request->deadline_ms;
    out->first_byte_ms = is_engine ? FIRST_BYTE_MS : MAX(left, 1);
    /* Until the first token an engine may compute in silence. */
    out->silence_ms = is_engine ? FIRST_BYTE_MS : world->limits.silence_ms;
    if (exchange->first_piece_ms > 0) {
        out->first_byte_ms = exchange->first_piece_ms;
        out->silence_ms = exchange->first_piece_ms;
    }
}

static void
add_header(GPtrArray *headers, const char *name, const char *value)
{
    g_ptr_array_add(headers, g_strdup(name));
    g_ptr_array_add(headers, g_strdup(value));
}

/* The headers of the product's own interface. */
static void
add_own_headers(struct attempt *attempt, GPtrArray *headers,
                const char *deadline)
{
    struct exchange *exchange = attempt->exchange;
    char traceparent[BASE_TRACEPARENT_SIZE];
    char offset[16];

    base_traceparent_format(&attempt->span.context, traceparent);
    add_header(headers, "x-request-id", exchange->request->id);
    add_header(headers, "traceparent", traceparent);
    add_header(headers, "x-deadline-ms", deadline);
    if (exchange->needs_resume) {
        g_snprintf(offset, sizeof(offset), "%d", exchange->tokens);
        add_header(headers, "x-resume-offset", offset);
    }
}

/* The caller's headers and those of a site's servers. */
static void
add_protocol_headers(struct attempt *attempt, GPtrArray *headers,
                     const char *deadline)
{
    const struct exchange *exchange = attempt->exchange;
    const struct front_protocol *protocol = exchange->protocol;

    for (guint i = 0; i + 1 < exchange->headers->len; i += 2) {
        add_header(headers, exchange->headers->pdata[i],
                   exchange->headers->pdata[i + 1]);
    }
    add_header(headers, protocol->request_id, exchange->request->id);
    add_header(headers, protocol->deadline_ms, deadline);
    add_header(headers, protocol->expected_server, attempt->server_name);
    if (exchange->resume_after != NULL) {
        add_header(headers, protocol->last_event_id, exchange->resume_after);
    }
}

static void
name_protocol_headers(const struct exchange *exchange,
                      struct backends_request *request)
{
    request->host_header = exchange->host;
    request->id_header = exchange->protocol->request_id;
    request->refusal_header = exchange->protocol->refused_not_run;
    request->refusal_status = exchange->protocol->misdirected_status;
    request->content_type =
        exchange->content_type != NULL ? exchange->content_type : "";
}

static GPtrArray *
make_headers(struct attempt *attempt)
{
    GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
    char deadline[24];

    g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT,
               MAX(left_ms(attempt), 1));
    if (attempt->exchange->protocol != NULL) {
        add_protocol_headers(attempt, headers, deadline);
    }
    else {
        add_own_headers(attempt, headers, deadline);
    }
    g_ptr_array_add(headers, NULL);
    return headers;
}

static void
log_sent(const struct attempt *attempt)
{
    const struct exchange *exchange = attempt->exchange;

    base_log(BASE_LOG_INFO, "front.sent",
             "id=%s server=%s try=%d asked=%d queued=%d local_share=%d "
             "waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
             " resumed_after=%s revision=%" G_GINT64_FORMAT,
             exchange->request->id, attempt->server_name, exchange->n_attempts,
             attempt->n_asked, attempt->is_queued, attempt->is_local_share,
             (attempt->sent_us - exchange->request->started_us) / 1000,
             left_ms(attempt),
             exchange->resume_after != NULL ? exchange->resume_after : "-",
             exchange->world->revision);
}

static void
send_request(struct attempt *attempt)
{
    struct exchange *exchange = attempt->exchange;
    const struct world_server *server =
        &exchange->world->servers[attempt->server];
    GPtrArray *headers;
    struct backends_request request = {
        .ops = &BACKEND_OPS,
        .context = attempt,
        .host = server->host,
        .port = server->port,
        .method = exchange->method,
        .path = exchange->path,
        .content_type = exchange->content_type,
        .body = exchange->body,
        .body_size = exchange->body_size,
        .request_id = exchange->request->id,
    };
    struct base_error err = {0};

    base_span_start(&attempt->span, "backend.attempt",
                    &exchange->request->span.context);
    attempt->resumed_from = exchange->needs_resume ? exchange->tokens : 0;
    headers = make_headers(attempt);
    request.headers = (const char *const *)headers->pdata;
    if (exchange->protocol != NULL) {
        name_protocol_headers(exchange, &request);
    }
    fill_limits(exchange, &request);
    attempt->state = ATTEMPT_RUNNING;
    attempt->sent_us = base_clock_us();
    exchange_sent(exchange, attempt);
    log_sent(attempt);
    attempt->call = backends_send(&exchange->front->backends, &request, &err);
    g_ptr_array_free(headers, TRUE);
    if (attempt->call.generation == 0) {
        struct backends_result result = {.err = err};
        on_done(attempt, &result);
    }
}

static int64_t
mean_inter_token_us(const struct attempt *attempt)
{
    int64_t first_us = attempt->sent_us + attempt->first_token_us;

    return attempt->tokens < 2
               ? 0
               : (attempt->last_token_us - first_us) / (attempt->tokens - 1);
}

/* Gives the contract back, with how it went; once only. */
void
attempt_release(struct attempt *attempt, bool is_servers_fault)
{
    struct contracts_outcome outcome = {
        .first_token_us = attempt->first_token_us,
        .inter_token_us = mean_inter_token_us(attempt),
        .tokens = attempt->tokens,
        .failed = is_servers_fault,
    };
    struct place *place = attempt->front->place;

    if (attempt->sent_us == 0) {
        return;
    }
    attempt->sent_us = 0;
    if (attempt->server != WORLD_NONE) {
        struct contracts_outcome rest = outcome;
        if (attempt->is_first_reported) {
            rest.first_token_us = 0;
        }
        place->ops->outcome(place, attempt->server, &rest, base_clock_ms());
    }
    if (attempt->contract != 0) {
        control_release(attempt->front->control, attempt->contract, &outcome);
        attempt->contract = 0;
    }
}

/* Frees an attempt that has no ask out and no call open. */
void
attempt_free(struct attempt *attempt)
{
    if (attempt->answer != NULL) {
        g_string_free(attempt->answer, TRUE);
    }
    if (attempt->held != NULL) {
        g_string_free(attempt->held, TRUE);
    }
    if (attempt->relayed_headers != NULL) {
        g_ptr_array_free(attempt->relayed_headers, TRUE);
    }
    g_free(attempt);
}

/* Ends an attempt from our side and frees it; one whose ask is out is freed
 * when the answer comes.  Returns whether the server may have run it. */
enum base_verdict
attempt_stop(struct attempt *attempt, bool is_servers_fault)
{
    enum attempt_state state = attempt->state;
    enum base_verdict verdict;

    attempt->state = ATTEMPT_ENDED;
    if (attempt->is_admission_pending) {
        attempt->exchange = NULL;
        return BASE_NOT_RUN;
    }
    if (state == ATTEMPT_RUNNING) {
        backends_cancel(&attempt->front->backends, attempt->call);
    }
    verdict = attempt->verdict;
    attempt_release(attempt, is_servers_fault);
    attempt_free(attempt);
    return verdict;
}
