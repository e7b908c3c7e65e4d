/*
 * rpc: the task that sends and serves requests about jobs between nodes.  The
 * runner of a job has its results in memory, so other nodes send their reads
 * to the runner instead of the key-value service.
 *
 *     rpc = jobs_rpc_start(&(struct jobs_rpc_desc){...}, &err);
 *     jobs_rpc_send(rpc, address, request, &jobs->task, on_reply);
 *
 * The caller keeps ownership of the request.  Its reply fields are filled in;
 * its status is JOBS_REFUSED when the other node did not reply or does not
 * run the job.
 */
#ifndef CARDAMOM_JOBS_RPC_H
#define CARDAMOM_JOBS_RPC_H

#include "jobs/jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jobs_rpc;

struct jobs_rpc_desc {
    struct jobs *jobs;
    const char *node;
    const char *address; /* "IP:port" to bind */
    const char *source;  /* IP to connect from; NULL: the system's choice */
    const char *public_key_file; /* NULL: no CURVE */
    const char *secret_key_file;
    const char *peer_keys_file;
    struct base_counters *counters;
    /* Texts of submissions of other nodes at one time; further ones are
     * refused. */
    int64_t submission_bytes;
};

struct jobs_rpc *jobs_rpc_start(const struct jobs_rpc_desc *desc,
                                struct base_error *err);
void jobs_rpc_send(struct jobs_rpc *rpc, const char *address,
                   struct jobs_request *request, struct base_task *from,
                   void (*on_done)(struct jobs_request *request,
                                   void *task_state));
void jobs_rpc_stop(struct jobs_rpc *rpc);

#ifdef __cplusplus
}
#endif

#endif
