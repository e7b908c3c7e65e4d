#include "control/control_private.h"

#include <math.h>
#include <string.h>

enum {
    /* Up to so many nodes are notified without relays. */
    MAX_DIRECT = 16,
    LOW_TICK_MS = 50,
    MAX_VALID_MS = 10000,
    MAX_RETRY_MS = 60000,
};

static void
free_limiter(gpointer data)
{
    allowance_limiter_finish(data);
    g_free(data);
}

/* Creates an empty table of buckets. */
GHashTable *
control_limiters_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 free_limiter);
}

/* Fills in the fields of a message that describe a limiter's state. */
void
control_rate_state_fill(const struct allowance_state *state,
                        Control__RateAnswer *out)
{
    out->limiter = state->limiter;
    out->stamp_ms = state->stamp_ms;
    out->fraction = (float)state->fraction;
    out->is_low = state->fraction < 1;
    out->valid_ms = state->valid_ms;
    out->retry_ms = state->retry_ms;
}

/* Reads a limiter's state from a message; false if a value is out of range. */
bool
control_rate_state_read(const Control__RateAnswer *in,
                        struct allowance_state *out)
{
    *out = (struct allowance_state){
        .limiter = in->limiter,
        .stamp_ms = in->stamp_ms,
        .fraction = in->is_low ? (double)in->fraction : 1,
        .valid_ms = in->valid_ms,
        .retry_ms = in->retry_ms,
    };
    return out->fraction >= 0 && out->fraction <= 1 && in->valid_ms >= 0 &&
           in->valid_ms <= MAX_VALID_MS && in->retry_ms >= 0 &&
           in->retry_ms <= MAX_RETRY_MS;
}

static void
send_notice(struct control *control, const struct members_node *to,
            const struct members_node *first, const struct members_node *last,
            Control__RateNotice *notice)
{
    notice->relay_first = first == NULL ? "" : (char *)first->name;
    notice->relay_last = last == NULL ? "" : (char *)last->name;
    control_send(control, to->control_address, CONTROL_RATE_NOTICE,
                 &notice->base, 0);
}

static GPtrArray *
notice_receivers(struct control *control)
{
    GPtrArray *receivers = g_ptr_array_new();

    for (int i = 0; i < control->view->n_nodes; i++) {
        struct members_node *node = &control->view->nodes[i];
        if (members_accepts_work(node) && !control_is_self(control, i)) {
            g_ptr_array_add(receivers, node);
        }
    }
    return receivers;
}

/* Sends a notice to all nodes that accept work.  In a large fleet one node of
 * each of about sqrt(n) groups relays it, so that no node sends more than some
 * 20 messages.  The relays are the same for all operators, since a first
 * message waits for a connection; every other notice has other relays, as one
 * may be lost. */
static void
broadcast(struct control *control, Control__RateNotice *notice)
{
    GPtrArray *receivers = notice_receivers(control);
    guint group = receivers->len <= MAX_DIRECT
                      ? 1
                      : (guint)ceil(sqrt((double)receivers->len));

    for (guint i = 0; i < receivers->len; i += group) {
        guint end = MIN(i + group, receivers->len);
        guint relay = i + control->n_rate_notices % 2 % (end - i);
        bool is_alone = end - i == 1;
        send_notice(control, receivers->pdata[relay],
                    is_alone ? NULL : receivers->pdata[i],
                    is_alone ? NULL : receivers->pdata[end - 1], notice);
    }
    control->n_rate_notices++;
    g_ptr_array_free(receivers, TRUE);
}

static void
notify_if_due(struct control *control, const char *operator_name,
              struct allowance_limiter *limiter)
{
    Control__RateNotice notice = CONTROL__RATE_NOTICE__INIT;
    Control__RateAnswer answer = CONTROL__RATE_ANSWER__INIT;
    struct allowance_state state;

    if (!allowance_limiter_notice(limiter, control->now_ms, &state)) {
        return;
    }
    control_rate_state_fill(&state, &answer);
    notice.operator_name = (char *)operator_name;
    notice.state = &answer;
    broadcast(control, &notice);
    control_rates_notice(control->rates, operator_name, &state,
                         control->now_ms);
}

static uint64_t
limiter_id(const struct control *control)
{
    const struct members_node *self =
        &control->view->nodes[control->view->self];

    return control_key(self->name, self->life);
}

static struct allowance_limiter *
find_limiter(struct control *control, const struct world_operator *config)
{
    struct allowance_limiter *limiter =
        g_hash_table_lookup(control->limiters, config->name);

    if (limiter == NULL) {
        const struct allowance_limit limit = {config->requests_per_s,
                                              config->burst};
        limiter = g_new0(struct allowance_limiter, 1);
        allowance_limiter_init(limiter, limiter_id(control), &limit,
                               &control->rate_tolerance, control->now_ms);
        allowance_limiter_set_share(limiter,
                                    control_rates_split_share(control->rates),
                                    control->now_ms);
        g_hash_table_insert(control->limiters, g_strdup(config->name),
                            limiter);
    }
    return limiter;
}

/* Takes a report of this or another node to the operator's bucket.  The
 * operator must exist and have a limit. */
void
control_limiter_report(struct control *control, const char *operator_name,
                       const char *node, const struct allowance_report *report,
                       struct allowance_answer *out)
{
    int index = world_find_operator(control->world, operator_name);
    struct allowance_limiter *limiter =
        find_limiter(control, &control->world->operators[index]);

    allowance_limiter_report(limiter, node, report, control->now_ms, out);
    notify_if_due(control, operator_name, limiter);
}

static gboolean
update_limiter(gpointer key, gpointer value, gpointer data)
{
    struct control *control = data;
    int index = world_find_operator(control->world, key);
    struct allowance_limiter *limiter = value;
    struct allowance_limit limit;

    if (index == WORLD_NONE ||
        control->world->operators[index].requests_per_s <= 0) {
        return TRUE;
    }
    limit.per_s = control->world->operators[index].requests_per_s;
    limit.burst = control->world->operators[index].burst;
    allowance_limiter_set_limit(limiter, &limit, &control->rate_tolerance,
                                control->now_ms);
    allowance_limiter_set_share(
        limiter, control_rates_split_share(control->rates), control->now_ms);
    return FALSE;
}

/* Applies changed limits to the buckets. */
void
control_limiters_update(struct control *control)
{
    g_hash_table_foreach_remove(control->limiters, update_limiter, control);
}

/* Notifies the nodes of low buckets and returns the time to call this again.
 */
int64_t
control_limiters_tick(struct control *control)
{
    int64_t due_ms = ALLOWANCE_NEVER;
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, control->limiters);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        if (allowance_limiter_is_low(value)) {
            notify_if_due(control, name, value);
            due_ms = control->now_ms + LOW_TICK_MS;
        }
    }
    return due_ms;
}

static void
relay(struct control *control, const char *sender, Control__RateNotice *notice)
{
    GPtrArray *receivers = notice_receivers(control);
    char *first = notice->relay_first;
    char *last = notice->relay_last;

    for (guint i = 0; i < receivers->len; i++) {
        const struct members_node *to = receivers->pdata[i];
        if (strcmp(to->name, first) >= 0 && strcmp(to->name, last) <= 0 &&
            strcmp(to->name, sender) != 0) {
            send_notice(control, to, NULL, NULL, notice);
        }
    }
    notice->relay_first = first;
    notice->relay_last = last;
    g_ptr_array_free(receivers, TRUE);
}

/* Handles a limiter's notice: applies and relays it.  False if malformed. */
bool
control_rates_receive_notice(struct control *control,
                             const struct wire_message *message)
{
    struct allowance_state state;
    Control__RateNotice *notice =
        control__rate_notice__unpack(NULL, message->size, message->body);
    bool is_ok =
        notice != NULL && notice->state != NULL &&
        control_is_valid_text(notice->operator_name,
                              WORLD_OPERATOR_NAME_SIZE) &&
        control_is_valid_text(notice->relay_first, MEMBERS_NAME_SIZE) &&
        control_is_valid_text(notice->relay_last, MEMBERS_NAME_SIZE) &&
        control_rate_state_read(notice->state, &state);

    if (is_ok) {
        control_rates_notice(control->rates, notice->operator_name, &state,
                             control->now_ms);
        if (notice->relay_last[0] != '\0') {
            relay(control, message->sender, notice);
        }
    }
    control__rate_notice__free_unpacked(notice, NULL);
    return is_ok;
}
