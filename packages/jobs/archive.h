/*
 * archive: results of jobs that are complete or have ended, as read from the
 * key-value service.  They cannot change any more, so that further reads need
 * no calls.  Holds a bounded number of bytes; the oldest entries go first.
 *
 *     jobs_archive_add(&archive, id, operator_name, n_items,
 *                      results);   // takes `results`
 *     const struct jobs_archived *job = jobs_archive_find(&archive, id);
 */
#ifndef CARDAMOM_JOBS_ARCHIVE_H
#define CARDAMOM_JOBS_ARCHIVE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jobs_archived {
    char *id;
    char *operator_name; /* see struct jobs_head */
    int n_items;
    GPtrArray *results; /* of struct jobs_result, by position */
    size_t size;        /* bytes of the results */
};

/* Zeroed, then jobs_archive_init. */
struct jobs_archive {
    GQueue order;     /* of struct jobs_archived, oldest first */
    GHashTable *jobs; /* id to struct jobs_archived */
    size_t size;
    size_t max_size; /* bytes */
};

void jobs_archive_init(struct jobs_archive *archive, size_t max_size);
void jobs_archive_finish(struct jobs_archive *archive);
void jobs_archive_add(struct jobs_archive *archive, const char *id,
                      const char *operator_name, int n_items,
                      GPtrArray *results);
const struct jobs_archived *
jobs_archive_find(const struct jobs_archive *archive, const char *id);

#ifdef __cplusplus
}
#endif

#endif
