#include "wire/wire_private.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

enum {
    DEFAULT_SILENCE_MS = 150,
    DEFAULT_CONNECT_MS = 400,
    DEFAULT_IDLE_MS = 60000,
    DEFAULT_MAX_QUEUED = 1000,
    DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024,
    MAX_OVERHEAD_BYTES = 64 * 1024, /* limit of protocol data per frame */
    BACKLOG = 512,                  /* passed to listen(2) */
    KEEPALIVE_IDLE_S = 300, /* closes accepted connections of lost hosts */
    /* Time between services while requests or delayed messages are pending. */
    TICK_MS = 5,
    IDLE_MS = 100,         /* time between services otherwise */
    REFUSAL_LOG_MS = 1000, /* least time between log lines of refusals */
    RECONNECT_MS = 50,
    RECONNECT_MAX_MS = 1000,
    MAX_PACKETS_PER_SERVICE = 256,
    MAX_DELAYED_MESSAGES = 256, /* per peer; more are sent at once */
};

static void
set_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void *
open_router(struct wire_endpoint *endpoint)
{
    void *socket = zmq_socket(endpoint->zmq, ZMQ_ROUTER);

    set_option(socket, ZMQ_LINGER, 0);
    set_option(socket, ZMQ_SNDHWM, endpoint->desc.max_queued);
    set_option(socket, ZMQ_RCVHWM, endpoint->desc.max_queued);
    set_option(socket, ZMQ_ROUTER_MANDATORY, 1);
    return socket;
}

/* Opens a socket that reports events of a socket. */
static void *
open_monitor(struct wire_endpoint *endpoint, void *socket, int events)
{
    void *monitor = zmq_socket(endpoint->zmq, ZMQ_PAIR);
    char target[64];

    snprintf(target, sizeof(target), "inproc://monitor-%p", socket);
    zmq_socket_monitor(socket, target, events);
    set_option(monitor, ZMQ_LINGER, 0);
    set_option(monitor, ZMQ_RCVHWM, 0); /* ZeroMQ's thread must not wait */
    zmq_connect(monitor, target);
    return monitor;
}

/* Watches for failed handshakes on `inbound`.  Each new inbound socket needs
 * its own monitor. */
static void
watch_handshakes(struct wire_endpoint *endpoint)
{
    if (endpoint->inbound_monitor != NULL) {
        zmq_close(endpoint->inbound_monitor);
    }
    endpoint->inbound_monitor =
        open_monitor(endpoint, endpoint->inbound,
                     ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                         ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL);
}

/* Counts connections whose handshake failed: the peer did not use CURVE, or
 * used another server key than ours.  Each event has two frames. */
static void
count_handshakes(struct wire_endpoint *endpoint)
{
    char event[64];

    while (zmq_recv(endpoint->inbound_monitor, event, sizeof(event),
                    ZMQ_DONTWAIT) >= 0) {
        zmq_recv(endpoint->inbound_monitor, event, sizeof(event),
                 ZMQ_DONTWAIT);
        base_counter_add(endpoint->refused_handshakes, 1);
    }
}

/* Opens the inbound socket with the current keys and binds its address.  If
 * it is open, it is closed first.  Fails with BASE_INVALID or
 * BASE_UNAVAILABLE. */
bool
wire_inbound_open(struct wire_endpoint *endpoint, struct base_error *err)
{
    int64_t max_bytes = endpoint->desc.max_body_bytes + MAX_OVERHEAD_BYTES;
    char target[WIRE_ADDRESS_SIZE + 8];
    size_t size = sizeof(target);

    if (endpoint->inbound != NULL) {
        zmq_close(endpoint->inbound);
    }
    endpoint->inbound = open_router(endpoint);
    set_option(endpoint->inbound, ZMQ_BACKLOG, BACKLOG);
    set_option(endpoint->inbound, ZMQ_TCP_KEEPALIVE, 1);
    set_option(endpoint->inbound, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
    zmq_setsockopt(endpoint->inbound, ZMQ_MAXMSGSIZE, &max_bytes,
                   sizeof(max_bytes));
    if (endpoint->keys != NULL &&
        !wire_keys_set_server(endpoint->keys, endpoint->inbound)) {
        base_error_set(err, BASE_INVALID,
                       "CURVE keys can't be set on the inbound socket");
        return false;
    }
    watch_handshakes(endpoint);
    if (endpoint->bound_address[0] == '\0') {
        return true; /* outgoing connections only */
    }
    snprintf(target, sizeof(target), "tcp://%s", endpoint->bound_address);
    if (zmq_bind(endpoint->inbound, target) != 0) {
        base_error_set(err, BASE_UNAVAILABLE, "bind to %s failed: %s", target,
                       zmq_strerror(zmq_errno()));
        return false;
    }
    zmq_getsockopt(endpoint->inbound, ZMQ_LAST_ENDPOINT, target, &size);
    g_strlcpy(endpoint->bound_address, target + strlen("tcp://"),
              sizeof(endpoint->bound_address));
    return true;
}

static void
fill_defaults(struct wire_endpoint_desc *desc)
{
    desc->silence_ms =
        desc->silence_ms ? desc->silence_ms : DEFAULT_SILENCE_MS;
    desc->connect_ms =
        desc->connect_ms ? desc->connect_ms : DEFAULT_CONNECT_MS;
    desc->idle_ms = desc->idle_ms ? desc->idle_ms : DEFAULT_IDLE_MS;
    desc->max_queued =
        desc->max_queued ? desc->max_queued : DEFAULT_MAX_QUEUED;
    desc->max_body_bytes =
        desc->max_body_bytes ? desc->max_body_bytes : DEFAULT_MAX_BODY_BYTES;
}

static bool
open_sockets(struct wire_endpoint *endpoint, struct base_error *err)
{
    endpoint->zmq = zmq_ctx_new();
    if (endpoint->desc.public_key_file != NULL) {
        endpoint->keys = wire_keys_open(&endpoint->desc, err);
        if (endpoint->keys == NULL) {
            return false;
        }
    }
    endpoint->zap = zmq_socket(endpoint->zmq, ZMQ_REP);
    set_option(endpoint->zap, ZMQ_LINGER, 0);
    if (zmq_bind(endpoint->zap, "inproc://zeromq.zap.01") != 0) {
        base_error_set(err, BASE_INTERNAL,
                       "bind of the ZAP handler failed: %s",
                       zmq_strerror(zmq_errno()));
        return false;
    }
    endpoint->outbound = open_router(endpoint);
    set_option(endpoint->outbound, ZMQ_RECONNECT_IVL, RECONNECT_MS);
    set_option(endpoint->outbound, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    endpoint->outbound_monitor =
        open_monitor(endpoint, endpoint->outbound,
                     ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED);
    return wire_inbound_open(endpoint, err);
}

/* Opens an endpoint and binds its address.  Fails with BASE_INVALID or
 * BASE_NOT_FOUND for unusable keys and with BASE_UNAVAILABLE if the address
 * can't be bound; the endpoint must not be finished then.  The key file paths
 * in desc must live as long as the endpoint. */
bool
wire_endpoint_init(struct wire_endpoint *endpoint,
                   const struct wire_endpoint_desc *desc,
                   struct base_error *err)
{
    memset(endpoint, 0, sizeof(*endpoint));
    endpoint->desc = *desc;
    fill_defaults(&endpoint->desc);
    endpoint->node = g_strdup(desc->node);
    endpoint->source = g_strdup(desc->source);
    g_strlcpy(endpoint->bound_address, desc->address ? desc->address : "",
              sizeof(endpoint->bound_address));
    endpoint->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, wire_peer_free);
    endpoint->by_route = g_hash_table_new(g_int64_hash, g_int64_equal);
    endpoint->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, wire_pending_free);
    endpoint->byte_counts = g_hash_table_new(g_direct_hash, g_direct_equal);
    endpoint->now_ms = base_clock_ms();
    /* Late answers to requests of an earlier process must not match. */
    endpoint->next_request = (uint64_t)base_wall_us() << 8;
    endpoint->refused_keys =
        base_counter(desc->counters, "wire_refused_total{reason=\"key\"}");
    endpoint->refused_handshakes = base_counter(
        desc->counters, "wire_refused_total{reason=\"handshake\"}");
    endpoint->refused_packets =
        base_counter(desc->counters, "wire_refused_total{reason=\"packet\"}");
    endpoint->dropped = base_counter(desc->counters, "wire_dropped_total");
    endpoint->reopened = base_counter(desc->counters, "wire_reopened_total");
    endpoint->connections =
        base_counter(desc->counters, "wire_connections_total");
    endpoint->packets_in =
        base_counter(desc->counters, "wire_packets_total{dir=\"in\"}");
    endpoint->packets_out =
        base_counter(desc->counters, "wire_packets_total{dir=\"out\"}");
    if (!open_sockets(endpoint, err)) {
        wire_endpoint_finish(endpoint);
        return false;
    }
    return true;
}

/* Closes the endpoint.  Pending requests are dropped without a call of
 * `answered`, and so are queued messages. */
void
wire_endpoint_finish(struct wire_endpoint *endpoint)
{
    void *sockets[] = {endpoint->inbound, endpoint->outbound, endpoint->zap,
                       endpoint->inbound_monitor, endpoint->outbound_monitor};

    for (size_t i = 0; i < G_N_ELEMENTS(sockets); i++) {
        if (sockets[i] != NULL) {
            zmq_close(sockets[i]);
        }
    }
    if (endpoint->zmq != NULL) {
        zmq_ctx_term(endpoint->zmq);
    }
    g_hash_table_destroy(endpoint->by_route);
    g_hash_table_destroy(endpoint->peers);
    g_hash_table_destroy(endpoint->requests);
    g_hash_table_destroy(endpoint->byte_counts);
    wire_keys_free(endpoint->keys);
    g_free(endpoint->node);
    g_free(endpoint->source);
    memset(endpoint, 0, sizeof(*endpoint));
}

/* Returns the "IP:port" that the endpoint is bound to, or "". */
const char *
wire_endpoint_address(const struct wire_endpoint *endpoint)
{
    return endpoint->bound_address;
}

/* Sends a one-way message at once, together with all messages queued for that
 * peer.  Returns false if they were dropped because ZeroMQ's queue for the
 * peer is full. */
bool
wire_send(struct wire_endpoint *endpoint, const char *address, uint32_t kind,
          const void *body, size_t size)
{
    struct wire_peer *peer = wire_peer_open(endpoint, address);
    wire_peer_queue(peer, kind, 0, body, size);
    return wire_peer_flush(endpoint, peer);
}

/* Queues a one-way message.  It is sent together with the next message to that
 * peer, after delay_ms at the latest.  Returns false if a full queue was
 * flushed and its messages were dropped. */
bool
wire_send_later(struct wire_endpoint *endpoint, const char *address,
                uint32_t kind, const void *body, size_t size, int64_t delay_ms)
{
    struct wire_peer *peer = wire_peer_open(endpoint, address);
    int64_t due_ms = base_clock_ms() + delay_ms;

    wire_peer_queue(peer, kind, 0, body, size);
    if (peer->flush_due_ms == 0 || due_ms < peer->flush_due_ms) {
        peer->flush_due_ms = due_ms;
    }
    if (endpoint->next_flush_ms == 0 || due_ms < endpoint->next_flush_ms) {
        endpoint->next_flush_ms = due_ms;
    }
    if (peer->queued->len >= MAX_DELAYED_MESSAGES) {
        return wire_peer_flush(endpoint, peer);
    }
    return true;
}

/* Answers a request, from within `received` or later.  The requester ignores
 * all answers but the first.  Returns false if the connection is closed or its
 * queue is full. */
bool
wire_reply(struct wire_endpoint *endpoint, const struct wire_return *to,
           uint32_t kind, const void *body, size_t size)
{
    struct wire_queued queued = {kind, to->request, true,
                                 g_bytes_new(body, size)};
    bool is_sent = wire_packet_send(endpoint, endpoint->inbound, to->route,
                                    to->route_size, &queued, 1);
    wire_queued_clear(&queued);
    return is_sent;
}

/* Handles a message that was received on a connection that the peer opened. */
static void
dispatch_message(struct wire_endpoint *endpoint, struct wire_packet *packet,
                 const Wire__Envelope *envelope, const void *body, size_t size)
{
    struct wire_message message = {.sender = packet->packet->sender,
                                   .kind = envelope->kind,
                                   .body = body,
                                   .size = size};

    message.from.request = envelope->request;
    message.from.route_size = (uint8_t)packet->route_size;
    memcpy(message.from.route, packet->route, packet->route_size);
    if (envelope->kind == WIRE_PING) {
        wire_reply(endpoint, &message.from, WIRE_PONG, NULL, 0);
    }
    if (envelope->kind < WIRE_FIRST_KIND || envelope->is_answer) {
        return;
    }
    endpoint->desc.received(endpoint->desc.context, &message);
}

/* Marks the connection on which an answer packet arrived as alive. */
static void
mark_sender_alive(struct wire_endpoint *endpoint,
                  const struct wire_packet *packet)
{
    uint64_t route;
    struct wire_peer *peer;

    if (packet->route_size != sizeof(route)) {
        return;
    }
    memcpy(&route, packet->route, sizeof(route));
    peer = g_hash_table_lookup(endpoint->by_route, &route);
    if (peer != NULL) {
        wire_peer_mark_alive(peer, endpoint->now_ms);
    }
}

static void
dispatch_packet(struct wire_endpoint *endpoint, struct wire_packet *packet,
                bool is_inbound)
{
    size_t next_frame = 0;

    wire_packet_count(endpoint, packet);
    if (!is_inbound) {
        mark_sender_alive(endpoint, packet);
    }
    for (size_t i = 0; i < packet->packet->n_messages; i++) {
        const Wire__Envelope *envelope = packet->packet->messages[i];
        const void *body;
        size_t size;
        if (!wire_packet_body(packet, &next_frame, envelope, &body, &size)) {
            return;
        }
        wire_count_bytes(endpoint, false, envelope->kind, size);
        if (is_inbound) {
            dispatch_message(endpoint, packet, envelope, body, size);
        }
        else {
            wire_receive_answer(endpoint, packet, envelope, body, size);
        }
    }
}

/* Handles the packets that a socket has received.  Returns true if it stopped
 * at the limit, so that more may be left. */
static bool
receive_all(struct wire_endpoint *endpoint, void *socket, bool is_inbound)
{
    for (int i = 0; i < MAX_PACKETS_PER_SERVICE; i++) {
        struct wire_packet packet;
        enum wire_receive received =
            wire_packet_receive(endpoint, socket, &packet);
        if (received == WIRE_NOTHING) {
            return false;
        }
        if (received == WIRE_RECEIVED) {
            dispatch_packet(endpoint, &packet, is_inbound);
            wire_packet_finish(&packet);
        }
    }
    return true;
}

/* Returns the peer that an event's second frame, the target of its connection,
 * names; NULL if there is none. */
static struct wire_peer *
receive_event_peer(struct wire_endpoint *endpoint)
{
    char target[2 * WIRE_ADDRESS_SIZE + 8];
    int size = zmq_recv(endpoint->outbound_monitor, target, sizeof(target) - 1,
                        ZMQ_DONTWAIT);
    const char *address;

    target[CLAMP(size, 0, (int)sizeof(target) - 1)] = '\0';
    /* With a source address: "tcp://SOURCE:0;ADDRESS". */
    address = strrchr(target, ';');
    address = address != NULL ? address : strrchr(target, '/');
    return address != NULL ? g_hash_table_lookup(endpoint->peers, address + 1)
                           : NULL;
}

/* Notes outgoing connections that are established or closed.  An event starts
 * with its number, in 16 bits. */
static void
receive_connection_events(struct wire_endpoint *endpoint)
{
    char event[16];

    while (zmq_recv(endpoint->outbound_monitor, event, sizeof(event),
                    ZMQ_DONTWAIT) >= (int)sizeof(uint16_t)) {
        struct wire_peer *peer = receive_event_peer(endpoint);
        uint16_t number;
        memcpy(&number, event, sizeof(number));
        if (peer == NULL) {
            continue;
        }
        if (number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED) {
            peer->is_established = true;
            continue;
        }
        /* Answers that the peer sent before it closed. */
        receive_all(endpoint, endpoint->outbound, false);
        wire_peer_disconnected(endpoint, peer, endpoint->now_ms);
    }
}

/* Opens the inbound socket again.  The closed socket may still occupy the
 * address for a moment, so a failed bind is repeated on each tick. */
static void
reopen_inbound(struct wire_endpoint *endpoint)
{
    struct base_error err = {0};

    endpoint->is_unbound = !wire_inbound_open(endpoint, &err);
    if (endpoint->is_unbound &&
        endpoint->now_ms >= endpoint->next_refusal_log_ms) {
        endpoint->next_refusal_log_ms = endpoint->now_ms + REFUSAL_LOG_MS;
        base_log_error("wire.bind_failed", &err, "address=%s",
                       endpoint->bound_address);
    }
}

/* Retries a failed bind and applies a change of the key files.  The inbound
 * socket and all outgoing connections are reopened if connections with old
 * keys must end. */
static void
poll_keys(struct wire_endpoint *endpoint)
{
    if (endpoint->is_unbound) {
        reopen_inbound(endpoint);
    }
    if (endpoint->keys == NULL ||
        wire_keys_poll(endpoint->keys, endpoint->now_ms) !=
            WIRE_KEYS_CHANGED) {
        return;
    }
    base_log(BASE_LOG_NOTICE, "wire.keys_changed", "address=%s",
             endpoint->bound_address);
    endpoint->next_refusal_log_ms = endpoint->now_ms + REFUSAL_LOG_MS;
    reopen_inbound(endpoint);
    wire_peers_reopen_all(endpoint, endpoint->now_ms);
}

static void
tick(struct wire_endpoint *endpoint)
{
    endpoint->next_tick_ms = endpoint->now_ms + TICK_MS;
    wire_requests_tick(endpoint);
    if (endpoint->now_ms >= endpoint->next_flush_ms) {
        endpoint->next_flush_ms = 0;
    }
    wire_peers_tick(endpoint, endpoint->now_ms);
    poll_keys(endpoint);
}

/* Handles received packets and expired timers.  Call it whenever one of the
 * descriptors of wire_endpoint_fds is readable, after each batch of sends, and
 * within the returned number of milliseconds. */
int
wire_endpoint_service(struct wire_endpoint *endpoint, int64_t now_ms)
{
    bool has_more;

    endpoint->now_ms = now_ms;
    if (endpoint->keys != NULL) {
        wire_keys_serve_zap(endpoint);
    }
    count_handshakes(endpoint);
    has_more = receive_all(endpoint, endpoint->inbound, true);
    has_more |= receive_all(endpoint, endpoint->outbound, false);
    receive_connection_events(endpoint);
    if (now_ms >= endpoint->next_tick_ms) {
        tick(endpoint);
    }
    if (has_more) {
        return 0;
    }
    if (g_hash_table_size(endpoint->requests) > 0 ||
        endpoint->next_flush_ms != 0) {
        return TICK_MS;
    }
    return IDLE_MS;
}

/* Waits up to timeout_ms for a packet, an authentication request, a failed
 * handshake, a closed connection or data on wake_fd (-1: none). */
void
wire_endpoint_wait(struct wire_endpoint *endpoint, int wake_fd,
                   int64_t timeout_ms)
{
    zmq_pollitem_t items[] = {
        {endpoint->inbound, 0, ZMQ_POLLIN, 0},
        {endpoint->outbound, 0, ZMQ_POLLIN, 0},
        {endpoint->zap, 0, ZMQ_POLLIN, 0},
        {endpoint->inbound_monitor, 0, ZMQ_POLLIN, 0},
        {endpoint->outbound_monitor, 0, ZMQ_POLLIN, 0},
        {NULL, wake_fd, ZMQ_POLLIN, 0},
    };
    int n_items = (int)G_N_ELEMENTS(items);

    zmq_poll(items, wake_fd >= 0 ? n_items : n_items - 1, timeout_ms);
}

/* Stores the descriptors that a caller with its own event loop polls for
 * reading, and returns their number.  They are edge-triggered: call
 * wire_endpoint_service after an event on any of them and after any send.  A
 * change of keys may replace them, so call this again after each service. */
int
wire_endpoint_fds(const struct wire_endpoint *endpoint, int fds[WIRE_FDS])
{
    void *sockets[WIRE_FDS] = {endpoint->inbound, endpoint->outbound,
                               endpoint->zap, endpoint->inbound_monitor,
                               endpoint->outbound_monitor};

    for (int i = 0; i < WIRE_FDS; i++) {
        size_t size = sizeof(fds[i]);
        zmq_getsockopt(sockets[i], ZMQ_FD, &fds[i], &size);
    }
    return WIRE_FDS;
}
