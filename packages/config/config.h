/*
 * config: the operations on configuration documents: check, diff, try,
 * promote, roll back, show and history.  Documents are stored as records in
 * the key-value service, for each of the environments trial and production.
 *
 *     struct config_request *r = config_request_new(CONFIG_PROMOTE, "ada");
 *     r->revision = number_in_trial;
 *     config_request_send(platform, r, &my_task, on_reply);
 *
 * Records: /cp/config/<environment>/current holds the document in force with
 * its number, author and time; /cp/config/<environment>/history/<number>
 * holds the last CONFIG_HISTORY_MAX_RECORDS records.
 *
 * A change takes effect exactly when the compare-and-swap on `current`
 * succeeds.  A record is copied into the history right after it became
 * current.  As its writer may crash before that, the next writer copies it
 * again before it replaces it.  So every retained number below the current one
 * is in the history.
 */
#ifndef CARDAMOM_CONFIG_H
#define CARDAMOM_CONFIG_H

#include "base/base.h"
#include "platform/platform.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

enum config_op {
    CONFIG_CHECK,    /* json_in: a document */
    CONFIG_TRY,      /* json_in: a document; it becomes trial's current one */
    CONFIG_PROMOTE,  /* revision: a record of trial to copy to production */
    CONFIG_SHOW,     /* environment; revision, 0: the current one */
    CONFIG_HISTORY,  /* environment; limit */
    CONFIG_DIFF,     /* environment; json_in: compared with the current one */
    CONFIG_ROLLBACK, /* revision: an old record of production to copy */
};

enum {
    CONFIG_HISTORY_MAX_RECORDS = 500,
    CONFIG_HISTORY_DEFAULT_LIMIT = 20,
    CONFIG_MAX_RECORD_BYTES = 1000000,
};

struct config_request {
    struct base_call call;
    void (*answered)(struct config_request *request, void *task_state);
    void *context;
    enum config_op op;
    char author[64];
    char environment[16]; /* "trial" or "production", the default */
    char *json_in;
    int64_t revision;        /* record number, see enum config_op */
    int64_t expect_revision; /* number to be replaced; 0: see below */
    int limit;               /* of CONFIG_HISTORY: maximum number of records;
                                0: CONFIG_HISTORY_DEFAULT_LIMIT */
    /* response */
    int status; /* HTTP: 200, 400 with problems, 404, 409 with the number and
                   author in force, 500, 503 */
    enum base_verdict verdict; /* with 503: whether the change may have been
                                  made */
    char *json_out;
};

/* A change of production is made only if the record in force there has the
 * expected number; otherwise it ends in a conflict.  With expect_revision 0, a
 * promotion expects the number that production had when the document was
 * tried, and a rollback the number that it reads when it starts. */

struct config_request *config_request_new(enum config_op op,
                                          const char *author);
void config_request_free(struct config_request *request);
void config_request_send(struct platform *platform,
                         struct config_request *request,
                         struct base_task *from,
                         void (*answered)(struct config_request *request,
                                          void *task_state));

/* A record as stored. */
struct config_record {
    int64_t number; /* increases by one with each record */
    char author[64];
    int64_t time_ms; /* wall clock */
    char *document;  /* byte for byte as accepted */
    /* In trial: the number in force in production when this was tried.  In
     * production: the number that this one replaced. */
    int64_t base;
    char from_environment[16]; /* copied from there; "" after a try */
    int64_t from_number;       /* copied from this record; 0: after a try */
};

bool config_record_parse(const char *text, size_t length,
                         struct config_record *record, struct base_error *err);
char *config_record_format(const struct config_record *record);
void config_record_finish(struct config_record *record);

/* Returns whether a node that uses the record number_in_force replaces it by
 * the candidate that it received.  It does so only if the candidate's number
 * is higher. */
bool config_record_replaces(int64_t number_in_force,
                            const struct config_record *candidate);
/* Parses a record's document and sets the revision to the record's number.
 * Returns one reference, or NULL with the problems of the document added. */
struct world *config_record_world(const struct config_record *record,
                                  struct world_problems *problems);

/* Return the keys of records; the caller frees them with g_free. */
char *config_current_key(const char *environment);
char *config_history_key(const char *environment, int64_t number);

/* Returns the differences of two documents as a JSON array of
 * {"path","from","to"}.  Elements of two arrays are matched by their member
 * "name" if all of them have one; otherwise the two arrays are compared as
 * single values. */
char *config_diff(const char *from, const char *to, struct base_error *err);

#ifdef __cplusplus
}
#endif

#endif
