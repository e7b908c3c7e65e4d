#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/http_text.h"
#include "config/config.h"

enum { RECORD_FORMAT = 1 };

static bool
is_valid_record(const json_t *root)
{
    return json_integer_value(json_object_get(root, "format")) ==
               RECORD_FORMAT &&
           json_is_integer(json_object_get(root, "number")) &&
           json_is_string(json_object_get(root, "author")) &&
           json_is_string(json_object_get(root, "document"));
}

static void
read_source(const json_t *root, struct config_record *record)
{
    const json_t *from = json_object_get(root, "from");
    const char *environment =
        json_string_value(json_object_get(from, "environment"));

    if (environment != NULL) {
        g_strlcpy(record->from_environment, environment,
                  sizeof(record->from_environment));
    }
    record->from_number = json_integer_value(json_object_get(from, "number"));
}

/* Parses a record as stored in the key-value service.  Fails with
 * BASE_CORRUPT; the record is then empty. */
bool
config_record_parse(const char *text, size_t length,
                    struct config_record *record, struct base_error *err)
{
    json_t *root = json_loadb(text, length, JSON_REJECT_DUPLICATES, NULL);

    memset(record, 0, sizeof(*record));
    if (!is_valid_record(root)) {
        base_error_set(err, BASE_CORRUPT,
                       "not a configuration record of format %d",
                       RECORD_FORMAT);
        json_decref(root);
        return false;
    }
    record->number = json_integer_value(json_object_get(root, "number"));
    record->time_ms = json_integer_value(json_object_get(root, "time_ms"));
    record->base = json_integer_value(json_object_get(root, "base"));
    g_strlcpy(record->author,
              json_string_value(json_object_get(root, "author")),
              sizeof(record->author));
    record->document =
        g_strdup(json_string_value(json_object_get(root, "document")));
    read_source(root, record);
    json_decref(root);
    return true;
}

/* Formats a record as JSON; the caller frees it with g_free. */
char *
config_record_format(const struct config_record *record)
{
    json_t *root = json_pack(
        "{s:i, s:I, s:o, s:I, s:I, s:o}", "format", RECORD_FORMAT, "number",
        (json_int_t)record->number, "author", base_json_text(record->author),
        "time_ms", (json_int_t)record->time_ms, "base",
        (json_int_t)record->base, "document",
        base_json_text(record->document));

    if (*record->from_environment != '\0') {
        json_object_set_new(root, "from",
                            json_pack("{s:o, s:I}", "environment",
                                      base_json_text(record->from_environment),
                                      "number",
                                      (json_int_t)record->from_number));
    }
    char *dumped = json_dumps(root, JSON_COMPACT);
    char *text = g_strdup(dumped);
    free(dumped);
    json_decref(root);
    return text;
}

/* Frees a record's contents and empties it, so that a second call is
 * harmless. */
void
config_record_finish(struct config_record *record)
{
    g_free(record->document);
    memset(record, 0, sizeof(*record));
}

/* Nodes may receive records in any order and from any other node.  Accepting
 * only higher numbers keeps a node from returning to an older document. */
bool
config_record_replaces(int64_t number_in_force,
                       const struct config_record *candidate)
{
    return candidate->number > number_in_force;
}

/* Parses and checks a record's document. */
struct world *
config_record_world(const struct config_record *record,
                    struct world_problems *problems)
{
    struct world *world =
        world_parse(record->document, strlen(record->document), problems);

    if (world != NULL) {
        world->revision = record->number;
    }
    return world;
}

/* Returns the key of the record in force. */
char *
config_current_key(const char *environment)
{
    return g_strdup_printf("/cp/config/%s/current", environment);
}

/* Returns the key of a record in the history.  The number is padded with
 * zeros, so that keys sort by number. */
char *
config_history_key(const char *environment, int64_t number)
{
    return g_strdup_printf("/cp/config/%s/history/%012" PRId64, environment,
                           number);
}
