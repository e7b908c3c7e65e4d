#include <jansson.h>
#include <string.h>

#include "base/http_text.h"
#include "platform/internal.h"

/* Requests to the host list and the weight store.  They are not retried here,
 * because their callers repeat them. */

enum { DEFAULT_RETRY_S = 1, MS_PER_S = 1000 };

/* An open request; the context of its HTTP call. */
struct service_call {
    struct platform *platform;
    struct base_call *call;
    void (*answered)(struct base_call *call,
                     const struct platform_http_result *result);
};

static void
on_service_done(void *context, const struct platform_http_result *result)
{
    struct service_call open_call = *(struct service_call *)context;

    g_hash_table_remove(open_call.platform->service_calls, context);
    g_free(context);
    open_call.answered(open_call.call, result);
    base_call_reply(open_call.call);
}

/* Sends one request and takes ownership of its body. */
static void
send_service_call(struct platform *platform, struct base_call *call,
                  struct platform_http_request *request,
                  void (*answered)(struct base_call *call,
                                   const struct platform_http_result *result))
{
    static const struct platform_http_ops OPS = {.done = on_service_done};
    struct service_call *open_call = g_new0(struct service_call, 1);

    open_call->platform = platform;
    open_call->call = call;
    open_call->answered = answered;
    request->ops = &OPS;
    request->context = open_call;
    request->timeout_ms = platform->call_timeout_ms;
    g_hash_table_insert(platform->service_calls, open_call,
                        platform_http_send(&platform->http, request));
}

/* Drops every open request when the task ends. */
void
platform_service_calls_drop(struct platform *platform)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, platform->service_calls);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct service_call *open_call = key;
        platform_http_cancel(value);
        open_call->call->ops->drop(open_call->call);
        g_free(open_call);
    }
    g_hash_table_remove_all(platform->service_calls);
}

/* ---- host list ---- */

static void
free_host(gpointer data)
{
    struct platform_host *host = data;

    g_free(host->name);
    g_free(host->address);
    g_free(host);
}

static char *
dup_member(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return g_strdup(text != NULL ? text : "");
}

static bool
read_hosts(struct platform_hosts *hosts, const char *body, size_t size)
{
    json_t *root = json_loadb(body, size, 0, NULL);
    const json_t *list = json_object_get(root, "hosts");
    bool is_list = json_is_array(list);

    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *object = json_array_get(list, i);
        const char *state =
            json_string_value(json_object_get(object, "state"));
        struct platform_host *host = g_new0(struct platform_host, 1);
        host->name = dup_member(object, "name");
        host->address = dup_member(object, "address");
        host->is_leaving = g_strcmp0(state, "leaving") == 0;
        g_ptr_array_add(hosts->hosts, host);
    }
    json_decref(root);
    return is_list;
}

static void
on_hosts(struct base_call *call, const struct platform_http_result *result)
{
    struct platform_hosts *hosts = (struct platform_hosts *)call;

    if (result->is_complete && result->status == 200) {
        hosts->is_ok = read_hosts(hosts, result->body, result->size);
    }
}

static void
serve_hosts(struct base_call *call, void *state)
{
    struct platform *platform = state;
    struct platform_http_request request = {
        .address = platform->host_list, .method = "GET", .path = "/hosts"};

    if (platform->host_list == NULL) {
        base_call_reply(call);
        return;
    }
    platform_count(platform, "host_list_calls_total", 1);
    send_service_call(platform, call, &request, on_hosts);
}

static void
hosts_drop(struct base_call *call)
{
    struct platform_hosts *hosts = (struct platform_hosts *)call;

    g_ptr_array_free(hosts->hosts, TRUE);
    g_free(hosts);
}

static void
hosts_done(struct base_call *call, void *state)
{
    struct platform_hosts *hosts = (struct platform_hosts *)call;

    hosts->answered(hosts, state);
    hosts_drop(call);
}

/* Requests the host list once.  `answered` runs on the task `from`; the
 * request is freed after it returns. */
void
platform_hosts_send(struct platform *platform, struct base_task *from,
                    void *context,
                    void (*answered)(struct platform_hosts *hosts,
                                     void *task_state))
{
    static const struct base_call_ops OPS = {serve_hosts, hosts_done,
                                             hosts_drop};
    struct platform_hosts *hosts = g_new0(struct platform_hosts, 1);

    hosts->hosts = g_ptr_array_new_with_free_func(free_host);
    hosts->context = context;
    hosts->answered = answered;
    base_call_send(&hosts->call, &OPS, &platform->task, from);
}

/* ---- weight store ---- */

static void
on_fetch(struct base_call *call, const struct platform_http_result *result)
{
    struct platform_fetch *fetch = (struct platform_fetch *)call;

    if (result->is_complete && result->status == 200) {
        fetch->status = PLATFORM_FETCH_GRANTED;
    }
    else if (result->is_complete && result->status == 429) {
        int wait_s = MAX(result->retry_after_s, DEFAULT_RETRY_S);
        fetch->status = PLATFORM_FETCH_LATER;
        fetch->retry_after_ms = (int64_t)wait_s * MS_PER_S;
    }
}

static GString *
encode_fetch(const struct platform_fetch *fetch)
{
    json_t *root =
        json_pack("{s:o, s:o, s:o}", "model", base_json_text(fetch->model),
                  "version", base_json_text(fetch->version), "server",
                  base_json_text(fetch->server));
    char *text = json_dumps(root, JSON_COMPACT);
    GString *body = g_string_new(text);

    free(text);
    json_decref(root);
    return body;
}

static void
serve_fetch(struct base_call *call, void *state)
{
    struct platform *platform = state;
    struct platform_http_request request = {
        .address = platform->weight_store, .method = "POST", .path = "/fetch"};

    if (platform->weight_store == NULL) {
        base_call_reply(call);
        return;
    }
    platform_count(platform, "weight_store_calls_total", 1);
    request.body = encode_fetch((struct platform_fetch *)call);
    send_service_call(platform, call, &request, on_fetch);
}

/* Frees a request to the weight store. */
void
platform_fetch_free(struct platform_fetch *fetch)
{
    g_free(fetch->model);
    g_free(fetch->version);
    g_free(fetch->server);
    g_free(fetch);
}

static void
fetch_done(struct base_call *call, void *state)
{
    struct platform_fetch *fetch = (struct platform_fetch *)call;
    fetch->answered(fetch, state);
}

static void
fetch_drop(struct base_call *call)
{
    platform_fetch_free((struct platform_fetch *)call);
}

/* Makes a request for permission to load a model's weights on a server. */
struct platform_fetch *
platform_fetch_new(const char *model, const char *version, const char *server)
{
    struct platform_fetch *fetch = g_new0(struct platform_fetch, 1);

    fetch->model = g_strdup(model);
    fetch->version = g_strdup(version);
    fetch->server = g_strdup(server);
    fetch->status = PLATFORM_FETCH_UNAVAILABLE;
    return fetch;
}

/* Sends the request once.  `answered` runs on the task `from` and takes
 * ownership of it. */
void
platform_fetch_send(struct platform *platform, struct platform_fetch *fetch,
                    struct base_task *from,
                    void (*answered)(struct platform_fetch *fetch,
                                     void *task_state))
{
    static const struct base_call_ops OPS = {serve_fetch, fetch_done,
                                             fetch_drop};

    fetch->answered = answered;
    base_call_send(&fetch->call, &OPS, &platform->task, from);
}
