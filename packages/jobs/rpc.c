#include "jobs/rpc.h"

#include <string.h>

#include "jobs/jobs.pb-c.h"
#include "jobs/record.h"
#include "wire/wire.h"

enum {
    RPC_CALL = WIRE_FIRST_KIND,
    RPC_REPLY,
    REPLY_MARGIN_MS = 700, /* added to wait_ms for the timeout of a call */
    /* Timeout of a submission, in which the called node may have to wait for
     * its lease and makes two calls to the key-value service. */
    SUBMIT_TIMEOUT_MS = 2500,
    /* Silence after which a connection is reopened.  Longer than the default
     * of wire, since a read may wait for up to JOBS_MAX_WAIT_MS without a
     * reply; replies to pings keep the connection open meanwhile. */
    CONNECTION_SILENCE_MS = 900,
    /* Of a message: above the text of any job that is read back, and above the
     * largest result.  A larger message closes the connection. */
    MAX_BODY_BYTES = 65 << 20,
};

struct jobs_rpc {
    struct base_task task;
    struct wire_endpoint endpoint;
    struct jobs *jobs;
    struct base_budget submissions; /* texts of other nodes' submissions */
};

/* ---- calls to other nodes ---- */

/* A request that is sent to another node. */
struct outgoing_call {
    struct base_call call;
    struct jobs_rpc *rpc;
    struct jobs_request *request;
    void (*on_done)(struct jobs_request *request, void *task_state);
    char address[WIRE_ADDRESS_SIZE];
};

static bool
parse_reply(const struct wire_answer *answer, struct jobs_request *request)
{
    Jobs__Reply *reply = jobs__reply__unpack(NULL, answer->size, answer->body);
    struct base_error err = {0};
    bool is_ok = reply != NULL && reply->status <= JOBS_TOO_LARGE;

    if (is_ok && request->op == JOBS_RESULTS) {
        GBytes *bytes = g_bytes_new(reply->results.data, reply->results.len);
        request->answer.total = reply->total;
        request->answer.next = reply->next;
        request->answer.results =
            g_ptr_array_new_with_free_func(jobs_result_free);
        is_ok = reply->results.len == 0 ||
                jobs_results_decode(bytes, request->answer.results, &err);
        g_bytes_unref(bytes);
    }
    if (is_ok) {
        request->status = (enum jobs_status)reply->status;
        g_strlcpy(request->runner_node, reply->runner,
                  sizeof(request->runner_node));
        g_strlcpy(request->err.text, reply->error, sizeof(request->err.text));
    }
    if (is_ok && request->op == JOBS_INPUT) {
        request->body = g_bytes_new(reply->body.data, reply->body.len);
    }
    jobs__reply__free_unpacked(reply, NULL);
    return is_ok;
}

static void
on_reply(void *context, const struct wire_answer *answer)
{
    struct outgoing_call *outgoing = context;
    struct jobs_request *request = outgoing->request;

    request->status = JOBS_REFUSED;
    if (answer->code != BASE_OK || !parse_reply(answer, request)) {
        request->is_unanswered = true;
        base_log(BASE_LOG_INFO, "jobs.peer_silent", "id=%s peer=%s code=%s",
                 request->id, outgoing->address, base_code_name(answer->code));
    }
    base_call_reply(&outgoing->call);
}

/* Adds the checks of a request to a message; the caller frees the array and
 * its messages, not what they point to. */
static void
add_checks(Jobs__Call *message, const GArray *checks)
{
    message->checks = g_new(Jobs__Check *, checks->len + 1);
    for (guint i = 0; i < checks->len; i++) {
        const struct jobs_check *check =
            &g_array_index(checks, struct jobs_check, i);
        Jobs__Check *out = g_new(Jobs__Check, 1);
        jobs__check__init(out);
        out->id = (char *)check->id;
        out->revision = check->revision;
        out->is_orphan = check->is_orphan;
        message->checks[message->n_checks++] = out;
    }
}

static void
fill_range(Jobs__Call *message, const struct jobs_request *request)
{
    bool is_range =
        request->list_after[0] != '\0' || request->list_until[0] != '\0';

    message->revision = is_range ? 0 : request->list_revision;
    message->range_revision = is_range ? request->list_revision : 0;
    message->range_after = (char *)request->list_after;
    message->range_until = (char *)request->list_until;
}

static void
fill_call(Jobs__Call *message, const struct jobs_request *request)
{
    gsize size = 0;

    message->op = request->op;
    message->id = (char *)request->id;
    message->item = (char *)request->item;
    message->after = request->after;
    message->wait_ms = request->wait_ms;
    message->region = (char *)request->region;
    fill_range(message, request);
    message->submission = (char *)request->submission;
    message->operator_name = (char *)request->operator_name;
    if (request->op == JOBS_SUBMIT) {
        message->host = request->job->host;
        message->path = request->job->path;
        message->config_revision = request->config_revision;
        message->text.data =
            (uint8_t *)g_bytes_get_data(request->job->text, &size);
        message->text.len = size;
    }
    if (request->checks != NULL) {
        add_checks(message, request->checks);
    }
}

static void
serve_call(struct base_call *call, void *task_state)
{
    struct jobs_rpc *rpc = task_state;
    struct outgoing_call *outgoing = (struct outgoing_call *)call;
    const struct jobs_request *request = outgoing->request;
    Jobs__Call message = JOBS__CALL__INIT;
    size_t size;
    uint8_t *body;

    fill_call(&message, request);
    size = jobs__call__get_packed_size(&message);
    body = g_malloc(size + 1);
    jobs__call__pack(&message, body);
    wire_request(&rpc->endpoint,
                 &(struct wire_request_desc){
                     .address = outgoing->address,
                     .kind = RPC_CALL,
                     .body = body,
                     .size = size,
                     .timeout_ms = request->op == JOBS_SUBMIT
                                       ? SUBMIT_TIMEOUT_MS
                                       : request->wait_ms + REPLY_MARGIN_MS,
                     /* A second copy of a submission could be accepted after
                        the first one was refused. */
                     .is_idempotent = request->op != JOBS_SUBMIT,
                     .answered = on_reply,
                     .context = outgoing,
                 });
    g_free(body);
    for (size_t i = 0; i < message.n_checks; i++) {
        g_free(message.checks[i]);
    }
    g_free(message.checks);
}

static void
call_done(struct base_call *call, void *task_state)
{
    struct outgoing_call *outgoing = (struct outgoing_call *)call;

    outgoing->on_done(outgoing->request, task_state);
    g_free(outgoing);
}

static void
drop_call(struct base_call *call)
{
    g_free(call);
}

/* Sends a request to the node at an address.  `on_done` runs on the task
 * `from`. */
void
jobs_rpc_send(struct jobs_rpc *rpc, const char *address,
              struct jobs_request *request, struct base_task *from,
              void (*on_done)(struct jobs_request *request, void *task_state))
{
    static const struct base_call_ops OPS = {serve_call, call_done, drop_call};
    struct outgoing_call *outgoing = g_new0(struct outgoing_call, 1);

    outgoing->rpc = rpc;
    outgoing->request = request;
    outgoing->on_done = on_done;
    g_strlcpy(outgoing->address, address, sizeof(outgoing->address));
    base_call_send(&outgoing->call, &OPS, &rpc->task, from);
}

/* ---- calls from other nodes ---- */

/* A request of another node; the reply goes to return_to. */
struct incoming_call {
    struct jobs_rpc *rpc;
    struct wire_return return_to;
    int64_t bytes; /* taken from rpc->submissions */
};

static void
send_reply(struct jobs_rpc *rpc, const struct wire_return *return_to,
           const struct jobs_request *request)
{
    Jobs__Reply reply = JOBS__REPLY__INIT;
    GBytes *results = NULL;
    gsize size = 0;
    uint8_t *body;

    reply.status = request->status;
    reply.runner = (char *)request->runner_node;
    reply.error = (char *)request->err.text;
    reply.total = request->answer.total;
    reply.next = request->answer.next;
    if (request->answer.results != NULL && request->answer.results->len > 0) {
        results = jobs_results_encode(request->answer.results);
        reply.results.data = (uint8_t *)g_bytes_get_data(results, &size);
        reply.results.len = size;
    }
    if (request->body != NULL) {
        reply.body.data = (uint8_t *)g_bytes_get_data(request->body, &size);
        reply.body.len = size;
    }
    size = jobs__reply__get_packed_size(&reply);
    body = g_malloc(size + 1);
    jobs__reply__pack(&reply, body);
    wire_reply(&rpc->endpoint, return_to, RPC_REPLY, body, size);
    g_free(body);
    if (results != NULL) {
        g_bytes_unref(results);
    }
}

static void
on_job_reply(struct jobs_request *request, void *task_state)
{
    struct jobs_rpc *rpc = task_state;
    struct incoming_call *incoming = request->context;

    send_reply(rpc, &incoming->return_to, request);
    base_budget_give(&rpc->submissions, incoming->bytes);
    g_free(incoming);
    jobs_request_free(request);
}

static bool
is_valid_call(const Jobs__Call *call)
{
    return call != NULL && call->op <= JOBS_CHECK &&
           strlen(call->operator_name) < WORLD_OPERATOR_NAME_SIZE &&
           (call->op != JOBS_SUBMIT ||
            (call->text.len > 0 &&
             strlen(call->submission) < JOBS_SUBMISSION_SIZE));
}

static void
read_checks(const Jobs__Call *call, struct jobs_request *request)
{
    request->checks = g_array_new(FALSE, TRUE, sizeof(struct jobs_check));
    request->list_revision = MAX(MAX(call->revision, call->range_revision), 0);
    g_strlcpy(request->list_after, call->range_after,
              sizeof(request->list_after));
    g_strlcpy(request->list_until, call->range_until,
              sizeof(request->list_until));
    g_strlcpy(request->region, call->region, sizeof(request->region));
    for (size_t i = 0; i < call->n_checks; i++) {
        struct jobs_check check = {.revision = call->checks[i]->revision,
                                   .is_orphan = call->checks[i]->is_orphan};
        g_strlcpy(check.id, call->checks[i]->id, sizeof(check.id));
        g_array_append_val(request->checks, check);
    }
}

static struct jobs_request *
read_call(const Jobs__Call *call)
{
    struct jobs_request *request =
        jobs_request_new((enum jobs_op)call->op, call->id);

    g_strlcpy(request->item, call->item, sizeof(request->item));
    g_strlcpy(request->operator_name, call->operator_name,
              sizeof(request->operator_name));
    request->after = MAX(call->after, 0);
    request->wait_ms = CLAMP(call->wait_ms, 0, JOBS_MAX_WAIT_MS);
    request->is_from_peer = true;
    if (request->op == JOBS_SUBMIT) {
        g_strlcpy(request->submission, call->submission,
                  sizeof(request->submission));
        request->job = jobs_job_new(call->id);
        request->job->host = g_strdup(call->host);
        request->job->path = g_strdup(call->path);
        request->job->text = g_bytes_new(call->text.data, call->text.len);
        request->config_revision = call->config_revision;
    }
    if (request->op == JOBS_CHECK) {
        read_checks(call, request);
    }
    return request;
}

/* Refuses a submission for which there is no memory; the sender accepts the
 * job itself. */
static void
refuse_call(struct jobs_rpc *rpc, const struct wire_message *message,
            const Jobs__Call *call)
{
    struct jobs_request *request = jobs_request_new(JOBS_SUBMIT, call->id);

    request->status = JOBS_REFUSED;
    base_error_set(&request->err, BASE_FULL,
                   "there is no memory for the job now");
    send_reply(rpc, &message->from, request);
    jobs_request_free(request);
}

static void
on_message(void *context, const struct wire_message *message)
{
    struct jobs_rpc *rpc = context;
    Jobs__Call *call;
    struct jobs_request *request;
    struct incoming_call *incoming;
    int64_t bytes;

    if (message->kind != RPC_CALL || message->from.request == 0) {
        return;
    }
    call = jobs__call__unpack(NULL, message->size, message->body);
    if (!is_valid_call(call)) {
        base_log(BASE_LOG_WARNING, "jobs.bad_call", "peer=%s",
                 message->sender);
        jobs__call__free_unpacked(call, NULL);
        return;
    }
    bytes = (int64_t)call->text.len;
    if (bytes > 0 && !base_budget_take(&rpc->submissions, bytes)) {
        refuse_call(rpc, message, call);
        jobs__call__free_unpacked(call, NULL);
        return;
    }
    request = read_call(call);
    incoming = g_new0(struct incoming_call, 1);
    incoming->bytes = bytes;
    incoming->rpc = rpc;
    incoming->return_to = message->from;
    request->context = incoming;
    jobs_request_send(rpc->jobs, request, &rpc->task, on_job_reply);
    jobs__call__free_unpacked(call, NULL);
}

/* ---- the task ---- */

static void
run_once(struct jobs_rpc *rpc)
{
    int wait_ms = wire_endpoint_service(&rpc->endpoint, base_clock_ms());

    wire_endpoint_wait(&rpc->endpoint, rpc->task.wake_fd, wait_ms);
    base_task_clear_wake_fd(&rpc->task);
    base_task_drain(&rpc->task);
}

static void
run(struct base_task *task)
{
    struct jobs_rpc *rpc = task->state;

    while (!base_task_is_stopping(task)) {
        run_once(rpc);
    }
}

/* Binds the address and starts the task.  Returns NULL with an error when that
 * fails. */
struct jobs_rpc *
jobs_rpc_start(const struct jobs_rpc_desc *desc, struct base_error *err)
{
    static const struct base_task_ops OPS = {base_task_wake_fd, run};
    struct jobs_rpc *rpc = g_new0(struct jobs_rpc, 1);
    const struct wire_endpoint_desc endpoint = {
        .node = desc->node,
        .address = desc->address,
        .source = desc->source,
        .public_key_file = desc->public_key_file,
        .secret_key_file = desc->secret_key_file,
        .peer_keys_file = desc->peer_keys_file,
        .silence_ms = CONNECTION_SILENCE_MS,
        .max_body_bytes = MAX_BODY_BYTES,
        .counters = desc->counters,
        .received = on_message,
        .context = rpc,
    };

    rpc->jobs = desc->jobs;
    base_budget_init(&rpc->submissions, desc->submission_bytes);
    if (!wire_endpoint_init(&rpc->endpoint, &endpoint, err)) {
        g_free(rpc);
        return NULL;
    }
    if (!base_task_init(&rpc->task, "jobs_link", &OPS, rpc, err) ||
        !base_task_start(&rpc->task, err)) {
        base_task_finish(&rpc->task);
        wire_endpoint_finish(&rpc->endpoint);
        g_free(rpc);
        return NULL;
    }
    return rpc;
}

/* Stops the task and frees it; NULL is allowed.  Pending calls are dropped;
 * their callers have stopped or do not wait for them. */
void
jobs_rpc_stop(struct jobs_rpc *rpc)
{
    if (rpc == NULL) {
        return;
    }
    base_task_stop(&rpc->task);
    base_task_finish(&rpc->task);
    wire_endpoint_finish(&rpc->endpoint);
    g_free(rpc);
}
