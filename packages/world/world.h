/*
 * world: the configuration document of one environment, as the objects that
 * it describes: regions, availability zones, links, operators, deployments
 * and backend servers.
 *
 *     struct world_problems problems;
 *     world_problems_init(&problems);
 *     struct world *world = world_parse(text, length, &problems);
 *     if (world == NULL) { ... each problem has a path and a text ... }
 *     world_problems_finish(&problems);
 *
 * A world never changes once parsed.  Tasks share it by reference count;
 * world_ref and world_unref may be called from any thread.  Objects refer to
 * each other by index into the world's arrays; WORLD_NONE names nothing.
 */
#ifndef CARDAMOM_WORLD_H
#define CARDAMOM_WORLD_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { WORLD_NONE = -1, WORLD_FORMAT = 1 };

struct world_region {
    char *name;
};

struct world_zone {
    char *name;
    int region;
};

/* A link joins two different regions; inside a region links are free. */
struct world_link {
    int region_a;
    int region_b;
    double one_way_ms;
    int64_t bytes_per_s; /* the share that the system may use, each way */
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
    unsigned scopes; /* of enum world_scope */
};

struct world_operator {
    char *name;
    struct world_key *keys;
    int n_keys;
    double weight;            /* share under contention, default 1 */
    double requests_per_s;    /* 0: no limit */
    int open_requests;        /* 0: no limit */
    int64_t batch_items_open; /* 0: no limit */
};

enum world_kind {
    WORLD_ENGINE,
    WORLD_SERVICE,
};

/* How requests to a plain service are told apart by method and path. */
struct world_route {
    char *method; /* "*": any */
    char *prefix; /* below /services/<name> */
    bool is_idempotent;
};

struct world_deployment {
    char *name; /* a service's name in /services/<name>/ */
    enum world_kind kind;
    char *model;     /* what callers name; engines only */
    char *version;   /* engines only; may be empty */
    char **adapters; /* NULL-terminated */
    int *operators;  /* who may use it; n_operators == 0: everyone */
    int n_operators;
    struct world_route *routes; /* services only; first match counts */
    int n_routes;
    double first_token_target_ms;
    double inter_token_target_ms;
    int long_tokens;      /* from this many tokens a request is long */
    double long_share;    /* of a server's window, for long requests */
    double batch_share;   /* of a server's window, at most, for batch */
    bool batch_fills;     /* batch may hold every slot that online leaves */
    double change_share;  /* of the servers, changed at one time */
    int min_ready;        /* never fewer ready servers than this */
    int64_t cache_tokens; /* a server's memory for prompts; 0: not known */
    int *servers;
    int n_servers;
};

/* What may be repeated of the requests of a route. */
enum world_ingress_kind {
    WORLD_INGRESS_SAFE,   /* may run more than once */
    WORLD_INGRESS_UNSAFE, /* at most once */
    WORLD_INGRESS_STREAM, /* at most once, unless it may be resumed */
    WORLD_INGRESS_BATCH,  /* jobs of items that run later */
};

/* A part of a route's requests that goes to one deployment. */
struct world_split {
    int deployment;
    double weight;
};

/* A route by host and path, on sites that have them. */
struct world_ingress {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    enum world_ingress_kind kind;
    struct world_split *splits;
    int n_splits;
    int64_t timeout_ms;    /* the longest wait for the whole answer */
    int64_t target_ms;     /* for the first piece; of a job, its acceptance */
    int64_t gap_target_ms; /* between pieces */
    int max_attempts;      /* servers that may run one request */
    int priority;          /* 0 is the highest */
    bool is_resumable;     /* a stream may go on at another server */
    /* batch only */
    int64_t completion_ms;      /* all results are due after this */
    int64_t retention_ms;       /* an item may be given up after this */
    int64_t max_waiting_tokens; /* of accepted items; 0: no limit */
};

struct world_server {
    char *name;
    char *host; /* an IP number */
    int port;
    int zone;
    int deployment;
    int slots; /* the most requests that it runs at once */
    bool checks_fencing;
    bool can_resume;
};

struct world_limits {
    int64_t body_bytes;
    int64_t header_bytes;
    int64_t header_ms;   /* for a request's head to arrive; 0: the default */
    int64_t idle_ms;     /* a kept connection at rest; 0: the default */
    int64_t deadline_ms; /* of a request that names none */
    int64_t max_deadline_ms;
    int64_t silence_ms; /* an open connection without a sign of life */
    double retry_ratio; /* retries per request, by budget */
    double hedge_ratio; /* hedges per request, by budget */
    int max_attempts;
};

struct world_batch {
    int64_t chunk_bytes;
    int64_t file_bytes; /* largest input file */
    int max_items;      /* in one job */
    int shard_items;
    int item_tries;
    int64_t retention_s; /* results are kept this long after the end */
    int64_t commit_ms;   /* time between group commits of a shard */
    int64_t lease_s;     /* of a runner on its shards */
};

struct world {
    int references;    /* atomic */
    char *environment; /* "trial" or "production" */
    int64_t revision;  /* of the record it came from; 0: none yet */
    char *text;        /* the document, as accepted */
    struct world_region *regions;
    int n_regions;
    struct world_zone *zones;
    int n_zones;
    struct world_link *links;
    int n_links;
    struct world_operator *operators;
    int n_operators;
    struct world_deployment *deployments;
    int n_deployments;
    struct world_server *servers;
    int n_servers;
    struct world_ingress *ingress;
    int n_ingress;
    struct world_limits limits;
    struct world_batch batch;
    GHashTable *keys; /* index of world_find_operator_by_key */
};

struct world_problem {
    char *path; /* as in $.servers[3].zone */
    char *text;
};

struct world_problems {
    GPtrArray *all; /* of struct world_problem */
};

void world_problems_init(struct world_problems *problems);
void world_problems_finish(struct world_problems *problems);

struct world *world_parse(const char *text, size_t length,
                          struct world_problems *problems);
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
