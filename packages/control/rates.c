#include "control/control_private.h"

#include <inttypes.h>
#include <string.h>

enum {
    REQUEST_TIMEOUT_MS = 1000,
    /* After so long a lost limiter is tried again.  Members agree within some
     * five seconds that a dead one is dead. */
    LOST_RETRY_MS = 10000,
    /* A longer interval between two rounds of the task is taken for a pause of
     * the process.  The task waits for at most 100 ms. */
    PAUSE_MS = 150,
    MAX_WAIT_MS = 1000,
    RELAY_MS = 400, /* interval at which relays are tried */
    LOG_INTERVAL_MS = 1000,
    /* Nodes that died so recently may be on the other side of a split of the
     * network, still admitting requests. */
    SPLIT_MS = 60000,
};

/* Part of the nodes without which the others grant the whole rates. */
static const double COVERED_SHARE = 0.9;
static const double MINORITY_SHARE = 0.7;
static const double MAX_CREDIT = 1e9;
/* The least fraction on the wire, where 0 stands for all requests. */
static const double MIN_FRACTION = 0.01;

/* An operator's rate limit at this node. */
struct rate {
    char *name;
    pthread_mutex_t lock; /* protects `account` and `n_refused` */
    struct allowance_account account;
    int64_t n_refused; /* since the last log line */
    /* The rest belongs to the control task. */
    int limiter; /* index in the view; WORLD_NONE: no node accepts work */
    char limiter_name[MEMBERS_NAME_SIZE];
    uint64_t choice;  /* the control_rates.choice for which it was chosen */
    int best;         /* the limiter, also while a substitute takes reports */
    bool is_relayed;  /* reports are sent through a relay, see rate_relays.c */
    int relay;        /* the relays tried so far */
    int64_t relay_ms; /* when the last one was tried */
    int64_t next_log_ms;
};

/* The nodes that may be limiters, and the view for which they were found. */
struct candidates {
    uint64_t version;
    int n_accepting;
    int n_dead; /* that accepted work until up to SPLIT_MS ago */
    int most_cpu_milli;
    int n_lost; /* these, and those that are suspected */
    int64_t expires_ms;
};

struct control_rates {
    struct control *control;
    /* Protects by_name, which only the control task changes. */
    pthread_rwlock_t lock;
    GHashTable *by_name;          /* operator to struct rate */
    GHashTable *pending_requests; /* set of struct rate_request */
    GHashTable *lost; /* name of a limiter that does not answer to the time to
                         try it again, int64_t */
    uint64_t choice;  /* changes with the view and with `lost` */
    uint64_t next_instance;
    struct candidates candidates;
    GHashTable *deaths; /* name of a node that has accepted work to the time of
                           its death, int64_t; 0: alive */
    int64_t due_ms;     /* next round, on base_clock_ms; atomic */
    int64_t last_round_ms;
    struct base_counter *admitted;
    struct base_counter *refused;
    struct base_counter *overdrawn;
    struct base_counter *alone;
    struct base_counter *reports;
};

static void
free_rate(gpointer data)
{
    struct rate *rate = data;
    pthread_mutex_destroy(&rate->lock);
    g_free(rate->name);
    g_free(rate);
}

/* Creates an empty set of limits. */
struct control_rates *
control_rates_new(struct control *control)
{
    struct control_rates *rates = g_new0(struct control_rates, 1);
    struct base_counters *counters = control->counters;

    rates->control = control;
    pthread_rwlock_init(&rates->lock, NULL);
    rates->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_rate);
    rates->pending_requests =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    rates->lost =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rates->deaths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rates->due_ms = ALLOWANCE_NEVER;
    rates->next_instance = (uint64_t)base_wall_us();
    rates->admitted = base_counter(counters, "rate_admitted_total");
    rates->refused = base_counter(counters, "rate_refused_total");
    rates->overdrawn = base_counter(counters, "rate_overdrawn_total");
    rates->alone = base_counter(counters, "rate_alone_total");
    rates->reports = base_counter(counters, "rate_reports_total");
    return rates;
}

/* Frees the set. */
void
control_rates_free(struct control_rates *rates)
{
    g_hash_table_destroy(rates->pending_requests);
    g_hash_table_destroy(rates->lost);
    g_hash_table_destroy(rates->deaths);
    g_hash_table_destroy(rates->by_name);
    pthread_rwlock_destroy(&rates->lock);
    g_free(rates);
}

/* ---- decisions; any thread ---- */

/* Makes the next round start at due_ms at the latest. */
static bool
set_due(struct control_rates *rates, int64_t due_ms)
{
    int64_t before = __atomic_load_n(&rates->due_ms, __ATOMIC_RELAXED);

    while (due_ms < before) {
        if (__atomic_compare_exchange_n(&rates->due_ms, &before, due_ms, true,
                                        __ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
            return true;
        }
    }
    return false;
}

static void
count_verdict(struct control_rates *rates, enum allowance_verdict verdict,
              int count)
{
    base_counter_add(verdict == ALLOWANCE_REFUSED ? rates->refused
                                                  : rates->admitted,
                     count);
    if (verdict == ALLOWANCE_OVERDRAWN) {
        base_counter_add(rates->overdrawn, count);
    }
    else if (verdict == ALLOWANCE_ALONE) {
        base_counter_add(rates->alone, count);
    }
}

/* Whether the operator may send `count` requests now; if so, takes them from
 * its account.  True for operators that have no limit or are not known here.
 * Wakes the control task if a report becomes due before its next round.  Any
 * thread. */
bool
control_rates_allow(struct control_rates *rates, const char *operator_name,
                    int count)
{
    enum allowance_verdict verdict;
    struct rate *rate;
    int64_t due_ms;

    pthread_rwlock_rdlock(&rates->lock);
    rate = g_hash_table_lookup(rates->by_name, operator_name);
    if (rate == NULL) {
        pthread_rwlock_unlock(&rates->lock);
        return true;
    }
    pthread_mutex_lock(&rate->lock);
    verdict = allowance_admit(&rate->account, count, base_clock_ms());
    rate->n_refused += verdict == ALLOWANCE_REFUSED ? count : 0;
    due_ms = allowance_due_ms(&rate->account);
    pthread_mutex_unlock(&rate->lock);
    pthread_rwlock_unlock(&rates->lock);
    if (set_due(rates, due_ms)) {
        base_task_wake_fd(&rates->control->task);
    }
    count_verdict(rates, verdict, count);
    return verdict != ALLOWANCE_REFUSED;
}

/* Returns when the operator's next request at this node is expected to be
 * within the limit, in ms from now.  Any thread. */
int64_t
control_rates_retry_ms(struct control_rates *rates, const char *operator_name)
{
    struct rate *rate;
    int64_t retry_ms = 0;

    pthread_rwlock_rdlock(&rates->lock);
    rate = g_hash_table_lookup(rates->by_name, operator_name);
    if (rate != NULL) {
        pthread_mutex_lock(&rate->lock);
        retry_ms = allowance_retry_ms(&rate->account, base_clock_ms());
        pthread_mutex_unlock(&rate->lock);
    }
    pthread_rwlock_unlock(&rates->lock);
    return retry_ms;
}

/* ---- configuration ---- */

static void
set_limit(struct control *control, const struct world_operator *config)
{
    struct control_rates *rates = control->rates;
    struct allowance_limit limit = {config->requests_per_s, config->burst};
    struct rate *rate = g_hash_table_lookup(rates->by_name, config->name);

    if (rate == NULL) {
        rate = g_new0(struct rate, 1);
        rate->name = g_strdup(config->name);
        rate->limiter = WORLD_NONE;
        rate->best = WORLD_NONE;
        pthread_mutex_init(&rate->lock, NULL);
        /* Each account has an instance of its own, since its totals start
         * at 0. */
        allowance_account_init(&rate->account, rates->next_instance++,
                               g_random_double());
        allowance_account_set_nodes(&rate->account,
                                    MAX(control->view->n_nodes, 1), 1);
        g_hash_table_insert(rates->by_name, rate->name, rate);
    }
    pthread_mutex_lock(&rate->lock);
    allowance_account_set_limit(&rate->account, &limit,
                                &control->rate_tolerance, control->now_ms);
    pthread_mutex_unlock(&rate->lock);
}

static gboolean
is_removed(gpointer key, gpointer value, gpointer world)
{
    int index = world_find_operator(world, key);

    return index == WORLD_NONE ||
           ((struct world *)world)->operators[index].requests_per_s <= 0;
}

/* Applies the operators and limits of a new configuration. */
void
control_rates_update(struct control *control)
{
    struct control_rates *rates = control->rates;

    pthread_rwlock_wrlock(&rates->lock);
    g_hash_table_foreach_remove(rates->by_name, is_removed, control->world);
    for (int i = 0; i < control->world->n_operators; i++) {
        if (control->world->operators[i].requests_per_s > 0) {
            set_limit(control, &control->world->operators[i]);
        }
    }
    pthread_rwlock_unlock(&rates->lock);
    control_limiters_update(control);
}

/* ---- choice of the limiter ---- */

/* Returns the time of a node's death, as seen here; 0: it is alive, has left
 * or has not accepted work before. */
static int64_t
death_ms(struct control *control, const struct members_node *node)
{
    GHashTable *deaths = control->rates->deaths;
    int64_t *at_ms = g_hash_table_lookup(deaths, node->name);

    if (members_accepts_work(node)) {
        if (at_ms == NULL) {
            at_ms = g_new(int64_t, 1);
            g_hash_table_insert(deaths, g_strdup(node->name), at_ms);
        }
        *at_ms = 0;
        return 0;
    }
    if (node->state != MEMBERS_DEAD) {
        g_hash_table_remove(deaths, node->name);
        return 0;
    }
    if (at_ms != NULL && *at_ms == 0) {
        *at_ms = control->now_ms;
    }
    return at_ms == NULL ? 0 : *at_ms;
}

static void
count_node(struct control *control, const struct members_node *node,
           struct candidates *found)
{
    int64_t until_ms = death_ms(control, node) + SPLIT_MS;

    if (members_accepts_work(node)) {
        found->n_accepting++;
        found->n_lost += node->state == MEMBERS_SUSPECT;
        found->most_cpu_milli = MAX(found->most_cpu_milli, node->cpu_milli);
    }
    else if (until_ms > SPLIT_MS && until_ms > control->now_ms) {
        found->n_dead++;
        found->n_lost++;
        found->expires_ms = MIN(found->expires_ms, until_ms);
    }
}

static void
find_candidates(struct control *control)
{
    const struct members_view *view = control->view;
    struct control_rates *rates = control->rates;
    struct candidates found = {.version = view->version,
                               .expires_ms = INT64_MAX};
    double before = control_rates_split_share(rates);

    if (rates->candidates.version == view->version && rates->choice > 0 &&
        control->now_ms < rates->candidates.expires_ms) {
        return;
    }
    for (int i = 0; i < view->n_nodes; i++) {
        count_node(control, &view->nodes[i], &found);
    }
    rates->candidates = found;
    rates->choice++;
    if (control_rates_split_share(rates) != before) {
        control_limiters_update(control);
    }
}

/* Returns the part of the rates that the limiters here may grant.  Lost nodes
 * may be on the other side of a split of the network, where they are granted
 * their part.  The tolerance covers a few.  A minority gets less than its
 * part: it may have lost others than the majority has. */
double
control_rates_split_share(const struct control_rates *rates)
{
    int n_lost = rates->candidates.n_lost;
    int n_all = rates->candidates.n_accepting + rates->candidates.n_dead;
    double share =
        n_all == 0 ? 1 : (double)MAX(n_all - n_lost, 1) / (double)n_all;

    if (n_lost <= 1 || share >= COVERED_SHARE) {
        return 1;
    }
    return share < 0.5 ? MINORITY_SHARE * share : share;
}

static bool
is_candidate(const struct candidates *candidates,
             const struct members_node *node)
{
    return members_accepts_work(node) &&
           (candidates->most_cpu_milli == 0 ||
            2 * node->cpu_milli > candidates->most_cpu_milli);
}

/* Returns the candidate with the highest hash of the operator's and its own
 * name, or with the highest but `except`; WORLD_NONE if there is none.  Equal
 * views give the same result on all nodes. */
static int
best_candidate(struct control *control, const char *operator_name, int except)
{
    const struct members_view *view = control->view;
    uint64_t seed = base_hash_text(operator_name, 0);
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < view->n_nodes; i++) {
        uint64_t weight;
        if (i == except ||
            !is_candidate(&control->rates->candidates, &view->nodes[i])) {
            continue;
        }
        weight = base_hash_text(view->nodes[i].name, seed);
        if (best == WORLD_NONE || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/* Whether a node has not answered reports, as a limiter or its substitute. */
bool
control_rates_has_lost(const struct control_rates *rates, const char *node)
{
    return g_hash_table_contains(rates->lost, node);
}

static bool
is_lost(struct control *control, int node)
{
    return node != WORLD_NONE &&
           control_rates_has_lost(control->rates,
                                  control->view->nodes[node].name);
}

/* Returns the operator's limiter, or its substitute while this node gets no
 * answer from it.  The substitute is the next candidate, the same one at all
 * nodes.  If that does not answer either, returns the limiter. */
static int
choose_limiter(struct control *control, const char *operator_name)
{
    int best = best_candidate(control, operator_name, WORLD_NONE);
    int next;

    if (!is_lost(control, best)) {
        return best;
    }
    next = best_candidate(control, operator_name, best);
    return next == WORLD_NONE || is_lost(control, next) ? best : next;
}

/* Returns the node to which reports are due.  A rate whose reports are relayed
 * stays with its limiter, unless that is no longer the operator's. */
static int
choose_reported(struct control *control, struct rate *rate)
{
    const struct members_view *view = control->view;

    rate->best = best_candidate(control, rate->name, WORLD_NONE);
    if (rate->is_relayed && rate->best != WORLD_NONE &&
        strcmp(view->nodes[rate->best].name, rate->limiter_name) == 0) {
        return rate->best;
    }
    rate->is_relayed = false;
    return choose_limiter(control, rate->name);
}

static void
set_limiter(struct control *control, struct rate *rate, int limiter)
{
    const char *name =
        limiter == WORLD_NONE ? "" : control->view->nodes[limiter].name;

    rate->limiter = limiter;
    if (strcmp(name, rate->limiter_name) != 0) {
        g_strlcpy(rate->limiter_name, name, sizeof(rate->limiter_name));
        allowance_account_limiter_changed(&rate->account);
    }
}

/* Chooses the limiter anew if the view or the lost limiters have changed. */
static void
update_limiter(struct control *control, struct rate *rate)
{
    find_candidates(control);
    if (rate->choice == control->rates->choice) {
        return;
    }
    rate->choice = control->rates->choice;
    set_limiter(control, rate, choose_reported(control, rate));
    allowance_account_set_nodes(&rate->account,
                                control->rates->candidates.n_accepting,
                                control_rates_split_share(control->rates));
}

static void
note_lost(struct control *control, const char *limiter)
{
    int64_t *retry_at_ms;

    if (limiter[0] == '\0' ||
        g_hash_table_contains(control->rates->lost, limiter)) {
        return;
    }
    base_log(BASE_LOG_WARNING, "rate.limiter_lost", "limiter=%s", limiter);
    retry_at_ms = g_new(int64_t, 1);
    *retry_at_ms = control->now_ms + LOST_RETRY_MS;
    g_hash_table_insert(control->rates->lost, g_strdup(limiter), retry_at_ms);
    control->rates->choice++;
}

static void
note_found(struct control *control, const char *limiter)
{
    if (g_hash_table_remove(control->rates->lost, limiter)) {
        base_log(BASE_LOG_NOTICE, "rate.limiter_found", "limiter=%s", limiter);
        control->rates->choice++;
    }
}

static gboolean
is_retried(gpointer key, gpointer value, gpointer control)
{
    return *(int64_t *)value <= ((struct control *)control)->now_ms;
}

/* ---- reports ---- */

/* A pending report.  It stores the operator's name instead of a pointer to its
 * rate, as the operator may be removed before the answer arrives. */
struct rate_request {
    struct control *control;
    char operator_name[WORLD_OPERATOR_NAME_SIZE];
    char limiter[MEMBERS_NAME_SIZE];
    bool is_relayed;
    int relay; /* number of the relay, if it was sent through one */
    struct allowance_report report;
};

static bool
read_answer(const Control__RateAnswer *in, struct allowance_answer *out)
{
    if (in == NULL || !control_rate_state_read(in, &out->state) ||
        !(in->credit >= 0) || !((double)in->credit <= MAX_CREDIT) ||
        !(in->part >= 0) || !(in->part <= 1)) {
        return false;
    }
    out->credit = (double)in->credit;
    out->part = (double)in->part;
    return true;
}

/* Sends the next reports on the way on which the limiter has answered. */
static void
note_route(struct control *control, struct rate *rate,
           const struct rate_request *request)
{
    update_limiter(control, rate);
    if (rate->best == WORLD_NONE ||
        strcmp(control->view->nodes[rate->best].name, request->limiter) != 0) {
        return;
    }
    if (!request->is_relayed) {
        rate->is_relayed = false;
    }
    else if (!rate->is_relayed && is_lost(control, rate->best)) {
        rate->is_relayed = true;
        rate->relay = request->relay;
        base_log(BASE_LOG_NOTICE, "rate.limiter_relayed",
                 "operator=%s limiter=%s", rate->name, request->limiter);
    }
    if (rate->is_relayed || !is_lost(control, rate->best)) {
        set_limiter(control, rate, rate->best);
    }
}

static void
apply_answer(struct rate_request *request,
             const struct allowance_answer *answer)
{
    struct control *control = request->control;
    struct rate *rate =
        g_hash_table_lookup(control->rates->by_name, request->operator_name);

    if (!request->is_relayed) {
        note_found(control, request->limiter);
    }
    if (rate == NULL || rate->account.instance != request->report.instance) {
        return;
    }
    pthread_mutex_lock(&rate->lock);
    note_route(control, rate, request);
    allowance_answered(&rate->account, &request->report, answer,
                       control->now_ms);
    pthread_mutex_unlock(&rate->lock);
}

static void
on_report_answered(void *context, const struct wire_answer *reply)
{
    struct rate_request *request = context;
    struct allowance_answer answer;
    Control__RateAnswer *message = NULL;

    if (reply->code == BASE_OK && reply->kind == CONTROL_RATE_ANSWER) {
        message = control__rate_answer__unpack(NULL, reply->size, reply->body);
    }
    if (read_answer(message, &answer)) {
        apply_answer(request, &answer);
    }
    control__rate_answer__free_unpacked(message, NULL);
    g_hash_table_remove(request->control->rates->pending_requests, request);
}

/* Sends a report to the limiter, or through a relay if there is one. */
static void
send_report(struct control *control, struct rate *rate, int limiter, int relay,
            const struct allowance_report *report)
{
    int to = relay == WORLD_NONE ? limiter : relay;
    struct rate_request *request = g_new0(struct rate_request, 1);
    Control__RateAsk message = CONTROL__RATE_ASK__INIT;
    struct control_bytes bytes;

    request->control = control;
    request->report = *report;
    g_strlcpy(request->operator_name, rate->name,
              sizeof(request->operator_name));
    g_strlcpy(request->limiter, control->view->nodes[limiter].name,
              sizeof(request->limiter));
    request->is_relayed = relay != WORLD_NONE;
    request->relay = rate->relay;
    g_hash_table_add(control->rates->pending_requests, request);
    message.operator_name = rate->name;
    message.instance = report->instance;
    message.total = report->total;
    message.unacknowledged = report->unacknowledged;
    message.seen = report->seen;
    message.fraction =
        report->fraction < 1 ? (float)MAX(report->fraction, MIN_FRACTION) : 0;
    bytes = control_pack(&message.base);
    wire_request(&control->endpoint,
                 &(struct wire_request_desc){
                     .address = control_node_address(control, to),
                     .kind = relay == WORLD_NONE ? CONTROL_RATE_ASK
                                                 : CONTROL_RATE_RELAY,
                     .body = bytes.data,
                     .size = bytes.size,
                     .timeout_ms = REQUEST_TIMEOUT_MS,
                     .is_idempotent = true,
                     .answered = on_report_answered,
                     .context = request,
                 });
    g_free(bytes.data);
}

/* Sends a report on its way.  A limiter that answers through a relay is tried
 * directly when it is due to be tried again. */
static void
send_on_way(struct control *control, struct rate *rate,
            const struct allowance_report *report)
{
    int relay = rate->is_relayed
                    ? control_rate_relay_choose(control, rate->relay)
                    : WORLD_NONE;

    if (relay != WORLD_NONE) {
        send_report(control, rate, rate->limiter, relay, report);
        if (is_lost(control, rate->limiter)) {
            return;
        }
        note_lost(control, rate->limiter_name);
    }
    send_report(control, rate, rate->limiter, WORLD_NONE, report);
}

/* Sends a report through a relay, too, while the limiter does not answer. */
static void
try_relay(struct control *control, struct rate *rate,
          const struct allowance_report *report)
{
    int relay;

    if (rate->is_relayed || !is_lost(control, rate->best) ||
        control->now_ms - rate->relay_ms < RELAY_MS) {
        return;
    }
    rate->relay++;
    rate->relay_ms = control->now_ms;
    relay = control_rate_relay_choose(control, rate->relay);
    if (relay != WORLD_NONE) {
        send_report(control, rate, rate->best, relay, report);
    }
}

/* Finds the node to which to report after the last one has not answered. */
static void
leave_limiter(struct control *control, struct rate *rate)
{
    if (rate->is_relayed) {
        rate->is_relayed = false;
        rate->choice = 0;
    }
    note_lost(control, rate->limiter_name);
}

/* Reports to the operator's limiter, or directly if that is this node. */
static void
report(struct control *control, struct rate *rate)
{
    struct allowance_report out;
    struct allowance_answer answer;

    base_counter_add(control->rates->reports, 1);
    pthread_mutex_lock(&rate->lock);
    if (allowance_is_alone(&rate->account, control->now_ms)) {
        leave_limiter(control, rate);
    }
    update_limiter(control, rate);
    allowance_report(&rate->account, control->now_ms, &out);
    pthread_mutex_unlock(&rate->lock);
    if (rate->limiter == WORLD_NONE) {
        return;
    }
    try_relay(control, rate, &out);
    if (!control_is_self(control, rate->limiter)) {
        send_on_way(control, rate, &out);
        return;
    }
    control_limiter_report(control, rate->name, control->node, &out, &answer);
    pthread_mutex_lock(&rate->lock);
    allowance_answered(&rate->account, &out, &answer, control->now_ms);
    pthread_mutex_unlock(&rate->lock);
}

static void
log_refusals(struct control *control, struct rate *rate)
{
    int64_t n_refused;

    pthread_mutex_lock(&rate->lock);
    n_refused = rate->n_refused;
    rate->n_refused = control->now_ms < rate->next_log_ms ? n_refused : 0;
    pthread_mutex_unlock(&rate->lock);
    if (n_refused > 0 && control->now_ms >= rate->next_log_ms) {
        base_log(BASE_LOG_NOTICE, "rate.refused",
                 "operator=%s requests=%" PRId64, rate->name, n_refused);
        rate->next_log_ms = control->now_ms + LOG_INTERVAL_MS;
    }
}

static int64_t
lock_and_get_due(struct rate *rate)
{
    int64_t due_ms;

    pthread_mutex_lock(&rate->lock);
    due_ms = allowance_due_ms(&rate->account);
    pthread_mutex_unlock(&rate->lock);
    return due_ms;
}

/* After a pause of the process, a report without an answer says nothing of the
 * limiter: reports it again instead. */
static void
forgive_pause(struct control *control)
{
    struct control_rates *rates = control->rates;
    int64_t since_ms = control->now_ms - rates->last_round_ms;
    GHashTableIter iter;
    gpointer value;

    rates->last_round_ms = control->now_ms;
    if (since_ms <= PAUSE_MS) {
        return;
    }
    g_hash_table_iter_init(&iter, rates->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        pthread_mutex_lock(&rate->lock);
        allowance_account_limiter_changed(&rate->account);
        set_due(rates, allowance_due_ms(&rate->account));
        pthread_mutex_unlock(&rate->lock);
    }
}

/* Sends the reports and notices that are due.  Only this task changes the
 * table, so reading it needs no lock here. */
static void
run_round(struct control *control)
{
    struct control_rates *rates = control->rates;
    GHashTableIter iter;
    gpointer value;

    __atomic_store_n(&rates->due_ms, ALLOWANCE_NEVER, __ATOMIC_RELAXED);
    find_candidates(control);
    if (g_hash_table_foreach_remove(rates->lost, is_retried, control) > 0) {
        rates->choice++;
    }
    g_hash_table_iter_init(&iter, rates->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        if (lock_and_get_due(rate) <= control->now_ms) {
            report(control, rate);
            log_refusals(control, rate);
        }
        set_due(rates, lock_and_get_due(rate));
    }
    set_due(rates, control_limiters_tick(control));
}

/* Sends the reports and notices that are due; returns in how many ms to call
 * it again at the latest. */
int
control_rates_tick(struct control *control)
{
    struct control_rates *rates = control->rates;
    int64_t due_ms;

    if (control->world == NULL) {
        return MAX_WAIT_MS;
    }
    forgive_pause(control);
    if (__atomic_load_n(&rates->due_ms, __ATOMIC_RELAXED) <= control->now_ms) {
        run_round(control);
    }
    due_ms = __atomic_load_n(&rates->due_ms, __ATOMIC_RELAXED);
    return (int)CLAMP(due_ms - control->now_ms, 1, MAX_WAIT_MS);
}

/* Reports what has not been reported yet, before the node leaves. */
void
control_rates_leave(struct control *control)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->rates->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        if (lock_and_get_due(rate) != ALLOWANCE_NEVER) {
            report(control, rate);
        }
    }
}

/* ---- messages ---- */

/* Applies the state of an operator's limiter to this node's account. */
void
control_rates_notice(struct control_rates *rates, const char *operator_name,
                     const struct allowance_state *state, int64_t now_ms)
{
    struct rate *rate = g_hash_table_lookup(rates->by_name, operator_name);

    if (rate != NULL) {
        pthread_mutex_lock(&rate->lock);
        allowance_noticed(&rate->account, state, now_ms);
        pthread_mutex_unlock(&rate->lock);
    }
}

static bool
has_limit(struct control *control, const char *operator_name)
{
    int index = world_find_operator(control->world, operator_name);

    return index != WORLD_NONE &&
           control->world->operators[index].requests_per_s > 0;
}

/* Answers for an operator that has no limit in the configuration known here.
 * The sender's configuration may be newer; without an answer it would take
 * this node for lost. */
static void
answer_unlimited(struct control *control, struct allowance_answer *out)
{
    *out = (struct allowance_answer){
        .state = {.stamp_ms = control->now_ms, .fraction = 1},
    };
}

static void
answer_report(struct control *control, const struct wire_message *message,
              const Control__RateAsk *in)
{
    const char *node = in->node[0] == '\0' ? message->sender : in->node;
    const struct allowance_report reported = {
        .instance = in->instance,
        .total = in->total,
        .unacknowledged = in->unacknowledged,
        .seen = in->seen,
        .fraction = in->fraction > 0 ? (double)in->fraction : 1,
    };
    Control__RateAnswer out = CONTROL__RATE_ANSWER__INIT;
    struct allowance_answer answer;

    if (has_limit(control, in->operator_name)) {
        control_limiter_report(control, in->operator_name, node, &reported,
                               &answer);
    }
    else {
        answer_unlimited(control, &answer);
    }
    control_rate_state_fill(&answer.state, &out);
    out.credit = (float)answer.credit;
    out.part = (float)answer.part;
    control_reply(control, &message->from, CONTROL_RATE_ANSWER, &out.base);
}

static Control__RateAsk *
read_report(const struct wire_message *message)
{
    Control__RateAsk *report =
        control__rate_ask__unpack(NULL, message->size, message->body);

    if (report != NULL &&
        (report->unacknowledged > report->total ||
         report->total > report->seen ||
         !control_is_valid_text(report->operator_name,
                                WORLD_OPERATOR_NAME_SIZE) ||
         !control_is_valid_text(report->node, MEMBERS_NAME_SIZE))) {
        control__rate_ask__free_unpacked(report, NULL);
        return NULL;
    }
    return report;
}

/* Handles a node's report to a limiter.  Without a configuration it gets no
 * answer, so that the node tries another limiter.  False if malformed. */
bool
control_rates_receive_report(struct control *control,
                             const struct wire_message *message)
{
    Control__RateAsk *report = read_report(message);

    if (report != NULL && control->world != NULL) {
        answer_report(control, message, report);
    }
    control__rate_ask__free_unpacked(report, NULL);
    return report != NULL;
}

/* Handles a report that a node sends through this one.  It gets no answer if
 * the limiter does not answer this node either.  False if malformed. */
bool
control_rates_receive_relay(struct control *control,
                            const struct wire_message *message)
{
    Control__RateAsk *report = read_report(message);
    int limiter;

    if (report != NULL && control->world != NULL) {
        find_candidates(control);
        limiter = best_candidate(control, report->operator_name, WORLD_NONE);
        if (control_is_self(control, limiter)) {
            answer_report(control, message, report);
        }
        else if (limiter != WORLD_NONE && !is_lost(control, limiter)) {
            control_rate_relay_forward(control, message->sender, report,
                                       limiter, &message->from);
        }
    }
    control__rate_ask__free_unpacked(report, NULL);
    return report != NULL;
}

/* ---- state ---- */

/* Returns an array of struct control_rate_info, for the caller to unreference.
 */
GArray *
control_rates_describe(struct control *control)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct control_rate_info));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->rates->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        struct control_rate_info info = {
            .operator_name = rate->name,
            .limiter = rate->limiter_name,
            .is_relayed = rate->is_relayed,
            .is_substituted = rate->limiter != rate->best,
        };
        pthread_mutex_lock(&rate->lock);
        info.is_alone = rate->account.is_alone;
        info.per_s = rate->account.limit.per_s;
        info.fraction = control->now_ms < rate->account.low_until_ms
                            ? rate->account.fraction
                            : 1;
        pthread_mutex_unlock(&rate->lock);
        g_array_append_val(out, info);
    }
    return out;
}
