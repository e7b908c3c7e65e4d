#include "control/control_private.h"

static void
serve_admission(struct base_call *call, void *state)
{
    control_client_admit(state, (struct control_admission *)call);
}

static void
admission_done(struct base_call *call, void *task_state)
{
    struct control_admission *admission = (struct control_admission *)call;
    admission->answered(admission, task_state);
}

static void
free_call(struct base_call *call)
{
    g_free(call);
}

/* Returns an admission request for one slot of a server.  The caller fills in
 * the other fields. */
struct control_admission *
control_admission_new(const char *server, enum contracts_class class_)
{
    struct control_admission *admission = g_new0(struct control_admission, 1);

    g_strlcpy(admission->server, server, sizeof(admission->server));
    admission->class_ = class_;
    admission->slots = 1;
    return admission;
}

/* Frees an answered request; its contract stays.  NULL is allowed. */
void
control_admission_free(struct control_admission *admission)
{
    g_free(admission->pools);
    g_free(admission);
}

/* Sends an admission request.  `answered` runs on the task `from`, which owns
 * the request from then on. */
void
control_admission_send(struct control *control,
                       struct control_admission *admission,
                       struct base_task *from,
                       void (*answered)(struct control_admission *admission,
                                        void *task_state))
{
    static const struct base_call_ops OPS = {serve_admission, admission_done,
                                             free_call};

    admission->answered = answered;
    base_call_send(&admission->call, &OPS, &control->task, from);
}

struct release_call {
    struct base_call call;
    uint64_t contract;
    int slots;
    struct contracts_outcome outcome;
};

static void
serve_release(struct base_call *call, void *state)
{
    struct release_call *release = (struct release_call *)call;

    control_client_release(state, release->contract, release->slots,
                           &release->outcome);
    base_call_reply(call);
}

/* Reduces a contract to `slots`; 0 ends it.  Any thread. */
void
control_shrink(struct control *control, uint64_t contract, int slots,
               const struct contracts_outcome *outcome)
{
    static const struct base_call_ops OPS = {serve_release, NULL, free_call};
    struct release_call *release = g_new0(struct release_call, 1);

    release->contract = contract;
    release->slots = slots;
    if (outcome != NULL) {
        release->outcome = *outcome;
    }
    base_call_send(&release->call, &OPS, &control->task, NULL);
}

/* Releases an online contract; any thread. */
void
control_release(struct control *control, uint64_t contract,
                const struct contracts_outcome *outcome)
{
    control_shrink(control, contract, 0, outcome);
}

struct report_call {
    struct base_call call;
    char server[CONTROL_SERVER_SIZE];
    int running;
    int queued;
    int64_t age_ms;
};

static void
serve_report(struct base_call *call, void *state)
{
    struct report_call *report = (struct report_call *)call;

    control_owner_server_report(state, report->server, report->running,
                                report->queued, report->age_ms);
    base_call_reply(call);
}

/* Passes on a server's own load report; any thread. */
void
control_server_report(struct control *control, const char *server, int running,
                      int queued, int64_t age_ms)
{
    static const struct base_call_ops OPS = {serve_report, NULL, free_call};
    struct report_call *report = g_new0(struct report_call, 1);

    g_strlcpy(report->server, server, sizeof(report->server));
    report->running = running;
    report->queued = queued;
    report->age_ms = age_ms;
    base_call_send(&report->call, &OPS, &control->task, NULL);
}

static void
serve_leave(struct base_call *call, void *state)
{
    control_gossip_leave(state, false);
    base_call_reply(call);
}

/* Announces that this node accepts no new work: other nodes own its servers
 * from now on, and the contracts that it holds stay until they are released.
 * Any thread. */
void
control_leave(struct control *control)
{
    static const struct base_call_ops OPS = {serve_leave, NULL, free_call};
    struct base_call *call = g_new0(struct base_call, 1);

    base_call_send(call, &OPS, &control->task, NULL);
}

/* True once the newest configuration that this node knew of was in force; any
 * thread. */
bool
control_is_ready(struct control *control)
{
    return g_atomic_int_get(&control->is_ready) != 0;
}

/* True while the configuration in force is the newest one that this node knows
 * of; any thread. */
bool
control_has_newest_config(struct control *control)
{
    return control_is_ready(control) &&
           g_atomic_int_get(&control->is_outdated) == 0;
}

/* Takes `count` requests from this node's share of an operator's rate limit;
 * false if that exceeds it.  Any thread. */
bool
control_rate_allow(struct control *control, const char *operator_name,
                   int count)
{
    return control_rates_allow(control->rates, operator_name, count);
}

/* See the header. */
int64_t
control_rate_retry_ms(struct control *control, const char *operator_name)
{
    return control_rates_retry_ms(control->rates, operator_name);
}

static void
serve_status(struct base_call *call, void *state)
{
    struct control_status *status = (struct control_status *)call;

    status->json = control_status_text(state);
    base_call_reply(call);
}

static void
free_status(struct base_call *call)
{
    struct control_status *status = (struct control_status *)call;

    g_free(status->json);
    g_free(status);
}

static void
status_done(struct base_call *call, void *task_state)
{
    struct control_status *status = (struct control_status *)call;

    status->answered(status, task_state);
    free_status(call);
}

/* Requests the state as JSON; the status is freed after `answered`. */
void
control_status_send(struct control *control, struct base_task *from,
                    void *context,
                    void (*answered)(struct control_status *status,
                                     void *task_state))
{
    static const struct base_call_ops OPS = {serve_status, status_done,
                                             free_status};
    struct control_status *status = g_new0(struct control_status, 1);

    status->context = context;
    status->answered = answered;
    base_call_send(&status->call, &OPS, &control->task, from);
}
