/*
 * Declarations shared by the sources of pools.
 *
 *   pool.c         the queue of a pool, its grants, preemption and load
 *   pool_choice.c  which server of a pool a request goes to
 */
#ifndef CARDAMOM_CONTRACTS_POOL_PRIVATE_H
#define CARDAMOM_CONTRACTS_POOL_PRIVATE_H

#include "contracts/overload.h"
#include "contracts/pool.h"
#include "contracts/queue.h"
#include "contracts/reserve.h"

struct pool_server {
    char name[CONTRACTS_SERVER_SIZE];
    struct contracts_controller *controller; /* not owned */
};

struct contracts_pool {
    GPtrArray *servers; /* of struct pool_server */
    struct queue queue; /* online admission requests */
    GQueue batch;       /* of struct queue_entry, by due time */
    struct overload overload;
    struct reserve reserve;
};

/* A server chosen for a request. */
struct pool_choice {
    const struct pool_server *server; /* NULL: none */
    /* Only if the work of the request is known: when the server, and the best
     * one, would be done with their work; of servers that are full, when their
     * next contract ends. */
    double remaining_ms;
    double best_remaining_ms;
};

struct pool_choice
pool_choose_server(const struct contracts_pool *pool,
                   const struct contracts_admission *admission,
                   int64_t now_ms);
struct pool_choice
pool_choose_queueing_server(const struct contracts_pool *pool,
                            const struct contracts_admission *admission,
                            int n_waiting, int64_t now_ms);
int pool_count_batch(const struct contracts_pool *pool);

#endif
