#include "front/front_private.h"

#include <string.h>

/* Handlers for the batch jobs of a site: callers submit a job in one request,
 * read its results from a position on, read an item's input and end the job.
 * The handlers send each call to the jobs task and turn its reply into an HTTP
 * response. */

enum {
    RETRY_AFTER_MS = 300, /* retry-after of a refused call */
};

static const struct front_fault NO_JOB = {
    404, BASE_NOT_RUN, "invalid_request_error", "job_not_found", 0};
static const struct front_fault QUEUE_FULL = {
    429, BASE_NOT_RUN, "rate_limit_error", "too_many_tokens_wait", 1};
/* The store did not answer: the job may have been accepted. */
static const struct front_fault UNCERTAIN = {
    504, BASE_MAY_HAVE_RUN, "server_error", "no_answer_from_the_store", 0};

static void
respond_refused(struct front_request *request, const char *text)
{
    front_add_retry_after(request, RETRY_AFTER_MS);
    front_fail(request,
               &(struct front_fault){503, BASE_NOT_RUN, "server_error",
                                     "not_served_now", 0},
               "%s", text);
}

static void
respond_results(struct front_request *request,
                const struct jobs_request *reply)
{
    GString *text = request->front->protocol->encode_results(&reply->answer);

    if (front_body_answer(request, (int64_t)text->len)) {
        front_respond(request, 200, "application/json", text->str, text->len);
    }
    else {
        respond_refused(request, "there is no memory for the results now");
    }
    g_string_free(text, TRUE);
}

static void
respond_ok(struct front_request *request, const struct jobs_request *reply)
{
    gsize size = 0;
    const char *bytes;

    switch (reply->op) {
    case JOBS_SUBMIT:
        front_respond(request, 202, "application/json", "{}", 2);
        return;
    case JOBS_RESULTS:
        respond_results(request, reply);
        return;
    case JOBS_INPUT:
        bytes = g_bytes_get_data(reply->body, &size);
        if (!front_body_answer(request, (int64_t)size)) {
            respond_refused(request, "there is no memory for the body now");
            return;
        }
        front_respond(request, 200, "application/octet-stream",
                      bytes != NULL ? bytes : "", size);
        return;
    case JOBS_END:
        front_respond(request, 200, "application/json", "{}", 2);
        return;
    case JOBS_CHECK:
        return; /* only between nodes */
    }
}

static void
respond(struct front_request *request, const struct jobs_request *reply)
{
    switch (reply->status) {
    case JOBS_OK:
        respond_ok(request, reply);
        return;
    case JOBS_NOT_FOUND:
        front_fail(request, &NO_JOB, "no such job or item");
        return;
    case JOBS_NOT_ALLOWED:
        front_fail(request, &FRONT_NOT_FOUND,
                   "no jobs are accepted on this route");
        return;
    case JOBS_TOO_LARGE:
        front_fail(request, &FRONT_TOO_LARGE, "%s", reply->err.text);
        return;
    case JOBS_FULL:
        front_fail(request, &QUEUE_FULL, "%s", reply->err.text);
        return;
    case JOBS_REFUSED:
        respond_refused(request, reply->err.text);
        return;
    case JOBS_UNCERTAIN:
        front_fail(request, &UNCERTAIN, "%s", reply->err.text);
        return;
    }
}

static void
on_reply(struct jobs_request *reply, void *task_state)
{
    struct front *front = task_state;
    struct front_request *request = reply->context;

    front->n_calls--;
    if (request->wsi != NULL) {
        respond(request, reply);
    }
    front_request_unref(request);
    jobs_request_free(reply);
}

/* Sends a call to the jobs task, which takes over `call`. */
static void
send_call(struct front_request *request, struct jobs_request *call)
{
    struct front *front = request->front;

    if (front->jobs == NULL) {
        front_fail(request, &FRONT_NOT_READY, "this node does not serve jobs");
        jobs_request_free(call);
        return;
    }
    g_strlcpy(call->operator_name, request->operator_name,
              sizeof(call->operator_name));
    call->context = front_request_ref(request);
    front->n_calls++;
    jobs_request_send(front->jobs, call, &front->task, on_reply);
}

static void
run_submit(struct front_request *request)
{
    struct base_error err = {0};
    struct jobs_job *job = request->front->protocol->decode_job(
        request->id, request->body->str, request->body->len, &err);
    struct jobs_request *call;

    /* The job has what it needs of it. */
    g_string_free(request->body, TRUE);
    request->body = g_string_new(NULL);
    request->class_name = "job";
    if (job == NULL) {
        front_fail(request, &FRONT_BAD_REQUEST, "%s", err.text);
        return;
    }
    job->host = g_strdup(front_request_header(request, "host"));
    job->path = g_strdup(request->path);
    call = jobs_request_new(JOBS_SUBMIT, request->id);
    call->job = job;
    call->config_revision = request->world->revision;
    send_call(request, call);
}

/* Returns how long a read may wait for results, in ms, within the jobs task's
 * limit. */
static int64_t
read_wait_ms(const struct front_request *request)
{
    const char *text =
        front_request_header(request, request->front->protocol->wait_ms);
    int64_t wait_ms = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);

    return CLAMP(wait_ms, 0, JOBS_MAX_WAIT_MS);
}

/* Requests the body of an item.  An id that is too long is cut nowhere, since
 * the rest could be that of another item. */
static void
read_input(struct front_request *request, const char *id)
{
    char *item = front_request_query_copy(
        request, request->front->protocol->input_item);
    struct jobs_request *call;

    if (item != NULL && strlen(item) >= JOBS_ID_SIZE) {
        front_fail(request, &FRONT_NOT_FOUND, "there is no such item");
        g_free(item);
        return;
    }
    call = jobs_request_new(JOBS_INPUT, id);
    g_strlcpy(call->item, item != NULL ? item : "", sizeof(call->item));
    g_free(item);
    send_call(request, call);
}

static void
run_call(struct front_request *request)
{
    const struct front_protocol *protocol = request->front->protocol;
    char text[JOBS_ID_SIZE];
    const char *id;
    enum front_protocol_call kind =
        protocol->find_call(request->method, request->path, &id);
    struct jobs_request *call;

    request->class_name = "job";
    if (kind == FRONT_CALL_JOB_END) {
        send_call(request, jobs_request_new(JOBS_END, id));
        return;
    }
    if (kind == FRONT_CALL_JOB_INPUT) {
        read_input(request, id);
        return;
    }
    call = jobs_request_new(JOBS_RESULTS, id);
    front_request_query(request, protocol->results_after, text, sizeof(text));
    call->after = (int)CLAMP(g_ascii_strtoll(text, NULL, 10), 0, INT32_MAX);
    call->wait_ms = read_wait_ms(request);
    send_call(request, call);
}

const struct front_handler FRONT_JOB_SUBMIT = {.run = run_submit};
const struct front_handler FRONT_JOB_CALL = {.run = run_call};
