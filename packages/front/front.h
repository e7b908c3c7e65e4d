/*
 * front: the task that serves the HTTP(S) connections of callers and
 * operators, and the backend connections that their requests use.
 *
 *     struct front *front = front_start(&(struct front_desc){...}, &err);
 *     front_update(front, world, view);
 *     front_drain(front, 7500);       // reports not ready
 *     while (!front_is_idle(front)) ...
 *     front_stop(front);
 */
#ifndef CARDAMOM_FRONT_H
#define CARDAMOM_FRONT_H

#include "base/base.h"
#include "batch/batch.h"
#include "config/config.h"
#include "control/control.h"

#ifdef __cplusplus
extern "C" {
#endif

struct front;
struct front_protocol;
struct jobs;

/* What an address of a site serves.  The configuration's routes may use any
 * path, so the node's own pages are not served where callers connect. */
enum front_serves {
    FRONT_SERVES_CALLERS = 1, /* the routes, and the calls about jobs */
    FRONT_SERVES_PROBES = 2,  /* the readiness check */
    FRONT_SERVES_METRICS = 4,
};

struct front_site_address {
    const char *address; /* "IP:port" */
    unsigned serves;     /* of enum front_serves */
};

struct front_desc {
    const char *node;
    const char *zone;
    const char *source;  /* IP of backend connections; NULL: the OS chooses */
    const char *address; /* IP address to listen on */
    int port;            /* 0: any free port, see front_port */
    const char *tls_certificate_file; /* NULL: plain HTTP */
    const char *tls_key_file;
    bool is_naive; /* the naive policy: round robin, no contracts */
    struct control *control;
    struct platform *platform;
    struct batch *batch;
    struct base_counters *counters;
    struct base_tracer *tracer;
    /* A caller's connection is closed when for this long the caller sends no
     * byte of an expected body or reads no byte of a pending response;
     * 0: 20,000 ms. */
    int64_t caller_silence_ms;
    /* Serves the routes of a site, selected by host and path, instead of
     * Cardamompick's own API; NULL: that API.  Each site address is
     * "IP:port"; address and port above are not used then. */
    const struct front_protocol *protocol;
    const struct front_site_address *site_addresses;
    int n_site_addresses;
    struct jobs *jobs;
    bool cost_routing;  /* estimates the work of requests for admission */
    int64_t body_bytes; /* memory for bodies; 0: 48 MiB */
    /* A site's requests are admitted in the order in which callers first sent
     * them; see deadlines.h. */
    bool count_earlier_waits;
};

struct front *front_start(const struct front_desc *desc,
                          struct base_error *err);
int front_port(const struct front *front);
void front_update(struct front *front, struct world *world,
                  struct members_view *view);
void front_drain(struct front *front, int64_t drain_ms);
bool front_is_idle(struct front *front);
void front_stop(struct front *front);

#ifdef __cplusplus
}
#endif

#endif
