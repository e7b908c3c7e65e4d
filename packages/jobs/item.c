#include "jobs/jobs_private.h"

#include <string.h>

#include "base/event_stream.h"
#include "base/http_text.h"

enum {
    FIRST_BYTE_TIMEOUT_MS = 5000, /* engines may delay the response head */
    STREAM_SILENCE_MS = 3000,     /* longest pause within a stream */
    MAX_ATTEMPT_MS = 60000,       /* longest attempt at one server */
    REFUSED_RETRY_MS = 100, /* after a refusal, times n_refusals; else once */
    FAILED_RETRY_MS = 200,  /* after a failure, times the failures so far */
    CUT_RETRY_MS = 100,     /* after output without end, times these so far */
    MAX_BACK_OFF_FACTOR = 10, /* limit of the factor for these delays */
    /* A server that has sent this many events has not crashed when it began to
     * answer. */
    ANSWERED_EVENTS = 2,
    /* Of a body that is not the output of an item.  Servers explain a refusal
     * in less. */
    MAX_DISCARDED_BYTES = 262144,
    STATUS_OK = 200,
    STATUS_UNPROCESSABLE = 422, /* the item can never succeed */
    STATUS_FAILED = 500,
};

/* Returns the item's server in the current world, or WORLD_NONE when it has
 * been removed. */
int
jobs_work_find_server(const struct jobs_work *work)
{
    const struct world *world = work->run->jobs->world;

    return world == NULL ? WORLD_NONE
                         : world_find_server(world, work->server_name);
}

/* Reports the outcome of an attempt to server selection, and releases the
 * item's contract, if any, with the same outcome. */
void
jobs_work_release_contract(struct jobs_work *work, bool is_servers_fault)
{
    struct jobs *jobs = work->run->jobs;
    int64_t n_new_events = work->events.count - work->n_earlier_events;
    int64_t now_us = base_clock_us();
    int server = jobs_work_find_server(work);
    struct contracts_outcome outcome = {
        .tokens = (int)MAX(n_new_events, 0),
        .failed = is_servers_fault,
    };

    if (work->first_event_us > 0) {
        outcome.first_token_us = work->first_event_us - work->sent_at_us;
        if (n_new_events > 1) {
            outcome.inter_token_us =
                (now_us - work->first_event_us) / (n_new_events - 1);
        }
    }
    jobs_cost_learn_time(work, now_us);
    if (server != WORLD_NONE) {
        jobs->place->ops->outcome(jobs->place, server, &outcome,
                                  base_clock_ms());
    }
    if (work->contract != 0) {
        control_shrink(jobs->control, work->contract, 0, &outcome);
        work->contract = 0;
    }
}

static const char *
find_header(const struct jobs_item *item, const char *name)
{
    for (guint i = 0; i + 1 < item->headers->len; i += 2) {
        if (g_ascii_strcasecmp(item->headers->pdata[i], name) == 0) {
            return item->headers->pdata[i + 1];
        }
    }
    return NULL;
}

static const char *
find_item_header(const void *context, const char *name)
{
    return find_header(context, name);
}

/* Reads the parts of the item's prompt for the deployment that it is going to
 * run at. */
void
jobs_work_read_parts(struct jobs_work *work)
{
    struct jobs *jobs = work->run->jobs;
    int deployment = work->choice.deployment;

    work->parts.n_parts = 0;
    if (jobs->read_parts != NULL && deployment != WORLD_NONE) {
        jobs->read_parts(find_item_header,
                         work->run->job->items->pdata[work->index],
                         &work->parts);
        quarantine_scope(&work->parts,
                         jobs->world->deployments[deployment].name);
    }
}

static void
delay_retry(struct jobs_work *work, int64_t wait_ms)
{
    work->state = JOBS_WORK_WAITING;
    work->not_before_ms = base_clock_ms() + wait_ms;
}

static void
log_attempt(const struct jobs_work *work, const struct backends_result *result)
{
    const struct jobs_item *item = work->run->job->items->pdata[work->index];
    const char *reason = work->is_cut
                             ? "the outputs of all items are too large"
                         : work->events.is_corrupt
                             ? "events are out of order, or there is too much"
                         : work->n_discarded > MAX_DISCARDED_BYTES
                             ? "a long body that is no event stream"
                             : result->err.text;

    base_log(
        BASE_LOG_INFO, "jobs.attempt_ended",
        "job=%s item=%s server=%s status=%d ran=%s events=%" G_GINT64_FORMAT
        " yielded=%d failures=%d error=\"%s\"",
        work->run->head.id, item->id, work->server_name, result->status,
        base_verdict_name(result->verdict), work->events.count,
        work->is_preempted, work->n_failures, reason);
}

static void
count_failure(struct jobs_work *work)
{
    struct jobs_run *run = work->run;

    work->n_failures++;
    run->is_checkpoint_requested = true;
    if (work->n_failures >= run->max_attempts) {
        jobs_run_item_done(run, work, false);
        return;
    }
    delay_retry(work,
                FAILED_RETRY_MS * MIN(work->n_failures, MAX_BACK_OFF_FACTOR));
}

static bool
is_complete_output(const struct jobs_work *work,
                   const struct backends_result *result)
{
    return result->status == STATUS_OK && result->is_complete &&
           work->is_stream && jobs_events_are_complete(&work->events);
}

/* Decides what happens to an item after an attempt: it is done, given up or
 * sent again. */
static void
apply_result(struct jobs_work *work, const struct backends_result *result)
{
    if (is_complete_output(work, result)) {
        jobs_cost_learn_events(work);
        jobs_run_item_done(work->run, work, true);
        return;
    }
    log_attempt(work, result);
    if (work->events.is_corrupt) {
        jobs_output_drop(work); /* the next attempt starts anew */
    }
    if (work->is_preempted) {
        delay_retry(work, 0);
    }
    else if (result->err.code == BASE_INVALID) {
        /* Its path or a header cannot be sent, at any server. */
        jobs_run_item_done(work->run, work, false);
    }
    else if (result->verdict == BASE_NOT_RUN) {
        work->n_refusals++;
        delay_retry(work, REFUSED_RETRY_MS *
                              MIN(work->n_refusals, MAX_BACK_OFF_FACTOR));
    }
    else if (result->status == STATUS_UNPROCESSABLE && result->is_complete) {
        jobs_run_item_done(work->run, work, false);
    }
    else if (result->status == STATUS_FAILED && result->is_complete) {
        count_failure(work);
    }
    else if (work->is_cut || work->events.is_too_large) {
        /* More output than an item may have, or that all may have. */
        work->n_cuts++;
        delay_retry(work,
                    CUT_RETRY_MS * MIN(work->n_cuts, MAX_BACK_OFF_FACTOR));
    }
    else if (work->n_discarded > MAX_DISCARDED_BYTES) {
        /* The server may do the same again, at once. */
        work->n_refusals++;
        delay_retry(work, REFUSED_RETRY_MS *
                              MIN(work->n_refusals, MAX_BACK_OFF_FACTOR));
    }
    else {
        delay_retry(work, REFUSED_RETRY_MS);
    }
}

static bool
is_servers_fault(const struct jobs_work *work,
                 const struct backends_result *result)
{
    return !work->is_preempted && !work->run->has_stopped &&
           result->status != STATUS_UNPROCESSABLE &&
           result->status != STATUS_FAILED &&
           result->verdict != BASE_NOT_RUN &&
           !is_complete_output(work, result);
}

/* Returns a header of the response, or NULL if it has none. */
static const char *
find_response_header(const struct jobs_work *work, const char *name)
{
    return name == NULL
               ? NULL
               : backends_header(&work->run->jobs->backends, work->call, name);
}

/* Passes on what the response says of its server, unless another one sent
 * it. */
static void
note_response(const struct jobs_work *work, int status)
{
    const struct jobs_header_names *names = &work->run->jobs->names;
    struct control_response response = {.sent_ms = work->sent_at_us / 1000};

    if (status == names->misdirected_status) {
        return;
    }
    response.limit = find_response_header(work, names->request_limit);
    response.is_leaving =
        g_strcmp0(find_response_header(work, names->leaving), "1") == 0;
    control_note_response(work->run->jobs->control, work->server_name,
                          &response);
}

static void
on_head(void *context, int status, const char *content_type)
{
    struct jobs_work *work = context;

    note_response(work, status);
    work->status = status;
    work->is_stream =
        status == STATUS_OK && base_is_event_stream(content_type);
}

static void
on_body(void *context, const char *data, size_t size)
{
    struct jobs_work *work = context;

    if (!work->is_stream) {
        work->n_discarded += (int64_t)size;
        if (work->n_discarded > MAX_DISCARDED_BYTES) {
            backends_cancel(&work->run->jobs->backends, work->call);
        }
        return;
    }
    jobs_events_feed(&work->events, data, size);
    jobs_output_changed(work);
    if (work->is_cut) {
        return;
    }
    if (work->events.is_corrupt) {
        /* The server may go on sending without end. */
        backends_cancel(&work->run->jobs->backends, work->call);
        return;
    }
    if (work->first_event_us == 0 &&
        work->events.count > work->n_earlier_events) {
        work->first_event_us = base_clock_us();
        work->n_refusals = 0;
    }
    if (!work->is_answered &&
        work->events.count >= work->n_earlier_events + ANSWERED_EVENTS) {
        work->is_answered = true;
        control_prompt_answered(work->run->jobs->control, &work->parts);
    }
}

/* Notes a crash of the server if the item was on it and has never been
 * answered. */
static void
note_crash(const struct jobs_work *work, const struct backends_result *result)
{
    if (result->err.code == BASE_UNAVAILABLE &&
        result->verdict == BASE_MAY_HAVE_RUN && !work->is_preempted &&
        work->events.count == 0) {
        control_prompt_crashed(work->run->jobs->control, &work->parts,
                               work->server_name);
    }
}

static void
on_done(void *context, const struct backends_result *result)
{
    struct jobs_work *work = context;
    struct jobs_run *run = work->run;
    struct jobs *jobs = run->jobs;

    jobs->n_running--;
    base_counter_set(jobs->running_gauge, jobs->n_running);
    run->n_active--;
    run->n_references--;
    jobs_work_release_contract(work, is_servers_fault(work, result));
    note_crash(work, result);
    if (run->has_stopped) {
        work->state = JOBS_WORK_WAITING;
        return;
    }
    apply_result(work, result);
}

static const struct backends_ops OPS = {on_head, on_body, on_done};

static bool
is_own_header(const struct jobs_header_names *names, const char *name)
{
    const char *const own[] = {
        "content-length",       "host",
        "content-type",         names->request_id,
        names->expected_server, names->last_event_id,
        names->operator_name,   names->api_key,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(own); i++) {
        if (own[i] != NULL && g_ascii_strcasecmp(own[i], name) == 0) {
            return true;
        }
    }
    return base_http_is_hop_header(name);
}

/* Returns whether the headers of an item say that one of them concerns only a
 * connection. */
static bool
is_listed_header(const struct jobs_item *item, const char *name)
{
    const char *connection = find_header(item, "connection");

    return connection != NULL && base_http_lists_header(connection, name);
}

static void
add_header(GPtrArray *headers, const char *name, const char *value)
{
    g_ptr_array_add(headers, g_strdup(name));
    g_ptr_array_add(headers, g_strdup(value));
}

static GPtrArray *
make_headers(const struct jobs_work *work, const struct jobs_item *item)
{
    const struct jobs_header_names *names = &work->run->jobs->names;
    const char *operator_name = work->run->head.operator_name;
    GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
    char after[24];

    for (guint i = 0; i + 1 < item->headers->len; i += 2) {
        if (!is_own_header(names, item->headers->pdata[i]) &&
            !is_listed_header(item, item->headers->pdata[i])) {
            add_header(headers, item->headers->pdata[i],
                       item->headers->pdata[i + 1]);
        }
    }
    add_header(headers, names->request_id, item->id);
    add_header(headers, names->expected_server, work->server_name);
    if (names->operator_name != NULL && operator_name[0] != '\0') {
        add_header(headers, names->operator_name, operator_name);
    }
    if (work->n_earlier_events > 0) {
        g_snprintf(after, sizeof(after), "%" G_GINT64_FORMAT,
                   work->events.last_id);
        add_header(headers, names->last_event_id, after);
    }
    g_ptr_array_add(headers, NULL);
    return headers;
}

static void
prepare_attempt(struct jobs_work *work)
{
    bool resumes = jobs_events_may_resume(&work->events);

    jobs_events_begin(&work->events, resumes);
    jobs_output_changed(work);
    work->is_cut = false;
    work->n_earlier_events = work->events.count;
    work->first_event_us = 0;
    work->sent_at_us = base_clock_us();
    work->status = 0;
    work->is_stream = false;
    work->n_discarded = 0;
    work->is_preempted = false;
    work->is_answered = false;
    if (resumes) {
        base_counter_add(work->run->jobs->n_resumes, 1);
    }
}

/* Sends an item to the server that granted its contract. */
void
jobs_work_send(struct jobs_work *work)
{
    struct jobs_run *run = work->run;
    struct jobs *jobs = run->jobs;
    const struct jobs_item *item = run->job->items->pdata[work->index];
    const struct world_server *server = &jobs->world->servers[work->server];
    const char *type = find_header(item, "content-type");
    struct base_error err = {0};
    gsize size = 0;
    GPtrArray *headers;
    struct backends_request request = {
        .ops = &OPS,
        .context = work,
        .host = server->host,
        .port = server->port,
        .method = "POST",
        .path = item->path,
        .content_type = type != NULL ? type : "",
        .first_byte_ms = FIRST_BYTE_TIMEOUT_MS,
        .silence_ms = STREAM_SILENCE_MS,
        .deadline_ms = base_clock_ms() + MAX_ATTEMPT_MS,
        .request_id = item->id,
        .id_header = jobs->names.request_id,
        .host_header = run->head.host,
        .refusal_header = jobs->names.refused_not_run,
        .refusal_status = jobs->names.misdirected_status,
        .may_end_by_close = true,
    };

    prepare_attempt(work);
    request.body = g_bytes_get_data(item->body, &size);
    request.body_size = size;
    headers = make_headers(work, item);
    request.headers = (const char *const *)headers->pdata;
    jobs->n_running++;
    base_counter_set(jobs->running_gauge, jobs->n_running);
    run->n_references++;
    base_log(BASE_LOG_INFO, "jobs.item_sent",
             "job=%s item=%s server=%s after=%" G_GINT64_FORMAT
             " asked=%d revision=%" G_GINT64_FORMAT,
             run->head.id, item->id, work->server_name, work->events.last_id,
             work->n_requested, jobs->world->revision);
    work->call = backends_send(&jobs->backends, &request, &err);
    g_ptr_array_free(headers, TRUE);
    if (work->call.generation == 0) {
        struct backends_result result = {.err = err};
        on_done(work, &result);
    }
}

/* Cancels an attempt.  The events received so far are kept, so that the next
 * attempt can resume. */
void
jobs_work_cancel(struct jobs_work *work)
{
    work->is_preempted = true;
    backends_cancel(&work->run->jobs->backends, work->call);
}

/* Handles a preemption: the server's owner needs the contract's slot for
 * online work.  Cancels the item that uses it. */
void
jobs_preempt(void *task_state, uint64_t contract, int slots)
{
    struct jobs *jobs = task_state;
    GHashTableIter iter;
    gpointer value;

    (void)slots;
    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        for (guint i = 0; i < run->job->items->len; i++) {
            struct jobs_work *work = &run->works[i];
            if (work->contract == contract &&
                work->state == JOBS_WORK_RUNNING) {
                base_counter_add(jobs->n_preemptions, 1);
                jobs_work_cancel(work);
                return;
            }
        }
    }
}
