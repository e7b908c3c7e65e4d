#include "ctl/ctl.h"

#include <string.h>
#include <unistd.h>

#include "adapter.h"

struct ctl_command {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *summary;
};

static const struct ctl_command COMMANDS[] = {
    {"config", ctl_config, "check, try and promote configuration documents"},
    {"batch", ctl_batch, "submit batch jobs and fetch their results"},
    {"status", ctl_status, "show nodes, servers and deployments"},
    {"trace", ctl_trace, "show one request as a tree of spans"},
    {"load", ctl_load, "generate load and write a report"},
    {"report", ctl_report, "print and draw one or two load reports"},
    {"keys", ctl_keys, "generate node keys and API keys"},
    {"completion", ctl_completion, "print a completion script for bash"},
};

static const struct ctl_site_format SITE_FORMAT = {
    adapter_is_config, adapter_check_config, adapter_config_version,
    adapter_hide_keys};

static void
print_usage(FILE *out)
{
    fputs("usage: cardamomctl COMMAND [OPTIONS]\n\ncommands:\n", out);
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        fprintf(out, "  %-11s %s\n", COMMANDS[i].name, COMMANDS[i].summary);
    }
    fputs("\n`cardamomctl COMMAND --help` shows a command's options and "
          "examples.\nexit codes: 0 done, 1 refused or failed, 2 invalid "
          "command line,\n3 no response from a node, 4 conflict, 5 only "
          "warnings\n",
          out);
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_usage(stderr);
        return CTL_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        print_usage(stdout);
        return CTL_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        puts("cardamomctl " CARDAMOMPICK_VERSION);
        return CTL_OK;
    }
    ctl_set_site_format(&SITE_FORMAT);
    base_log_setup("ctl", BASE_LOG_WARNING);
    base_log_output(STDERR_FILENO);
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        if (strcmp(argv[1], COMMANDS[i].name) == 0) {
            return COMMANDS[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "cardamomctl: unknown command '%s'\n", argv[1]);
    print_usage(stderr);
    return CTL_USAGE;
}
