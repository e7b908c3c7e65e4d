#include "front/exchange.h"

#include <string.h>

#include "base/event_stream.h"

enum {
    FIRST_BYTE_MS = 30000, /* timeout of an engine; hedges start earlier */
    QUEUE_MARGIN_MS = 20,  /* left to respond when queueing ends */
    FIRST_OUTPUT_MS = 80,  /* measured from the grant to the first event */
    DIRECT_CHOICES = 3,    /* servers tried before queueing at one */
};

static void request_admission(struct attempt *attempt, int server,
                              int64_t wait_ms);

static void send_request(struct attempt *attempt);

static int64_t
remaining_ms(const struct attempt *attempt)
{
    return attempt->exchange->request->deadline_ms - base_clock_ms();
}

/* Excludes a server and its pool.  WORLD_NONE, a server that has left the
 * configuration, changes nothing. */
static void
note_tried(struct place_request *choice, int server)
{
    if (server != WORLD_NONE && choice->n_tried < PLACE_MAX_TRIED) {
        choice->tried[choice->n_tried++] = server;
    }
}

/* A broken stream can only continue on an engine that can resume. */
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

    while ((server = place->ops->choose(place, &attempt->choice,
                                        base_clock_ms())) != WORLD_NONE) {
        if (can_serve(exchange, server)) {
            return server;
        }
        if (attempt->choice.n_tried == PLACE_MAX_TRIED) {
            return WORLD_NONE;
        }
        note_tried(&attempt->choice, server);
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

/* Returns why no server granted a contract.  Busy takes precedence over
 * refused, and refused over unavailable, because the caller can then succeed
 * sooner with a retry. */
static enum contracts_answer
admission_failure(const struct attempt *attempt)
{
    if (attempt->best_busy != WORLD_NONE || attempt->was_local_share_busy) {
        return CONTRACTS_BUSY;
    }
    return attempt->was_refused ? CONTRACTS_REFUSED : CONTRACTS_UNAVAILABLE;
}

/* Queues at the pool that the policy chooses by the loads that came with the
 * last answer.  Returns false when there is none. */
static bool
queue_at_pool(struct attempt *attempt)
{
    int server;

    attempt->knows_pools = false; /* not a second time */
    attempt->choice.n_tried = attempt->choice.n_failed;
    server = choose_server(attempt);
    if (server == WORLD_NONE) {
        return false;
    }
    attempt->is_queued = true;
    request_admission(attempt, server,
                      MAX(remaining_ms(attempt) - QUEUE_MARGIN_MS, 1));
    return true;
}

/* Queues at another pool, because the servers of this one are kept to a rate
 * that the request would exceed.  Returns false when there is none, or when
 * the request has not queued yet. */
static bool
queue_at_next_pool(struct attempt *attempt)
{
    int server = WORLD_NONE;

    note_tried(&attempt->choice, attempt->server);
    if (attempt->is_queued && attempt->n_requested < EXCHANGE_MAX_ADMISSIONS) {
        server = choose_server(attempt);
    }
    if (server == WORLD_NONE) {
        return false;
    }
    request_admission(attempt, server,
                      MAX(remaining_ms(attempt) - QUEUE_MARGIN_MS, 1));
    return true;
}

/* Requests admission at the next server that the policy chooses.  After
 * DIRECT_CHOICES requests, or when no server is left to choose, it queues at
 * the least loaded of the servers that were busy; in a pooled deployment after
 * the first busy answer that tells the loads of the other pools. */
static void
try_next_server(struct attempt *attempt)
{
    int server = WORLD_NONE;

    if (attempt->knows_pools && attempt->best_busy != WORLD_NONE &&
        !attempt->is_hedge && attempt->n_requested < EXCHANGE_MAX_ADMISSIONS &&
        queue_at_pool(attempt)) {
        return;
    }
    if (attempt->n_requested < DIRECT_CHOICES ||
        attempt->best_busy == WORLD_NONE) {
        server = choose_server(attempt);
    }
    if (server != WORLD_NONE &&
        attempt->n_requested < EXCHANGE_MAX_ADMISSIONS) {
        request_admission(attempt, server, 0);
        return;
    }
    if (attempt->best_busy == WORLD_NONE || attempt->is_hedge) {
        exchange_on_no_contract(attempt->exchange, attempt,
                                admission_failure(attempt));
        return;
    }
    attempt->is_queued = true;
    request_admission(attempt, attempt->best_busy,
                      MAX(remaining_ms(attempt) - QUEUE_MARGIN_MS, 1));
}

static void
end_admission_span(struct attempt *attempt,
                   const struct control_admission *admission)
{
    static const char *const NAMES[] = {"granted", "busy", "refused", "gone"};

    base_span_attribute(&attempt->admission_span, "server", "%s",
                        admission->server);
    base_span_attribute(&attempt->admission_span, "answer", "%s",
                        NAMES[admission->answer]);
    base_span_attribute(&attempt->admission_span, "wait_ms", "%d",
                        (int)admission->wait_ms);
    base_span_attribute(&attempt->admission_span, "local_share", "%d",
                        admission->is_local_share);
    base_span_end(&attempt->admission_span, attempt->front->tracer);
}

static void
note_busy(struct attempt *attempt, const struct control_admission *admission)
{
    double load = (admission->load.online + admission->load.queued + 1.0) /
                  MAX(admission->load.window, 1);

    if (attempt->best_busy == WORLD_NONE || load < attempt->best_load) {
        attempt->best_busy = attempt->server;
        attempt->best_load = load;
    }
    note_tried(&attempt->choice, attempt->server);
}

/* Excludes a server, but not the other servers of its pool. */
static void
note_failed(struct place_request *choice, int server)
{
    if (server == WORLD_NONE) {
        return;
    }
    note_tried(choice, server);
    if (choice->n_tried > choice->n_failed) {
        int last = choice->n_tried - 1;
        int swapped = choice->tried[choice->n_failed];
        choice->tried[choice->n_failed++] = choice->tried[last];
        choice->tried[last] = swapped;
    }
}

/* Excludes the current server and tries the next one. */
static void
skip_server(struct attempt *attempt)
{
    note_failed(&attempt->choice, attempt->server);
    if (attempt->best_busy == attempt->server) {
        attempt->best_busy = WORLD_NONE;
    }
    attempt->is_queued = false;
    try_next_server(attempt);
}

static void
release_unused(struct front *front, const struct control_admission *admission)
{
    static const struct contracts_outcome UNUSED;

    if (admission->contract != 0) {
        control_release(front->control, admission->contract, &UNUSED);
    }
}

/* Refuses a request whose prompt was blocked while it waited for the grant. */
static bool
refuse_granted(struct attempt *attempt,
               const struct control_admission *admission)
{
    struct exchange *exchange = attempt->exchange;
    struct front *front = attempt->front;

    /* A refusal frees the attempt, and does not release the contract of one
     * that was never sent. */
    if (!exchange_refuse_if_blocked(exchange)) {
        return false;
    }
    release_unused(front, admission);
    return true;
}

/* Notes when the servers that are busy may have room, if all of them are kept
 * to a rate. */
static void
note_retry(struct attempt *attempt, const struct control_admission *admission)
{
    if (admission->retry_ms == 0) {
        attempt->is_retry_unknown = true;
    }
    else if (attempt->retry_ms == 0 ||
             admission->retry_ms < attempt->retry_ms) {
        attempt->retry_ms = admission->retry_ms;
    }
}

static void
apply_admission(struct attempt *attempt,
                const struct control_admission *admission)
{
    switch (admission->answer) {
    case CONTRACTS_GRANTED:
        attempt->contract = admission->contract;
        attempt->is_local_share = admission->is_local_share;
        if (attempt->server == WORLD_NONE) {
            release_unused(attempt->front, admission);
            attempt->contract = 0;
            try_next_server(attempt);
            return;
        }
        if (refuse_granted(attempt, admission)) {
            return;
        }
        send_request(attempt);
        return;
    case CONTRACTS_BUSY:
        note_retry(attempt, admission);
        if (admission->is_local_share) {
            /* The server's owner is unreachable, so the request can't
             * queue there. */
            attempt->was_local_share_busy = true;
            skip_server(attempt);
            return;
        }
        if (admission->retry_ms > 0 && queue_at_next_pool(attempt)) {
            return;
        }
        if (attempt->is_queued) {
            exchange_on_no_contract(attempt->exchange, attempt,
                                    admission->answer);
            return;
        }
        note_busy(attempt, admission);
        try_next_server(attempt);
        return;
    case CONTRACTS_UNAVAILABLE:
        skip_server(attempt);
        return;
    case CONTRACTS_REFUSED:
        /* No room for this operator on this server; another may have some. */
        attempt->was_refused = true;
        note_tried(&attempt->choice, attempt->server);
        try_next_server(attempt);
        return;
    }
}

/* Passes the reported load on to the policy, and takes over the server that
 * was granted.  The configuration may have changed during the admission
 * request. */
static void
note_load(struct attempt *attempt, const struct control_admission *admission)
{
    struct place *place = attempt->front->place;

    exchange_sync_world(attempt->exchange);
    if (strcmp(admission->server, attempt->server_name) != 0) {
        attempt->server =
            world_find_server(attempt->exchange->world, admission->server);
        g_strlcpy(attempt->server_name, admission->server,
                  sizeof(attempt->server_name));
    }
    if (attempt->server != WORLD_NONE) {
        place->ops->load(place, attempt->server, &admission->load,
                         base_clock_ms());
    }
    attempt->knows_pools = attempt->knows_pools || admission->n_pools > 0;
    for (int i = 0; i < admission->n_pools; i++) {
        place->ops->pool_load(place, admission->pools[i].key,
                              &admission->pools[i].load);
    }
}

static void
on_admission_done(struct control_admission *admission, void *task_state)
{
    struct attempt *attempt = admission->context;
    struct front *front = task_state;

    front->n_calls--;
    attempt->is_admission_pending = false;
    end_admission_span(attempt, admission);
    front_reductions_set(front, admission->server, admission->operator_name,
                         &admission->reduction);
    if (attempt->exchange == NULL) {
        /* The attempt was stopped during the admission request. */
        release_unused(front, admission);
        attempt_free(attempt);
    }
    else {
        note_load(attempt, admission);
        apply_admission(attempt, admission);
    }
    control_admission_free(admission);
}

/* Returns how long, in ms, a grant may take for the first event to arrive on
 * time; 0: no limit. */
static int64_t
preferred_grant_ms(const struct exchange *exchange)
{
    int64_t waited_ms =
        (base_clock_us() - exchange->request->started_us) / 1000;

    if (exchange->target_ms == 0) {
        return 0;
    }
    return MAX(exchange->target_ms - FIRST_OUTPUT_MS - waited_ms, 1);
}

/* Lets the owner grant any server of the pool, except those where the request
 * failed, or that it must not get. */
static void
allow_any_server(const struct attempt *attempt,
                 struct control_admission *admission)
{
    const struct exchange *exchange = attempt->exchange;
    const struct world *world = exchange->world;
    const struct world_server *server = &world->servers[attempt->server];

    admission->any_server = world->deployments[server->deployment].is_pooled &&
                            !exchange->needs_resume;
    for (int i = 0; i < attempt->choice.n_failed &&
                    admission->n_avoid < CONTRACTS_MAX_AVOIDED;
         i++) {
        admission->avoid[admission->n_avoid++] =
            base_hash_text(world->servers[attempt->choice.tried[i]].name, 0);
    }
}

static void
request_admission(struct attempt *attempt, int server, int64_t wait_ms)
{
    struct exchange *exchange = attempt->exchange;
    struct front *front = attempt->front;
    struct control_admission *admission;

    use_server(attempt, server);
    attempt->n_requested++;
    base_span_start(&attempt->admission_span, "place.ask",
                    &exchange->request->span.context);
    admission =
        control_admission_new(attempt->server_name, exchange->choice.class_);
    g_strlcpy(admission->operator_name, exchange->request->operator_name,
              sizeof(admission->operator_name));
    admission->wait_ms = wait_ms;
    admission->prefer_ms = preferred_grant_ms(exchange);
    admission->earlier_ms = exchange->earlier_ms;
    admission->work_ms = exchange_expected_work(exchange);
    admission->slots = 1;
    admission->context = attempt;
    allow_any_server(attempt, admission);
    front->n_calls++;
    attempt->is_admission_pending = true;
    base_counter_add(front->metrics.admission_requests, 1);
    control_admission_send(front->control, admission, &front->task,
                           on_admission_done);
}

/* Starts an attempt: it chooses a server and requests a contract.  If no
 * server can be chosen, it calls exchange_on_no_contract before it returns. */
void
attempt_start(struct exchange *exchange, bool is_hedge)
{
    struct attempt *attempt = g_new0(struct attempt, 1);

    exchange_sync_world(exchange);
    attempt->exchange = exchange;
    attempt->front = exchange->front;
    attempt->content_type = g_strdup("");
    attempt->is_hedge = is_hedge;
    attempt->state = ATTEMPT_ADMITTING;
    attempt->choice = exchange->choice;
    attempt->choice.n_failed = exchange->choice.n_tried;
    attempt->best_busy = WORLD_NONE;
    attempt->server = WORLD_NONE;
    exchange->active[is_hedge ? 1 : 0] = attempt;
    if (exchange->front->is_naive) {
        int server = choose_server(attempt);
        if (server == WORLD_NONE) {
            exchange_on_no_contract(exchange, attempt, CONTRACTS_UNAVAILABLE);
            return;
        }
        use_server(attempt, server);
        send_request(attempt);
        return;
    }
    try_next_server(attempt);
}

/* Returns a header of the response, or NULL if it has none. */
static const char *
find_response_header(const struct attempt *attempt, const char *name)
{
    return name == NULL ? NULL
                        : backends_header(&attempt->front->backends,
                                          attempt->call, name);
}

/* Passes on what the response says of its server, unless another one sent
 * it. */
static void
note_response(const struct attempt *attempt, int status)
{
    const struct front_protocol *protocol = attempt->exchange->protocol;
    struct control_response response = {.sent_ms = attempt->sent_us / 1000};

    if (protocol == NULL || status == protocol->misdirected_status) {
        return;
    }
    response.limit = find_response_header(attempt, protocol->request_limit);
    response.is_leaving =
        g_strcmp0(find_response_header(attempt, protocol->leaving), "1") == 0;
    control_note_response(attempt->front->control, attempt->server_name,
                          &response);
}

static void
on_head(void *context, int status, const char *content_type)
{
    struct attempt *attempt = context;

    note_response(attempt, status);
    attempt->status = status;
    g_free(attempt->content_type);
    attempt->content_type = g_strdup(content_type);
    attempt->is_event_stream =
        status == 200 && base_is_event_stream(content_type);
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
    bool was_stopped = attempt->state == ATTEMPT_ENDED;

    base_span_attribute(span, "server", "%s", attempt->server_name);
    base_span_attribute(span, "status", "%d", result->status);
    base_span_attribute(span, "tokens", "%d", attempt->tokens);
    if (!attempt->is_complete) {
        base_span_attribute(span, "ran", "%s",
                            base_verdict_name(result->verdict));
        base_span_attribute(span, "end", "%s", result->err.text);
    }
    span->failed = !was_stopped && result->err.code != BASE_OK;
    base_span_end(span, attempt->front->tracer);
}

static void
on_done(void *context, const struct backends_result *result)
{
    struct attempt *attempt = context;

    end_span(attempt, result);
    attempt->verdict = result->verdict;
    if (attempt->state == ATTEMPT_ENDED) {
        return; /* the function that stopped it handles the end */
    }
    attempt->state = ATTEMPT_ENDED;
    exchange_on_attempt_done(attempt->exchange, attempt, result);
}

static const struct backends_ops BACKEND_OPS = {on_head, on_body, on_done};

static void
fill_limits(const struct exchange *exchange, struct backends_request *out)
{
    const struct world *world = exchange->world;
    bool is_engine =
        world->deployments[exchange->choice.deployment].kind == WORLD_ENGINE;
    int64_t left = exchange->request->deadline_ms - base_clock_ms();

    out->deadline_ms = exchange->request->deadline_ms;
    out->first_byte_ms = is_engine ? FIRST_BYTE_MS : MAX(left, 1);
    /* An engine may send nothing while it computes the first token. */
    out->silence_ms = is_engine ? FIRST_BYTE_MS : world->limits.silence_ms;
    if (exchange->first_output_ms > 0) {
        out->first_byte_ms = exchange->first_output_ms;
        out->silence_ms = exchange->first_output_ms;
    }
}

static void
add_header(GPtrArray *headers, const char *name, const char *value)
{
    g_ptr_array_add(headers, g_strdup(name));
    g_ptr_array_add(headers, g_strdup(value));
}

/* Adds the headers of Cardamompick's own API. */
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

/* Adds the caller's headers and those that the servers of a site expect. */
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
set_protocol_headers(const struct exchange *exchange,
                     struct backends_request *request)
{
    request->host_header = exchange->host;
    request->id_header = exchange->protocol->request_id;
    request->refusal_header = exchange->protocol->refused_not_run;
    request->refusal_status = exchange->protocol->misdirected_status;
    request->may_end_by_close = true;
    request->content_type =
        exchange->content_type != NULL ? exchange->content_type : "";
}

static GPtrArray *
make_headers(struct attempt *attempt)
{
    GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
    char deadline[24];

    g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT,
               MAX(remaining_ms(attempt), 1));
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
             "waited_ms=%" G_GINT64_FORMAT " earlier_ms=%" G_GINT64_FORMAT
             " left_ms=%" G_GINT64_FORMAT
             " resumed_after=%s revision=%" G_GINT64_FORMAT,
             exchange->request->id, attempt->server_name, exchange->n_attempts,
             attempt->n_requested, attempt->is_queued, attempt->is_local_share,
             (attempt->sent_us - exchange->request->started_us) / 1000,
             exchange->earlier_ms, remaining_ms(attempt),
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
    attempt->is_resumed =
        exchange->needs_resume || exchange->resume_after != NULL;
    headers = make_headers(attempt);
    request.headers = (const char *const *)headers->pdata;
    if (exchange->protocol != NULL) {
        set_protocol_headers(exchange, &request);
    }
    fill_limits(exchange, &request);
    attempt->state = ATTEMPT_RUNNING;
    attempt->sent_us = base_clock_us();
    exchange_on_attempt_sent(exchange, attempt);
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

/* Reports the outcome to the policy and releases the contract with the
 * same outcome.  Only the first call after send_request has an effect. */
void
attempt_release_contract(struct attempt *attempt, bool is_servers_fault)
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
    attempt_learn_work(attempt, base_clock_us());
    attempt->sent_us = 0;
    if (attempt->server != WORLD_NONE) {
        struct contracts_outcome unreported = outcome;
        if (attempt->is_first_token_reported) {
            unreported.first_token_us = 0;
        }
        place->ops->outcome(place, attempt->server, &unreported,
                            base_clock_ms());
    }
    if (attempt->contract != 0) {
        control_release(attempt->front->control, attempt->contract, &outcome);
        attempt->contract = 0;
    }
}

/* Frees an attempt that has no admission request or backend call under way. */
void
attempt_free(struct attempt *attempt)
{
    if (attempt->buffered_body != NULL) {
        g_string_free(attempt->buffered_body, TRUE);
    }
    if (attempt->pending_output != NULL) {
        g_string_free(attempt->pending_output, TRUE);
    }
    g_free(attempt->content_type);
    if (attempt->relayed_headers != NULL) {
        g_ptr_array_free(attempt->relayed_headers, TRUE);
    }
    g_free(attempt);
}

/* Stops an attempt and frees it; during an admission request it is freed when
 * the reply arrives.  Returns whether the server may have run the request. */
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
    attempt_release_contract(attempt, is_servers_fault);
    attempt_free(attempt);
    return verdict;
}
