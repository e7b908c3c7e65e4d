#include "wire/wire_private.h"

#include <string.h>

enum { DEFAULT_REQUEST_MS = 5000 };

/* Frees a pending request; a GDestroyNotify. */
void
wire_pending_free(gpointer data)
{
    struct wire_pending *pending = data;
    g_bytes_unref(pending->body);
    g_free(pending);
}

/* Sends a request.  `answered` is called exactly once, unless the request is
 * cancelled or the endpoint is finished.  Returns the request's number, which
 * is never 0. */
uint64_t
wire_request(struct wire_endpoint *endpoint,
             const struct wire_request_desc *desc)
{
    struct wire_peer *peer = wire_peer_open(endpoint, desc->address);
    struct wire_pending *pending = g_new0(struct wire_pending, 1);
    int64_t now_ms = base_clock_ms();
    int64_t timeout_ms =
        desc->timeout_ms > 0 ? desc->timeout_ms : DEFAULT_REQUEST_MS;

    pending->id = ++endpoint->next_request;
    g_strlcpy(pending->address, desc->address, sizeof(pending->address));
    pending->kind = desc->kind;
    pending->body = g_bytes_new(desc->body, desc->size);
    pending->deadline_ms = now_ms + timeout_ms;
    pending->is_idempotent = desc->is_idempotent;
    pending->n_sent = 1;
    pending->answered = desc->answered;
    pending->context = desc->context;
    g_hash_table_insert(endpoint->requests, &pending->id, pending);
    if (peer->n_pending++ == 0) {
        peer->waiting_since_ms = now_ms;
    }
    wire_peer_queue(peer, desc->kind, pending->id, desc->body, desc->size);
    wire_peer_flush(endpoint, peer);
    return pending->id;
}

static void
remove_request(struct wire_endpoint *endpoint, struct wire_pending *pending)
{
    struct wire_peer *peer =
        g_hash_table_lookup(endpoint->peers, pending->address);

    if (peer != NULL) {
        peer->n_pending--;
    }
    g_hash_table_steal(endpoint->requests, &pending->id);
}

/* Cancels a request; a later answer is ignored.  Returns false if the request
 * has already ended. */
bool
wire_cancel(struct wire_endpoint *endpoint, uint64_t request)
{
    struct wire_pending *pending =
        g_hash_table_lookup(endpoint->requests, &request);

    if (pending == NULL) {
        return false;
    }
    remove_request(endpoint, pending);
    wire_pending_free(pending);
    return true;
}

/* Ends a request without an answer, with `code`. */
void
wire_pending_fail(struct wire_endpoint *endpoint, struct wire_pending *pending,
                  enum base_code code)
{
    struct wire_answer answer = {
        .request = pending->id, .code = code, .verdict = BASE_MAY_HAVE_RUN};

    remove_request(endpoint, pending);
    pending->answered(pending->context, &answer);
    wire_pending_free(pending);
}

/* Calls back the request that a received answer belongs to. */
void
wire_receive_answer(struct wire_endpoint *endpoint,
                    const struct wire_packet *packet,
                    const Wire__Envelope *envelope, const void *body,
                    size_t size)
{
    uint64_t id = envelope->request;
    struct wire_pending *pending;
    struct wire_answer answer = {.request = id,
                                 .verdict = BASE_RAN,
                                 .sender = packet->packet->sender,
                                 .kind = envelope->kind,
                                 .body = body,
                                 .size = size};

    if (!envelope->is_answer || envelope->kind < WIRE_FIRST_KIND) {
        return;
    }
    pending = g_hash_table_lookup(endpoint->requests, &id);
    if (pending == NULL) {
        return; /* late answer: the request has ended */
    }
    remove_request(endpoint, pending);
    pending->answered(pending->context, &answer);
    wire_pending_free(pending);
}

/* Ends the requests whose deadline has passed. */
void
wire_requests_tick(struct wire_endpoint *endpoint)
{
    GList *ids = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoint->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct wire_pending *pending = value;
        if (endpoint->now_ms >= pending->deadline_ms) {
            ids = g_list_prepend(ids,
                                 g_memdup2(&pending->id, sizeof(pending->id)));
        }
    }
    /* Looked up by number, since a callback may cancel other requests. */
    for (GList *at = ids; at != NULL; at = at->next) {
        struct wire_pending *pending =
            g_hash_table_lookup(endpoint->requests, at->data);
        if (pending != NULL) {
            wire_pending_fail(endpoint, pending, BASE_TIMEOUT);
        }
    }
    g_list_free_full(ids, g_free);
}
