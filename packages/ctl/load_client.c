#include "ctl/load_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <libwebsockets.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

enum {
    READ_SIZE = 16384,
    MAX_DESCRIPTORS = 16384,
    SPARE_FDS = 64,
    /* The client waits this long after the deadline, so that a node's own
     * deadline error arrives first. */
    DEADLINE_GRACE_MS = 5000,
};

/* One request in progress. */
struct load_call {
    struct load_client *client;
    struct lws *wsi;
    struct load_record record;
    struct load_check check;
    lws_sorted_usec_list_t timeout;
    GString *body;    /* LWS_PRE bytes, then the unsent body */
    char ran[8];      /* x-cardamompick-ran header; empty: none */
    bool is_complete; /* the whole response was received */
    bool is_done;     /* the record is added */
};

/* Timer of the next planned request. */
struct arrivals {
    struct load_client *client;
    lws_sorted_usec_list_t timer;
};

static volatile sig_atomic_t is_interrupted;

static void
on_interrupt(int number)
{
    (void)number;
    is_interrupted = 1;
}

static void
free_call(struct load_call *call)
{
    lws_sul_cancel(&call->timeout);
    load_check_finish(&call->check);
    g_string_free(call->body, TRUE);
    g_free(call);
}

/* Adds the request's record to the results, once.  The call itself is freed
 * when its connection is closed. */
static void
end_call(struct load_call *call, const char *note)
{
    struct load_client *client = call->client;
    struct load_record *record = &call->record;

    if (call->is_done) {
        return;
    }
    call->is_done = true;
    record->verdict = load_check_end(&call->check, record->status, call->ran,
                                     call->is_complete);
    record->end_us = base_clock_us();
    record->first_token_us = call->check.first_token_us;
    record->tokens = call->check.n_tokens;
    if (call->check.fault[0] != '\0') {
        note = call->check.fault;
    }
    g_strlcpy(record->note, note != NULL ? note : "", sizeof(record->note));
    g_array_append_val(client->records, *record);
    g_ptr_array_remove_fast(client->calls, call);
    client->open--;
    if (client->open == 0 && !client->has_next) {
        /* This was the last request: wake the loop so that it returns. */
        lws_cancel_service(client->lws);
    }
}

static void
on_timeout(lws_sorted_usec_list_t *timer)
{
    struct load_call *call =
        lws_container_of(timer, struct load_call, timeout);

    end_call(call, "no end within the deadline");
    if (call->wsi != NULL) {
        lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

static bool
add_header(struct lws *wsi, const char *name, const char *value,
           unsigned char **at, unsigned char *end)
{
    return lws_add_http_header_by_name(wsi, (const unsigned char *)name,
                                       (const unsigned char *)value,
                                       (int)strlen(value), at, end) == 0;
}

static int
add_headers(struct load_call *call, struct lws *wsi, unsigned char **at,
            unsigned char *end)
{
    const struct load_options *options = call->client->options;
    const struct load_operator *sender = g_ptr_array_index(
        options->settings.operators, call->record.request.operator_index);
    char number[32];
    bool is_ok;

    g_snprintf(number, sizeof(number), "%zu", call->body->len - LWS_PRE);
    is_ok = add_header(wsi, "content-type:", "application/json", at, end) &&
            add_header(wsi, "content-length:", number, at, end) &&
            add_header(wsi, "x-request-id:", call->record.id, at, end);
    g_snprintf(number, sizeof(number), "%" PRId64, options->deadline_ms);
    is_ok = is_ok && add_header(wsi, "x-deadline-ms:", number, at, end);
    if (sender->key != NULL) {
        char *bearer = g_strconcat("Bearer ", sender->key, NULL);
        is_ok = is_ok && add_header(wsi, "authorization:", bearer, at, end);
        g_free(bearer);
    }
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return is_ok ? 0 : -1;
}

static int
send_body(struct load_call *call, struct lws *wsi)
{
    unsigned char *start = (unsigned char *)call->body->str + LWS_PRE;
    size_t size = call->body->len - LWS_PRE;

    if (size == 0) {
        return 0;
    }
    if (lws_write(wsi, start, size, LWS_WRITE_HTTP_FINAL) < 0) {
        return -1;
    }
    g_string_truncate(call->body, LWS_PRE);
    lws_client_http_body_pending(wsi, 0);
    return 0;
}

static void
read_response_head(struct load_call *call, struct lws *wsi)
{
    char id[LOAD_ID_SIZE - 16];

    call->record.status = (int)lws_http_client_http_response(wsi);
    if (lws_hdr_custom_copy(wsi, call->ran, sizeof(call->ran),
                            "x-cardamompick-ran:", 19) < 0) {
        call->ran[0] = '\0';
    }
    if (!call->client->options->is_direct &&
        lws_hdr_custom_copy(wsi, id, sizeof(id), "x-request-id:", 13) > 0) {
        g_strlcpy(call->record.id, id, sizeof(call->record.id));
    }
    g_snprintf(call->check.id, sizeof(call->check.id), "chatcmpl-%.70s",
               call->record.id);
}

static int
read_body(struct lws *wsi)
{
    char space[LWS_PRE + READ_SIZE];
    char *start = space + LWS_PRE;
    int length = READ_SIZE;

    return lws_http_client_read(wsi, &start, &length) < 0 ? -1 : 0;
}

static int
on_lws_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
             void *in, size_t size)
{
    struct load_call *call = lws_get_opaque_user_data(wsi);

    (void)user;
    if (call == NULL) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        end_call(call, in != NULL ? in : "not connected");
        break;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return add_headers(call, wsi, in, *(unsigned char **)in + size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return send_body(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        read_response_head(call, wsi);
        break;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        load_check_feed(&call->check, in, size, base_clock_us());
        break;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_body(wsi);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        call->is_complete = true;
        end_call(call, NULL);
        return -1;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        end_call(call, "closed");
        break;
    case LWS_CALLBACK_WSI_DESTROY:
        end_call(call, "closed");
        lws_set_opaque_user_data(wsi, NULL);
        free_call(call);
        break;
    default:
        break;
    }
    return 0;
}

static void
build_body(struct load_call *call)
{
    const struct load_options *options = call->client->options;
    const struct load_request *request = &call->record.request;
    GString *messages = g_string_new(NULL);

    load_plan_messages(&options->settings, request, messages);
    call->check.checks_tokens = options->checks_tokens;
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, messages->str, -1);
    g_strlcpy(call->check.prompt_digest, digest,
              sizeof(call->check.prompt_digest));
    g_free(digest);
    call->body = g_string_new(NULL);
    g_string_set_size(call->body, LWS_PRE);
    g_string_append_printf(call->body,
                           "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":"
                           "%d,\"messages\":%s}",
                           options->model,
                           request->is_stream ? "true" : "false",
                           request->tokens, messages->str);
    g_string_free(messages, TRUE);
}

static struct lws *
open_connection(struct load_call *call)
{
    struct load_client *client = call->client;
    char *url = g_strdup(client->options->urls[call->record.request.url]);
    struct lws_client_connect_info info;
    const char *scheme = NULL;
    const char *address = NULL;
    const char *path = NULL;
    int port = 0;
    bool is_ok = lws_parse_uri(url, &scheme, &address, &port, &path) == 0;

    memset(&info, 0, sizeof(info));
    info.context = client->lws;
    info.address = address;
    info.host = address;
    info.origin = address;
    info.port = port;
    info.path = "/v1/chat/completions";
    info.method = "POST";
    info.alpn = "http/1.1";
    info.local_protocol_name = "load";
    info.opaque_user_data = call;
    info.ssl_connection =
        is_ok && strcmp(scheme, "https") == 0 ? LCCSCF_USE_SSL : 0;
    struct lws *wsi = is_ok ? lws_client_connect_via_info(&info) : NULL;
    g_free(url);
    return wsi;
}

/* Sends one due request.  If the connection fails at once, its callback may
 * have ended and freed the call already. */
static void
send_request(struct load_client *client, const struct load_request *request)
{
    const struct load_options *options = client->options;
    struct load_call *call = g_new0(struct load_call, 1);
    int64_t timeout_us;

    call->client = client;
    call->record.request = *request;
    call->record.intended_us = client->start_us + request->at_us;
    g_snprintf(call->record.id, sizeof(call->record.id),
               "load-%" PRIu64 "-%" PRId64, options->settings.seed,
               request->number);
    load_check_init(&call->check, request->tokens, request->is_stream,
                    client->gaps);
    build_body(call);
    g_ptr_array_add(client->calls, call);
    client->open++;
    client->peak_open = MAX(client->peak_open, client->open);
    if (client->open > options->max_open) {
        end_call(call, "too many open");
        free_call(call);
        return;
    }
    timeout_us = (options->deadline_ms + DEADLINE_GRACE_MS) * 1000;
    lws_sul_schedule(client->lws, 0, &call->timeout, on_timeout, timeout_us);
    struct lws *wsi = open_connection(call);
    if (wsi != NULL) {
        call->wsi = wsi;
    }
    else if (g_ptr_array_find(client->calls, call, NULL)) {
        end_call(call, "not connected");
        free_call(call);
    }
}

static void
on_due(lws_sorted_usec_list_t *timer)
{
    struct arrivals *arrivals =
        lws_container_of(timer, struct arrivals, timer);
    struct load_client *client = arrivals->client;
    int64_t passed_us = base_clock_us() - client->start_us;

    while (client->has_next && client->next.at_us <= passed_us) {
        struct load_request request = client->next;
        client->has_next =
            !is_interrupted && load_plan_next(&client->plan, &client->next);
        send_request(client, &request);
    }
    if (client->has_next) {
        lws_sul_schedule(client->lws, 0, &arrivals->timer, on_due,
                         MAX(client->next.at_us - passed_us, 1));
    }
}

static unsigned
descriptor_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 1024;
    }
    return (unsigned)MIN(limit.rlim_cur, (rlim_t)MAX_DESCRIPTORS);
}

static bool
create_lws_context(struct load_client *client, struct base_error *err)
{
    static const struct lws_protocols PROTOCOLS[] = {
        {"load", on_lws_event, 0, READ_SIZE, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0},
    };
    const struct load_options *options = client->options;
    struct lws_context_creation_info info;
    unsigned fds = descriptor_limit();

    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = PROTOCOLS;
    info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.fd_limit_per_thread = fds;
    info.timeout_secs =
        (unsigned)((options->deadline_ms + DEADLINE_GRACE_MS) / 1000 + 1);
    info.client_ssl_ca_filepath = options->ca_file;
    lws_set_log_level(LLL_ERR, NULL);
    client->lws = lws_create_context(&info);
    if (client->lws == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "can't create the libwebsockets context");
        return false;
    }
    client->peak_open = 0;
    return true;
}

/* Sends all requests of the plan and returns when each has ended or is past
 * its deadline.  SIGINT or SIGTERM only stops new requests.  Returns false if
 * the run can't start.  options must outlive client.  Call load_client_finish
 * in both cases. */
bool
load_client_run(struct load_client *client, const struct load_options *options,
                struct base_error *err)
{
    struct arrivals arrivals = {.client = client};

    memset(client, 0, sizeof(*client));
    client->options = options;
    client->calls = g_ptr_array_new();
    client->records = g_array_new(FALSE, FALSE, sizeof(struct load_record));
    client->gaps = g_array_new(FALSE, FALSE, sizeof(float));
    load_plan_init(&client->plan, &options->settings);
    if (!create_lws_context(client, err)) {
        return false;
    }
    signal(SIGINT, on_interrupt);
    signal(SIGTERM, on_interrupt);
    client->has_next = load_plan_next(&client->plan, &client->next);
    client->start_us = base_clock_us();
    lws_sul_schedule(client->lws, 0, &arrivals.timer, on_due, 1);
    while (client->open > 0 || (client->has_next && !is_interrupted)) {
        lws_service(client->lws, 0);
    }
    lws_sul_cancel(&arrivals.timer);
    return true;
}

/* Frees the run and its records. */
void
load_client_finish(struct load_client *client)
{
    if (client->lws != NULL) {
        lws_context_destroy(client->lws);
    }
    load_plan_finish(&client->plan);
    g_ptr_array_free(client->calls, TRUE);
    g_array_free(client->records, TRUE);
    g_array_free(client->gaps, TRUE);
}
