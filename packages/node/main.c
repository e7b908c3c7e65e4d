#include "node/node.h"

#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "adapter.h"

enum {
    EXIT_USAGE = 2,
    SETTINGS_CHECK_S = 1, /* between looks at the settings file */
};

/* The settings file may be named here instead of on the command line. */
#define SETTINGS_VARIABLE "CARDAMOMPICK_SETTINGS"

struct options {
    char *settings_path;
    gboolean only_check;
    gboolean shows_version;
};

static bool
parse_options(struct options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "the node's settings", "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &options->only_check,
         "check the settings and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &options->shows_version,
         "print the version and exit", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- one cardamompick node");
    GError *failure = NULL;
    bool is_ok;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context,
        "Example:\n  cardamompick --settings /etc/cardamompick/node.json\n\n"
        "Without --settings, " SETTINGS_VARIABLE " names the file.\n"
        "SIGTERM or SIGINT begins a planned stop, which cuts off nothing.\n"
        "SIGHUP, or a change of the file, has the settings read again.\n"
        "Exit codes: 0 stopped, 1 failed, 2 wrong settings or usage.\n");
    is_ok = g_option_context_parse(context, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "cardamompick: %s\n", failure->message);
        g_error_free(failure);
    }
    if (is_ok && options->settings_path == NULL) {
        options->settings_path = g_strdup(g_getenv(SETTINGS_VARIABLE));
    }
    if (is_ok && !options->shows_version && options->settings_path == NULL) {
        fputs("cardamompick: --settings FILE is needed\n", stderr);
        is_ok = false;
    }
    g_option_context_free(context);
    return is_ok;
}

static void
block_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
    sigaddset(set, SIGHUP);
    /* The tasks' threads inherit the mask, so that only main hears them. */
    pthread_sigmask(SIG_BLOCK, set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Changes when the settings file does. */
static int64_t
stamp_of(const char *path)
{
    struct stat status;

    if (stat(path, &status) != 0) {
        return 0;
    }
    return (int64_t)status.st_mtim.tv_sec * 1000000000 +
           status.st_mtim.tv_nsec + status.st_size;
}

static void
reload(struct node *node, const char *path)
{
    struct node_settings settings;
    struct base_error err = {0};

    if (!node_settings_load(&settings, path, &err)) {
        base_log_error("node.reload_refused", &err, "path=%s", path);
        return;
    }
    node_reload(node, &settings);
    base_log(BASE_LOG_NOTICE, "node.reloaded", "path=%s log_level=%d", path,
             (int)settings.log_level);
    node_settings_finish(&settings);
}

/* Waits for the signal to stop; reads the settings again meanwhile whenever
 * a signal says so or the file changed. */
static int
wait_for_stop(struct node *node, const char *path, const sigset_t *signals)
{
    const struct timespec interval = {.tv_sec = SETTINGS_CHECK_S};
    int64_t stamp = stamp_of(path);

    for (;;) {
        int number = sigtimedwait(signals, NULL, &interval);
        int64_t seen = stamp_of(path);
        if (number > 0 && number != SIGHUP) {
            return number;
        }
        if (number == SIGHUP || (seen != 0 && seen != stamp)) {
            reload(node, path);
            stamp = seen;
        }
    }
}

static int
run_node(const struct node_settings *settings, const char *path,
         const sigset_t *signals)
{
    static const struct node_dialects DIALECTS = {
        &adapter_store, &adapter_source, &adapter_protocol};
    struct base_error err = {0};
    struct node node;
    int number;
    bool is_clean;

    if (!node_start(&node, settings, &DIALECTS, &err)) {
        base_log_error("node.start_failed", &err, "%s", "");
        node_stop(&node);
        return EXIT_FAILURE;
    }
    base_log(BASE_LOG_NOTICE, "node.started",
             "zone=%s callers=%s control=%s version=%s", settings->zone,
             settings->site.callers != NULL ? settings->site.callers
                                            : settings->http_address,
             settings->control, CARDAMOMPICK_VERSION);
    number = wait_for_stop(&node, path, signals);
    base_log(BASE_LOG_NOTICE, "node.draining", "signal=%d", number);
    is_clean = node_drain(&node);
    base_log(BASE_LOG_NOTICE, "node.stopped", "clean=%s",
             is_clean ? "yes" : "no");
    node_stop(&node);
    return is_clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    struct options options = {0};
    struct node_settings settings;
    struct base_error err = {0};
    sigset_t signals;
    int code = EXIT_SUCCESS;

    if (!parse_options(&options, argc, argv) || sodium_init() < 0) {
        return EXIT_USAGE;
    }
    if (options.shows_version) {
        puts("cardamompick " CARDAMOMPICK_VERSION);
        return EXIT_SUCCESS;
    }
    if (!node_settings_load(&settings, options.settings_path, &err)) {
        fprintf(stderr, "cardamompick: %s: %s\n", options.settings_path,
                err.text);
        return EXIT_USAGE;
    }
    if (!options.only_check) {
        block_signals(&signals);
        base_log_setup(settings.name, settings.log_level);
        code = run_node(&settings, options.settings_path, &signals);
    }
    node_settings_finish(&settings);
    g_free(options.settings_path);
    return code;
}
