#include "front/exchange.h"

#include <string.h>

/* Calls to /services/NAME/...: the request with the rest of the path is
 * forwarded to a server of the service, and its response is passed to the
 * caller. */

enum {
    /* Bytes of a response that are buffered before it is committed: until then
     * another server may still serve the request. */
    MAX_BUFFERED = 262144,
};

/* A call to a service that is not an inference engine. */
struct service {
    struct exchange exchange;
    /* The last response with a 5xx status, sent if no attempt succeeds. */
    int failed_status; /* 0: none */
    char failed_type[FRONT_NAME_SIZE];
    GString *failed_body;
};

static void
on_head(struct exchange *exchange, struct attempt *attempt)
{
    attempt->buffered_body = g_string_new(NULL);
    attempt->first_token_us = MAX(base_clock_us() - attempt->sent_us, 1);
}

/* Starts to relay the attempt's response; from now on no other server can
 * serve the request. */
static void
commit_response(struct exchange *exchange, struct attempt *attempt)
{
    struct front_request *request = exchange->request;

    exchange_try_win(exchange, attempt);
    exchange->is_committed = true;
    front_stream_begin(request, attempt->status, attempt->content_type);
    front_stream_write(request, attempt->buffered_body->str,
                       attempt->buffered_body->len);
    g_string_truncate(attempt->buffered_body, 0);
}

static void
on_body(struct exchange *exchange, struct attempt *attempt, const char *data,
        size_t size)
{
    struct front_request *request = exchange->request;

    if (!exchange->is_committed) {
        g_string_append_len(attempt->buffered_body, data, (gssize)size);
        if (attempt->buffered_body->len > MAX_BUFFERED) {
            commit_response(exchange, attempt);
        }
    }
    else {
        front_stream_write(request, data, size);
    }
    if (front_pending(request) > FRONT_HIGH_WATER) {
        backends_pause(&exchange->front->backends, attempt->call);
    }
}

static enum attempt_end
on_ended(struct exchange *exchange, struct attempt *attempt,
         const struct backends_result *result)
{
    struct service *service = (struct service *)exchange;

    if (!result->is_complete || result->err.code != BASE_OK) {
        return ATTEMPT_BROKEN;
    }
    if (result->status < 500 || exchange->is_committed) {
        return ATTEMPT_COMPLETE;
    }
    /* Saved for the caller in case all other attempts fail too. */
    service->failed_status = result->status;
    g_strlcpy(service->failed_type, attempt->content_type,
              sizeof(service->failed_type));
    if (service->failed_body != NULL) {
        g_string_free(service->failed_body, TRUE);
    }
    service->failed_body = attempt->buffered_body;
    attempt->buffered_body = NULL;
    return ATTEMPT_BROKEN;
}

static void
on_completed(struct exchange *exchange, struct attempt *attempt)
{
    if (exchange->is_committed) {
        front_stream_end(exchange->request);
        return;
    }
    front_respond(exchange->request, attempt->status,
                  attempt->content_type[0] != '\0'
                      ? attempt->content_type
                      : "application/octet-stream",
                  attempt->buffered_body->str, attempt->buffered_body->len);
}

static void
on_failed(struct exchange *exchange, const struct front_fault *fault,
          const char *text)
{
    struct service *service = (struct service *)exchange;
    struct front_request *request = exchange->request;

    if (exchange->is_committed) {
        front_stream_break(request);
        return;
    }
    if (service->failed_status == 0 || fault->status == 504) {
        front_fail(request, fault, "%s", text);
        return;
    }
    front_add_header(request, "x-cardamompick-ran",
                     base_verdict_name(fault->verdict));
    front_respond(request, service->failed_status, service->failed_type,
                  service->failed_body->str, service->failed_body->len);
}

static const struct exchange_ops EXCHANGE_OPS = {
    on_head, on_body, on_ended, on_completed, on_failed,
};

/* Splits "/services/NAME/rest": copies NAME and returns "/rest", or "/" if
 * nothing follows the name.  A name that is too long is copied as "". */
static const char *
split_path(const char *path, char *name, size_t size)
{
    const char *from = path + strlen("/services/");
    const char *rest = strchr(from, '/');
    size_t length = rest == NULL ? strlen(from) : (size_t)(rest - from);

    if (length >= size) {
        length = 0;
    }
    memcpy(name, from, length);
    name[length] = '\0';
    return rest == NULL ? "/" : rest;
}

/* Returns the path and query to send to the server; the caller frees it. */
static char *
make_upstream_path(const struct front_request *request, const char *rest)
{
    char *escaped = g_uri_escape_string(rest, "/!$&'()*+,;=:@", FALSE);
    char *path = request->query == NULL
                     ? g_strdup(escaped)
                     : g_strconcat(escaped, "?", request->query, NULL);

    g_free(escaped);
    return path;
}

static void
run(struct front_request *request)
{
    static const struct front_fault NO_SERVICE = {
        404, BASE_NOT_RUN, "invalid_request_error", "service_not_found", 0};
    char name[FRONT_NAME_SIZE];
    const char *rest = split_path(request->path, name, sizeof(name));
    int deployment = world_find_service(request->world, name);
    const struct world_route *route;
    struct service *service;

    if (!front_may_use(request, deployment)) {
        front_fail(request, &NO_SERVICE, "service \"%s\" does not exist",
                   name);
        return;
    }
    if (!front_admit(request)) {
        return;
    }
    route = world_find_route(&request->world->deployments[deployment],
                             request->method, rest);
    service = g_new0(struct service, 1);
    exchange_init(&service->exchange, &EXCHANGE_OPS, request, deployment);
    service->exchange.method = request->method;
    service->exchange.path = make_upstream_path(request, rest);
    service->exchange.content_type = request->content_type;
    service->exchange.body = request->body->str;
    service->exchange.body_size = request->body->len;
    service->exchange.choice.is_idempotent =
        route != NULL && route->is_idempotent;
    request->class_name = "short";
    request->state = service;
    exchange_start(&service->exchange);
}

static void
output_drained(struct front_request *request)
{
    struct service *service = request->state;

    if (service != NULL && service->exchange.winner != NULL) {
        backends_resume(&service->exchange.front->backends,
                        service->exchange.winner->call);
    }
}

static void
closed(struct front_request *request)
{
    struct service *service = request->state;

    if (service == NULL) {
        return;
    }
    exchange_finish(&service->exchange);
    if (service->failed_body != NULL) {
        g_string_free(service->failed_body, TRUE);
    }
    g_free(service);
    request->state = NULL;
}

const struct front_handler FRONT_SERVICE = {
    .run = run, .output_drained = output_drained, .closed = closed};
