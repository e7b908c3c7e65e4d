#include "batch/batch_private.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_CONTENT_BYTES = 4 << 20,
    FIRST_BACKOFF_MS = 100,
    MAX_BACKOFF_MS = 5000,
    DEFAULT_TRIES = 3,
    SPAN_EVERY = 64, /* of the items get a span */
};

/* ---- making an item of a line ---- */

static bool
can_be_streamed(const json_t *body)
{
    static const char *const WHOLE_ONLY[] = {
        "tools", "functions", "logprobs", "best_of", "echo", NULL};
    json_t *n = json_object_get(body, "n");

    for (int i = 0; WHOLE_ONLY[i] != NULL; i++) {
        if (json_object_get(body, WHOLE_ONLY[i]) != NULL) {
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

/* An item of a run, by its line and its place in the shard. */
struct batch_item *
batch_item_new(struct batch_run *run, int index, const struct batch_line *line,
               const struct batch_target *target)
{
    struct batch_item *item = g_new0(struct batch_item, 1);

    item->run = run;
    batch_ref_run(run);
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
    batch_response_init(&item->answer, item->is_chat);
    item->content = g_string_new(NULL);
    item->link.data = item;
    return item;
}

void
batch_item_free(struct batch_item *item)
{
    struct batch_run *run = item->run;

    batch_response_finish(&item->answer);
    g_string_free(item->content, TRUE);
    g_free(item->custom_id);
    g_free(item->method);
    g_free(item->path);
    g_free(item->body);
    g_free(item->model);
    g_free(item);
    batch_unref_run(run);
}

/* ---- how it went ---- */

static void
note_tried(struct batch_item *item)
{
    if (item->n_tried < (int)G_N_ELEMENTS(item->tried)) {
        g_strlcpy(item->tried[item->n_tried], item->lane->server,
                  sizeof(item->tried[0]));
        item->n_tried++;
    }
}

static void
back_off(struct batch_item *item, int n_times)
{
    int64_t wait_ms = (int64_t)FIRST_BACKOFF_MS << MIN(n_times, 6);

    item->not_before_ms = base_clock_ms() + MIN(wait_ms, MAX_BACKOFF_MS);
}

static json_t *
response_of(const struct batch_item *item, json_t *body)
{
    return json_pack("{s:i, s:s, s:o}", "status_code", item->status,
                     "request_id", item->request_id, "body", body);
}

/* The body as JSON where it is JSON, else as text. */
static json_t *
content_body(const struct batch_item *item)
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
complete(struct batch_item *item)
{
    json_t *body = item->is_streamed
                       ? batch_response_body(&item->answer, item->request_id,
                                             item->model, batch_now_s())
                       : content_body(item);

    batch_run_result(item->run, item, response_of(item, body), NULL, NULL);
}

static void
fail_item(struct batch_item *item, const char *code, const char *text)
{
    json_t *response =
        item->status == 0 ? NULL : response_of(item, content_body(item));

    batch_run_result(item->run, item, response, code, text);
}

static bool
is_item_fault(int status)
{
    static const int SERVERS_OWN[] = {408, 425, 429};

    for (size_t i = 0; i < G_N_ELEMENTS(SERVERS_OWN); i++) {
        if (status == SERVERS_OWN[i]) {
            return false;
        }
    }
    return status >= 400 && status < 500;
}

static bool
is_response_complete(const struct batch_item *item,
                     const struct backends_result *result)
{
    if (item->status < 200 || item->status >= 300) {
        return false;
    }
    if (item->is_streamed) {
        return item->answer.is_response_complete &&
               !item->answer.is_response_invalid;
    }
    return result->is_complete;
}

static void
retry_later(struct batch_item *item, int n_times)
{
    base_counter_add(item->run->batch->n_retried, 1);
    back_off(item, n_times);
    batch_run_return_item(item->run, item);
}

/* The server's fault: again on another server, a limited number of times.
 * A stream that got on before it broke is not counted. */
static void
server_failed(struct batch_item *item, const struct backends_result *result)
{
    int limit = item->run->batch->world->batch.item_tries;
    char text[320];

    if (item->answer.is_response_invalid) {
        batch_response_restart(&item->answer, false);
        item->first_tokens = 0;
    }
    if (item->answer.n_tokens <= item->first_tokens) {
        item->tries++;
    }
    note_tried(item);
    if (item->tries < (limit > 0 ? limit : DEFAULT_TRIES)) {
        retry_later(item, item->tries);
        return;
    }
    g_snprintf(text, sizeof(text),
               "servers failed %d times, last status %d%s%s", item->tries,
               item->status, result->err.text[0] ? ": " : "",
               result->err.text);
    fail_item(item, "server_failed", text);
}

static void
judge(struct batch_item *item, const struct backends_result *result)
{
    if (is_response_complete(item, result)) {
        complete(item);
    }
    else if (is_item_fault(item->status) && result->is_complete) {
        char text[64];
        g_snprintf(text, sizeof(text), "refused with status %d", item->status);
        fail_item(item, "item_refused", text);
    }
    else if (item->is_preempted && item->is_idempotent) {
        batch_run_return_item(item->run, item);
    }
    else if (result->verdict == BASE_NOT_RUN) {
        note_tried(item);
        retry_later(item, ++item->n_refused);
    }
    else if (!item->is_idempotent) {
        fail_item(item, "may_have_run",
                  "the answer was lost or the server failed; the item is not "
                  "sent again");
    }
    else {
        server_failed(item, result);
    }
}

static void
outcome_of(const struct batch_item *item, const struct backends_result *result,
           struct contracts_outcome *outcome)
{
    int n_new = item->answer.n_tokens - item->first_tokens;
    int64_t now_us = base_clock_us();

    memset(outcome, 0, sizeof(*outcome));
    outcome->tokens = MAX(n_new, 0);
    if (item->first_us > 0) {
        outcome->first_token_us = item->first_us - item->sent_us;
    }
    if (item->first_us > 0 && n_new > 1) {
        outcome->inter_token_us = (now_us - item->first_us) / (n_new - 1);
    }
    outcome->failed = !item->is_preempted &&
                      !is_response_complete(item, result) &&
                      !is_item_fault(item->status) && item->status != 429;
}

/* ---- the call ---- */

static void
got_head(void *context, int status, const char *content_type)
{
    struct batch_item *item = context;
    item->status = status;
}

static void
got_body(void *context, const char *data, size_t size)
{
    struct batch_item *item = context;

    if (item->is_streamed && item->status == 200) {
        batch_response_push(&item->answer, item->request_id, data, size);
        if (item->first_us == 0 &&
            item->answer.n_tokens > item->first_tokens) {
            item->first_us = base_clock_us();
        }
        return;
    }
    if (item->content->len + size <= MAX_CONTENT_BYTES) {
        g_string_append_len(item->content, data, (gssize)size);
    }
    else {
        item->is_too_large = true;
    }
}

static void
end_span(struct batch_item *item, const struct backends_result *result)
{
    if (item->span.start_us == 0) {
        return;
    }
    base_span_attribute(&item->span, "job", "%s", item->run->job.id);
    base_span_attribute(&item->span, "server", "%s", item->lane->server);
    base_span_attribute(&item->span, "status", "%d", result->status);
    item->span.failed = !is_response_complete(item, result);
    base_span_end(&item->span, item->run->batch->tracer);
    memset(&item->span, 0, sizeof(item->span));
}

static void
call_done(void *context, const struct backends_result *result)
{
    struct batch_item *item = context;
    struct batch_run *run = item->run;
    struct batch *batch = run->batch;
    struct batch_pool *lane = item->lane;
    struct contracts_outcome outcome;

    g_queue_unlink(&batch->running, &item->link);
    run->n_running--;
    outcome_of(item, result, &outcome);
    end_span(item, result);
    batch_ref_run(run);
    if (run->is_dead) {
        batch_item_free(item);
    }
    else if (run->is_stopping && item->is_idempotent &&
             !is_response_complete(item, result)) {
        batch_run_return_item(run, item);
    }
    else if (item->is_too_large) {
        g_string_truncate(item->content, 0);
        fail_item(item, "answer_too_large", "the answer is too large");
    }
    else {
        judge(item, result);
    }
    batch_unref_run(run);
    batch_pool_item_ended(batch, lane, &outcome);
}

static const struct backends_ops CALL_OPS = {got_head, got_body, call_done};

static void
prepare_answer(struct batch_item *item, bool can_resume)
{
    bool keep_tokens = can_resume && item->answer.n_tokens > 0;

    batch_response_restart(&item->answer, keep_tokens);
    g_string_truncate(item->content, 0);
    item->is_too_large = false;
    item->is_preempted = false;
    item->status = 0;
    item->first_tokens = item->answer.n_tokens;
    item->first_us = 0;
    item->sent_us = base_clock_us();
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

/* Sends an item, which batch_run_take_item gave, on a slot of the lane. */
void
batch_item_send(struct batch_item *item, struct batch_pool *lane)
{
    struct batch *batch = item->run->batch;
    const struct world_server *server = &batch->world->servers[lane->index];
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

    item->lane = lane;
    lane->in_use++;
    prepare_answer(item, server->can_resume);
    start_span(item, traceparent);
    if (traceparent[0] != '\0') {
        headers[n_headers++] = "traceparent";
        headers[n_headers++] = traceparent;
    }
    if (item->first_tokens > 0) {
        g_snprintf(offset, sizeof(offset), "%d", item->first_tokens);
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

/* Cuts an item's stream; what has arrived is kept to go on from. */
void
batch_item_cancel(struct batch_item *item)
{
    struct batch *batch = item->run->batch;

    item->is_preempted = true;
    backends_cancel(&batch->backends, item->call);
}
