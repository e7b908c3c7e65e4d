#include "batch/target.h"

#include <string.h>

static bool
find_engine(const struct world *world, const struct batch_line *line,
            struct batch_target *target, struct base_error *err)
{
    const char *model =
        json_string_value(json_object_get(line->body, "model"));

    target->deployment = world_find_model(world, model);
    target->is_engine = true;
    target->is_chat = strcmp(line->url, "/v1/chat/completions") == 0;
    target->is_idempotent = true;
    target->path = line->url;
    if (target->deployment == WORLD_NONE) {
        base_error_set(err, BASE_NOT_FOUND, "unknown model \"%.100s\"", model);
        return false;
    }
    return true;
}

static bool
find_service(const struct world *world, const struct batch_line *line,
             struct batch_target *target, struct base_error *err)
{
    const char *name = line->url + strlen("/services/");
    size_t length = strcspn(name, "/?");
    char *copy = g_strndup(name, length);
    const struct world_route *route;
    char *path;

    target->deployment = world_find_service(world, copy);
    if (target->deployment == WORLD_NONE) {
        base_error_set(err, BASE_NOT_FOUND, "unknown service \"%.100s\"",
                       copy);
        g_free(copy);
        return false;
    }
    g_free(copy);
    target->path = name[length] == '\0' ? "/" : name + length;
    path = g_strndup(target->path, strcspn(target->path, "?"));
    route = world_find_route(&world->deployments[target->deployment],
                             line->method, path);
    target->is_idempotent = route != NULL && route->is_idempotent;
    g_free(path);
    return true;
}

/* Finds an item's deployment.  Fails with BASE_NOT_FOUND or BASE_DENIED if the
 * item names one that does not exist or that the operator may not use.  These
 * are faults of the item, which gets an error result and is not retried. */
bool
batch_target_find(const struct world *world, const char *operator_name,
                  const struct batch_line *line, struct batch_target *target,
                  struct base_error *err)
{
    int operator_index = world_find_operator(world, operator_name);
    bool is_found;

    memset(target, 0, sizeof(*target));
    is_found = g_str_has_prefix(line->url, "/services/")
                   ? find_service(world, line, target, err)
                   : find_engine(world, line, target, err);
    if (!is_found) {
        return false;
    }
    if (operator_index == WORLD_NONE ||
        !world_may_use(world, operator_index, target->deployment)) {
        base_error_set(err, BASE_DENIED,
                       "the operator may not use this deployment");
        return false;
    }
    return true;
}
