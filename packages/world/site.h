/*
 * site: an installation whose operator states routes and services, and whose
 * backend servers register themselves.  It is what a foreign configuration
 * is decoded into, and what a world is made of together with the servers:
 *
 *     struct world_site *site = source->decode_site(text, size, &err);
 *     struct world *world = world_from_site(site, site_zones, n, servers, n);
 *     ...
 *     world_unref(world);
 *     world_site_free(site);
 */
#ifndef CARDAMOM_WORLD_SITE_H
#define CARDAMOM_WORLD_SITE_H

#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A service: servers that take the same requests. */
struct world_site_service {
    char *name;
    int slots;            /* requests that a server runs at once; 0: unknown */
    int64_t cache_tokens; /* a server's memory for prompts; 0: unknown */
};

/* The target of a route, by the service's name. */
struct world_site_split {
    char *service;
    double weight;
};

struct world_site_route {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    enum world_ingress_kind kind;
    struct world_site_split *splits;
    int n_splits;
    int64_t timeout_ms;
    int64_t target_ms;
    int64_t gap_target_ms;
    int max_attempts;
    int priority;
    bool is_resumable;
    int64_t completion_ms;
    int64_t retention_ms;
    int64_t max_waiting_tokens;
};

struct world_site {
    int64_t number; /* grows with each configuration */
    struct world_site_service *services;
    int n_services;
    struct world_site_route *routes;
    int n_routes;
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_ms; /* for a request's head to arrive */
    int64_t idle_ms;   /* a kept connection without a request */
};

/* A zone that the installation's settings name, and its region. */
struct world_site_zone {
    char *zone;
    char *region;
};

/* What a server says of itself. */
struct world_registration {
    char *id;
    char *service;
    char *host; /* an IP number */
    int port;
    char *zone;
    int slots;
    bool is_draining;   /* takes no new work */
    int64_t started_ms; /* wall clock; 0: not known */
};

/* How a foreign configuration and the servers' entries are read. */
struct world_source {
    const char *config_key;
    const char *servers_prefix;
    struct world_site *(*decode_site)(const char *text, size_t size,
                                      struct base_error *err);
    bool (*decode_server)(const char *key, const char *text, size_t size,
                          struct world_registration *out,
                          struct base_error *err);
    /* The operator asks for a machine to be emptied by writing below
     * retire_prefix, and reads the answer below retired_prefix. */
    const char *retire_prefix;
    const char *retired_prefix;
    const char *retired_text; /* the machine holds nothing any more */
};

void world_site_free(struct world_site *site);
void world_registration_finish(struct world_registration *registration);
struct world *world_from_site(const struct world_site *site,
                              const struct world_site_zone *site_zones,
                              int n_site_zones,
                              const struct world_registration *const *servers,
                              int n_servers);
const struct world_ingress *world_find_ingress(const struct world *world,
                                               const char *host,
                                               const char *path);
int world_choose_split(const struct world_ingress *ingress, double draw);

#ifdef __cplusplus
}
#endif

#endif
