#include "control/control_private.h"

#include <string.h>

enum {
    TOKENS_PER_REQUEST = 1000, /* allows a refill by fractions of a request */
    TICK_MS = 50,              /* interval between refills */
    MS_PER_S = 1000,
    MIN_REQUEST_MS =
        1000, /* shortest interval of an operator's rate requests */
    SHORT_LEASE_MS = 2000, /* term when demand exceeds half the limit */
    LONG_LEASE_MS = 10000,
    REQUEST_TIMEOUT_MS = 1000,
    BURST_S = 2,
    FIRST_BURST = 8, /* requests that an idle node may admit at once */
};

/* An operator's rate limit at this node: a token bucket that refills at this
 * node's share of the limit.  The share is leased from the limiting node. */
struct rate {
    char *name;
    double limit_per_s; /* limit for the whole fleet; 0: no limit */
    int64_t tokens;     /* a request takes TOKENS_PER_REQUEST; atomic */
    int64_t wanted;     /* requests since the last tick; atomic */
    int64_t refused;    /* refused requests since the last tick; atomic */
    double demand_per_s;
    double share_per_s;
    int64_t lease_until_ms;
    int64_t last_request_ms;
    bool is_requesting;
};

/* One node's lease, as the limiting node of the operator records it. */
struct lease {
    double demand_per_s;
    int64_t until_ms;
};

struct control_rates {
    /* Protects by_name; the atomic fields of a rate need no lock. */
    pthread_rwlock_t lock;
    GHashTable *by_name;          /* operator to struct rate */
    GHashTable *leases;           /* operator to (node to struct lease) */
    GHashTable *pending_requests; /* set of struct rate_request */
    int64_t next_tick_ms;
};

static void
free_rate(gpointer data)
{
    struct rate *rate = data;
    g_free(rate->name);
    g_free(rate);
}

/* Creates an empty set of limits. */
struct control_rates *
control_rates_new(void)
{
    struct control_rates *rates = g_new0(struct control_rates, 1);

    pthread_rwlock_init(&rates->lock, NULL);
    rates->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_rate);
    rates->leases = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_destroy);
    rates->pending_requests =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    return rates;
}

/* Frees the set. */
void
control_rates_free(struct control_rates *rates)
{
    g_hash_table_destroy(rates->pending_requests);
    g_hash_table_destroy(rates->leases);
    g_hash_table_destroy(rates->by_name);
    pthread_rwlock_destroy(&rates->lock);
    g_free(rates);
}

static bool
take_tokens(struct rate *rate, int64_t wanted)
{
    int64_t have = __atomic_load_n(&rate->tokens, __ATOMIC_RELAXED);

    while (have >= wanted) {
        if (__atomic_compare_exchange_n(&rate->tokens, &have, have - wanted,
                                        true, __ATOMIC_RELAXED,
                                        __ATOMIC_RELAXED)) {
            return true;
        }
    }
    return false;
}

/* Whether the operator may send `count` requests now; if so, takes them from
 * its share at this node.  True for operators that have no limit or are not
 * known here.  Any thread. */
bool
control_rates_allow(struct control_rates *rates, const char *operator_name,
                    int count)
{
    struct rate *rate;
    bool is_allowed = true;

    pthread_rwlock_rdlock(&rates->lock);
    rate = g_hash_table_lookup(rates->by_name, operator_name);
    if (rate != NULL && rate->limit_per_s > 0) {
        __atomic_fetch_add(&rate->wanted, count, __ATOMIC_RELAXED);
        is_allowed = take_tokens(rate, (int64_t)count * TOKENS_PER_REQUEST);
        if (!is_allowed) {
            __atomic_fetch_add(&rate->refused, count, __ATOMIC_RELAXED);
        }
    }
    pthread_rwlock_unlock(&rates->lock);
    return is_allowed;
}

/* Returns when the operator's next request at this node is expected to be
 * within the limit, in ms from now.  Any thread. */
int64_t
control_rates_retry_ms(struct control_rates *rates, const char *operator_name)
{
    const struct rate *rate;
    double share_per_s = 0;

    pthread_rwlock_rdlock(&rates->lock);
    rate = g_hash_table_lookup(rates->by_name, operator_name);
    if (rate != NULL) {
        share_per_s = rate->share_per_s;
    }
    pthread_rwlock_unlock(&rates->lock);
    return share_per_s > 0 ? (int64_t)(MS_PER_S / share_per_s)
                           : SHORT_LEASE_MS;
}

static int
count_accepting_nodes(const struct members_view *view)
{
    int n_accepting = 0;

    for (int i = 0; i < view->n_nodes; i++) {
        n_accepting += members_accepts_work(&view->nodes[i]) ? 1 : 0;
    }
    return MAX(n_accepting, 1);
}

static int64_t
burst_tokens(const struct rate *rate)
{
    double requests = MAX(rate->share_per_s * BURST_S,
                          MIN(rate->limit_per_s, (double)FIRST_BURST));
    return (int64_t)(MAX(requests, 1.0) * TOKENS_PER_REQUEST);
}

static void
set_limit(struct control_rates *rates, const struct world_operator *config,
          int n_accepting)
{
    struct rate *rate = g_hash_table_lookup(rates->by_name, config->name);

    if (rate == NULL) {
        rate = g_new0(struct rate, 1);
        rate->name = g_strdup(config->name);
        g_hash_table_insert(rates->by_name, rate->name, rate);
    }
    if (rate->limit_per_s != config->requests_per_s) {
        rate->limit_per_s = config->requests_per_s;
        rate->share_per_s = config->requests_per_s / n_accepting;
        rate->lease_until_ms = 0;
        __atomic_store_n(&rate->tokens, burst_tokens(rate), __ATOMIC_RELAXED);
    }
}

static gboolean
is_removed(gpointer key, gpointer value, gpointer world)
{
    return world_find_operator(world, key) == WORLD_NONE;
}

/* Applies the operators and limits of a new configuration. */
void
control_rates_update(struct control *control)
{
    struct control_rates *rates = control->rates;
    int n_accepting = count_accepting_nodes(control->view);

    pthread_rwlock_wrlock(&rates->lock);
    g_hash_table_foreach_remove(rates->by_name, is_removed, control->world);
    for (int i = 0; i < control->world->n_operators; i++) {
        set_limit(rates, &control->world->operators[i], n_accepting);
    }
    pthread_rwlock_unlock(&rates->lock);
}

/* ---- limiting node ---- */

static double
total_demand(GHashTable *leases, int64_t now_ms)
{
    double total = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lease *lease = value;
        if (lease->until_ms <= now_ms) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        total += lease->demand_per_s;
    }
    return total;
}

/* Records the lease of one node and fills in the node's share.  While the
 * total demand of all n leases is within the limit, the share is the node's
 * demand plus 1/(n + 1) of the unused rate.  Otherwise the limit is divided in
 * proportion to demand. */
static void
grant_lease(struct control *control, const char *operator_name,
            const char *node, double demand_per_s, Control__RateAnswer *answer)
{
    int index = world_find_operator(control->world, operator_name);
    double limit = control->world->operators[index].requests_per_s;
    GHashTable *leases =
        g_hash_table_lookup(control->rates->leases, operator_name);
    struct lease *lease;
    double total;

    if (leases == NULL) {
        leases =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(control->rates->leases, g_strdup(operator_name),
                            leases);
    }
    lease = g_new0(struct lease, 1);
    lease->demand_per_s = demand_per_s;
    lease->until_ms = control->now_ms + LONG_LEASE_MS;
    g_hash_table_insert(leases, g_strdup(node), lease);
    total = total_demand(leases, control->now_ms);
    if (total <= limit) {
        double left = limit - total;
        answer->share_per_s =
            demand_per_s + left / (g_hash_table_size(leases) + 1);
    }
    else {
        answer->share_per_s = limit * demand_per_s / total;
    }
    answer->valid_ms = total > limit / 2 ? SHORT_LEASE_MS : LONG_LEASE_MS;
}

/* Handles another node's request for its share of an operator's limit.
 * Invalid requests and unknown operators get no reply. */
void
control_rates_answer(struct control *control, const char *node,
                     const Control__RateAsk *message,
                     const struct wire_return *back)
{
    Control__RateAnswer answer = CONTROL__RATE_ANSWER__INIT;

    if (control->world == NULL || !(message->demand_per_s >= 0) ||
        world_find_operator(control->world, message->operator_name) ==
            WORLD_NONE) {
        return;
    }
    grant_lease(control, message->operator_name, node, message->demand_per_s,
                &answer);
    control_reply(control, back, CONTROL_RATE_ANSWER, &answer.base);
}

/* Returns the node that limits the operator: the one with the highest hash of
 * both names among those that accept work, so that all nodes agree. */
static int
find_limiter(struct control *control, const char *operator_name)
{
    const struct members_view *view = control->view;
    uint64_t seed = base_hash_text(operator_name, 0);
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < view->n_nodes; i++) {
        uint64_t weight = base_hash_text(view->nodes[i].name, seed);
        if (members_accepts_work(&view->nodes[i]) &&
            (best == WORLD_NONE || weight > best_weight)) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/* ---- requesting node ---- */

/* A pending rate request.  It stores the operator's name instead of a pointer
 * to its rate, as the operator may be removed before the answer arrives. */
struct rate_request {
    struct control *control;
    char operator_name[64];
};

static void
apply_share(struct control *control, struct rate *rate, double share_per_s,
            int64_t valid_ms)
{
    rate->is_requesting = false;
    rate->share_per_s = CLAMP(share_per_s, 0, rate->limit_per_s);
    rate->lease_until_ms = control->now_ms + MAX(valid_ms, MIN_REQUEST_MS);
}

static void
on_rate_request_done(void *context, const struct wire_answer *reply)
{
    struct rate_request *request = context;
    struct rate *rate = g_hash_table_lookup(request->control->rates->by_name,
                                            request->operator_name);
    Control__RateAnswer *answer = NULL;

    if (reply->code == BASE_OK && reply->kind == CONTROL_RATE_ANSWER) {
        answer = control__rate_answer__unpack(NULL, reply->size, reply->body);
    }
    if (rate != NULL) {
        /* Without an answer the last share stays in force. */
        rate->is_requesting = false;
        if (answer != NULL && answer->share_per_s >= 0) {
            apply_share(request->control, rate, answer->share_per_s,
                        answer->valid_ms);
        }
    }
    control__rate_answer__free_unpacked(answer, NULL);
    g_hash_table_remove(request->control->rates->pending_requests, request);
}

static void
request_rate_share(struct control *control, struct rate *rate)
{
    int limiter = find_limiter(control, rate->name);
    Control__RateAsk message = CONTROL__RATE_ASK__INIT;
    struct control_bytes bytes;

    rate->last_request_ms = control->now_ms;
    if (limiter == WORLD_NONE) {
        return;
    }
    if (control_is_self(control, limiter)) {
        Control__RateAnswer answer = CONTROL__RATE_ANSWER__INIT;
        grant_lease(control, rate->name, control->node, rate->demand_per_s,
                    &answer);
        apply_share(control, rate, answer.share_per_s, answer.valid_ms);
        return;
    }
    struct rate_request *request = g_new0(struct rate_request, 1);
    request->control = control;
    g_strlcpy(request->operator_name, rate->name,
              sizeof(request->operator_name));
    g_hash_table_add(control->rates->pending_requests, request);
    message.operator_name = rate->name;
    message.demand_per_s = rate->demand_per_s;
    bytes = control_pack(&message.base);
    rate->is_requesting = true;
    wire_request(&control->endpoint,
                 &(struct wire_request_desc){
                     .address = control_node_address(control, limiter),
                     .kind = CONTROL_RATE_ASK,
                     .body = bytes.data,
                     .size = bytes.size,
                     .timeout_ms = REQUEST_TIMEOUT_MS,
                     .is_idempotent = true,
                     .answered = on_rate_request_done,
                     .context = request,
                 });
    g_free(bytes.data);
}

static void
refill(struct rate *rate, double elapsed_s)
{
    int64_t limit = burst_tokens(rate);
    int64_t more =
        (int64_t)(rate->share_per_s * elapsed_s * TOKENS_PER_REQUEST);
    int64_t have = __atomic_load_n(&rate->tokens, __ATOMIC_RELAXED);

    if (have >= limit) {
        return;
    }
    __atomic_fetch_add(&rate->tokens, MIN(more, limit - have),
                       __ATOMIC_RELAXED);
}

static void
tick_rate(struct control *control, struct rate *rate, double elapsed_s)
{
    double wanted =
        (double)__atomic_exchange_n(&rate->wanted, 0, __ATOMIC_RELAXED);
    bool has_refused =
        __atomic_exchange_n(&rate->refused, 0, __ATOMIC_RELAXED) > 0;
    double alpha = MIN(elapsed_s, 1.0);
    bool is_due;

    /* The demand is a moving average over about a second. */
    rate->demand_per_s += alpha * (wanted / elapsed_s - rate->demand_per_s);
    refill(rate, elapsed_s);
    /* Idle operators need no lease; their last share stays in force. */
    is_due = (rate->demand_per_s > 0.1 &&
              control->now_ms >= rate->lease_until_ms) ||
             has_refused;
    if (is_due && !rate->is_requesting &&
        control->now_ms - rate->last_request_ms >= MIN_REQUEST_MS) {
        request_rate_share(control, rate);
    }
}

/* Refills the token buckets and sends the requests for rate shares that are
 * due. */
void
control_rates_tick(struct control *control)
{
    struct control_rates *rates = control->rates;
    int64_t since_ms = control->now_ms - rates->next_tick_ms + TICK_MS;
    double elapsed_s = (double)MIN(since_ms, 1000) / 1000;
    GHashTableIter iter;
    gpointer value;

    if (control->now_ms < rates->next_tick_ms || control->world == NULL) {
        return;
    }
    rates->next_tick_ms = control->now_ms + TICK_MS;
    /* Only this task changes the table, so reading it needs no lock here. */
    g_hash_table_iter_init(&iter, rates->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        if (rate->limit_per_s > 0) {
            tick_rate(control, rate, elapsed_s);
        }
    }
}
