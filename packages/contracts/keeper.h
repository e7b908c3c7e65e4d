/*
 * keeper: the table of one server's contracts, as its modules share it.
 * keeper.c grants and frees, keeper_batch.c decides what batch may hold, and
 * keeper_life.c makes, rebuilds and ends tables.
 */
#ifndef CARDAMOM_CONTRACTS_KEEPER_H
#define CARDAMOM_CONTRACTS_KEEPER_H

#include "contracts/contracts.h"
#include "contracts/overload.h"
#include "contracts/queue.h"
#include "contracts/reserve.h"
#include "contracts/stall.h"
#include "contracts/window.h"

enum { KEEPER_DEFAULT_TERM_MS = 2000 };

struct contract {
    uint64_t id;
    char holder[CONTRACTS_HOLDER_SIZE];
    enum contracts_class kind;
    int slots;    /* held; 1 for online */
    int yielding; /* of the slots: asked back, not yet returned */
    int64_t granted_ms;
    int64_t due_ms;     /* batch: when its work is due; INT64_MAX: late */
    int64_t expires_ms; /* batch: end of the term */
    bool is_cautious;   /* granted before the table was whole */
};

struct contracts_keeper {
    struct contracts_keeper_desc desc;
    struct window window;
    struct reserve reserve;
    struct overload overload;
    struct stall stall;
    struct queue queue;            /* online asks */
    GQueue batch_asks;             /* of struct queue_entry */
    GHashTable *contracts;         /* id to struct contract */
    uint64_t id_base;              /* upper half of this keeper's numbers */
    uint64_t n_contracts;          /* numbers given in this keeper's life */
    int held[CONTRACTS_N_CLASSES]; /* slots */
    int yielding;                  /* slots asked back, not yet returned */
    bool is_leaving;
    int64_t rebuild_until_ms; /* 0: the table is whole */
    int rebuild_grants;       /* held of those since the table was made */
    struct contracts_keeper_stats stats;
};

int keeper_online(const struct contracts_keeper *keeper);
int keeper_free(const struct contracts_keeper *keeper);
int keeper_long_room(const struct contracts_keeper *keeper);
int keeper_waiting(const struct contracts_keeper *keeper);
struct contract *keeper_add(struct contracts_keeper *keeper, uint64_t id,
                            const char *holder, enum contracts_class kind,
                            int slots, int64_t now_ms);
void keeper_set_slots(struct contracts_keeper *keeper,
                      struct contract *contract, int slots);
uint64_t keeper_next_id(struct contracts_keeper *keeper);
void keeper_answer(struct contracts_keeper *keeper,
                   const struct contracts_ask *ask,
                   enum contracts_answer answer,
                   const struct contract *contract, int64_t now_ms,
                   GArray *out);
void keeper_end_all(struct contracts_keeper *keeper, GHRFunc matches,
                    gpointer context);
void keeper_serve(struct contracts_keeper *keeper, int64_t now_ms,
                  GArray *out);

void keeper_ask_batch(struct contracts_keeper *keeper,
                      const struct contracts_ask *ask, int64_t now_ms,
                      GArray *out);
void keeper_serve_batch(struct contracts_keeper *keeper, int64_t now_ms,
                        GArray *out);
void keeper_reclaim(struct contracts_keeper *keeper, GArray *out);
void keeper_expire_batch(struct contracts_keeper *keeper, int64_t now_ms);

#endif
