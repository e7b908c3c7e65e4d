/* Feeds arbitrary bytes to the parser of clients' requests, whole and in
 * pieces whose size the first byte gives, and to the parsers of an engine's
 * stream. Both ways of feeding must read the same requests, and every head
 * must have only what may stand in a head. */
#include <stdlib.h>
#include <string.h>

#include "base/http_text.h"
#include "front/chunk.h"
#include "front/http1.h"
#include "front/sse.h"

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static void
on_head(void *context, const struct http1_head *head)
{
    GString *seen = context;

    require(base_http_is_token(head->method));
    require(base_http_is_target(head->target));
    g_string_append_printf(seen, "%s %s\n", head->method, head->target);
    for (guint i = 0; i + 1 < head->fields->len; i += 2) {
        require(base_http_is_token(head->fields->pdata[i]));
        require(base_http_is_value(head->fields->pdata[i + 1]));
        g_string_append_printf(seen, "%s:%s\n", (char *)head->fields->pdata[i],
                               (char *)head->fields->pdata[i + 1]);
    }
    g_ptr_array_free(head->fields, TRUE);
}

static void
on_body(void *context, const char *data, size_t size)
{
    g_string_append_len(context, data, (gssize)size);
}

static void
on_end(void *context)
{
    g_string_append(context, "\n;");
}

/* Feeds a text in pieces; returns what was read of it until the first
 * fault. */
static GString *
feed(const char *data, size_t size, size_t step)
{
    static const struct http1_ops OPS = {on_head, on_body, on_end};
    GString *seen = g_string_new(NULL);
    struct http1 *http1 = http1_new(&OPS, seen);
    enum http1_result result = HTTP1_MORE;
    size_t at = 0;

    while (at < size && result != HTTP1_BAD &&
           result != HTTP1_HEAD_TOO_LARGE) {
        size_t used = 0;
        result = http1_feed(http1, data + at, MIN(step, size - at), &used);
        at += used;
        if (result == HTTP1_ENDED) {
            http1_next(http1);
        }
        if (result == HTTP1_BAD) {
            require(http1_error(http1) != NULL);
        }
    }
    http1_free(http1);
    return seen;
}

static bool
on_event(void *context, const char *payload, size_t size)
{
    struct chunk chunk;

    chunk_parse(&chunk, payload, size);
    chunk_finish(&chunk);
    return true;
}

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer's names */

/* Sets the JSON library's hash seed, which is random by default, so that runs
 * are easier to repeat. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    json_object_seed(1);
    base_log_setup("fuzz", BASE_LOG_ERROR);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GString *pending;
    GString *whole;
    GString *pieces;

    if (size == 0) {
        return 0;
    }
    const char *text = (const char *)data + 1;
    whole = feed(text, size - 1, size);
    pieces = feed(text, size - 1, (size_t)data[0] + 1);
    require(g_string_equal(whole, pieces));
    g_string_free(whole, TRUE);
    g_string_free(pieces, TRUE);
    pending = g_string_new(NULL);
    sse_feed(pending, text, size - 1, on_event, NULL);
    g_string_free(pending, TRUE);
    return 0;
}

/* NOLINTEND(readability-identifier-naming) */
