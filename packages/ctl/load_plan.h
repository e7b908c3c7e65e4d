/*
 * load_plan: the requests of a load run and their times.  The seed determines
 * all of them: Poisson arrivals with bursts, the mix of operators, short and
 * long requests, and prompts that share prefixes.
 *
 *     struct load_plan plan;
 *     load_plan_init(&plan, &settings);
 *     while (load_plan_next(&plan, &request)) { ... request.at_us ... }
 *     load_plan_finish(&plan);
 */
#ifndef CARDAMOM_CTL_LOAD_PLAN_H
#define CARDAMOM_CTL_LOAD_PLAN_H

#include "base/base.h"

#include <gsl/gsl_rng.h>

#ifdef __cplusplus
extern "C" {
#endif

enum load_class { LOAD_SHORT, LOAD_LONG, LOAD_N_CLASSES };

enum load_shape { LOAD_FIXED, LOAD_UNIFORM, LOAD_LOGNORMAL };

/* Distribution of the tokens that a class's requests ask for. */
struct load_tokens {
    enum load_shape shape;
    double a; /* fixed: number; uniform: minimum; lognormal: median */
    double b; /* uniform: maximum; lognormal: sigma of the logarithm */
};

struct load_operator {
    char *name;
    char *key;    /* API key; NULL: none */
    double share; /* of the requests, relative to other operators */
};

struct load_settings {
    uint64_t seed;
    double rate; /* requests per second outside bursts */
    double seconds;
    int64_t max_requests; /* 0: no limit */
    double burst_factor;  /* multiplies the rate during a burst */
    double burst_every_s; /* mean time between bursts; 0: no bursts */
    double burst_s;       /* length of a burst */
    struct load_tokens tokens[LOAD_N_CLASSES];
    double long_share;  /* fraction of requests in class long */
    double plain_share; /* fraction of requests not streamed */
    int prefixes;       /* number of shared prompt prefixes; 0: none shared */
    int prefix_bytes;   /* least length of a prefix */
    GPtrArray *operators; /* of struct load_operator */
    int n_urls;
};

struct load_request {
    int64_t number;
    int64_t at_us; /* planned start, from the start of the run */
    enum load_class kind;
    int tokens;
    bool is_stream;
    int prefix; /* index of the shared prefix */
    int operator_index;
    int url; /* index */
};

struct load_plan {
    const struct load_settings *settings;
    gsl_rng *random;
    int64_t count;        /* requests made so far */
    double now_s;         /* time of the last arrival */
    double burst_start_s; /* of the current or next burst */
};

bool load_tokens_parse(struct load_tokens *tokens, const char *text);
void load_plan_init(struct load_plan *plan,
                    const struct load_settings *settings);
void load_plan_finish(struct load_plan *plan);
bool load_plan_next(struct load_plan *plan, struct load_request *out);
void load_plan_messages(const struct load_settings *settings,
                        const struct load_request *request, GString *out);

#ifdef __cplusplus
}
#endif

#endif
