/* Decodes arbitrary bytes as a response and as a watch line of the key-value
 * service.  The first byte selects the operation, the status and whether an
 * earlier attempt may have run. */
#include <jansson.h>
#include <string.h>

#include "platform/codec.h"

static void
decode_response(enum platform_op op, bool may_have_run, int status,
                const char *text, size_t size)
{
    struct platform_kv *kv = platform_kv_new(op, "/a");

    g_strlcpy(kv->write_id, "0123456789abcdef", sizeof(kv->write_id));
    kv->lease = 7;
    platform_decode(kv, may_have_run, status, text, size);
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (entry->key == NULL || entry->value == NULL) {
            __builtin_trap();
        }
    }
    platform_kv_free(kv);
}

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer's names */

/* Sets the JSON library's hash seed, which is random by default, so that runs
 * are easier to repeat. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    json_object_seed(1);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const int STATUSES[] = {200, 400, 404, 503};
    struct platform_watch_line line;

    if (size == 0) {
        return 0;
    }
    const char *text = (const char *)data + 1;
    decode_response(data[0] % (PLATFORM_LEASE_REVOKE + 1), data[0] & 16,
                    STATUSES[data[0] >> 6], text, size - 1);
    if (platform_decode_watch(text, size - 1, &line)) {
        platform_watch_line_finish(&line);
    }
    return 0;
}

/* NOLINTEND(readability-identifier-naming) */
