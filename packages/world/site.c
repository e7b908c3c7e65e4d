#include "world/site.h"

#include <string.h>

/* Values that a site's configuration does not contain. */
enum {
    DEADLINE_MS = 60000, /* the same as the default of documents */
    MAX_DEADLINE_MS = 600000,
    SILENCE_MS = 2400, /* longest pause of a stream that can be resumed */
    /* A site's clients wait for the next piece at least this long, or this
     * many times the targets of the route. */
    CLIENT_SILENCE_MS = 2400,
    SILENCE_PER_TARGET = 4,
    SILENCE_PER_GAP = 8,
    MAX_ATTEMPTS = 4,    /* limit of servers tried, also those that refuse */
    REGION_LINK_MS = 20, /* one-way link delay, from the sites' data sheets */
    TARGET_MS = 380,     /* target time until the first token */
    GAP_TARGET_MS = 300, /* event gap target, from the sites' data sheets */
    LONG_TOKENS = 1 << 20, /* no request counts as long */
};

/* Only requests that did not run or may run twice are retried, so a larger
 * ratio than the document's default is safe. */
static const double RETRY_RATIO = 1.0;
/* Batch may use the whole window: its items are preempted within a few ms,
 * while the latency targets are some 100 ms. */
static const double BATCH_SHARE = 1.0;
/* Under contention, an operator of the highest priority gets this multiple of
 * the share that its rate limit gives it.  Strict precedence would starve the
 * others in a long overload. */
static const double HIGHEST_PRIORITY_FACTOR = 2.0;

/* Frees a site; NULL is allowed. */
void
world_site_free(struct world_site *site)
{
    if (site == NULL) {
        return;
    }
    for (int i = 0; i < site->n_services; i++) {
        g_free(site->services[i].name);
    }
    for (int i = 0; i < site->n_routes; i++) {
        struct world_site_route *route = &site->routes[i];
        for (int s = 0; s < route->n_splits; s++) {
            g_free(route->splits[s].service);
        }
        g_free(route->splits);
        g_free(route->name);
        g_free(route->host);
        g_free(route->prefix);
    }
    for (int i = 0; i < site->n_operators; i++) {
        g_free(site->operators[i].name);
    }
    world_keyring_unref(site->keyring);
    g_free(site->operators);
    g_free(site->services);
    g_free(site->routes);
    g_free(site);
}

/* Frees a registration's contents. */
void
world_registration_finish(struct world_registration *registration)
{
    g_free(registration->id);
    g_free(registration->service);
    g_free(registration->host);
    g_free(registration->zone);
    memset(registration, 0, sizeof(*registration));
}

static int
find_region(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_regions; i++) {
        if (strcmp(world->regions[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

static int
add_region(struct world *world, const char *name)
{
    int found = find_region(world, name);

    if (found != WORLD_NONE) {
        return found;
    }
    world->regions =
        g_renew(struct world_region, world->regions, world->n_regions + 1);
    world->regions[world->n_regions].name = g_strdup(name);
    return world->n_regions++;
}

static int
add_zone(struct world *world, const char *name, const char *region)
{
    int found = world_find_zone(world, name);

    if (found != WORLD_NONE) {
        return found;
    }
    int region_index = add_region(world, region);
    world->zones =
        g_renew(struct world_zone, world->zones, world->n_zones + 1);
    world->zones[world->n_zones].name = g_strdup(name);
    world->zones[world->n_zones].region = region_index;
    return world->n_zones++;
}

static void
add_links(struct world *world)
{
    int n = world->n_regions;

    world->links = g_new0(struct world_link, MAX(n * n, 1));
    for (int a = 0; a < n; a++) {
        for (int b = a + 1; b < n; b++) {
            struct world_link *link = &world->links[world->n_links++];
            link->region_a = a;
            link->region_b = b;
            link->one_way_ms = REGION_LINK_MS;
        }
    }
}

/* Sets a service's latency targets to the lowest ones of its online routes. */
static void
set_targets(struct world_deployment *deployment, const struct world_site *site)
{
    double first_ms = 0;
    double gap_ms = 0;

    for (int i = 0; i < site->n_routes; i++) {
        const struct world_site_route *route = &site->routes[i];
        for (int s = 0; s < route->n_splits; s++) {
            if (route->kind == WORLD_INGRESS_BATCH ||
                strcmp(route->splits[s].service, deployment->name) != 0) {
                continue;
            }
            if (first_ms == 0 || route->target_ms < first_ms) {
                first_ms = (double)route->target_ms;
            }
            if (route->gap_target_ms > 0 &&
                (gap_ms == 0 || route->gap_target_ms < gap_ms)) {
                gap_ms = (double)route->gap_target_ms;
            }
        }
    }
    deployment->first_token_target_ms = first_ms > 0 ? first_ms : TARGET_MS;
    deployment->inter_token_target_ms = gap_ms > 0 ? gap_ms : GAP_TARGET_MS;
}

static void
add_deployments(struct world *world, const struct world_site *site)
{
    world->n_deployments = site->n_services;
    world->deployments =
        g_new0(struct world_deployment, MAX(site->n_services, 1));
    for (int i = 0; i < site->n_services; i++) {
        struct world_deployment *deployment = &world->deployments[i];
        deployment->name = g_strdup(site->services[i].name);
        deployment->kind = WORLD_ENGINE;
        deployment->model = g_strdup("");
        deployment->version = g_strdup("");
        deployment->adapters = g_new0(char *, 1);
        deployment->long_tokens = LONG_TOKENS;
        deployment->long_share = 1.0;
        deployment->batch_share = BATCH_SHARE;
        deployment->batch_fills = true;
        deployment->is_pooled = true;
        deployment->change_share = 1.0;
        deployment->cache_tokens = site->services[i].cache_tokens;
        set_targets(deployment, site);
    }
}

/* An operator's share under contention follows its rate limit, so that a large
 * operator's requests wait no longer than a small one's. */
static void
add_operators(struct world *world, const struct world_site *site)
{
    world->has_operators = site->has_operators;
    world->operators =
        g_new0(struct world_operator, MAX(site->n_operators, 1));
    for (int i = 0; i < site->n_operators; i++) {
        const struct world_site_operator *from = &site->operators[i];
        struct world_operator *to = &world->operators[world->n_operators++];
        to->name = g_strdup(from->name);
        to->priority = from->priority;
        to->requests_per_s = from->requests_per_s;
        to->burst = from->burst;
        to->weight = from->requests_per_s > 0 ? from->requests_per_s : 1;
        if (from->priority == 0) {
            to->weight *= HIGHEST_PRIORITY_FACTOR;
        }
    }
    if (site->keyring != NULL) {
        world->keyring = world_keyring_ref(site->keyring);
    }
}

/* Returns the longest pause in a response of the route.  A stream that can be
 * resumed continues on another server after it.  For any other the pause would
 * end the response, so it lasts as long as its client waits. */
static int64_t
route_silence_ms(const struct world_site_route *route)
{
    if (route->is_resumable && route->kind == WORLD_INGRESS_STREAM) {
        return SILENCE_MS;
    }
    return MAX(CLIENT_SILENCE_MS, MAX(SILENCE_PER_TARGET * route->target_ms,
                                      SILENCE_PER_GAP * route->gap_target_ms));
}

static void
add_route(struct world *world, const struct world_site_route *from)
{
    struct world_ingress *route = &world->ingress[world->n_ingress];

    route->splits = g_new0(struct world_split, MAX(from->n_splits, 1));
    for (int i = 0; i < from->n_splits; i++) {
        int deployment = world_find_deployment(world, from->splits[i].service);
        if (deployment == WORLD_NONE || from->splits[i].weight <= 0) {
            continue;
        }
        route->splits[route->n_splits].deployment = deployment;
        route->splits[route->n_splits].weight = from->splits[i].weight;
        route->n_splits++;
    }
    route->name = g_strdup(from->name);
    route->host = g_strdup(from->host);
    route->prefix = g_strdup(from->prefix);
    route->kind = from->kind;
    route->timeout_ms = from->timeout_ms;
    route->target_ms = from->target_ms;
    route->gap_target_ms = from->gap_target_ms;
    route->silence_ms = route_silence_ms(from);
    route->max_attempts = MAX(from->max_attempts, 1);
    route->priority = from->priority;
    route->is_open = from->is_open;
    route->is_resumable = from->is_resumable;
    route->completion_ms = from->completion_ms;
    route->retention_ms = from->retention_ms;
    route->max_waiting_tokens = from->max_waiting_tokens;
    world->n_ingress++;
}

static void
add_server(struct world *world, const struct world_registration *from)
{
    int deployment = world_find_deployment(world, from->service);
    struct world_deployment *target;
    struct world_server *server;

    if (from->is_draining || deployment == WORLD_NONE) {
        return;
    }
    target = &world->deployments[deployment];
    server = &world->servers[world->n_servers];
    server->name = g_strdup(from->id);
    server->host = g_strdup(from->host);
    server->port = from->port;
    server->zone = add_zone(world, from->zone, from->zone);
    server->deployment = deployment;
    server->slots = MAX(from->slots, 1);
    server->started_ms = from->started_ms;
    server->can_resume = true;
    target->servers = g_renew(int, target->servers, target->n_servers + 1);
    target->servers[target->n_servers++] = world->n_servers++;
}

static void
set_limits(struct world *world, const struct world_site *site)
{
    world->limits.body_bytes = site->body_bytes;
    world->limits.header_bytes = site->header_bytes;
    world->limits.header_ms = site->header_ms;
    world->limits.idle_ms = site->idle_ms;
    world->limits.deadline_ms = DEADLINE_MS;
    world->limits.max_deadline_ms = MAX_DEADLINE_MS;
    world->limits.silence_ms = SILENCE_MS;
    world->limits.retry_ratio = RETRY_RATIO;
    /* Hedging would run a stream on two servers at the same time. */
    world->limits.hedge_ratio = 0;
    world->limits.max_attempts = MAX_ATTEMPTS;
}

/* Builds a world from a site's configuration and its registered servers, and
 * returns one reference.  Draining servers and servers of unknown services are
 * left out. */
struct world *
world_from_site(const struct world_site *site,
                const struct world_site_zone *site_zones, int n_site_zones,
                const struct world_registration *const *servers, int n_servers)
{
    struct world *world = g_new0(struct world, 1);

    world->references = 1;
    world->environment = g_strdup("production");
    world->revision = site->number;
    world->text = g_strdup("");
    for (int i = 0; i < n_site_zones; i++) {
        add_zone(world, site_zones[i].zone, site_zones[i].region);
    }
    add_operators(world, site);
    add_deployments(world, site);
    world->ingress = g_new0(struct world_ingress, MAX(site->n_routes, 1));
    for (int i = 0; i < site->n_routes; i++) {
        add_route(world, &site->routes[i]);
    }
    world->servers = g_new0(struct world_server, MAX(n_servers, 1));
    for (int i = 0; i < n_servers; i++) {
        add_server(world, servers[i]);
    }
    world_make_pools(world);
    add_links(world);
    set_limits(world, site);
    return world;
}

/* Returns the route of this host whose prefix is the longest one that the path
 * begins with, or NULL if there is none. */
const struct world_ingress *
world_find_ingress(const struct world *world, const char *host,
                   const char *path)
{
    const struct world_ingress *best = NULL;
    size_t best_size = 0;

    for (int i = 0; i < world->n_ingress; i++) {
        const struct world_ingress *route = &world->ingress[i];
        size_t size = strlen(route->prefix);
        if (g_ascii_strcasecmp(route->host, host) == 0 &&
            strncmp(path, route->prefix, size) == 0 &&
            (best == NULL || size > best_size)) {
            best = route;
            best_size = size;
        }
    }
    return best;
}

/* Chooses one of a route's deployments by weight; `draw` is a random number in
 * [0, 1).  Returns WORLD_NONE if the route has no deployments. */
int
world_choose_split(const struct world_ingress *ingress, double draw)
{
    double sum = 0;

    for (int i = 0; i < ingress->n_splits; i++) {
        sum += ingress->splits[i].weight;
    }
    for (int i = 0; i < ingress->n_splits; i++) {
        draw -= ingress->splits[i].weight / sum;
        if (draw < 0 || i + 1 == ingress->n_splits) {
            return ingress->splits[i].deployment;
        }
    }
    return WORLD_NONE;
}
