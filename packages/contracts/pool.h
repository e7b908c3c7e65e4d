/*
 * pool: admits requests to any server of a pool (world.h).  It keeps the queue
 * of the requests that wait, so that a slot that becomes free on any server is
 * granted to the request that needs it most, and batch is only preempted when
 * no server has a free slot.  Each server keeps its own controller, which
 * holds its contracts.
 *
 *     pool = contracts_pool_new(now_ms);
 *     contracts_pool_add(pool, "server", controller);
 *     contracts_pool_admit(pool, &admission, now_ms, out);
 *     ... after each change of a controller: contracts_pool_serve() ...
 *
 * An event of kind CONTRACTS_ANSWER that grants names the server.
 */
#ifndef CARDAMOM_CONTRACTS_POOL_H
#define CARDAMOM_CONTRACTS_POOL_H

#include "contracts/contracts.h"

#ifdef __cplusplus
extern "C" {
#endif

struct contracts_pool;

struct contracts_pool *contracts_pool_new(int64_t now_ms);
void contracts_pool_free(struct contracts_pool *pool);
void contracts_pool_add(struct contracts_pool *pool, const char *server,
                        struct contracts_controller *controller);
int contracts_pool_remove(struct contracts_pool *pool, const char *server);
void contracts_pool_admit(struct contracts_pool *pool,
                          const struct contracts_admission *admission,
                          int64_t now_ms, GArray *out);
void contracts_pool_cancel(struct contracts_pool *pool, const char *holder,
                           uint64_t ask_id, int64_t now_ms, GArray *out);
void contracts_pool_holder_lost(struct contracts_pool *pool,
                                const char *holder, int64_t now_ms,
                                GArray *out);
void contracts_pool_serve(struct contracts_pool *pool, int64_t now_ms,
                          GArray *out);
void contracts_pool_tick(struct contracts_pool *pool, int64_t now_ms,
                         GArray *out);
void contracts_pool_load(const struct contracts_pool *pool,
                         struct contracts_load *load);

#ifdef __cplusplus
}
#endif

#endif
