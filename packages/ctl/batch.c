#include "ctl/ctl.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    POLL_MS = 1000,
    MAX_POLL_FAILURES = 60,
    MAX_CREATE_ATTEMPTS = 5,
    BAR_WIDTH = 40,
    UPLOAD_TIMEOUT_MS = 120000,
    KEY_SIZE = 25,
    US_PER_MS = 1000,
};

struct batch_options {
    struct ctl_target target;
    char *endpoint;
    char *window;
    char *key;
    char *output;
    char *errors;
    gboolean is_waiting;
    gboolean is_json;
    char **arguments; /* ACTION [FILE|JOB] */
};

static const char EXAMPLES[] =
    "Actions:\n"
    "  submit FILE        upload a JSONL file and create a job from it\n"
    "  status [JOB]       show one job, or the newest ones\n"
    "  wait JOB           wait until the job has ended, with a progress bar "
    "on a terminal\n"
    "  cancel JOB         cancel the job; results of finished items are "
    "kept\n"
    "  results JOB        fetch the results available so far, as JSONL\n\n"
    "A second submit with the same --key creates no second job and exits "
    "with code 4,\nbecause it uploads the FILE again under a new id.\n\n"
    "Examples:\n"
    "  cardamomctl batch submit sheets.jsonl --window 8h --wait\n"
    "  cardamomctl batch results batch_1f... --output done.jsonl --errors "
    "failed.jsonl\n\n"
    "Exit codes: 0 done, 1 refused or the job did not complete, 2 invalid "
    "command line\nor unreadable FILE, 3 no response from a node, 4 "
    "conflict.\n";

static bool
parse_options(struct batch_options *options, int argc, char **argv)
{
    GOptionEntry target[4];
    const GOptionEntry entries[] = {
        {"endpoint", 0, 0, G_OPTION_ARG_STRING, &options->endpoint,
         "endpoint of the job's requests; default /v1/chat/completions",
         "PATH"},
        {"window", 'w', 0, G_OPTION_ARG_STRING, &options->window,
         "time within which the job must complete, such as 90m; default 24h",
         "TIME"},
        {"key", 'k', 0, G_OPTION_ARG_STRING, &options->key,
         "idempotency key for submit; default a random one", "KEY"},
        {"output", 'o', 0, G_OPTION_ARG_FILENAME, &options->output,
         "write results to FILE instead of standard output", "FILE"},
        {"errors", 0, 0, G_OPTION_ARG_FILENAME, &options->errors,
         "also write the errors of failed items to FILE", "FILE"},
        {"wait", 0, 0, G_OPTION_ARG_NONE, &options->is_waiting,
         "after submit, wait until the job has ended", NULL},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &options->is_json,
         "print the job or list as JSON", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
         &options->arguments, NULL, "ACTION [FILE|JOB]"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *failure = NULL;
    bool is_ok;

    g_option_context_set_summary(
        context,
        "Submits batch jobs, shows their progress and fetches results.");
    g_option_context_set_description(context, EXAMPLES);
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_add_main_entries(
        context, ctl_target_entries(&options->target, target), NULL);
    is_ok = g_option_context_parse(context, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "cardamomctl batch: %s\n", failure->message);
        g_error_free(failure);
    }
    else if (options->arguments == NULL) {
        fputs("cardamomctl batch: ACTION is missing, see --help\n", stderr);
        is_ok = false;
    }
    g_option_context_free(context);
    return is_ok;
}

/* ---- requests to a node ---- */

/* Returns the response's JSON as a new reference.  For an error status or
 * invalid JSON, prints the error and returns NULL.  Sets *code either way. */
static json_t *
parse_response(const struct ctl_http *http, int *code)
{
    json_t *json =
        json_loadb(http->response->str, http->response->len, 0, NULL);

    if (http->status >= 200 && http->status < 300 && json != NULL) {
        *code = CTL_OK;
        return json;
    }
    *code = http->status == 409 ? CTL_CONFLICT : CTL_FAILED;
    fprintf(stderr, "cardamomctl batch: HTTP status %d%s%s: %s\n",
            http->status, http->ran[0] != '\0' ? ", ran: " : "", http->ran,
            http->response->str);
    json_decref(json);
    return NULL;
}

static json_t *
call_node(const struct batch_options *options, const char *method,
          const char *path, const char *body, int *code)
{
    struct ctl_http http = {0};
    struct base_error err = {0};
    json_t *json = NULL;

    *code = CTL_UNREACHABLE;
    if (ctl_target_run(&options->target, method, path, body, &http, &err)) {
        json = parse_response(&http, code);
    }
    else {
        fprintf(stderr, "cardamomctl batch: %s\n", err.text);
    }
    ctl_http_finish(&http);
    return json;
}

static json_t *
call_job(const struct batch_options *options, const char *method,
         const char *job, const char *suffix, int *code)
{
    char *path = g_strconcat("/v1/batches/", job, suffix, NULL);
    json_t *json = call_node(options, method, path, NULL, code);

    g_free(path);
    return json;
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text == NULL ? "" : text;
}

static int
count_of(const json_t *job, const char *name)
{
    const json_t *counts = json_object_get(job, "request_counts");
    return (int)json_integer_value(json_object_get(counts, name));
}

/* ---- printing ---- */

static void
print_json(const json_t *json)
{
    json_dumpf(json, stdout, JSON_INDENT(2));
    fputc('\n', stdout);
}

static void
print_job(const struct batch_options *options, const json_t *job)
{
    if (options->is_json) {
        print_json(job);
        return;
    }
    printf("%s  %-11s  total=%d completed=%d failed=%d cancelled=%d%s\n",
           text_of(job, "id"), text_of(job, "status"), count_of(job, "total"),
           count_of(job, "completed"), count_of(job, "failed"),
           count_of(job, "cancelled"),
           json_is_true(json_object_get(job, "at_risk")) ? "  at risk" : "");
}

static void
draw_bar(const json_t *job)
{
    int total = MAX(count_of(job, "total"), 1);
    int ended = count_of(job, "completed") + count_of(job, "failed") +
                count_of(job, "cancelled");
    int filled = (int)((int64_t)BAR_WIDTH * ended / total);
    char bar[BAR_WIDTH + 1];

    memset(bar, '.', BAR_WIDTH);
    memset(bar, '#', (size_t)CLAMP(filled, 0, BAR_WIDTH));
    bar[BAR_WIDTH] = '\0';
    fprintf(stderr, "\r[%s] %3d%% %d/%d failed=%d %s%s   ", bar,
            (int)(100 * (int64_t)ended / total), ended, total,
            count_of(job, "failed"), text_of(job, "status"),
            json_is_true(json_object_get(job, "at_risk")) ? " at risk" : "");
}

/* ---- actions ---- */

static bool
has_ended(const char *status)
{
    static const char *const ENDED[] = {"completed", "failed", "expired",
                                        "cancelled", NULL};
    return g_strv_contains(ENDED, status);
}

/* Polls the job every POLL_MS until it has ended.  Gives up when the node was
 * unreachable MAX_POLL_FAILURES times in a row. */
static int
wait_for_job(const struct batch_options *options, const char *job_id)
{
    bool is_terminal = isatty(STDERR_FILENO) != 0;
    int n_failures = 0;
    int code = CTL_OK;

    for (;;) {
        json_t *job = call_job(options, "GET", job_id, "", &code);
        if (job == NULL &&
            (code != CTL_UNREACHABLE || ++n_failures == MAX_POLL_FAILURES)) {
            return code;
        }
        if (job != NULL && is_terminal) {
            draw_bar(job);
        }
        if (job != NULL && has_ended(text_of(job, "status"))) {
            code = strcmp(text_of(job, "status"), "completed") == 0
                       ? CTL_OK
                       : CTL_FAILED;
            if (is_terminal) {
                fputc('\n', stderr);
            }
            print_job(options, job);
            json_decref(job);
            return code;
        }
        n_failures = job == NULL ? n_failures : 0;
        json_decref(job);
        g_usleep(POLL_MS * US_PER_MS);
    }
}

static json_t *
upload_file(const struct batch_options *options, const char *file_name,
            int *code)
{
    GError *failure = NULL;
    GMappedFile *file = g_mapped_file_new(file_name, FALSE, &failure);
    char *base = g_path_get_basename(file_name);
    char *escaped = g_uri_escape_string(base, NULL, FALSE);
    char *path =
        g_strconcat("/v1/files?purpose=batch&filename=", escaped, NULL);
    struct base_error err = {0};
    json_t *json = NULL;

    *code = CTL_USAGE;
    if (file == NULL) {
        fprintf(stderr, "cardamomctl batch: %s\n", failure->message);
        g_error_free(failure);
    }
    else {
        struct ctl_http http = {
            .content_type = "application/jsonl",
            .body = g_mapped_file_get_contents(file),
            .body_size = g_mapped_file_get_length(file),
            .timeout_ms = UPLOAD_TIMEOUT_MS,
        };
        *code = CTL_UNREACHABLE;
        if (ctl_target_run(&options->target, "POST", path, NULL, &http,
                           &err)) {
            json = parse_response(&http, code);
        }
        else {
            fprintf(stderr, "cardamomctl batch: %s\n", err.text);
        }
        ctl_http_finish(&http);
        g_mapped_file_unref(file);
    }
    g_free(path);
    g_free(escaped);
    g_free(base);
    return json;
}

/* Creates the job.  The idempotency key makes it safe to send the request
 * again when the response is lost. */
static json_t *
create_job(const struct batch_options *options, const char *file_id, int *code)
{
    char random_key[KEY_SIZE];
    const char *headers[] = {"idempotency-key", options->key, NULL};
    json_t *body = json_pack(
        "{s:s, s:s, s:s}", "input_file_id", file_id, "endpoint",
        options->endpoint ? options->endpoint : "/v1/chat/completions",
        "completion_window", options->window ? options->window : "24h");
    char *text = json_dumps(body, JSON_COMPACT);
    json_t *json = NULL;

    if (headers[1] == NULL) {
        base_random_id(random_key, sizeof(random_key));
        headers[1] = random_key;
    }
    *code = CTL_UNREACHABLE;
    for (int i = 0; i < MAX_CREATE_ATTEMPTS && json == NULL; i++) {
        struct ctl_http http = {.headers = headers};
        struct base_error err = {0};
        bool has_response = ctl_target_run(&options->target, "POST",
                                           "/v1/batches", text, &http, &err);
        if (has_response) {
            json = parse_response(&http, code);
        }
        else {
            fprintf(stderr, "cardamomctl batch: %s\n", err.text);
        }
        bool is_final = has_response && http.status < 500;
        ctl_http_finish(&http);
        if (is_final) {
            break;
        }
        g_usleep(POLL_MS * US_PER_MS);
    }
    free(text);
    json_decref(body);
    return json;
}

static int
submit_job(const struct batch_options *options, const char *file_name)
{
    int code;
    json_t *file = upload_file(options, file_name, &code);
    json_t *job;

    if (file == NULL) {
        return code;
    }
    job = create_job(options, text_of(file, "id"), &code);
    json_decref(file);
    if (job == NULL) {
        return code;
    }
    if (options->is_waiting) {
        fprintf(stderr, "%s\n", text_of(job, "id"));
        code = wait_for_job(options, text_of(job, "id"));
    }
    else {
        print_job(options, job);
    }
    json_decref(job);
    return code;
}

static int
list_jobs(const struct batch_options *options)
{
    int code;
    json_t *json = call_node(options, "GET", "/v1/batches", NULL, &code);
    json_t *job;
    size_t index;

    if (json != NULL && options->is_json) {
        print_json(json);
    }
    else if (json != NULL) {
        json_array_foreach(json_object_get(json, "data"), index, job)
        {
            print_job(options, job);
        }
    }
    json_decref(json);
    return code;
}

static int
call_and_print_job(const struct batch_options *options, const char *method,
                   const char *job, const char *suffix)
{
    int code;
    json_t *json = call_job(options, method, job, suffix, &code);

    if (json != NULL) {
        print_job(options, json);
    }
    json_decref(json);
    return code;
}

static void
write_to_file(void *context, const char *data, size_t size)
{
    fwrite(data, 1, size, context);
}

/* Fetches a file's content to out_name, or to standard output if it is NULL.
 * The content is written to out_name.part and renamed once it is complete, so
 * that out_name never holds an incomplete file. */
static int
fetch_file(const struct batch_options *options, const char *file_id,
           const char *out_name)
{
    char *path = g_strconcat("/v1/files/", file_id, "/content", NULL);
    char *part =
        out_name == NULL ? NULL : g_strconcat(out_name, ".part", NULL);
    FILE *out = part == NULL ? stdout : fopen(part, "w");
    struct ctl_http http = {.sink = write_to_file, .sink_context = out};
    struct base_error err = {0};
    int code = CTL_UNREACHABLE;

    if (out == NULL) {
        fprintf(stderr, "cardamomctl batch: can't open %s for writing: %s\n",
                part, g_strerror(errno));
        code = CTL_USAGE;
    }
    else if (!ctl_target_run(&options->target, "GET", path, NULL, &http,
                             &err)) {
        fprintf(stderr, "cardamomctl batch: %s\n", err.text);
    }
    else if (http.status != 200) {
        fprintf(stderr, "cardamomctl batch: HTTP status %d for file '%s'\n",
                http.status, file_id);
        code = CTL_FAILED;
    }
    else {
        code = CTL_OK;
    }
    if (out != NULL && out != stdout && fclose(out) != 0) {
        fprintf(stderr, "cardamomctl batch: can't write %s: %s\n", part,
                g_strerror(errno));
        code = CTL_FAILED;
    }
    if (part != NULL && code == CTL_OK && rename(part, out_name) != 0) {
        fprintf(stderr, "cardamomctl batch: can't rename %s to %s: %s\n", part,
                out_name, g_strerror(errno));
        code = CTL_FAILED;
    }
    ctl_http_finish(&http);
    g_free(part);
    g_free(path);
    return code;
}

static int
fetch_results(const struct batch_options *options, const char *job_id)
{
    int code;
    json_t *job = call_job(options, "GET", job_id, "", &code);

    if (job == NULL) {
        return code;
    }
    code =
        fetch_file(options, text_of(job, "output_file_id"), options->output);
    if (code == CTL_OK && options->errors != NULL) {
        code = fetch_file(options, text_of(job, "error_file_id"),
                          options->errors);
    }
    json_decref(job);
    return code;
}

static int
run_action(const struct batch_options *options)
{
    const char *action = options->arguments[0];
    const char *argument = options->arguments[1];

    if (strcmp(action, "status") == 0) {
        return argument == NULL
                   ? list_jobs(options)
                   : call_and_print_job(options, "GET", argument, "");
    }
    if (argument == NULL) {
        fprintf(stderr,
                "cardamomctl batch: '%s' needs a FILE (submit) or a JOB, see "
                "--help\n",
                action);
        return CTL_USAGE;
    }
    if (strcmp(action, "submit") == 0) {
        return submit_job(options, argument);
    }
    if (strcmp(action, "wait") == 0) {
        return wait_for_job(options, argument);
    }
    if (strcmp(action, "cancel") == 0) {
        return call_and_print_job(options, "POST", argument, "/cancel");
    }
    if (strcmp(action, "results") == 0) {
        return fetch_results(options, argument);
    }
    fprintf(stderr, "cardamomctl batch: unknown action '%s', see --help\n",
            action);
    return CTL_USAGE;
}

/* `cardamomctl batch ACTION`: submits batch jobs, shows them and fetches their
 * results. */
int
ctl_batch(int argc, char **argv)
{
    struct batch_options options = {0};
    int code =
        parse_options(&options, argc, argv) ? run_action(&options) : CTL_USAGE;

    ctl_target_finish(&options.target);
    g_free(options.endpoint);
    g_free(options.window);
    g_free(options.key);
    g_free(options.output);
    g_free(options.errors);
    g_strfreev(options.arguments);
    return code;
}
