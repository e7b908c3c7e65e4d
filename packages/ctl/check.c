#include "ctl/ctl.h"

#include "config/config.h"
#include "world/world.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* `cardamomctl config check`: checks a document without a node, and shows how
 * it differs from another one, such as the one in force. */

static const struct ctl_site_format *site_format;

/* Sets how a site's configuration is checked; NULL: only Cardamompick's own
 * documents are known. */
void
ctl_set_site_format(const struct ctl_site_format *format)
{
    site_format = format;
}

static bool
is_site(const GString *text)
{
    return site_format != NULL && site_format->is_config(text->str, text->len);
}

static void
print_problems(const char *name, const struct world_problems *problems)
{
    for (guint i = 0; i < problems->all->len; i++) {
        const struct world_problem *problem = problems->all->pdata[i];
        fprintf(stderr, "%s: %s: %s: %s\n", name,
                problem->severity == WORLD_WARNING ? "warning" : "error",
                problem->path, problem->text);
    }
}

static void
check_document(const char *name, const GString *text,
               struct world_problems *problems)
{
    struct world *world;

    if (is_site(text)) {
        site_format->check(text->str, text->len, problems);
        return;
    }
    world = world_parse(text->str, text->len, problems);
    if (world == NULL) {
        return;
    }
    printf("%s: ok, %d regions, %d zones, %d deployments, %d servers\n", name,
           world->n_regions, world->n_zones, world->n_deployments,
           world->n_servers);
    world_check(world, problems);
    world_unref(world);
}

/* ---- differences ---- */

static void
print_value(const char *sign, const char *path, const json_t *value)
{
    char *text;

    if (value == NULL) {
        return;
    }
    text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
    printf("%s %s: %s\n", sign, path, text);
    free(text);
}

static void
print_changes(const char *changes)
{
    json_t *list = json_loads(changes, 0, NULL);

    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *change = json_array_get(list, i);
        const char *path = json_string_value(json_object_get(change, "path"));
        print_value("-", path, json_object_get(change, "from"));
        print_value("+", path, json_object_get(change, "to"));
    }
    if (json_array_size(list) == 0) {
        puts("no differences");
    }
    json_decref(list);
}

/* Returns the document as it may be shown: a site's without its API keys. */
static char *
make_shown(const GString *text)
{
    return is_site(text) ? site_format->hide_keys(text->str, text->len)
                         : g_strdup(text->str);
}

static bool
print_differences(const GString *from, const GString *to,
                  struct base_error *err)
{
    char *shown_from = make_shown(from);
    char *shown_to = make_shown(to);
    char *changes = config_diff(shown_from, shown_to, err);
    bool is_ok = changes != NULL;

    if (is_ok) {
        print_changes(changes);
    }
    g_free(changes);
    g_free(shown_from);
    g_free(shown_to);
    return is_ok;
}

/* Nodes ignore a site's configuration unless its version is above the one in
 * force. */
static void
check_version(const GString *from, const GString *to,
              struct world_problems *problems)
{
    int64_t old = site_format->version(from->str, from->len);
    int64_t new = site_format->version(to->str, to->len);

    if (new <= old) {
        world_problems_add(problems, WORLD_ERROR, "$.version",
                           "%" G_GINT64_FORMAT
                           " is not above %" G_GINT64_FORMAT
                           ", the version in force",
                           new, old);
    }
}

static bool
compare(const GString *from, const GString *to,
        struct world_problems *problems, struct base_error *err)
{
    if (is_site(from) != is_site(to)) {
        base_error_set(err, BASE_INVALID,
                       "one of them is of another kind or not JSON");
        return false;
    }
    if (is_site(to)) {
        check_version(from, to, problems);
    }
    return print_differences(from, to, err);
}

static int
exit_code(const struct world_problems *problems)
{
    if (world_problems_count(problems, WORLD_ERROR) > 0) {
        return CTL_FAILED;
    }
    return world_problems_count(problems, WORLD_WARNING) > 0 ? CTL_WARNED
                                                             : CTL_OK;
}

static bool
read_file(const char *name, GString *text)
{
    struct base_error err = {0};

    if (base_read_file(name, text, &err)) {
        return true;
    }
    fprintf(stderr, "cardamomctl config: %s\n", err.text);
    return false;
}

/* Checks the document in a file.  `against` is a file with the document in
 * force, or NULL. */
int
ctl_check(const char *name, const char *against)
{
    GString *text = g_string_new(NULL);
    GString *other = g_string_new(NULL);
    struct world_problems problems;
    struct base_error err = {0};
    int code = CTL_USAGE;

    world_problems_init(&problems);
    if (read_file(name, text) &&
        (against == NULL || read_file(against, other))) {
        check_document(name, text, &problems);
        if (against == NULL || compare(other, text, &problems, &err)) {
            code = exit_code(&problems);
        }
        else {
            fprintf(stderr, "%s and %s can't be compared: %s\n", name, against,
                    err.text);
            code = CTL_FAILED;
        }
        print_problems(name, &problems);
    }
    world_problems_finish(&problems);
    g_string_free(text, TRUE);
    g_string_free(other, TRUE);
    return code;
}
