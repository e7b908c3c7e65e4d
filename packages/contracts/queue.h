/*
 * queue: online asks that wait at a keeper.  Operators are served by
 * start-time fair queueing after their weights; short asks go before long
 * ones, but a long one that may run is served at least every
 * QUEUE_SHORT_TURNS grants.
 */
#ifndef CARDAMOM_CONTRACTS_QUEUE_H
#define CARDAMOM_CONTRACTS_QUEUE_H

#include "contracts/contracts.h"

enum { QUEUE_SHORTS_PER_LONG = 3 };

struct queue_entry {
    struct contracts_admission admission;
    int64_t since_ms;
    int64_t until_ms;
};

/* One class of one operator's asks. */
struct queue_flow {
    char *operator_name;
    double weight;
    double start; /* virtual time at which its next ask begins */
    GQueue entries;
};

struct queue_class {
    GHashTable *flows;  /* operator's name to struct queue_flow */
    double virtual_now; /* virtual time of the last grant */
    int count;
};

struct queue {
    struct queue_class classes[CONTRACTS_BATCH]; /* short and long */
    int shorts_in_row; /* short asks served while a long one could run */
};

void queue_init(struct queue *queue);
void queue_finish(struct queue *queue);
int queue_count(const struct queue *queue);
void queue_push(struct queue *queue,
                const struct contracts_admission *admission, int64_t now_ms);
struct queue_entry *queue_pop(struct queue *queue, bool may_long,
                              int64_t now_ms);
struct queue_entry *queue_remove(struct queue *queue, const char *holder,
                                 uint64_t ask_id);
void queue_remove_holder(struct queue *queue, const char *holder);
struct queue_entry *queue_pop_expired(struct queue *queue, int64_t now_ms);
double queue_position(const struct queue *queue,
                      const struct contracts_admission *admission);
struct queue_entry *
queue_evict_for(struct queue *queue,
                const struct contracts_admission *admission);
int queue_eligible(const struct queue *queue, int long_room);

#endif
