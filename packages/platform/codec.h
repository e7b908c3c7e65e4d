/*
 * codec: the etcd gateway's JSON, made from and read into platform_kv.
 * No I/O.  Private to platform.
 */
#ifndef CARDAMOM_PLATFORM_CODEC_H
#define CARDAMOM_PLATFORM_CODEC_H

#include "platform/dialect.h"

enum { PLATFORM_PAGE_ENTRIES = 200 };

/* One line of a watch's stream. */
struct platform_watch_line {
    bool is_created;
    bool is_canceled;
    GPtrArray *events; /* of struct platform_change; NULL: none */
};

const char *platform_path(enum platform_op op);
const char *platform_op_name(enum platform_op op);
bool platform_is_write(enum platform_op op);
GString *platform_encode(const struct platform_kv *kv);
enum platform_decoded platform_decode(struct platform_kv *kv,
                                      bool may_have_run, int status,
                                      const char *body, size_t size);
GString *platform_encode_watch(const char *prefix);
bool platform_decode_watch(const char *line, size_t size,
                           struct platform_watch_line *out);
void platform_watch_line_finish(struct platform_watch_line *line);

#endif
