#include <jansson.h>
#include <string.h>

#include "config/config.h"

/* A comparison of two documents; `path` is the JSON path of the values that
 * are being compared. */
struct diff {
    GString *path;
    json_t *changes;
};

static void compare(struct diff *diff, const json_t *from, const json_t *to);

static void
add_change(struct diff *diff, const json_t *from, const json_t *to)
{
    json_t *change = json_pack("{s:s}", "path", diff->path->str);

    if (from != NULL) {
        json_object_set(change, "from", (json_t *)from);
    }
    if (to != NULL) {
        json_object_set(change, "to", (json_t *)to);
    }
    json_array_append_new(diff->changes, change);
}

static void
compare_at(struct diff *diff, const json_t *from, const json_t *to,
           const char *format, const char *name)
{
    size_t mark = diff->path->len;

    g_string_append_printf(diff->path, format, name);
    compare(diff, from, to);
    g_string_truncate(diff->path, mark);
}

static void
compare_objects(struct diff *diff, const json_t *from, const json_t *to)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)from, name, value)
    {
        compare_at(diff, value, json_object_get(to, name), ".%s", name);
    }
    json_object_foreach((json_t *)to, name, value)
    {
        if (json_object_get(from, name) == NULL) {
            compare_at(diff, NULL, value, ".%s", name);
        }
    }
}

static const char *
get_name(const json_t *element)
{
    return json_string_value(json_object_get(element, "name"));
}

static const json_t *
find_by_name(const json_t *array, const char *name)
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        const json_t *element = json_array_get(array, i);
        if (g_strcmp0(get_name(element), name) == 0) {
            return element;
        }
    }
    return NULL;
}

static bool
is_named_array(const json_t *array)
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        if (get_name(json_array_get(array, i)) == NULL) {
            return false;
        }
    }
    return true;
}

static void
compare_named_arrays(struct diff *diff, const json_t *from, const json_t *to)
{
    for (size_t i = 0; i < json_array_size(from); i++) {
        const json_t *element = json_array_get(from, i);
        const char *name = get_name(element);
        compare_at(diff, element, find_by_name(to, name), "[%s]", name);
    }
    for (size_t i = 0; i < json_array_size(to); i++) {
        const json_t *element = json_array_get(to, i);
        const char *name = get_name(element);
        if (find_by_name(from, name) == NULL) {
            compare_at(diff, NULL, element, "[%s]", name);
        }
    }
}

static void
compare(struct diff *diff, const json_t *from, const json_t *to)
{
    if (from != NULL && to != NULL && json_equal(from, to)) {
        return;
    }
    if (json_is_object(from) && json_is_object(to)) {
        compare_objects(diff, from, to);
        return;
    }
    if (json_is_array(from) && json_is_array(to) && is_named_array(from) &&
        is_named_array(to)) {
        compare_named_arrays(diff, from, to);
        return;
    }
    add_change(diff, from, to);
}

/* Compares two documents; an empty string as `from` stands for an empty
 * object.  The caller frees the result with g_free.  Returns NULL with
 * BASE_INVALID if one of them is not JSON. */
char *
config_diff(const char *from, const char *to, struct base_error *err)
{
    json_error_t error = {.line = 0};
    json_t *old = *from != '\0' ? json_loads(from, 0, &error) : json_object();
    json_t *new = old == NULL ? NULL : json_loads(to, 0, &error);
    char *text = NULL;

    if (old == NULL || new == NULL) {
        base_error_set(err, BASE_INVALID, "line %d, column %d: %s", error.line,
                       error.column, error.text);
    }
    else {
        struct diff diff = {g_string_new("$"), json_array()};
        compare(&diff, old, new);
        char *dumped = json_dumps(diff.changes, JSON_COMPACT);
        text = g_strdup(dumped);
        free(dumped);
        g_string_free(diff.path, TRUE);
        json_decref(diff.changes);
    }
    json_decref(old);
    json_decref(new);
    return text;
}
