/*
 * test_fleet: simulates a few nodes that send requests to backend servers, so
 * that the policies can be compared on equal generated inputs.  fleet_run
 * runs one simulation and returns its figures.  A server runs `slots` requests
 * at once, queues the others and caches prompt prefixes.  Servers can be
 * slowed for a time, or fail every request.
 */
#ifndef CARDAMOM_PLACE_TEST_FLEET_H
#define CARDAMOM_PLACE_TEST_FLEET_H

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "place/place.h"

struct FleetSettings {
    guint32 seed = 1;
    bool is_naive = false;
    int servers = 14;
    int slots = 16;
    int nodes = 3;
    double rate = 120; /* requests per second */
    double seconds = 30;
    int tokens = 40;
    int prefixes = 0; /* distinct ones; 0: no prefix caching */
    int cache = 16;   /* prefixes that a server caches */
    double first_ms = 40;
    double inter_ms = 10;
    double variation = 0; /* sigma of the logarithm of first-token times */
    int slowed = 0;       /* number of servers that are slowed at a time */
    double slow_factor = 10;
    double slow_s = 3; /* mean length of a slowdown */
    double slow_every_s = 6;
    int failing = 0;       /* number of servers that fail each request */
    double long_share = 0; /* of requests with 20 times the tokens */
};

struct FleetResult {
    std::vector<double> first_ms; /* times to first token of short requests */
    int n_requests = 0;
    int n_completed = 0;
    int cache_hits = 0;
    int n_starts = 0; /* attempts that looked up the prefix cache */
    int hedges = 0;
    double idle_share = 0; /* share of idle slots while a request waited */
    std::vector<int> by_server;
    double quantile(double q) const;
    double
    hit_share() const
    {
        return n_starts == 0 ? 0 : (double)cache_hits / n_starts;
    }
};

/* Makes a configuration of one region with two zones; the servers are
 * distributed over the deployments. */
struct world *fleet_world(int servers, int slots, int deployments = 1);
FleetResult fleet_run(const FleetSettings &settings);

#endif
