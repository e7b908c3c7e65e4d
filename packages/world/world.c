#include "world/world.h"

#include <sodium.h>
#include <string.h>

#include "world/parse.h"

static void
free_problem(gpointer data)
{
    struct world_problem *problem = data;

    g_free(problem->path);
    g_free(problem->text);
    g_free(problem);
}

/* Prepares an empty list of problems. */
void
world_problems_init(struct world_problems *problems)
{
    problems->all = g_ptr_array_new_with_free_func(free_problem);
}

/* Frees the list and its texts. */
void
world_problems_finish(struct world_problems *problems)
{
    g_ptr_array_free(problems->all, TRUE);
    problems->all = NULL;
}

/* Adds a problem of the value at a JSON path. */
void
world_problems_add(struct world_problems *problems,
                   enum world_severity severity, const char *path,
                   const char *format, ...)
{
    struct world_problem *problem = g_new0(struct world_problem, 1);
    va_list args;

    va_start(args, format);
    problem->text = g_strdup_vprintf(format, args);
    va_end(args);
    problem->severity = severity;
    problem->path = g_strdup(path);
    g_ptr_array_add(problems->all, problem);
}

/* Returns the number of problems of a severity. */
int
world_problems_count(const struct world_problems *problems,
                     enum world_severity severity)
{
    int n = 0;

    for (guint i = 0; i < problems->all->len; i++) {
        const struct world_problem *problem = problems->all->pdata[i];
        n += problem->severity == severity;
    }
    return n;
}

/* Adds a reference and returns the world; any thread. */
struct world *
world_ref(struct world *world)
{
    g_atomic_int_inc(&world->references);
    return world;
}

static void
free_operators(struct world *world)
{
    for (int i = 0; i < world->n_operators; i++) {
        g_free(world->operators[i].name);
        g_free(world->operators[i].keys);
    }
    g_free(world->operators);
}

static void
free_deployment(struct world_deployment *deployment)
{
    for (int i = 0; i < deployment->n_routes; i++) {
        g_free(deployment->routes[i].method);
        g_free(deployment->routes[i].prefix);
    }
    g_free(deployment->routes);
    g_free(deployment->name);
    g_free(deployment->model);
    g_free(deployment->version);
    g_strfreev(deployment->adapters);
    g_free(deployment->operators);
    g_free(deployment->servers);
}

static void
free_ingress(struct world *world)
{
    for (int i = 0; i < world->n_ingress; i++) {
        g_free(world->ingress[i].name);
        g_free(world->ingress[i].host);
        g_free(world->ingress[i].prefix);
        g_free(world->ingress[i].splits);
    }
    g_free(world->ingress);
}

static void
free_topology(struct world *world)
{
    for (int i = 0; i < world->n_regions; i++) {
        g_free(world->regions[i].name);
    }
    for (int i = 0; i < world->n_zones; i++) {
        g_free(world->zones[i].name);
    }
    for (int i = 0; i < world->n_servers; i++) {
        g_free(world->servers[i].name);
        g_free(world->servers[i].host);
    }
    g_free(world->regions);
    g_free(world->zones);
    g_free(world->links);
    g_free(world->servers);
}

/* Releases a reference; the last one frees the world.  Any thread; NULL is
 * allowed. */
void
world_unref(struct world *world)
{
    if (world == NULL || !g_atomic_int_dec_and_test(&world->references)) {
        return;
    }
    free_operators(world);
    for (int i = 0; i < world->n_deployments; i++) {
        free_deployment(&world->deployments[i]);
    }
    g_free(world->deployments);
    world_free_pools(world);
    free_ingress(world);
    free_topology(world);
    if (world->keys != NULL) {
        g_hash_table_destroy(world->keys);
    }
    world_keyring_unref(world->keyring);
    g_free(world->environment);
    g_free(world->text);
    g_free(world);
}

/* Returns the zone of this name, or WORLD_NONE. */
int
world_find_zone(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_zones; i++) {
        if (strcmp(world->zones[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* Returns the operator of this name, or WORLD_NONE. */
int
world_find_operator(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_operators; i++) {
        if (strcmp(world->operators[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* Returns the deployment of this name, of either kind, or WORLD_NONE. */
int
world_find_deployment(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_deployments; i++) {
        if (strcmp(world->deployments[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* Returns the engine deployment that serves this model, or WORLD_NONE. */
int
world_find_model(const struct world *world, const char *model)
{
    for (int i = 0; i < world->n_deployments; i++) {
        const struct world_deployment *deployment = &world->deployments[i];
        if (deployment->kind == WORLD_ENGINE &&
            strcmp(deployment->model, model) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* Returns the plain service of this name, or WORLD_NONE. */
int
world_find_service(const struct world *world, const char *name)
{
    int found = world_find_deployment(world, name);

    if (found == WORLD_NONE ||
        world->deployments[found].kind != WORLD_SERVICE) {
        return WORLD_NONE;
    }
    return found;
}

/* Returns the server of this name, or WORLD_NONE. */
int
world_find_server(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_servers; i++) {
        if (strcmp(world->servers[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* The operator and the scopes of an API key, in the index by hash. */
struct key_entry {
    int operator_index;
    unsigned scopes;
};

/* Builds the index for world_find_operator_by_key, after the document was
 * found valid. */
void
world_index_keys(struct world *world)
{
    world->has_operators = true;
    world->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (int i = 0; i < world->n_operators; i++) {
        for (int k = 0; k < world->operators[i].n_keys; k++) {
            struct world_key *key = &world->operators[i].keys[k];
            struct key_entry *entry = g_new0(struct key_entry, 1);
            entry->operator_index = i;
            entry->scopes = key->scopes;
            g_hash_table_insert(world->keys, key->sha256, entry);
        }
    }
}

static int
find_in_keyring(const struct world *world, const char *api_key,
                unsigned *scopes)
{
    int found = world_keyring_find(world->keyring, api_key);

    *scopes = found == WORLD_NONE ? 0 : WORLD_SCOPE_ONLINE | WORLD_SCOPE_BATCH;
    return found;
}

/* Returns the operator with this API key and sets *scopes to the key's scopes,
 * or WORLD_NONE and 0.  Only hashes of keys are compared, so that the time
 * taken reveals nothing about keys that nearly match. */
int
world_find_operator_by_key(const struct world *world, const char *api_key,
                           unsigned *scopes)
{
    unsigned char hash[crypto_hash_sha256_BYTES];
    char digits[2 * crypto_hash_sha256_BYTES + 1];

    if (world->keyring != NULL) {
        return find_in_keyring(world, api_key, scopes);
    }
    *scopes = 0;
    crypto_hash_sha256(hash, (const unsigned char *)api_key, strlen(api_key));
    sodium_bin2hex(digits, sizeof(digits), hash, sizeof(hash));
    const struct key_entry *entry = g_hash_table_lookup(world->keys, digits);
    if (entry == NULL) {
        return WORLD_NONE;
    }
    *scopes = entry->scopes;
    return entry->operator_index;
}

/* Returns the first route of a service that matches the method and the path
 * below /services/<name>, or NULL; a request without a route is not
 * idempotent. */
const struct world_route *
world_find_route(const struct world_deployment *service, const char *method,
                 const char *path)
{
    for (int i = 0; i < service->n_routes; i++) {
        const struct world_route *route = &service->routes[i];
        bool is_method = strcmp(route->method, "*") == 0 ||
                         strcmp(route->method, method) == 0;
        if (is_method && g_str_has_prefix(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

/* Returns whether the operator may send requests to the deployment. */
bool
world_may_use(const struct world *world, int operator_index, int deployment)
{
    const struct world_deployment *target = &world->deployments[deployment];

    for (int i = 0; i < target->n_operators; i++) {
        if (target->operators[i] == operator_index) {
            return true;
        }
    }
    return target->n_operators == 0;
}

/* Returns the configured one-way latency between two zones in ms: 0 within a
 * region, G_MAXDOUBLE between regions without a link. */
double
world_link_ms(const struct world *world, int zone_a, int zone_b)
{
    int region_a = world->zones[zone_a].region;
    int region_b = world->zones[zone_b].region;

    if (region_a == region_b) {
        return 0;
    }
    for (int i = 0; i < world->n_links; i++) {
        const struct world_link *link = &world->links[i];
        if ((link->region_a == region_a && link->region_b == region_b) ||
            (link->region_a == region_b && link->region_b == region_a)) {
            return link->one_way_ms;
        }
    }
    return G_MAXDOUBLE;
}
