/*
 * lines: parses the items of a JSONL file, one per line.  A batch_lines
 * receives the file in pieces of any size, checks each line and passes it to
 * a callback.  It stops at the first invalid line; the error text begins with
 * the line's number.
 *
 *     batch_lines_init(&lines, &limits, on_line, context);
 *     while (...) batch_lines_push(&lines, data, size, &err);
 *     batch_lines_end(&lines, &err);
 *     batch_lines_finish(&lines);
 */
#ifndef CARDAMOM_BATCH_LINES_H
#define CARDAMOM_BATCH_LINES_H

#include <jansson.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { BATCH_CUSTOM_ID_MAX = 512 };

/* One parsed line.  The other members point into `object`. */
struct batch_line {
    json_t *object; /* owned */
    const char *custom_id;
    const char *method;
    const char *url;
    json_t *body; /* NULL: the line has no body */
};

bool batch_line_parse(const char *text, size_t size, struct batch_line *line,
                      struct base_error *err);
void batch_line_finish(struct batch_line *line);

/* A set of 64-bit hashes with open addressing.  It needs 11 to 21 bytes per
 * hash, since it doubles when three quarters of the slots are used. */
struct batch_id_set {
    uint64_t *slots; /* 0: free slot */
    size_t capacity; /* a power of two */
    size_t count;
};

bool batch_id_set_add(struct batch_id_set *set, uint64_t id);
void batch_id_set_finish(struct batch_id_set *set);

/* Limits of a file. */
struct batch_lines_limits {
    int64_t file_bytes;
    int64_t line_bytes;
    int max_items;
};

struct batch_lines {
    struct batch_lines_limits limits;
    void (*on_line)(void *context, const char *line, size_t size);
    void *context;
    GString *partial; /* a line whose newline has not been received */
    int64_t bytes;
    int64_t line_number; /* number of the last complete line, from 1 */
    int items;
    uint64_t hash_seed;
    struct batch_id_set ids; /* hashes of custom ids */
};

void batch_lines_init(struct batch_lines *lines,
                      const struct batch_lines_limits *limits,
                      void (*on_line)(void *context, const char *line,
                                      size_t size),
                      void *context);
void batch_lines_finish(struct batch_lines *lines);
bool batch_lines_push(struct batch_lines *lines, const char *data, size_t size,
                      struct base_error *err);
bool batch_lines_end(struct batch_lines *lines, struct base_error *err);

#ifdef __cplusplus
}
#endif

#endif
