#include "front/front_private.h"

#include <string.h>

static const struct front_route ROUTES[] = {
    {"chat", "POST", "/v1/chat/completions", false, WORLD_SCOPE_ONLINE,
     &FRONT_CHAT},
    {"completions", "POST", "/v1/completions", false, WORLD_SCOPE_ONLINE,
     &FRONT_COMPLETIONS},
    {"models", "GET", "/v1/models", false,
     WORLD_SCOPE_ONLINE | WORLD_SCOPE_BATCH, &FRONT_MODELS},
    {"service", "*", "/services/", true, WORLD_SCOPE_ONLINE, &FRONT_SERVICE},
    {"upload", "POST", "/v1/files", false, WORLD_SCOPE_BATCH, &FRONT_UPLOAD},
    {"files", "GET", "/v1/files", false, WORLD_SCOPE_BATCH, &FRONT_FILES},
    {"content", "GET", "/v1/files/", true, WORLD_SCOPE_BATCH, &FRONT_CONTENT},
    {"files", "DELETE", "/v1/files/", true, WORLD_SCOPE_BATCH, &FRONT_FILES},
    {"batches", "POST", "/v1/batches", false, WORLD_SCOPE_BATCH,
     &FRONT_BATCHES},
    {"batches", "GET", "/v1/batches", false, WORLD_SCOPE_BATCH,
     &FRONT_BATCHES},
    {"batches", "POST", "/v1/batches/", true, WORLD_SCOPE_BATCH,
     &FRONT_BATCHES},
    {"batches", "GET", "/v1/batches/", true, WORLD_SCOPE_BATCH,
     &FRONT_BATCHES},
    {"config", "POST", "/admin/config/check", false, WORLD_SCOPE_ADMIN_READ,
     &FRONT_CONFIG},
    {"config", "POST", "/admin/config/diff", false, WORLD_SCOPE_ADMIN_READ,
     &FRONT_CONFIG},
    {"config", "POST", "/admin/config/try", false, WORLD_SCOPE_ADMIN_TRIAL,
     &FRONT_CONFIG},
    {"config", "POST", "/admin/config/promote", false,
     WORLD_SCOPE_ADMIN_PRODUCTION, &FRONT_CONFIG},
    {"config", "GET", "/admin/config/history", false, WORLD_SCOPE_ADMIN_READ,
     &FRONT_CONFIG},
    {"config", "GET", "/admin/config/show", false, WORLD_SCOPE_ADMIN_READ,
     &FRONT_CONFIG},
    {"status", "GET", "/admin/status", false, WORLD_SCOPE_ADMIN_READ,
     &FRONT_STATUS},
    {"health", "GET", "/healthz", false, 0, &FRONT_HEALTH},
    {"ready", "GET", "/readyz", false, 0, &FRONT_READY},
    {"metrics", "GET", "/metrics", false, 0, &FRONT_METRICS},
};

static bool
matches_path(const struct front_route *route, const char *path)
{
    size_t size = strlen(route->path);

    if (!route->is_prefix) {
        return strcmp(path, route->path) == 0;
    }
    return strncmp(path, route->path, size) == 0 && path[size] != '\0';
}

/* Returns the route of a method and path, or NULL.  *is_known_path receives
 * whether any route has the path: when the result is NULL, true means that
 * the method is wrong (405) and false that the path is unknown (404). */
const struct front_route *
front_route_find(const char *method, const char *path, bool *is_known_path)
{
    *is_known_path = false;
    for (size_t i = 0; i < G_N_ELEMENTS(ROUTES); i++) {
        const struct front_route *route = &ROUTES[i];
        if (!matches_path(route, path)) {
            continue;
        }
        *is_known_path = true;
        if (strcmp(route->method, "*") == 0 ||
            strcmp(route->method, method) == 0) {
            return route;
        }
    }
    return NULL;
}
