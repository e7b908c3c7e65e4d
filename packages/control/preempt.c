#include "control/control_private.h"

enum { PREEMPT_TIMEOUT_MS = 2000 };

struct preempt_call {
    struct base_call call;
    void (*preempt)(void *task_state, uint64_t contract, int slots);
    uint64_t contract;
    int slots;
};

static void
serve_preempt(struct base_call *call, void *task_state)
{
    struct preempt_call *preempt = (struct preempt_call *)call;
    preempt->preempt(task_state, preempt->contract, preempt->slots);
    base_call_reply(call);
}

static void
drop_preempt(struct base_call *call)
{
    g_free(call);
}

/* Handles an owner's request to preempt slots of a contract: notifies the task
 * that requested the contract.  Contracts that are not held any more are
 * ignored.  `request` is the wire request number, which identifies resends; 0
 * if the owner is this node. */
void
control_client_preempt(struct control *control, const char *server,
                       uint64_t contract, int slots, uint64_t request)
{
    static const struct base_call_ops OPS = {serve_preempt, NULL,
                                             drop_preempt};
    uint64_t packed = control_find_by_contract(control, server, contract);
    struct control_held_contract *held =
        control_find_held_contract(control, packed);
    struct preempt_call *preempt;

    if (held == NULL || held->preempt == NULL || held->from == NULL) {
        return;
    }
    if (request != 0 && request == held->last_preempt) {
        return; /* this request was resent over a new connection */
    }
    held->last_preempt = request;
    preempt = g_new0(struct preempt_call, 1);
    preempt->preempt = held->preempt;
    preempt->contract = packed;
    preempt->slots = slots;
    base_call_send(&preempt->call, &OPS, held->from, NULL);
}

static void
on_preempt_done(void *context, const struct wire_answer *answer)
{
    /* If the holder is unreachable, the contract ends with its term. */
}

/* Sends a preemption request to the holder of a contract.  The holder replies
 * at once, so that a failed connection is detected. */
void
control_preempt_send(struct control *control, const char *address,
                     const Control__Yield *preempt)
{
    struct control_bytes bytes = control_pack(&preempt->base);
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_YIELD,
        .body = bytes.data,
        .size = bytes.size,
        .timeout_ms = PREEMPT_TIMEOUT_MS,
        .is_idempotent = true, /* the holder recognises resends by number */
        .answered = on_preempt_done,
        .context = control,
    };

    wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}
