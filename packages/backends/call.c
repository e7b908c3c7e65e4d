#include <string.h>

#include "backends/backends_private.h"

enum {
    CONNECT_MS = 1000,
    FIRST_BYTE_MS = 30000,
    SILENCE_MS = 5000,
};

/* Returns the call, or NULL if it has ended. */
struct backends_call *
backends_call_find(struct backends *backends, struct base_handle handle)
{
    struct backends_call **slot = base_table_get(&backends->calls, handle);
    return slot == NULL ? NULL : *slot;
}

/* Creates a call with a copy of the request and adds it to the table of calls.
 * Does not open a connection. */
struct backends_call *
backends_call_new(struct backends *backends,
                  const struct backends_request *request)
{
    struct backends_call *call = g_new0(struct backends_call, 1);
    struct backends_call **slot;

    call->owner = backends;
    call->handle = base_table_add(&backends->calls);
    slot = base_table_get(&backends->calls, call->handle);
    *slot = call;
    call->ops = request->ops;
    call->context = request->context;
    call->request_id = g_strdup(request->request_id);
    call->id_header =
        g_strdup(request->id_header ? request->id_header : "x-request-id");
    call->refusal_header = g_strdup(request->refusal_header);
    call->refusal_status = request->refusal_status;
    call->may_end_by_close = request->may_end_by_close;
    call->connect_ms = request->connect_ms ? request->connect_ms : CONNECT_MS;
    call->first_byte_ms =
        request->first_byte_ms ? request->first_byte_ms : FIRST_BYTE_MS;
    call->silence_ms = request->silence_ms ? request->silence_ms : SILENCE_MS;
    call->deadline_ms = request->deadline_ms;
    return call;
}

static void
free_call(struct backends_call *call)
{
    g_free(call->request_id);
    g_free(call->id_header);
    g_free(call->refusal_header);
    g_free(call);
}

/* Records why the call failed.  Only the first reason is recorded. */
void
backends_call_fail(struct backends_call *call, enum base_code code,
                   const char *text)
{
    if (call->is_failed) {
        return;
    }
    call->is_failed = true;
    base_error_set(&call->err, code, "%s", text);
}

static enum base_verdict
find_verdict(const struct backends_call *call)
{
    if (call->phase == BACKENDS_CONNECTING || call->is_refused_not_run) {
        return BASE_NOT_RUN;
    }
    if (!call->is_complete || call->is_failed || call->status >= 500) {
        return BASE_MAY_HAVE_RUN;
    }
    return BASE_RAN;
}

/* Ends the call: closes its connection, calls `done` and frees the call. */
void
backends_call_end(struct backends_call *call)
{
    struct backends_result result = {
        .status = call->status,
        .verdict = find_verdict(call),
        .is_complete = call->is_complete && !call->is_failed,
        .err = call->err,
    };

    lws_sul_cancel(&call->timer);
    if (call->connection != NULL) {
        httpc_close(call->connection);
    }
    base_table_remove(&call->owner->calls, call->handle);
    call->ops->done(call->context, &result);
    free_call(call);
}

/* Enters a phase and starts its time limit. */
void
backends_call_enter(struct backends_call *call, enum backends_phase phase)
{
    call->phase = phase;
    call->limit_since_ms = base_clock_ms();
    backends_call_schedule(call, call->limit_since_ms);
}

static int64_t
find_phase_limit_ms(const struct backends_call *call)
{
    switch (call->phase) {
    case BACKENDS_CONNECTING:
        return call->connect_ms;
    case BACKENDS_WAITING:
        return call->first_byte_ms;
    case BACKENDS_READING:
        break;
    }
    return call->silence_ms;
}

static const char *
name_phase_limit(const struct backends_call *call)
{
    switch (call->phase) {
    case BACKENDS_CONNECTING:
        return "no connection within the connect limit";
    case BACKENDS_WAITING:
        return "no response within the first-byte limit";
    case BACKENDS_READING:
        break;
    }
    return "no bytes of the response within the silence limit";
}

/* Returns the base_clock_ms at which the next limit is reached; INT64_MAX:
 * never. */
static int64_t
find_due_ms(const struct backends_call *call)
{
    int64_t due = INT64_MAX;

    if (!call->is_paused) {
        due = call->limit_since_ms + find_phase_limit_ms(call);
    }
    if (call->deadline_ms != 0 && call->deadline_ms < due) {
        due = call->deadline_ms;
    }
    return due;
}

static void
check_limits(lws_sorted_usec_list_t *timer)
{
    struct backends_call *call =
        lws_container_of(timer, struct backends_call, timer);
    int64_t now_ms = base_clock_ms();

    if (now_ms < find_due_ms(call)) {
        backends_call_schedule(call, now_ms);
        return;
    }
    bool is_deadline = call->deadline_ms != 0 && now_ms >= call->deadline_ms;
    backends_call_fail(call, BASE_TIMEOUT,
                       is_deadline ? "the call's deadline has passed"
                                   : name_phase_limit(call));
    backends_call_end(call);
}

/* Sets the timer to the next limit.  Received bytes move the limit but not the
 * timer, so that a stream needs no timer operation for each token.  A timer
 * that fires before its limit is set again. */
void
backends_call_schedule(struct backends_call *call, int64_t now_ms)
{
    int64_t due_ms = find_due_ms(call);
    int64_t wait_ms = due_ms > now_ms ? due_ms - now_ms : 0;

    if (due_ms == INT64_MAX) {
        lws_sul_cancel(&call->timer);
        return;
    }
    lws_sul_schedule(call->owner->lws, 0, &call->timer, check_limits,
                     wait_ms * LWS_US_PER_MS + 1);
}
