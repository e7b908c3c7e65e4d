#include <string.h>

#include "world/parse.h"

#define MAX_RATE 1e9
#define MAX_TARGET_MS 600000.0
enum {
    MAX_COUNT = 1000000,
    SHA256_DIGITS = 64,
    RATE_BURST_S = 2, /* documents set no burst: the requests of this time */
};

static const struct {
    const char *name;
    enum world_scope scope;
} SCOPES[] = {
    {"online", WORLD_SCOPE_ONLINE},
    {"batch", WORLD_SCOPE_BATCH},
    {"admin-read", WORLD_SCOPE_ADMIN_READ},
    {"admin-trial", WORLD_SCOPE_ADMIN_TRIAL},
    {"admin-production", WORLD_SCOPE_ADMIN_PRODUCTION},
};

static unsigned
scope_by_name(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(SCOPES); i++) {
        if (strcmp(SCOPES[i].name, name) == 0) {
            return SCOPES[i].scope;
        }
    }
    return 0;
}

static unsigned
read_scopes(struct world_reader *reader, const json_t *object)
{
    json_t *names = world_reader_array(reader, object, "scopes");
    unsigned scopes = 0;

    if (json_array_size(names) == 0) {
        world_reader_report_member(reader, "scopes",
                                   "must name at least one scope");
    }
    for (size_t i = 0; i < json_array_size(names); i++) {
        const char *name =
            world_reader_element(reader, names, "scopes", i, WORLD_TEXT_NAME);
        if (name != NULL && scope_by_name(name) == 0) {
            size_t mark = world_reader_enter(reader, "scopes[%zu]", i);
            world_reader_report(reader, "no scope \"%s\"", name);
            world_reader_leave(reader, mark);
        }
        scopes |= name != NULL ? scope_by_name(name) : 0;
    }
    return scopes;
}

static bool
is_sha256(const char *text)
{
    return strlen(text) == SHA256_DIGITS &&
           strspn(text, "0123456789abcdef") == SHA256_DIGITS;
}

static bool
is_duplicate_key(const struct world *world, const struct world_operator *last,
                 const char *sha256)
{
    for (const struct world_operator *at = world->operators; at <= last;
         at++) {
        for (int i = 0; i < at->n_keys; i++) {
            if (strcmp(at->keys[i].sha256, sha256) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
read_key(struct world_reader *reader, struct world *world,
         struct world_operator *new_operator, const json_t *object)
{
    static const char *const MEMBERS[] = {"sha256", "scopes", NULL};

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    char *sha256 =
        world_reader_text(reader, object, "sha256", WORLD_TEXT_ANY, NULL);
    if (!is_sha256(sha256)) {
        world_reader_report_member(reader, "sha256",
                                   "must be 64 lower-case hexadecimal digits");
    }
    else if (is_duplicate_key(world, new_operator, sha256)) {
        world_reader_report_member(reader, "sha256",
                                   "this key is listed twice");
    }
    struct world_key *key = &new_operator->keys[new_operator->n_keys];
    g_strlcpy(key->sha256, sha256, sizeof(key->sha256));
    key->scopes = read_scopes(reader, object);
    new_operator->n_keys++;
    g_free(sha256);
}

static void
read_keys(struct world_reader *reader, struct world *world,
          struct world_operator *new_operator, const json_t *object)
{
    json_t *keys = world_reader_array(reader, object, "keys");

    new_operator->keys = g_new0(struct world_key, json_array_size(keys));
    for (size_t i = 0; i < json_array_size(keys); i++) {
        size_t mark = world_reader_enter(reader, "keys[%zu]", i);
        read_key(reader, world, new_operator, json_array_get(keys, i));
        world_reader_leave(reader, mark);
    }
}

/* Reads one element of `operators` and adds it to the world. */
void
world_read_operator(struct world_reader *reader, struct world *world,
                    const json_t *object)
{
    static const char *const MEMBERS[] = {"name",
                                          "keys",
                                          "weight",
                                          "requests_per_s",
                                          "open_requests",
                                          "batch_items_open",
                                          NULL};
    static const struct world_number_field WEIGHT = {"weight", 0.001, 1000, 1};
    static const struct world_number_field RATE = {"requests_per_s", 0,
                                                   MAX_RATE, 0};
    static const struct world_integer_field OPEN = {"open_requests", 0,
                                                    MAX_COUNT, 0};
    static const struct world_integer_field ITEMS = {"batch_items_open", 0,
                                                     (int64_t)1 << 40, 0};
    struct world_operator *new_operator =
        &world->operators[world->n_operators];

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    new_operator->name =
        world_reader_text(reader, object, "name", WORLD_TEXT_NAME, NULL);
    if (world_find_operator(world, new_operator->name) != WORLD_NONE) {
        world_reader_report_member(reader, "name",
                                   "operator \"%s\" is named twice",
                                   new_operator->name);
    }
    read_keys(reader, world, new_operator, object);
    new_operator->weight = world_reader_number(reader, object, &WEIGHT);
    new_operator->requests_per_s = world_reader_number(reader, object, &RATE);
    new_operator->burst = new_operator->requests_per_s * RATE_BURST_S;
    new_operator->open_requests =
        (int)world_reader_integer(reader, object, &OPEN);
    new_operator->batch_items_open =
        world_reader_integer(reader, object, &ITEMS);
    world->n_operators++;
}

static enum world_kind
read_kind(struct world_reader *reader, const json_t *object)
{
    char *kind =
        world_reader_text(reader, object, "kind", WORLD_TEXT_NAME, "engine");
    bool is_service = strcmp(kind, "service") == 0;

    if (!is_service && *kind != '\0' && strcmp(kind, "engine") != 0) {
        world_reader_report_member(reader, "kind",
                                   "must be \"engine\" or \"service\"");
    }
    g_free(kind);
    return is_service ? WORLD_SERVICE : WORLD_ENGINE;
}

static char **
read_adapters(struct world_reader *reader, const json_t *object)
{
    json_t *names = world_reader_array(reader, object, "adapters");
    GPtrArray *adapters = g_ptr_array_new();

    for (size_t i = 0; i < json_array_size(names); i++) {
        const char *name = world_reader_element(reader, names, "adapters", i,
                                                WORLD_TEXT_LABEL);
        if (name != NULL) {
            g_ptr_array_add(adapters, g_strdup(name));
        }
    }
    g_ptr_array_add(adapters, NULL);
    return (char **)g_ptr_array_free(adapters, FALSE);
}

static void
read_allowed_operators(struct world_reader *reader, const struct world *world,
                       struct world_deployment *deployment,
                       const json_t *object)
{
    json_t *names = world_reader_array(reader, object, "operators");

    deployment->operators = g_new0(int, json_array_size(names));
    for (size_t i = 0; i < json_array_size(names); i++) {
        const char *name = world_reader_element(reader, names, "operators", i,
                                                WORLD_TEXT_NAME);
        if (name == NULL) {
            continue;
        }
        int found = world_find_operator(world, name);
        if (found == WORLD_NONE) {
            size_t mark = world_reader_enter(reader, "operators[%zu]", i);
            world_reader_report(reader, "no operator \"%s\"", name);
            world_reader_leave(reader, mark);
            continue;
        }
        deployment->operators[deployment->n_operators] = found;
        deployment->n_operators++;
    }
}

static void
read_route(struct world_reader *reader, struct world_deployment *deployment,
           const json_t *object)
{
    static const char *const MEMBERS[] = {"method", "prefix", "idempotent",
                                          NULL};
    struct world_route *route = &deployment->routes[deployment->n_routes];

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    route->method =
        world_reader_text(reader, object, "method", WORLD_TEXT_LABEL, "*");
    route->prefix =
        world_reader_text(reader, object, "prefix", WORLD_TEXT_LABEL, NULL);
    if (route->prefix[0] != '/' && *route->prefix != '\0') {
        world_reader_report_member(reader, "prefix", "must begin with '/'");
    }
    if (strspn(route->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
            strlen(route->method) &&
        strcmp(route->method, "*") != 0) {
        world_reader_report_member(
            reader, "method", "must be an upper-case HTTP method or \"*\"");
    }
    route->is_idempotent =
        world_reader_flag(reader, object, "idempotent", false);
    deployment->n_routes++;
}

static void
read_routes(struct world_reader *reader, struct world_deployment *deployment,
            const json_t *object)
{
    json_t *routes = world_reader_array(reader, object, "routes");

    deployment->routes = g_new0(struct world_route, json_array_size(routes));
    for (size_t i = 0; i < json_array_size(routes); i++) {
        size_t mark = world_reader_enter(reader, "routes[%zu]", i);
        read_route(reader, deployment, json_array_get(routes, i));
        world_reader_leave(reader, mark);
    }
}

static void
read_serving_limits(struct world_reader *reader,
                    struct world_deployment *deployment, const json_t *object)
{
    static const struct world_number_field FIRST = {"first_token_target_ms", 1,
                                                    MAX_TARGET_MS, 380};
    static const struct world_number_field INTER = {"inter_token_target_ms", 1,
                                                    MAX_TARGET_MS, 73};
    static const struct world_integer_field LONG_TOKENS = {"long_tokens", 1,
                                                           MAX_COUNT, 512};
    static const struct world_number_field LONG = {"long_share", 0.01, 1, 0.5};
    static const struct world_number_field BATCH = {"batch_share", 0, 1, 1};
    static const struct world_number_field CHANGE = {"change_share", 0.001, 1,
                                                     0.25};
    static const struct world_integer_field READY = {"min_ready", 0, MAX_COUNT,
                                                     1};

    deployment->first_token_target_ms =
        world_reader_number(reader, object, &FIRST);
    deployment->inter_token_target_ms =
        world_reader_number(reader, object, &INTER);
    deployment->long_tokens =
        (int)world_reader_integer(reader, object, &LONG_TOKENS);
    deployment->long_share = world_reader_number(reader, object, &LONG);
    deployment->batch_share = world_reader_number(reader, object, &BATCH);
    deployment->change_share = world_reader_number(reader, object, &CHANGE);
    deployment->min_ready = (int)world_reader_integer(reader, object, &READY);
}

/* Records a problem for each member that this kind of deployment can't have.
 */
static void
check_kind(struct world_reader *reader, const json_t *object,
           enum world_kind kind)
{
    static const char *const ENGINE_ONLY[] = {"model", "version", "adapters"};

    if (kind == WORLD_ENGINE) {
        if (json_object_get(object, "routes") != NULL) {
            world_reader_report_member(reader, "routes",
                                       "only a service may have routes");
        }
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ENGINE_ONLY); i++) {
        if (json_object_get(object, ENGINE_ONLY[i]) != NULL) {
            world_reader_report_member(reader, ENGINE_ONLY[i],
                                       "only an engine may have this member");
        }
    }
}

static void
read_model(struct world_reader *reader, const struct world *world,
           struct world_deployment *deployment, const json_t *object)
{
    bool is_engine = deployment->kind == WORLD_ENGINE;

    deployment->model = world_reader_text(
        reader, object, "model", WORLD_TEXT_LABEL, is_engine ? NULL : "");
    if (is_engine && *deployment->model != '\0' &&
        world_find_model(world, deployment->model) != WORLD_NONE) {
        world_reader_report_member(reader, "model",
                                   "another deployment serves model \"%s\"",
                                   deployment->model);
    }
    deployment->version =
        world_reader_text(reader, object, "version", WORLD_TEXT_ANY, "");
    deployment->adapters = read_adapters(reader, object);
}

/* Reads one element of `deployments` and adds it to the world. */
void
world_read_deployment(struct world_reader *reader, struct world *world,
                      const json_t *object)
{
    static const char *const MEMBERS[] = {"name",
                                          "kind",
                                          "model",
                                          "version",
                                          "adapters",
                                          "operators",
                                          "routes",
                                          "first_token_target_ms",
                                          "inter_token_target_ms",
                                          "long_tokens",
                                          "long_share",
                                          "batch_share",
                                          "change_share",
                                          "min_ready",
                                          NULL};
    struct world_deployment *deployment =
        &world->deployments[world->n_deployments];

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    deployment->name =
        world_reader_text(reader, object, "name", WORLD_TEXT_NAME, NULL);
    if (world_find_deployment(world, deployment->name) != WORLD_NONE) {
        world_reader_report_member(reader, "name",
                                   "deployment \"%s\" is named twice",
                                   deployment->name);
    }
    deployment->kind = read_kind(reader, object);
    check_kind(reader, object, deployment->kind);
    read_model(reader, world, deployment, object);
    read_allowed_operators(reader, world, deployment, object);
    read_routes(reader, deployment, object);
    read_serving_limits(reader, deployment, object);
    world->n_deployments++;
}
