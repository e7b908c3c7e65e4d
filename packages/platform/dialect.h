/*
 * dialect: the wire protocol of a key-value service.  The client itself
 * handles retries, the call budget and write identities; a dialect only
 * encodes operations as HTTP requests and decodes the responses.
 *
 *     struct platform_encoded_request encoded = {0};
 *     dialect->encode(kv, &encoded);
 *     ... send encoded.method, .path, .body ...
 *     dialect->decode(kv, may_have_run, status, body, size);
 *
 * platform_etcd, the etcd v3 JSON gateway, is the default.
 */
#ifndef CARDAMOM_PLATFORM_DIALECT_H
#define CARDAMOM_PLATFORM_DIALECT_H

#include "platform/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An HTTP request; the caller of `encode` owns path and body. */
struct platform_encoded_request {
    const char *method;
    char *path;
    GString *body; /* NULL: none */
};

enum platform_decoded {
    PLATFORM_DECODED,        /* kv->status is the result */
    PLATFORM_DECODE_MORE,    /* PLATFORM_LIST: request the next page */
    PLATFORM_DECODE_REFUSED, /* it did not run; it may succeed later */
    PLATFORM_DECODE_BAD,     /* no usable response; it may have run */
};

/* The result of a poll for the changes after a revision. */
enum platform_poll_status {
    PLATFORM_POLL_OK,        /* `changes` is filled in */
    PLATFORM_POLL_COMPACTED, /* history discarded: list again */
    PLATFORM_POLL_BAD,       /* no usable response */
};

struct platform_change {
    bool is_delete;
    struct platform_entry entry;
};

struct platform_changes {
    int64_t revision;  /* the next poll asks for changes after it */
    GPtrArray *events; /* of struct platform_change, in order */
};

struct platform_dialect {
    /* Encodes an operation as a request. */
    void (*encode)(const struct platform_kv *kv,
                   struct platform_encoded_request *encoded);
    /* Decodes a response into kv.  may_have_run: an earlier attempt of this
     * operation got no usable response. */
    enum platform_decoded (*decode)(struct platform_kv *kv, bool may_have_run,
                                    int status, const char *body, size_t size);
    /* Encodes a long poll, to which the service responds after wait_ms, or
     * earlier if a key with the prefix changed after the revision `after`.
     * NULL: watches are streams of the etcd gateway. */
    void (*encode_poll)(const char *prefix, int64_t after, int64_t wait_ms,
                        struct platform_encoded_request *encoded);
    /* Decodes the response to a long poll.  With PLATFORM_POLL_OK the caller
     * frees changes->events. */
    enum platform_poll_status (*decode_poll)(int status, const char *body,
                                             size_t size,
                                             struct platform_changes *changes);
};

extern const struct platform_dialect platform_etcd;

/* ---- functions for dialects ---- */

/* A stored value is the identity of its write, followed by the caller's
 * bytes.  A plain value, or one that another program wrote, has no identity.
 * platform_stored_value makes a stored value, which the caller frees;
 * platform_read_value splits one. */
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
