#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "base/http_text.h"
#include "platform/codec.h"
#include "platform/internal.h"

/* The first attempt may take a third of the operation's time, so that there
 * is time for another connection if the first one gets no response. */
enum {
    FIRST_ATTEMPT_DIVISOR = 3,
    MIN_ATTEMPT_MS = 50,
    /* Large transfers of an operation that break off before it ends in the
     * time of a small one. */
    MAX_BROKEN_TRANSFERS = 3,
    /* All pages of a list together. */
    MAX_LIST_BYTES = 128 << 20,
};

/* An operation under way.  It takes one or more attempts, each an HTTP call,
 * until there is a result or the deadline has passed.  Each page of a list and
 * each part of a large body moves the deadline, since the time that these need
 * depends on their size and on the link. */
struct platform_operation {
    struct platform *platform;
    struct platform_kv *kv;
    struct platform_queued_call queued_call;
    struct platform_http_call *http; /* NULL: no attempt is open */
    const char *endpoint;            /* of the open attempt */
    lws_sorted_usec_list_t deadline;
    lws_sorted_usec_list_t backoff;
    int64_t timeout_ms; /* longest time without progress */
    int64_t deadline_ms;
    int64_t attempt_sent_ms;
    int failures;
    bool is_transferring; /* the open attempt has made progress */
    int n_broken;         /* such attempts that failed since the last page */
    size_t list_bytes;    /* of the pages so far */
    bool may_have_run;    /* some attempt may have taken effect */
};

static void
free_operation(struct platform_operation *operation)
{
    g_hash_table_remove(operation->platform->operations, operation);
    platform_unqueue_call(operation->platform, &operation->queued_call);
    lws_sul_cancel(&operation->deadline);
    lws_sul_cancel(&operation->backoff);
    g_free(operation);
}

static void
reply(struct platform_operation *operation)
{
    struct platform_kv *kv = operation->kv;

    free_operation(operation);
    base_call_reply(&kv->call);
}

/* Logs and counts an operation that was refused for good; its key tells which
 * writer sent it. */
static void
log_rejected(struct platform *platform, const struct platform_kv *kv)
{
    base_log(BASE_LOG_WARNING, "kv.rejected",
             "op=%d key=%s writes=%u ran=%s error=\"%s\"", kv->op, kv->key,
             kv->writes != NULL ? kv->writes->len : 1,
             base_verdict_name(kv->verdict), kv->err.text);
    platform_count(platform, "kv_rejected_total", 1);
}

/* The deadline has passed: ends the operation.  The verdict says whether a
 * write may have taken effect. */
static void
on_deadline(lws_sorted_usec_list_t *timer)
{
    struct platform_operation *operation =
        lws_container_of(timer, struct platform_operation, deadline);
    struct platform_kv *kv = operation->kv;

    if (operation->http != NULL) {
        platform_http_cancel(operation->http);
        operation->may_have_run = true;
        platform_call_failed(operation->platform);
    }
    kv->status = PLATFORM_UNAVAILABLE;
    kv->verdict = operation->may_have_run && platform_is_write(kv->op)
                      ? BASE_MAY_HAVE_RUN
                      : BASE_NOT_RUN;
    base_error_set(&kv->err, BASE_UNAVAILABLE,
                   "no answer from the key-value service after %d attempts",
                   operation->failures + (operation->http != NULL ? 1 : 0));
    platform_count(operation->platform, "kv_unavailable_total", 1);
    reply(operation);
}

static void
set_deadline(struct platform_operation *operation)
{
    operation->deadline_ms = base_clock_ms() + operation->timeout_ms;
    platform_start_timer(operation->platform, &operation->deadline,
                         on_deadline, operation->timeout_ms);
}

/* Part of a large body was transferred: the connection works, so that the
 * attempt need not leave time for another one.  A response shows that the
 * service answers, and other calls need not wait for the end of this one. */
static void
on_progress(void *context, bool is_response)
{
    struct platform_operation *operation = context;

    if (operation->n_broken >= MAX_BROKEN_TRANSFERS) {
        return;
    }
    operation->is_transferring = true;
    set_deadline(operation);
    platform_http_set_timeout(operation->http, operation->timeout_ms);
    if (is_response) {
        platform_call_succeeded(operation->platform);
    }
}

static void
on_backoff_timer(lws_sorted_usec_list_t *timer)
{
    struct platform_operation *operation =
        lws_container_of(timer, struct platform_operation, backoff);

    platform_queue_call(operation->platform, &operation->queued_call);
}

static void
record_failure(struct platform_operation *operation, bool is_sent)
{
    struct platform *platform = operation->platform;

    operation->may_have_run = operation->may_have_run || is_sent;
    operation->n_broken += operation->is_transferring ? 1 : 0;
    platform_count(platform, "kv_errors_total", 1);
    platform_call_failed(platform);
    platform_endpoint_failed(platform, operation->endpoint);
    platform_start_timer(platform, &operation->backoff, on_backoff_timer,
                         platform_backoff_ms(operation->failures));
    operation->failures++;
}

/* Decodes the response of an attempt.  A page that does not lead on from the
 * one before would make a list endless. */
static enum platform_decoded
decode_result(struct platform_operation *operation,
              const struct platform_http_result *result)
{
    struct platform_kv *kv = operation->kv;
    guint n_entries = kv->entries->len;
    char *after = g_strdup(kv->after);
    enum platform_decoded decoded = operation->platform->dialect->decode(
        kv, operation->may_have_run, result->status, result->body,
        result->size);

    if (decoded == PLATFORM_DECODE_MORE && after != NULL &&
        strcmp(kv->after, after) <= 0) {
        base_log(BASE_LOG_WARNING, "kv.list_repeats", "key=%s after=%s",
                 kv->key, after);
        g_ptr_array_set_size(kv->entries, (gint)n_entries);
        g_free(kv->after);
        kv->after = after;
        return PLATFORM_DECODE_BAD;
    }
    g_free(after);
    return decoded;
}

/* Ends a list that is larger than any that this program writes. */
static void
reject_list(struct platform_operation *operation)
{
    struct platform_kv *kv = operation->kv;

    kv->status = PLATFORM_REJECTED;
    kv->verdict = BASE_NOT_RUN;
    base_error_set(&kv->err, BASE_INVALID, "the list has over %d bytes",
                   MAX_LIST_BYTES);
    log_rejected(operation->platform, kv);
    reply(operation);
}

static void
on_attempt_done(void *context, const struct platform_http_result *result)
{
    struct platform_operation *operation = context;
    enum platform_decoded decoded = PLATFORM_DECODE_BAD;

    operation->http = NULL;
    if (result->is_complete) {
        decoded = decode_result(operation, result);
    }
    if (decoded == PLATFORM_DECODED || decoded == PLATFORM_DECODE_MORE) {
        platform_call_succeeded(operation->platform);
    }
    switch (decoded) {
    case PLATFORM_DECODED:
        operation->kv->sent_ms = operation->attempt_sent_ms;
        if (operation->kv->status == PLATFORM_REJECTED) {
            log_rejected(operation->platform, operation->kv);
        }
        reply(operation);
        return;
    case PLATFORM_DECODE_MORE:
        operation->list_bytes += result->size;
        if (operation->list_bytes > MAX_LIST_BYTES) {
            reject_list(operation);
            return;
        }
        operation->n_broken = 0;
        set_deadline(operation);
        platform_queue_call(operation->platform, &operation->queued_call);
        return;
    case PLATFORM_DECODE_REFUSED:
        record_failure(operation, false);
        return;
    case PLATFORM_DECODE_BAD:
        record_failure(operation, result->is_sent);
        return;
    }
}

static int64_t
attempt_timeout_ms(const struct platform_operation *operation, int64_t now_ms)
{
    int64_t left_ms = operation->deadline_ms - now_ms;

    if (operation->failures == 0) {
        left_ms = left_ms / FIRST_ATTEMPT_DIVISOR;
    }
    return MAX(left_ms, MIN_ATTEMPT_MS);
}

/* Records the time from which a lease counts.  For a new lease it is the first
 * attempt, because an attempt without a response may have created the lease.
 * For a renewal it is the attempt that got a response. */
static void
record_sent(struct platform_operation *operation, int64_t now_ms)
{
    if (operation->attempt_sent_ms == 0 ||
        operation->kv->op == PLATFORM_LEASE_KEEP) {
        operation->attempt_sent_ms = now_ms;
    }
}

static void
send_attempt(struct platform_queued_call *queued_call)
{
    static const struct platform_http_ops OPS = {
        .done = on_attempt_done,
        .progress = on_progress,
    };
    struct platform_operation *operation =
        lws_container_of(queued_call, struct platform_operation, queued_call);
    struct platform *platform = operation->platform;
    struct platform_encoded_request encoded = {0};
    int64_t now_ms = base_clock_ms();

    record_sent(operation, now_ms);
    operation->is_transferring = false;
    platform->dialect->encode(operation->kv, &encoded);
    platform_count_call(platform, (int)operation->kv->op);
    operation->endpoint = platform_endpoint(platform);
    operation->http = platform_http_send(
        &platform->http,
        &(struct platform_http_request){
            .ops = &OPS,
            .context = operation,
            .address = operation->endpoint,
            .method = encoded.method,
            .path = encoded.path,
            .body = encoded.body,
            .timeout_ms = attempt_timeout_ms(operation, now_ms)});
    g_free(encoded.path);
}

static bool
is_lease_op(enum platform_op op)
{
    return op == PLATFORM_LEASE_GRANT || op == PLATFORM_LEASE_KEEP ||
           op == PLATFORM_LEASE_REVOKE;
}

/* Returns whether a value, with the identity that is stored in front of it, is
 * within the service's limit; if not, sets kv->err. */
static bool
is_value_allowed(const struct platform *platform, struct platform_kv *kv,
                 const char *key, GBytes *value)
{
    int64_t size = value == NULL ? 0 : (int64_t)g_bytes_get_size(value);

    size += kv->is_plain ? 0 : PLATFORM_IDENTITY_BYTES;
    if (size <= platform->limits.value_bytes) {
        return true;
    }
    base_error_set(&kv->err, BASE_INVALID,
                   "the value of %s would have %" PRId64 " bytes, %" PRId64
                   " are allowed",
                   key, size, platform->limits.value_bytes);
    return false;
}

/* Returns whether a key can be written: a dialect may send it as JSON, and an
 * invalid one would be left out or changed.  If not, sets kv->err. */
static bool
is_key_allowed(struct platform_kv *kv, const char *key)
{
    if (base_text_is_storable(key)) {
        return true;
    }
    base_error_set(&kv->err, BASE_INVALID, "a key is not UTF-8");
    return false;
}

/* Returns whether an operation is within the service's limits; if not, sets
 * kv->err. */
static bool
is_allowed(const struct platform *platform, struct platform_kv *kv)
{
    guint n_entries;

    if (kv->op == PLATFORM_PUT_IF || kv->op == PLATFORM_DELETE_IF) {
        return is_key_allowed(kv, kv->key) &&
               is_value_allowed(platform, kv, kv->key, kv->value);
    }
    if (kv->op != PLATFORM_TXN) {
        return true;
    }
    n_entries = kv->conditions->len + kv->writes->len;
    if (n_entries > (guint)platform->limits.txn_entries) {
        base_error_set(&kv->err, BASE_INVALID,
                       "the transaction has %u entries, %d are allowed",
                       n_entries, platform->limits.txn_entries);
        return false;
    }
    for (guint i = 0; i < kv->writes->len; i++) {
        const struct platform_write *write = kv->writes->pdata[i];
        if (!is_key_allowed(kv, write->key) ||
            !is_value_allowed(platform, kv, write->key, write->value)) {
            return false;
        }
    }
    return true;
}

static void
serve_kv(struct base_call *call, void *state)
{
    struct platform *platform = state;
    struct platform_kv *kv = (struct platform_kv *)call;
    struct platform_operation *operation;

    if (!is_allowed(platform, kv)) {
        kv->status = PLATFORM_REJECTED;
        kv->verdict = BASE_NOT_RUN;
        log_rejected(platform, kv);
        base_call_reply(&kv->call);
        return;
    }
    operation = g_new0(struct platform_operation, 1);
    operation->platform = platform;
    operation->kv = kv;
    operation->timeout_ms =
        kv->timeout_ms > 0 ? kv->timeout_ms : platform->call_timeout_ms;
    platform_queued_call_init(&operation->queued_call, send_attempt,
                              is_lease_op(kv->op));
    g_hash_table_add(platform->operations, operation);
    set_deadline(operation);
    if (platform_endpoint(platform) != NULL) {
        platform_queue_call(platform, &operation->queued_call);
    }
}

/* Drops every open operation when the task ends. */
void
platform_operations_drop(struct platform *platform)
{
    GHashTableIter iter;
    gpointer key;

    while (g_hash_table_iter_init(&iter, platform->operations),
           g_hash_table_iter_next(&iter, &key, NULL)) {
        struct platform_operation *operation = key;
        struct platform_kv *kv = operation->kv;
        if (operation->http != NULL) {
            platform_http_cancel(operation->http);
        }
        free_operation(operation);
        kv->call.ops->drop(&kv->call);
    }
}

/* ---- public functions ---- */

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

void
platform_kv_expect(struct platform_kv *kv, const char *key, int64_t revision)
{
    struct platform_condition *condition =
        g_new0(struct platform_condition, 1);

    condition->key = g_strdup(key);
    condition->revision = revision;
    g_ptr_array_add(kv->conditions, condition);
}

/* Adds a write to a transaction and takes ownership of the value.  A NULL
 * value deletes the key. */
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

/* Makes an operation on a key; the sender fills in the other fields of the
 * request.  For PLATFORM_LIST the key is a prefix; for leases it is not
 * used. */
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
        /* The client chooses the number, so that a grant that is sent again
         * does not create a second lease. */
        randombytes_buf(&kv->lease, sizeof(kv->lease));
        kv->lease = (kv->lease & INT64_MAX) | 1;
    }
    return kv;
}

/* Frees an operation with its request and response. */
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

/* Sends an operation.  `answered` runs on the task `from`, soon after
 * kv->timeout_ms without progress at the latest, and takes ownership of kv. */
void
platform_kv_send(struct platform *platform, struct platform_kv *kv,
                 struct base_task *from,
                 void (*answered)(struct platform_kv *kv, void *task_state))
{
    static const struct base_call_ops OPS = {serve_kv, kv_done, kv_drop};

    kv->answered = answered;
    base_call_send(&kv->call, &OPS, &platform->task, from);
}
