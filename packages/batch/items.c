#include "batch/batch_private.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_CONTENT_BYTES = 4 << 20, /* maximum size of a response body; an error
                                    message states it as 4 MiB */
    FIRST_BACKOFF_MS = 100,
    MAX_BACKOFF_MS = 5000,
    DEFAULT_TRIES = 3,
    SPAN_EVERY = 64, /* one of this many items gets a trace span */
};

/* ---- creating an item ---- */

/* Returns whether batch_response can rebuild the response to this request from
 * a stream.  It only handles a single choice of plain text. */
static bool
can_be_streamed(const json_t *body)
{
    static const char *const UNSTREAMED_FIELDS[] = {
        "tools", "functions", "logprobs", "best_of", "echo", NULL};
    json_t *n = json_object_get(body, "n");

    for (int i = 0; UNSTREAMED_FIELDS[i] != NULL; i++) {
        if (json_object_get(body, UNSTREAMED_FIELDS[i]) != NULL) {
            return false;
        }
    }
    return n == NULL || json_integer_value(n) == 1;
}

static char *
dump_body(const struct batch_item *item, json_t *body)
{
    json_t *copy;
    char *text;
    char *owned;

    if (body == NULL) {
        return NULL;
    }
    copy = json_copy(body);
    if (item->is_engine) {
        json_object_set_new(copy, "stream", json_boolean(item->is_streamed));
    }
    text = json_dumps(copy, JSON_COMPACT | JSON_ENCODE_ANY);
    owned = g_strdup(text);
    free(text);
    json_decref(copy);
    return owned;
}

/* Makes an item of a run from its line; index is its index in the shard. */
struct batch_item *
batch_item_new(struct batch_run *run, int index, const struct batch_line *line,
               const struct batch_target *target)
{
    struct batch_item *item = g_new0(struct batch_item, 1);

    item->run = run;
    batch_run_ref(run);
    item->index = index;
    item->custom_id = g_strdup(line->custom_id);
    item->method = g_strdup(line->method);
    item->path = g_strdup(target->path);
    item->deployment = target->deployment;
    item->is_engine = target->is_engine;
    item->is_chat = target->is_chat;
    item->is_idempotent = target->is_idempotent;
    item->is_streamed = target->is_engine && can_be_streamed(line->body);
    item->body = dump_body(item, line->body);
    if (target->is_engine) {
        item->model =
            g_strdup(json_string_value(json_object_get(line->body, "model")));
    }
    g_snprintf(item->request_id, sizeof(item->request_id), "%s-%d",
               run->job.id, run->first_item + index);
    batch_response_init(&item->stream_response, item->is_chat);
    item->content = g_string_new(NULL);
    item->link.data = item;
    return item;
}

void
batch_item_free(struct batch_item *item)
{
    struct batch_run *run = item->run;

    batch_response_finish(&item->stream_response);
    g_string_free(item->content, TRUE);
    g_free(item->custom_id);
    g_free(item->method);
    g_free(item->path);
    g_free(item->body);
    g_free(item->model);
    g_free(item);
    batch_run_unref(run);
}

/* ---- results ---- */

static void
add_tried_server(struct batch_item *item)
{
    if (item->n_tried_servers < (int)G_N_ELEMENTS(item->tried_servers)) {
        g_strlcpy(item->tried_servers[item->n_tried_servers],
                  item->pool->server, sizeof(item->tried_servers[0]));
        item->n_tried_servers++;
    }
}

static void
back_off(struct batch_item *item, int n_times)
{
    int64_t wait_ms = (int64_t)FIRST_BACKOFF_MS << MIN(n_times, 6);

    item->not_before_ms = base_clock_ms() + MIN(wait_ms, MAX_BACKOFF_MS);
}

static json_t *
make_response(const struct batch_item *item, json_t *body)
{
    return json_pack("{s:i, s:s, s:o}", "status_code", item->status,
                     "request_id", item->request_id, "body", body);
}

/* Returns the response body as a JSON value: parsed if it is JSON, as a string
 * if it is other UTF-8 text, else as an object with its base64 encoding. */
static json_t *
make_content_body(const struct batch_item *item)
{
    json_t *body = json_loadb(item->content->str, item->content->len,
                              JSON_DECODE_ANY, NULL);

    if (body == NULL && base_is_utf8(item->content->str, item->content->len)) {
        body = json_stringn(item->content->str, item->content->len);
    }
    if (body == NULL) {
        char *text = g_base64_encode((const guchar *)item->content->str,
                                     item->content->len);
        body = json_pack("{s:s}", "base64", text);
        g_free(text);
    }
    return body;
}

static void
complete_item(struct batch_item *item)
{
    json_t *body =
        item->is_streamed
            ? batch_response_body(&item->stream_response, item->request_id,
                                  item->model, batch_now_s())
            : make_content_body(item);

    batch_run_end_item(item->run, item, make_response(item, body), NULL, NULL);
}

static void
fail_item(struct batch_item *item, const char *code, const char *text)
{
    json_t *response = item->status == 0
                           ? NULL
                           : make_response(item, make_content_body(item));

    batch_run_end_item(item->run, item, response, code, text);
}

/* Returns whether the status means that the item itself is wrong, so that no
 * other server would accept it either. */
static bool
is_item_fault(int status)
{
    static const int RETRYABLE[] = {408, 425, 429};

    for (size_t i = 0; i < G_N_ELEMENTS(RETRYABLE); i++) {
        if (status == RETRYABLE[i]) {
            return false;
        }
    }
    return status >= 400 && status < 500;
}

static bool
has_complete_response(const struct batch_item *item,
                      const struct backends_result *result)
{
    if (item->status < 200 || item->status >= 300) {
        return false;
    }
    if (item->is_streamed) {
        return item->stream_response.is_response_complete &&
               !item->stream_response.is_response_invalid;
    }
    return result->is_complete;
}

static void
retry_later(struct batch_item *item, int n_times)
{
    base_counter_add(item->run->batch->n_retried, 1);
    back_off(item, n_times);
    batch_run_requeue_item(item->run, item);
}

/* Handles a failure of the server.  The item is sent again, to another server
 * if there is one, until the limit of failed attempts is reached.  An attempt
 * that added tokens before it failed does not count towards the limit. */
static void
handle_server_failure(struct batch_item *item,
                      const struct backends_result *result)
{
    int limit = item->run->batch->world->batch.item_tries;
    char text[320];

    if (item->stream_response.is_response_invalid) {
        batch_response_restart(&item->stream_response, false);
        item->n_kept_tokens = 0;
    }
    if (item->stream_response.n_tokens <= item->n_kept_tokens) {
        item->n_failed_attempts++;
    }
    add_tried_server(item);
    if (item->n_failed_attempts < (limit > 0 ? limit : DEFAULT_TRIES)) {
        retry_later(item, item->n_failed_attempts);
        return;
    }
    g_snprintf(text, sizeof(text),
               "servers failed %d times, last status %d%s%s",
               item->n_failed_attempts, item->status,
               result->err.text[0] ? ": " : "", result->err.text);
    fail_item(item, "server_failed", text);
}

static void
handle_result(struct batch_item *item, const struct backends_result *result)
{
    if (has_complete_response(item, result)) {
        complete_item(item);
    }
    else if (is_item_fault(item->status) && result->is_complete) {
        char text[64];
        g_snprintf(text, sizeof(text),
                   "the server refused the item with status %d", item->status);
        fail_item(item, "item_refused", text);
    }
    else if (item->is_preempted && item->is_idempotent) {
        batch_run_requeue_item(item->run, item);
    }
    else if (result->verdict == BASE_NOT_RUN) {
        add_tried_server(item);
        retry_later(item, ++item->n_refused_attempts);
    }
    else if (!item->is_idempotent) {
        fail_item(item, "may_have_run",
                  "the answer was lost or the server failed; the item is not "
                  "idempotent and is not sent again");
    }
    else {
        handle_server_failure(item, result);
    }
}

static void
make_outcome(const struct batch_item *item,
             const struct backends_result *result,
             struct contracts_outcome *outcome)
{
    int n_new = item->stream_response.n_tokens - item->n_kept_tokens;
    int64_t now_us = base_clock_us();

    memset(outcome, 0, sizeof(*outcome));
    outcome->tokens = MAX(n_new, 0);
    if (item->first_token_at_us > 0) {
        outcome->first_token_us = item->first_token_at_us - item->sent_at_us;
    }
    if (item->first_token_at_us > 0 && n_new > 1) {
        outcome->inter_token_us =
            (now_us - item->first_token_at_us) / (n_new - 1);
    }
    outcome->failed = !item->is_preempted &&
                      !has_complete_response(item, result) &&
                      !is_item_fault(item->status) && item->status != 429;
}

/* ---- calls to servers ---- */

static void
head_received(void *context, int status, const char *content_type)
{
    struct batch_item *item = context;
    item->status = status;
}

static void
body_received(void *context, const char *data, size_t size)
{
    struct batch_item *item = context;

    if (item->is_streamed && item->status == 200) {
        batch_response_push(&item->stream_response, item->request_id, data,
                            size);
        if (item->first_token_at_us == 0 &&
            item->stream_response.n_tokens > item->n_kept_tokens) {
            item->first_token_at_us = base_clock_us();
        }
        item->is_too_large =
            item->stream_response.text->len > MAX_CONTENT_BYTES;
    }
    else if (item->content->len + size <= MAX_CONTENT_BYTES) {
        g_string_append_len(item->content, data, (gssize)size);
    }
    else {
        item->is_too_large = true;
    }
    if (item->is_too_large || item->stream_response.is_response_invalid) {
        /* The server may go on sending without end. */
        backends_cancel(&item->run->batch->backends, item->call);
    }
}

static void
end_span(struct batch_item *item, const struct backends_result *result)
{
    if (item->span.start_us == 0) {
        return;
    }
    base_span_attribute(&item->span, "job", "%s", item->run->job.id);
    base_span_attribute(&item->span, "server", "%s", item->pool->server);
    base_span_attribute(&item->span, "status", "%d", result->status);
    item->span.failed = !has_complete_response(item, result);
    base_span_end(&item->span, item->run->batch->tracer);
    memset(&item->span, 0, sizeof(item->span));
}

static void
call_done(void *context, const struct backends_result *result)
{
    struct batch_item *item = context;
    struct batch_run *run = item->run;
    struct batch *batch = run->batch;
    struct batch_pool *pool = item->pool;
    struct contracts_outcome outcome;

    g_queue_unlink(&batch->running, &item->link);
    run->n_running--;
    make_outcome(item, result, &outcome);
    end_span(item, result);
    batch_run_ref(run);
    if (run->is_dead) {
        batch_item_free(item);
    }
    else if (run->is_stopping && item->is_idempotent &&
             !has_complete_response(item, result)) {
        batch_run_requeue_item(run, item);
    }
    else if (item->is_too_large) {
        g_string_truncate(item->content, 0);
        fail_item(item, "answer_too_large", "the answer is larger than 4 MiB");
    }
    else {
        handle_result(item, result);
    }
    batch_run_unref(run);
    batch_pool_end_item(batch, pool, &outcome);
}

static const struct backends_ops CALL_OPS = {head_received, body_received,
                                             call_done};

static void
prepare_attempt(struct batch_item *item, bool can_resume)
{
    bool keep_tokens = can_resume && item->stream_response.n_tokens > 0;

    batch_response_restart(&item->stream_response, keep_tokens);
    g_string_truncate(item->content, 0);
    item->is_too_large = false;
    item->is_preempted = false;
    item->status = 0;
    item->n_kept_tokens = item->stream_response.n_tokens;
    item->first_token_at_us = 0;
    item->sent_at_us = base_clock_us();
    if (keep_tokens) {
        base_counter_add(item->run->batch->n_resumed, 1);
    }
}

static void
start_span(struct batch_item *item, char traceparent[BASE_TRACEPARENT_SIZE])
{
    struct batch *batch = item->run->batch;

    traceparent[0] = '\0';
    if (batch->tracer == NULL || item->index % SPAN_EVERY != 0) {
        return;
    }
    base_span_start(&item->span, "batch.item", NULL);
    base_traceparent_format(&item->span.context, traceparent);
}

/* Sends an item to the pool's server and takes one of the pool's slots for it.
 * The item must have been started with batch_run_start_item. */
void
batch_item_send(struct batch_item *item, struct batch_pool *pool)
{
    struct batch *batch = item->run->batch;
    const struct world_server *server = &batch->world->servers[pool->index];
    char offset[24];
    char traceparent[BASE_TRACEPARENT_SIZE];
    const char *headers[9] = {"x-request-id", item->request_id};
    int n_headers = 2;
    struct base_error err = {0};
    struct backends_request request = {
        .ops = &CALL_OPS,
        .context = item,
        .host = server->host,
        .port = server->port,
        .method = item->method,
        .path = item->path,
        .headers = headers,
        .body = item->body,
        .body_size = item->body == NULL ? 0 : strlen(item->body),
        .silence_ms = batch->world->limits.silence_ms,
        .deadline_ms = base_clock_ms() + batch->world->limits.max_deadline_ms,
    };

    item->pool = pool;
    pool->in_use++;
    prepare_attempt(item, server->can_resume);
    start_span(item, traceparent);
    if (traceparent[0] != '\0') {
        headers[n_headers++] = "traceparent";
        headers[n_headers++] = traceparent;
    }
    if (item->n_kept_tokens > 0) {
        g_snprintf(offset, sizeof(offset), "%d", item->n_kept_tokens);
        headers[n_headers++] = "x-resume-offset";
        headers[n_headers++] = offset;
    }
    g_queue_push_tail_link(&batch->running, &item->link);
    item->call = backends_send(&batch->backends, &request, &err);
    if (item->call.generation == 0) {
        struct backends_result refused = {
            .verdict = BASE_NOT_RUN,
            .err = err,
        };
        call_done(item, &refused);
    }
}

/* Cancels the call of a running item.  The tokens received so far are kept, so
 * that the next attempt can resume after them. */
void
batch_item_cancel(struct batch_item *item)
{
    struct batch *batch = item->run->batch;

    item->is_preempted = true;
    backends_cancel(&batch->backends, item->call);
}
