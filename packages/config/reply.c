#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <string.h>

#include "base/http_text.h"
#include "config/operation.h"

static void
set_json(struct config_request *request, int status, char *json)
{
    g_free(request->json_out);
    request->status = status;
    request->json_out = json;
}

static void
set_json_object(struct config_request *request, int status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);

    set_json(request, status, g_strdup(text));
    free(text);
    json_decref(root);
}

/* Sets the response to {"error":{"code","message"}}. */
void
config_reply_error(struct config_request *request, int status,
                   enum base_code code, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    set_json_object(request, status,
                    json_pack("{s:{s:s, s:o}}", "error", "code",
                              base_code_name(code), "message",
                              base_json_text(message)));
    g_free(message);
}

/* Appends a record's members without its document and without the braces. */
void
config_append_record(GString *out, const char *environment,
                     const struct config_record *record)
{
    /* Names of environments and authors need no escapes in JSON. */
    g_string_append_printf(out,
                           "\"environment\":\"%s\",\"number\":%" PRId64
                           ",\"author\":\"%s\",\"time_ms\":%" PRId64
                           ",\"base\":%" PRId64,
                           environment, record->number, record->author,
                           record->time_ms, record->base);
    if (*record->from_environment != '\0') {
        g_string_append_printf(
            out, ",\"from\":{\"environment\":\"%s\",\"number\":%" PRId64 "}",
            record->from_environment, record->from_number);
    }
}

/* Sets the response to a record.  If with_document is true, it contains the
 * document byte for byte. */
void
config_reply_record(struct config_request *request, const char *environment,
                    const struct config_record *record, bool with_document)
{
    GString *out = g_string_new("{");

    config_append_record(out, environment, record);
    if (with_document) {
        g_string_append_printf(out, ",\"document\":%s", record->document);
    }
    g_string_append_c(out, '}');
    set_json(request, 200, g_string_free(out, FALSE));
    request->verdict = BASE_RAN;
}

/* Sets the response to 409 with the number, author and time of the record in
 * force. */
void
config_reply_conflict(struct config_request *request,
                      const struct config_stored_record *stored)
{
    const struct config_record *record = &stored->record;
    char *message =
        stored->exists
            ? g_strdup_printf("number %" PRId64 " by %s is in force",
                              record->number, record->author)
            : g_strdup("no document is in force");

    request->verdict = BASE_NOT_RUN;
    set_json_object(request, 409,
                    json_pack("{s:{s:s, s:o, s:I, s:o, s:I}}", "error", "code",
                              base_code_name(BASE_CONFLICT), "message",
                              base_json_text(message), "number",
                              (json_int_t)record->number, "author",
                              base_json_text(record->author), "time_ms",
                              (json_int_t)record->time_ms));
    g_free(message);
}

/* Sets the response to 503; its message says whether the change may have been
 * made. */
void
config_reply_unavailable(struct config_request *request,
                         enum base_verdict verdict)
{
    request->verdict = verdict;
    config_reply_error(request, 503, BASE_UNAVAILABLE, "%s",
                       verdict == BASE_NOT_RUN
                           ? "the key-value service does not answer; "
                             "nothing was changed"
                           : "the key-value service does not answer; the "
                             "change may have been made: see config show");
}

/* Sets the response to 400 with each problem's path and text. */
void
config_reply_problems(struct config_request *request,
                      const struct world_problems *problems)
{
    json_t *list = json_array();

    for (guint i = 0; i < problems->all->len; i++) {
        const struct world_problem *problem = problems->all->pdata[i];
        json_array_append_new(list,
                              json_pack("{s:o, s:o}", "path",
                                        base_json_text(problem->path), "text",
                                        base_json_text(problem->text)));
    }
    set_json_object(request, 400,
                    json_pack("{s:{s:s, s:s, s:o}}", "error", "code",
                              base_code_name(BASE_INVALID), "message",
                              "the document is invalid", "problems", list));
}
