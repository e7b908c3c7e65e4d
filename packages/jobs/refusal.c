#include "jobs/jobs_private.h"

#include <string.h>

/* A refusal promises the client that nothing was done and nothing will be.
 * After a request was forwarded to a node that gave no reply, that node may
 * still serve it at any time: a suspended process reads it from its socket
 * when it wakes.  Neither an age nor a deadline in the message would prevent
 * that, since clocks step and a node cannot tell how long a message has
 * waited.
 *
 * So the store decides.  The refusal of a submission is stored before it is
 * sent, on the condition that the job does not exist, and each acceptance of
 * that submission is conditional on the absence of the refusal.  If the store
 * does not answer, neither does the refusal promise anything. */

/* Returns whether a status tells the client that nothing was done. */
static bool
is_refusal(enum jobs_status status)
{
    return status == JOBS_FULL || status == JOBS_REFUSED ||
           status == JOBS_NOT_ALLOWED || status == JOBS_TOO_LARGE;
}

/* Sends a reply as it is. */
static void
reply(struct jobs_request *request, enum jobs_status status)
{
    request->status = status;
    base_call_reply(&request->call);
}

/* The refusal is stored and can be sent, the job exists after all, or the
 * store leaves it open. */
static void
on_stored(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    enum jobs_status status = request->status;

    switch (kv->status) {
    case PLATFORM_OK:
        base_counter_add(jobs->n_refusals_stored, 1);
        break;
    case PLATFORM_CONFLICT:
        status = JOBS_OK; /* the job was accepted meanwhile */
        break;
    case PLATFORM_UNAVAILABLE:
    case PLATFORM_LEASE_EXPIRED:
    case PLATFORM_REJECTED:
        request->err = kv->err;
        status = JOBS_UNCERTAIN;
        break;
    }
    base_log(BASE_LOG_INFO, "jobs.refusal_stored",
             "id=%s submission=%s home=%s refused=%d status=%d error=\"%s\"",
             request->id, request->submission, request->called_node,
             request->status, status, request->err.text);
    reply(request, status);
}

/* Stores the refusal of a submission, unless the job exists. */
static void
store_refusal(struct jobs *jobs, struct jobs_request *request)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_TXN, request->id);
    char *head_key = jobs_head_key(request->id);
    char *done_key = jobs_done_key(request->id);
    char *refusal_key = jobs_refusal_key(request->id, request->submission);

    platform_kv_expect(kv, refusal_key, PLATFORM_ABSENT);
    platform_kv_expect(kv, head_key, PLATFORM_ABSENT);
    platform_kv_expect(kv, done_key, PLATFORM_ABSENT);
    platform_kv_write(kv, refusal_key,
                      g_bytes_new(jobs->node, strlen(jobs->node)), 0);
    g_free(head_key);
    g_free(done_key);
    g_free(refusal_key);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_stored, request});
}

/* Called before a reply with request->status.  If that is a refusal of a
 * request that another node may still serve, takes the request over, replies
 * once the refusal is true or else with JOBS_UNCERTAIN, and returns true.
 * Otherwise returns false: the reply can be sent now. */
bool
jobs_refusal_begin(struct jobs *jobs, struct jobs_request *request)
{
    if (!request->is_unanswered || !is_refusal(request->status)) {
        return false;
    }
    switch (request->op) {
    case JOBS_SUBMIT:
        store_refusal(jobs, request);
        return true;
    case JOBS_END:
        /* The end of a job can't be taken back. */
        reply(request, JOBS_UNCERTAIN);
        return true;
    case JOBS_RESULTS:
    case JOBS_INPUT:
    case JOBS_CHECK:
        break; /* changes nothing when it is served late */
    }
    return false;
}
