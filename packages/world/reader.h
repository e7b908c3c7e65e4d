/*
 * reader: typed access to the members of JSON objects, with defaults and
 * ranges.  Each problem is recorded with its JSON path and reading continues,
 * so that one pass finds all problems.  Private to world.
 *
 *     struct world_reader reader;
 *     world_reader_init(&reader, problems);
 *     size_t mark = world_reader_enter(&reader, "servers[%zu]", index);
 *     int slots = (int)world_reader_integer(&reader, object, &SLOTS_FIELD);
 *     world_reader_leave(&reader, mark);
 */
#ifndef CARDAMOM_WORLD_READER_H
#define CARDAMOM_WORLD_READER_H

#include <jansson.h>

#include "world/world.h"

struct world_reader {
    GString *path;
    struct world_problems *problems;
};

/* A member whose value is an integer in a range. */
struct world_integer_field {
    const char *name;
    int64_t lowest;
    int64_t highest;
    int64_t fallback; /* value if the member is missing or invalid */
};

/* A member whose value is a number in a range. */
struct world_number_field {
    const char *name;
    double lowest;
    double highest;
    double fallback;
};

enum world_text_form {
    WORLD_TEXT_NAME,  /* 1 to 63 of A-Z a-z 0-9 . _ - */
    WORLD_TEXT_LABEL, /* 1 to 127 printable characters */
    WORLD_TEXT_ANY,   /* may be empty */
};

void world_reader_init(struct world_reader *reader,
                       struct world_problems *problems);
void world_reader_finish(struct world_reader *reader);
size_t world_reader_enter(struct world_reader *reader, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void world_reader_leave(struct world_reader *reader, size_t mark);
void world_reader_report(struct world_reader *reader, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void world_reader_report_member(struct world_reader *reader,
                                const char *member, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
bool world_reader_check_members(struct world_reader *reader,
                                const json_t *object,
                                const char *const *allowed);
char *world_reader_text(struct world_reader *reader, const json_t *object,
                        const char *name, enum world_text_form form,
                        const char *fallback);
int64_t world_reader_integer(struct world_reader *reader, const json_t *object,
                             const struct world_integer_field *field);
double world_reader_number(struct world_reader *reader, const json_t *object,
                           const struct world_number_field *field);
bool world_reader_flag(struct world_reader *reader, const json_t *object,
                       const char *name, bool fallback);
json_t *world_reader_array(struct world_reader *reader, const json_t *object,
                           const char *name);
const char *world_reader_element(struct world_reader *reader,
                                 const json_t *array, const char *name,
                                 size_t index, enum world_text_form form);

#endif
