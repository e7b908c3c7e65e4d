#include "config/operation.h"

#include <inttypes.h>
#include <string.h>

static void
finish_stored_record(struct config_stored_record *stored)
{
    config_record_finish(&stored->record);
    memset(stored, 0, sizeof(*stored));
}

static void
deliver_reply(struct base_call *call, void *state)
{
    struct config_request *request = (struct config_request *)call;
    request->answered(request, state);
}

static void
drop_reply(struct base_call *call)
{
    config_request_free((struct config_request *)call);
}

/* Sends the request with its response to the sender's task, where `answered`
 * runs, and frees the operation. */
void
config_operation_finish(struct config_operation *operation)
{
    static const struct base_call_ops OPS = {deliver_reply, NULL, drop_reply};

    base_call_send(&operation->request->call, &OPS, operation->task, NULL);
    finish_stored_record(&operation->current);
    finish_stored_record(&operation->other);
    config_record_finish(&operation->replacement);
    g_free(operation);
}

/* Parses the entry that the service returned, if any, into `stored`.  Returns
 * false after setting an error response if the record is corrupt. */
static bool
parse_entry(struct config_operation *operation, const struct platform_kv *kv,
            struct config_stored_record *stored)
{
    struct base_error err = {BASE_OK, ""};
    gsize size;

    finish_stored_record(stored);
    if (kv->entries->len == 0) {
        return true;
    }
    const struct platform_entry *entry = kv->entries->pdata[0];
    const char *text = g_bytes_get_data(entry->value, &size);
    if (!config_record_parse(text, size, &stored->record, &err)) {
        base_log_error("config.record_bad", &err, "key=%s", entry->key);
        config_reply_error(operation->request, 500, err.code, "%s: %s",
                           entry->key, err.text);
        return false;
    }
    stored->exists = true;
    stored->kv_revision = entry->revision;
    return true;
}

static void
on_record_read(struct platform_kv *kv, void *state)
{
    struct config_operation *operation = kv->context;

    if (kv->status != PLATFORM_OK) {
        config_reply_unavailable(operation->request, BASE_NOT_RUN);
        config_operation_finish(operation);
    }
    else if (!parse_entry(operation, kv, operation->read_into)) {
        config_operation_finish(operation);
    }
    else {
        operation->next(operation);
    }
    platform_kv_free(kv);
}

/* Reads the record at `key` into `into`, then calls `next`; frees the key.  If
 * that fails, the operation finishes with an error and `next` is not called.
 */
void
config_operation_read(struct config_operation *operation, char *key,
                      struct config_stored_record *into,
                      void (*next)(struct config_operation *operation))
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_GET, key);

    g_free(key);
    operation->read_into = into;
    operation->next = next;
    kv->context = operation;
    platform_kv_send(operation->platform, kv, operation->task, on_record_read);
}

static void
send_put(struct config_operation *operation, char *key,
         const struct config_record *record, int64_t expect_revision,
         void (*answered)(struct platform_kv *kv, void *state))
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);
    char *text = config_record_format(record);

    g_free(key);
    kv->value = g_bytes_new_take(text, strlen(text));
    kv->expect_revision = expect_revision;
    kv->context = operation;
    platform_kv_send(operation->platform, kv, operation->task, answered);
}

/* The last step.  Its result is ignored, as the change has been made and a
 * record that could not be removed only stays in the history. */
static void
on_history_trimmed(struct platform_kv *kv, void *state)
{
    config_operation_finish(kv->context);
    platform_kv_free(kv);
}

/* A failure of this copy is ignored: the next change copies the record again
 * before it replaces it. */
static void
on_current_copied(struct platform_kv *kv, void *state)
{
    struct config_operation *operation = kv->context;
    int64_t expired =
        operation->replacement.number - CONFIG_HISTORY_MAX_RECORDS;

    platform_kv_free(kv);
    if (expired <= 0) {
        config_operation_finish(operation);
        return;
    }
    char *key = config_history_key(operation->environment, expired);
    kv = platform_kv_new(PLATFORM_DELETE_IF, key);
    g_free(key);
    kv->expect_revision = PLATFORM_ANY;
    kv->context = operation;
    platform_kv_send(operation->platform, kv, operation->task,
                     on_history_trimmed);
}

static void
log_change(const struct config_operation *operation)
{
    const struct config_record *replacement = &operation->replacement;

    base_log(BASE_LOG_NOTICE, "config.changed",
             "environment=%s number=%" PRId64 " author=%s base=%" PRId64
             " from=%s/%" PRId64,
             operation->environment, replacement->number, replacement->author,
             replacement->base,
             *replacement->from_environment != '\0'
                 ? replacement->from_environment
                 : "-",
             replacement->from_number);
}

static void
on_current_replaced(struct platform_kv *kv, void *state)
{
    struct config_operation *operation = kv->context;
    enum platform_status status = kv->status;

    if (status == PLATFORM_OK) {
        log_change(operation);
        config_reply_record(operation->request, operation->environment,
                            &operation->replacement, false);
        send_put(operation,
                 config_history_key(operation->environment,
                                    operation->replacement.number),
                 &operation->replacement, PLATFORM_ABSENT, on_current_copied);
        platform_kv_free(kv);
        return;
    }
    if (status != PLATFORM_CONFLICT) {
        config_reply_unavailable(operation->request, kv->verdict);
    }
    else if (parse_entry(operation, kv, &operation->current)) {
        if (kv->verdict == BASE_MAY_HAVE_RUN) {
            config_reply_unavailable(operation->request, kv->verdict);
        }
        else {
            config_reply_conflict(operation->request, &operation->current);
        }
    }
    config_operation_finish(operation);
    platform_kv_free(kv);
}

static void
swap_current(struct config_operation *operation)
{
    send_put(operation, config_current_key(operation->environment),
             &operation->replacement,
             operation->current.exists ? operation->current.kv_revision
                                       : PLATFORM_ABSENT,
             on_current_replaced);
}

/* A conflict means that the copy exists already; a number never has two
 * different records. */
static void
on_previous_copied(struct platform_kv *kv, void *state)
{
    struct config_operation *operation = kv->context;
    enum platform_status status = kv->status;

    platform_kv_free(kv);
    if (status == PLATFORM_OK || status == PLATFORM_CONFLICT) {
        swap_current(operation);
        return;
    }
    config_reply_unavailable(operation->request, BASE_NOT_RUN);
    config_operation_finish(operation);
}

static bool
check_record_size(struct config_operation *operation)
{
    char *text = config_record_format(&operation->replacement);
    size_t size = strlen(text);

    g_free(text);
    if (size <= CONFIG_MAX_RECORD_BYTES) {
        return true;
    }
    config_reply_error(operation->request, 400, BASE_INVALID,
                       "the record takes %zu bytes, more than the limit of %d",
                       size, CONFIG_MAX_RECORD_BYTES);
    return false;
}

/* Replaces the current record, as it was read, by operation->replacement:
 * copies the old record to the history, swaps `current` with a
 * compare-and-swap, copies the new record to the history and removes the
 * record that no longer fits there. */
void
config_operation_replace(struct config_operation *operation)
{
    const struct config_record *old = &operation->current.record;

    operation->replacement.number = old->number + 1;
    operation->replacement.time_ms = base_wall_ms();
    g_strlcpy(operation->replacement.author, operation->request->author,
              sizeof(operation->replacement.author));
    if (!check_record_size(operation)) {
        config_operation_finish(operation);
        return;
    }
    if (!operation->current.exists) {
        swap_current(operation);
        return;
    }
    send_put(operation,
             config_history_key(operation->environment, old->number), old,
             PLATFORM_ABSENT, on_previous_copied);
}
