#include <string.h>

#include "base/http_text.h"
#include "jobs/jobs.h"

/* Returns whether an id can be a part of the keys of a job.  A '/' would put
 * the records of one job among those of another. */
bool
jobs_is_valid_id(const char *id)
{
    return strlen(id) < JOBS_ID_SIZE && base_http_is_id(id) &&
           base_text_is_storable(id) && strchr(id, '/') == NULL;
}

/* Returns whether a job with this id, host and path can be stored and its
 * items be sent; otherwise sets BASE_INVALID.  The host and the path are those
 * of the request that submits it; NULL counts as not valid. */
bool
jobs_can_store(const char *id, const char *host, const char *path,
               struct base_error *err)
{
    const char *field = NULL;

    if (!jobs_is_valid_id(id)) {
        field = "id";
    }
    else if (host == NULL || !base_http_is_value(host) ||
             !base_text_is_storable(host)) {
        field = "host";
    }
    else if (path == NULL || !base_http_is_target(path) ||
             !base_text_is_storable(path)) {
        field = "path";
    }
    if (field != NULL) {
        base_error_set(err, BASE_INVALID,
                       "the job's %s cannot be stored: it is empty or too "
                       "long, or has a character that is not allowed or bytes "
                       "that are not UTF-8",
                       field);
    }
    return field == NULL;
}
