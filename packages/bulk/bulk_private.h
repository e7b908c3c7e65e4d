/*
 * The parts of the bulk task: bulk.c has its loop and its calls, store.c
 * brings a chunk to its holders, fetch.c finds a good copy, maintenance.c
 * repairs, scrubs and sweeps, peers.c speaks with other nodes.
 */
#ifndef CARDAMOM_BULK_PRIVATE_H
#define CARDAMOM_BULK_PRIVATE_H

#include "bulk/bulk.h"
#include "bulk/disk.h"
#include "wire/wire.h"

enum {
    BULK_STORE = WIRE_FIRST_KIND,
    BULK_STORED,
    BULK_FETCH,
    BULK_FETCHED,
};

enum {
    BULK_TICK_MS = 200,
    BULK_PEER_TIMEOUT_MS = 3000,
    BULK_REPAIR_BYTES_PER_S = 8000000,
    BULK_SCRUB_BYTES_PER_S = 4000000,
    BULK_SCRUB_ROUND_S = 21600,
    BULK_WARN_EVERY_MS = 10000,
    BULK_MAX_MESSAGE_BYTES = 64 << 20,
};

/* A budget of bytes that fills with time. */
struct bulk_pace {
    int64_t bytes_per_s;
    int64_t credit;
    int64_t filled_ms;
};

struct bulk {
    struct base_task task;
    char node[MEMBERS_NAME_SIZE];
    bool has_disk;
    int64_t peer_timeout_ms;
    struct disk disk;
    struct wire_endpoint endpoint;
    struct world *world;       /* NULL until there is one */
    struct members_view *view; /* NULL until there is one */
    /* maintenance */
    GQueue repairs; /* of struct bulk_repair */
    struct bulk_pace repair_pace;
    struct bulk_pace scrub_pace;
    GPtrArray *scrub_names; /* NULL: none listed */
    guint scrub_next;
    bool is_scrubbing;
    int64_t scrub_due_ms;
    int64_t warn_ms; /* no warning of a single copy before this */
    /* counters */
    struct base_counter *n_stored;
    struct base_counter *n_single_copy;
    struct base_counter *n_corrupt;
    struct base_counter *n_healed;
    struct base_counter *n_repaired;
    struct base_counter *n_removed;
    struct base_counter *n_full;
};

/* ---- peers.c ---- */

/* Where an answer goes; `data` is good during the call only. */
struct bulk_peer_reply {
    void (*answered)(void *context, enum base_code code, const void *data,
                     size_t size);
    void *context;
};

void bulk_peer_store(struct bulk *bulk, const char *address, const char *name,
                     GBytes *bytes, bool is_result,
                     struct bulk_peer_reply reply);
void bulk_peer_fetch(struct bulk *bulk, const char *address, const char *name,
                     struct bulk_peer_reply reply);
void bulk_peer_received(void *context, const struct wire_message *message);

/* ---- store.c ---- */

struct bulk_storing_desc {
    GBytes *bytes; /* a reference is taken */
    const char *region;
    bool is_result;
    const struct bulk_chunk *held; /* copies that exist already; NULL: none */
    void (*stored)(void *context, const struct bulk_chunk *chunk,
                   const struct base_error *err);
    void *context;
};

void bulk_store(struct bulk *bulk, const struct bulk_storing_desc *desc);
bool bulk_can_add_copy(struct bulk *bulk, const struct bulk_chunk *chunk,
                       const char *region);

/* ---- fetch.c ---- */

/* `fetched` gets the bytes, borrowed, or NULL and an error. */
void bulk_fetch(struct bulk *bulk, const struct bulk_chunk *chunk,
                void (*fetched)(void *context, GBytes *bytes,
                                const struct base_error *err),
                void *context);
void bulk_heal(struct bulk *bulk, const char *name);

/* ---- maintenance.c ---- */

void bulk_maintenance_tick(struct bulk *bulk, int64_t now_ms);
void bulk_maintenance_finish(struct bulk *bulk);
void bulk_serve_sweep(struct base_call *call, void *state);

#endif
