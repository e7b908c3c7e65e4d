#include "httpc/response.h"

#include <http_parser.h>
#include <string.h>

enum {
    STATUS_DIGITS = 3,
    VERSION_SIZE = 8, /* of "HTTP/1.1" */
    FIRST_BYTES = 32, /* kept to check the status line */
    /* Calls of feed in a row without a byte of a body.  Framing takes a few,
     * if it arrives byte by byte. */
    MAX_EMPTY_FEEDS = 256,
    MAX_INTERIM = 32, /* interim responses before the final one */
    FIRST_FINAL_STATUS = 200,
    STATUS_SWITCHING_PROTOCOLS = 101,
    STATUS_NO_CONTENT = 204,
    STATUS_NOT_MODIFIED = 304,
};

struct httpc_response {
    const struct httpc_response_ops *ops;
    void *context;
    bool is_head_method;
    http_parser parser;
    char first_bytes[FIRST_BYTES];
    size_t n_first_bytes;
    GPtrArray *fields;  /* of char *: name, value, ... */
    size_t fields_size; /* bytes */
    bool is_in_value;   /* the last header text was a value, not a name */
    bool has_head;
    bool ends_by_close;
    bool is_complete;
    bool is_stopped;
    bool is_interim; /* the head being read is that of an interim response */
    int n_interim;
    int n_empty_feeds;
    const char *error; /* NULL: http_parser's */
};

/* ---- the head ---- */

static int
set_error(struct httpc_response *response, const char *error)
{
    response->error = error;
    return -1;
}

/* Appends to the last header name or value; the parser may deliver one in
 * several pieces. */
static int
append_text(struct httpc_response *response, const char *text, size_t size)
{
    GPtrArray *fields = response->fields;
    char *last = fields->pdata[fields->len - 1];
    size_t length = strlen(last);

    response->fields_size += size;
    if (response->fields_size > HTTPC_HEAD_SIZE) {
        return set_error(response, "the response's head is too large");
    }
    last = g_realloc(last, length + size + 1);
    memcpy(last + length, text, size);
    last[length + size] = '\0';
    fields->pdata[fields->len - 1] = last;
    return 0;
}

static int
on_name(http_parser *parser, const char *text, size_t size)
{
    struct httpc_response *response = parser->data;

    if (response->has_head) {
        return 0; /* a trailer; nothing here uses them */
    }
    if (response->is_in_value) {
        response->is_in_value = false;
        g_ptr_array_add(response->fields, g_strdup(""));
    }
    return append_text(response, text, size);
}

static int
on_value(http_parser *parser, const char *text, size_t size)
{
    struct httpc_response *response = parser->data;

    if (response->has_head) {
        return 0;
    }
    if (!response->is_in_value) {
        response->is_in_value = true;
        g_ptr_array_add(response->fields, g_strdup(""));
    }
    /* http_parser does not check the first byte of a value. */
    if (memchr(text, '\0', size) != NULL) {
        return set_error(response, "a zero byte in a header");
    }
    return append_text(response, text, size);
}

/* Returns the status: three digits, the first from 1 to 5, and then a space or
 * the end of the line (RFC 9112, 4).  http_parser takes other numbers up to
 * 999, also with zeros in front.  Returns 0 if there is none. */
static int
read_status(const struct httpc_response *response)
{
    const char *at = response->first_bytes + VERSION_SIZE;
    int n_digits = 0;

    while (*at == ' ') {
        at++;
    }
    while (g_ascii_isdigit(at[n_digits])) {
        n_digits++;
    }
    return n_digits == STATUS_DIGITS && at[0] >= '1' && at[0] <= '5'
               ? (int)response->parser.status_code
               : 0;
}

/* Removes blanks after values, which are no part of them. */
static void
trim_values(GPtrArray *fields)
{
    for (guint i = 1; i < fields->len; i += 2) {
        g_strchomp(fields->pdata[i]);
    }
}

static int
on_final_head(struct httpc_response *response, int status)
{
    const http_parser *parser = &response->parser;
    bool has_no_body = response->is_head_method ||
                       status == STATUS_NO_CONTENT ||
                       status == STATUS_NOT_MODIFIED;

    response->has_head = true;
    trim_values(response->fields);
    response->ends_by_close = !has_no_body &&
                              (parser->flags & F_CHUNKED) == 0 &&
                              parser->content_length == UINT64_MAX;
    if (!response->ops->head(response->context, status)) {
        response->is_stopped = true;
        return -1;
    }
    return has_no_body ? 1 : 0;
}

/* Returns 1 if the response has no body, and -1 to stop. */
static int
on_head(http_parser *parser)
{
    struct httpc_response *response = parser->data;
    int status = read_status(response);

    if (status > 0 && status < FIRST_FINAL_STATUS &&
        status != STATUS_SWITCHING_PROTOCOLS) {
        response->is_interim = true;
        return 1;
    }
    return on_final_head(response, status);
}

/* ---- the body ---- */

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct httpc_response *response = parser->data;

    response->n_empty_feeds = 0;
    if (!response->ops->body(response->context, data, size)) {
        response->is_stopped = true;
        return -1;
    }
    return 0;
}

/* Stops the parser: what follows would be another response, unless this one
 * was interim. */
static int
on_end(http_parser *parser)
{
    struct httpc_response *response = parser->data;

    if (response->is_interim) {
        http_parser_pause(parser, 1);
        return 0;
    }

    response->is_complete = true;
    return -1;
}

static const http_parser_settings SETTINGS = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

/* ---- public functions ---- */

static void
start_parser(struct httpc_response *response)
{
    http_parser_init(&response->parser, HTTP_RESPONSE);
    response->parser.data = response;
}

/* Returns a parser, which the caller frees.  is_head_method: the request was
 * HEAD, whose response has no body. */
struct httpc_response *
httpc_response_new(const struct httpc_response_ops *ops, void *context,
                   bool is_head_method)
{
    struct httpc_response *response = g_new0(struct httpc_response, 1);

    response->ops = ops;
    response->context = context;
    response->is_head_method = is_head_method;
    response->fields = g_ptr_array_new_with_free_func(g_free);
    response->is_in_value = true;
    start_parser(response);
    return response;
}

/* Frees the parser; must not be called within its callbacks. */
void
httpc_response_free(struct httpc_response *response)
{
    g_ptr_array_free(response->fields, TRUE);
    g_free(response);
}

static void
keep_first_bytes(struct httpc_response *response, const char *data,
                 size_t size)
{
    size_t n = MIN(size, FIRST_BYTES - 1 - response->n_first_bytes);

    memcpy(response->first_bytes + response->n_first_bytes, data, n);
    response->n_first_bytes += n;
}

/* Makes the parser ready for the response after an interim one.  The bytes of
 * all heads together stay within the limit.  Returns false if there are too
 * many. */
static bool
skip_interim(struct httpc_response *response)
{
    if (++response->n_interim > MAX_INTERIM) {
        response->error = "too many interim responses";
        return false;
    }
    response->is_interim = false;
    response->is_in_value = true;
    response->n_first_bytes = 0;
    memset(response->first_bytes, 0, sizeof(response->first_bytes));
    g_ptr_array_set_size(response->fields, 0);
    start_parser(response);
    return true;
}

/* Parses received bytes.  Interim responses but a change of the protocol are
 * skipped (RFC 9110, 15.2). */
enum httpc_response_result
httpc_response_feed(struct httpc_response *response, const char *data,
                    size_t size)
{
    enum http_errno error;
    size_t n_used;

    if (++response->n_empty_feeds > MAX_EMPTY_FEEDS) {
        response->error = "the response's framing has no end";
        return HTTPC_RESPONSE_BAD;
    }
    keep_first_bytes(response, data, size);
    n_used = http_parser_execute(&response->parser, &SETTINGS, data, size);
    while (HTTP_PARSER_ERRNO(&response->parser) == HPE_PAUSED) {
        if (!skip_interim(response)) {
            return HTTPC_RESPONSE_BAD;
        }
        data += n_used;
        size -= n_used;
        keep_first_bytes(response, data, size);
        n_used = http_parser_execute(&response->parser, &SETTINGS, data, size);
    }
    if (response->is_stopped) {
        return HTTPC_RESPONSE_STOPPED;
    }
    if (response->is_complete) {
        return HTTPC_RESPONSE_COMPLETE;
    }
    error = HTTP_PARSER_ERRNO(&response->parser);
    if (error == HPE_OK && response->parser.upgrade) {
        response->error = "the server changes the protocol";
        return HTTPC_RESPONSE_BAD;
    }
    return error == HPE_OK ? HTTPC_RESPONSE_MORE : HTTPC_RESPONSE_BAD;
}

/* Returns a header of the response, or NULL.  `name` is in lower case. */
const char *
httpc_response_header(const struct httpc_response *response, const char *name)
{
    const GPtrArray *fields = response->fields;

    for (guint i = 0; i + 1 < fields->len; i += 2) {
        if (g_ascii_strcasecmp(fields->pdata[i], name) == 0) {
            return fields->pdata[i + 1];
        }
    }
    return NULL;
}

/* Returns whether the head was parsed. */
bool
httpc_response_has_head(const struct httpc_response *response)
{
    return response->has_head;
}

/* Returns whether the response has neither a length nor chunks, so that its
 * end is that of the connection. */
bool
httpc_response_ends_by_close(const struct httpc_response *response)
{
    return response->ends_by_close;
}

/* Returns why the last call of httpc_response_feed returned
 * HTTPC_RESPONSE_BAD. */
const char *
httpc_response_error(const struct httpc_response *response)
{
    return response->error != NULL
               ? response->error
               : http_errno_description(HTTP_PARSER_ERRNO(&response->parser));
}
