#include "front/exchange.h"

#include <string.h>

static const struct front_fault NO_SERVER = {503, BASE_NOT_RUN, "server_error",
                                             "no_server", 1};
static const struct front_fault PROMPT_BLOCKED = {
    503, BASE_NOT_RUN, "server_error", "prompt_blocked", 0};
static const struct front_fault OVER_SHARE = {
    429, BASE_NOT_RUN, "rate_limit_error", "overloaded", 1};
static const struct front_fault DEADLINE = {504, BASE_NOT_RUN, "server_error",
                                            "deadline_exceeded", 0};
static const struct front_fault UPSTREAM = {
    502, BASE_MAY_HAVE_RUN, "server_error", "upstream_failed", 0};

/* A server that has sent this many tokens or events has not crashed when it
 * began to answer. */
enum { ANSWERED_TOKENS = 2 };

/* Prepares a zeroed exchange for a request that front_admit has admitted;
 * exchange_finish frees its contents. */
void
exchange_init(struct exchange *exchange, const struct exchange_ops *ops,
              struct front_request *request, int deployment)
{
    exchange->ops = ops;
    exchange->front = request->front;
    exchange->request = request;
    exchange->world = world_ref(request->world);
    exchange->operator_index = request->operator_index;
    exchange->choice.deployment = deployment;
    exchange->choice.zone =
        world_find_zone(request->world, request->front->zone);
    exchange->choice.request_key = base_hash_text(request->id, 0);
    exchange->choice.class_ = CONTRACTS_ONLINE_SHORT;
    exchange->choice.deadline_ms = request->deadline_ms;
}

/* Switches to the current configuration if it has changed: looks up servers,
 * deployment, zone and operator again by name. */
void
exchange_sync_world(struct exchange *exchange)
{
    struct world *old = exchange->world;
    struct world *world = exchange->front->world;
    struct place_request *choice = &exchange->choice;
    int n_tried = 0;

    if (old == world) {
        return;
    }
    for (int i = 0; i < choice->n_tried; i++) {
        int server =
            world_find_server(world, old->servers[choice->tried[i]].name);
        if (server != WORLD_NONE) {
            choice->tried[n_tried++] = server;
        }
    }
    choice->n_tried = n_tried;
    if (choice->deployment != WORLD_NONE) {
        choice->deployment = world_find_deployment(
            world, old->deployments[choice->deployment].name);
    }
    choice->zone = world_find_zone(world, exchange->front->zone);
    exchange->operator_index =
        world_find_operator(world, exchange->request->operator_name);
    for (int i = 0; i < EXCHANGE_MAX_PARALLEL; i++) {
        struct attempt *attempt = exchange->active[i];
        if (attempt != NULL) {
            attempt->server = world_find_server(world, attempt->server_name);
            attempt->choice = *choice;
            attempt->choice.n_failed = choice->n_tried;
            attempt->best_busy = WORLD_NONE;
        }
    }
    exchange->world = world_ref(world);
    world_unref(old);
}

static void
stop_timers(struct exchange *exchange)
{
    lws_sul_cancel(&exchange->hedge_timer);
    lws_sul_cancel(&exchange->deadline_timer);
}

/* Returns whether the server has sent no token within the silence limit.  It
 * counts as failed then, even if the caller or the deadline ends the attempt.
 */
static bool
is_silent(const struct exchange *exchange, const struct attempt *attempt)
{
    int64_t waited_us = base_clock_us() - attempt->sent_us;

    return attempt->state == ATTEMPT_RUNNING && attempt->first_token_us == 0 &&
           waited_us / 1000 >= exchange->world->limits.silence_ms;
}

/* Stops all attempts; sends nothing to the caller. */
void
exchange_cancel(struct exchange *exchange)
{
    stop_timers(exchange);
    exchange_sync_world(exchange);
    exchange->is_ended = true;
    exchange->winner = NULL;
    for (int i = 0; i < EXCHANGE_MAX_PARALLEL; i++) {
        struct attempt *attempt = exchange->active[i];
        exchange->active[i] = NULL;
        if (attempt != NULL) {
            enum base_verdict verdict =
                attempt_stop(attempt, is_silent(exchange, attempt));
            exchange->verdict = MAX(exchange->verdict, verdict);
        }
    }
}

/* Cancels the exchange and frees its contents, but not the struct. */
void
exchange_finish(struct exchange *exchange)
{
    exchange_cancel(exchange);
    g_free(exchange->path);
    if (exchange->headers != NULL) {
        g_ptr_array_free(exchange->headers, TRUE);
    }
    world_unref(exchange->world);
}

/* Cancels the exchange and fails the request.  If a server may have run it,
 * the error becomes UPSTREAM, unless the deadline passed. */
static void
fail(struct exchange *exchange, const struct front_fault *kind,
     const char *text)
{
    struct front_fault fault = *kind;

    exchange_cancel(exchange);
    fault.verdict = exchange->verdict;
    if (fault.verdict != BASE_NOT_RUN && kind != &DEADLINE) {
        fault = UPSTREAM;
        fault.verdict = exchange->verdict;
    }
    exchange->ops->failed(exchange, &fault, text);
}

static bool
is_past_deadline(const struct exchange *exchange)
{
    return base_clock_ms() >= exchange->request->deadline_ms;
}

static void
fail_after_attempts(struct exchange *exchange)
{
    const char *text = exchange->last_error[0] != '\0'
                           ? exchange->last_error
                           : "no answer from a backend server";

    if (is_past_deadline(exchange)) {
        fail(exchange, &DEADLINE, "the deadline passed");
        return;
    }
    fail(exchange, &NO_SERVER, text);
}

static void
on_deadline(lws_sorted_usec_list_t *timer)
{
    struct exchange *exchange =
        lws_container_of(timer, struct exchange, deadline_timer);

    fail(exchange, &DEADLINE, "the deadline passed");
}

/* Decides at random whether an overload reduction refuses this request. */
static bool
is_refused_by_reduction(const struct exchange *exchange)
{
    double share = front_reductions_share(
        exchange->front, exchange->world, exchange->choice.deployment,
        exchange->request->operator_name, exchange->choice.class_);

    return share > 0 && g_random_double() < share;
}

static void
refuse_blocked(struct exchange *exchange, int64_t retry_after_ms)
{
    exchange->retry_after_ms = retry_after_ms;
    fail(exchange, &PROMPT_BLOCKED,
         "a part of the prompt has crashed backend servers");
}

/* Refuses the request if a part of its prompt was found to crash servers while
 * it waited. */
bool
exchange_refuse_if_blocked(struct exchange *exchange)
{
    int64_t blocked_ms =
        control_prompt_blocked_ms(exchange->front->control, &exchange->parts);

    if (blocked_ms > 0) {
        refuse_blocked(exchange, blocked_ms);
    }
    return blocked_ms > 0;
}

/* Adds the request to the parts of its prompt, so that it is known again when
 * its caller sends it once more, at any node.  Call it once the request, the
 * parts and the deployment are set. */
void
exchange_identify(struct exchange *exchange)
{
    const char *const texts[] = {exchange->request->operator_name,
                                 exchange->method, exchange->host,
                                 exchange->path};
    const struct world *world = exchange->request->world;
    uint64_t hash = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        hash = base_hash_text(texts[i] != NULL ? texts[i] : "", hash);
    }
    hash = base_hash(exchange->body, exchange->body_size, hash);
    quarantine_add_request(&exchange->parts, hash);
    quarantine_scope(&exchange->parts,
                     world->deployments[exchange->choice.deployment].name);
}

/* Starts the first attempt.  ops->completed or ops->failed is called with the
 * result, possibly before this returns. */
void
exchange_start(struct exchange *exchange)
{
    struct front *front = exchange->front;
    int64_t left_ms = exchange->request->deadline_ms - base_clock_ms();
    int64_t blocked_ms;

    if (!front->is_naive && is_refused_by_reduction(exchange)) {
        fail(exchange, &OVER_SHARE,
             "overload: requests of this class are being reduced");
        return;
    }
    blocked_ms = control_prompt_admit(front->control, &exchange->parts);
    if (blocked_ms > 0) {
        refuse_blocked(exchange, blocked_ms);
        return;
    }
    place_count_request(front->place, exchange->operator_index,
                        base_clock_ms());
    lws_sul_schedule(front->lws, 0, &exchange->deadline_timer, on_deadline,
                     MAX(left_ms, 1) * LWS_US_PER_MS);
    attempt_start(exchange, false);
}

static void
clear_attempt(struct exchange *exchange, const struct attempt *attempt)
{
    for (int i = 0; i < EXCHANGE_MAX_PARALLEL; i++) {
        if (exchange->active[i] == attempt) {
            exchange->active[i] = NULL;
        }
    }
}

static bool
has_active_attempt(const struct exchange *exchange)
{
    return exchange->active[0] != NULL || exchange->active[1] != NULL;
}

/* Called when an attempt got no contract; frees the attempt.  If no other
 * attempt is active, the request fails, or starts over with all servers
 * allowed. */
void
exchange_on_no_contract(struct exchange *exchange, struct attempt *attempt,
                        enum contracts_answer answer)
{
    bool was_hedge = attempt->is_hedge;

    exchange->retry_after_ms =
        attempt->is_retry_unknown ? 0 : attempt->retry_ms;
    clear_attempt(exchange, attempt);
    attempt_free(attempt);
    if (has_active_attempt(exchange) || exchange->is_ended) {
        return;
    }
    if (answer == CONTRACTS_UNAVAILABLE && exchange->choice.n_tried > 0 &&
        !was_hedge) {
        /* Only servers tried before may be left: allow them again. */
        exchange->choice.n_tried = 0;
        attempt_start(exchange, false);
        return;
    }
    if (answer == CONTRACTS_REFUSED) {
        fail(exchange, &OVER_SHARE, "overload: over the fair share");
    }
    else if (answer == CONTRACTS_BUSY) {
        fail(exchange, &FRONT_OVERLOADED, "all backend servers are busy");
    }
    else if (exchange->n_attempts > 0) {
        fail_after_attempts(exchange);
    }
    else {
        fail(exchange, &NO_SERVER, "no backend server is available");
    }
}

/* Returns whether the request may be what crashes the servers: a part of its
 * prompt was on several that crashed. */
static bool
is_suspect(const struct exchange *exchange)
{
    enum { SUSPECT_CRASHES = 2 };

    return control_prompt_suspicion(exchange->front->control,
                                    &exchange->parts) >= SUSPECT_CRASHES;
}

/* Returns whether another attempt may start after one with this verdict, which
 * may still be running.  If it may, it is deducted from the retry budget. */
bool
exchange_may_retry(struct exchange *exchange, enum base_verdict verdict)
{
    if (exchange->is_committed ||
        exchange->n_attempts >= exchange->world->limits.max_attempts ||
        is_past_deadline(exchange)) {
        return false;
    }
    if (verdict != BASE_NOT_RUN && !exchange->choice.is_idempotent) {
        return false;
    }
    if (exchange->n_crashes > 0 && is_suspect(exchange)) {
        return false;
    }
    if (exchange->max_runs > 0 && exchange->n_runs >= exchange->max_runs) {
        return false;
    }
    return place_may_retry(exchange->front->place, exchange->operator_index,
                           &exchange->choice, verdict, base_clock_ms());
}

/* Adds a server to those that the request has tried. */
void
exchange_note_tried(struct exchange *exchange, int server)
{
    struct place_request *choice = &exchange->choice;

    for (int i = 0; i < choice->n_tried; i++) {
        if (choice->tried[i] == server) {
            return;
        }
    }
    if (server != WORLD_NONE && choice->n_tried < PLACE_MAX_TRIED) {
        choice->tried[choice->n_tried++] = server;
    }
}

/* Called when an attempt sends its request to a server. */
void
exchange_on_attempt_sent(struct exchange *exchange, struct attempt *attempt)
{
    (void)attempt;
    exchange->n_attempts++;
    exchange_watch_first_token(exchange);
}

/* Called when an attempt has output for the caller.  The first attempt wins
 * and the other one is stopped.  Returns whether this attempt is the winner.
 */
bool
exchange_try_win(struct exchange *exchange, struct attempt *attempt)
{
    if (exchange->winner != NULL) {
        return exchange->winner == attempt;
    }
    exchange_sync_world(exchange);
    exchange->winner = attempt;
    lws_sul_cancel(&exchange->hedge_timer);
    if (attempt->is_hedge) {
        base_counter_add(exchange->front->metrics.hedge_wins, 1);
    }
    for (int i = 0; i < EXCHANGE_MAX_PARALLEL; i++) {
        struct attempt *loser = exchange->active[i];
        if (loser == NULL || loser == attempt) {
            continue;
        }
        exchange->active[i] = NULL;
        attempt_stop(loser, false);
    }
    return true;
}

/* Counts a token or event of the winner that is relayed and records its time.
 */
void
exchange_count_token(struct exchange *exchange, struct attempt *attempt)
{
    struct front *front = exchange->front;
    int64_t now_us = base_clock_us();

    if (attempt->tokens == 0) {
        attempt->first_token_us = MAX(now_us - attempt->sent_us, 1);
        exchange_report_first_token(exchange, attempt);
        backends_set_silence(&front->backends, attempt->call,
                             exchange->silence_ms > 0
                                 ? exchange->silence_ms
                                 : exchange->world->limits.silence_ms);
    }
    if (exchange->tokens > 0) {
        exchange->longest_gap_us =
            MAX(exchange->longest_gap_us, now_us - exchange->last_relayed_us);
    }
    exchange->last_relayed_us = now_us;
    if (exchange->tokens == 0) {
        exchange->first_relayed_us = now_us;
        front_metrics_first_token(&front->metrics,
                                  now_us - exchange->request->started_us);
    }
    attempt->tokens++;
    if (attempt->tokens == ANSWERED_TOKENS) {
        control_prompt_answered(front->control, &exchange->parts);
    }
    attempt->last_token_us = now_us;
    exchange->tokens++;
    base_counter_add(front->metrics.tokens, 1);
}

static void
end_complete(struct exchange *exchange, struct attempt *attempt)
{
    exchange_try_win(exchange, attempt);
    exchange_sync_world(exchange);
    clear_attempt(exchange, attempt);
    stop_timers(exchange);
    exchange->is_ended = true;
    attempt->is_complete = true;
    control_prompt_answered(exchange->front->control, &exchange->parts);
    attempt_release_contract(attempt, false);
    exchange->ops->completed(exchange, attempt);
    attempt_stop(attempt, false);
}

/* Completes the exchange when its user has seen the end of the response,
 * without waiting until the backend call ends. */
void
exchange_complete(struct exchange *exchange, struct attempt *attempt)
{
    end_complete(exchange, attempt);
}

static void
retry(struct exchange *exchange, enum base_verdict verdict)
{
    if (!exchange_may_retry(exchange, verdict)) {
        fail_after_attempts(exchange);
        return;
    }
    base_counter_add(exchange->front->metrics.retries, 1);
    if (exchange->tokens > 0) {
        exchange->needs_resume = true;
        base_counter_add(exchange->front->metrics.resumes, 1);
    }
    attempt_start(exchange, false);
}

static bool
is_servers_fault(const struct exchange *exchange,
                 const struct backends_result *result)
{
    if (is_past_deadline(exchange)) {
        return false;
    }
    return result->err.code != BASE_OK ||
           (result->status >= 500 && result->verdict != BASE_NOT_RUN);
}

/* Notes a crash of the server if the request was on it and has never been
 * answered: a broken connection may be a crash, and a request whose output had
 * begun did not cause it. */
static void
note_crash(struct exchange *exchange, const struct attempt *attempt,
           const struct backends_result *result)
{
    if (result->err.code != BASE_UNAVAILABLE ||
        result->verdict != BASE_MAY_HAVE_RUN || exchange->tokens > 0) {
        return;
    }
    exchange->n_crashes++;
    control_prompt_crashed(exchange->front->control, &exchange->parts,
                           attempt->server_name);
}

static void
note_failure(struct exchange *exchange, const struct attempt *attempt,
             const struct backends_result *result)
{
    struct front *front = exchange->front;

    exchange->verdict = MAX(exchange->verdict, result->verdict);
    exchange->n_runs += result->verdict != BASE_NOT_RUN ? 1 : 0;
    if (result->err.code != BASE_OK) {
        g_snprintf(exchange->last_error, sizeof(exchange->last_error), "%s",
                   result->err.text);
    }
    else {
        g_snprintf(exchange->last_error, sizeof(exchange->last_error),
                   "a backend server responded with status %d",
                   result->status);
    }
    if (result->err.code == BASE_CORRUPT) {
        base_counter_add(front->metrics.identity_faults, 1);
    }
    base_log(BASE_LOG_INFO, "front.attempt_failed",
             "id=%s server=%s status=%d ran=%s tokens=%d error=\"%s\"",
             exchange->request->id, attempt->server_name, result->status,
             base_verdict_name(result->verdict), attempt->tokens,
             exchange->last_error);
}

/* Called when an attempt's call ended without being stopped.  Completes the
 * exchange or retries. */
void
exchange_on_attempt_done(struct exchange *exchange, struct attempt *attempt,
                         const struct backends_result *result)
{
    enum base_verdict verdict = result->verdict;

    if (exchange->ops->ended(exchange, attempt, result) == ATTEMPT_COMPLETE) {
        end_complete(exchange, attempt);
        return;
    }
    exchange_sync_world(exchange);
    clear_attempt(exchange, attempt);
    if (exchange->winner == attempt) {
        exchange->winner = NULL;
    }
    note_failure(exchange, attempt, result);
    note_crash(exchange, attempt, result);
    exchange_note_tried(exchange, attempt->server);
    attempt_release_contract(attempt, is_servers_fault(exchange, result));
    attempt_free(attempt);
    if (has_active_attempt(exchange)) {
        exchange_watch_first_token(exchange);
        return;
    }
    retry(exchange, verdict);
}

/* Ends an attempt in whose response the user of the exchange found an error,
 * and retries if that is allowed.  The attempt is freed. */
void
exchange_fail_attempt(struct exchange *exchange, struct attempt *attempt,
                      const char *why)
{
    struct backends_result result = {
        .status = attempt->status,
        .verdict = BASE_MAY_HAVE_RUN,
    };

    base_error_set(&result.err, BASE_CORRUPT, "%s", why);
    attempt->state = ATTEMPT_ENDED;
    backends_cancel(&exchange->front->backends, attempt->call);
    exchange_on_attempt_done(exchange, attempt, &result);
}
