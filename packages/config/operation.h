/*
 * operation: the execution of one config_request.  It is a chain of calls to
 * the key-value service, whose callbacks run on the sender's task.  Private to
 * config.
 *
 *   request.c    checks requests and runs the steps of each operation
 *   operation.c  reads records and replaces the current one
 *   reply.c      sets the responses of requests
 *   record.c     parses and formats records
 *   diff.c       compares two documents
 */
#ifndef CARDAMOM_CONFIG_OPERATION_H
#define CARDAMOM_CONFIG_OPERATION_H

#include "config/config.h"

/* A record as read from the key-value service, if it exists there. */
struct config_stored_record {
    bool exists;
    int64_t kv_revision;
    struct config_record record;
};

struct config_operation {
    struct platform *platform;
    struct config_request *request;
    struct base_task *task;  /* sender of the request; runs all callbacks */
    const char *environment; /* its records are shown or replaced */
    struct config_stored_record current;
    /* The record to copy or show; during a try, production's current one. */
    struct config_stored_record other;
    struct config_stored_record *read_into; /* target of the read under way */
    struct config_record replacement;       /* the new current record */
    void (*next)(struct config_operation *operation); /* after that read */
};

void config_operation_read(struct config_operation *operation, char *key,
                           struct config_stored_record *into,
                           void (*next)(struct config_operation *operation));
void config_operation_replace(struct config_operation *operation);
void config_operation_finish(struct config_operation *operation);

void config_reply_error(struct config_request *request, int status,
                        enum base_code code, const char *format, ...)
    G_GNUC_PRINTF(4, 5);
void config_reply_record(struct config_request *request,
                         const char *environment,
                         const struct config_record *record,
                         bool with_document);
void config_reply_conflict(struct config_request *request,
                           const struct config_stored_record *stored);
void config_reply_unavailable(struct config_request *request,
                              enum base_verdict verdict);
void config_reply_problems(struct config_request *request,
                           const struct world_problems *problems);
void config_append_record(GString *out, const char *environment,
                          const struct config_record *record);

#endif
