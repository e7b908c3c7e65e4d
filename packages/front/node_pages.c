#include "front/front_private.h"

#include <string.h>

static void
run_health(struct front_request *request)
{
    front_respond(request, 200, "text/plain", "ok\n", 3);
}

/* The readiness check: the node is ready if it has a configuration and is not
 * draining. */
static void
run_ready(struct front_request *request)
{
    struct front *front = request->front;
    const char *why = NULL;

    if (g_atomic_int_get(&front->is_draining)) {
        why = "draining\n";
    }
    else if (front->world == NULL || !control_is_ready(front->control)) {
        why = "no configuration yet\n";
    }
    if (why != NULL) {
        front_respond(request, 503, "text/plain", why, strlen(why));
        return;
    }
    front_respond(request, 200, "text/plain", "ready\n", 6);
}

static void
run_metrics(struct front_request *request)
{
    GString *text = g_string_new(NULL);

    base_counters_render(request->front->metrics.counters, text);
    front_respond(request, 200, "text/plain; version=0.0.4", text->str,
                  text->len);
    g_string_free(text, TRUE);
}

/* Lists the models that the caller's operator may use. */
static void
run_models(struct front_request *request)
{
    const struct world *world = request->world;
    json_t *data = json_array();
    json_t *answer;
    char *text;

    for (int i = 0; i < world->n_deployments; i++) {
        const struct world_deployment *deployment = &world->deployments[i];
        if (deployment->kind == WORLD_ENGINE &&
            world_may_use(world, request->operator_index, i)) {
            json_array_append_new(
                data, json_pack("{s:s,s:s,s:i,s:s}", "id", deployment->model,
                                "object", "model", "created", 0, "owned_by",
                                deployment->name));
        }
    }
    answer = json_pack("{s:s,s:o}", "object", "list", "data", data);
    text = json_dumps(answer, JSON_COMPACT);
    front_respond(request, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(answer);
}

const struct front_handler FRONT_HEALTH = {.run = run_health};
const struct front_handler FRONT_READY = {.run = run_ready};
const struct front_handler FRONT_METRICS = {.run = run_metrics};
const struct front_handler FRONT_MODELS = {.run = run_models};
