/*
 * target: finds the deployment to send an item to in the configuration.
 */
#ifndef CARDAMOM_BATCH_TARGET_H
#define CARDAMOM_BATCH_TARGET_H

#include "batch/lines.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

struct batch_target {
    int deployment; /* index of the deployment in the world */
    bool is_engine; /* true: inference engine; false: service */
    bool is_chat;   /* chat completion */
    bool is_idempotent;
    const char *path; /* for the server; points into the line's url */
};

bool batch_target_find(const struct world *world, const char *operator_name,
                       const struct batch_line *line,
                       struct batch_target *target, struct base_error *err);

#ifdef __cplusplus
}
#endif

#endif
