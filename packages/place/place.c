#include "place/internal.h"

#include <string.h>

/* Capacities of the budgets, in tokens: the largest bursts. */
static const double MAX_RETRY_BURST = 10;
static const double MAX_HEDGE_BURST = 5;

/* Makes a policy; free it with place_free.  Until the first ops->update it
 * chooses no server. */
struct place *
place_new(const struct place_desc *desc)
{
    return desc->is_naive ? place_naive_new(desc) : place_contracts_new(desc);
}

/* Frees a policy; NULL is allowed. */
void
place_free(struct place *place)
{
    if (place != NULL) {
        place->ops->finish(place);
    }
}

/* Initialises the state that both policies share. */
void
place_common_init(struct place_common *common, const struct place_ops *ops,
                  const struct place_desc *desc)
{
    common->place.ops = ops;
    common->is_naive = desc->is_naive;
    common->seed = desc->seed;
    common->retries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    budget_init(&common->hedges, MAX_HEDGE_BURST, 0);
}

/* Frees the contents of the shared state. */
void
place_common_finish(struct place_common *common)
{
    g_hash_table_destroy(common->retries);
    if (common->world != NULL) {
        world_unref(common->world);
    }
}

/* Takes a reference to a changed configuration and drops the old one. */
void
place_common_update(struct place_common *common, struct world *world)
{
    struct world *old = common->world;

    common->world = world_ref(world);
    if (old != NULL) {
        world_unref(old);
    }
}

/* Returns whether the request has tried this server. */
bool
place_was_tried(const struct place_request *request, int server)
{
    for (int i = 0; i < request->n_tried; i++) {
        if (request->tried[i] == server) {
            return true;
        }
    }
    return false;
}

/* Returns the retry budget of an operator and makes it at its first use.
 * Requests without a known operator share one. */
static struct budget *
retry_budget(struct place_common *common, int operator_index, int64_t now_ms)
{
    const char *name =
        operator_index >= 0 && operator_index < common->world->n_operators
            ? common->world->operators[operator_index].name
            : "";
    struct budget *budget = g_hash_table_lookup(common->retries, name);

    if (budget == NULL) {
        budget = g_new0(struct budget, 1);
        budget_init(budget, MAX_RETRY_BURST, now_ms);
        g_hash_table_insert(common->retries, g_strdup(name), budget);
    }
    return budget;
}

/* See the header.  A retry is allowed if the attempt has not run or the
 * request is idempotent, the deadline has not passed, fewer than max_attempts
 * servers were tried and the operator's budget has a token. */
bool
place_may_retry(struct place *place, int operator_index,
                const struct place_request *request, enum base_verdict verdict,
                int64_t now_ms)
{
    struct place_common *common = (struct place_common *)place;

    if (verdict != BASE_NOT_RUN && !request->is_idempotent) {
        return false;
    }
    if (common->world == NULL || now_ms >= request->deadline_ms ||
        request->n_tried >= common->world->limits.max_attempts) {
        return false;
    }
    return budget_take(retry_budget(common, operator_index, now_ms), now_ms);
}

/* See the header.  Only idempotent requests are hedged, and the naive policy
 * never hedges. */
int64_t
place_hedge_after_ms(struct place *place, const struct place_request *request)
{
    const struct place_common *common = (struct place_common *)place;

    if (!request->is_idempotent || common->world == NULL || common->is_naive) {
        return -1;
    }
    return place_contracts_hedge_ms(place, request);
}

/* See the header. */
bool
place_take_hedge(struct place *place, int64_t now_ms)
{
    struct place_common *common = (struct place_common *)place;

    return budget_take(&common->hedges, now_ms);
}

/* See the header. */
void
place_count_request(struct place *place, int operator_index, int64_t now_ms)
{
    struct place_common *common = (struct place_common *)place;

    if (common->world == NULL) {
        return;
    }
    budget_earn(retry_budget(common, operator_index, now_ms),
                common->world->limits.retry_ratio);
    budget_earn(&common->hedges, common->world->limits.hedge_ratio);
}

/* See the header; the naive policy ignores it. */
void
place_report_wait(struct place *place, int server, int64_t waited_us,
                  int64_t now_ms)
{
    const struct place_common *common = (struct place_common *)place;

    if (!common->is_naive) {
        place_contracts_waited(place, server, waited_us, now_ms);
    }
}

/* See the header; the naive policy ignores it. */
void
place_report_first_token(struct place *place, int server,
                         int64_t first_token_us, int64_t now_ms)
{
    const struct place_common *common = (struct place_common *)place;

    if (!common->is_naive) {
        place_contracts_first_token(place, server, first_token_us, now_ms);
    }
}

/* See the header. */
void
place_health(struct place *place, int server, struct place_health *out,
             int64_t now_ms)
{
    const struct place_common *common = (struct place_common *)place;

    *out = (struct place_health){.share = 1};
    if (!common->is_naive) {
        place_contracts_health(place, server, out, now_ms);
    }
}

/* See place/internal.h. */
double
place_draw(const struct place_request *request, uint64_t salt)
{
    uint64_t hash =
        base_hash(&request->request_key, sizeof(request->request_key), salt);

    return (double)(hash >> 11) * 0x1p-53;
}
