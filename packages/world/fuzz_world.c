/* Parses arbitrary bytes as a configuration document.  The result must be
 * either problems, each with a path and a text, or a world whose references
 * are all valid. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "world/world.h"

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static void
check_deployments(const struct world *world)
{
    for (int i = 0; i < world->n_deployments; i++) {
        const struct world_deployment *deployment = &world->deployments[i];
        require(world_find_deployment(world, deployment->name) == i);
        require(deployment->kind == WORLD_SERVICE ||
                world_find_model(world, deployment->model) == i);
        for (int k = 0; k < deployment->n_servers; k++) {
            require(world->servers[deployment->servers[k]].deployment == i);
        }
        for (int k = 0; k < deployment->n_operators; k++) {
            require(world_may_use(world, deployment->operators[k], i));
        }
        for (int k = 0; k < deployment->n_routes; k++) {
            const struct world_route *route = &deployment->routes[k];
            require(world_find_route(deployment, route->method,
                                     route->prefix) != NULL);
        }
    }
}

static void
check_world(const struct world *world)
{
    unsigned scopes;

    check_deployments(world);
    for (int i = 0; i < world->n_servers; i++) {
        const struct world_server *server = &world->servers[i];
        require(world_find_server(world, server->name) == i);
        require(server->port > 0 && server->slots > 0);
        for (int k = 0; k < world->n_zones; k++) {
            require(world_link_ms(world, server->zone, k) >= 0);
        }
    }
    for (int i = 0; i < world->n_operators; i++) {
        require(world_find_operator(world, world->operators[i].name) == i);
    }
    require(world_find_operator_by_key(world, "", &scopes) == WORLD_NONE ||
            scopes != 0);
}

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer's names */

/* A fixed hash seed of the JSON library makes runs more repeatable. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    json_object_seed(1);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct world_problems problems;

    world_problems_init(&problems);
    struct world *world = world_parse((const char *)data, size, &problems);
    require((world == NULL) == (problems.all->len > 0));
    for (guint i = 0; i < problems.all->len; i++) {
        const struct world_problem *problem = problems.all->pdata[i];
        require(problem->path[0] == '$' && problem->text[0] != '\0');
    }
    if (world != NULL) {
        check_world(world);
        world_unref(world);
    }
    world_problems_finish(&problems);
    return 0;
}

/* NOLINTEND(readability-identifier-naming) */
