/*
 * codec: encodes a platform_kv as JSON of the etcd v3 gateway and decodes the
 * responses into it.  No I/O.  Private to platform.
 */
#ifndef CARDAMOM_PLATFORM_CODEC_H
#define CARDAMOM_PLATFORM_CODEC_H

#include "platform/dialect.h"

/* The maximum number of entries that one list request asks for. */
enum { PLATFORM_PAGE_ENTRIES = 200 };

/* One line of a watch stream. */
struct platform_watch_line {
    bool is_created;   /* the service has established the watch */
    bool is_canceled;  /* the service has ended the watch */
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
