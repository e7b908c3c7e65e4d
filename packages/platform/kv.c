#include <sodium.h>
#include <string.h>

#include "platform/codec.h"
#include "platform/internal.h"

/* The first try gets this part of the time, so that a connection which falls
 * silent leaves time for a fresh one. */
enum { FIRST_TRY_PART = 3, MIN_TRY_MS = 50 };

/* One operation on its way to an answer, over as many tries as it takes. */
struct platform_attempt {
    struct platform *platform;
    struct platform_kv *kv;
    struct platform_turn turn;
    struct platform_http_call *http; /* NULL: no try is open */
    const char *endpoint;            /* of the open try */
    lws_sorted_usec_list_t deadline;
    lws_sorted_usec_list_t backoff;
    int64_t deadline_ms;
    int64_t try_sent_ms;
    int failures;
    bool may_have_run; /* some try may have taken effect */
};

static void
free_attempt(struct platform_attempt *attempt)
{
    g_hash_table_remove(attempt->platform->attempts, attempt);
    platform_turn_drop(attempt->platform, &attempt->turn);
    lws_sul_cancel(&attempt->deadline);
    lws_sul_cancel(&attempt->backoff);
    g_free(attempt);
}

static void
answer(struct platform_attempt *attempt)
{
    struct platform_kv *kv = attempt->kv;

    free_attempt(attempt);
    base_call_reply(&kv->call);
}

/* The time is over.  A write that may have taken effect says so. */
static void
give_up(lws_sorted_usec_list_t *timer)
{
    struct platform_attempt *attempt =
        lws_container_of(timer, struct platform_attempt, deadline);
    struct platform_kv *kv = attempt->kv;

    if (attempt->http != NULL) {
        platform_http_cancel(attempt->http);
        attempt->may_have_run = true;
    }
    kv->status = PLATFORM_UNAVAILABLE;
    kv->verdict = attempt->may_have_run && platform_is_write(kv->op)
                      ? BASE_MAY_HAVE_RUN
                      : BASE_NOT_RUN;
    base_error_set(&kv->err, BASE_UNAVAILABLE,
                   "no answer from the key-value service after %d tries",
                   attempt->failures + (attempt->http != NULL ? 1 : 0));
    platform_count(attempt->platform, "kv_unavailable_total", 1);
    answer(attempt);
}

static void
try_again(lws_sorted_usec_list_t *timer)
{
    struct platform_attempt *attempt =
        lws_container_of(timer, struct platform_attempt, backoff);

    platform_turn_take(attempt->platform, &attempt->turn);
}

static void
note_failure(struct platform_attempt *attempt, bool is_sent)
{
    struct platform *platform = attempt->platform;

    attempt->may_have_run = attempt->may_have_run || is_sent;
    platform_count(platform, "kv_errors_total", 1);
    platform_endpoint_failed(platform, attempt->endpoint);
    platform_after(platform, &attempt->backoff, try_again,
                   platform_backoff_ms(attempt->failures));
    attempt->failures++;
}

static void
on_try_done(void *context, const struct platform_http_result *result)
{
    struct platform_attempt *attempt = context;
    enum platform_decoded decoded = PLATFORM_DECODE_BAD;

    attempt->http = NULL;
    if (result->is_complete) {
        decoded = attempt->platform->dialect->decode(
            attempt->kv, attempt->may_have_run, result->status, result->body,
            result->size);
    }
    switch (decoded) {
    case PLATFORM_DECODED:
        attempt->kv->sent_ms = attempt->try_sent_ms;
        answer(attempt);
        return;
    case PLATFORM_DECODE_MORE:
        platform_turn_take(attempt->platform, &attempt->turn);
        return;
    case PLATFORM_DECODE_REFUSED:
        note_failure(attempt, false);
        return;
    case PLATFORM_DECODE_BAD:
        note_failure(attempt, result->is_sent);
        return;
    }
}

static int64_t
try_timeout_ms(const struct platform_attempt *attempt, int64_t now_ms)
{
    int64_t left_ms = attempt->deadline_ms - now_ms;

    if (attempt->failures == 0) {
        left_ms = left_ms / FIRST_TRY_PART;
    }
    return MAX(left_ms, MIN_TRY_MS);
}

/* A grant counts from its first try, which may be the one that made it; a
 * renewal counts from the try that was answered. */
static void
note_sent(struct platform_attempt *attempt, int64_t now_ms)
{
    if (attempt->try_sent_ms == 0 || attempt->kv->op == PLATFORM_LEASE_KEEP) {
        attempt->try_sent_ms = now_ms;
    }
}

static void
send_try(struct platform_turn *turn)
{
    static const struct platform_http_ops OPS = {on_try_done, NULL};
    struct platform_attempt *attempt =
        lws_container_of(turn, struct platform_attempt, turn);
    struct platform *platform = attempt->platform;
    struct platform_form form = {0};
    int64_t now_ms = base_clock_ms();
    char counter[64];

    note_sent(attempt, now_ms);
    platform->dialect->encode(attempt->kv, &form);
    snprintf(counter, sizeof(counter), "kv_calls_total{op=\"%s\"}",
             platform_op_name(attempt->kv->op));
    platform_count(platform, counter, 1);
    attempt->endpoint = platform_endpoint(platform);
    attempt->http = platform_http_send(
        &platform->http, &(struct platform_http_request){
                             .ops = &OPS,
                             .context = attempt,
                             .address = attempt->endpoint,
                             .method = form.method,
                             .path = form.path,
                             .body = form.body,
                             .timeout_ms = try_timeout_ms(attempt, now_ms)});
    g_free(form.path);
}

static bool
is_lease_op(enum platform_op op)
{
    return op == PLATFORM_LEASE_GRANT || op == PLATFORM_LEASE_KEEP ||
           op == PLATFORM_LEASE_REVOKE;
}

static void
serve_kv(struct base_call *call, void *state)
{
    struct platform *platform = state;
    struct platform_kv *kv = (struct platform_kv *)call;
    struct platform_attempt *attempt = g_new0(struct platform_attempt, 1);
    int64_t timeout_ms =
        kv->timeout_ms > 0 ? kv->timeout_ms : platform->call_timeout_ms;

    attempt->platform = platform;
    attempt->kv = kv;
    attempt->deadline_ms = base_clock_ms() + timeout_ms;
    platform_turn_init(&attempt->turn, send_try, is_lease_op(kv->op));
    g_hash_table_add(platform->attempts, attempt);
    platform_after(platform, &attempt->deadline, give_up, timeout_ms);
    if (platform_endpoint(platform) != NULL) {
        platform_turn_take(platform, &attempt->turn);
    }
}

/* Drops every open operation; the task is ending. */
void
platform_attempts_drop(struct platform *platform)
{
    GHashTableIter iter;
    gpointer key;

    while (g_hash_table_iter_init(&iter, platform->attempts),
           g_hash_table_iter_next(&iter, &key, NULL)) {
        struct platform_attempt *attempt = key;
        struct platform_kv *kv = attempt->kv;
        if (attempt->http != NULL) {
            platform_http_cancel(attempt->http);
        }
        free_attempt(attempt);
        kv->call.ops->drop(&kv->call);
    }
}

/* ---- the calls ---- */

static void
free_condition(gpointer data)
{
    struct platform_condition *condition = data;

    g_free(condition->key);
    g_free(condition);
}

static void
free_write(gpointer data)
{
    struct platform_write *write = data;

    g_free(write->key);
    if (write->value != NULL) {
        g_bytes_unref(write->value);
    }
    g_free(write);
}

/* Adds a condition to a transaction. */
void
platform_kv_expect(struct platform_kv *kv, const char *key, int64_t revision)
{
    struct platform_condition *condition =
        g_new0(struct platform_condition, 1);

    condition->key = g_strdup(key);
    condition->revision = revision;
    g_ptr_array_add(kv->conditions, condition);
}

/* Adds a write to a transaction; takes the value over.  NULL removes. */
void
platform_kv_write(struct platform_kv *kv, const char *key, GBytes *value,
                  int64_t lease)
{
    struct platform_write *write = g_new0(struct platform_write, 1);

    write->key = g_strdup(key);
    write->value = value;
    write->lease = lease;
    g_ptr_array_add(kv->writes, write);
}

/* Makes an operation on a key (a prefix for PLATFORM_LIST, anything for
 * leases); the sender fills in the rest of the question. */
struct platform_kv *
platform_kv_new(enum platform_op op, const char *key)
{
    struct platform_kv *kv = g_new0(struct platform_kv, 1);

    kv->op = op;
    kv->key = g_strdup(key != NULL ? key : "");
    kv->entries = g_ptr_array_new_with_free_func(platform_entry_free);
    base_random_id(kv->write_id, sizeof(kv->write_id));
    if (op == PLATFORM_TXN) {
        kv->conditions = g_ptr_array_new_with_free_func(free_condition);
        kv->writes = g_ptr_array_new_with_free_func(free_write);
    }
    if (op == PLATFORM_LEASE_GRANT) {
        /* Chosen here, so that a grant sent twice makes one lease. */
        randombytes_buf(&kv->lease, sizeof(kv->lease));
        kv->lease = (kv->lease & INT64_MAX) | 1;
    }
    return kv;
}

/* Frees an operation with its question and its answer. */
void
platform_kv_free(struct platform_kv *kv)
{
    if (kv == NULL) {
        return;
    }
    g_free(kv->key);
    g_free(kv->after);
    if (kv->value != NULL) {
        g_bytes_unref(kv->value);
    }
    if (kv->conditions != NULL) {
        g_ptr_array_free(kv->conditions, TRUE);
        g_ptr_array_free(kv->writes, TRUE);
    }
    g_ptr_array_free(kv->entries, TRUE);
    g_free(kv);
}

static void
kv_done(struct base_call *call, void *state)
{
    struct platform_kv *kv = (struct platform_kv *)call;
    kv->answered(kv, state);
}

static void
kv_drop(struct base_call *call)
{
    platform_kv_free((struct platform_kv *)call);
}

/* Sends an operation; `answered` runs on `from` within kv->timeout_ms and a
 * little, and owns kv then. */
void
platform_kv_send(struct platform *platform, struct platform_kv *kv,
                 struct base_task *from,
                 void (*answered)(struct platform_kv *kv, void *task_state))
{
    static const struct base_call_ops OPS = {serve_kv, kv_done, kv_drop};

    kv->answered = answered;
    base_call_send(&kv->call, &OPS, &platform->task, from);
}
