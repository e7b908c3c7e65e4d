/*
 * bulk: a store of immutable, checksummed chunks on the disks of a few nodes.
 * Each chunk has two copies, in different zones of a region if the region has
 * nodes with a data folder in two zones.  The store runs as one task, which
 * owns the node's data folder and its socket to other nodes.
 *
 *     struct bulk_put *put = bulk_put_new(bytes, "etela");
 *     bulk_put_send(bulk, put, &my_task, on_stored);
 *
 *     In on_stored, which runs once the copies are fsynced, put->chunk has
 *     the chunk's name and the nodes with a copy.
 *
 * Only bulk_sweep removes chunks that are no longer used: its caller passes
 * the names of all chunks that are still referenced.  bulk_repair restores
 * the second copy after a node has been lost.
 */
#ifndef CARDAMOM_BULK_H
#define CARDAMOM_BULK_H

#include "base/base.h"
#include "members/members.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { BULK_NAME_SIZE = 33, BULK_COPIES = 2 };

/* A stored chunk.  `holders` are the nodes with a copy; "" if there are
 * fewer. */
struct bulk_chunk {
    char name[BULK_NAME_SIZE]; /* hash of the bytes, hexadecimal */
    int64_t size;              /* in bytes */
    char holders[BULK_COPIES][MEMBERS_NAME_SIZE];
};

struct bulk;

/* Stores bytes as a chunk on nodes of a region. */
struct bulk_put {
    struct base_call call;
    void (*answered)(struct bulk_put *put, void *task_state);
    void *context;
    GBytes *bytes;
    char region[BASE_NAME_SIZE];
    bool is_result; /* a result, which may use reserve_bytes; a file may not */
    bool is_ok;
    struct bulk_chunk chunk; /* the chunk stored, if is_ok */
    struct base_error err;   /* BASE_FULL, BASE_UNAVAILABLE */
};

/* Reads a chunk from any node with an intact copy. */
struct bulk_get {
    struct base_call call;
    void (*answered)(struct bulk_get *get, void *task_state);
    void *context;
    struct bulk_chunk chunk;
    bool is_ok;
    GBytes *bytes;         /* the chunk's bytes, if is_ok */
    struct base_error err; /* BASE_NOT_FOUND, BASE_UNAVAILABLE, BASE_CORRUPT */
};

/* Copies a chunk until two live nodes have it, at no more than
 * repair_bytes_per_s.  In the reply, chunk.holders are the nodes that have a
 * copy now. */
struct bulk_repair {
    struct base_call call;
    void (*answered)(struct bulk_repair *repair, void *task_state);
    void *context;
    struct bulk_chunk chunk;
    char region[BASE_NAME_SIZE];
    bool is_ok;      /* the chunk has as many copies as live nodes allow */
    bool is_changed; /* chunk.holders changed */
    struct base_error err;
};

/* Removes the chunks on this node's disk that are at least min_age_s old and
 * whose bulk_name_key is not in `referenced`, which is in ascending order. */
struct bulk_sweep {
    struct base_call call;
    void (*answered)(struct bulk_sweep *sweep, void *task_state);
    void *context;
    GArray *referenced; /* of uint64_t */
    int64_t min_age_s;
    int n_retained;
    int n_removed;
};

struct bulk_put *bulk_put_new(GBytes *bytes, const char *region);
void bulk_put_free(struct bulk_put *put);
void bulk_put_send(struct bulk *bulk, struct bulk_put *put,
                   struct base_task *from,
                   void (*answered)(struct bulk_put *put, void *task_state));
struct bulk_get *bulk_get_new(const struct bulk_chunk *chunk);
void bulk_get_free(struct bulk_get *get);
void bulk_get_send(struct bulk *bulk, struct bulk_get *get,
                   struct base_task *from,
                   void (*answered)(struct bulk_get *get, void *task_state));

struct bulk_repair *bulk_repair_new(const struct bulk_chunk *chunk,
                                    const char *region);
void bulk_repair_free(struct bulk_repair *repair);
void bulk_repair_send(struct bulk *bulk, struct bulk_repair *repair,
                      struct base_task *from,
                      void (*answered)(struct bulk_repair *repair,
                                       void *task_state));
struct bulk_sweep *bulk_sweep_new(GArray *referenced, int64_t min_age_s);
void bulk_sweep_free(struct bulk_sweep *sweep);
void bulk_sweep_send(struct bulk *bulk, struct bulk_sweep *sweep,
                     struct base_task *from,
                     void (*answered)(struct bulk_sweep *sweep,
                                      void *task_state));
uint64_t bulk_name_key(const char *name);
void bulk_name_of(GBytes *bytes, char out[BULK_NAME_SIZE]);

struct bulk_desc {
    const char *node;
    const char *folder;  /* NULL: stores nothing here, only on other nodes */
    const char *address; /* "IP:port" to bind; NULL without a folder */
    const char *source;  /* IP to connect from; NULL: the system's choice */
    const char *public_key_file; /* as in control_desc */
    const char *secret_key_file;
    const char *peer_keys_file;
    /* A file that would exceed this total is refused.  0: files are refused
     * unless a tenth of the file system is free. */
    int64_t full_bytes;
    int64_t reserve_bytes; /* space beyond full_bytes, for results only; 0: a
                              tenth of full_bytes */
    int64_t repair_bytes_per_s; /* 0: 8,000,000 */
    int64_t scrub_bytes_per_s;  /* 0: 4,000,000 */
    int64_t peer_timeout_ms;    /* 0: 3,000 */
    struct base_counters *counters;
};

struct bulk *bulk_start(const struct bulk_desc *desc, struct base_error *err);
/* Sets the configuration and the membership, of which either may be NULL; any
 * thread. */
void bulk_update(struct bulk *bulk, struct world *world,
                 struct members_view *view);
/* Returns the bound address, with the port that the system chose if
 * desc.address left it open. */
const char *bulk_address(const struct bulk *bulk);
void bulk_stop(struct bulk *bulk);

#ifdef __cplusplus
}
#endif

#endif
