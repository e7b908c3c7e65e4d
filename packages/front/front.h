/*
 * front: the task that owns callers' and operators' HTTP(S) connections and
 * the streams from backend servers that answer them.
 *
 *     struct front *front = front_start(&(struct front_desc){...}, &err);
 *     front_update(front, world, view);
 *     front_drain(front);             // unready, no new requests
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

struct front_desc {
    const char *node;
    const char *zone;
    const char *source;  /* IP to connect from; NULL: the system's choice */
    const char *address; /* IP number to listen on */
    int port;            /* 0: any free one, see front_port */
    const char *tls_certificate_file; /* NULL: plain HTTP */
    const char *tls_key_file;
    bool is_naive; /* the naive policy: round robin, no contracts */
    struct control *control;
    struct platform *platform;
    struct batch *batch;
    struct base_counters *counters;
    struct base_tracer *tracer;
    /* A caller that neither takes nor gives a byte for this long while one
     * is due is closed; 0: 20,000. */
    int64_t caller_silence_ms;
    /* Routes by host and path instead of the product's own interface; each
     * address is "IP:port".  address and port above are not used then. */
    const struct front_protocol *protocol;
    const char *const *site_addresses; /* for callers, probes, metrics */
    int n_site_addresses;
    struct jobs *jobs;
};

struct front *front_start(const struct front_desc *desc,
                          struct base_error *err);
int front_port(const struct front *front);
void front_update(struct front *front, struct world *world,
                  struct members_view *view);
void front_drain(struct front *front);
bool front_is_idle(struct front *front);
void front_stop(struct front *front);

#ifdef __cplusplus
}
#endif

#endif
