#include "wire/wire_private.h"

#include <string.h>
#include <zmq.h>

enum {
    PROBES_PER_SILENCE = 3, /* probes within one silence limit */
    MAX_SENDS = 2,          /* times that an idempotent request is sent */
};

/* Formats the ZeroMQ address of a peer.  zmq_disconnect needs exactly the text
 * that was passed to zmq_connect. */
static void
format_target(const struct wire_endpoint *endpoint,
              const struct wire_peer *peer, char *out, size_t size)
{
    if (endpoint->source != NULL) {
        snprintf(out, size, "tcp://%s:0;%s", endpoint->source, peer->address);
        return;
    }
    snprintf(out, size, "tcp://%s", peer->address);
}

static void
connect_peer(struct wire_endpoint *endpoint, struct wire_peer *peer,
             int64_t now_ms)
{
    char target[2 * WIRE_ADDRESS_SIZE + 8];

    base_counter_add(endpoint->connections, 1);
    peer->route = ++endpoint->next_route;
    peer->is_established = false;
    peer->has_received = false;
    peer->opened_at_ms = now_ms;
    peer->last_received_ms = 0;
    peer->last_probe_ms = now_ms;
    g_hash_table_insert(endpoint->by_route, &peer->route, peer);
    format_target(endpoint, peer, target, sizeof(target));
    /* ZeroMQ copies the socket's options into each new connection. */
    zmq_setsockopt(endpoint->outbound, ZMQ_CONNECT_ROUTING_ID, &peer->route,
                   sizeof(peer->route));
    if (endpoint->keys != NULL) {
        wire_keys_set_client(endpoint->keys, endpoint->outbound, peer->address,
                             peer->key_index);
    }
    if (zmq_connect(endpoint->outbound, target) != 0) {
        base_log(BASE_LOG_WARNING, "wire.connect_refused",
                 "address=%s error=\"%s\"", peer->address,
                 zmq_strerror(zmq_errno()));
    }
}

static void
disconnect_peer(struct wire_endpoint *endpoint, struct wire_peer *peer)
{
    char target[2 * WIRE_ADDRESS_SIZE + 8];

    format_target(endpoint, peer, target, sizeof(target));
    zmq_disconnect(endpoint->outbound, target);
    g_hash_table_remove(endpoint->by_route, &peer->route);
}

/* Returns the connection to a peer and opens it if there is none. */
struct wire_peer *
wire_peer_open(struct wire_endpoint *endpoint, const char *address)
{
    struct wire_peer *peer = g_hash_table_lookup(endpoint->peers, address);
    int64_t now_ms = base_clock_ms();

    if (peer == NULL) {
        peer = g_new0(struct wire_peer, 1);
        g_strlcpy(peer->address, address, sizeof(peer->address));
        peer->queued = g_array_new(FALSE, FALSE, sizeof(struct wire_queued));
        g_array_set_clear_func(peer->queued, wire_queued_clear);
        g_hash_table_insert(endpoint->peers, peer->address, peer);
        connect_peer(endpoint, peer, now_ms);
    }
    peer->last_used_ms = now_ms;
    return peer;
}

/* Frees a peer; a GDestroyNotify. */
void
wire_peer_free(gpointer data)
{
    struct wire_peer *peer = data;
    g_array_free(peer->queued, TRUE);
    g_free(peer);
}

/* Queues a message for the next flush. */
void
wire_peer_queue(struct wire_peer *peer, uint32_t kind, uint64_t request,
                const void *body, size_t size)
{
    struct wire_queued queued = {kind, request, false,
                                 g_bytes_new(body, size)};
    g_array_append_val(peer->queued, queued);
}

/* Sends the queued messages.  Returns false if ZeroMQ's queue for the peer is
 * full; the messages are dropped then, and requests among them are resent or
 * fail when the connection reaches its silence limit. */
bool
wire_peer_flush(struct wire_endpoint *endpoint, struct wire_peer *peer)
{
    bool is_sent;

    peer->flush_due_ms = 0;
    if (peer->queued->len == 0) {
        return true;
    }
    is_sent = wire_packet_send(
        endpoint, endpoint->outbound, &peer->route, sizeof(peer->route),
        (const struct wire_queued *)(void *)peer->queued->data,
        peer->queued->len);
    g_array_set_size(peer->queued, 0);
    return is_sent;
}

/* Notes that a packet was received on the peer's connection. */
void
wire_peer_mark_alive(struct wire_peer *peer, int64_t now_ms)
{
    peer->last_received_ms = now_ms;
    peer->has_received = true;
}

static GPtrArray *
find_pending(struct wire_endpoint *endpoint, const struct wire_peer *peer)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoint->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct wire_pending *pending = value;
        if (strcmp(pending->address, peer->address) == 0) {
            g_ptr_array_add(found, pending);
        }
    }
    return found;
}

static void
resend_or_fail(struct wire_endpoint *endpoint, struct wire_peer *peer)
{
    GPtrArray *waiting = find_pending(endpoint, peer);
    GArray *failed = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < waiting->len; i++) {
        struct wire_pending *pending = g_ptr_array_index(waiting, i);
        if (!pending->is_idempotent || pending->n_sent >= MAX_SENDS) {
            g_array_append_val(failed, pending->id);
            continue;
        }
        gsize size;
        const void *body = g_bytes_get_data(pending->body, &size);
        pending->n_sent++;
        wire_peer_queue(peer, pending->kind, pending->id, body, size);
    }
    wire_peer_flush(endpoint, peer);
    /* Looked up by number, since a callback may cancel other requests. */
    for (guint i = 0; i < failed->len; i++) {
        struct wire_pending *pending = g_hash_table_lookup(
            endpoint->requests, &g_array_index(failed, uint64_t, i));
        if (pending != NULL) {
            wire_pending_fail(endpoint, pending, BASE_UNAVAILABLE);
        }
    }
    g_array_free(failed, TRUE);
    g_ptr_array_free(waiting, TRUE);
}

/* Replaces the peer's connection by a new one.  Idempotent requests are sent
 * once more.  The others fail, since they may have run.  If nothing was ever
 * received on the old connection, its key may be wrong, so the next
 * candidate key is tried. */
void
wire_peer_reopen(struct wire_endpoint *endpoint, struct wire_peer *peer,
                 int64_t now_ms)
{
    base_counter_add(endpoint->reopened, 1);
    if (!peer->has_received) {
        peer->key_index++;
    }
    disconnect_peer(endpoint, peer);
    connect_peer(endpoint, peer, now_ms);
    peer->waiting_since_ms = now_ms;
    if (endpoint->desc.reopened != NULL) {
        endpoint->desc.reopened(endpoint->desc.context, peer->address);
    }
    resend_or_fail(endpoint, peer);
}

/* Notes that a connection was closed or reset by the peer, for instance when
 * its process starts again.  ZeroMQ connects anew by itself, so that probes
 * are answered, but what was sent on the old connection may be lost.  A
 * connection that never worked is left to its connect_ms: it may need another
 * key. */
void
wire_peer_disconnected(struct wire_endpoint *endpoint, struct wire_peer *peer,
                       int64_t now_ms)
{
    if (!peer->is_established) {
        return;
    }
    if (peer->n_pending > 0) {
        wire_peer_reopen(endpoint, peer, now_ms);
    }
    else if (endpoint->desc.reopened != NULL) {
        endpoint->desc.reopened(endpoint->desc.context, peer->address);
    }
}

static void
probe(struct wire_endpoint *endpoint, struct wire_peer *peer, int64_t now_ms)
{
    peer->last_probe_ms = now_ms;
    wire_peer_queue(peer, WIRE_PING, 0, NULL, 0);
    wire_peer_flush(endpoint, peer);
}

static void
check_silence(struct wire_endpoint *endpoint, struct wire_peer *peer,
              int64_t now_ms)
{
    int64_t silent_since_ms =
        MAX(peer->last_received_ms, peer->waiting_since_ms);
    int64_t limit_ms = peer->has_received ? endpoint->desc.silence_ms
                                          : endpoint->desc.connect_ms;

    silent_since_ms = MAX(silent_since_ms, peer->opened_at_ms);
    if (now_ms - silent_since_ms >= limit_ms) {
        wire_peer_reopen(endpoint, peer, now_ms);
        return;
    }
    if (now_ms - MAX(silent_since_ms, peer->last_probe_ms) >=
        limit_ms / PROBES_PER_SILENCE) {
        probe(endpoint, peer, now_ms);
    }
}

static bool
is_idle(const struct wire_endpoint *endpoint, const struct wire_peer *peer,
        int64_t now_ms)
{
    return peer->n_pending == 0 && peer->queued->len == 0 &&
           now_ms - peer->last_used_ms >= endpoint->desc.idle_ms;
}

static void
tick_peer(struct wire_endpoint *endpoint, struct wire_peer *peer,
          int64_t now_ms)
{
    if (peer->flush_due_ms != 0 && now_ms >= peer->flush_due_ms) {
        wire_peer_flush(endpoint, peer);
    }
    if (peer->flush_due_ms != 0 &&
        (endpoint->next_flush_ms == 0 ||
         peer->flush_due_ms < endpoint->next_flush_ms)) {
        endpoint->next_flush_ms = peer->flush_due_ms;
    }
    if (peer->n_pending > 0) {
        check_silence(endpoint, peer, now_ms);
    }
    else if (is_idle(endpoint, peer, now_ms)) {
        disconnect_peer(endpoint, peer);
        g_hash_table_remove(endpoint->peers, peer->address);
    }
}

/* Maintains all connections: flushes queues that are due, sends probes,
 * replaces silent connections and closes idle ones. */
void
wire_peers_tick(struct wire_endpoint *endpoint, int64_t now_ms)
{
    GList *addresses = g_hash_table_get_keys(endpoint->peers);

    /* Callbacks may open peers, but only this loop removes them, so each
     * lookup succeeds. */
    for (GList *at = addresses; at != NULL; at = at->next) {
        struct wire_peer *peer =
            g_hash_table_lookup(endpoint->peers, at->data);
        tick_peer(endpoint, peer, now_ms);
    }
    g_list_free(addresses);
}

/* Replaces all connections, after a change of keys.  has_received is set so
 * that wire_peer_reopen begins again with the first candidate key. */
void
wire_peers_reopen_all(struct wire_endpoint *endpoint, int64_t now_ms)
{
    GList *peers = g_hash_table_get_values(endpoint->peers);

    for (GList *at = peers; at != NULL; at = at->next) {
        struct wire_peer *peer = at->data;
        peer->key_index = 0;
        peer->has_received = true;
        wire_peer_reopen(endpoint, peer, now_ms);
    }
    g_list_free(peers);
}
