#include "front/front_private.h"

#include <string.h>

/* Batch jobs of a site: submitted whole, read by position, ended.  The jobs
 * task does the work; this hands calls over and words the answers. */

enum {
    RETRY_AFTER_MS = 300, /* until a refused caller should come back */
};

static const struct front_fault NO_JOB = {
    404, BASE_NOT_RUN, "invalid_request_error", "job_not_found", 0};
static const struct front_fault FULL = {429, BASE_NOT_RUN, "rate_limit_error",
                                        "too_many_tokens_wait", 1};
static const struct front_fault UNCERTAIN = {
    504, BASE_MAY_HAVE_RUN, "server_error", "no_answer_from_the_store", 0};

static void
answer_results(struct front_request *request,
               const struct jobs_request *answered)
{
    GString *text =
        request->front->protocol->encode_results(&answered->answer);

    front_respond(request, 200, "application/json", text->str, text->len);
    g_string_free(text, TRUE);
}

static void
answer_ok(struct front_request *request, const struct jobs_request *answered)
{
    gsize size = 0;
    const char *bytes;

    switch (answered->op) {
    case JOBS_SUBMIT:
        front_respond(request, 202, "application/json", "{}", 2);
        return;
    case JOBS_RESULTS:
        answer_results(request, answered);
        return;
    case JOBS_INPUT:
        bytes = g_bytes_get_data(answered->body, &size);
        front_respond(request, 200, "application/octet-stream",
                      bytes != NULL ? bytes : "", size);
        return;
    case JOBS_END:
        front_respond(request, 200, "application/json", "{}", 2);
        return;
    }
}

static void
answer_refused(struct front_request *request, const char *text)
{
    char seconds[16];

    g_snprintf(seconds, sizeof(seconds), "%d.%03d", RETRY_AFTER_MS / 1000,
               RETRY_AFTER_MS % 1000);
    front_add_header(request, "retry-after", seconds);
    front_fail(request,
               &(struct front_fault){503, BASE_NOT_RUN, "server_error",
                                     "not_served_now", 0},
               "%s", text);
}

static void
answer(struct front_request *request, const struct jobs_request *answered)
{
    switch (answered->status) {
    case JOBS_OK:
        answer_ok(request, answered);
        return;
    case JOBS_NOT_FOUND:
        front_fail(request, &NO_JOB, "there is no such job or item");
        return;
    case JOBS_NOT_ALLOWED:
        front_fail(request, &FRONT_NOT_FOUND, "this route takes no jobs");
        return;
    case JOBS_FULL:
        front_fail(request, &FULL, "%s", answered->err.text);
        return;
    case JOBS_REFUSED:
        answer_refused(request, answered->err.text);
        return;
    case JOBS_UNCERTAIN:
        front_fail(request, &UNCERTAIN, "%s", answered->err.text);
        return;
    }
}

static void
on_answered(struct jobs_request *answered, void *task_state)
{
    struct front *front = task_state;
    struct front_request *request = answered->context;

    front->n_calls--;
    if (request->wsi != NULL) {
        answer(request, answered);
    }
    front_request_unref(request);
    jobs_request_free(answered);
}

static void
hand_over(struct front_request *request, struct jobs_request *call)
{
    struct front *front = request->front;

    if (front->jobs == NULL) {
        front_fail(request, &FRONT_NOT_READY, "jobs are not served here");
        jobs_request_free(call);
        return;
    }
    call->context = front_request_ref(request);
    front->n_calls++;
    jobs_request_send(front->jobs, call, &front->task, on_answered);
}

static void
run_submit(struct front_request *request)
{
    struct base_error err = {0};
    struct jobs_job *job = request->front->protocol->decode_job(
        request->id, request->body->str, request->body->len, &err);
    struct jobs_request *call;

    request->class_name = "job";
    if (job == NULL) {
        front_fail(request, &FRONT_BAD_REQUEST, "%s", err.text);
        return;
    }
    job->host = g_strdup(front_request_header(request, "host"));
    job->path = g_strdup(request->path);
    call = jobs_request_new(JOBS_SUBMIT, request->id);
    call->job = job;
    hand_over(request, call);
}

static int64_t
read_wait(const struct front_request *request)
{
    const char *text =
        front_request_header(request, request->front->protocol->wait_ms);
    int64_t wait_ms = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);

    return CLAMP(wait_ms, 0, JOBS_MAX_WAIT_MS);
}

static void
run_call(struct front_request *request)
{
    const struct front_protocol *protocol = request->front->protocol;
    char id[JOBS_ID_SIZE];
    char text[JOBS_ID_SIZE];
    enum front_protocol_call kind =
        protocol->find_call(request->method, request->path, id, sizeof(id));
    struct jobs_request *call;

    request->class_name = "job";
    if (kind == FRONT_CALL_JOB_END) {
        hand_over(request, jobs_request_new(JOBS_END, id));
        return;
    }
    if (kind == FRONT_CALL_JOB_INPUT) {
        call = jobs_request_new(JOBS_INPUT, id);
        front_request_query(request, protocol->input_item, call->item,
                            sizeof(call->item));
        hand_over(request, call);
        return;
    }
    call = jobs_request_new(JOBS_RESULTS, id);
    front_request_query(request, protocol->results_after, text, sizeof(text));
    call->after = (int)CLAMP(g_ascii_strtoll(text, NULL, 10), 0, INT32_MAX);
    call->wait_ms = read_wait(request);
    hand_over(request, call);
}

const struct front_handler FRONT_JOB_SUBMIT = {.run = run_submit};
const struct front_handler FRONT_JOB_CALL = {.run = run_call};
