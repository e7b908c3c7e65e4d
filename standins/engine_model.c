#include "engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

enum { PREFIX_BYTES = 256, DEFAULT_TOKENS = 16 };

static double
slow_factor(const struct engine *engine)
{
    if (base_clock_ms() < engine->faults.slow_until_ms) {
        return engine->faults.slow_factor;
    }
    return 1.0;
}

/*
 * Appends a JSON line about a request to the log.  `end` tells how the
 * request ended, e.g. "done" or "cancelled".
 */
void
engine_log_request(struct engine *engine, struct engine_session *s,
                   const char *end)
{
    g_string_append_printf(
        engine->log,
        "{\"server\":\"%s\",\"id\":\"%s\",\"method\":\"%s\",\"path\":\"%s\","
        "\"arrived_us\":%" PRId64 ",\"began_us\":%" PRId64
        ",\"first_token_us\":%" PRId64 ",\"end_us\":%" PRId64
        ",\"from\":%d,\"next\":%d,\"tokens\":%d,\"end\":\"%s\"}\n",
        engine->settings.name, s->id, s->method, s->path, s->arrived_us,
        s->began_us, s->first_token_us, base_clock_us(), s->resume_token,
        s->next_token, s->tokens, end);
}

/*
 * Returns whether the prefix is in the cache, and adds it if it is not.  The
 * oldest entry is overwritten.
 */
static bool
is_cached(struct engine *engine, uint64_t prefix)
{
    for (int i = 0; i < ENGINE_CACHE_SIZE; i++) {
        if (engine->cache[i] == prefix) {
            return true;
        }
    }
    engine->cache[engine->cache_next] = prefix;
    engine->cache_next = (engine->cache_next + 1) % ENGINE_CACHE_SIZE;
    engine->cache_seq++;
    return false;
}

static void
append_token(struct engine_session *s, GString *out)
{
    g_string_append_printf(out, "t%d-%s ", s->next_token, s->prompt_digest);
}

static void
append_event(struct engine_session *s, const char *text, const char *finish)
{
    const char *kind =
        s->is_chat ? "chat.completion.chunk" : "text_completion";
    GString *out = s->out;

    g_string_append_printf(out,
                           "data: {\"id\":\"%s-%s\",\"object\":\"%s\","
                           "\"created\":%" PRId64
                           ",\"model\":\"%s\",\"choices\":[{\"index\":0,",
                           s->is_chat ? "chatcmpl" : "cmpl", s->id, kind,
                           base_wall_ms() / 1000, s->engine->model);
    if (!s->is_chat) {
        g_string_append_printf(out, "\"text\":\"%s\"", text);
    }
    else if (text[0] != '\0') {
        g_string_append_printf(out, "\"delta\":{\"content\":\"%s\"}", text);
    }
    else {
        g_string_append(out, "\"delta\":{}");
    }
    g_string_append_printf(out, ",\"finish_reason\":%s}]}\n\n", finish);
}

static void
respond_completion(struct engine_session *s)
{
    GString *text = g_string_new(NULL);
    GString *answer = g_string_new(NULL);

    for (s->next_token = s->resume_token; s->next_token < s->tokens;
         s->next_token++) {
        append_token(s, text);
    }
    g_string_append_printf(
        answer,
        "{\"id\":\"%s-%s\",\"object\":\"%s\",\"created\":%" PRId64
        ",\"model\":\"%s\",\"choices\":[{\"index\":0,",
        s->is_chat ? "chatcmpl" : "cmpl", s->id,
        s->is_chat ? "chat.completion" : "text_completion",
        base_wall_ms() / 1000, s->engine->model);
    if (s->is_chat) {
        g_string_append_printf(
            answer, "\"message\":{\"role\":\"assistant\",\"content\":\"%s\"}",
            text->str);
    }
    else {
        g_string_append_printf(answer, "\"text\":\"%s\"", text->str);
    }
    g_string_append_printf(answer,
                           ",\"finish_reason\":\"length\"}],\"usage\":{"
                           "\"prompt_tokens\":1,\"completion_tokens\":%d,"
                           "\"total_tokens\":%d}}",
                           s->tokens, s->tokens + 1);
    engine_respond(s, 200, "application/json", answer->str, answer->len);
    g_string_free(answer, TRUE);
    g_string_free(text, TRUE);
}

static void
respond_service(struct engine_session *s)
{
    char answer[768];
    int size = snprintf(answer, sizeof(answer),
                        "{\"id\":\"%s\",\"method\":\"%s\",\"path\":\"%s\","
                        "\"body_hash\":\"%016" PRIx64 "\"}",
                        s->id, s->method, s->path,
                        base_hash(s->body->str, s->body->len, 0));
    engine_respond(s, 200, "application/json", answer, (size_t)size);
}

static void start_queued(struct engine *engine);

static void
free_slot(struct engine *engine, struct engine_session *s)
{
    g_ptr_array_remove_fast(engine->running, s);
    s->phase = ENGINE_DONE;
    start_queued(engine);
}

static void
finish(struct engine *engine, struct engine_session *s)
{
    if (g_rand_double(engine->random) < engine->faults.lose_answers) {
        engine_log_request(engine, s, "lost");
        free_slot(engine, s);
        engine_close(s);
        return;
    }
    engine_log_request(engine, s, "done");
    if (g_rand_double(engine->random) < engine->faults.error_rate) {
        const char *text =
            "{\"error\":{\"message\":\"failed after execution\"}}";
        engine_respond(s, 500, "application/json", text, strlen(text));
    }
    else if (engine->settings.is_service) {
        respond_service(s);
    }
    else if (s->is_stream) {
        append_event(s, "", "\"length\"");
        g_string_append(s->out, "data: [DONE]\n\n");
        engine_flush_stream(s, true);
    }
    else {
        respond_completion(s);
    }
    free_slot(engine, s);
}

/* Returns the time of a decoding step, which grows with the batch size. */
static int64_t
step_us(const struct engine *engine)
{
    double filled =
        (double)engine->running->len / MAX(engine->settings.slots, 1);
    return (int64_t)(engine->settings.inter_token_us * (1.0 + 0.2 * filled) *
                     slow_factor(engine));
}

static void
on_timer(lws_sorted_usec_list_t *timer)
{
    struct engine_session *s =
        lws_container_of(timer, struct engine_session, timer);
    struct engine *engine = s->engine;
    GString *token;

    if (s->next_token >= s->tokens || engine->settings.is_service ||
        !s->is_stream) {
        finish(engine, s);
        return;
    }
    if (s->next_token == s->break_token) {
        engine_log_request(engine, s, "broken");
        free_slot(engine, s);
        engine_close(s);
        return;
    }
    if (s->first_token_us == 0) {
        s->first_token_us = base_clock_us();
        engine_start_stream(s);
    }
    token = g_string_new(NULL);
    append_token(s, token);
    append_event(s, token->str, "null");
    g_string_free(token, TRUE);
    s->next_token++;
    engine_flush_stream(s, false);
    lws_sul_schedule(engine->lws, 0, &s->timer, on_timer,
                     s->next_token < s->tokens ? step_us(engine) : 1);
}

static void
start_request(struct engine *engine, struct engine_session *s)
{
    int64_t delay_us = engine->settings.first_token_us;

    s->phase = ENGINE_RUNNING;
    s->began_us = base_clock_us();
    g_ptr_array_add(engine->running, s);
    if (!engine->settings.is_service && s->resume_token == 0 &&
        is_cached(engine, s->prefix_hash)) {
        delay_us = delay_us * 2 / 3;
    }
    delay_us = (int64_t)((double)delay_us * slow_factor(engine));
    if (!s->is_stream && !engine->settings.is_service) {
        delay_us += step_us(engine) * MAX(s->tokens - s->resume_token - 1, 0);
    }
    lws_sul_schedule(engine->lws, 0, &s->timer, on_timer, MAX(delay_us, 1));
}

static void
start_queued(struct engine *engine)
{
    while ((int)engine->running->len < engine->settings.slots &&
           !g_queue_is_empty(&engine->queue)) {
        start_request(engine, g_queue_pop_head(&engine->queue));
    }
}

static void
respond_error(struct engine_session *s, int status, const char *reason)
{
    char text[256];
    int size = snprintf(text, sizeof(text),
                        "{\"error\":{\"message\":\"%s\",\"type\":"
                        "\"invalid_request_error\",\"code\":null}}",
                        reason);
    engine_respond(s, status, "application/json", text, (size_t)size);
}

static void
parse_prompt(struct engine_session *s, json_t *body)
{
    json_t *prompt = json_object_get(body, s->is_chat ? "messages" : "prompt");
    json_t *limit = json_object_get(body, "max_completion_tokens");
    char *text = json_dumps(prompt, JSON_COMPACT | JSON_ENCODE_ANY);

    if (limit == NULL) {
        limit = json_object_get(body, "max_tokens");
    }
    s->tokens = json_is_integer(limit) ? (int)json_integer_value(limit)
                                       : DEFAULT_TOKENS;
    s->is_stream = json_is_true(json_object_get(body, "stream"));
    if (text != NULL) {
        char *digest =
            g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
        g_strlcpy(s->prompt_digest, digest, sizeof(s->prompt_digest));
        g_free(digest);
        s->prefix_hash =
            base_hash(text, MIN(strlen(text), (size_t)PREFIX_BYTES), 0);
        if (strstr(text, "CANNOT-BE-DONE") != NULL) {
            s->tokens = -1;
        }
    }
    free(text);
}

static bool
parse_request(struct engine_session *s)
{
    json_t *body = json_loadb(s->body->str, s->body->len, 0, NULL);

    if (body == NULL) {
        respond_error(s, 400, "the request body is not valid JSON");
        return false;
    }
    s->is_chat = strstr(s->path, "/chat/") != NULL;
    parse_prompt(s, body);
    json_decref(body);
    if (s->tokens < 0) {
        respond_error(s, 400, "this prompt is always refused");
        return false;
    }
    return true;
}

/* Handles a complete request: refuses it, or queues it to run. */
void
engine_model_accept(struct engine *engine, struct engine_session *s)
{
    s->arrived_us = base_clock_us();
    s->break_token = -1;
    if (g_rand_double(engine->random) < engine->faults.fail_rate ||
        base_clock_ms() < engine->ready_ms) {
        engine_log_request(engine, s, "refused");
        respond_error(s, 503, "temporarily unavailable");
        return;
    }
    if (!engine->settings.is_service && !parse_request(s)) {
        engine_log_request(engine, s, "invalid");
        return;
    }
    if (s->is_stream &&
        g_rand_double(engine->random) < engine->faults.break_rate) {
        s->break_token =
            g_rand_int_range(engine->random, 0, MAX(s->tokens, 1));
    }
    s->next_token = s->resume_token;
    s->phase = ENGINE_QUEUED;
    g_queue_push_tail(&engine->queue, s);
    start_queued(engine);
}

/* Cancels a queued or running request whose caller has disconnected. */
void
engine_model_cancel(struct engine *engine, struct engine_session *s)
{
    lws_sul_schedule(engine->lws, 0, &s->timer, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    if (s->phase == ENGINE_QUEUED) {
        engine_log_request(engine, s, "cancelled-queued");
        g_queue_remove(&engine->queue, s);
    }
    else if (s->phase == ENGINE_RUNNING) {
        engine_log_request(engine, s, "cancelled");
        free_slot(engine, s);
    }
    s->phase = ENGINE_IDLE;
}

/*
 * Refreshes the load report if load_lag_ms have passed since the last time,
 * so that reported figures lag behind the actual load, as with real engines.
 */
void
engine_model_refresh_load(struct engine *engine)
{
    int64_t now_ms = base_clock_ms();

    if (now_ms - engine->reported_ms < engine->settings.load_lag_ms) {
        return;
    }
    engine->reported_ms = now_ms;
    engine->reported_running = (int)engine->running->len;
    engine->reported_queued = (int)engine->queue.length;
}
