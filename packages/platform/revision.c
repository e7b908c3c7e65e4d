#include <string.h>

#include "platform/platform.h"

/* Returns the revision that a key has after the reply to a write which was
 * conditional on it, as the next write is to expect it: PLATFORM_ABSENT, a
 * revision, or `known` if the reply does not tell.  Only for keys with one
 * writer: what a conflict shows is then an earlier write of the same writer,
 * and a later one that expects it makes all earlier ones void. */
int64_t
platform_kv_revision_after(const struct platform_kv *kv, const char *key,
                           int64_t known)
{
    if (kv->status == PLATFORM_OK) {
        return kv->revision;
    }
    if (kv->status != PLATFORM_CONFLICT) {
        return known;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (strcmp(entry->key, key) == 0) {
            return entry->revision;
        }
    }
    return PLATFORM_ABSENT;
}
