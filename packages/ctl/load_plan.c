#include "ctl/load_plan.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

enum { MAX_TOKENS = 100000 };

/* Parses "64", "fixed:64", "uniform:16:64" or "lognormal:40:0.6"; returns
 * false for any other text. */
bool
load_tokens_parse(struct load_tokens *tokens, const char *text)
{
    char extra = 0;

    tokens->shape = LOAD_FIXED;
    if (sscanf(text, "%lf%c", &tokens->a, &extra) == 1 ||
        sscanf(text, "fixed:%lf%c", &tokens->a, &extra) == 1) {
        return tokens->a >= 1;
    }
    tokens->shape = LOAD_UNIFORM;
    if (sscanf(text, "uniform:%lf:%lf%c", &tokens->a, &tokens->b, &extra) ==
        2) {
        return tokens->a >= 1 && tokens->b >= tokens->a;
    }
    tokens->shape = LOAD_LOGNORMAL;
    if (sscanf(text, "lognormal:%lf:%lf%c", &tokens->a, &tokens->b, &extra) ==
        2) {
        return tokens->a >= 1 && tokens->b >= 0;
    }
    return false;
}

static int
draw_tokens(gsl_rng *random, const struct load_tokens *tokens)
{
    double value = tokens->a;

    if (tokens->shape == LOAD_UNIFORM) {
        value = gsl_ran_flat(random, tokens->a, tokens->b + 1);
    }
    else if (tokens->shape == LOAD_LOGNORMAL) {
        value = gsl_ran_lognormal(random, log(tokens->a), tokens->b);
    }
    return (int)CLAMP(value, 1, MAX_TOKENS);
}

static double
next_burst(struct load_plan *plan, double after_s)
{
    double every_s = plan->settings->burst_every_s;

    return every_s > 0 ? after_s + gsl_ran_exponential(plan->random, every_s)
                       : INFINITY;
}

/* Starts the plan; settings must outlive it. */
void
load_plan_init(struct load_plan *plan, const struct load_settings *settings)
{
    memset(plan, 0, sizeof(*plan));
    plan->settings = settings;
    plan->random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(plan->random, (unsigned long)settings->seed);
    plan->burst_start_s = next_burst(plan, 0);
}

/* Frees the plan. */
void
load_plan_finish(struct load_plan *plan)
{
    gsl_rng_free(plan->random);
}

/* Moves now_s to the next arrival of a Poisson process whose rate changes at
 * the ends of bursts: draws an exponential variable of mean 1 and integrates
 * the rate until it is used up. */
static void
advance_to_arrival(struct load_plan *plan)
{
    const struct load_settings *settings = plan->settings;
    double remaining = gsl_ran_exponential(plan->random, 1);

    while (remaining > 0) {
        double burst_end_s = plan->burst_start_s + settings->burst_s;
        bool is_burst = plan->now_s >= plan->burst_start_s;
        double rate = settings->rate * (is_burst ? settings->burst_factor : 1);
        double until_s = is_burst ? burst_end_s : plan->burst_start_s;
        double needed_s = remaining / rate;
        if (plan->now_s + needed_s <= until_s) {
            plan->now_s += needed_s;
            return;
        }
        remaining -= (until_s - plan->now_s) * rate;
        plan->now_s = until_s;
        if (is_burst) {
            plan->burst_start_s = next_burst(plan, until_s);
        }
    }
}

static int
draw_operator(struct load_plan *plan)
{
    const GPtrArray *operators = plan->settings->operators;
    double sum = 0;

    for (guint i = 0; i < operators->len; i++) {
        const struct load_operator *each = operators->pdata[i];
        sum += each->share;
    }
    double at = gsl_rng_uniform(plan->random) * sum;
    for (guint i = 0; i < operators->len; i++) {
        const struct load_operator *each = operators->pdata[i];
        at -= each->share;
        if (at < 0) {
            return (int)i;
        }
    }
    return (int)operators->len - 1;
}

/* Sets out to the next request; returns false after the last.  Every request
 * draws whether it is streamed, its operator, prefix and URL, so that other
 * shares of operators or of plain requests leave the arrival times unchanged.
 * Another share of long requests changes them: the number of random numbers
 * that a token count takes depends on the class's distribution. */
bool
load_plan_next(struct load_plan *plan, struct load_request *out)
{
    const struct load_settings *settings = plan->settings;
    gsl_rng *random = plan->random;

    if (settings->max_requests > 0 && plan->count >= settings->max_requests) {
        return false;
    }
    advance_to_arrival(plan);
    if (plan->now_s >= settings->seconds) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->number = plan->count++;
    out->at_us = (int64_t)(plan->now_s * 1e6);
    out->kind = gsl_rng_uniform(random) < settings->long_share ? LOAD_LONG
                                                               : LOAD_SHORT;
    out->is_stream = gsl_rng_uniform(random) >= settings->plain_share;
    out->operator_index = draw_operator(plan);
    out->prefix = (int)gsl_rng_uniform_int(
        random, (unsigned long)MAX(settings->prefixes, 1));
    out->url = (int)gsl_rng_uniform_int(
        random, (unsigned long)MAX(settings->n_urls, 1));
    out->tokens = draw_tokens(random, &settings->tokens[out->kind]);
    return true;
}

/* Appends the "messages" array of a request as JSON text.  The text is a
 * prefix, which all requests with the same prefix index share, and an ending
 * of the request's own. */
void
load_plan_messages(const struct load_settings *settings,
                   const struct load_request *request, GString *out)
{
    bool is_shared = settings->prefixes > 0;
    int64_t prefix_number = is_shared ? request->prefix : request->number;
    gsize start;

    g_string_append(out, "[{\"role\":\"user\",\"content\":\"");
    start = out->len;
    g_string_append_printf(out, "%s %" PRId64 " of run %" PRIu64 ".",
                           is_shared ? "Kit" : "Request", prefix_number,
                           settings->seed);
    while (out->len - start < (gsize)MAX(settings->prefix_bytes, 0)) {
        g_string_append_printf(out, " Sheet %" PRId64 "-%zu:", prefix_number,
                               out->len - start);
    }
    g_string_append_printf(out, " question %" PRId64 "\"}]", request->number);
}
