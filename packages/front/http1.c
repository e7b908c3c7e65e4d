#include "front/http1.h"

#include <http_parser.h>
#include <string.h>

#include "base/http_text.h"

struct http1 {
    const struct http1_ops *ops;
    void *context;
    http_parser parser;
    /* The method is read here: http_parser knows a fixed list of them.  For
     * others it gets POST, which it treats as any method with a body. */
    char method[HTTP1_METHOD_SIZE];
    size_t method_size;
    bool is_in_method;
    GString *target;
    GPtrArray *fields;
    bool is_in_value; /* the last header text was a value, not a name */
    bool is_in_head;
    size_t head_size;  /* bytes fed of the current head */
    const char *error; /* why the request is malformed; NULL: http_parser's */
};

static int
on_begin(http_parser *parser)
{
    struct http1 *http1 = parser->data;

    g_string_truncate(http1->target, 0);
    if (http1->fields != NULL) {
        g_ptr_array_free(http1->fields, TRUE);
    }
    http1->fields = g_ptr_array_new_with_free_func(g_free);
    http1->is_in_value = true;
    http1->is_in_head = true;
    http1->head_size = 0;
    return 0;
}

static int
on_target(http_parser *parser, const char *text, size_t size)
{
    struct http1 *http1 = parser->data;

    g_string_append_len(http1->target, text, (gssize)size);
    return 0;
}

/* Appends to the last header name or value; the parser may deliver one in
 * several pieces. */
static void
append_text(GPtrArray *fields, const char *text, size_t size)
{
    char *last = fields->pdata[fields->len - 1];
    size_t length = strlen(last);

    last = g_realloc(last, length + size + 1);
    memcpy(last + length, text, size);
    last[length + size] = '\0';
    fields->pdata[fields->len - 1] = last;
}

static int
on_name(http_parser *parser, const char *text, size_t size)
{
    struct http1 *http1 = parser->data;

    if (!http1->is_in_head) {
        return 0; /* a trailer; nothing here uses them */
    }
    if (http1->is_in_value) {
        http1->is_in_value = false;
        g_ptr_array_add(http1->fields, g_strdup(""));
    }
    append_text(http1->fields, text, size);
    return 0;
}

static int
on_value(http_parser *parser, const char *text, size_t size)
{
    struct http1 *http1 = parser->data;

    if (!http1->is_in_head) {
        return 0;
    }
    if (!http1->is_in_value) {
        http1->is_in_value = true;
        g_ptr_array_add(http1->fields, g_strdup(""));
    }
    /* http_parser does not check the first byte of a value. */
    if (memchr(text, '\0', size) != NULL) {
        http1->error = "a zero byte in a header";
        return -1;
    }
    append_text(http1->fields, text, size);
    return 0;
}

/* Returns the size of the head in bytes.  It is computed from the parsed head,
 * so it does not depend on the pieces in which the head arrived. */
static size_t
measure_head(const struct http1 *http1, const char *method)
{
    size_t size =
        strlen(method) + http1->target->len + strlen("  HTTP/1.1\r\n\r\n");

    for (guint i = 0; i < http1->fields->len; i++) {
        size += strlen(http1->fields->pdata[i]) + strlen(": ");
    }
    return size;
}

/* Returns why the head cannot be sent on as one request, or NULL if it can.
 * http_parser lets tabs and form feeds pass in a target. */
static const char *
find_head_error(const struct http1 *http1)
{
    const GPtrArray *fields = http1->fields;

    if (!base_http_is_target(http1->target->str)) {
        return "a space or a control character in the request target";
    }
    for (guint i = 0; i < fields->len; i++) {
        const char *text = fields->pdata[i];
        if (i % 2 == 0 ? !base_http_is_token(text)
                       : !base_http_is_value(text)) {
            return "a character that is not allowed in a header";
        }
    }
    return NULL;
}

static int
on_head(http_parser *parser)
{
    struct http1 *http1 = parser->data;
    size_t size = measure_head(http1, http1->method);
    bool has_length = parser->content_length != UINT64_MAX &&
                      parser->content_length <= INT64_MAX;

    http1->error = find_head_error(http1);
    if (http1->error != NULL) {
        return -1;
    }
    struct http1_head head = {
        .method = http1->method,
        .target = http1->target->str,
        .fields = g_steal_pointer(&http1->fields),
        .size = size,
        .is_chunked = (parser->flags & F_CHUNKED) != 0,
        .is_keep_alive = http_should_keep_alive(parser) != 0,
    };

    if (!head.is_chunked && has_length) {
        head.length = (int64_t)parser->content_length;
    }
    http1->is_in_head = false;
    http1->ops->head(http1->context, &head);
    return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct http1 *http1 = parser->data;

    http1->ops->body(http1->context, data, size);
    return 0;
}

/* Pauses the parser: the bytes that follow belong to the next request. */
static int
on_end(http_parser *parser)
{
    struct http1 *http1 = parser->data;

    http_parser_pause(parser, 1);
    http1->ops->end(http1->context);
    return 0;
}

static const http_parser_settings SETTINGS = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

/* Returns a parser for the requests of one connection. */
struct http1 *
http1_new(const struct http1_ops *ops, void *context)
{
    struct http1 *http1 = g_new0(struct http1, 1);

    http1->ops = ops;
    http1->context = context;
    http1->target = g_string_new(NULL);
    http1->is_in_method = true;
    http_parser_init(&http1->parser, HTTP_REQUEST);
    http1->parser.data = http1;
    return http1;
}

/* Frees the parser. */
void
http1_free(struct http1 *http1)
{
    g_string_free(http1->target, TRUE);
    if (http1->fields != NULL) {
        g_ptr_array_free(http1->fields, TRUE);
    }
    g_free(http1);
}

/* Returns why the last call of http1_feed returned HTTP1_BAD. */
const char *
http1_error(const struct http1 *http1)
{
    return http1->error != NULL
               ? http1->error
               : http_errno_description(HTTP_PARSER_ERRNO(&http1->parser));
}

/* Returns whether http_parser knows a method. */
static bool
is_known_method(const char *method)
{
    static const char *const NAMES[] = {
#define NAME(number, name, string) #string,
        HTTP_METHOD_MAP(NAME)
#undef NAME
            NULL,
    };

    return g_strv_contains(NAMES, method);
}

static size_t
execute(struct http1 *http1, const char *data, size_t size)
{
    size_t used = http_parser_execute(&http1->parser, &SETTINGS, data, size);

    if (http1->is_in_head) {
        http1->head_size += used;
    }
    return used;
}

/* Reads the method of a request, and passes it to the parser when its end is
 * there.  Returns the bytes read; what is no method is left to the parser. */
static size_t
read_method(struct http1 *http1, const char *data, size_t size)
{
    size_t at = 0;

    while (http1->method_size == 0 && at < size &&
           (data[at] == '\r' || data[at] == '\n')) {
        at++; /* blank lines between requests */
    }
    while (at < size && http1->method_size < HTTP1_METHOD_SIZE - 1 &&
           base_http_is_token_byte(data[at])) {
        http1->method[http1->method_size++] = data[at++];
    }
    http1->method[http1->method_size] = '\0';
    if (at == size) {
        return at;
    }
    http1->is_in_method = false;
    if (http1->method_size > 0) {
        const char *method = data[at] != ' ' || is_known_method(http1->method)
                                 ? http1->method
                                 : "POST";
        execute(http1, method, strlen(method));
    }
    return at;
}

/* Parses the next bytes and calls the ops; *used receives the number of bytes
 * parsed. */
enum http1_result
http1_feed(struct http1 *http1, const char *data, size_t size, size_t *used)
{
    size_t n_method = 0;
    enum http_errno error;

    if (http1->is_in_method) {
        n_method = read_method(http1, data, size);
    }
    *used = n_method;
    if (n_method < size) {
        *used += execute(http1, data + n_method, size - n_method);
    }
    error = HTTP_PARSER_ERRNO(&http1->parser);
    switch (error) {
    case HPE_OK:
        return http1->parser.upgrade ? HTTP1_BAD : HTTP1_MORE;
    case HPE_PAUSED:
        return HTTP1_ENDED;
    case HPE_HEADER_OVERFLOW:
        return HTTP1_HEAD_TOO_LARGE;
    default:
        base_log(BASE_LOG_INFO, "front.bad_request", "error=\"%s\"",
                 http1_error(http1));
        return HTTP1_BAD;
    }
}

/* Allows parsing of the next request.  Call it when the response has been
 * written. */
void
http1_next(struct http1 *http1)
{
    http_parser_pause(&http1->parser, 0);
    http1->is_in_method = true;
    http1->method_size = 0;
}

/* Returns whether a request has ended and http1_next has not been called
 * since. */
bool
http1_is_paused(const struct http1 *http1)
{
    return HTTP_PARSER_ERRNO(&http1->parser) == HPE_PAUSED;
}

/* Returns the bytes received so far of an incomplete head; 0: none. */
size_t
http1_head_size(const struct http1 *http1)
{
    if (http1->is_in_method) {
        return http1->method_size;
    }
    return http1->is_in_head ? http1->head_size : 0;
}

/* Returns the reason phrase of a status code. */
const char *
http1_reason(int status)
{
    return http_status_str((enum http_status)status);
}
