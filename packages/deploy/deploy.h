/*
 * deploy: the deployment controllers, which order engines to load the models,
 * versions and adapters of the configuration.  The task runs on every node.
 * A deployment has one controller, on the node that a hash of the membership
 * selects.  As nodes may differ in their view of the membership, a controller
 * sends orders only while it has the deployment's claim: a record in the
 * key-value service that ends with the node's lease.  The revision of that
 * record is the fencing number in the orders.
 *
 *     struct deploy *deploy = deploy_start(&desc, &err);
 *     deploy_update(deploy, world, view);  // whenever either changes
 *     deploy_stop(deploy);                 // before platform_stop
 */
#ifndef CARDAMOM_DEPLOY_H
#define CARDAMOM_DEPLOY_H

#include "base/base.h"
#include "control/control.h"
#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

struct deploy;

struct deploy_desc {
    const char *node;
    const char *zone;
    const char *source; /* IP to connect from; NULL: the system's choice;
                           borrowed until deploy_stop */
    struct platform *platform;
    struct control *control;
    struct base_counters *counters;
    struct base_tracer *tracer;
};

struct deploy *deploy_start(const struct deploy_desc *desc,
                            struct base_error *err);
void deploy_update(struct deploy *deploy, struct world *world,
                   struct members_view *view);
void deploy_stop(struct deploy *deploy);

#ifdef __cplusplus
}
#endif

#endif
