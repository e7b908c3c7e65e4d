#include "ctl/ctl.h"
#include "ctl/load_report.h"

#include <string.h>

/* The command line as GLib parses it. */
struct load_command {
    struct load_options options;
    char **operators;
    char *token;
    char *short_tokens;
    char *long_tokens;
    char *out;
    char *records;
    gint64 seed;
};

static const char SUMMARY[] =
    "Generates open-loop load: requests are sent at their planned times, "
    "however many are\nopen, and times are measured from the planned start.  "
    "The seed determines arrivals,\noperators, classes, sizes and prompts.  "
    "Every response is checked to be complete and\nto belong to its request.";

static const char EXAMPLES[] =
    "COUNT is a distribution of token counts: N, uniform:MIN:MAX or "
    "lognormal:MEDIAN:SIGMA.\nP is a fraction of the requests, from 0 to "
    "1.\n\n"
    "Examples:\n"
    "  cardamomctl load --url http://127.0.0.1:8080 --model lantern-7b "
    "--token KEY\n"
    "      --rate 50 --seconds 10 --out run.json\n"
    "  cardamomctl load -u http://10.0.0.1:8080 -u http://10.0.0.2:8080 "
    "-m lantern-7b\n"
    "      --operator desk:KEY1:9 --operator shop:KEY2:1 --long-share 0.05\n"
    "      --burst-every 5 --burst-seconds 1 --burst-factor 4 --seed 7 "
    "--records run.jsonl\n\n"
    "Exit codes: 0 every request was completed or refused, 1 a response was "
    "cut, wrong,\nmissing or an error event, or a file could not be written, "
    "2 invalid command line.";

static GOptionContext *
make_context(struct load_command *command)
{
    struct load_options *options = &command->options;
    struct load_settings *settings = &options->settings;
    const GOptionEntry entries[] = {
        {"url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &options->urls,
         "URL of a node; may be repeated", "URL"},
        {"model", 'm', 0, G_OPTION_ARG_STRING, &options->model,
         "model to request", "NAME"},
        {"token", 't', 0, G_OPTION_ARG_STRING, &command->token,
         "API key, without --operator; default $CARDAMOM_TOKEN", "KEY"},
        {"operator", 0, 0, G_OPTION_ARG_STRING_ARRAY, &command->operators,
         "operator, its API key and its relative share of the requests; may "
         "be repeated",
         "NAME:KEY:SHARE"},
        {"seed", 's', 0, G_OPTION_ARG_INT64, &command->seed,
         "seed of the random numbers; default 1", "N"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &settings->rate,
         "requests per second outside bursts; default 10", "R"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &settings->seconds,
         "duration of the run; default 10", "S"},
        {"requests", 0, 0, G_OPTION_ARG_INT64, &settings->max_requests,
         "maximum number of requests; default no limit", "N"},
        {"burst-factor", 0, 0, G_OPTION_ARG_DOUBLE, &settings->burst_factor,
         "factor on the rate during a burst; default 1", "F"},
        {"burst-every", 0, 0, G_OPTION_ARG_DOUBLE, &settings->burst_every_s,
         "mean seconds between bursts; default no bursts", "S"},
        {"burst-seconds", 0, 0, G_OPTION_ARG_DOUBLE, &settings->burst_s,
         "seconds of a burst; default 1", "S"},
        {"short-tokens", 0, 0, G_OPTION_ARG_STRING, &command->short_tokens,
         "tokens of a short request; default lognormal:32:0.6", "COUNT"},
        {"long-tokens", 0, 0, G_OPTION_ARG_STRING, &command->long_tokens,
         "tokens of a long request; default uniform:512:1024", "COUNT"},
        {"long-share", 0, 0, G_OPTION_ARG_DOUBLE, &settings->long_share,
         "share of long requests; default 0", "P"},
        {"plain-share", 0, 0, G_OPTION_ARG_DOUBLE, &settings->plain_share,
         "share of requests that are not streamed; default 0", "P"},
        {"prefixes", 0, 0, G_OPTION_ARG_INT, &settings->prefixes,
         "number of prompt prefixes that requests share; default 0: all "
         "prompts differ",
         "N"},
        {"prefix-bytes", 0, 0, G_OPTION_ARG_INT, &settings->prefix_bytes,
         "bytes of a prompt prefix; default 600", "N"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &options->deadline_ms,
         "deadline of each request; default 60000", "MS"},
        {"most-open", 0, 0, G_OPTION_ARG_INT, &options->max_open,
         "requests open at once; further ones fail unsent; default 4000", "N"},
        {"check-tokens", 0, 0, G_OPTION_ARG_NONE, &options->checks_tokens,
         "compare every token with the stand-in engine's", NULL},
        {"direct", 0, 0, G_OPTION_ARG_NONE, &options->is_direct,
         "the URLs are engines, which keep the request id that was sent",
         NULL},
        {"ca", 0, 0, G_OPTION_ARG_FILENAME, &options->ca_file,
         "CA certificates for https; default the system's", "FILE"},
        {"out", 'o', 0, G_OPTION_ARG_FILENAME, &command->out,
         "write the report as JSON", "FILE"},
        {"records", 0, 0, G_OPTION_ARG_FILENAME, &command->records,
         "write one JSON line for each request", "FILE"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);

    g_option_context_set_summary(context, SUMMARY);
    g_option_context_set_description(context, EXAMPLES);
    g_option_context_add_main_entries(context, entries, NULL);
    return context;
}

static void
set_defaults(struct load_command *command)
{
    struct load_options *options = &command->options;
    struct load_settings *settings = &options->settings;

    memset(command, 0, sizeof(*command));
    command->seed = 1;
    settings->rate = 10;
    settings->seconds = 10;
    settings->burst_factor = 1;
    settings->burst_s = 1;
    settings->prefix_bytes = 600;
    settings->operators = g_ptr_array_new();
    options->deadline_ms = 60000;
    options->max_open = 4000;
}

static bool
add_operator(GPtrArray *operators, const char *text)
{
    char **parts = g_strsplit(text, ":", 3);
    bool is_ok = g_strv_length(parts) == 3;

    if (is_ok) {
        struct load_operator *added = g_new0(struct load_operator, 1);
        added->name = g_strdup(parts[0]);
        added->key = g_strdup(parts[1]);
        added->share = g_ascii_strtod(parts[2], NULL);
        is_ok = added->share > 0;
        g_ptr_array_add(operators, added);
    }
    g_strfreev(parts);
    return is_ok;
}

static bool
read_operators(struct load_command *command)
{
    GPtrArray *operators = command->options.settings.operators;
    const char *token =
        command->token != NULL ? command->token : g_getenv("CARDAMOM_TOKEN");

    for (char **at = command->operators; at != NULL && *at != NULL; at++) {
        if (!add_operator(operators, *at)) {
            fprintf(stderr,
                    "cardamomctl load: --operator %s: expected "
                    "NAME:KEY:SHARE, with "
                    "SHARE above 0\n",
                    *at);
            return false;
        }
    }
    if (operators->len == 0) {
        struct load_operator *only = g_new0(struct load_operator, 1);
        only->name = g_strdup("default");
        only->key = g_strdup(token);
        only->share = 1;
        g_ptr_array_add(operators, only);
    }
    return true;
}

static bool
read_tokens(struct load_command *command)
{
    struct load_tokens *tokens = command->options.settings.tokens;
    const char *texts[LOAD_N_CLASSES] = {
        command->short_tokens ? command->short_tokens : "lognormal:32:0.6",
        command->long_tokens ? command->long_tokens : "uniform:512:1024",
    };

    for (int i = 0; i < LOAD_N_CLASSES; i++) {
        if (!load_tokens_parse(&tokens[i], texts[i])) {
            fprintf(stderr,
                    "cardamomctl load: invalid token count '%s': expected N, "
                    "uniform:MIN:MAX or lognormal:MEDIAN:SIGMA, from 1 up\n",
                    texts[i]);
            return false;
        }
    }
    return true;
}

static bool
check_positive(const char *flag, double value)
{
    if (value <= 0) {
        fprintf(stderr, "cardamomctl load: %s must be above 0, got %g\n", flag,
                value);
        return false;
    }
    return true;
}

static bool
check_settings(const struct load_options *options)
{
    const struct load_settings *settings = &options->settings;

    if (options->urls == NULL || options->model == NULL) {
        fputs("cardamomctl load: --url URL and --model NAME are needed\n",
              stderr);
        return false;
    }
    return check_positive("--rate", settings->rate) &&
           check_positive("--seconds", settings->seconds) &&
           check_positive("--burst-factor", settings->burst_factor) &&
           check_positive("--burst-seconds", settings->burst_s) &&
           check_positive("--deadline-ms", (double)options->deadline_ms) &&
           check_positive("--most-open", options->max_open);
}

static bool
parse_options(struct load_command *command, int argc, char **argv)
{
    GOptionContext *context = make_context(command);
    struct load_options *options = &command->options;
    GError *failure = NULL;
    bool is_ok = g_option_context_parse(context, &argc, &argv, &failure);

    g_option_context_free(context);
    if (!is_ok) {
        fprintf(stderr, "cardamomctl load: %s\n", failure->message);
        g_error_free(failure);
        return false;
    }
    options->settings.seed = (uint64_t)command->seed;
    options->settings.n_urls =
        options->urls != NULL ? (int)g_strv_length(options->urls) : 0;
    return check_settings(options) && read_operators(command) &&
           read_tokens(command);
}

static void
finish_options(struct load_command *command)
{
    GPtrArray *operators = command->options.settings.operators;

    for (guint i = 0; i < operators->len; i++) {
        struct load_operator *each = operators->pdata[i];
        g_free(each->name);
        g_free(each->key);
        g_free(each);
    }
    g_ptr_array_free(operators, TRUE);
    g_strfreev(command->options.urls);
    g_strfreev(command->operators);
    g_free(command->options.model);
    g_free(command->options.ca_file);
    g_free(command->token);
    g_free(command->short_tokens);
    g_free(command->long_tokens);
    g_free(command->out);
    g_free(command->records);
}

static bool
write_results(const struct load_command *command,
              const struct load_client *client, json_t *report,
              struct base_error *err)
{
    if (command->out != NULL &&
        json_dump_file(report, command->out, JSON_INDENT(1)) != 0) {
        base_error_set(err, BASE_UNAVAILABLE, "%s: can't write the file",
                       command->out);
        return false;
    }
    return command->records == NULL ||
           load_report_write_records(client, command->records, err);
}

/* Whether every request was completed or refused. */
static bool
is_clean(const json_t *report)
{
    const json_t *all =
        json_object_get(json_object_get(report, "classes"), "all");
    const enum load_verdict bad[] = {LOAD_FAILED, LOAD_CUT, LOAD_WRONG,
                                     LOAD_ERROR_EVENT};

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        const char *name = load_verdict_name(bad[i]);
        if (json_integer_value(json_object_get(all, name)) != 0) {
            return false;
        }
    }
    return true;
}

static int
run(const struct load_command *command)
{
    struct base_error err = {0};
    struct load_client client;
    bool is_ok = load_client_run(&client, &command->options, &err);
    int code = CTL_FAILED;

    if (is_ok) {
        json_t *report = load_report_make(&client);
        GString *summary = g_string_new(NULL);
        load_report_summary(report, summary);
        puts(summary->str);
        is_ok = write_results(command, &client, report, &err);
        code = is_ok && is_clean(report) ? CTL_OK : CTL_FAILED;
        g_string_free(summary, TRUE);
        json_decref(report);
    }
    if (!is_ok) {
        fprintf(stderr, "cardamomctl load: %s\n", err.text);
    }
    load_client_finish(&client);
    return code;
}

/* `cardamomctl load`: generates load and writes a report. */
int
ctl_load(int argc, char **argv)
{
    struct load_command command;
    int code = CTL_USAGE;

    set_defaults(&command);
    if (parse_options(&command, argc, argv)) {
        code = run(&command);
    }
    finish_options(&command);
    return code;
}
