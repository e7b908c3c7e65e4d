#include "base/http_text.h"

#include <string.h>

/* Returns whether a byte can be part of a token. */
bool
base_http_is_token_byte(char byte)
{
    return g_ascii_isalnum(byte) ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Returns whether a text is not empty and has only the characters of a
 * token. */
bool
base_http_is_token(const char *text)
{
    const char *at = text;

    while (base_http_is_token_byte(*at)) {
        at++;
    }
    return at > text && *at == '\0';
}

/* Returns whether a text can be the target in a request line.  A space or a
 * control character would end it.  Bytes from 0x80 on are not allowed by RFC
 * 9112, but clients send them, and they cannot end the target. */
bool
base_http_is_target(const char *text)
{
    const char *at = text;

    while ((unsigned char)*at > ' ' && *at != 0x7f) {
        at++;
    }
    return at > text && *at == '\0';
}

/* Returns whether a text can be the value of a header: it has no control
 * character but the tab.  Bytes from 0x80 on are allowed. */
bool
base_http_is_value(const char *text)
{
    const char *at = text;

    while (*at == '\t' || ((unsigned char)*at >= ' ' && *at != 0x7f)) {
        at++;
    }
    return *at == '\0';
}

/* Returns whether a text can be an id that is sent in a header and comes back
 * unchanged.  Receivers remove blanks around a header's value. */
bool
base_http_is_id(const char *text)
{
    size_t size = strlen(text);

    return size > 0 && base_http_is_value(text) && !g_ascii_isspace(text[0]) &&
           !g_ascii_isspace(text[size - 1]);
}

/* Returns whether a header concerns only the connection that it came on.  Sent
 * on, it could change where the receiver sees the end of the request. */
bool
base_http_is_hop_header(const char *name)
{
    static const char *const NAMES[] = {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(NAMES); i++) {
        if (g_ascii_strcasecmp(NAMES[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the value of a Connection header lists a header, which then
 * concerns only the connection too. */
bool
base_http_lists_header(const char *connection, const char *name)
{
    size_t size = strlen(name);

    while (*connection != '\0') {
        size_t length;
        connection += strspn(connection, ", \t");
        length = strcspn(connection, ", \t");
        if (length == size &&
            g_ascii_strncasecmp(connection, name, size) == 0) {
            return true;
        }
        connection += length;
    }
    return false;
}

/* Returns whether a text can be stored as a JSON string. */
bool
base_text_is_storable(const char *text)
{
    return base_is_utf8(text, strlen(text));
}

/* Returns a JSON string of some bytes, never NULL.  Bytes that are not UTF-8
 * are replaced by U+FFFD, which is logged: jansson returns NULL for them. */
json_t *
base_json_bytes(const char *bytes, size_t size)
{
    json_t *json = json_stringn(bytes, size);
    char *valid;

    if (json != NULL) {
        return json;
    }
    base_log(BASE_LOG_WARNING, "base.text_replaced",
             "bytes=%zu reason=\"not UTF-8\"", size);
    valid = g_utf8_make_valid(bytes, (gssize)size);
    json = json_string(valid);
    g_free(valid);
    return json;
}

/* Returns a JSON string of a text, as base_json_bytes does; NULL is taken for
 * an empty text. */
json_t *
base_json_text(const char *text)
{
    return text == NULL ? json_string("")
                        : base_json_bytes(text, strlen(text));
}
