#include "front/front_private.h"

/* The memory of callers' bodies and of the results that wait for their
 * readers.  A large body is read only once there is memory for it, in the
 * order of arrival; until then its bytes stay with the caller.  Small ones
 * have a part of their own, so that they never wait for large ones, and are
 * refused at once when it is full. */
enum {
    DEFAULT_LIMIT_BYTES = 48 << 20,
    SMALL_BYTES = 65536,
    SMALL_SHARE = 4, /* small bodies have 1 / SMALL_SHARE of the limit */
    /* Copies of a body while its request is passed on: as received, and as it
     * is sent. */
    COPIES = 2,
    /* Of a job: the body, its parsed form, the items and the message to the
     * node that runs the job. */
    JOB_COPIES = 3,
    MAX_WAIT_MS = 2000, /* for memory; then the caller is to come again */
    /* A body that others wait for has to arrive within MAX_WAIT_MS and its
     * size at this rate. */
    BYTES_PER_MS = 1024,
    RETRY_AFTER_MS = 500,
};

static const struct front_fault NO_MEMORY = {503, BASE_NOT_RUN, "server_error",
                                             "no_memory_for_the_body", 0};

/* Prepares the budgets; limit in bytes, 0: 48 MiB. */
void
front_bodies_init(struct front_bodies *bodies, int64_t limit)
{
    int64_t bytes = limit > 0 ? limit : DEFAULT_LIMIT_BYTES;

    base_budget_init(&bodies->small, bytes / SMALL_SHARE);
    base_budget_init(&bodies->large, bytes - bytes / SMALL_SHARE);
    g_queue_init(&bodies->waiting);
}

static void
refuse(struct front_request *request)
{
    front_request_pause_body(request, false); /* the rest is dropped */
    front_add_retry_after(request, RETRY_AFTER_MS);
    front_fail(request, &NO_MEMORY,
               "there is no memory for a body of %" G_GINT64_FORMAT
               " bytes now",
               MAX(request->body_expected, request->body_received));
}

static int64_t
needed_bytes(const struct front_request *request, int64_t size)
{
    return size * (request->route->handler == &FRONT_JOB_SUBMIT ? JOB_COPIES
                                                                : COPIES);
}

static bool
take_large(struct front_request *request, int64_t bytes)
{
    if (!base_budget_take(&request->front->bodies.large, bytes)) {
        return false;
    }
    request->large_bytes += bytes;
    request->body_taken_ms = base_clock_ms();
    return true;
}

/* Takes memory for the body of a request whose head has arrived; the body may
 * have to wait.  Refuses the request if a small body finds none. */
void
front_body_begin(struct front_request *request)
{
    struct front_bodies *bodies = &request->front->bodies;
    int64_t bytes = needed_bytes(request, request->body_expected);

    if (request->body_expected <= SMALL_BYTES) {
        if (base_budget_take(&bodies->small, bytes)) {
            request->small_bytes += bytes;
        }
        else {
            refuse(request);
        }
        return;
    }
    if (bodies->waiting.length == 0 && take_large(request, bytes)) {
        return;
    }
    base_log(BASE_LOG_DEBUG, "front.body_waits",
             "id=%s bytes=%" G_GINT64_FORMAT " waiting=%u", request->id,
             request->body_expected, bodies->waiting.length);
    request->body_wait_ms = base_clock_ms();
    request->body_wait.data = request;
    g_queue_push_tail_link(&bodies->waiting, &request->body_wait);
    front_request_pause_body(request, true);
}

/* Takes memory for a body of unknown length as it grows.  Refuses the request
 * if there is none, and returns false. */
bool
front_body_grow(struct front_request *request)
{
    int64_t bytes = needed_bytes(request, request->body_received) -
                    request->small_bytes - request->large_bytes;

    if (bytes <= 0 || !request->is_chunked) {
        return true;
    }
    /* Doubled, so that a long body takes memory a few times only. */
    if (take_large(request, MAX(2 * bytes, SMALL_BYTES))) {
        return true;
    }
    refuse(request);
    request->closes_after = true;
    lws_callback_on_writable(request->wsi);
    return false;
}

/* Takes memory for a response that waits for its reader; returns whether there
 * was any.  Small ones don't compete with large bodies. */
bool
front_body_answer(struct front_request *request, int64_t size)
{
    if (size > SMALL_BYTES) {
        return take_large(request, size);
    }
    if (!base_budget_take(&request->front->bodies.small, size)) {
        return false;
    }
    request->small_bytes += size;
    return true;
}

static void
stop_waiting(struct front_request *request)
{
    if (request->body_wait_ms > 0) {
        request->body_wait_ms = 0;
        g_queue_unlink(&request->front->bodies.waiting, &request->body_wait);
    }
}

/* Lets waiting bodies be read for which there is memory. */
static void
resume_waiting(struct front *front)
{
    struct front_request *request;

    while (
        (request = g_queue_peek_head(&front->bodies.waiting)) != NULL &&
        take_large(request, needed_bytes(request, request->body_expected))) {
        stop_waiting(request);
        front_request_pause_body(request, false);
    }
}

/* Gives back the memory of a request that is freed. */
void
front_body_end(struct front_request *request)
{
    struct front *front = request->front;

    base_budget_give(&front->bodies.small, request->small_bytes);
    base_budget_give(&front->bodies.large, request->large_bytes);
    resume_waiting(front);
}

/* Removes a request that is closed from those that wait. */
void
front_body_closed(struct front_request *request)
{
    stop_waiting(request);
}

/* Refuses a request that has waited too long for memory, or whose body arrives
 * too slowly while others wait. */
void
front_body_tick(struct front_request *request, int64_t now_ms)
{
    const struct front_bodies *bodies = &request->front->bodies;
    bool has_waited = request->body_wait_ms > 0 &&
                      now_ms >= request->body_wait_ms + MAX_WAIT_MS;
    bool is_slow = request->large_bytes > 0 && !request->is_body_complete &&
                   bodies->waiting.length > 0 &&
                   now_ms - request->body_taken_ms >
                       MAX_WAIT_MS + request->body_expected / BYTES_PER_MS;

    if (request->status != 0 || (!has_waited && !is_slow)) {
        return;
    }
    stop_waiting(request);
    refuse(request);
    if (request->body != NULL) {
        g_string_free(request->body, TRUE);
        request->body = g_string_new(NULL);
    }
    base_budget_give(&request->front->bodies.large, request->large_bytes);
    request->large_bytes = 0;
    resume_waiting(request->front);
}
