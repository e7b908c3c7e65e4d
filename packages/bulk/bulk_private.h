/*
 * Private parts of the bulk task, shared by its source files:
 *   bulk.c         the task's loop and the calls of bulk.h
 *   store.c        storing a chunk on two nodes
 *   fetch.c        reading a chunk from the first node with an intact copy
 *   maintenance.c  repairing, scrubbing and sweeping chunks
 *   peers.c        the messages between nodes
 */
#ifndef CARDAMOM_BULK_PRIVATE_H
#define CARDAMOM_BULK_PRIVATE_H

#include "bulk/bulk.h"
#include "bulk/disk.h"
#include "wire/wire.h"

/* The kinds of messages between nodes. */
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
    BULK_SCRUB_INTERVAL_S = 21600, /* time from the end of a scrub cycle to the
                                      start of the next */
    BULK_WARN_EVERY_MS = 10000,
    BULK_MAX_MESSAGE_BYTES = 64 << 20,
};

/* A token bucket of bytes. */
struct bulk_budget {
    int64_t bytes_per_s;
    int64_t credit; /* bytes that may be used now; a chunk larger than it makes
                       it negative */
    int64_t last_refill_ms; /* time of the last refill */
};

struct bulk {
    struct base_task task;
    char node[MEMBERS_NAME_SIZE];
    bool has_disk;
    int64_t peer_timeout_ms;
    struct disk disk;
    struct wire_endpoint endpoint;
    struct world *world;       /* NULL until the first update */
    struct members_view *view; /* NULL until the first update */
    /* maintenance */
    GQueue repairs; /* of struct bulk_repair */
    struct bulk_budget repair_budget;
    struct bulk_budget scrub_budget;
    GPtrArray *scrub_names; /* chunks of this cycle; NULL: between cycles */
    guint scrub_next;       /* index into scrub_names */
    bool is_scrubbing;    /* a read or a listing for the scrub is under way */
    int64_t scrub_due_ms; /* earliest start time of the next scrub cycle */
    int64_t next_warning_ms; /* earliest next warning of a single copy */
    /* metrics */
    struct base_counter *n_stored;
    struct base_counter *n_single_copy;
    struct base_counter *n_corrupt;
    struct base_counter *n_healed;
    struct base_counter *n_repaired;
    struct base_counter *n_removed;
    struct base_counter *n_full;
};

/* ---- peers.c ---- */

/* The callback that receives a peer's answer, with its context.  `data` is
 * valid only during the callback. */
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

struct bulk_store_desc {
    GBytes *bytes; /* bulk_store takes a reference */
    const char *region;
    bool is_result;
    const struct bulk_chunk *existing; /* its copies so far; NULL: none */
    void (*stored)(void *context, const struct bulk_chunk *chunk,
                   const struct base_error *err);
    void *context;
};

void bulk_store(struct bulk *bulk, const struct bulk_store_desc *desc);
bool bulk_can_add_copy(struct bulk *bulk, const struct bulk_chunk *chunk,
                       const char *region);

/* ---- fetch.c ---- */

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
