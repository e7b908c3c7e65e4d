#include "ctl/ctl.h"

#include "config/config.h"
#include "platform/platform.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct config_options {
    struct ctl_target target;
    char *environment;
    char *author;
    char *kv;
    char *against;
    gint64 revision;
    gint64 expect;
    char **arguments; /* ACTION [FILE] */
};

static const char EXAMPLES[] =
    "Actions:\n"
    "  check FILE              check a document or a site's configuration, "
    "without a node\n"
    "  diff FILE               compare a document with the active one of "
    "--environment\n"
    "  try FILE                make a document active in the trial "
    "environment\n"
    "  promote --revision N    make revision N of trial active in production\n"
    "  rollback --revision N   make the earlier revision N of production "
    "active again\n"
    "  history                 list the revisions of --environment\n"
    "  show                    print the active document of --environment\n"
    "  bootstrap FILE --kv IP:PORT\n"
    "                          store the first document of a new system\n\n"
    "Examples:\n"
    "  cardamomctl config check examples/lyhtyla.json\n"
    "  cardamomctl config check new.json --against in-force.json\n"
    "  cardamomctl config try desk.json && cardamomctl config promote "
    "--revision 12\n"
    "  cardamomctl config history --environment production\n";

static bool
parse_options(struct config_options *options, int argc, char **argv)
{
    GOptionEntry target[4];
    const GOptionEntry entries[] = {
        {"environment", 'e', 0, G_OPTION_ARG_STRING, &options->environment,
         "trial or production; default production", "NAME"},
        {"revision", 'r', 0, G_OPTION_ARG_INT64, &options->revision,
         "revision to promote or to roll back to", "N"},
        {"expect", 0, 0, G_OPTION_ARG_INT64, &options->expect,
         "for promote and rollback: fail with a conflict unless "
         "production's revision is N",
         "N"},
        {"author", 0, 0, G_OPTION_ARG_STRING, &options->author,
         "author to record, for bootstrap; default bootstrap", "NAME"},
        {"kv", 0, 0, G_OPTION_ARG_STRING, &options->kv,
         "address of the key-value service, for bootstrap", "IP:PORT"},
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &options->against,
         "for check: the document in force, to show what differs", "FILE"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
         &options->arguments, NULL, "ACTION [FILE]"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *failure = NULL;
    bool is_ok;

    g_option_context_set_summary(
        context, "Checks, tries, promotes and shows configuration documents.");
    g_option_context_set_description(context, EXAMPLES);
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_add_main_entries(
        context, ctl_target_entries(&options->target, target), NULL);
    is_ok = g_option_context_parse(context, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "cardamomctl config: %s\n", failure->message);
        g_error_free(failure);
    }
    else if (options->arguments == NULL) {
        fputs("cardamomctl config: ACTION is missing, see --help\n", stderr);
        is_ok = false;
    }
    g_option_context_free(context);
    return is_ok;
}

static bool
read_document(const struct config_options *options, GString *text)
{
    struct base_error err = {0};

    if (options->arguments[1] == NULL) {
        fputs("cardamomctl config: FILE is missing, see --help\n", stderr);
        return false;
    }
    if (!base_read_file(options->arguments[1], text, &err)) {
        fprintf(stderr, "cardamomctl config: %s\n", err.text);
        return false;
    }
    return true;
}

static int
exit_code(int status)
{
    if (status >= 200 && status < 300) {
        return CTL_OK;
    }
    return status == 409 ? CTL_CONFLICT : CTL_FAILED;
}

static int
call_node(const struct config_options *options, const char *method,
          const char *path, const char *body)
{
    struct ctl_http http = {0};
    struct base_error err = {0};
    int code = CTL_UNREACHABLE;

    if (ctl_target_run(&options->target, method, path, body, &http, &err)) {
        code = exit_code(http.status);
        fprintf(code == CTL_OK ? stdout : stderr, "%s\n", http.response->str);
    }
    else {
        fprintf(stderr, "cardamomctl config: %s\n", err.text);
    }
    ctl_http_finish(&http);
    return code;
}

static int
send_document(const struct config_options *options, const char *action)
{
    GString *text = g_string_new(NULL);
    char *path = g_strdup_printf("/admin/config/%s?environment=%s", action,
                                 options->environment ? options->environment
                                                      : "production");
    int code = CTL_USAGE;

    if (read_document(options, text)) {
        code = call_node(options, "POST", path, text->str);
    }
    g_free(path);
    g_string_free(text, TRUE);
    return code;
}

static int
promote(const struct config_options *options, const char *member)
{
    char body[128];

    if (options->revision <= 0) {
        fprintf(stderr,
                "cardamomctl config: --revision N is needed, with N above 0; "
                "got %" G_GINT64_FORMAT "\n",
                options->revision);
        return CTL_USAGE;
    }
    if (options->expect > 0) {
        snprintf(body, sizeof(body),
                 "{\"%s\":%" G_GINT64_FORMAT
                 ",\"expect_revision\":%" G_GINT64_FORMAT "}",
                 member, options->revision, options->expect);
    }
    else {
        snprintf(body, sizeof(body), "{\"%s\":%" G_GINT64_FORMAT "}", member,
                 options->revision);
    }
    return call_node(options, "POST", "/admin/config/promote", body);
}

static int
fetch_and_print(const struct config_options *options, const char *action)
{
    char *path = g_strdup_printf("/admin/config/%s?environment=%s", action,
                                 options->environment ? options->environment
                                                      : "production");
    int code = call_node(options, "GET", path, NULL);

    g_free(path);
    return code;
}

/* ---- bootstrap: writes to the key-value service without a node ---- */

static void
store_response(struct config_request *request, void *state)
{
    *(struct config_request **)state = request;
}

/* run_request drains the task itself, so the task needs no run loop. */
static void
run_nothing(struct base_task *task)
{
}

static struct config_request *
run_request(struct platform *platform, struct config_request *request)
{
    static const struct base_task_ops OPS = {base_task_wake_fd, run_nothing};
    struct config_request *response = NULL;
    struct base_task task;
    struct base_error err = {0};

    if (!base_task_init(&task, "ctl", &OPS, &response, &err)) {
        return NULL;
    }
    config_request_send(platform, request, &task, store_response);
    while (response == NULL) {
        base_task_drain(&task);
        g_usleep(1000);
    }
    base_task_finish(&task);
    return response;
}

static int64_t
document_number(const struct config_request *request)
{
    json_t *json = json_loads(request->json_out, 0, NULL);
    int64_t number = json_integer_value(json_object_get(json, "number"));

    json_decref(json);
    return number;
}

static int
try_and_promote(struct platform *platform,
                const struct config_options *options, const char *document)
{
    const char *author = options->author ? options->author : "bootstrap";
    struct config_request *request = config_request_new(CONFIG_TRY, author);
    int code;

    g_strlcpy(request->environment, "trial", sizeof(request->environment));
    request->json_in = g_strdup(document);
    request = run_request(platform, request);
    code = exit_code(request->status);
    if (code == CTL_OK) {
        struct config_request *next =
            config_request_new(CONFIG_PROMOTE, author);
        g_strlcpy(next->environment, "production", sizeof(next->environment));
        next->revision = document_number(request);
        config_request_free(request);
        request = run_request(platform, next);
        code = exit_code(request->status);
    }
    fprintf(code == CTL_OK ? stdout : stderr, "%s\n", request->json_out);
    config_request_free(request);
    return code;
}

static int
bootstrap(const struct config_options *options)
{
    const char *const kv[] = {options->kv};
    struct platform_desc desc = {.kv = kv, .n_kv = 1, .calls_per_s = 100};
    struct base_counters counters;
    struct base_error err = {0};
    GString *text = g_string_new(NULL);
    struct platform *platform;
    int code = CTL_USAGE;

    if (options->kv == NULL || !read_document(options, text)) {
        fputs(
            "cardamomctl config: bootstrap needs --kv IP:PORT and a readable "
            "FILE\n",
            stderr);
        g_string_free(text, TRUE);
        return CTL_USAGE;
    }
    base_counters_init(&counters);
    desc.counters = &counters;
    platform = platform_start(&desc, &err);
    if (platform != NULL) {
        code = try_and_promote(platform, options, text->str);
        platform_stop(platform);
    }
    else {
        fprintf(stderr, "cardamomctl config: %s\n", err.text);
    }
    base_counters_finish(&counters);
    g_string_free(text, TRUE);
    return code;
}

static int
run_action(const struct config_options *options)
{
    const char *action = options->arguments[0];

    if (strcmp(action, "check") == 0 && options->arguments[1] != NULL) {
        return ctl_check(options->arguments[1], options->against);
    }
    if (strcmp(action, "check") == 0) {
        fputs("cardamomctl config: FILE is missing, see --help\n", stderr);
        return CTL_USAGE;
    }
    if (strcmp(action, "try") == 0 || strcmp(action, "diff") == 0) {
        return send_document(options, action);
    }
    if (strcmp(action, "promote") == 0) {
        return promote(options, "revision");
    }
    if (strcmp(action, "rollback") == 0) {
        return promote(options, "from_history");
    }
    if (strcmp(action, "history") == 0 || strcmp(action, "show") == 0) {
        return fetch_and_print(options, action);
    }
    if (strcmp(action, "bootstrap") == 0) {
        return bootstrap(options);
    }
    fprintf(stderr, "cardamomctl config: unknown action '%s', see --help\n",
            action);
    return CTL_USAGE;
}

/* `cardamomctl config ACTION`: checks, changes and shows the configuration. */
int
ctl_config(int argc, char **argv)
{
    struct config_options options = {0};
    int code = CTL_USAGE;

    if (parse_options(&options, argc, argv)) {
        code = run_action(&options);
    }
    ctl_target_finish(&options.target);
    g_strfreev(options.arguments);
    g_free(options.environment);
    g_free(options.author);
    g_free(options.kv);
    g_free(options.against);
    return code;
}
