#include "front/front_private.h"

#include <string.h>

enum {
    HEADER_SIZE = 512,
};

/* Copies the token of the header "authorization: Bearer TOKEN"; false if the
 * header is missing, has another scheme or is empty. */
static bool
read_bearer_token(struct front_request *request, char *out, size_t size)
{
    char text[HEADER_SIZE];

    if (lws_hdr_copy(request->wsi, text, sizeof(text),
                     WSI_TOKEN_HTTP_AUTHORIZATION) <= 0) {
        return false;
    }
    if (g_ascii_strncasecmp(text, "Bearer ", 7) != 0) {
        return false;
    }
    g_strlcpy(out, g_strstrip(text + 7), size);
    return out[0] != '\0';
}

/* Identifies the calling operator by its API key and checks that the key has a
 * scope of the route.  On false the request has been answered. */
bool
front_authorize(struct front_request *request)
{
    char key[HEADER_SIZE];
    unsigned scopes = 0;

    if (request->world == NULL) {
        front_fail(request, &FRONT_NOT_READY,
                   "this node has no configuration yet");
        return false;
    }
    if (!read_bearer_token(request, key, sizeof(key))) {
        front_fail(request, &FRONT_NO_KEY,
                   "an API key is required: authorization: Bearer KEY");
        return false;
    }
    request->operator_index =
        world_find_operator_by_key(request->world, key, &scopes);
    if (request->operator_index == WORLD_NONE) {
        front_fail(request, &FRONT_NO_KEY, "unknown API key");
        return false;
    }
    g_strlcpy(request->operator_name,
              request->world->operators[request->operator_index].name,
              sizeof(request->operator_name));
    if ((scopes & request->route->scope) == 0) {
        front_fail(request, &FRONT_DENIED,
                   "the API key lacks the scope that route %s requires",
                   request->route->name);
        return false;
    }
    return true;
}

/* Returns a copy of the API key from the request's header, or NULL if the
 * request has none, or several. */
static char *
copy_site_key(const struct front_request *request)
{
    const char *name = request->front->protocol->api_key;
    char *key = NULL;
    int n_found = 0;

    for (guint i = 0; name != NULL && i + 1 < request->request_headers->len;
         i += 2) {
        if (g_ascii_strcasecmp(request->request_headers->pdata[i], name) ==
            0) {
            g_free(key);
            key = g_strstrip(g_strdup(request->request_headers->pdata[i + 1]));
            n_found++;
        }
    }
    if (n_found != 1 || key[0] == '\0') {
        g_clear_pointer(&key, g_free);
    }
    return key;
}

/* Answers a request whose key is missing or unknown. */
static void
refuse_key(struct front_request *request, bool has_key)
{
    front_fail_by_config(request, &FRONT_NO_KEY,
                         has_key ? "unknown API key"
                                 : "an API key is required");
    base_log(BASE_LOG_INFO, "front.key_refused",
             "id=%s has_key=%d status=%d revision=%" G_GINT64_FORMAT,
             request->id, has_key, request->status, request->world->revision);
}

/* Identifies the calling operator of a site by its API key.  Open routes need
 * no key.  On false the request has been answered. */
bool
front_identify(struct front_request *request, bool is_open)
{
    unsigned scopes = 0;
    bool has_key;
    char *key;

    if (!request->world->has_operators) {
        return true;
    }
    key = copy_site_key(request);
    has_key = key != NULL;
    if (has_key) {
        request->operator_index =
            world_find_operator_by_key(request->world, key, &scopes);
    }
    g_free(key);
    if (request->operator_index != WORLD_NONE) {
        g_strlcpy(request->operator_name,
                  request->world->operators[request->operator_index].name,
                  sizeof(request->operator_name));
        return true;
    }
    if (!is_open) {
        refuse_key(request, has_key);
    }
    return is_open;
}

/* Takes a request from the rate limit of its operator, which all nodes keep
 * together.  On false the request has been answered. */
bool
front_take_rate(struct front_request *request)
{
    struct control *control = request->front->control;
    static const struct front_fault OVER_RATE = {
        429, BASE_NOT_RUN, "rate_limit_error", "rate_limit_exceeded", 0};

    if (request->operator_name[0] == '\0' ||
        control_rate_allow(control, request->operator_name, 1)) {
        return true;
    }
    front_add_retry_after(
        request, control_rate_retry_ms(control, request->operator_name));
    front_fail(request, &OVER_RATE,
               "operator %s exceeded its requests per second",
               request->operator_name);
    return false;
}

/* Returns the number of nodes that accept work, at least 1: the front divides
 * an operator's limit by it. */
static int
count_accepting_nodes(const struct front *front)
{
    int count = 0;

    for (int i = 0; front->view != NULL && i < front->view->n_nodes; i++) {
        count += members_accepts_work(&front->view->nodes[i]) ? 1 : 0;
    }
    return MAX(count, 1);
}

/* Returns how many requests of the operator this node may have open: an equal
 * share of the operator's limit, rounded up. */
static int
get_open_limit(const struct front_request *request)
{
    int limit =
        request->world->operators[request->operator_index].open_requests;
    int n_nodes = count_accepting_nodes(request->front);

    return limit == 0 ? INT_MAX : (limit + n_nodes - 1) / n_nodes;
}

/* Returns the number of the operator's requests that are open on this node. */
static int
count_open(const struct front_request *request)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(
        request->front->open_by_operator, request->operator_name));
}

static void
set_open(const struct front_request *request, int count)
{
    GHashTable *table = request->front->open_by_operator;

    if (count == 0) {
        g_hash_table_remove(table, request->operator_name);
        return;
    }
    g_hash_table_replace(table, g_strdup(request->operator_name),
                         GINT_TO_POINTER(count));
}

/* Checks the operator's limits of open requests and of requests per second.
 * On false the request has been answered; on true it counts as open until
 * front_admit_end. */
bool
front_admit(struct front_request *request)
{
    int open = count_open(request);

    if (open >= get_open_limit(request)) {
        front_fail(request, &FRONT_RATE_LIMITED,
                   "operator %s has too many open requests",
                   request->operator_name);
        return false;
    }
    if (!control_rate_allow(request->front->control, request->operator_name,
                            1)) {
        front_fail(request, &FRONT_RATE_LIMITED,
                   "operator %s exceeded its requests per second",
                   request->operator_name);
        return false;
    }
    set_open(request, open + 1);
    request->is_counted = true;
    return true;
}

/* Stops counting an admitted request as open; further calls do nothing.
 */
void
front_admit_end(struct front_request *request)
{
    if (request->is_counted) {
        request->is_counted = false;
        set_open(request, count_open(request) - 1);
    }
}

/* Returns whether the deployment exists and the caller may use it.  If not,
 * the calling function responds that the deployment does not exist, in both
 * cases. */
bool
front_may_use(struct front_request *request, int deployment)
{
    if (deployment != WORLD_NONE &&
        world_may_use(request->world, request->operator_index, deployment)) {
        return true;
    }
    return false;
}
