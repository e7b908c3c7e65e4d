#include "front/front_private.h"

#include <string.h>

/* Where the requests of a site go: its calls, the node's own pages, and
 * everything else by host and path. */

static const struct front_route READY = {"ready", "GET", "",
                                         false,   0,     &FRONT_READY};
static const struct front_route METRICS = {"metrics", "GET", "",
                                           false,     0,     &FRONT_METRICS};
static const struct front_route JOB_CALL = {"job", "*", "",
                                            true,  0,   &FRONT_JOB_CALL};
static const struct front_route JOB_SUBMIT = {
    "submit", "POST", "", true, 0, &FRONT_JOB_SUBMIT};
static const struct front_route INGRESS = {"ingress", "*", "",
                                           true,      0,   &FRONT_INGRESS};
static const struct front_handler NONE = {0};
static const struct front_route UNKNOWN = {"unknown", "*", "", true, 0, &NONE};

static const struct front_route *
find_by_route(struct front_request *request)
{
    const char *host = front_request_header(request, "host");
    const struct world_ingress *route;

    if (request->world == NULL) {
        front_fail(request, &FRONT_NOT_READY,
                   "this node has no configuration yet");
        return &UNKNOWN;
    }
    route = host == NULL
                ? NULL
                : world_find_ingress(request->world, host, request->path);
    if (route == NULL) {
        front_fail(request, &FRONT_NOT_FOUND,
                   "no route for this host and path");
        return &UNKNOWN;
    }
    if (route->kind != WORLD_INGRESS_BATCH) {
        return &INGRESS;
    }
    if (strcmp(request->method, "POST") != 0) {
        front_fail(request, &FRONT_WRONG_METHOD, "jobs are submitted by POST");
        return &UNKNOWN;
    }
    return &JOB_SUBMIT;
}

/* A request that came after a planned stop took its last ones. */
static bool
is_too_late(struct front_request *request)
{
    if (!front_is_closing(request->front)) {
        return false;
    }
    request->closes_after = true;
    front_fail(request, &FRONT_NOT_READY, "this node is stopping");
    return true;
}

/* The handler of a request; on a failure it has been answered. */
const struct front_route *
front_protocol_route(struct front_request *request)
{
    char id[FRONT_ID_SIZE];

    switch (request->front->protocol->find_call(request->method, request->path,
                                                id, sizeof(id))) {
    case FRONT_CALL_READY:
        return &READY;
    case FRONT_CALL_JOB_RESULTS:
    case FRONT_CALL_JOB_INPUT:
    case FRONT_CALL_JOB_END:
        return is_too_late(request) ? &UNKNOWN : &JOB_CALL;
    case FRONT_CALL_NONE:
        break;
    }
    if (strcmp(request->path, "/metrics") == 0 &&
        strcmp(request->method, "GET") == 0) {
        return &METRICS;
    }
    return is_too_late(request) ? &UNKNOWN : find_by_route(request);
}
