#include <string.h>

#include "world/world.h"

/* Warnings about a valid document: entries that can never match, or that
 * nobody can use. */

static bool
is_shadowed_by(const struct world_route *route,
               const struct world_route *first)
{
    return (strcmp(first->method, "*") == 0 ||
            strcmp(first->method, route->method) == 0) &&
           g_str_has_prefix(route->prefix, first->prefix);
}

static void
check_routes(const struct world_deployment *deployment, int index,
             struct world_problems *problems)
{
    for (int i = 0; i < deployment->n_routes; i++) {
        for (int j = 0; j < i; j++) {
            if (is_shadowed_by(&deployment->routes[i],
                               &deployment->routes[j])) {
                char *path =
                    g_strdup_printf("$.deployments[%d].routes[%d]", index, i);
                world_problems_add(problems, WORLD_WARNING, path,
                                   "can never match: routes[%d] matches the "
                                   "same requests first",
                                   j);
                g_free(path);
                break;
            }
        }
    }
}

/* Adds a warning for each entry of a valid document that has no effect. */
void
world_check(const struct world *world, struct world_problems *problems)
{
    for (int i = 0; i < world->n_deployments; i++) {
        const struct world_deployment *deployment = &world->deployments[i];
        char *path = g_strdup_printf("$.deployments[%d]", i);
        if (deployment->n_servers == 0) {
            world_problems_add(problems, WORLD_WARNING, path,
                               "'%s' has no servers", deployment->name);
        }
        g_free(path);
        check_routes(deployment, i, problems);
    }
    for (int i = 0; i < world->n_operators; i++) {
        if (world->operators[i].n_keys == 0) {
            char *path = g_strdup_printf("$.operators[%d]", i);
            world_problems_add(problems, WORLD_WARNING, path,
                               "'%s' has no key: it can send no requests",
                               world->operators[i].name);
            g_free(path);
        }
    }
}
