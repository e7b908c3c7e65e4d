/*
 * node: one process of the system.  It reads its settings, starts the tasks,
 * hands them each change of the configuration and of the membership, and
 * stops them in an order that cuts off nothing.
 *
 *     struct node_settings settings;
 *     if (!node_settings_load(&settings, "node.json", &err)) { ... }
 *     struct node node;
 *     if (node_start(&node, &settings, &dialects, &err)) {
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

/* A site with routes by host and path, and servers that register. */
struct node_site_settings {
    bool is_set;
    char *callers;   /* "IP:port" to listen on; NULL: takes no requests */
    char *probes;    /* for the balancer's checks; NULL: with the callers */
    char *metrics;   /* NULL: with the callers */
    bool may_retire; /* the operator may have this machine emptied */
    char *jobs;      /* for other nodes' calls about jobs; NULL: runs none */
    struct world_site_zone *site_zones;
    int n_site_zones;
    int n_watchers; /* of the key-value service, in a zone */
};

struct node_settings {
    char *name;
    char *zone;
    char *environment;
    char *http_address;
    int http_port;
    char *certificate_file;
    char *key_file;
    char *control;
    char *bulk;
    char *announce_control; /* NULL: as bound */
    char *announce_bulk;
    char *source; /* IP number that connections come from */
    char *data_folder;
    char *trace_folder;
    char **seeds;
    char *public_key_file;
    char *secret_key_file;
    char *peer_keys_file;
    char **kv;
    char *hosts;
    char *weights;
    struct node_site_settings site;
    bool is_naive;
    bool is_runner;
    int64_t drain_ms; /* the longest planned stop */
    enum base_log_level log_level;
};

/* Reads and checks a settings file; err names the faulty member. */
bool node_settings_load(struct node_settings *settings, const char *path,
                        struct base_error *err);
bool node_settings_parse(struct node_settings *settings, const char *text,
                         size_t size, struct base_error *err);
void node_settings_finish(struct node_settings *settings);

/* How a site's surroundings speak; see platform/adapter.h. */
struct node_dialects {
    const struct platform_dialect *store;
    const struct world_source *source;
    const struct front_protocol *protocol;
};

struct node {
    const struct node_settings *settings;
    const struct node_dialects *dialects; /* used when settings->site.is_set */
    struct base_counters counters;
    struct base_tracer tracer;
    struct platform *platform;
    struct bulk *bulk;
    struct control *control;
    struct batch *batch;
    struct deploy *deploy;
    struct jobs *jobs;
    struct front *front;
    /* what the tasks were told last; guards the tasks' start, too */
    pthread_mutex_t lock;
    struct world *world;
    struct members_view *view;
};

bool node_start(struct node *node, const struct node_settings *settings,
                const struct node_dialects *dialects, struct base_error *err);
/* Takes over what may change while the node runs: the log level. */
void node_reload(struct node *node, const struct node_settings *settings);
/* Stops taking work and waits until what is running has ended, or the
 * settings' drain_ms are over: then false. */
bool node_drain(struct node *node);
void node_stop(struct node *node);

#ifdef __cplusplus
}
#endif

#endif
