#include <inttypes.h>
#include <string.h>

#include "config/operation.h"

static const char TRIAL[] = "trial";
static const char PRODUCTION[] = "production";

/* Creates a request.  The author's name is stored in the record. */
struct config_request *
config_request_new(enum config_op op, const char *author)
{
    struct config_request *request = g_new0(struct config_request, 1);

    request->op = op;
    g_strlcpy(request->author, author, sizeof(request->author));
    g_strlcpy(request->environment, PRODUCTION, sizeof(request->environment));
    return request;
}

/* Frees a request with its response; NULL is allowed. */
void
config_request_free(struct config_request *request)
{
    if (request == NULL) {
        return;
    }
    g_free(request->json_in);
    g_free(request->json_out);
    g_free(request);
}

/* Returns whether the document is valid; if not, sets a response with its
 * problems. */
static bool
check_document(struct config_operation *operation, const char *document)
{
    struct world_problems problems;

    world_problems_init(&problems);
    struct world *world = world_parse(document, strlen(document), &problems);
    if (world == NULL) {
        config_reply_problems(operation->request, &problems);
    }
    world_problems_finish(&problems);
    world_unref(world);
    return world != NULL;
}

static void
reply_not_found(struct config_operation *operation, const char *environment)
{
    config_reply_error(operation->request, 404, BASE_NOT_FOUND,
                       "%s has no number %" PRId64, environment,
                       operation->request->revision);
    config_operation_finish(operation);
}

/* ---- check, show, diff ---- */

static void
start_check(struct config_operation *operation)
{
    struct config_request *request = operation->request;

    if (check_document(operation, request->json_in)) {
        request->status = 200;
        request->json_out = g_strdup("{\"problems\":[]}");
    }
    config_operation_finish(operation);
}

static void
show_from_history(struct config_operation *operation)
{
    if (!operation->other.exists) {
        reply_not_found(operation, operation->environment);
        return;
    }
    config_reply_record(operation->request, operation->environment,
                        &operation->other.record, true);
    config_operation_finish(operation);
}

static void
show_current(struct config_operation *operation)
{
    int64_t number = operation->request->revision;

    if (number != 0 && number != operation->current.record.number) {
        config_operation_read(
            operation, config_history_key(operation->environment, number),
            &operation->other, show_from_history);
        return;
    }
    if (!operation->current.exists) {
        config_reply_error(operation->request, 404, BASE_NOT_FOUND,
                           "%s has no document yet", operation->environment);
    }
    else {
        config_reply_record(operation->request, operation->environment,
                            &operation->current.record, true);
    }
    config_operation_finish(operation);
}

static void
diff_current(struct config_operation *operation)
{
    struct config_request *request = operation->request;
    const struct config_record *record = &operation->current.record;
    struct base_error err = {BASE_OK, ""};
    char *changes =
        config_diff(operation->current.exists ? record->document : "",
                    request->json_in, &err);

    if (changes == NULL) {
        config_reply_error(request, 400, err.code, "%s", err.text);
    }
    else {
        request->status = 200;
        request->json_out = g_strdup_printf(
            "{\"environment\":\"%s\",\"number\":%" PRId64 ",\"changes\":%s}",
            operation->environment, record->number, changes);
        g_free(changes);
    }
    config_operation_finish(operation);
}

/* ---- history ---- */

static void
append_history_entry(GString *out, const struct config_operation *operation,
                     const struct platform_entry *entry)
{
    struct config_record record;
    gsize size;
    const char *text = g_bytes_get_data(entry->value, &size);

    if (!config_record_parse(text, size, &record, NULL)) {
        return;
    }
    if (record.number < operation->current.record.number) {
        g_string_append(out, ",{");
        config_append_record(out, operation->environment, &record);
        g_string_append_c(out, '}');
    }
    config_record_finish(&record);
}

static void
on_history_listed(struct platform_kv *kv, void *state)
{
    struct config_operation *operation = kv->context;
    struct config_request *request = operation->request;
    const struct config_record *current = &operation->current.record;
    GString *list = g_string_new(NULL);

    if (kv->status != PLATFORM_OK) {
        config_reply_unavailable(request, BASE_NOT_RUN);
    }
    else {
        /* The newest first.  The current record may not have been copied to
         * the history yet, so it is taken from `current`. */
        if (operation->current.exists) {
            g_string_append_c(list, '{');
            config_append_record(list, operation->environment, current);
            g_string_append_c(list, '}');
        }
        for (guint i = kv->entries->len; i-- > 0;) {
            append_history_entry(list, operation, kv->entries->pdata[i]);
        }
        request->status = 200;
        request->json_out = g_strdup_printf("{\"history\":[%s]}", list->str);
    }
    g_string_free(list, TRUE);
    config_operation_finish(operation);
    platform_kv_free(kv);
}

/* Lists the latest `limit` numbers; older records are not read. */
static void
list_history(struct config_operation *operation)
{
    int limit = operation->request->limit > 0 ? MIN(operation->request->limit,
                                                    CONFIG_HISTORY_MAX_RECORDS)
                                              : CONFIG_HISTORY_DEFAULT_LIMIT;
    int64_t number = operation->current.record.number;
    char *prefix =
        g_strdup_printf("/cp/config/%s/history/", operation->environment);
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, prefix);

    /* The current record counts towards `limit`. */
    kv->after =
        config_history_key(operation->environment, MAX(number - limit, 0));
    kv->limit = MAX(limit - 1, 1);
    kv->context = operation;
    g_free(prefix);
    platform_kv_send(operation->platform, kv, operation->task,
                     on_history_listed);
}

/* ---- try ---- */

static void
replace_trial(struct config_operation *operation)
{
    operation->replacement.base = operation->other.record.number;
    operation->replacement.document = g_strdup(operation->request->json_in);
    config_operation_replace(operation);
}

static void
try_read_production(struct config_operation *operation)
{
    config_operation_read(operation, config_current_key(PRODUCTION),
                          &operation->other, replace_trial);
}

static void
start_try(struct config_operation *operation)
{
    if (!check_document(operation, operation->request->json_in)) {
        config_operation_finish(operation);
        return;
    }
    operation->environment = TRIAL;
    config_operation_read(operation, config_current_key(TRIAL),
                          &operation->current, try_read_production);
}

/* ---- promote and roll back ---- */

/* Returns whether the current record is this very change: its author has sent
 * the request again, for example after the reply was lost. */
static bool
is_already_applied(const struct config_operation *operation, int64_t expect)
{
    const struct config_record *now = &operation->current.record;

    return operation->current.exists && now->base == expect &&
           strcmp(now->author, operation->request->author) == 0 &&
           strcmp(now->from_environment,
                  operation->replacement.from_environment) == 0 &&
           now->from_number == operation->replacement.from_number &&
           strcmp(now->document, operation->replacement.document) == 0;
}

/* Copies the document of operation->other to production, if the number in
 * force there is `expect`. */
static void
replace_production(struct config_operation *operation, const char *from,
                   int64_t expect)
{
    const struct config_record *source = &operation->other.record;

    operation->replacement.document = g_strdup(source->document);
    operation->replacement.from_number = source->number;
    operation->replacement.base = operation->current.record.number;
    g_strlcpy(operation->replacement.from_environment, from,
              sizeof(operation->replacement.from_environment));
    if (!check_document(operation, source->document)) {
        config_operation_finish(operation);
        return;
    }
    if (operation->current.record.number == expect) {
        config_operation_replace(operation);
        return;
    }
    if (is_already_applied(operation, expect)) {
        base_log(BASE_LOG_NOTICE, "config.confirmed",
                 "environment=%s number=%" PRId64 " author=%s", PRODUCTION,
                 operation->current.record.number, operation->request->author);
        config_reply_record(operation->request, PRODUCTION,
                            &operation->current.record, false);
    }
    else {
        config_reply_conflict(operation->request, &operation->current);
    }
    config_operation_finish(operation);
}

static void
promote_tried(struct config_operation *operation)
{
    int64_t expect = operation->request->expect_revision > 0
                         ? operation->request->expect_revision
                         : operation->other.record.base;

    replace_production(operation, TRIAL, expect);
}

static void
promote_read_production(struct config_operation *operation)
{
    if (!operation->other.exists) {
        reply_not_found(operation, TRIAL);
        return;
    }
    config_operation_read(operation, config_current_key(PRODUCTION),
                          &operation->current, promote_tried);
}

/* The tried document is trial's current one or in trial's history, as a record
 * is copied there before it is replaced. */
static void
promote_find_tried(struct config_operation *operation)
{
    int64_t number = operation->request->revision;

    if (operation->other.exists && operation->other.record.number == number) {
        promote_read_production(operation);
        return;
    }
    config_operation_read(operation, config_history_key(TRIAL, number),
                          &operation->other, promote_read_production);
}

static void
start_promote(struct config_operation *operation)
{
    operation->environment = PRODUCTION;
    config_operation_read(operation, config_current_key(TRIAL),
                          &operation->other, promote_find_tried);
}

static void
rollback_to_old(struct config_operation *operation)
{
    int64_t expect = operation->request->expect_revision > 0
                         ? operation->request->expect_revision
                         : operation->current.record.number;

    if (!operation->other.exists) {
        reply_not_found(operation, PRODUCTION);
        return;
    }
    replace_production(operation, PRODUCTION, expect);
}

static void
rollback_find_old(struct config_operation *operation)
{
    config_operation_read(
        operation,
        config_history_key(PRODUCTION, operation->request->revision),
        &operation->other, rollback_to_old);
}

static void
start_rollback(struct config_operation *operation)
{
    operation->environment = PRODUCTION;
    config_operation_read(operation, config_current_key(PRODUCTION),
                          &operation->current, rollback_find_old);
}

/* ---- dispatch ---- */

static bool
is_valid_author(const char *author)
{
    for (const char *at = author; *at != '\0'; at++) {
        if (!g_ascii_isalnum(*at) && strchr("._-@+", *at) == NULL) {
            return false;
        }
    }
    return *author != '\0';
}

static bool
needs_document(enum config_op op)
{
    return op == CONFIG_CHECK || op == CONFIG_TRY || op == CONFIG_DIFF;
}

/* Returns whether the request's parameters are valid; if not, sets an error
 * response. */
static bool
check_request(struct config_request *request)
{
    if (!is_valid_author(request->author)) {
        config_reply_error(request, 400, BASE_INVALID,
                           "the author must be a name of letters, digits "
                           "and ._-@+");
        return false;
    }
    if (strcmp(request->environment, TRIAL) != 0 &&
        strcmp(request->environment, PRODUCTION) != 0) {
        config_reply_error(request, 404, BASE_NOT_FOUND,
                           "the environment must be trial or production");
        return false;
    }
    if (needs_document(request->op) && request->json_in == NULL) {
        config_reply_error(request, 400, BASE_INVALID,
                           "a document is required");
        return false;
    }
    return true;
}

static void
start_operation(struct config_operation *operation)
{
    char *current_key = config_current_key(operation->environment);

    switch (operation->request->op) {
    case CONFIG_CHECK:
        start_check(operation);
        break;
    case CONFIG_TRY:
        start_try(operation);
        break;
    case CONFIG_PROMOTE:
        start_promote(operation);
        break;
    case CONFIG_ROLLBACK:
        start_rollback(operation);
        break;
    case CONFIG_SHOW:
        config_operation_read(operation, g_strdup(current_key),
                              &operation->current, show_current);
        break;
    case CONFIG_HISTORY:
        config_operation_read(operation, g_strdup(current_key),
                              &operation->current, list_history);
        break;
    case CONFIG_DIFF:
        config_operation_read(operation, g_strdup(current_key),
                              &operation->current, diff_current);
        break;
    }
    g_free(current_key);
}

/* Executes a request for the task `from`, which must be the calling task.
 * `answered` runs on that task after this function has returned, and then owns
 * the request.  The caller must have checked the scopes of the API key. */
void
config_request_send(struct platform *platform, struct config_request *request,
                    struct base_task *from,
                    void (*answered)(struct config_request *request,
                                     void *task_state))
{
    struct config_operation *operation = g_new0(struct config_operation, 1);

    request->answered = answered;
    operation->platform = platform;
    operation->request = request;
    operation->task = from;
    operation->environment =
        strcmp(request->environment, TRIAL) == 0 ? TRIAL : PRODUCTION;
    if (!check_request(request)) {
        config_operation_finish(operation);
        return;
    }
    start_operation(operation);
}
