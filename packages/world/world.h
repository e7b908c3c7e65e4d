/*
 * world: a configuration snapshot, parsed from the configuration document of
 * one environment: regions, availability zones, links, operators, deployments
 * and backend servers.
 *
 *     struct world_problems problems;
 *     world_problems_init(&problems);
 *     struct world *world = world_parse(text, length, &problems);
 *     if (world == NULL) { ... each problem has a path and a text ... }
 *     world_problems_finish(&problems);
 *
 * A world is immutable.  Tasks share it by reference count; world_ref and
 * world_unref may be called from any thread.  Objects refer to each other by
 * their index in the world's arrays; WORLD_NONE is no index.
 */
#ifndef CARDAMOM_WORLD_H
#define CARDAMOM_WORLD_H

#include "base/base.h"
#include "world/keyring.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    WORLD_NONE = -1,
    WORLD_FORMAT = 1,
    WORLD_OPERATOR_NAME_SIZE = BASE_NAME_SIZE,
};

struct world_region {
    char *name;
};

struct world_zone {
    char *name;
    int region;
};

/* The network between two different regions.  Inside a region the network is
 * taken as free of delay and limits. */
struct world_link {
    int region_a;
    int region_b;
    double one_way_ms;
    int64_t bytes_per_s; /* bandwidth for this system, in each direction */
};

enum world_scope {
    WORLD_SCOPE_ONLINE = 1,
    WORLD_SCOPE_BATCH = 2,
    WORLD_SCOPE_ADMIN_READ = 4,
    WORLD_SCOPE_ADMIN_TRIAL = 8,
    WORLD_SCOPE_ADMIN_PRODUCTION = 16,
};

struct world_key {
    char sha256[65]; /* lower-case hexadecimal hash of the API key */
    unsigned scopes; /* bits of enum world_scope */
};

struct world_operator {
    char *name;
    struct world_key *keys;
    int n_keys;
    double weight;            /* relative share under contention; default 1 */
    int priority;             /* 0 is the highest */
    double requests_per_s;    /* rate limit; 0: none */
    double burst;             /* requests that may exceed the rate at once */
    int open_requests;        /* limit of concurrent requests; 0: none */
    int64_t batch_items_open; /* limit of unfinished batch items; 0: none */
};

enum world_kind {
    WORLD_ENGINE,  /* inference servers of one model */
    WORLD_SERVICE, /* plain HTTP servers */
};

/* A class of requests to a plain service, by method and path. */
struct world_route {
    char *method; /* "*": any */
    char *prefix; /* path prefix below /services/<name> */
    bool is_idempotent;
};

struct world_deployment {
    char *name; /* for services also in their paths /services/<name>/ */
    enum world_kind kind;
    char *model;     /* the model that callers request; engines only */
    char *version;   /* engines only; may be empty */
    char **adapters; /* NULL-terminated */
    int *operators;  /* operators that may use it; if empty, all may */
    int n_operators;
    struct world_route *routes; /* services only; the first match applies */
    int n_routes;
    double first_token_target_ms;
    double inter_token_target_ms;
    int long_tokens;    /* requests with this many tokens or more are long */
    double long_share;  /* share of a server's window for long requests */
    double batch_share; /* largest share of a server's window for batch */
    bool batch_fills; /* batch may use all slots that online requests leave */
    bool is_pooled;   /* a request may run on any server of a pool */
    double change_share; /* share of the servers that may change at one time */
    int min_ready;       /* servers that must stay ready in a change */
    int64_t cache_tokens; /* size of a server's prompt cache; 0: unknown */
    int *servers;
    int n_servers;
};

/* Whether a route's requests may be repeated. */
enum world_ingress_kind {
    WORLD_INGRESS_SAFE,   /* may run more than once */
    WORLD_INGRESS_UNSAFE, /* at most once */
    WORLD_INGRESS_STREAM, /* at most once, unless the stream is resumable */
    WORLD_INGRESS_BATCH,  /* jobs, whose items run later */
};

/* The share of a route's requests that is sent to one deployment. */
struct world_split {
    int deployment;
    double weight;
};

/* A route by host and path prefix; only sites have them, see site.h. */
struct world_ingress {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    enum world_ingress_kind kind;
    struct world_split *splits;
    int n_splits;
    int64_t timeout_ms;    /* limit for the complete response */
    int64_t target_ms;     /* target time until the first piece; jobs: until
                              acceptance */
    int64_t gap_target_ms; /* target time between two pieces of the response */
    int64_t silence_ms;    /* longest pause in the response */
    /* Servers on which a request may run.  In a job: failures after which an
     * item is given up. */
    int max_attempts;
    int priority;      /* 0 is the highest */
    bool is_open;      /* no API key is needed */
    bool is_resumable; /* another server may continue a stream */
    /* WORLD_INGRESS_BATCH only */
    int64_t completion_ms; /* from submission to the due time of all results */
    int64_t retention_ms;  /* from submission to giving up items; 0: never */
    int64_t max_waiting_tokens; /* sum over items that wait; 0: no limit */
};

struct world_server {
    char *name;
    char *host; /* an IP address */
    int port;
    int zone;
    int deployment;
    int pool;            /* index in the world's pools */
    int slots;           /* largest number of concurrent requests */
    int64_t started_ms;  /* wall clock; 0: unknown */
    bool checks_fencing; /* refuses deployment orders that are outdated */
    bool can_resume;     /* can continue an interrupted response */
};

/* Servers that have one owner, which admits requests to them.  The servers of
 * a pooled deployment in a zone are one pool, or a few; any other server is a
 * pool of its own. */
struct world_pool {
    uint64_t key; /* the same on all nodes */
    int zone;
    int deployment;
    int *servers;
    int n_servers;
};

struct world_limits {
    int64_t body_bytes;
    int64_t header_bytes;
    int64_t header_ms; /* time limit for receiving a header; 0: the default */
    int64_t idle_ms;   /* idle limit of connections; 0: the default */
    int64_t deadline_ms; /* default for requests without a deadline */
    int64_t max_deadline_ms;
    int64_t silence_ms; /* longest pause in a server's response */
    double retry_ratio; /* retries that a token bucket allows per request */
    double hedge_ratio; /* hedges that a token bucket allows per request */
    int max_attempts;   /* largest number of servers tried for one request */
};

struct world_batch {
    int64_t chunk_bytes; /* size of the chunks that files are stored in */
    int64_t file_bytes;  /* largest size of an input file */
    int max_items;       /* largest number of items in one job */
    int shard_items;     /* largest number of items in one shard of a job */
    int item_tries;      /* failed runs without new output before giving up */
    int64_t retention_s; /* time that files are kept after their creation, and
                            jobs after their end */
    int64_t commit_ms;   /* time between group commits of a shard */
    int64_t lease_s;     /* duration of a runner's lease on its shards */
};

struct world {
    int references;    /* atomic */
    char *environment; /* "trial", "production" or "" if not given */
    int64_t revision;  /* number of the stored record; 0: not stored yet */
    char *text;        /* the document, byte for byte; "" on a site */
    struct world_region *regions;
    int n_regions;
    struct world_zone *zones;
    int n_zones;
    struct world_link *links;
    int n_links;
    struct world_operator *operators;
    int n_operators;
    /* Requests need an API key, except on open routes.  Always true for
     * documents. */
    bool has_operators;
    struct world_deployment *deployments;
    int n_deployments;
    struct world_server *servers;
    int n_servers;
    struct world_pool *pools;
    int n_pools;
    struct world_ingress *ingress;
    int n_ingress;
    struct world_limits limits;
    struct world_batch batch;
    GHashTable *keys; /* index of world_find_operator_by_key; documents */
    struct world_keyring *keyring; /* the same; site with operators */
};

enum world_severity {
    WORLD_ERROR,
    WORLD_WARNING, /* it can be used, but hardly as it is meant */
};

struct world_problem {
    enum world_severity severity;
    char *path; /* JSON path, for example $.servers[3].zone */
    char *text;
};

struct world_problems {
    GPtrArray *all; /* of struct world_problem */
};

void world_problems_init(struct world_problems *problems);
void world_problems_finish(struct world_problems *problems);
void world_problems_add(struct world_problems *problems,
                        enum world_severity severity, const char *path,
                        const char *format, ...) G_GNUC_PRINTF(4, 5);
int world_problems_count(const struct world_problems *problems,
                         enum world_severity severity);

struct world *world_parse(const char *text, size_t length,
                          struct world_problems *problems);
void world_check(const struct world *world, struct world_problems *problems);
void world_make_pools(struct world *world);
void world_free_pools(struct world *world);
struct world *world_ref(struct world *world);
void world_unref(struct world *world);

int world_find_zone(const struct world *world, const char *name);
int world_find_operator(const struct world *world, const char *name);
int world_find_operator_by_key(const struct world *world, const char *api_key,
                               unsigned *scopes);
int world_find_deployment(const struct world *world, const char *name);
int world_find_model(const struct world *world, const char *model);
int world_find_service(const struct world *world, const char *name);
int world_find_server(const struct world *world, const char *name);
const struct world_route *
world_find_route(const struct world_deployment *service, const char *method,
                 const char *path);
bool world_may_use(const struct world *world, int operator_index,
                   int deployment);
double world_link_ms(const struct world *world, int zone_a, int zone_b);

#ifdef __cplusplus
}
#endif

#endif
