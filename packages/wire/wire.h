/*
 * wire: messages between nodes over ZeroMQ, encrypted with CURVE.  An endpoint
 * belongs to one task and must be used on that task's thread only.
 *
 *     struct wire_endpoint endpoint;
 *     wire_endpoint_init(&endpoint, &(struct wire_endpoint_desc){
 *         .node = "n1", .address = "127.0.0.1:7001", .counters = counters,
 *         .received = on_message, .context = self}, &err);
 *     while (!base_task_is_stopping(task)) {
 *         int wait_ms = wire_endpoint_service(&endpoint, base_clock_ms());
 *         wire_endpoint_wait(&endpoint, task->wake_fd, wait_ms);
 *         base_task_clear_wake_fd(task);
 *         base_task_drain(task);
 *     }
 *     wire_endpoint_finish(&endpoint);
 *
 * A message is a kind and a body of bytes that wire does not interpret.  Each
 * package that uses wire numbers its own kinds from WIRE_FIRST_KIND on.  A
 * message is either one-way (wire_send) or a request (wire_request), which the
 * receiver answers with wire_reply.
 *
 * Connections are opened on first use and closed when idle.  While a request
 * has no answer, its connection is probed.  A connection on which nothing is
 * received for silence_ms, or which the peer closes, is replaced by a new one;
 * idempotent requests are then sent once more, and the other requests fail.
 */
#ifndef CARDAMOM_WIRE_H
#define CARDAMOM_WIRE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    WIRE_VERSION = 1,
    WIRE_FIRST_KIND = 16, /* lower kinds are internal to wire */
    WIRE_ADDRESS_SIZE = 64,
    WIRE_KEY_SIZE = 41, /* a CURVE key in Z85 text */
    WIRE_ROUTE_SIZE = 16,
};

/* Where to send the answer to a request.  May be copied and used later. */
struct wire_return {
    uint64_t request;               /* request number, chosen by its sender */
    uint8_t route[WIRE_ROUTE_SIZE]; /* ZeroMQ routing id of the connection */
    uint8_t route_size;
};

/* A received message.  The pointers are valid only during the callback. */
struct wire_message {
    const char *sender; /* node name as the peer gives it; not verified */
    uint32_t kind;
    const void *body;
    size_t size;
    struct wire_return from; /* from.request is 0 for a one-way message */
};

/* The result of a request.  The pointers are valid only during the
 * callback. */
struct wire_answer {
    uint64_t request;
    enum base_code code; /* BASE_OK, BASE_TIMEOUT or BASE_UNAVAILABLE */
    enum base_verdict verdict;
    /* Only with BASE_OK: */
    const char *sender;
    uint32_t kind;
    const void *body;
    size_t size;
};

struct wire_request_desc {
    const char *address; /* "IP:port" */
    uint32_t kind;
    const void *body; /* copied */
    size_t size;
    int64_t timeout_ms; /* time limit for the answer; 0: 5,000 */
    bool is_idempotent; /* may be resent over a new connection */
    /* Runs once, on the endpoint's thread, inside wire_endpoint_service. */
    void (*answered)(void *context, const struct wire_answer *answer);
    void *context;
};

struct wire_endpoint_desc {
    const char *node;    /* this node's name */
    const char *address; /* "IP:port" to bind; port "*": any free port;
                            NULL: no bound socket, outgoing only */
    const char *source;  /* IP address to connect from; NULL: the system's
                           choice */
    const char *public_key_file; /* NULL: no CURVE, for tests only */
    const char *secret_key_file;
    const char *peer_keys_file;
    int64_t silence_ms; /* time without a packet, while a request is pending,
                           after which a connection is replaced; 0: 150 */
    int64_t connect_ms; /* the same limit before the first packet; 0: 400 */
    int64_t idle_ms;    /* unused connections are closed after it; 0: 60,000 */
    int max_queued;     /* limit of queued messages per peer; 0: 1,000 */
    int64_t max_body_bytes; /* largest size of a message body; 0: 4 MiB */
    struct base_counters *counters;
    const char *(*kind_name)(uint32_t kind); /* metric label; may be NULL */
    void (*received)(void *context, const struct wire_message *message);
    /* The connection to `address` has been lost or replaced; one-way messages
     * sent on the old one within the last seconds may be lost.  May be NULL.
     */
    void (*reopened)(void *context, const char *address);
    void *context;
};

/* The members are private; see packages/wire/wire_private.h. */
struct wire_endpoint {
    struct wire_endpoint_desc desc;
    char *node;
    char *source;
    char bound_address[WIRE_ADDRESS_SIZE]; /* "": outgoing only */
    void *zmq;
    void *inbound;
    void *outbound;
    void *zap;               /* socket of the ZAP (authentication) handler */
    void *inbound_monitor;   /* reports failed handshakes */
    void *outbound_monitor;  /* reports connections opened and closed */
    struct wire_keys *keys;  /* NULL: no CURVE */
    GHashTable *peers;       /* struct wire_peer by address */
    GHashTable *by_route;    /* struct wire_peer by routing id */
    GHashTable *requests;    /* struct wire_pending by request number */
    GHashTable *byte_counts; /* struct base_counter by kind, direction */
    uint64_t next_request;
    uint64_t next_route;
    int64_t now_ms;
    int64_t next_tick_ms;
    int64_t next_flush_ms; /* 0: no delayed message is queued */
    int64_t next_refusal_log_ms;
    bool is_unbound; /* the last attempt to rebind the address failed */
    struct base_counter *refused_keys;
    struct base_counter *refused_handshakes;
    struct base_counter *refused_packets;
    struct base_counter *dropped;
    struct base_counter *reopened;
    struct base_counter *connections;
    struct base_counter *packets_in;
    struct base_counter *packets_out;
};

bool wire_endpoint_init(struct wire_endpoint *endpoint,
                        const struct wire_endpoint_desc *desc,
                        struct base_error *err);
void wire_endpoint_finish(struct wire_endpoint *endpoint);
const char *wire_endpoint_address(const struct wire_endpoint *endpoint);

bool wire_send(struct wire_endpoint *endpoint, const char *address,
               uint32_t kind, const void *body, size_t size);
bool wire_send_later(struct wire_endpoint *endpoint, const char *address,
                     uint32_t kind, const void *body, size_t size,
                     int64_t delay_ms);
uint64_t wire_request(struct wire_endpoint *endpoint,
                      const struct wire_request_desc *desc);
bool wire_cancel(struct wire_endpoint *endpoint, uint64_t request);
bool wire_reply(struct wire_endpoint *endpoint, const struct wire_return *to,
                uint32_t kind, const void *body, size_t size);

int wire_endpoint_service(struct wire_endpoint *endpoint, int64_t now_ms);
void wire_endpoint_wait(struct wire_endpoint *endpoint, int wake_fd,
                        int64_t timeout_ms);
enum { WIRE_FDS = 5 };
int wire_endpoint_fds(const struct wire_endpoint *endpoint, int fds[WIRE_FDS]);

bool wire_keys_create(const char *public_path, const char *secret_path,
                      struct base_error *err);

#ifdef __cplusplus
}
#endif

#endif
