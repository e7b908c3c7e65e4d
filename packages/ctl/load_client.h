/*
 * load_client: sends the requests of a load plan at their planned times,
 * without waiting for earlier ones to end (open loop), and records the outcome
 * of each.  One libwebsockets context on the calling thread carries all
 * connections.
 *
 *     if (load_client_run(&client, &options, &err)) {
 *         ... client.records, client.gaps ...
 *     }
 *     load_client_finish(&client);
 */
#ifndef CARDAMOM_CTL_LOAD_CLIENT_H
#define CARDAMOM_CTL_LOAD_CLIENT_H

#include "ctl/load_check.h"
#include "ctl/load_plan.h"

/* The outcome of one request.  Times are on base_clock_us; first_token_us is
 * 0 if no token arrived. */
struct load_record {
    struct load_request request;
    char id[LOAD_ID_SIZE]; /* request id that the node returned, else ours */
    int64_t intended_us;   /* planned start */
    int64_t first_token_us;
    int64_t end_us;
    int status; /* HTTP status; 0: no response */
    enum load_verdict verdict;
    int tokens;
    char note[96]; /* why the verdict is not LOAD_OK; written to the records */
};

struct load_options {
    struct load_settings settings;
    char **urls;
    char *model;
    char *ca_file;
    int64_t deadline_ms;    /* sent to the node, enforced by the client too */
    int max_open;           /* with more open, a due request fails unsent */
    gboolean checks_tokens; /* the URLs lead to stand-in engines */
    gboolean is_direct;     /* the URLs are engines, not nodes: ids are ours */
};

struct lws_context;

struct load_client {
    const struct load_options *options;
    struct load_plan plan;
    struct lws_context *lws;
    struct load_request next;
    bool has_next; /* false: no request is left to send */
    int open;
    int peak_open; /* most requests open at once */
    int64_t start_us;
    GPtrArray *calls; /* open requests, of struct load_call */
    GArray *records;  /* of struct load_record, in the order they ended */
    GArray *gaps;     /* float, ms between tokens */
};

bool load_client_run(struct load_client *client,
                     const struct load_options *options,
                     struct base_error *err);
void load_client_finish(struct load_client *client);

#endif
