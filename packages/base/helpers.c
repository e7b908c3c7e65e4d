#include "base/base.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Returns a 64-bit hash, which is the same on all nodes for equal bytes and
 * seeds. */
uint64_t
base_hash(const void *data, size_t size, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

/* Returns base_hash of a string without its terminating zero. */
uint64_t
base_hash_text(const char *text, uint64_t seed)
{
    return base_hash(text, strlen(text), seed);
}

/* Fills out with size - 1 random lower-case hexadecimal digits and a
 * terminating zero. */
void
base_random_id(char *out, size_t size)
{
    static const char DIGITS[] = "0123456789abcdef";

    for (size_t i = 0; i + 1 < size; i++) {
        out[i] = DIGITS[randombytes_uniform(16)];
    }
    out[size - 1] = '\0';
}

/* Appends a file's contents to out.  Fails with BASE_NOT_FOUND or
 * BASE_UNAVAILABLE; the error text names the path. */
bool
base_read_file(const char *path, GString *out, struct base_error *err)
{
    char *content = NULL;
    gsize length = 0;
    GError *failure = NULL;

    if (!g_file_get_contents(path, &content, &length, &failure)) {
        bool is_missing =
            g_error_matches(failure, G_FILE_ERROR, G_FILE_ERROR_NOENT);
        base_error_set(err, is_missing ? BASE_NOT_FOUND : BASE_UNAVAILABLE,
                       "%s", failure->message);
        g_error_free(failure);
        return false;
    }
    g_string_append_len(out, content, (gssize)length);
    g_free(content);
    return true;
}

/* Returns whether the bytes are valid UTF-8 without zero bytes. */
bool
base_is_utf8(const char *text, size_t size)
{
    return g_utf8_validate(text, (gssize)size, NULL);
}
