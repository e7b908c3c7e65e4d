/*
 * controller: the admission controller of one server, private to the package.
 *
 *   controller.c            admits online requests, releases contracts, and
 *                           answers
 *   controller_batch.c      grants, renews, preempts and expires batch
 *                           contracts
 *   controller_work.c       the work that is left of contracts
 *   controller_lifecycle.c  makes, rebuilds, drains and frees a controller,
 *                           and has its regular tick
 *
 * circuit.h, queue.h, overload.h, pace.h, reserve.h, stall.h and window.h hold
 * its parts.
 */
#ifndef CARDAMOM_CONTRACTS_CONTROLLER_H
#define CARDAMOM_CONTRACTS_CONTROLLER_H

#include "contracts/circuit.h"
#include "contracts/contracts.h"
#include "contracts/overload.h"
#include "contracts/pace.h"
#include "contracts/queue.h"
#include "contracts/reserve.h"
#include "contracts/stall.h"
#include "contracts/window.h"
#include "work/work.h"

enum { CONTROLLER_DEFAULT_TERM_MS = 2000 };

struct contract {
    uint64_t id;
    char holder[CONTRACTS_HOLDER_SIZE];
    enum contracts_class kind;
    int slots;      /* held, preempted ones too; 1 for online */
    int preempting; /* slots preempted but not yet released */
    int64_t granted_ms;
    int64_t due_ms; /* batch: when its work is due; INT64_MAX: already late or
                       never due */
    int64_t expires_ms;  /* batch: end of the term */
    bool is_provisional; /* granted while rebuilding */
};

struct contracts_controller {
    struct contracts_controller_desc desc;
    struct window window;
    struct reserve reserve;
    struct overload overload;
    struct stall stall;
    struct circuit circuit; /* used by pools */
    struct pace pace;
    /* Contracts whose work is known.  Online and batch have separate ones, as
     * their work is estimated in different ways. */
    struct work_tracker online_work;
    struct work_tracker batch_work;
    struct queue queue;            /* online admission requests */
    GQueue batch_admissions;       /* of struct queue_entry, by due time */
    GHashTable *contracts;         /* id to struct contract */
    uint64_t id_base;              /* upper half of contract numbers */
    uint64_t n_contracts;          /* contract numbers used so far */
    int held[CONTRACTS_N_CLASSES]; /* slots held, by class */
    int preempting; /* batch slots preempted but not yet released */
    int wanted;     /* online requests of a pool that need a slot */
    bool is_leaving;
    int64_t rebuild_until_ms; /* 0: not rebuilding */
    int provisional_held;     /* provisional contracts held */
    struct contracts_controller_stats stats;
};

int controller_online_held(const struct contracts_controller *controller);
int controller_free_slots(const struct contracts_controller *controller);
int controller_long_room(const struct contracts_controller *controller);
int controller_count_eligible(const struct contracts_controller *controller);
struct contract *controller_add(struct contracts_controller *controller,
                                uint64_t id, const char *holder,
                                enum contracts_class kind, int slots,
                                int64_t now_ms);
struct work_tracker *controller_work(struct contracts_controller *controller,
                                     enum contracts_class kind);
void controller_set_slots(struct contracts_controller *controller,
                          struct contract *contract, int slots);
uint64_t controller_next_id(struct contracts_controller *controller);
void controller_answer(struct contracts_controller *controller,
                       const struct contracts_admission *admission,
                       enum contracts_answer answer,
                       const struct contract *contract, int64_t now_ms,
                       GArray *out);
void controller_end_matching(struct contracts_controller *controller,
                             GHRFunc matches, gpointer context);
void controller_serve(struct contracts_controller *controller, int64_t now_ms,
                      GArray *out);

int controller_batch_room(const struct contracts_controller *controller);
void controller_admit_batch(struct contracts_controller *controller,
                            const struct contracts_admission *admission,
                            int64_t now_ms, GArray *out);
void controller_serve_batch(struct contracts_controller *controller,
                            int64_t now_ms, GArray *out);
void controller_preempt_batch(struct contracts_controller *controller,
                              int64_t now_ms, GArray *out);
void controller_expire_batch(struct contracts_controller *controller,
                             int64_t now_ms);

#endif
