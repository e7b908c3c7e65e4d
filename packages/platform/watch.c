#include <string.h>

#include "platform/codec.h"
#include "platform/internal.h"

/* A watch by streams.  When a stream ends, another one replaces it. */
struct platform_watcher {
    struct platform *platform;
    uint64_t id;
    char *prefix;
    struct base_task *to;
    void *context;
    void (*happened)(struct platform_event *event, void *task_state);
    struct platform_queued_call queued_call;
    lws_sorted_usec_list_t backoff;
    struct platform_http_call *http; /* NULL: no stream is open */
    const char *endpoint;
    GString *partial_line; /* received start of a line */
    int failures;          /* in a row */
    bool is_created;
};

static void
update_stream_gauge(struct platform *platform)
{
    GHashTableIter iter;
    gpointer value;
    int64_t waiting = 0;

    if (platform->counters == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, platform->watches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        waiting += ((struct platform_watcher *)value)->http != NULL;
    }
    base_counter_set(base_gauge(platform->counters, "kv_waiting_watches"),
                     waiting);
}

/* ---- events ---- */

static void
event_serve(struct base_call *call, void *state)
{
    struct platform_event *event = (struct platform_event *)call;

    event->happened(event, state);
    base_call_reply(call);
}

static void
event_drop(struct base_call *call)
{
    struct platform_event *event = (struct platform_event *)call;

    platform_entry_finish(&event->entry);
    if (event->listing != NULL) {
        g_ptr_array_free(event->listing, TRUE);
    }
    g_free(event);
}

/* Makes an event; the caller fills it in and sends it. */
struct platform_event *
platform_event_new(void (*happened)(struct platform_event *event,
                                    void *task_state),
                   void *context)
{
    struct platform_event *event = g_new0(struct platform_event, 1);

    event->happened = happened;
    event->context = context;
    return event;
}

/* Sends an event to the task that receives the watch's events. */
void
platform_event_send(struct platform_event *event, struct base_task *to)
{
    static const struct base_call_ops OPS = {event_serve, NULL, event_drop};

    base_call_send(&event->call, &OPS, to, NULL);
}

static struct platform_event *
new_event(const struct platform_watcher *watcher)
{
    return platform_event_new(watcher->happened, watcher->context);
}

static void
send_event(const struct platform_watcher *watcher,
           struct platform_event *event)
{
    platform_event_send(event, watcher->to);
}

static void
send_changes(const struct platform_watcher *watcher, GPtrArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        struct platform_change *change = changes->pdata[i];
        struct platform_event *event = new_event(watcher);
        event->is_delete = change->is_delete;
        event->entry = change->entry;
        memset(&change->entry, 0, sizeof(change->entry));
        send_event(watcher, event);
    }
}

/* ---- streams ---- */

static void
on_reopen_timer(lws_sorted_usec_list_t *timer)
{
    struct platform_watcher *watcher =
        lws_container_of(timer, struct platform_watcher, backoff);

    platform_queue_call(watcher->platform, &watcher->queued_call);
}

/* Schedules a new stream after the last one ended, failed or timed out. */
static void
reopen(struct platform_watcher *watcher)
{
    struct platform *platform = watcher->platform;

    watcher->is_created = false;
    g_string_truncate(watcher->partial_line, 0);
    platform_count(platform, "kv_watch_reopened_total", 1);
    platform_endpoint_failed(platform, watcher->endpoint);
    platform_start_timer(platform, &watcher->backoff, on_reopen_timer,
                         platform_backoff_ms(watcher->failures));
    watcher->failures++;
    update_stream_gauge(platform);
}

static void
on_stream_done(void *context, const struct platform_http_result *result)
{
    struct platform_watcher *watcher = context;

    watcher->http = NULL;
    reopen(watcher);
}

/* Returns false if the stream must be replaced. */
static bool
process_line(struct platform_watcher *watcher, const char *text, size_t size)
{
    struct platform_watch_line line;

    if (!platform_decode_watch(text, size, &line)) {
        return false;
    }
    if (line.is_created && !watcher->is_created) {
        struct platform_event *event = new_event(watcher);
        event->is_reset = true;
        send_event(watcher, event);
        watcher->is_created = true;
        watcher->failures = 0;
    }
    send_changes(watcher, line.events);
    bool is_canceled = line.is_canceled;
    platform_watch_line_finish(&line);
    return !is_canceled;
}

static bool
process_lines(struct platform_watcher *watcher)
{
    const char *limit =
        watcher->partial_line->str + watcher->partial_line->len;
    char *start = watcher->partial_line->str;
    char *end;
    bool is_good = true;

    while (is_good &&
           (end = memchr(start, '\n', (size_t)(limit - start))) != NULL) {
        if (end > start) {
            is_good = process_line(watcher, start, (size_t)(end - start));
        }
        start = end + 1;
    }
    g_string_erase(watcher->partial_line, 0,
                   start - watcher->partial_line->str);
    return is_good && watcher->partial_line->len <=
                          watcher->platform->http.max_response_bytes;
}

static void
on_stream_data(void *context, const char *data, size_t size)
{
    struct platform_watcher *watcher = context;

    bool ends_line = memchr(data, '\n', size) != NULL;

    g_string_append_len(watcher->partial_line, data, (gssize)size);
    if (!ends_line && watcher->partial_line->len <=
                          watcher->platform->http.max_response_bytes) {
        return;
    }
    if (!process_lines(watcher)) {
        platform_http_cancel(watcher->http);
        watcher->http = NULL;
        reopen(watcher);
    }
}

static void
open_stream(struct platform_queued_call *queued_call)
{
    static const struct platform_http_ops OPS = {.done = on_stream_done,
                                                 .data = on_stream_data};
    struct platform_watcher *watcher =
        lws_container_of(queued_call, struct platform_watcher, queued_call);
    struct platform *platform = watcher->platform;

    platform_count(platform, "kv_calls_total{op=\"watch\"}", 1);
    watcher->endpoint = platform_endpoint(platform);
    watcher->http = platform_http_send(
        &platform->http, &(struct platform_http_request){
                             .ops = &OPS,
                             .context = watcher,
                             .address = watcher->endpoint,
                             .method = "POST",
                             .path = "/v3/watch",
                             .body = platform_encode_watch(watcher->prefix),
                             .timeout_ms = platform->silence_ms});
    update_stream_gauge(platform);
}

/* ---- starting and ending watches ---- */

static void
free_watcher(struct platform_watcher *watcher)
{
    struct platform *platform = watcher->platform;

    if (watcher->http != NULL) {
        platform_http_cancel(watcher->http);
    }
    platform_unqueue_call(platform, &watcher->queued_call);
    lws_sul_cancel(&watcher->backoff);
    g_hash_table_remove(platform->watches, &watcher->id);
    g_string_free(watcher->partial_line, TRUE);
    g_free(watcher->prefix);
    g_free(watcher);
    update_stream_gauge(platform);
}

/* Drops every watch by streams when the task ends. */
void
platform_watches_drop(struct platform *platform)
{
    GHashTableIter iter;
    gpointer value;

    while (g_hash_table_iter_init(&iter, platform->watches),
           g_hash_table_iter_next(&iter, NULL, &value)) {
        free_watcher(value);
    }
}

/* A message that starts or ends a watch. */
struct watch_request {
    struct base_call call;
    uint64_t id;
    char *prefix; /* NULL: end the watch */
    struct base_task *to;
    void *context;
    void (*happened)(struct platform_event *event, void *task_state);
};

static void
drop_request(struct base_call *call)
{
    struct watch_request *request = (struct watch_request *)call;

    g_free(request->prefix);
    g_free(request);
}

static void
begin_watch(struct platform *platform, struct watch_request *request)
{
    struct platform_watcher *watcher = g_new0(struct platform_watcher, 1);

    watcher->platform = platform;
    watcher->id = request->id;
    watcher->prefix = g_steal_pointer(&request->prefix);
    watcher->to = request->to;
    watcher->context = request->context;
    watcher->happened = request->happened;
    watcher->partial_line = g_string_new(NULL);
    platform_queued_call_init(&watcher->queued_call, open_stream, false);
    g_hash_table_insert(platform->watches, &watcher->id, watcher);
    if (platform_endpoint(platform) != NULL) {
        platform_queue_call(platform, &watcher->queued_call);
    }
}

static void
serve_request(struct base_call *call, void *state)
{
    struct platform *platform = state;
    struct watch_request *request = (struct watch_request *)call;
    struct platform_watcher *watcher =
        g_hash_table_lookup(platform->watches, &request->id);

    if (request->prefix != NULL && platform->dialect->encode_poll != NULL) {
        platform_poll_start(
            platform, &(struct platform_watch_desc){
                          request->id, g_steal_pointer(&request->prefix),
                          request->to, request->context, request->happened});
    }
    else if (request->prefix != NULL) {
        begin_watch(platform, request);
    }
    else if (platform_poll_stop(platform, request->id)) {
        platform_count(platform, "kv_watches_ended_total", 1);
    }
    else if (watcher != NULL) {
        free_watcher(watcher);
    }
    base_call_reply(call);
}

static const struct base_call_ops REQUEST_OPS = {serve_request, NULL,
                                                 drop_request};

/* Watches all keys with the prefix.  Each new stream first sends an is_reset
 * event, after which the receiver reads the prefix.  A stream without data for
 * the platform's silence_ms is replaced by one on a new connection.  May be
 * called on any thread; `to` must outlive the watch. */
uint64_t
platform_watch(struct platform *platform, const char *prefix,
               struct base_task *to, void *context,
               void (*happened)(struct platform_event *event,
                                void *task_state))
{
    struct watch_request *request = g_new0(struct watch_request, 1);
    uint64_t id =
        __atomic_add_fetch(&platform->last_watch, 1, __ATOMIC_RELAXED);

    request->id = id;
    request->prefix = g_strdup(prefix);
    request->to = to;
    request->context = context;
    request->happened = happened;
    base_call_send(&request->call, &REQUEST_OPS, &platform->task, NULL);
    return id;
}

/* Ends a watch; events that were already sent may still arrive.  May be called
 * on any thread. */
void
platform_unwatch(struct platform *platform, uint64_t watch)
{
    struct watch_request *request = g_new0(struct watch_request, 1);

    request->id = watch;
    base_call_send(&request->call, &REQUEST_OPS, &platform->task, NULL);
}
