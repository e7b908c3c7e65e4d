/*
 * site: an installation that another system configures.  Its configuration
 * has routes and services but no servers; the backend servers register
 * themselves.  A world_source decodes the configuration and the registrations
 * from the key-value service, and world_from_site builds a world from both:
 *
 *     struct world_site *site = source->decode_site(text, size, &err);
 *     struct world *world = world_from_site(site, site_zones, n_site_zones,
 *                                           servers, n_servers);
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

/* A service: servers that can serve the same requests. */
struct world_site_service {
    char *name;
    int slots;            /* concurrent requests of a server; 0: unknown */
    int64_t cache_tokens; /* size of a server's prompt cache; 0: unknown */
};

/* One of the services that a route sends requests to, by name. */
struct world_site_split {
    char *service;
    double weight;
};

/* A route; see struct world_ingress for its members. */
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
    bool is_open;
    bool is_resumable;
    int64_t completion_ms;
    int64_t retention_ms;
    int64_t max_waiting_tokens;
};

/* An operator; see struct world_operator for its members. */
struct world_site_operator {
    char *name;
    int priority;
    double requests_per_s;
    double burst;
};

struct world_site {
    int64_t number; /* increases with each configuration */
    bool has_operators;
    struct world_site_operator *operators;
    int n_operators;
    struct world_keyring *keyring; /* NULL: no operators */
    struct world_site_service *services;
    int n_services;
    struct world_site_route *routes;
    int n_routes;
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_ms; /* time limit for receiving a request's header */
    int64_t idle_ms;   /* idle limit of a keep-alive connection */
};

/* A zone of the site, from the node's settings, and its region. */
struct world_site_zone {
    char *zone;
    char *region;
};

/* What a backend server registered about itself. */
struct world_registration {
    char *id;
    char *service;
    char *host; /* an IP address */
    int port;
    char *zone;
    int slots;
    bool is_draining;   /* accepts no new work */
    int64_t started_ms; /* wall clock; 0: unknown */
};

/* Where a site's configuration and registrations are in the key-value service,
 * and how they are decoded. */
struct world_source {
    const char *config_key;
    const char *servers_prefix;
    /* Decodes the value at config_key; NULL on an error.  The caller frees the
     * result. */
    struct world_site *(*decode_site)(const char *text, size_t size,
                                      struct base_error *err);
    /* Decodes an entry below servers_prefix into `out`, which the caller
     * finishes; false on an error. */
    bool (*decode_server)(const char *key, const char *text, size_t size,
                          struct world_registration *out,
                          struct base_error *err);
    /* To retire a host, the site's administration writes the key
     * retire_prefix + host name.  The node on that host stores retired_text at
     * retired_prefix + host name when the host may be switched off. */
    const char *retire_prefix;
    const char *retired_prefix;
    const char *retired_text;
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
