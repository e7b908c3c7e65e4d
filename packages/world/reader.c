#include "world/reader.h"

#include <inttypes.h>
#include <string.h>

enum { NAME_LENGTH = 63, LABEL_LENGTH = 127 };

/* Prepares a reader whose path is the document's root.  Problems are added to
 * `problems`. */
void
world_reader_init(struct world_reader *reader, struct world_problems *problems)
{
    reader->path = g_string_new("$");
    reader->problems = problems;
}

/* Frees the path; the problems belong to the caller. */
void
world_reader_finish(struct world_reader *reader)
{
    g_string_free(reader->path, TRUE);
}

/* Appends a member or an array element to the path.  Pass the returned mark to
 * world_reader_leave. */
size_t
world_reader_enter(struct world_reader *reader, const char *format, ...)
{
    size_t mark = reader->path->len;
    va_list args;

    g_string_append_c(reader->path, '.');
    va_start(args, format);
    g_string_append_vprintf(reader->path, format, args);
    va_end(args);
    return mark;
}

/* Restores the path as it was before world_reader_enter. */
void
world_reader_leave(struct world_reader *reader, size_t mark)
{
    g_string_truncate(reader->path, mark);
}

static void
add_problem(struct world_reader *reader, char *path, char *text)
{
    struct world_problem *problem = g_new0(struct world_problem, 1);

    problem->path = path;
    problem->text = text;
    g_ptr_array_add(reader->problems->all, problem);
}

/* Records a problem of the value at the current path. */
void
world_reader_report(struct world_reader *reader, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    add_problem(reader, g_strdup(reader->path->str),
                g_strdup_vprintf(format, args));
    va_end(args);
}

/* Records a problem of a member of the object at the current path. */
void
world_reader_report_member(struct world_reader *reader, const char *member,
                           const char *format, ...)
{
    va_list args;

    va_start(args, format);
    add_problem(reader, g_strdup_printf("%s.%s", reader->path->str, member),
                g_strdup_vprintf(format, args));
    va_end(args);
}

static bool
is_listed(const char *name, const char *const *allowed)
{
    for (size_t i = 0; allowed[i] != NULL; i++) {
        if (strcmp(name, allowed[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* Records a problem for each member that is not in `allowed`, which ends with
 * NULL.  Returns false after recording a problem if the value is no object. */
bool
world_reader_check_members(struct world_reader *reader, const json_t *object,
                           const char *const *allowed)
{
    const char *name;
    json_t *value;

    if (!json_is_object(object)) {
        world_reader_report(reader, "must be an object");
        return false;
    }
    json_object_foreach((json_t *)object, name, value)
    {
        if (!is_listed(name, allowed)) {
            world_reader_report_member(reader, name, "unknown member");
        }
    }
    return true;
}

static bool
is_name(const char *text, size_t length)
{
    if (length == 0 || length > NAME_LENGTH) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        char c = text[i];
        if (!g_ascii_isalnum(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}

static bool
is_label(const char *text, size_t length)
{
    if (length == 0 || length > LABEL_LENGTH) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (g_ascii_iscntrl(text[i])) {
            return false;
        }
    }
    return true;
}

/* Returns a message if the value is not a string of this form, else NULL. */
static const char *
find_text_problem(const json_t *value, enum world_text_form form)
{
    if (!json_is_string(value)) {
        return "must be a string";
    }
    const char *text = json_string_value(value);
    size_t length = json_string_length(value);
    if (form == WORLD_TEXT_NAME && !is_name(text, length)) {
        return "must be 1 to 63 letters, digits, '.', '_' or '-'";
    }
    if (form == WORLD_TEXT_LABEL && !is_label(text, length)) {
        return "must be 1 to 127 printable characters";
    }
    return NULL;
}

/* Reads a string member.  If fallback is NULL, the member is required.  The
 * result is "" after a problem, never NULL; the caller frees it. */
char *
world_reader_text(struct world_reader *reader, const json_t *object,
                  const char *name, enum world_text_form form,
                  const char *fallback)
{
    const json_t *value = json_object_get(object, name);

    if (value == NULL) {
        if (fallback == NULL) {
            world_reader_report_member(reader, name, "missing");
        }
        return g_strdup(fallback != NULL ? fallback : "");
    }
    const char *message = find_text_problem(value, form);
    if (message != NULL) {
        world_reader_report_member(reader, name, "%s", message);
        return g_strdup("");
    }
    return g_strdup(json_string_value(value));
}

/* Reads an integer member.  Returns the fallback if the member is missing or
 * invalid; only an invalid one is recorded as a problem. */
int64_t
world_reader_integer(struct world_reader *reader, const json_t *object,
                     const struct world_integer_field *field)
{
    const json_t *value = json_object_get(object, field->name);

    if (value == NULL) {
        return field->fallback;
    }
    if (!json_is_integer(value)) {
        world_reader_report_member(reader, field->name,
                                   "must be a whole number");
        return field->fallback;
    }
    int64_t number = json_integer_value(value);
    if (number < field->lowest || number > field->highest) {
        world_reader_report_member(reader, field->name,
                                   "must be from %" PRId64 " to %" PRId64,
                                   field->lowest, field->highest);
        return field->fallback;
    }
    return number;
}

/* Like world_reader_integer, for any number. */
double
world_reader_number(struct world_reader *reader, const json_t *object,
                    const struct world_number_field *field)
{
    const json_t *value = json_object_get(object, field->name);

    if (value == NULL) {
        return field->fallback;
    }
    if (!json_is_number(value)) {
        world_reader_report_member(reader, field->name, "must be a number");
        return field->fallback;
    }
    double number = json_number_value(value);
    if (!(number >= field->lowest && number <= field->highest)) {
        world_reader_report_member(reader, field->name,
                                   "must be from %g to %g", field->lowest,
                                   field->highest);
        return field->fallback;
    }
    return number;
}

/* Like world_reader_integer, for true or false. */
bool
world_reader_flag(struct world_reader *reader, const json_t *object,
                  const char *name, bool fallback)
{
    const json_t *value = json_object_get(object, name);

    if (value == NULL) {
        return fallback;
    }
    if (!json_is_boolean(value)) {
        world_reader_report_member(reader, name, "must be true or false");
        return fallback;
    }
    return json_is_true(value);
}

/* Returns an array member.  Returns NULL if the member is missing or no array;
 * only the latter is recorded as a problem.  The object keeps the reference.
 */
json_t *
world_reader_array(struct world_reader *reader, const json_t *object,
                   const char *name)
{
    json_t *value = json_object_get(object, name);

    if (value == NULL) {
        return NULL;
    }
    if (!json_is_array(value)) {
        world_reader_report_member(reader, name, "must be an array");
        return NULL;
    }
    return value;
}

/* Returns a string element of the array member `name`, or NULL after recording
 * a problem.  The array owns the string. */
const char *
world_reader_element(struct world_reader *reader, const json_t *array,
                     const char *name, size_t index, enum world_text_form form)
{
    const json_t *value = json_array_get(array, index);
    const char *message = find_text_problem(value, form);

    if (message != NULL) {
        size_t mark = world_reader_enter(reader, "%s[%zu]", name, index);
        world_reader_report(reader, "%s", message);
        world_reader_leave(reader, mark);
        return NULL;
    }
    return json_string_value(value);
}
