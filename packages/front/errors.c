#include "front/front_private.h"

#include <stdarg.h>

#include "base/http_text.h"

enum {
    MS_PER_S = 1000,
    /* retry-after of a request that a newer configuration may allow: such a
     * one arrives within a second or two. */
    NEWER_CONFIG_RETRY_MS = 500,
};

const struct front_fault FRONT_BAD_REQUEST = {
    400, BASE_NOT_RUN, "invalid_request_error", "bad_request", 0};
const struct front_fault FRONT_NO_KEY = {
    401, BASE_NOT_RUN, "authentication_error", "invalid_api_key", 0};
const struct front_fault FRONT_DENIED = {403, BASE_NOT_RUN, "permission_error",
                                         "not_allowed", 0};
const struct front_fault FRONT_NOT_FOUND = {
    404, BASE_NOT_RUN, "invalid_request_error", "not_found", 0};
const struct front_fault FRONT_WRONG_METHOD = {
    405, BASE_NOT_RUN, "invalid_request_error", "method_not_allowed", 0};
const struct front_fault FRONT_CALLER_SLOW = {
    408, BASE_NOT_RUN, "invalid_request_error", "request_timeout", 0};
const struct front_fault FRONT_LENGTH_REQUIRED = {
    411, BASE_NOT_RUN, "invalid_request_error", "length_required", 0};
const struct front_fault FRONT_TOO_LARGE = {
    413, BASE_NOT_RUN, "invalid_request_error", "request_too_large", 0};
const struct front_fault FRONT_HEAD_TOO_LARGE = {
    431, BASE_NOT_RUN, "invalid_request_error", "headers_too_large", 0};
const struct front_fault FRONT_RATE_LIMITED = {
    429, BASE_NOT_RUN, "rate_limit_error", "rate_limit_exceeded", 1};
const struct front_fault FRONT_OVERLOADED = {503, BASE_NOT_RUN, "server_error",
                                             "overloaded", 1};
const struct front_fault FRONT_NOT_READY = {503, BASE_NOT_RUN, "server_error",
                                            "not_ready", 1};

/* Returns the JSON error body of the public interface; release it with free().
 */
char *
front_fault_json(const struct front_fault *fault, const char *text)
{
    json_t *json =
        json_pack("{s:{s:o,s:s,s:n,s:s},s:s}", "error", "message",
                  base_json_text(text), "type", fault->type, "param", "code",
                  fault->code, "ran", base_verdict_name(fault->verdict));
    char *dumped = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return dumped;
}

/* Adds the header retry-after, in seconds with a fraction. */
void
front_add_retry_after(struct front_request *request, int64_t retry_after_ms)
{
    char seconds[24];

    g_snprintf(seconds, sizeof(seconds), "%d.%03d",
               (int)(retry_after_ms / MS_PER_S),
               (int)(retry_after_ms % MS_PER_S));
    front_add_header(request, "retry-after", seconds);
}

/* Responds with an error: a formatted message in the body, and in the header
 * x-cardamompick-ran whether a server may have run the request. */
void
front_fail(struct front_request *request, const struct front_fault *fault,
           const char *format, ...)
{
    char text[512];
    char seconds[16];
    char *json;
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (fault->retry_after_s > 0) {
        g_snprintf(seconds, sizeof(seconds), "%d", fault->retry_after_s);
        front_add_header(request, "retry-after", seconds);
    }
    front_add_header(request, "x-cardamompick-ran",
                     base_verdict_name(fault->verdict));
    json = front_fault_json(fault, text);
    front_respond(request, fault->status, "application/json", json,
                  strlen(json));
    free(json);
}

/* Responds with an error that follows from the configuration.  A node that
 * knows of a newer one can't tell whether that allows the request, and callers
 * don't send it again after such an error: it asks them to try again. */
void
front_fail_by_config(struct front_request *request,
                     const struct front_fault *fault, const char *text)
{
    static const struct front_fault NOT_KNOWN_YET = {
        503, BASE_NOT_RUN, "server_error", "not_ready", 0};

    if (control_has_newest_config(request->front->control)) {
        front_fail(request, fault, "%s", text);
        return;
    }
    front_add_retry_after(request, NEWER_CONFIG_RETRY_MS);
    front_fail(request, &NOT_KNOWN_YET,
               "%s, but a newer configuration is on its way to this node",
               text);
}
