#include "front/front_private.h"

#include <string.h>

/* Handlers for operators' requests under /admin, which read the state of the
 * nodes and read or change the configuration.  Configuration requests with a
 * method other than GET are logged as admin.audit. */

static void
on_status(struct control_status *status, void *task_state)
{
    struct front_request *request = status->context;

    ((struct front *)task_state)->n_calls--;
    front_respond(request, 200, "application/json", status->json,
                  strlen(status->json));
    front_request_unref(request);
}

static void
run_status(struct front_request *request)
{
    struct front *front = request->front;

    front->n_calls++;
    control_status_send(front->control, &front->task,
                        front_request_ref(request), on_status);
}

static void
write_audit(const struct front_request *request,
            const struct config_request *config)
{
    base_log(BASE_LOG_NOTICE, "admin.audit",
             "operator=%s action=%s environment=%s revision=%" G_GINT64_FORMAT
             " status=%d id=%s",
             request->operator_name, strrchr(request->path, '/') + 1,
             config->environment, config->revision, config->status,
             request->id);
}

static void
on_config(struct config_request *config, void *task_state)
{
    struct front_request *request = config->context;
    const char *text = config->json_out ? config->json_out : "{}";

    ((struct front *)task_state)->n_calls--;
    if (strcmp(request->method, "GET") != 0) {
        write_audit(request, config);
    }
    front_respond(request, config->status, "application/json", text,
                  strlen(text));
    config_request_free(config);
    front_request_unref(request);
}

static enum config_op
find_op(const char *path)
{
    static const struct {
        const char *name;
        enum config_op op;
    } OPS[] = {
        {"check", CONFIG_CHECK},     {"try", CONFIG_TRY},
        {"promote", CONFIG_PROMOTE}, {"show", CONFIG_SHOW},
        {"history", CONFIG_HISTORY}, {"diff", CONFIG_DIFF},
    };
    const char *name = strrchr(path, '/') + 1;

    for (size_t i = 0; i < G_N_ELEMENTS(OPS); i++) {
        if (strcmp(OPS[i].name, name) == 0) {
            return OPS[i].op;
        }
    }
    return CONFIG_SHOW;
}

/* Reads the body of a promotion: {"revision": N, "expect_revision": M}, where
 * N is the revision of the trial document to promote and M, optional, the
 * revision that production must have now.  {"from_history": N} instead is a
 * rollback: production's earlier revision N is published again under a new
 * number.  On false the request has been answered. */
static bool
parse_promotion(struct front_request *request, struct config_request *config)
{
    json_t *json = json_loadb(request->body->str, request->body->len, 0, NULL);
    json_t *revision = json_object_get(json, "revision");
    json_t *expect = json_object_get(json, "expect_revision");

    if (revision == NULL) {
        revision = json_object_get(json, "from_history");
        config->op = CONFIG_ROLLBACK;
    }
    bool is_ok = json_is_integer(revision) &&
                 (expect == NULL || json_is_integer(expect));

    config->revision = json_integer_value(revision);
    config->expect_revision = json_integer_value(expect);
    json_decref(json);
    if (!is_ok) {
        front_fail(request, &FRONT_BAD_REQUEST,
                   "the body must be {\"revision\": N} with the number of "
                   "the trial document, or {\"from_history\": N}");
    }
    return is_ok;
}

/* Returns a numeric query parameter; 0 if it is absent or not a number. */
static int64_t
get_query_number(const struct front_request *request, const char *name)
{
    char text[24];

    return front_request_query(request, name, text, sizeof(text))
               ? g_ascii_strtoll(text, NULL, 10)
               : 0;
}

static void
run_config(struct front_request *request)
{
    struct front *front = request->front;
    enum config_op op = find_op(request->path);
    struct config_request *config =
        config_request_new(op, request->operator_name);

    if (!front_request_query(request, "environment", config->environment,
                             sizeof(config->environment))) {
        g_strlcpy(config->environment, "production",
                  sizeof(config->environment));
    }
    if (op == CONFIG_TRY) {
        g_strlcpy(config->environment, "trial", sizeof(config->environment));
    }
    config->revision = get_query_number(request, "revision");
    config->limit = (int)get_query_number(request, "limit");
    if (op == CONFIG_PROMOTE && !parse_promotion(request, config)) {
        config_request_free(config);
        return;
    }
    if (op != CONFIG_PROMOTE && request->body->len > 0) {
        config->json_in = g_strndup(request->body->str, request->body->len);
    }
    config->context = front_request_ref(request);
    front->n_calls++;
    config_request_send(front->platform, config, &front->task, on_config);
}

const struct front_handler FRONT_STATUS = {.run = run_status};
const struct front_handler FRONT_CONFIG = {.run = run_config};
