#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/http_text.h"
#include "deploy/internal.h"

enum {
    READ_TIMEOUT_MS = 1000, /* the state is unknown after it */
    MAX_RESPONSE_BYTES = 1 << 20,
    FIRST_RETRY_MS = 1000,
    MAX_RETRY_DOUBLINGS = 5,
    HOSTS_EVERY_MS = 3000,
};

/* A call to an engine.  It has the names of the deployment and the server, not
 * pointers, because either may be removed before the response arrives. */
struct engine_call {
    struct deploy *deploy;
    char deployment[DEPLOY_NAME_SIZE];
    char server[DEPLOY_NAME_SIZE];
    int64_t requested_ms;
    int64_t fencing;
    enum deploy_order_kind kind; /* orders only */
    GString *body;
    struct base_span span; /* orders only */
};

static struct engine_call *
new_call(const struct deploy_controller *controller,
         const struct deploy_server *server)
{
    struct engine_call *call = g_new0(struct engine_call, 1);

    call->deploy = controller->deploy;
    g_strlcpy(call->deployment, controller->name, sizeof(call->deployment));
    g_strlcpy(call->server, server->name, sizeof(call->server));
    call->requested_ms = base_clock_ms();
    call->body = g_string_new(NULL);
    return call;
}

static void
free_call(struct engine_call *call)
{
    g_string_free(call->body, TRUE);
    g_free(call);
}

static struct deploy_server *
find_call_server(const struct engine_call *call)
{
    struct deploy_controller *controller =
        deploy_find_controller(call->deploy, call->deployment);

    return controller != NULL ? deploy_find_server(controller, call->server)
                              : NULL;
}

static void
on_body(void *context, const char *data, size_t size)
{
    struct engine_call *call = context;

    if (call->body->len + size <= MAX_RESPONSE_BYTES) {
        g_string_append_len(call->body, data, (gssize)size);
    }
}

/* ---- reading the state ---- */

static void
copy_text(const json_t *object, const char *name, char *out)
{
    const char *text = json_string_value(json_object_get(object, name));
    g_strlcpy(out, text != NULL ? text : "", DEPLOY_TEXT_SIZE);
}

static enum deploy_server_state
state_by_name(const char *name)
{
    if (g_strcmp0(name, "ready") == 0) {
        return DEPLOY_READY;
    }
    if (g_strcmp0(name, "loading") == 0) {
        return DEPLOY_LOADING;
    }
    return g_strcmp0(name, "empty") == 0 ? DEPLOY_EMPTY : DEPLOY_UNKNOWN;
}

static char **
copy_adapters(const json_t *list)
{
    GPtrArray *adapters = g_ptr_array_new();

    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *name = json_string_value(json_array_get(list, i));
        if (name != NULL) {
            g_ptr_array_add(adapters, g_strdup(name));
        }
    }
    g_ptr_array_add(adapters, NULL);
    return (char **)g_ptr_array_free(adapters, FALSE);
}

/* Parses an engine's state; the fields about orders stay as they are.  Returns
 * false, with DEPLOY_UNKNOWN, if the text has no known state. */
bool
deploy_parse_state(const char *text, size_t size,
                   struct deploy_observed *observed)
{
    json_t *root = json_loadb(text, size, 0, NULL);

    observed->state =
        state_by_name(json_string_value(json_object_get(root, "state")));
    copy_text(root, "model", observed->model);
    copy_text(root, "version", observed->version);
    g_strfreev(observed->adapters);
    observed->adapters = copy_adapters(json_object_get(root, "adapters"));
    observed->fencing = json_integer_value(json_object_get(root, "fencing"));
    json_decref(root);
    return observed->state != DEPLOY_UNKNOWN;
}

static void
on_state_done(void *context, const struct backends_result *result)
{
    struct engine_call *call = context;
    struct deploy_server *server = find_call_server(call);

    if (server != NULL) {
        server->is_reading = false;
        server->observed.read_ms = call->requested_ms;
        if (!result->is_complete || result->status != 200 ||
            !deploy_parse_state(call->body->str, call->body->len,
                                &server->observed)) {
            server->observed.state = DEPLOY_UNKNOWN;
        }
    }
    free_call(call);
}

/* Requests an engine's state. */
void
deploy_request_state(struct deploy_controller *controller,
                     struct deploy_server *server, int64_t now_ms)
{
    static const struct backends_ops OPS = {NULL, on_body, on_state_done};
    struct engine_call *call = new_call(controller, server);
    struct backends_request request = {
        .ops = &OPS,
        .context = call,
        .host = server->host,
        .port = server->port,
        .method = "GET",
        .path = "/admin/state",
        .deadline_ms = now_ms + READ_TIMEOUT_MS,
    };

    server->is_reading = true;
    if (backends_send(&controller->deploy->backends, &request, NULL)
            .generation == 0) {
        server->is_reading = false;
        server->observed.state = DEPLOY_UNKNOWN;
        free_call(call);
    }
}

/* ---- orders ---- */

enum order_result {
    ORDER_DONE,
    ORDER_OUTDATED, /* the engine refused the fencing number */
    ORDER_REFUSED,
    ORDER_NOT_SENT, /* the engine did not run it */
    ORDER_LOST,     /* it may still take effect */
};

static const char *const RESULT_NAMES[] = {"done", "outdated", "refused",
                                           "not_sent", "lost"};

static enum order_result
classify_result(const struct backends_result *result)
{
    if (result->is_complete && result->status == 200) {
        return ORDER_DONE;
    }
    if (result->is_complete && result->status == 409) {
        return ORDER_OUTDATED;
    }
    if (result->is_complete && result->status >= 400 && result->status < 500) {
        return ORDER_REFUSED;
    }
    return result->verdict == BASE_NOT_RUN ? ORDER_NOT_SENT : ORDER_LOST;
}

static void
record_order(const struct engine_call *call, enum order_result result)
{
    char counter[96];

    snprintf(counter, sizeof(counter),
             "deploy_orders_total{order=\"%s\",result=\"%s\"}",
             deploy_order_name(call->kind), RESULT_NAMES[result]);
    if (call->deploy->counters != NULL) {
        base_counter_add(base_counter(call->deploy->counters, counter), 1);
    }
    base_log(BASE_LOG_NOTICE, "deploy.order",
             "deployment=%s server=%s order=%s fencing=%" PRId64 " result=%s",
             call->deployment, call->server, deploy_order_name(call->kind),
             call->fencing, RESULT_NAMES[result]);
}

static void
end_span(struct engine_call *call, enum order_result result)
{
    call->span.failed = result != ORDER_DONE;
    base_span_attribute(&call->span, "deployment", "%s", call->deployment);
    base_span_attribute(&call->span, "server", "%s", call->server);
    base_span_attribute(&call->span, "result", "%s", RESULT_NAMES[result]);
    base_span_end(&call->span, call->deploy->tracer);
}

static void
apply_result(struct deploy_server *server, enum order_result result,
             int64_t now_ms)
{
    server->observed.is_busy = false;
    server->observed.order_ended_ms = now_ms;
    server->read_due_ms = 0;
    if (result == ORDER_DONE || result == ORDER_LOST) {
        /* The permission may be used up. */
        g_clear_pointer(&server->granted_weights, g_free);
    }
    if (result == ORDER_DONE) {
        server->failures = 0;
        return;
    }
    if (result == ORDER_LOST) {
        server->observed.in_flight_until_ms = now_ms + DEPLOY_MAX_FLIGHT_MS;
    }
    int doublings = MIN(server->failures, MAX_RETRY_DOUBLINGS);
    server->observed.retry_at_ms =
        now_ms + ((int64_t)FIRST_RETRY_MS << doublings);
    server->failures++;
}

static void
on_order_done(void *context, const struct backends_result *result)
{
    struct engine_call *call = context;
    struct deploy_controller *controller =
        deploy_find_controller(call->deploy, call->deployment);
    struct deploy_server *server = find_call_server(call);
    enum order_result outcome = classify_result(result);

    record_order(call, outcome);
    end_span(call, outcome);
    if (server != NULL) {
        apply_result(server, outcome, base_clock_ms());
    }
    if (outcome == ORDER_OUTDATED && controller != NULL &&
        controller->claim.is_held &&
        controller->claim.fencing == call->fencing) {
        deploy_claim_release(controller);
    }
    free_call(call);
}

static char *
encode_order(const struct world_deployment *desired,
             const struct deploy_order *order, int64_t fencing)
{
    char id[17];
    json_t *root;

    base_random_id(id, sizeof(id));
    root = json_pack("{s:s, s:o, s:I, s:s}", "order",
                     deploy_order_name(order->kind), "model",
                     base_json_text(desired->model), "fencing",
                     (json_int_t)fencing, "id", id);
    if (order->kind == DEPLOY_ADAPTER) {
        json_object_set_new(root, "adapter", base_json_text(order->adapter));
    }
    else {
        json_object_set_new(root, "version", base_json_text(desired->version));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
post_order(struct deploy_controller *controller, struct deploy_server *server,
           const struct world_deployment *desired,
           const struct deploy_order *order)
{
    static const struct backends_ops OPS = {NULL, on_body, on_order_done};
    struct engine_call *call = new_call(controller, server);
    char *body = encode_order(desired, order, controller->claim.fencing);
    char traceparent[BASE_TRACEPARENT_SIZE];

    call->kind = order->kind;
    call->fencing = controller->claim.fencing;
    base_span_start(&call->span, "deploy.order", NULL);
    base_traceparent_format(&call->span.context, traceparent);
    const char *const headers[] = {"traceparent", traceparent, NULL};
    struct backends_request request = {
        .ops = &OPS,
        .context = call,
        .host = server->host,
        .port = server->port,
        .method = "POST",
        .path = "/admin/orders",
        .headers = headers,
        .body = body,
        .body_size = strlen(body),
        .deadline_ms = call->requested_ms + DEPLOY_ORDER_TIMEOUT_MS,
    };
    server->observed.is_busy = true;
    if (backends_send(&controller->deploy->backends, &request, NULL)
            .generation == 0) {
        end_span(call, ORDER_NOT_SENT);
        apply_result(server, ORDER_NOT_SENT, call->requested_ms);
        free_call(call);
    }
    free(body);
}

/* ---- the weight store ---- */

struct fetch_context {
    char deployment[DEPLOY_NAME_SIZE];
    char *weights;
};

static char *
weights_name(const struct world_deployment *desired)
{
    return g_strdup_printf("%s\n%s", desired->model, desired->version);
}

static void
on_fetch_done(struct platform_fetch *fetch, void *state)
{
    struct deploy *deploy = state;
    struct fetch_context *context = fetch->context;
    struct deploy_controller *controller =
        deploy_find_controller(deploy, context->deployment);
    struct deploy_server *server =
        controller != NULL ? deploy_find_server(controller, fetch->server)
                           : NULL;
    int64_t now_ms = base_clock_ms();

    deploy->open_calls--;
    if (fetch->status == PLATFORM_FETCH_LATER) {
        deploy->weights_not_before_ms = now_ms + fetch->retry_after_ms;
    }
    if (server != NULL) {
        server->observed.is_busy = false;
        if (fetch->status == PLATFORM_FETCH_GRANTED) {
            g_free(server->granted_weights);
            server->granted_weights = g_strdup(context->weights);
        }
        else if (fetch->status == PLATFORM_FETCH_UNAVAILABLE) {
            server->observed.retry_at_ms = now_ms + FIRST_RETRY_MS;
        }
    }
    g_free(context->weights);
    g_free(context);
    platform_fetch_free(fetch);
}

static void
request_weights(struct deploy_controller *controller,
                struct deploy_server *server,
                const struct world_deployment *desired)
{
    struct deploy *deploy = controller->deploy;
    struct fetch_context *context = g_new0(struct fetch_context, 1);
    struct platform_fetch *fetch =
        platform_fetch_new(desired->model, desired->version, server->name);

    g_strlcpy(context->deployment, controller->name,
              sizeof(context->deployment));
    context->weights = weights_name(desired);
    fetch->context = context;
    server->observed.is_busy = true;
    deploy->open_calls++;
    platform_fetch_send(deploy->platform, fetch, &deploy->task, on_fetch_done);
}

/* Sends an order that is due.  If it loads weights and the weight store has
 * not granted them yet, requests its permission instead.  The order is planned
 * again after the reply, since the servers may have changed by then. */
void
deploy_send_order(struct deploy_controller *controller,
                  struct deploy_server *server,
                  const struct world_deployment *desired,
                  const struct deploy_order *order)
{
    if (deploy_order_loads_weights(order->kind)) {
        char *weights = weights_name(desired);
        bool is_granted = g_strcmp0(server->granted_weights, weights) == 0;
        g_free(weights);
        if (!is_granted) {
            request_weights(controller, server, desired);
            return;
        }
    }
    if (deploy_claim_outlasts_order(&controller->claim, base_clock_ms())) {
        post_order(controller, server, desired, order);
    }
}

/* ---- the host list ---- */

static void
on_hosts_done(struct platform_hosts *hosts, void *state)
{
    struct deploy *deploy = state;

    deploy->open_calls--;
    deploy->is_reading_hosts = false;
    if (!hosts->is_ok) {
        return;
    }
    g_hash_table_remove_all(deploy->leaving);
    for (guint i = 0; i < hosts->hosts->len; i++) {
        const struct platform_host *host = hosts->hosts->pdata[i];
        if (host->is_leaving) {
            g_hash_table_add(deploy->leaving, g_strdup(host->address));
        }
    }
}

/* Requests the host list, at most every HOSTS_EVERY_MS. */
void
deploy_request_hosts(struct deploy *deploy, int64_t now_ms)
{
    if (deploy->is_reading_hosts || now_ms < deploy->hosts_due_ms) {
        return;
    }
    deploy->is_reading_hosts = true;
    deploy->hosts_due_ms = now_ms + HOSTS_EVERY_MS;
    deploy->open_calls++;
    platform_hosts_send(deploy->platform, &deploy->task, NULL, on_hosts_done);
}
