/*
 * records: the records that batch stores in the key-value service, as structs
 * with conversion to and from JSON.
 *
 *     /cp/batch/files/<operator>/<file>     struct batch_file
 *     /cp/batch/jobs/<operator>/<job>       struct batch_job, until it ends
 *     /cp/batch/ended/<operator>/<job>      struct batch_job, after its end
 *     /cp/batch/shards/<job>/<number>       struct batch_shard, from the
 *                                           first claim on
 *     /cp/batch/runners/<node>              the runner's claim id, on a lease
 */
#ifndef CARDAMOM_BATCH_RECORDS_H
#define CARDAMOM_BATCH_RECORDS_H

#include "bulk/bulk.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    BATCH_ID_SIZE = 80,
    BATCH_CLAIM_SIZE = 17,
    BATCH_NAME_SIZE = BASE_NAME_SIZE,
    BATCH_MAX_SHARDS = 32,
};

#define BATCH_FILES "/cp/batch/files/"
#define BATCH_JOBS "/cp/batch/jobs/"
#define BATCH_ENDED "/cp/batch/ended/"
#define BATCH_SHARDS "/cp/batch/shards/"
#define BATCH_RUNNERS "/cp/batch/runners/"

/* A part of a file: one chunk of complete lines. */
struct batch_piece {
    struct bulk_chunk chunk;
    int items;
};

struct batch_file {
    char id[BATCH_ID_SIZE];
    char operator_name[BATCH_NAME_SIZE];
    char region[BATCH_NAME_SIZE];
    char *filename;
    char *purpose;
    int64_t bytes;
    int64_t created_s;
    int64_t deleted_s; /* 0: not deleted */
    int items;
    GArray *pieces; /* of struct batch_piece */
};

/* Why a job stops before all its items have run. */
enum batch_stop {
    BATCH_NOT_STOPPED,
    BATCH_CANCELLED,
    BATCH_EXPIRED,
    BATCH_FAILED,
};

/* Items by outcome. */
struct batch_counts {
    int completed;
    int failed;
    int cancelled;
};

struct batch_job {
    char id[BATCH_ID_SIZE];
    char operator_name[BATCH_NAME_SIZE];
    char file_id[BATCH_ID_SIZE];
    char region[BATCH_NAME_SIZE];
    char *endpoint;
    char *metadata; /* JSON text or NULL */
    int64_t window_s;
    int64_t created_s;
    int64_t deadline_s;
    int n_items;
    int n_shards;
    enum batch_stop stop;
    int64_t stop_s;  /* time in s at which the job was stopped */
    char *stop_text; /* error text of a failed job, or NULL */
    /* set when the job ends */
    int64_t ended_s; /* 0: the job is open */
    struct batch_counts counts;
};

struct batch_shard {
    int64_t epoch;                /* grows with each claim */
    char runner[BATCH_NAME_SIZE]; /* node of the runner; empty: the shard is
                                     unclaimed */
    char claim[BATCH_CLAIM_SIZE]; /* claim id of the runner's process */
    int n_items;
    uint8_t *done;  /* a bit per item: its result is committed */
    uint8_t *begun; /* a bit per item: it may have been sent; set only for
                     * non-idempotent items */
    struct batch_counts counts;
    bool is_closed;  /* the results of all items are committed */
    GArray *outputs; /* of struct batch_piece */
    GArray *errors;  /* of struct batch_piece */
};

size_t batch_bitmap_size(int n_items);
bool batch_bit(const uint8_t *bitmap, int index);
void batch_set_bit(uint8_t *bitmap, int index, bool value);

void batch_file_init(struct batch_file *file);
void batch_file_finish(struct batch_file *file);
GBytes *batch_file_format(const struct batch_file *file);
bool batch_file_parse(GBytes *text, struct batch_file *file);

void batch_job_finish(struct batch_job *job);
void batch_job_copy(struct batch_job *to, const struct batch_job *from);
GBytes *batch_job_format(const struct batch_job *job);
bool batch_job_parse(GBytes *text, struct batch_job *job);
int batch_job_first_item(const struct batch_job *job, int shard);

void batch_shard_init(struct batch_shard *shard, int n_items);
void batch_shard_finish(struct batch_shard *shard);
void batch_shard_copy(struct batch_shard *to, const struct batch_shard *from);
GBytes *batch_shard_format(const struct batch_shard *shard);
bool batch_shard_parse(GBytes *text, struct batch_shard *shard);

char *batch_key(const char *prefix, const char *folder, const char *name);
char *batch_shard_key(const char *job_id, int number);

#ifdef __cplusplus
}
#endif

#endif
