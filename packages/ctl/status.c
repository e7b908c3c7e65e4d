#include "ctl/ctl.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct status_options {
    struct ctl_target target;
    gboolean as_json;
};

static bool
parse_options(struct status_options *options, int argc, char **argv)
{
    GOptionEntry target[4];
    const GOptionEntry entries[] = {
        {"json", 'j', 0, G_OPTION_ARG_NONE, &options->as_json,
         "print the node's JSON response unchanged", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *failure = NULL;
    bool is_ok;

    g_option_context_set_summary(
        context,
        "Shows the nodes, servers, deployments and rate limits that one node "
        "knows.");
    g_option_context_set_description(context,
                                     "Example:\n  cardamomctl status --node "
                                     "http://127.0.0.1:8080 --token KEY\n");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_add_main_entries(
        context, ctl_target_entries(&options->target, target), NULL);
    is_ok = g_option_context_parse(context, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "cardamomctl status: %s\n", failure->message);
        g_error_free(failure);
    }
    g_option_context_free(context);
    return is_ok;
}

static void
print_value(const json_t *value)
{
    char *text;

    if (json_is_string(value)) {
        printf("%-18s ", json_string_value(value));
        return;
    }
    text = json_dumps(value,
                      JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION(6));
    printf("%-18s ", text);
    free(text);
}

/* Prints a list of objects as a table.  The member names of the first object
 * are the column headings. */
static void
print_table(const char *name, const json_t *list)
{
    const char *member;
    json_t *value;
    json_t *row;
    size_t i;

    printf("\n%s (%zu)\n", name, json_array_size(list));
    json_object_foreach(json_array_get(list, 0), member, value)
    {
        printf("%-18s ", member);
    }
    puts("");
    json_array_foreach(list, i, row)
    {
        json_object_foreach(row, member, value)
        {
            print_value(value);
        }
        puts("");
    }
}

static void
print_status(json_t *root)
{
    const char *member;
    json_t *value;

    json_object_foreach(root, member, value)
    {
        if (!json_is_array(value)) {
            printf("%-18s ", member);
            print_value(value);
            puts("");
        }
    }
    json_object_foreach(root, member, value)
    {
        if (json_is_array(value) && json_array_size(value) > 0) {
            print_table(member, value);
        }
    }
}

static int
show_status(const struct status_options *options)
{
    struct ctl_http http = {0};
    struct base_error err = {0};
    int code = CTL_UNREACHABLE;
    json_t *root = NULL;

    if (!ctl_target_run(&options->target, "GET", "/admin/status", NULL, &http,
                        &err)) {
        fprintf(stderr, "cardamomctl status: %s\n", err.text);
    }
    else if (http.status != 200) {
        fprintf(stderr, "%s\n", http.response->str);
        code = CTL_FAILED;
    }
    else if (options->as_json ||
             (root = json_loads(http.response->str, 0, NULL)) == NULL) {
        puts(http.response->str);
        code = CTL_OK;
    }
    else {
        print_status(root);
        code = CTL_OK;
    }
    json_decref(root);
    ctl_http_finish(&http);
    return code;
}

/* `cardamomctl status`: prints nodes, servers and deployments as tables. */
int
ctl_status(int argc, char **argv)
{
    struct status_options options = {0};
    int code = CTL_USAGE;

    if (parse_options(&options, argc, argv)) {
        code = show_status(&options);
    }
    ctl_target_finish(&options.target);
    return code;
}
