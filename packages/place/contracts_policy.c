#include "place/policy.h"

enum {
    CHOICES = 2,
    LONG_CHOICES = 4, /* long requests are spread further */
    MOST_CHOICES = 4,
    LOAD_AGE_MS = 5000, /* what is known of a load fades within this time */
    CHOICE_SALT = 2,
    SHARE_SALT = 100,
};

/* A server may carry this many times the mean load of its deployment before
 * equal prefixes go on to the next in order, */
static const double LOAD_BOUND = 1.25;
/* and this part of its window in any case, where slots are free. */
static const double LIGHT_LOAD = 0.25;
/* A server without a free slot is as good as one this much fuller. */
static const double NO_SLOT_COST = 0.25;
/* In another region only servers count as full from this usage on. */
static const double FULL = 1.0;
/* Another zone of the region: its bytes are paid for. */
static const double OTHER_ZONE_COST = 0.06;
/* Link time that counts as much as a whole window of load, in ms. */
static const double LINK_SCALE_MS = 200;

/* What one choice looks at, worked out once. */
struct view {
    const struct policy *policy;
    const struct place_request *request;
    const struct world_deployment *deployment;
    int64_t now_ms;
    int region; /* of the asking node */
};

static bool
is_batch(const struct view *view)
{
    return view->request->class_ == CONTRACTS_BATCH;
}

/* Online work is granted slots that batch holds, batch work is not. */
static double
batch_usage(const struct view *view, int server)
{
    return is_batch(view) ? (double)view->policy->servers[server].load.batch /
                                policy_window(view->policy, server)
                          : 0;
}

/* The same, where old news fades into what is usual in the deployment. */
static double
usage(const struct view *view, int server)
{
    const struct policy *policy = view->policy;
    int64_t seen_ms = policy->servers[server].load.seen_ms;
    double age_ms = (double)(view->now_ms - seen_ms);
    double trust = seen_ms == 0 ? 0 : 1 - CLAMP(age_ms / LOAD_AGE_MS, 0, 1);
    double usual = policy->deployments[view->request->deployment].usage;

    return policy_known_usage(policy, server) * trust + usual * (1 - trust) +
           batch_usage(view, server) * trust;
}

static bool
has_free_slot(const struct view *view, int server)
{
    const struct server_state *state = &view->policy->servers[server];

    return state->online + state->load.batch <
           policy_window(view->policy, server);
}

static bool
is_near(const struct view *view, int server)
{
    const struct world *world = view->policy->common.world;

    return view->region == WORLD_NONE ||
           world->zones[world->servers[server].zone].region == view->region;
}

/* A server that is returning takes a part of the requests only: which ones,
 * the request's key says. */
static bool
is_healthy(const struct view *view, int server)
{
    double share =
        health_share(&view->policy->servers[server].health, view->now_ms);

    return share >= 1 ||
           (share > 0 &&
            place_draw(view->request, SHARE_SALT + (uint64_t)server) < share);
}

static uint64_t
order_of(const struct policy *policy, int server, uint64_t key)
{
    uint64_t pair[2] = {policy->servers[server].name_hash, key};

    return base_hash(pair, sizeof(pair), 0);
}

/* Fills out with the servers that may be chosen; returns how many.  First
 * the healthy ones of the own region, then all healthy ones, then any: a
 * request is better served slowly or from afar than not at all.  Batch work
 * goes wherever slots are free: the way is short beside its run. */
static int
candidates(const struct view *view, int *out)
{
    enum { NEAR, HEALTHY, ANY, N_TIERS };
    bool is_full = true;

    for (int tier = NEAR; tier < N_TIERS; tier++) {
        int n = 0;
        for (int i = 0; i < view->deployment->n_servers; i++) {
            int server = view->deployment->servers[i];
            if (place_was_tried(view->request, server) ||
                (tier < ANY && !is_healthy(view, server)) ||
                (tier == NEAR && !is_batch(view) && !is_near(view, server))) {
                continue;
            }
            is_full = is_full && usage(view, server) > FULL;
            out[n++] = server;
        }
        if (n > 0 && (tier > NEAR || !is_full)) {
            return n;
        }
    }
    return 0;
}

/* The first in the key's order whose load is within the bound; should all be
 * beyond it, the least used. */
static int
choose_by_key(const struct view *view, const int *servers, int n)
{
    double mean = 0;
    uint64_t best_order = 0;
    int best = WORLD_NONE;
    int least = servers[0];

    for (int i = 0; i < n; i++) {
        mean += usage(view, servers[i]) / n;
    }
    for (int i = 0; i < n; i++) {
        int server = servers[i];
        double its_usage = usage(view, server);
        bool is_light = its_usage <= LIGHT_LOAD && has_free_slot(view, server);
        uint64_t order =
            order_of(view->policy, server, view->request->prefix_key);
        if (its_usage < usage(view, least)) {
            least = server;
        }
        if ((is_light || its_usage <= LOAD_BOUND * mean) &&
            (best == WORLD_NONE || order > best_order)) {
            best = server;
            best_order = order;
        }
    }
    return best != WORLD_NONE ? best : least;
}

static double
score(const struct view *view, int server)
{
    const struct world *world = view->policy->common.world;
    double link_ms = view->request->zone == WORLD_NONE
                         ? 0
                         : world_link_ms(world, view->request->zone,
                                         world->servers[server].zone);

    return usage(view, server) + link_ms / LINK_SCALE_MS +
           (view->request->zone != world->servers[server].zone
                ? OTHER_ZONE_COST
                : 0) +
           (has_free_slot(view, server) ? 0 : NO_SLOT_COST);
}

/* The best of a few drawn at random: all of them would send every node to
 * the same one as long as the news of it is old.  More are drawn while the
 * best is full. */
static int
choose_by_load(const struct view *view, const int *servers, int n)
{
    int choices = view->request->class_ == CONTRACTS_ONLINE_LONG ? LONG_CHOICES
                                                                 : CHOICES;
    double best_score = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < MOST_CHOICES; i++) {
        double at = place_draw(view->request, CHOICE_SALT + (uint64_t)i);
        int server = servers[(int)(at * n)];
        double its_score = score(view, server);
        if (best == WORLD_NONE || its_score < best_score) {
            best = server;
            best_score = its_score;
        }
        if (i + 1 >= choices && best_score < FULL) {
            break;
        }
    }
    return best;
}

static int
choose(struct place *place, const struct place_request *request,
       int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;
    const struct world *world = policy->common.world;
    struct view view = {policy, request, NULL, now_ms, WORLD_NONE};
    int chosen;

    if (world == NULL || request->deployment < 0 ||
        request->deployment >= world->n_deployments) {
        return WORLD_NONE;
    }
    view.deployment = &world->deployments[request->deployment];
    if (request->zone >= 0 && request->zone < world->n_zones) {
        view.region = world->zones[request->zone].region;
    }
    int servers[MAX(view.deployment->n_servers, 1)];
    int n = candidates(&view, servers);
    if (n == 0) {
        return WORLD_NONE;
    }
    chosen =
        request->prefix_key != 0 && request->class_ != CONTRACTS_ONLINE_LONG
            ? choose_by_key(&view, servers, n)
            : choose_by_load(&view, servers, n);
    if (is_batch(&view)) {
        policy->servers[chosen].load.batch++;
    }
    else {
        policy->servers[chosen].online++;
    }
    return chosen;
}

static void
finish(struct place *place)
{
    struct policy *policy = (struct policy *)place;

    place_common_finish(&policy->common);
    g_free(policy->servers);
    g_free(policy->deployments);
    g_free(policy);
}

static const struct place_ops OPS = {
    .choose = choose,
    .load = policy_load,
    .outcome = policy_outcome,
    .update = policy_update,
    .finish = finish,
};

/* The product's policy. */
struct place *
place_contracts_new(const struct place_desc *desc)
{
    struct policy *policy = g_new0(struct policy, 1);

    place_common_init(&policy->common, &OPS, desc);
    return &policy->common.place;
}
