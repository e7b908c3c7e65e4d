/*
 * http_text: which strings may stand in an HTTP/1.1 request and which can be
 * stored.  Every string that comes from a caller, a peer or the store is
 * checked by these rules before it is sent on or stored.
 *
 *     if (!base_http_is_target(path) || !base_text_is_storable(path)) {
 *         ... answer 400 ...
 *     }
 */
#ifndef CARDAMOM_BASE_HTTP_TEXT_H
#define CARDAMOM_BASE_HTTP_TEXT_H

#include <jansson.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A method or the name of a header: RFC 9110, 5.6.2. */
bool base_http_is_token_byte(char byte);
bool base_http_is_token(const char *text);
/* Path and query as they stand in the request line. */
bool base_http_is_target(const char *text);
bool base_http_is_value(const char *text);
bool base_http_is_id(const char *text);
bool base_http_is_hop_header(const char *name);
bool base_http_lists_header(const char *connection, const char *name);

bool base_text_is_storable(const char *text);
json_t *base_json_text(const char *text);
json_t *base_json_bytes(const char *bytes, size_t size);

#ifdef __cplusplus
}
#endif

#endif
