/*
 * queue: online admission requests that wait at a controller.  Operators are
 * served by start-time fair queueing with their weights.  Short requests go
 * before long ones, but after QUEUE_SHORTS_PER_LONG short ones in a row a
 * long one that may run is served.
 *
 * Functions that return a struct queue_entry remove it from the queue; the
 * caller frees it with g_free().
 */
#ifndef CARDAMOM_CONTRACTS_QUEUE_H
#define CARDAMOM_CONTRACTS_QUEUE_H

#include "contracts/contracts.h"

enum { QUEUE_SHORTS_PER_LONG = 3 };

struct queue_entry {
    struct contracts_admission admission;
    int64_t since_ms; /* when it was queued */
    int64_t first_ms; /* since_ms less the caller's earlier wait */
    int64_t until_ms; /* when its wait ends */
};

/* The waiting admission requests of one operator in one class. */
struct queue_flow {
    char *operator_name;
    double weight;
    double start; /* virtual start time of its next request */
    GQueue entries;
};

struct queue_class {
    GHashTable *flows;  /* operator's name to struct queue_flow */
    double virtual_now; /* virtual time: start time of the last grant */
    int count;
};

struct queue {
    struct queue_class classes[CONTRACTS_BATCH]; /* short and long */
    int shorts_in_row; /* short requests served in a row while a long one could
                          run */
};

void queue_init(struct queue *queue);
void queue_finish(struct queue *queue);
int queue_count(const struct queue *queue);
void queue_push(struct queue *queue,
                const struct contracts_admission *admission, int64_t now_ms);
struct queue_entry *queue_pop(struct queue *queue, bool may_run_long,
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
int queue_count_eligible(const struct queue *queue, int long_room);

#endif
