#include <string.h>

#include "platform/internal.h"

enum {
    /* How long the service may delay its response to a long poll.  A longer
     * time means fewer calls, but a broken connection is noticed later. */
    LONG_POLL_MS = 4000,
    BUSY_LONG_POLL_MS = 2000,  /* for a prefix that changes often */
    RESPONSE_MARGIN_MS = 1000, /* added to the delay in the call's time-out */
    LIST_TIMEOUT_MS = 1500,    /* time limit for one page of a list */
    MIN_OUTAGE_MS = 500,       /* shorter outages send no is_regained event */
};

/* A watch by long polling: one listing, then repeated polls for the changes
 * after the last known revision.  A failed poll is repeated from the same
 * revision.  The prefix is listed again only if the service has discarded the
 * history from that revision on. */
struct platform_poll {
    struct platform *platform;
    struct platform_watch_desc desc;
    struct platform_queued_call queued_call;
    lws_sorted_usec_list_t timer;
    struct platform_http_call *http; /* NULL: no call is open */
    const char *endpoint;
    struct platform_kv *list; /* the listing under way; NULL: none */
    int64_t revision;         /* last known revision; 0: none */
    int64_t sent_ms;
    int64_t timeout_ms;       /* of the last call */
    int64_t last_response_ms; /* time of the last usable response */
    int64_t failing_since_ms; /* start of the outage; 0: none */
    int failures;
    bool is_busy; /* the last poll returned changes */
};

static void
send_event(const struct platform_poll *poll, struct platform_event *event)
{
    platform_event_send(event, poll->desc.to);
}

static struct platform_event *
new_event(const struct platform_poll *poll)
{
    return platform_event_new(poll->desc.happened, poll->desc.context);
}

static void
on_poll_timer(lws_sorted_usec_list_t *timer)
{
    struct platform_poll *poll =
        lws_container_of(timer, struct platform_poll, timer);

    platform_queue_call(poll->platform, &poll->queued_call);
}

static void
schedule_call(struct platform_poll *poll, int64_t wait_ms)
{
    platform_start_timer(poll->platform, &poll->timer, on_poll_timer,
                         MAX(wait_ms, 0));
}

/* Schedules the next poll at least min_poll_ms after the last one, so that a
 * response can bring several changes. */
static void
schedule_next_poll(struct platform_poll *poll)
{
    schedule_call(poll, poll->sent_ms + poll->platform->min_poll_ms -
                            base_clock_ms());
}

static void
record_success(struct platform_poll *poll)
{
    int64_t now_ms = base_clock_ms();
    int64_t outage_ms =
        poll->failing_since_ms > 0 ? now_ms - poll->failing_since_ms : 0;
    struct platform_event *event;

    platform_call_succeeded(poll->platform);
    poll->failures = 0;
    poll->failing_since_ms = 0;
    poll->last_response_ms = now_ms;
    if (outage_ms < MIN_OUTAGE_MS) {
        return;
    }
    base_log(BASE_LOG_NOTICE, "kv.regained",
             "prefix=%s outage_ms=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT,
             poll->desc.prefix, outage_ms, poll->revision);
    event = new_event(poll);
    event->is_regained = true;
    event->outage_ms = outage_ms;
    send_event(poll, event);
}

static void
record_failure(struct platform_poll *poll, int status)
{
    if (poll->failing_since_ms == 0) {
        int64_t now_ms = base_clock_ms();
        /* The connection of a call that timed out may have been silent all the
         * while; one that was ended or refused worked until then. */
        poll->failing_since_ms = now_ms - poll->sent_ms >= poll->timeout_ms
                                     ? poll->sent_ms
                                     : now_ms;
        base_log(BASE_LOG_NOTICE, "kv.lost",
                 "prefix=%s endpoint=%s status=%d revision=%" G_GINT64_FORMAT,
                 poll->desc.prefix, poll->endpoint, status, poll->revision);
    }
    platform_count(poll->platform, "kv_watch_reopened_total", 1);
    platform_endpoint_failed(poll->platform, poll->endpoint);
    schedule_call(poll, platform_backoff_ms(poll->failures));
    poll->failures++;
}

static void
start_listing(struct platform_poll *poll)
{
    platform_kv_free(poll->list);
    poll->list = platform_kv_new(PLATFORM_LIST, poll->desc.prefix);
    poll->revision = 0;
}

static void
finish_listing(struct platform_poll *poll)
{
    struct platform_event *event = new_event(poll);

    event->is_reset = true;
    event->listing = g_steal_pointer(&poll->list->entries);
    poll->list->entries = g_ptr_array_new();
    poll->revision = poll->list->revision;
    event->listing_revision = poll->revision;
    platform_kv_free(poll->list);
    poll->list = NULL;
    record_success(poll);
    send_event(poll, event);
    schedule_next_poll(poll);
}

static void
on_listing_page(struct platform_poll *poll,
                const struct platform_http_result *result)
{
    enum platform_decoded decoded = PLATFORM_DECODE_BAD;
    int64_t first_revision = poll->list->revision;

    if (result->is_complete) {
        decoded = poll->platform->dialect->decode(
            poll->list, false, result->status, result->body, result->size);
    }
    /* The pages of a listing may differ in revision.  Polling starts from the
     * first page's revision, so that it returns the changes made between the
     * pages. */
    if (first_revision > 0) {
        poll->list->revision = first_revision;
    }
    if (decoded == PLATFORM_DECODE_MORE) {
        schedule_call(poll, 0);
    }
    else if (decoded == PLATFORM_DECODED &&
             poll->list->status == PLATFORM_OK) {
        finish_listing(poll);
    }
    else {
        start_listing(poll);
        record_failure(poll, result->status);
    }
}

static void
send_changes(struct platform_poll *poll, GPtrArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        struct platform_change *change = changes->pdata[i];
        struct platform_event *event = new_event(poll);
        event->is_delete = change->is_delete;
        event->entry = change->entry;
        memset(&change->entry, 0, sizeof(change->entry));
        send_event(poll, event);
    }
}

static void
on_poll_result(struct platform_poll *poll,
               const struct platform_http_result *result)
{
    struct platform_changes changes = {0};
    enum platform_poll_status polled = PLATFORM_POLL_BAD;

    if (result->is_complete) {
        polled = poll->platform->dialect->decode_poll(
            result->status, result->body, result->size, &changes);
    }
    switch (polled) {
    case PLATFORM_POLL_OK:
        poll->is_busy = changes.events->len > 0;
        poll->revision = MAX(poll->revision, changes.revision);
        record_success(poll);
        send_changes(poll, changes.events);
        g_ptr_array_free(changes.events, TRUE);
        schedule_next_poll(poll);
        return;
    case PLATFORM_POLL_COMPACTED:
        base_log(BASE_LOG_NOTICE, "kv.history_lost",
                 "prefix=%s revision=%" G_GINT64_FORMAT, poll->desc.prefix,
                 poll->revision);
        start_listing(poll);
        schedule_call(poll, 0);
        return;
    case PLATFORM_POLL_BAD:
        record_failure(poll, result->status);
        return;
    }
}

static void
on_call_done(void *context, const struct platform_http_result *result)
{
    struct platform_poll *poll = context;

    poll->http = NULL;
    if (poll->list != NULL) {
        on_listing_page(poll, result);
    }
    else {
        on_poll_result(poll, result);
    }
}

static void
send_call(struct platform_queued_call *queued_call)
{
    static const struct platform_http_ops OPS = {.done = on_call_done};
    struct platform_poll *poll =
        lws_container_of(queued_call, struct platform_poll, queued_call);
    struct platform *platform = poll->platform;
    int64_t wait_ms = poll->is_busy ? BUSY_LONG_POLL_MS : LONG_POLL_MS;
    struct platform_encoded_request encoded = {0};

    if (poll->list != NULL) {
        platform->dialect->encode(poll->list, &encoded);
        platform_count_call(platform, PLATFORM_LIST);
    }
    else {
        platform->dialect->encode_poll(poll->desc.prefix, poll->revision,
                                       wait_ms, &encoded);
        platform_count_call(platform, PLATFORM_CALL_POLL);
    }
    poll->sent_ms = base_clock_ms();
    poll->timeout_ms =
        poll->list != NULL ? LIST_TIMEOUT_MS : wait_ms + RESPONSE_MARGIN_MS;
    poll->endpoint = platform_endpoint(platform);
    poll->http = platform_http_send(
        &platform->http,
        &(struct platform_http_request){.ops = &OPS,
                                        .context = poll,
                                        .address = poll->endpoint,
                                        .method = encoded.method,
                                        .path = encoded.path,
                                        .body = encoded.body,
                                        .timeout_ms = poll->timeout_ms});
    g_free(encoded.path);
}

static void
free_poll(struct platform_poll *poll)
{
    struct platform *platform = poll->platform;

    if (poll->http != NULL) {
        platform_http_cancel(poll->http);
    }
    platform_unqueue_call(platform, &poll->queued_call);
    lws_sul_cancel(&poll->timer);
    platform_kv_free(poll->list);
    g_hash_table_remove(platform->polls, &poll->desc.id);
    g_free(poll->desc.prefix);
    g_free(poll);
}

/* Starts a watch by long polling. */
void
platform_poll_start(struct platform *platform,
                    const struct platform_watch_desc *desc)
{
    struct platform_poll *poll = g_new0(struct platform_poll, 1);

    poll->platform = platform;
    poll->desc = *desc;
    platform_queued_call_init(&poll->queued_call, send_call, false);
    poll->queued_call.is_poll = true;
    g_hash_table_insert(platform->polls, &poll->desc.id, poll);
    start_listing(poll);
    if (platform_endpoint(platform) != NULL) {
        schedule_call(poll, 0);
    }
}

/* Stops a watch by long polling; returns false if there is none with this
 * id. */
bool
platform_poll_stop(struct platform *platform, uint64_t id)
{
    struct platform_poll *poll = g_hash_table_lookup(platform->polls, &id);

    if (poll == NULL) {
        return false;
    }
    free_poll(poll);
    return true;
}

/* Drops every watch by long polling when the task ends. */
void
platform_polls_drop(struct platform *platform)
{
    GHashTableIter iter;
    gpointer value;

    while (g_hash_table_iter_init(&iter, platform->polls),
           g_hash_table_iter_next(&iter, NULL, &value)) {
        free_poll(value);
    }
}
