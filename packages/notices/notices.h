/*
 * notices: what backend servers say about themselves in the headers of their
 * responses, as far as a node knows.  Nodes exchange the records, so that the
 * owner of a server learns what any node has heard.
 *
 *     notices_init(&notices);
 *     if (notices_observe(&notices, &server, limit, sent_ms, now_ms)) {
 *         ... send notices_take(&notices, &server) to other nodes ...
 *     }
 *     notices_merge(&notices, &record, now_ms);    a record of another node
 *     limit = notices_limit(&notices, "server");
 *
 * All nodes come to the same record of a server, in whatever order records
 * arrive: one of a later start of the server wins, then the one with the
 * higher version, then the lower limit.  A server that has said that it leaves
 * does so until its next start, whatever later records say.
 *
 * The package reads no clock and does no input or output.  It takes no locks;
 * one thread at a time may use it.
 */
#ifndef CARDAMOM_NOTICES_H
#define CARDAMOM_NOTICES_H

#include <math.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { NOTICES_NAME_SIZE = BASE_NAME_SIZE };

/* A server without a limit takes any number of requests. */
#define NOTICES_NO_LIMIT ((double)INFINITY)

/* One start of a backend server. */
struct notices_server {
    char name[NOTICES_NAME_SIZE];
    int64_t started_ms; /* wall clock; 0: unknown */
};

struct notices_record {
    struct notices_server server;
    uint64_t version;   /* of the limit; each change raises it by 1 */
    double limit_per_s; /* requests a second that the server takes from all
                           nodes together */
    bool is_leaving;    /* it takes no new work until it starts again */
};

struct notices {
    GHashTable *entries; /* name to struct notices_entry */
};

void notices_init(struct notices *notices);
void notices_finish(struct notices *notices);
bool notices_parse_limit(const char *text, double *out);
bool notices_observe(struct notices *notices,
                     const struct notices_server *server, double limit_per_s,
                     int64_t sent_ms, int64_t now_ms);
bool notices_observe_leaving(struct notices *notices,
                             const struct notices_server *server);
bool notices_merge(struct notices *notices,
                   const struct notices_record *record, int64_t now_ms);
double notices_limit(const struct notices *notices, const char *server);
bool notices_is_leaving(const struct notices *notices, const char *server);
bool notices_find(const struct notices *notices, const char *server,
                  struct notices_record *out);
GArray *notices_take(struct notices *notices, bool is_all);
void notices_set_servers(struct notices *notices,
                         const struct notices_server *servers, int n_servers,
                         int64_t now_ms);
uint64_t notices_digest(const struct notices *notices);

#ifdef __cplusplus
}
#endif

#endif
