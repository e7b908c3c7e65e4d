/*
 * node: one process of the system.  It reads the settings file, starts the
 * tasks, passes each change of the configuration and of the membership to
 * them, and shuts down without interrupting running requests.
 *
 *     struct node_settings settings;
 *     if (!node_settings_load(&settings, "node.json", &err)) { ... }
 *     struct node node;
 *     if (node_start(&node, &settings, &adapter, &err)) {
 *         ... wait for a signal ...
 *         node_drain(&node);
 *     }
 *     node_stop(&node);
 *     node_settings_finish(&settings);
 */
#ifndef CARDAMOM_NODE_H
#define CARDAMOM_NODE_H

#include "base/base.h"
#include "batch/batch.h"
#include "bulk/bulk.h"
#include "control/control.h"
#include "deploy/deploy.h"
#include "front/protocol.h"
#include "front/front.h"
#include "jobs/jobs.h"
#include "platform/dialect.h"
#include "platform/platform.h"
#include "world/site.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings of a site: an installation that takes its configuration from
 * outside this system.  Requests are routed by host and path, and backend
 * servers register themselves. */
struct node_site_settings {
    bool is_set;
    /* Addresses "IP:port" to listen on. */
    char *callers; /* address for requests of callers; NULL: accepts none */
    char *probes; /* address for load balancer probes; NULL: same as callers */
    char *metrics;   /* address for metrics requests; NULL: same as callers */
    bool may_retire; /* operators may have this host emptied */
    bool is_first_start; /* all nodes start for the first time */
    char *jobs; /* address for other nodes' RPCs about jobs; NULL: no jobs are
                   run */
    struct world_site_zone *site_zones;
    int n_site_zones;
    int n_watchers; /* nodes per zone that watch the key-value service; 0: see
                       control.h */
    struct control_rate_tolerance rate_tolerance;
    bool cost_routing;        /* requests are routed by their expected work */
    bool count_earlier_waits; /* see packages/front/deadlines.h */
};

struct node_settings {
    char *name;
    char *zone;
    char *environment;
    char *http_address;
    int http_port;
    char *certificate_file;
    char *key_file;
    char *control;          /* "IP:port" to bind; the same for bulk */
    char *bulk;             /* NULL: the node stores no chunks */
    char *announce_control; /* address that others use; NULL: bound address */
    char *announce_bulk;
    char *source;       /* IP address to connect from; NULL: any */
    char *data_folder;  /* NULL: the node stores no chunks */
    char *trace_folder; /* NULL: no traces */
    char **seeds; /* control addresses of nodes to join; ends with NULL */
    char *public_key_file;
    char *secret_key_file;
    char *peer_keys_file;
    char **kv;           /* key-value service; ends with NULL */
    char *hosts;         /* host list; NULL: none */
    char *weights;       /* weight store; NULL: none */
    int64_t value_bytes; /* limit of a stored value; 0: the client's */
    struct node_site_settings site;
    bool is_naive; /* round robin without admission contracts, as a baseline */
    bool is_runner;    /* the node runs batch items */
    int cpu_milli;     /* processor, thousandths of a core; 0: not known */
    int64_t memory_mb; /* that the process may use */
    int64_t drain_ms;  /* longest wait for running work at shutdown */
    enum base_log_level log_level;
};

/* Reads and checks a settings file.  On failure err names the member, the
 * value found and the values allowed, and the settings must not be finished.
 */
bool node_settings_load(struct node_settings *settings, const char *path,
                        struct base_error *err);
bool node_settings_parse(struct node_settings *settings, const char *text,
                         size_t size, struct base_error *err);
void node_settings_finish(struct node_settings *settings);

/* Bytes of the process's memory for what others may fill. */
struct node_memory {
    int64_t outputs;   /* of the items that run here */
    int64_t inputs;    /* of the jobs that run here, and their results */
    int64_t transfers; /* to and from the key-value service, at one time */
    int64_t bodies;    /* of callers' requests */
};

void node_memory_plan(int64_t memory_mb, struct node_memory *plan);

/* The interfaces to the services around a site; see platform/adapter.h. */
struct node_adapter {
    const struct platform_dialect *store;  /* key-value service */
    const struct world_source *source;     /* configuration */
    const struct front_protocol *protocol; /* callers and backend servers */
};

struct node {
    const struct node_settings *settings;
    const struct node_adapter *adapter; /* only if settings->site.is_set */
    int64_t life;                       /* start of the process, wall ms */
    struct base_counters counters;
    struct base_tracer tracer;
    struct platform *platform;
    struct bulk *bulk;
    struct control *control;
    struct batch *batch;
    struct deploy *deploy;
    struct jobs *jobs;
    struct front *front;
    /* The lock guards the two members below and, while tasks are started or
     * stopped, the pointers to the tasks. */
    pthread_mutex_t lock;
    struct world *world;       /* latest configuration; NULL: none yet */
    struct members_view *view; /* latest membership; NULL: none yet */
};

bool node_start(struct node *node, const struct node_settings *settings,
                const struct node_adapter *adapter, struct base_error *err);
/* Applies the settings that may change while the node runs: the log level. The
 * others need a restart. */
void node_reload(struct node *node, const struct node_settings *settings);
/* Stops accepting work and waits for running work to end.  Returns false if
 * some was still running after drain_ms. */
bool node_drain(struct node *node);
void node_stop(struct node *node);

#ifdef __cplusplus
}
#endif

#endif
