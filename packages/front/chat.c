#include "front/chunk.h"
#include "front/exchange.h"
#include "front/prompt.h"
#include "front/sse.h"

#include <string.h>

#include "base/http_text.h"

enum {
    MAX_PENDING = 4096, /* bytes of events before the first token */
    MAX_RESPONSE_BYTES =
        16 * 1048576, /* bytes of a response that is no stream */
};

/* A request to a model, for /v1/chat/completions and /v1/completions. */
struct chat {
    struct exchange exchange;
    bool is_chat;
    struct prompt prompt;
    char expected_id[FRONT_ID_SIZE + 16];
    bool
        is_pending_output_sent; /* the pending output was sent to the caller */
    int64_t heartbeat_ms;
    /* for a response that is assembled from a stream */
    GString *text;
    json_t *last_chunk;
    json_t *usage;
    char finish_reason[32];
};

static void
relay_event(struct chat *chat, const char *payload, size_t size)
{
    struct front_request *request = chat->exchange.request;
    GString *event = g_string_sized_new(size + 8);

    g_string_append(event, "data: ");
    g_string_append_len(event, payload, (gssize)size);
    g_string_append(event, "\n\n");
    front_stream_begin(request, 200, "text/event-stream");
    front_stream_write(request, event->str, event->len);
    g_string_free(event, TRUE);
    chat->heartbeat_ms = request->last_progress_ms;
}

static void
collect_chunk(struct chat *chat, const struct chunk *chunk)
{
    json_t *usage = json_object_get(chunk->json, "usage");

    if (chunk->content != NULL) {
        g_string_append(chat->text, chunk->content);
    }
    if (chunk->finish_reason != NULL) {
        g_strlcpy(chat->finish_reason, chunk->finish_reason,
                  sizeof(chat->finish_reason));
    }
    if (json_is_object(usage)) {
        json_decref(chat->usage);
        chat->usage = json_incref(usage);
    }
    if (chat->last_chunk == NULL) {
        chat->last_chunk = json_incref(chunk->json);
    }
}

/* Relays an event of the winner to the caller, or collects its contents if the
 * caller did not request a stream. */
static void
deliver_chunk(struct chat *chat, struct attempt *attempt,
              const struct chunk *chunk, const char *payload, size_t size)
{
    if (!chat->prompt.wants_stream) {
        collect_chunk(chat, chunk);
        return;
    }
    if (!chat->is_pending_output_sent && attempt->pending_output != NULL) {
        front_stream_begin(chat->exchange.request, 200, "text/event-stream");
        front_stream_write(chat->exchange.request,
                           attempt->pending_output->str,
                           attempt->pending_output->len);
    }
    chat->is_pending_output_sent = true;
    relay_event(chat, payload, size);
}

/* Buffers an event until the attempt wins.  Events that do not fit within
 * MAX_PENDING bytes are dropped. */
static void
buffer_event(struct attempt *attempt, const char *payload, size_t size)
{
    if (attempt->pending_output == NULL) {
        attempt->pending_output = g_string_new(NULL);
    }
    if (attempt->pending_output->len + size < MAX_PENDING) {
        g_string_append(attempt->pending_output, "data: ");
        g_string_append_len(attempt->pending_output, payload, (gssize)size);
        g_string_append(attempt->pending_output, "\n\n");
    }
}

static void
pause_if_full(struct chat *chat, struct attempt *attempt)
{
    if (front_pending(chat->exchange.request) > FRONT_HIGH_WATER) {
        backends_pause(&chat->exchange.front->backends, attempt->call);
    }
}

/* Processes a valid chunk.  Always returns true: the attempt continues. */
static bool
process_chunk(struct chat *chat, struct attempt *attempt,
              const struct chunk *chunk, const char *payload, size_t size)
{
    struct exchange *exchange = &chat->exchange;
    bool is_for_caller = chunk->is_token || chunk->finish_reason != NULL;

    if (!is_for_caller && exchange->winner != attempt) {
        buffer_event(attempt, payload, size);
        return true;
    }
    if (!is_for_caller && attempt->resumed_from > 0 &&
        !attempt->has_finish_reason) {
        return true; /* a repeated role event */
    }
    if (!exchange_try_win(exchange, attempt)) {
        return true;
    }
    deliver_chunk(chat, attempt, chunk, payload, size);
    if (chunk->is_token) {
        exchange_count_token(exchange, attempt);
    }
    attempt->has_finish_reason =
        attempt->has_finish_reason || chunk->finish_reason != NULL;
    pause_if_full(chat, attempt);
    return true;
}

static bool
on_event(void *context, const char *payload, size_t size)
{
    struct attempt *attempt = context;
    struct chat *chat = (struct chat *)attempt->exchange;
    struct chunk chunk;
    const char *reason = NULL;
    bool continues = false;

    if (size == 6 && memcmp(payload, "[DONE]", 6) == 0) {
        if (attempt->has_finish_reason) {
            exchange_complete(&chat->exchange, attempt);
        }
        else {
            exchange_fail_attempt(&chat->exchange, attempt,
                                  "the stream ended without a finish_reason");
        }
        return false;
    }
    if (!chunk_parse(&chunk, payload, size)) {
        reason = "an event is not a JSON object";
    }
    else if (chunk.is_error) {
        reason = "the engine reported an error within the stream";
    }
    else if (g_strcmp0(chunk.id, chat->expected_id) != 0) {
        reason = "an event belongs to another request";
        base_counter_add(chat->exchange.front->metrics.identity_faults, 1);
    }
    else {
        continues = process_chunk(chat, attempt, &chunk, payload, size);
    }
    chunk_finish(&chunk);
    if (reason != NULL) {
        exchange_fail_attempt(&chat->exchange, attempt, reason);
    }
    return continues;
}

static void
on_head(struct exchange *exchange, struct attempt *attempt)
{
    attempt->buffered_body = g_string_new(NULL);
}

static void
on_body(struct exchange *exchange, struct attempt *attempt, const char *data,
        size_t size)
{
    if (!attempt->is_event_stream) {
        if (attempt->buffered_body->len + size > MAX_RESPONSE_BYTES) {
            exchange_fail_attempt(exchange, attempt, "the answer is too long");
            return;
        }
        g_string_append_len(attempt->buffered_body, data, (gssize)size);
        return;
    }
    if (sse_feed(attempt->buffered_body, data, size, on_event, attempt) ==
        SSE_TOO_LONG) {
        exchange_fail_attempt(exchange, attempt, "an event is too long");
    }
}

static bool
has_expected_id(const struct chat *chat, const struct attempt *attempt)
{
    json_t *json = json_loadb(attempt->buffered_body->str,
                              attempt->buffered_body->len, 0, NULL);
    const char *id = json_string_value(json_object_get(json, "id"));
    bool is_expected = g_strcmp0(id, chat->expected_id) == 0;

    json_decref(json);
    return is_expected;
}

static enum attempt_end
on_ended(struct exchange *exchange, struct attempt *attempt,
         const struct backends_result *result)
{
    struct chat *chat = (struct chat *)exchange;

    if (!result->is_complete || result->err.code != BASE_OK ||
        result->status >= 500 || attempt->is_event_stream) {
        return ATTEMPT_BROKEN;
    }
    if (result->status >= 400) {
        /* The engine refused a bad request.  In place of the rest of a stream
         * that has begun, it is no answer. */
        return exchange->request->is_stream ? ATTEMPT_BROKEN
                                            : ATTEMPT_COMPLETE;
    }
    if (chat->prompt.wants_stream || !has_expected_id(chat, attempt)) {
        return ATTEMPT_BROKEN;
    }
    return ATTEMPT_COMPLETE;
}

static void
relay_response(struct chat *chat, const struct attempt *attempt)
{
    struct front_request *request = chat->exchange.request;

    if (attempt->status >= 400) {
        front_add_header(request, "x-cardamompick-ran", "yes");
    }
    front_respond(request, attempt->status,
                  attempt->content_type[0] != '\0' ? attempt->content_type
                                                   : "application/json",
                  attempt->buffered_body->str, attempt->buffered_body->len);
}

/* Assembles the response that the engine would have sent without a stream.
 * The caller frees it. */
static char *
assemble_response(const struct chat *chat)
{
    json_t *first_choice = json_pack("{s:i,s:o}", "index", 0, "finish_reason",
                                     base_json_text(chat->finish_reason));
    json_t *text = base_json_bytes(chat->text->str, chat->text->len);
    json_t *response;
    char *dumped;

    if (chat->is_chat) {
        json_object_set_new(
            first_choice, "message",
            json_pack("{s:s,s:o}", "role", "assistant", "content", text));
    }
    else {
        json_object_set_new(first_choice, "text", text);
    }
    response = json_pack(
        "{s:s,s:s,s:O?,s:O?,s:[o]}", "id", chat->expected_id, "object",
        chat->is_chat ? "chat.completion" : "text_completion", "created",
        json_object_get(chat->last_chunk, "created"), "model",
        json_object_get(chat->last_chunk, "model"), "choices", first_choice);
    if (chat->usage != NULL) {
        json_object_set(response, "usage", chat->usage);
    }
    dumped = json_dumps(response, JSON_COMPACT);
    json_decref(response);
    return dumped;
}

static void
on_completed(struct exchange *exchange, struct attempt *attempt)
{
    struct chat *chat = (struct chat *)exchange;
    char *response;

    if (!attempt->is_event_stream) {
        relay_response(chat, attempt);
        return;
    }
    if (chat->prompt.wants_stream) {
        relay_event(chat, "[DONE]", 6);
        front_stream_end(exchange->request);
        return;
    }
    response = assemble_response(chat);
    front_respond(exchange->request, 200, "application/json", response,
                  strlen(response));
    free(response);
}

static void
on_failed(struct exchange *exchange, const struct front_fault *fault,
          const char *text)
{
    struct chat *chat = (struct chat *)exchange;
    struct front_request *request = exchange->request;
    char *json;

    if (!request->is_stream) {
        front_fail(request, fault, "%s", text);
        return;
    }
    /* The head was sent already, so the error is sent as an event. */
    json = front_fault_json(fault, text);
    relay_event(chat, json, strlen(json));
    front_stream_end(request);
    free(json);
}

static const struct exchange_ops EXCHANGE_OPS = {
    on_head, on_body, on_ended, on_completed, on_failed,
};

static void
prepare_exchange(struct chat *chat, struct front_request *request,
                 int deployment)
{
    struct exchange *exchange = &chat->exchange;
    const struct world_deployment *model =
        &request->world->deployments[deployment];

    exchange_init(exchange, &EXCHANGE_OPS, request, deployment);
    exchange->method = "POST";
    exchange->path = g_strdup(request->path);
    exchange->body = request->body->str;
    exchange->body_size = request->body->len;
    if (chat->prompt.streamed_body != NULL) {
        exchange->body = chat->prompt.streamed_body;
        exchange->body_size = strlen(chat->prompt.streamed_body);
    }
    exchange->choice.is_idempotent = true;
    exchange->choice.prefix_key = chat->prompt.prefix_key;
    request->class_name = "short";
    if (chat->prompt.max_tokens >= model->long_tokens) {
        exchange->choice.class_ = CONTRACTS_ONLINE_LONG;
        request->class_name = "long";
    }
}

static void
start(struct chat *chat, struct front_request *request, int deployment)
{
    g_snprintf(chat->expected_id, sizeof(chat->expected_id), "%s-%s",
               chat->is_chat ? "chatcmpl" : "cmpl", request->id);
    chat->text = g_string_new(NULL);
    chat->heartbeat_ms = base_clock_ms();
    prepare_exchange(chat, request, deployment);
    request->state = chat;
    exchange_identify(&chat->exchange);
    exchange_start(&chat->exchange);
}

static void
free_chat(struct chat *chat)
{
    prompt_finish(&chat->prompt);
    if (chat->text != NULL) {
        g_string_free(chat->text, TRUE);
    }
    json_decref(chat->last_chunk);
    json_decref(chat->usage);
    g_free(chat);
}

static void
run(struct front_request *request, bool is_chat)
{
    static const struct front_fault NO_MODEL = {
        404, BASE_NOT_RUN, "invalid_request_error", "model_not_found", 0};
    struct chat *chat = g_new0(struct chat, 1);
    struct base_error err = {0};
    int deployment;

    chat->is_chat = is_chat;
    if (!prompt_parse(&chat->prompt, request->body->str, request->body->len,
                      is_chat, &err)) {
        front_fail(request, &FRONT_BAD_REQUEST, "%s", err.text);
        free_chat(chat);
        return;
    }
    deployment = world_find_model(request->world, chat->prompt.model);
    if (!front_may_use(request, deployment)) {
        front_fail(request, &NO_MODEL, "the model \"%s\" does not exist",
                   chat->prompt.model);
        free_chat(chat);
        return;
    }
    if (!front_admit(request)) {
        free_chat(chat);
        return;
    }
    start(chat, request, deployment);
}

static void
run_chat(struct front_request *request)
{
    run(request, true);
}

static void
run_completions(struct front_request *request)
{
    run(request, false);
}

static void
output_drained(struct front_request *request)
{
    struct chat *chat = request->state;

    if (chat != NULL && chat->exchange.winner != NULL) {
        backends_resume(&chat->exchange.front->backends,
                        chat->exchange.winner->call);
    }
}

/* Sends a comment as heartbeat when the stream has had no event for
 * FRONT_HEARTBEAT_MS. */
static void
tick(struct front_request *request, int64_t now_ms)
{
    struct chat *chat = request->state;

    if (chat == NULL || !chat->prompt.wants_stream || request->is_ended ||
        now_ms - chat->heartbeat_ms < FRONT_HEARTBEAT_MS) {
        return;
    }
    chat->heartbeat_ms = now_ms;
    if (front_pending(request) == 0) {
        front_stream_begin(request, 200, "text/event-stream");
        front_stream_write(request, ": ping\n\n", 8);
    }
}

static void
closed(struct front_request *request)
{
    struct chat *chat = request->state;

    if (chat != NULL) {
        exchange_finish(&chat->exchange);
        free_chat(chat);
        request->state = NULL;
    }
}

const struct front_handler FRONT_CHAT = {.run = run_chat,
                                         .output_drained = output_drained,
                                         .tick = tick,
                                         .closed = closed};
const struct front_handler FRONT_COMPLETIONS = {.run = run_completions,
                                                .output_drained =
                                                    output_drained,
                                                .tick = tick,
                                                .closed = closed};
