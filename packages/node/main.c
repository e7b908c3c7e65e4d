#include "node/node.h"

#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "adapter.h"

enum {
    EXIT_USAGE = 2,
    SETTINGS_CHECK_S = 1, /* time between checks of the settings file */
};

/* Environment variable with the settings file's path, for use without
 * --settings. */
#define SETTINGS_VARIABLE "CARDAMOMPICK_SETTINGS"

struct options {
    char *settings_path;
    gboolean is_check_only;
    gboolean shows_version;
};

static bool
parse_options(struct options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "JSON file with the node's settings", "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &options->is_check_only,
         "check the settings file and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &options->shows_version,
         "print the version and exit", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context =
        g_option_context_new("- run one cardamompick node");
    GError *failure = NULL;
    bool is_ok;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context,
        "Example:\n  cardamompick --settings /etc/cardamompick/node.json\n\n"
        "Without --settings, the environment variable " SETTINGS_VARIABLE
        "\ngives the path of the file.\n\n"
        "SIGTERM and SIGINT start a graceful shutdown: the node accepts no\n"
        "new work and waits for running work, at most for the time of the\n"
        "setting drain_ms.  SIGHUP or a change of the file reloads the\n"
        "settings; only log_level takes effect without a restart.\n\n"
        "Exit codes:\n"
        "  0  clean shutdown, or with --check: the settings are valid\n"
        "  1  the node could not start, or stopped with work still running\n"
        "  2  invalid settings or command line\n");
    is_ok = g_option_context_parse(context, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "cardamompick: %s; see --help\n", failure->message);
        g_error_free(failure);
    }
    if (is_ok && options->settings_path == NULL) {
        options->settings_path = g_strdup(g_getenv(SETTINGS_VARIABLE));
    }
    if (is_ok && !options->shows_version && options->settings_path == NULL) {
        fputs("cardamompick: no settings file: give --settings FILE or "
              "set " SETTINGS_VARIABLE "; see --help\n",
              stderr);
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
    /* The tasks' threads inherit the mask, so only main receives the signals.
     */
    pthread_sigmask(SIG_BLOCK, set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Returns a number that changes when the file is changed; 0: the file can't be
 * read. */
static int64_t
read_stamp(const char *path)
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

/* Waits for SIGTERM or SIGINT and returns the signal's number.  Until then it
 * reloads the settings on SIGHUP and when the file changes. */
static int
wait_for_stop(struct node *node, const char *path, const sigset_t *signals)
{
    const struct timespec interval = {.tv_sec = SETTINGS_CHECK_S};
    int64_t stamp = read_stamp(path);

    for (;;) {
        int number = sigtimedwait(signals, NULL, &interval);
        int64_t new_stamp = read_stamp(path);
        if (number > 0 && number != SIGHUP) {
            return number;
        }
        if (number == SIGHUP || (new_stamp != 0 && new_stamp != stamp)) {
            reload(node, path);
            stamp = new_stamp;
        }
    }
}

static int
run_node(const struct node_settings *settings, const char *path,
         const sigset_t *signals)
{
    static const struct node_adapter ADAPTER = {
        &adapter_store, &adapter_source, &adapter_protocol};
    struct base_error err = {0};
    struct node node;
    int number;
    bool is_clean;

    if (!node_start(&node, settings, &ADAPTER, &err)) {
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

    if (!parse_options(&options, argc, argv)) {
        return EXIT_USAGE;
    }
    if (sodium_init() < 0) {
        fputs("cardamompick: libsodium can't be initialised\n", stderr);
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
    if (!options.is_check_only) {
        block_signals(&signals);
        base_log_setup(settings.name, settings.log_level);
        code = run_node(&settings, options.settings_path, &signals);
    }
    node_settings_finish(&settings);
    g_free(options.settings_path);
    return code;
}
