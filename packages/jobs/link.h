/*
 * link: the task that carries calls about jobs between nodes.  The node that
 * runs a job knows its results, so others ask it and not the key-value
 * service.
 *
 *     link = jobs_link_start(&(struct jobs_link_desc){...}, &err);
 *     jobs_link_ask(link, address, request, &jobs->task, on_answer);
 *
 * The request stays the caller's; its answer is filled in, or its status is
 * JOBS_REFUSED when the other node could not be asked or does not run it.
 */
#ifndef CARDAMOM_JOBS_LINK_H
#define CARDAMOM_JOBS_LINK_H

#include "jobs/jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jobs_link;

struct jobs_link_desc {
    struct jobs *jobs;
    const char *node;
    const char *address; /* "IP:port" to bind */
    const char *source;
    const char *public_key_file; /* NULL: no CURVE */
    const char *secret_key_file;
    const char *peer_keys_file;
    struct base_counters *counters;
};

struct jobs_link *jobs_link_start(const struct jobs_link_desc *desc,
                                  struct base_error *err);
void jobs_link_ask(struct jobs_link *link, const char *address,
                   struct jobs_request *request, struct base_task *from,
                   void (*answered)(struct jobs_request *request,
                                    void *task_state));
void jobs_link_stop(struct jobs_link *link);

#ifdef __cplusplus
}
#endif

#endif
