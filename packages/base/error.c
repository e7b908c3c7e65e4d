#include "base/base.h"

#include <stdarg.h>

/* Fills err with a code and a formatted text.  A NULL err is allowed, for
 * callers that need no details. */
void
base_error_set(struct base_error *err, enum base_code code, const char *format,
               ...)
{
    va_list args;

    if (err == NULL) {
        return;
    }
    err->code = code;
    va_start(args, format);
    vsnprintf(err->text, sizeof(err->text), format, args);
    va_end(args);
}

/* Returns the lower-case name of a code, as logs and metrics show it.  These
 * names do not change between releases. */
const char *
base_code_name(enum base_code code)
{
    static const char *const NAMES[] = {
        [BASE_OK] = "ok",
        [BASE_INVALID] = "invalid",
        [BASE_NOT_FOUND] = "not_found",
        [BASE_CONFLICT] = "conflict",
        [BASE_BUSY] = "busy",
        [BASE_UNAVAILABLE] = "unavailable",
        [BASE_TIMEOUT] = "timeout",
        [BASE_DENIED] = "denied",
        [BASE_FULL] = "full",
        [BASE_CORRUPT] = "corrupt",
        [BASE_INTERNAL] = "internal",
    };

    if ((size_t)code >= G_N_ELEMENTS(NAMES)) {
        return "unknown";
    }
    return NAMES[code];
}

/* Returns the value of the x-cardamompick-ran header for a verdict. */
const char *
base_verdict_name(enum base_verdict verdict)
{
    switch (verdict) {
    case BASE_NOT_RUN:
        return "no";
    case BASE_MAY_HAVE_RUN:
        return "maybe";
    case BASE_RAN:
        return "yes";
    }
    return "maybe";
}
