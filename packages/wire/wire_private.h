/*
 * Declarations shared by the sources of wire:
 *
 * endpoint.c   the endpoint: its sockets, receive loop and timers
 * peers.c      connections to peers: queues, probes, replacement
 * requests.c   pending requests: answers and timeouts
 * packet.c     encoding, decoding and counting of packets
 * keys.c       CURVE keys: loading, rotation, authentication of peers
 */
#ifndef CARDAMOM_WIRE_PRIVATE_H
#define CARDAMOM_WIRE_PRIVATE_H

#include "wire/wire.h"
#include "wire/packet.pb-c.h"

/* Kinds that wire itself uses to probe a connection. */
enum { WIRE_PING = 1, WIRE_PONG = 2 };

/* A message that is queued to be sent. */
struct wire_queued {
    uint32_t kind;
    uint64_t request;
    bool is_answer;
    GBytes *body;
};

/* The connection to a peer, and the messages queued for it. */
struct wire_peer {
    char address[WIRE_ADDRESS_SIZE];
    uint64_t route;      /* ZeroMQ routing id; a new one for each connection */
    bool is_established; /* the handshake of this connection succeeded */
    bool has_received;   /* a packet was received on this connection */
    int key_index;       /* index of the candidate key in use, see keys.c */
    int64_t opened_at_ms;
    int64_t last_received_ms; /* 0: nothing received on this connection */
    int64_t waiting_since_ms; /* start of the wait for answers, or the last
                                 reopen if later */
    int64_t last_probe_ms;
    int64_t last_used_ms;
    int n_pending;        /* requests without an answer */
    GArray *queued;       /* of struct wire_queued */
    int64_t flush_due_ms; /* latest time to send the queue; 0: none is set */
};

/* A request without an answer. */
struct wire_pending {
    uint64_t id;
    char address[WIRE_ADDRESS_SIZE];
    uint32_t kind;
    GBytes *body;
    int64_t deadline_ms;
    bool is_idempotent;
    int n_sent;
    void (*answered)(void *context, const struct wire_answer *answer);
    void *context;
};

/* ---- packet.c ---- */

void wire_queued_clear(gpointer data);
bool wire_packet_send(struct wire_endpoint *endpoint, void *socket,
                      const void *route, size_t route_size,
                      const struct wire_queued *queued, guint n_queued);

/* A received packet.  It owns its frames until wire_packet_finish. */
struct wire_packet {
    uint8_t route[WIRE_ROUTE_SIZE];
    size_t route_size;
    Wire__Packet *packet;
    GPtrArray *frames; /* of zmq_msg_t: route, packet, then bodies */
};

enum wire_receive { WIRE_NOTHING, WIRE_RECEIVED, WIRE_REFUSED };

enum wire_receive wire_packet_receive(struct wire_endpoint *endpoint,
                                      void *socket,
                                      struct wire_packet *packet);
bool wire_packet_body(const struct wire_packet *packet, size_t *next_frame,
                      const Wire__Envelope *envelope, const void **body,
                      size_t *size);
void wire_packet_finish(struct wire_packet *packet);
bool wire_packet_is_readable(const Wire__Packet *packet, size_t n_frames);
void wire_packet_count(struct wire_endpoint *endpoint,
                       const struct wire_packet *packet);
void wire_count_bytes(struct wire_endpoint *endpoint, bool is_out,
                      uint32_t kind, size_t size);

/* ---- peers.c ---- */

struct wire_peer *wire_peer_open(struct wire_endpoint *endpoint,
                                 const char *address);
void wire_peer_free(gpointer data);
void wire_peer_reopen(struct wire_endpoint *endpoint, struct wire_peer *peer,
                      int64_t now_ms);
void wire_peer_disconnected(struct wire_endpoint *endpoint,
                            struct wire_peer *peer, int64_t now_ms);
bool wire_peer_flush(struct wire_endpoint *endpoint, struct wire_peer *peer);
void wire_peer_queue(struct wire_peer *peer, uint32_t kind, uint64_t request,
                     const void *body, size_t size);
void wire_peer_mark_alive(struct wire_peer *peer, int64_t now_ms);
void wire_peers_tick(struct wire_endpoint *endpoint, int64_t now_ms);
void wire_peers_reopen_all(struct wire_endpoint *endpoint, int64_t now_ms);

/* ---- requests.c ---- */

void wire_pending_free(gpointer data);
void wire_pending_fail(struct wire_endpoint *endpoint,
                       struct wire_pending *pending, enum base_code code);
void wire_receive_answer(struct wire_endpoint *endpoint,
                         const struct wire_packet *packet,
                         const Wire__Envelope *envelope, const void *body,
                         size_t size);
void wire_requests_tick(struct wire_endpoint *endpoint);

/* ---- endpoint.c ---- */

bool wire_inbound_open(struct wire_endpoint *endpoint, struct base_error *err);

/* ---- keys.c ---- */

struct wire_keys *wire_keys_open(const struct wire_endpoint_desc *desc,
                                 struct base_error *err);
void wire_keys_free(struct wire_keys *keys);
bool wire_keys_set_server(const struct wire_keys *keys, void *socket);
bool wire_keys_set_client(const struct wire_keys *keys, void *socket,
                          const char *address, int key_index);

enum wire_keys_change {
    WIRE_KEYS_SAME,
    WIRE_KEYS_ADDED,   /* reloaded; connections in use stay valid */
    WIRE_KEYS_CHANGED, /* own pair changed, or a peer's key was removed */
};

enum wire_keys_change wire_keys_poll(struct wire_keys *keys, int64_t now_ms);
void wire_keys_serve_zap(struct wire_endpoint *endpoint);

#endif
