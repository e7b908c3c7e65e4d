/*
 * internal: state that both policies share (the current configuration and the
 * budgets of retries and hedges), and the functions of the two policies that
 * place.c calls.
 */
#ifndef CARDAMOM_PLACE_INTERNAL_H
#define CARDAMOM_PLACE_INTERNAL_H

#include "place/budget.h"
#include "place/place.h"

/* The first member of every policy's state. */
struct place_common {
    struct place place;
    bool is_naive;
    struct world *world; /* NULL until the first update */
    uint64_t seed;
    GHashTable *retries; /* operator's name to struct budget */
    struct budget hedges;
};

void place_common_init(struct place_common *common,
                       const struct place_ops *ops,
                       const struct place_desc *desc);
void place_common_finish(struct place_common *common);
void place_common_update(struct place_common *common, struct world *world);
bool place_was_tried(const struct place_request *request, int server);

struct place *place_naive_new(const struct place_desc *desc);
struct place *place_contracts_new(const struct place_desc *desc);
int64_t place_contracts_hedge_ms(struct place *place,
                                 const struct place_request *request);
void place_contracts_waited(struct place *place, int server, int64_t waited_us,
                            int64_t now_ms);
void place_contracts_first_token(struct place *place, int server,
                                 int64_t first_token_us, int64_t now_ms);
void place_contracts_health(struct place *place, int server,
                            struct place_health *out, int64_t now_ms);
/* Returns a pseudorandom number in [0, 1), always the same for one request
 * and salt. */
double place_draw(const struct place_request *request, uint64_t salt);

#endif
