/*
 * bench_choose: measures the time of one choice, in ns, with 600 servers in
 * 38 deployments, for both policies, and the ratios to the naive policy.
 */
#include "place/place.h"

#include <stdlib.h>
#include <string.h>

enum {
    DEPLOYMENTS = 38,
    SERVERS = 600,
    SLOTS = 16,
    CHOICES = 400000,
};

static struct world *
make_world(void)
{
    GString *text = g_string_new(
        "{\"format\":1,\"environment\":\"production\",\"regions\":[{\"name\":"
        "\"r\",\"zones\":[\"a\",\"b\"]},{\"name\":\"q\",\"zones\":[\"c\","
        "\"d\"]}],\"links\":[{\"between\":[\"r\",\"q\"],\"one_way_ms\":20,"
        "\"bytes_per_s\":3000000}],\"operators\":[],\"deployments\":[");
    struct world_problems problems;
    struct world *world;

    for (int i = 0; i < DEPLOYMENTS; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"d%d\",\"kind\":\"engine\","
                               "\"model\":\"m%d\",\"version\":\"1\"}",
                               i > 0 ? "," : "", i, i);
    }
    g_string_append(text, "],\"servers\":[");
    for (int i = 0; i < SERVERS; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"s%d\",\"address\":\"10.0.%d.%d:80\",\"zone\":"
            "\"%c\",\"deployment\":\"d%d\",\"slots\":%d}",
            i > 0 ? "," : "", i, i / 200, i % 200 + 1, 'a' + i / 150,
            i % DEPLOYMENTS, SLOTS);
    }
    g_string_append(text, "]}");
    world_problems_init(&problems);
    world = world_parse(text->str, text->len, &problems);
    world_problems_finish(&problems);
    g_string_free(text, TRUE);
    return world;
}

/* Reports a load for every server, as their owners would. */
static void
report_loads(struct place *place, GRand *rand, int64_t now_ms)
{
    for (int i = 0; i < SERVERS; i++) {
        struct contracts_load load = {.window = SLOTS,
                                      .online = g_rand_int_range(rand, 0, 12),
                                      .batch = 3};
        place->ops->load(place, i, &load, now_ms);
    }
}

static double
measure(struct world *world, bool is_naive, bool has_prefix)
{
    struct place *place =
        place_new(&(struct place_desc){.is_naive = is_naive, .seed = 1});
    GRand *rand = g_rand_new_with_seed(1);
    volatile int sink = 0; /* keeps the calls from being optimised away */
    int64_t start_us;
    double ns;

    place->ops->update(place, world, 1000);
    report_loads(place, rand, 2000);
    start_us = base_clock_us();
    for (int i = 0; i < CHOICES; i++) {
        struct place_request request = {
            .deployment = i % DEPLOYMENTS,
            .zone = i % 4,
            .prefix_key = has_prefix ? (uint64_t)(i % 1000) + 1 : 0,
            .request_key = (uint64_t)i + 1,
            .deadline_ms = 100000,
        };
        sink += place->ops->choose(place, &request, 2000 + i / 1000);
        if (i % 1000 == 0) {
            report_loads(place, rand, 2000 + i / 1000);
        }
    }
    ns = (double)(base_clock_us() - start_us) * 1000 / CHOICES;
    g_rand_free(rand);
    place_free(place);
    return ns;
}

int
main(void)
{
    struct world *world = make_world();

    if (world == NULL) {
        fputs("invalid configuration\n", stderr);
        return 1;
    }
    double naive = measure(world, true, false);
    double by_load = measure(world, false, false);
    double by_key = measure(world, false, true);
    printf("servers=%d deployments=%d naive_ns=%.0f by_load_ns=%.0f "
           "by_key_ns=%.0f by_load_ratio=%.1f by_key_ratio=%.1f "
           "core_share_at_3600_per_s=%.5f\n",
           SERVERS, DEPLOYMENTS, naive, by_load, by_key, by_load / naive,
           by_key / naive, by_key * 3600 / 1e9);
    world_unref(world);
    return 0;
}
