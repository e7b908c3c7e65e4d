/*
 * disk: the data folder of one node.  The blocking system calls run on two
 * threads: one writes and removes chunks, the other reads and lists them.
 * The writer takes waiting operations in batches and does one fsync of the
 * folder for each batch that adds a chunk.  Finished operations return to the
 * owner's task.
 *
 *     struct disk_op *op = disk_op_new(DISK_READ, name);
 *     disk_send(&disk, op, on_read, context);
 */
#ifndef CARDAMOM_BULK_DISK_H
#define CARDAMOM_BULK_DISK_H

#include "bulk/bulk.h"

enum disk_kind {
    DISK_WRITE,
    DISK_REMOVE_OLD, /* unless written within the last min_age_s */
    DISK_DISCARD,    /* remove a corrupt copy, whatever its age */
    DISK_READ,
    DISK_LIST, /* the names of chunks at least min_age_s old */
    DISK_STOP,
};

struct disk_op {
    struct base_call call;
    enum disk_kind kind;
    void (*done)(struct disk_op *op, void *task_state);
    void *context;
    char name[BULK_NAME_SIZE];
    GBytes *bytes;    /* input of a write, output of a read */
    GPtrArray *names; /* output of a list */
    bool is_result;
    int64_t min_age_s;
    struct base_error err; /* code BASE_OK: success */
};

struct disk {
    char *folder;
    int64_t full_bytes; /* 0: limited by the file system's free space */
    int64_t reserve_bytes;
    int64_t used_bytes; /* atomic */
    struct base_task *owner;
    GAsyncQueue *writes;
    GAsyncQueue *reads;
    pthread_t writer;
    pthread_t reader;
    struct base_counter *n_fsyncs;
    struct base_counter *used;
};

bool disk_init(struct disk *disk, const struct bulk_desc *desc,
               struct base_task *owner, struct base_error *err);
void disk_finish(struct disk *disk);
struct disk_op *disk_op_new(enum disk_kind kind, const char *name);
void disk_op_free(struct disk_op *op);
void disk_send(struct disk *disk, struct disk_op *op,
               void (*done)(struct disk_op *op, void *task_state),
               void *context);

#endif
