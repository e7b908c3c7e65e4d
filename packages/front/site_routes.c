#include "front/front_private.h"

#include <string.h>

#include "base/http_text.h"

/* Selects the handler of a request on a site by the address that it came to:
 * one of the node's own pages; or one of the protocol's calls, or the route
 * with the request's host and path. */

/* Longest time of a call about a job: a forwarded submission, a list of heads
 * and a write, each with its timeout. */
enum { JOB_CALL_MAX_MS = 7000 };

static const struct front_route READY = {"ready", "GET", "",
                                         false,   0,     &FRONT_READY};
static const struct front_route METRICS = {"metrics", "GET", "",
                                           false,     0,     &FRONT_METRICS};
static const struct front_route STATUS = {"status", "GET", "",
                                          false,    0,     &FRONT_STATUS};
static const struct front_route JOB_CALL = {"job", "*", "",
                                            true,  0,   &FRONT_JOB_CALL};
static const struct front_route JOB_SUBMIT = {
    "submit", "POST", "", true, 0, &FRONT_JOB_SUBMIT};
static const struct front_route INGRESS = {"ingress", "*", "",
                                           true,      0,   &FRONT_INGRESS};
static const struct front_handler NO_HANDLER = {0};
/* The route of a request that has been answered with an error. */
static const struct front_route ANSWERED = {"unknown", "*", "",
                                            true,      0,   &NO_HANDLER};

/* Refuses a request that a planned stop might cut off, and closes its
 * connection after the response.  until_ms: when it has ended at the latest,
 * on base_clock_ms.  Returns whether it was refused. */
static bool
refuse_if_stopping(struct front_request *request, int64_t until_ms)
{
    if (!front_may_cut_off(request->front, until_ms)) {
        return false;
    }
    request->closes_after = true;
    front_fail(request, &FRONT_NOT_READY, "this node is stopping");
    return true;
}

/* Returns when a call about a job has ended at the latest. */
static int64_t
job_call_end_ms(const struct front_request *request)
{
    return MIN(request->deadline_ms,
               request->started_us / 1000 + JOB_CALL_MAX_MS);
}

/* Returns whether jobs of the request's host may be read without a key. */
static bool
has_open_jobs(const struct front_request *request)
{
    const char *host = front_request_header(request, "host");

    for (int i = 0; host != NULL && i < request->world->n_ingress; i++) {
        const struct world_ingress *route = &request->world->ingress[i];
        if (route->kind == WORLD_INGRESS_BATCH && route->is_open &&
            g_ascii_strcasecmp(route->host, host) == 0) {
            return true;
        }
    }
    return false;
}

/* Refuses a submission whose id, host or path cannot be stored.  Returns
 * whether it was refused. */
static bool
refuse_unstorable_job(struct front_request *request)
{
    const char *host = front_request_header(request, "host");
    struct base_error err = {0};

    if (jobs_can_store(request->id, host, request->path, &err)) {
        return false;
    }
    front_fail(request, &FRONT_BAD_REQUEST, "%s", err.text);
    return true;
}

/* Returns the route of a call about a job; on an error the request has been
 * answered and the result is ANSWERED. */
static const struct front_route *
find_job_call(struct front_request *request, const char *id)
{
    if (!base_text_is_storable(id) || strlen(id) >= JOBS_ID_SIZE) {
        front_fail(request, &FRONT_BAD_REQUEST,
                   "the job's id is too long or is not UTF-8");
        return &ANSWERED;
    }
    if (request->world == NULL) {
        front_fail(request, &FRONT_NOT_READY,
                   "this node has no configuration yet");
        return &ANSWERED;
    }
    if (!front_identify(request, has_open_jobs(request)) ||
        refuse_if_stopping(request, job_call_end_ms(request))) {
        return &ANSWERED;
    }
    return &JOB_CALL;
}

/* Returns the route for the request's host and path; on an error the request
 * has been answered and the result is ANSWERED. */
static const struct front_route *
find_by_host_and_path(struct front_request *request)
{
    const char *host = front_request_header(request, "host");
    const struct world_ingress *route;
    int64_t started_ms = request->started_us / 1000;

    if (request->world == NULL) {
        front_fail(request, &FRONT_NOT_READY,
                   "this node has no configuration yet");
        return &ANSWERED;
    }
    route = host == NULL
                ? NULL
                : world_find_ingress(request->world, host, request->path);
    if (route == NULL) {
        front_fail_by_config(request, &FRONT_NOT_FOUND,
                             "no route for this host and path");
        return &ANSWERED;
    }
    if (!front_identify(request, route->is_open)) {
        return &ANSWERED;
    }
    if (route->kind != WORLD_INGRESS_BATCH) {
        int64_t until_ms =
            MIN(request->deadline_ms, started_ms + route->timeout_ms);
        return refuse_if_stopping(request, until_ms) ||
                       !front_take_rate(request)
                   ? &ANSWERED
                   : &INGRESS;
    }
    if (strcmp(request->method, "POST") != 0) {
        front_fail_by_config(request, &FRONT_WRONG_METHOD,
                             "jobs are submitted with POST");
        return &ANSWERED;
    }
    return refuse_unstorable_job(request) ||
                   refuse_if_stopping(request, job_call_end_ms(request))
               ? &ANSWERED
               : &JOB_SUBMIT;
}

/* Returns the route of a page of the node's own, or NULL if the request's
 * address serves none there. */
static const struct front_route *
find_own_page(const struct front_request *request,
              enum front_protocol_call call)
{
    if ((request->serves & FRONT_SERVES_PROBES) != 0 &&
        call == FRONT_CALL_READY) {
        return &READY;
    }
    if ((request->serves & FRONT_SERVES_METRICS) == 0 ||
        strcmp(request->method, "GET") != 0) {
        return NULL;
    }
    if (strcmp(request->path, "/admin/status") == 0) {
        return &STATUS;
    }
    return strcmp(request->path, "/metrics") == 0 ? &METRICS : NULL;
}

/* Returns the route whose handler serves a request.  On a failure the request
 * has been answered and the route has no handler. */
const struct front_route *
front_protocol_route(struct front_request *request)
{
    const char *id;
    enum front_protocol_call call = request->front->protocol->find_call(
        request->method, request->path, &id);
    const struct front_route *page = find_own_page(request, call);

    if (page != NULL) {
        return page;
    }
    if ((request->serves & FRONT_SERVES_CALLERS) == 0) {
        front_fail(request, &FRONT_NOT_FOUND, "there is no such page");
        return &ANSWERED;
    }
    switch (call) {
    case FRONT_CALL_JOB_RESULTS:
    case FRONT_CALL_JOB_INPUT:
    case FRONT_CALL_JOB_END:
        return find_job_call(request, id);
    case FRONT_CALL_READY:
    case FRONT_CALL_NONE:
        break;
    }
    return find_by_host_and_path(request);
}
