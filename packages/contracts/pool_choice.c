#include "contracts/pool_private.h"

#include <string.h>

static bool
is_avoided(const struct contracts_admission *admission,
           const struct pool_server *server)
{
    uint64_t name = base_hash_text(server->name, 0);

    for (int i = 0; i < admission->n_avoid; i++) {
        if (admission->avoid[i] == name) {
            return true;
        }
    }
    return false;
}

/* Returns whether servers that fail are passed over.  If more than half do,
 * the cause is elsewhere, and all are used. */
static bool
passes_over_failing(const struct contracts_pool *pool, int64_t now_ms)
{
    guint n_failing = 0;

    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        n_failing +=
            contracts_controller_is_failing(server->controller, now_ms) ? 1
                                                                        : 0;
    }
    return 2 * n_failing <= pool->servers->len;
}

/* Returns whether a request must not go to a server, whatever its room. */
static bool
is_excluded(const struct pool_server *server,
            const struct contracts_admission *admission, bool skips_failing,
            int64_t now_ms)
{
    return is_avoided(admission, server) ||
           (skips_failing &&
            contracts_controller_is_failing(server->controller, now_ms));
}

/* Chooses the preferred server if it has room, else the one with the most
 * room. */
static struct pool_choice
choose_by_room(const struct contracts_pool *pool,
               const struct contracts_admission *admission, int64_t now_ms)
{
    bool skips_failing = passes_over_failing(pool, now_ms);
    struct pool_choice best = {0};
    int most_room = 0;

    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        int room = contracts_controller_room(server->controller,
                                             admission->class_, now_ms);
        if (room <= 0 ||
            is_excluded(server, admission, skips_failing, now_ms)) {
            continue;
        }
        if (strcmp(server->name, admission->preferred) == 0) {
            return (struct pool_choice){.server = server};
        }
        if (room > most_room) {
            best.server = server;
            most_room = room;
        }
    }
    return best;
}

/* Chooses the server that would be done with its work and the request first,
 * or the preferred one if that takes it longer by at most the work of the
 * request: it may have the prefix of the prompt cached. */
static struct pool_choice
choose_by_work(const struct contracts_pool *pool,
               const struct contracts_admission *admission, int64_t now_ms)
{
    bool skips_failing = passes_over_failing(pool, now_ms);
    double work_ms = (double)admission->work_ms;
    struct pool_choice best = {0};
    struct pool_choice preferred = {0};
    double best_done_ms = 0;
    double preferred_done_ms = 0;

    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        struct pool_choice at = {.server = server};
        double done_ms;
        if (contracts_controller_room(server->controller, admission->class_,
                                      now_ms) <= 0 ||
            is_excluded(server, admission, skips_failing, now_ms)) {
            continue;
        }
        at.remaining_ms = contracts_controller_remaining(server->controller,
                                                         work_ms, now_ms);
        done_ms = at.remaining_ms +
                  work_ms / contracts_controller_speed(server->controller);
        if (best.server == NULL || done_ms < best_done_ms) {
            best = at;
            best_done_ms = done_ms;
        }
        if (strcmp(server->name, admission->preferred) == 0) {
            preferred = at;
            preferred_done_ms = done_ms;
        }
    }
    best.best_remaining_ms = best.remaining_ms;
    preferred.best_remaining_ms = best.remaining_ms;
    return preferred.server != NULL &&
                   preferred_done_ms - best_done_ms <= work_ms
               ? preferred
               : best;
}

/* Chooses a server with room for a request.  Batch goes where there is most
 * room: chosen by work, it took more slots that online requests were about to
 * need. */
struct pool_choice
pool_choose_server(const struct contracts_pool *pool,
                   const struct contracts_admission *admission, int64_t now_ms)
{
    bool has_work =
        admission->work_ms > 0 && admission->class_ != CONTRACTS_BATCH;

    return has_work ? choose_by_work(pool, admission, now_ms)
                    : choose_by_room(pool, admission, now_ms);
}

/* Returns how many batch slots could be preempted, or are being. */
int
pool_count_batch(const struct contracts_pool *pool)
{
    int n_slots = 0;

    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        n_slots += contracts_controller_preemptible(server->controller);
    }
    return n_slots;
}

/* Chooses a server whose window is full of online requests and that may get
 * one more, which it starts as soon as another one ends: the one where that is
 * expected first, if the work of the request is known.  Without the additional
 * request a slot would stay empty from the end of a request until the next one
 * has come through its holder.  Requests for which batch can be preempted wait
 * for that instead; n_waiting is the number of those that wait. */
struct pool_choice
pool_choose_queueing_server(const struct contracts_pool *pool,
                            const struct contracts_admission *admission,
                            int n_waiting, int64_t now_ms)
{
    bool skips_failing = passes_over_failing(pool, now_ms);
    struct pool_choice best = {0};

    if (n_waiting <= pool_count_batch(pool)) {
        return best;
    }
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        struct pool_choice at = {.server = server};
        if (!contracts_controller_may_queue(server->controller) ||
            is_excluded(server, admission, skips_failing, now_ms)) {
            continue;
        }
        if (admission->work_ms <= 0) {
            return at;
        }
        at.remaining_ms = contracts_controller_next_end(
            server->controller, (double)admission->work_ms, now_ms);
        if (best.server == NULL || at.remaining_ms < best.remaining_ms) {
            best = at;
            best.best_remaining_ms = at.remaining_ms;
        }
    }
    return best;
}
