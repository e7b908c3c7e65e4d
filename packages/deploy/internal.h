/*
 * internal: the deploy task's state, shared by its source files:
 *   task.c        the task's loop, start, update and stop
 *   controller.c  the controllers of this node's deployments
 *   plan.c        the decision which orders are due
 *   calls.c       calls to engines, the weight store and the host list
 *   lease.c       the node's lease and the claims under it
 */
#ifndef CARDAMOM_DEPLOY_INTERNAL_H
#define CARDAMOM_DEPLOY_INTERNAL_H

#include <libwebsockets.h>

#include "backends/backends.h"
#include "deploy/deploy.h"
#include "deploy/plan.h"

enum { DEPLOY_NAME_SIZE = 64 };

/* The node's lease in the key-value service.  All claims of the node end with
 * it. */
struct deploy_lease {
    int64_t id;              /* 0: none */
    int64_t valid_until_ms;  /* it does not expire before this */
    int64_t next_renewal_ms; /* or next retry of the grant */
    int64_t last_used_ms;    /* time of the last use by a claim */
    bool is_requesting;      /* a grant or a renewal is under way */
};

/* One engine of a controller's deployment. */
struct deploy_server {
    char name[DEPLOY_NAME_SIZE];
    char *host;
    int port;
    struct deploy_observed observed;
    char *granted_weights; /* "MODEL\nVERSION"; NULL: none granted */
    bool is_reading;       /* a read of its state is under way */
    int64_t read_due_ms;
    int failures;   /* consecutive failed orders */
    bool is_listed; /* mark: in the new configuration */
};

/* The controller of one deployment on this node. */
struct deploy_controller {
    struct deploy *deploy;
    char name[DEPLOY_NAME_SIZE];
    bool is_assigned; /* to this node, by the membership */
    struct deploy_claim claim;
    bool is_claiming;
    int64_t claim_due_ms;
    int64_t last_active_ms; /* when orders were last due or under way */
    enum deploy_plan_status status;
    GPtrArray *servers; /* of struct deploy_server */
};

struct deploy {
    struct base_task task;
    struct lws_context *lws;
    struct backends backends;
    char node[DEPLOY_NAME_SIZE];
    const char *source; /* borrowed; NULL: the system's choice */
    struct platform *platform;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct world *world;       /* NULL until the first update */
    struct members_view *view; /* NULL until the first update */
    struct deploy_lease lease;
    GHashTable *controllers;       /* by name */
    GHashTable *leaving;           /* set of the addresses of leaving hosts */
    int64_t weights_not_before_ms; /* earliest next weight fetch */
    int64_t hosts_due_ms;
    bool is_reading_hosts;
    int open_calls; /* to the platform; replies return to this task */
    lws_sorted_usec_list_t tick;
};

/* lease.c */
void deploy_lease_tick(struct deploy *deploy, int64_t now_ms);
void deploy_lease_revoke(struct deploy *deploy);
void deploy_claim_request(struct deploy_controller *controller,
                          int64_t now_ms);
void deploy_claim_release(struct deploy_controller *controller);

/* controller.c */
void deploy_controllers_update(struct deploy *deploy);
void deploy_controller_tick(struct deploy_controller *controller,
                            int64_t now_ms);
struct deploy_controller *deploy_find_controller(struct deploy *deploy,
                                                 const char *name);
struct deploy_server *deploy_find_server(struct deploy_controller *controller,
                                         const char *name);
void deploy_controller_free(gpointer data);
bool deploy_is_busy(const struct deploy_controller *controller);

/* calls.c */
void deploy_request_state(struct deploy_controller *controller,
                          struct deploy_server *server, int64_t now_ms);
void deploy_send_order(struct deploy_controller *controller,
                       struct deploy_server *server,
                       const struct world_deployment *desired,
                       const struct deploy_order *order);
void deploy_request_hosts(struct deploy *deploy, int64_t now_ms);
bool deploy_parse_state(const char *text, size_t size,
                        struct deploy_observed *observed);

#endif
