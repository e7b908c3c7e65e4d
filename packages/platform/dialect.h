/*
 * dialect: how a key-value service is spoken to.  The client keeps retries,
 * budgets, leases and the identity of writes to itself; a dialect only puts a
 * call into the service's words and reads the answer.
 *
 *     struct platform_encoded_request encoded = {0};
 *     dialect->encode(kv, &encoded);      ... send encoded.method, .path,
 * .body ... dialect->decode(kv, may_have_run, status, body, size);
 *
 * platform_etcd is the published etcd v3 JSON gateway and the default.
 */
#ifndef CARDAMOM_PLATFORM_DIALECT_H
#define CARDAMOM_PLATFORM_DIALECT_H

#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An HTTP request; the client frees path and body. */
struct platform_encoded_request {
    const char *method;
    char *path;
    GString *body; /* NULL: none */
};

enum platform_decoded {
    PLATFORM_DECODED,        /* kv->status holds */
    PLATFORM_DECODE_MORE,    /* PLATFORM_LIST: the next page is to be read */
    PLATFORM_DECODE_REFUSED, /* nothing was done; it may succeed later */
    PLATFORM_DECODE_BAD,     /* no answer to rely on */
};

/* What changed since a revision, or that it can't be told any more. */
enum platform_poll_status {
    PLATFORM_POLL_OK,        /* changes->revision and ->events hold */
    PLATFORM_POLL_COMPACTED, /* the history is gone: list again */
    PLATFORM_POLL_BAD,
};

struct platform_change {
    bool is_delete;
    struct platform_entry entry;
};

struct platform_changes {
    int64_t revision;  /* ask for what came after it next */
    GPtrArray *events; /* of struct platform_change, in order */
};

struct platform_dialect {
    void (*encode)(const struct platform_kv *kv,
                   struct platform_encoded_request *encoded);
    enum platform_decoded (*decode)(struct platform_kv *kv, bool may_have_run,
                                    int status, const char *body, size_t size);
    /* Watches by repeated calls that the service holds back until something
     * changed; NULL: one long stream of lines, as the gateway has. */
    void (*encode_poll)(const char *prefix, int64_t after, int64_t wait_ms,
                        struct platform_encoded_request *encoded);
    enum platform_poll_status (*decode_poll)(int status, const char *body,
                                             size_t size,
                                             struct platform_changes *changes);
};

extern const struct platform_dialect platform_etcd;

/* ---- for dialects ---- */

/* A stored value is the identity of its write and then the caller's bytes;
 * a plain one, or one of another writer, has no identity. */
GByteArray *platform_stored_value(const struct platform_kv *kv, GBytes *value);
void platform_read_value(struct platform_entry *entry, const void *bytes,
                         size_t size, char write_id[17]);
void platform_entry_finish(struct platform_entry *entry);
void platform_entry_free(gpointer data);
void platform_change_free(gpointer data);

#ifdef __cplusplus
}
#endif

#endif
