#include "control/control_private.h"

static void
serve_ask(struct base_call *call, void *state)
{
    control_client_admit(state, (struct control_admission *)call);
}

static void
ask_done(struct base_call *call, void *task_state)
{
    struct control_admission *ask = (struct control_admission *)call;
    ask->answered(ask, task_state);
}

static void
free_call(struct base_call *call)
{
    g_free(call);
}

/* An ask for one slot of a server, to be filled in further. */
struct control_admission *
control_admission_new(const char *server, enum contracts_class class_)
{
    struct control_admission *ask = g_new0(struct control_admission, 1);

    g_strlcpy(ask->server, server, sizeof(ask->server));
    ask->class_ = class_;
    ask->slots = 1;
    return ask;
}

/* Frees an answered ask; its contract lives on.  NULL is allowed. */
void
control_admission_free(struct control_admission *ask)
{
    g_free(ask);
}

/* Sends the ask; `answered` runs on the task `from`, which then owns it. */
void
control_admission_send(struct control *control, struct control_admission *ask,
                       struct base_task *from,
                       void (*answered)(struct control_admission *ask,
                                        void *task_state))
{
    static const struct base_call_ops OPS = {serve_ask, ask_done, free_call};

    ask->answered = answered;
    base_call_send(&ask->call, &OPS, &control->task, from);
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

/* Says how many slots of a batch contract are still wanted; 0 ends it.  Any
 * thread. */
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

/* Gives an online contract back; any thread. */
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

/* Hands a server's own load report on; any thread. */
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

/* Announces that this node takes no new work: others keep its servers from
 * now on, and its own contracts stay until they are released.  Any thread. */
void
control_leave(struct control *control)
{
    static const struct base_call_ops OPS = {serve_leave, NULL, free_call};
    struct base_call *call = g_new0(struct base_call, 1);

    base_call_send(call, &OPS, &control->task, NULL);
}

/* Whether a configuration is in force that is not older than any known; any
 * thread. */
bool
control_is_ready(struct control *control)
{
    return g_atomic_int_get(&control->is_ready) != 0;
}

/* Takes from an operator's share at this node; any thread. */
bool
control_rate_allow(struct control *control, const char *operator_name,
                   int count)
{
    return control_rates_allow(control->rates, operator_name, count);
}

static void
serve_status(struct base_call *call, void *state)
{
    struct control_status *status = (struct control_status *)call;

    status->json = control_status_text(state);
    base_call_reply(call);
}

static void
drop_status(struct base_call *call)
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
    drop_status(call);
}

/* Asks for the state as JSON; the answer is freed after `answered`. */
void
control_status_send(struct control *control, struct base_task *from,
                    void *context,
                    void (*answered)(struct control_status *status,
                                     void *task_state))
{
    static const struct base_call_ops OPS = {serve_status, status_done,
                                             drop_status};
    struct control_status *status = g_new0(struct control_status, 1);

    status->context = context;
    status->answered = answered;
    base_call_send(&status->call, &OPS, &control->task, from);
}
