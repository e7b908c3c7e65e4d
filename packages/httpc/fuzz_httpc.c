/* Feeds arbitrary bytes to the parser of servers' responses, whole and in
 * pieces whose size the first byte gives.  Both ways must read the same
 * response, and its parts must be valid. */
#include <stdlib.h>
#include <string.h>

#include "httpc/response.h"
#include "base/http_text.h"

struct seen {
    int n_heads;
    int status;
    GString *body;
    enum httpc_response_result result;
    bool ends_by_close;
};

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static bool
on_head(void *context, int status)
{
    struct seen *seen = context;

    require(seen->n_heads++ == 0);
    require(status == 0 || (status >= 100 && status <= 599));
    seen->status = status;
    return status >= 200;
}

static bool
on_body(void *context, const char *data, size_t size)
{
    struct seen *seen = context;

    require(seen->n_heads == 1);
    g_string_append_len(seen->body, data, (gssize)size);
    return true;
}

static struct seen
feed(const char *data, size_t size, size_t step, bool is_head_method)
{
    static const struct httpc_response_ops OPS = {on_head, on_body};
    struct seen seen = {.body = g_string_new(NULL)};
    struct httpc_response *response =
        httpc_response_new(&OPS, &seen, is_head_method);

    for (size_t at = 0; at < size && seen.result == HTTPC_RESPONSE_MORE;
         at += step) {
        seen.result =
            httpc_response_feed(response, data + at, MIN(step, size - at));
    }
    if (seen.result == HTTPC_RESPONSE_BAD) {
        require(httpc_response_error(response) != NULL);
    }
    if (seen.n_heads == 1) {
        const char *type = httpc_response_header(response, "content-type");
        require(type == NULL || base_http_is_value(type));
    }
    require(httpc_response_has_head(response) == (seen.n_heads == 1));
    seen.ends_by_close = httpc_response_ends_by_close(response);
    httpc_response_free(response);
    return seen;
}

/* Called by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct seen whole;
    struct seen pieces;
    bool is_head_method;
    size_t step;

    if (size < 1) {
        return 0;
    }
    /* Few pieces: many without a byte of a body are refused. */
    step = MAX((size_t)(data[0] >> 1) + 1, size / 64);
    is_head_method = (data[0] & 1) != 0;
    whole = feed((const char *)data + 1, size - 1, size, is_head_method);
    pieces = feed((const char *)data + 1, size - 1, step, is_head_method);
    require(whole.result == pieces.result);
    require(whole.n_heads == pieces.n_heads && whole.status == pieces.status);
    require(whole.ends_by_close == pieces.ends_by_close);
    require(whole.result == HTTPC_RESPONSE_BAD ||
            g_string_equal(whole.body, pieces.body));
    g_string_free(whole.body, TRUE);
    g_string_free(pieces.body, TRUE);
    return 0;
}
