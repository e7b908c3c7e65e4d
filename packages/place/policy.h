/*
 * policy: state of the default policy.  contracts_policy.c uses it to choose
 * servers; policy_state.c updates it from load reports, results and changes of
 * the configuration.
 */
#ifndef CARDAMOM_PLACE_POLICY_H
#define CARDAMOM_PLACE_POLICY_H

#include "place/health.h"
#include "place/histogram.h"
#include "place/internal.h"

struct server_state {
    uint64_t name_hash;
    struct health health;
};

/* The load of a pool of servers, which has one owner. */
struct pool_state {
    struct contracts_load load; /* last reported */
    int online; /* estimated online contracts: last reported, plus requests
                   sent since then, minus attempts that ended */
};

struct deployment_state {
    struct histogram first; /* times to first token */
    double mean_usage;      /* moving average over the reported loads */
    int64_t first_us;       /* median of the servers' medians; 0: not known */
    int64_t inter_us;
    int64_t peers_updated_ms; /* when first_us and inter_us were computed */
};

struct policy {
    struct place_common common;
    struct server_state *servers;
    int n_servers;
    struct pool_state *pools;
    struct deployment_state *deployments;
    int n_deployments;
};

/* The inputs of one choice. */
struct selection {
    const struct policy *policy;
    const struct place_request *request;
    const struct world_deployment *deployment;
    int64_t now_ms;
    int region; /* region of the requesting node, or WORLD_NONE */
};

/* contracts_policy.c */
bool selection_is_healthy(const struct selection *selection, int server);
double selection_usage(const struct selection *selection, int pool);
double selection_cost(const struct selection *selection, int pool);
uint64_t selection_rank(const struct selection *selection, int server);
bool selection_is_full(const struct selection *selection, int pool);

/* pool_choice.c */
int policy_choose_in_pools(const struct selection *selection);

/* policy_state.c */
struct pool_state *policy_pool_of(const struct policy *policy, int server);
int policy_window(const struct policy *policy, int pool);
double policy_known_usage(const struct policy *policy, int pool);
void policy_load(struct place *place, int server,
                 const struct contracts_load *reported, int64_t now_ms);
void policy_pool_load(struct place *place, uint64_t key,
                      const struct contracts_load *load);
void policy_outcome(struct place *place, int server,
                    const struct contracts_outcome *result, int64_t now_ms);
void policy_update(struct place *place, struct world *world, int64_t now_ms);

#endif
