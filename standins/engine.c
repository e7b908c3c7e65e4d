#include "engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum { HEAD_SIZE = 1024, WRITE_SIZE = 65536, MAX_FDS = 4096 };

static volatile sig_atomic_t is_stopping;

static void
write_headers(struct engine_session *s, int status, const char *type,
              lws_filepos_t size)
{
    unsigned char space[LWS_PRE + HEAD_SIZE];
    unsigned char *start = space + LWS_PRE;
    unsigned char *at = start;
    unsigned char *limit = start + HEAD_SIZE - 1;

    if (lws_add_http_common_headers(s->wsi, (unsigned)status, type, size, &at,
                                    limit) != 0) {
        return;
    }
    if (s->id[0] != '\0' && lws_add_http_header_by_name(
                                s->wsi, (const unsigned char *)"x-request-id:",
                                (const unsigned char *)s->id,
                                (int)strlen(s->id), &at, limit) != 0) {
        return;
    }
    if (status == 503 &&
        lws_add_http_header_by_name(s->wsi, (const unsigned char *)"x-ran:",
                                    (const unsigned char *)"no", 2, &at,
                                    limit) != 0) {
        return;
    }
    if (lws_finalize_write_http_header(s->wsi, start, &at, limit) != 0) {
        engine_close(s);
    }
}

/* Sends a response with a complete body; `text` is copied. */
void
engine_respond(struct engine_session *s, int status, const char *type,
               const char *text, size_t size)
{
    if (s->is_silenced) {
        return;
    }
    write_headers(s, status, type, size);
    g_string_append_len(s->out, text, (gssize)size);
    s->is_complete = true;
    lws_callback_on_writable(s->wsi);
}

/*
 * Sends the headers of an event stream.  The stream has no length; closing
 * the connection ends it.
 */
void
engine_start_stream(struct engine_session *s)
{
    if (s->is_silenced) {
        return;
    }
    s->closes_connection = true;
    write_headers(s, 200, "text/event-stream", LWS_ILLEGAL_HTTP_CONTENT_LEN);
}

/*
 * Schedules the writing of what the caller has appended to s->out.
 * ends_stream is true if these are the last bytes of the stream.
 */
void
engine_flush_stream(struct engine_session *s, bool ends_stream)
{
    s->is_complete = ends_stream;
    if (!s->is_silenced) {
        lws_callback_on_writable(s->wsi);
    }
}

/* Closes the connection without sending anything more. */
void
engine_close(struct engine_session *s)
{
    lws_set_timeout(s->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static int
write_more(struct engine_session *s)
{
    unsigned char space[LWS_PRE + WRITE_SIZE];
    size_t left = s->out->len - s->written;
    size_t size = MIN(left, (size_t)WRITE_SIZE);
    bool is_last = s->is_complete && size == left;

    if (s->is_silenced || (size == 0 && !is_last)) {
        return 0;
    }
    memcpy(space + LWS_PRE, s->out->str + s->written, size);
    if (lws_write(s->wsi, space + LWS_PRE, size,
                  is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    s->written += size;
    if (s->written == s->out->len) {
        g_string_truncate(s->out, 0);
        s->written = 0;
    }
    if (is_last) {
        s->is_complete = false;
        return s->closes_connection || lws_http_transaction_completed(s->wsi)
                   ? -1
                   : 0;
    }
    if (s->out->len > 0) {
        lws_callback_on_writable(s->wsi);
    }
    return 0;
}

static void
respond_json(struct engine_session *s, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    engine_respond(s, status, "application/json", text, strlen(text));
    free(text);
    json_decref(json);
}

static json_t *
state_json(struct engine *engine)
{
    json_t *adapters = json_array();
    bool is_ready = base_clock_ms() >= engine->ready_ms;

    for (guint i = 0; i < engine->adapters->len; i++) {
        json_array_append_new(
            adapters, json_string(g_ptr_array_index(engine->adapters, i)));
    }
    const char *state = is_ready ? "ready" : "loading";
    if (engine->model[0] == '\0') {
        state = "empty";
    }
    return json_pack("{s:s,s:s,s:o,s:s,s:s,s:I}", "model", engine->model,
                     "version", engine->version, "adapters", adapters, "role",
                     engine->role, "state", state, "fencing",
                     (json_int_t)engine->fencing);
}

static void
copy_field(json_t *order, const char *name, char *field)
{
    const char *value = json_string_value(json_object_get(order, name));
    if (value != NULL) {
        g_strlcpy(field, value, ENGINE_NAME_SIZE);
    }
}

static void
apply_order(struct engine *engine, json_t *order)
{
    const char *kind = json_string_value(json_object_get(order, "order"));
    const char *adapter = json_string_value(json_object_get(order, "adapter"));

    if (g_strcmp0(kind, "unload") == 0) {
        engine->model[0] = '\0';
    }
    else if (g_strcmp0(kind, "adapter") == 0 && adapter != NULL) {
        g_ptr_array_add(engine->adapters, g_strdup(adapter));
    }
    else if (g_strcmp0(kind, "role") == 0) {
        copy_field(order, "role", engine->role);
    }
    else {
        copy_field(order, "model", engine->model);
        copy_field(order, "version", engine->version);
        engine->ready_ms = base_clock_ms() + engine->settings.load_ms;
    }
}

/*
 * Applies an order of the deployment controller.  An order with a lower
 * fencing number than an earlier one is refused with 409 if the engine checks
 * fencing numbers.
 */
static void
receive_order(struct engine *engine, struct engine_session *s)
{
    json_t *order = json_loadb(s->body->str, s->body->len, 0, NULL);
    json_int_t fencing = json_integer_value(json_object_get(order, "fencing"));
    char *line = json_dumps(order, JSON_COMPACT);
    bool is_stale = fencing < engine->fencing;
    bool is_refused = is_stale && engine->settings.checks_fencing;

    g_string_append_printf(
        engine->log,
        "{\"server\":\"%s\",\"kind\":\"order\",\"at_us\":"
        "%" PRId64 ",\"refused\":%s,\"old\":%s,\"order\":%s}\n",
        engine->settings.name, base_clock_us(), is_refused ? "true" : "false",
        is_stale ? "true" : "false", line ? line : "null");
    free(line);
    if (order != NULL && !is_refused) {
        engine->fencing = MAX(engine->fencing, fencing);
        apply_order(engine, order);
    }
    json_decref(order);
    respond_json(s, is_refused ? 409 : 200, state_json(engine));
}

/*
 * Applies POST /standin/set.  "silent" affects the sessions that are open
 * now, except the one that sent the request.
 */
static void
set_faults(struct engine *engine, struct engine_session *s)
{
    json_t *set = json_loadb(s->body->str, s->body->len, 0, NULL);
    json_t *value;

    if ((value = json_object_get(set, "slow_factor")) != NULL) {
        engine->faults.slow_factor = json_number_value(value);
        engine->faults.slow_until_ms =
            base_clock_ms() +
            (int64_t)json_number_value(json_object_get(set, "slow_ms"));
    }
    if ((value = json_object_get(set, "fail_rate")) != NULL) {
        engine->faults.fail_rate = json_number_value(value);
    }
    if ((value = json_object_get(set, "error_rate")) != NULL) {
        engine->faults.error_rate = json_number_value(value);
    }
    if ((value = json_object_get(set, "lose_answers")) != NULL) {
        engine->faults.lose_answers = json_number_value(value);
    }
    if ((value = json_object_get(set, "break_rate")) != NULL) {
        engine->faults.break_rate = json_number_value(value);
    }
    if (json_is_true(json_object_get(set, "silent"))) {
        for (guint i = 0; i < engine->sessions->len; i++) {
            struct engine_session *session =
                g_ptr_array_index(engine->sessions, i);
            session->is_silenced = session != s;
        }
    }
    json_decref(set);
    respond_json(s, 200, json_pack("{s:b}", "ok", 1));
}

static void
respond_cache_events(struct engine *engine, struct engine_session *s)
{
    const char *since_text = strstr(s->path, "since=");
    int64_t since = since_text ? atoll(since_text + 6) : 0;
    json_t *events = json_array();
    int64_t first = MAX(since, engine->cache_seq - ENGINE_CACHE_SIZE);

    for (int64_t seq = first; seq < engine->cache_seq; seq++) {
        char key[32];
        /* Omits every seventh event, to simulate lost events. */
        if (seq % 7 == 6) {
            continue;
        }
        snprintf(key, sizeof(key), "%016" PRIx64,
                 engine->cache[seq % ENGINE_CACHE_SIZE]);
        json_array_append_new(events, json_pack("{s:I,s:s,s:s}", "seq",
                                                (json_int_t)seq, "kind",
                                                "store", "key", key));
    }
    respond_json(s, 200,
                 json_pack("{s:I,s:o}", "next", (json_int_t)engine->cache_seq,
                           "events", events));
}

static void
respond_models(struct engine *engine, struct engine_session *s)
{
    respond_json(s, 200,
                 json_pack("{s:s,s:[{s:s,s:s}]}", "object", "list", "data",
                           "id", engine->model, "object", "model"));
}

static void
respond_load(struct engine *engine, struct engine_session *s)
{
    engine_model_refresh_load(engine);
    respond_json(
        s, 200,
        json_pack("{s:i,s:i,s:i,s:I}", "running", engine->reported_running,
                  "queued", engine->reported_queued, "slots",
                  engine->settings.slots, "age_ms",
                  (json_int_t)(base_clock_ms() - engine->reported_ms)));
}

static void
respond_log(struct engine *engine, struct engine_session *s)
{
    engine_respond(s, 200, "application/x-ndjson", engine->log->str,
                   engine->log->len);
}

static void
accept_call(struct engine *engine, struct engine_session *s)
{
    engine_model_accept(engine, s);
}

struct engine_route {
    const char *method;
    const char *prefix;
    void (*run)(struct engine *engine, struct engine_session *s);
};

static const struct engine_route ROUTES[] = {
    {"GET", "/load", respond_load},
    {"GET", "/cache/events", respond_cache_events},
    {"GET", "/v1/models", respond_models},
    {"POST", "/v1/chat/completions", accept_call},
    {"POST", "/v1/completions", accept_call},
    {"POST", "/standin/set", set_faults},
    {"GET", "/standin/log", respond_log},
    {"POST", "/admin/orders", receive_order},
};

static void
dispatch(struct engine *engine, struct engine_session *s)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ROUTES); i++) {
        const struct engine_route *route = &ROUTES[i];
        if (strcmp(s->method, route->method) == 0 &&
            g_str_has_prefix(s->path, route->prefix)) {
            route->run(engine, s);
            return;
        }
    }
    if (strcmp(s->path, "/admin/state") == 0) {
        respond_json(s, 200, state_json(engine));
        return;
    }
    if (engine->settings.is_service) {
        accept_call(engine, s);
        return;
    }
    engine_respond(s, 404, "application/json", "{}", 2);
}

static const char *
method_of(struct lws *wsi, char *path, int size)
{
    static const struct {
        enum lws_token_indexes token;
        const char *name;
    } METHODS[] = {
        {WSI_TOKEN_GET_URI, "GET"},       {WSI_TOKEN_POST_URI, "POST"},
        {WSI_TOKEN_PUT_URI, "PUT"},       {WSI_TOKEN_PATCH_URI, "PATCH"},
        {WSI_TOKEN_DELETE_URI, "DELETE"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(METHODS); i++) {
        if (lws_hdr_copy(wsi, path, size, METHODS[i].token) > 0) {
            return METHODS[i].name;
        }
    }
    path[0] = '\0';
    return "GET";
}

static bool
has_body(struct lws *wsi)
{
    char length[24];

    if (lws_hdr_copy(wsi, length, sizeof(length),
                     WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
        return atoll(length) > 0;
    }
    return lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
}

/* Prepares the session for a new request on its connection. */
static void
begin_request(struct engine *engine, struct engine_session *s, struct lws *wsi)
{
    char number[16];
    char args[64];

    s->wsi = wsi;
    s->engine = engine;
    if (s->body == NULL) {
        s->body = g_string_new(NULL);
        s->out = g_string_new(NULL);
        g_ptr_array_add(engine->sessions, s);
    }
    g_string_truncate(s->body, 0);
    s->phase = ENGINE_IDLE;
    s->id[0] = '\0';
    s->resume_token = 0;
    s->next_token = 0;
    s->tokens = 0;
    s->began_us = 0;
    s->first_token_us = 0;
    s->is_stream = false;
    g_strlcpy(s->method, method_of(wsi, s->path, sizeof(s->path)),
              sizeof(s->method));
    if (lws_hdr_copy(wsi, args, sizeof(args), WSI_TOKEN_HTTP_URI_ARGS) > 0) {
        g_strlcat(s->path, "?", sizeof(s->path));
        g_strlcat(s->path, args, sizeof(s->path));
    }
    if (lws_hdr_custom_copy(wsi, s->id, sizeof(s->id), "x-request-id:", 13) <
        0) {
        s->id[0] = '\0';
    }
    if (lws_hdr_custom_copy(wsi, number, sizeof(number),
                            "x-resume-offset:", 16) > 0) {
        s->resume_token = atoi(number);
    }
}

/* Cancels the session's request and frees what the session owns. */
static void
end_session(struct engine *engine, struct engine_session *s)
{
    if (s->body == NULL) {
        return;
    }
    engine_model_cancel(engine, s);
    g_ptr_array_remove_fast(engine->sessions, s);
    g_string_free(s->body, TRUE);
    g_string_free(s->out, TRUE);
    s->body = NULL;
}

static int
on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct engine *engine = lws_context_user(lws_get_context(wsi));
    struct engine_session *s = user;

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        begin_request(engine, s, wsi);
        if (!has_body(wsi)) {
            dispatch(engine, s);
        }
        return 0;
    case LWS_CALLBACK_HTTP_BODY:
        g_string_append_len(s->body, in, (gssize)size);
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        dispatch(engine, s);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return s->body == NULL ? 0 : write_more(s);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (s != NULL) {
            end_session(engine, s);
        }
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, size);
    }
}

static void
on_signal(int number)
{
    is_stopping = 1;
}

static bool
parse_options(struct engine_settings *settings, int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"port", 0, 0, G_OPTION_ARG_INT, &settings->port,
         "port to listen on; 0: any free port", "N"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &settings->slots, NULL, "N"},
        {"first-token-us", 0, 0, G_OPTION_ARG_INT, &settings->first_token_us,
         "also the run time of a service call", "US"},
        {"inter-token-us", 0, 0, G_OPTION_ARG_INT, &settings->inter_token_us,
         NULL, "US"},
        {"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &settings->load_lag_ms, NULL,
         "MS"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &settings->load_ms, NULL, "MS"},
        {"service", 0, 0, G_OPTION_ARG_NONE, &settings->is_service, NULL,
         NULL},
        {"checks-fencing", 0, 0, G_OPTION_ARG_NONE, &settings->checks_fencing,
         NULL, NULL},
        {"name", 0, 0, G_OPTION_ARG_STRING, &settings->name, NULL, "NAME"},
        {"model", 0, 0, G_OPTION_ARG_STRING, &settings->model, NULL, "NAME"},
        {"version", 0, 0, G_OPTION_ARG_STRING, &settings->version, NULL, "V"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *options = g_option_context_new("- engine stand-in");
    GError *failure = NULL;

    g_option_context_add_main_entries(options, entries, NULL);
    bool is_ok = g_option_context_parse(options, &argc, &argv, &failure);
    if (!is_ok) {
        fprintf(stderr, "%s\n", failure->message);
    }
    g_option_context_free(options);
    return is_ok;
}

static struct lws_context *
listen_on(struct engine *engine)
{
    static const struct lws_protocols PROTOCOLS[] = {
        {"http", on_event, sizeof(struct engine_session), 0, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0},
    };
    struct lws_context_creation_info info;

    memset(&info, 0, sizeof(info));
    info.port = engine->settings.port;
    info.iface = "127.0.0.1";
    info.protocols = PROTOCOLS;
    info.fd_limit_per_thread = MAX_FDS;
    info.user = engine;
    info.keepalive_timeout = 30;
    info.timeout_secs = 3600;
    lws_set_log_level(LLL_ERR, NULL);
    return lws_create_context(&info);
}

int
main(int argc, char **argv)
{
    struct engine engine = {0};

    engine.settings = (struct engine_settings){.slots = 16,
                                               .first_token_us = 40000,
                                               .inter_token_us = 10000,
                                               .load_lag_ms = 500,
                                               .load_ms = 500};
    if (!parse_options(&engine.settings, argc, argv)) {
        return 2;
    }
    if (engine.settings.name == NULL) {
        engine.settings.name = "engine";
    }
    g_strlcpy(engine.model, engine.settings.model ? engine.settings.model : "",
              ENGINE_NAME_SIZE);
    g_strlcpy(engine.version,
              engine.settings.version ? engine.settings.version : "",
              ENGINE_NAME_SIZE);
    g_strlcpy(engine.role, "any", ENGINE_NAME_SIZE);
    engine.adapters = g_ptr_array_new();
    engine.running = g_ptr_array_new();
    engine.sessions = g_ptr_array_new();
    engine.log = g_string_new(NULL);
    engine.random =
        g_rand_new_with_seed((guint32)base_hash_text(engine.settings.name, 1));
    g_queue_init(&engine.queue);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    engine.lws = listen_on(&engine);
    if (engine.lws == NULL) {
        fprintf(stderr, "can't listen on 127.0.0.1\n");
        return 1;
    }
    printf("port=%d\n", lws_get_vhost_listen_port(
                            lws_get_vhost_by_name(engine.lws, "default")));
    fflush(stdout);
    while (!is_stopping) {
        lws_service(engine.lws, 0);
        engine_model_refresh_load(&engine);
    }
    lws_context_destroy(engine.lws);
    return 0;
}
