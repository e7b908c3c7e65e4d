#include "world/site_check.h"

#include <string.h>

/* What the checks of one entry add their findings to. */
struct report {
    GArray *findings;
    enum world_site_part part;
    int index;
};

static void add(const struct report *report, enum world_severity severity,
                const char *format, ...) G_GNUC_PRINTF(3, 4);

static void
add(const struct report *report, enum world_severity severity,
    const char *format, ...)
{
    struct world_site_finding finding = {severity, report->part, report->index,
                                         ""};
    va_list args;

    va_start(args, format);
    vsnprintf(finding.text, sizeof(finding.text), format, args);
    va_end(args);
    g_array_append_val(report->findings, finding);
}

static int
find_service(const struct world_site *site, const char *name)
{
    for (int i = 0; i < site->n_services; i++) {
        if (strcmp(site->services[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

/* ---- entries that can never match ---- */

/* Of two routes with the same host and prefix, the first one gets all
 * requests. */
static void
check_match(const struct world_site *site, const struct report *report)
{
    const struct world_site_route *route = &site->routes[report->index];

    if (route->prefix[0] != '/') {
        add(report, WORLD_ERROR,
            "can never match: the prefix '%s' does not begin with a slash",
            route->prefix);
    }
    else if (!g_str_has_suffix(route->prefix, "/")) {
        add(report, WORLD_WARNING,
            "the prefix '%s' also matches longer names: it does not end with "
            "a slash",
            route->prefix);
    }
    for (int i = 0; i < report->index; i++) {
        const struct world_site_route *other = &site->routes[i];
        if (route->kind == WORLD_INGRESS_BATCH &&
            other->kind == WORLD_INGRESS_BATCH &&
            strcmp(other->name, route->name) == 0) {
            add(report, WORLD_WARNING,
                "shares its limit of waiting tokens with a route before it "
                "that is named '%s', too",
                route->name);
        }
        if (g_ascii_strcasecmp(other->host, route->host) == 0 &&
            strcmp(other->prefix, route->prefix) == 0) {
            add(report, WORLD_ERROR,
                "can never match: route '%s' before it has the same host and "
                "prefix",
                other->name);
            return;
        }
    }
}

static void
check_splits(const struct world_site *site, const struct report *report)
{
    const struct world_site_route *route = &site->routes[report->index];
    double sum = 0;
    bool is_missing = false;

    for (int i = 0; i < route->n_splits; i++) {
        const struct world_site_split *split = &route->splits[i];
        if (find_service(site, split->service) == WORLD_NONE) {
            add(report, WORLD_ERROR, "there is no service '%s'",
                split->service);
            is_missing = true;
        }
        else {
            sum += split->weight;
        }
    }
    if (sum <= 0 && !is_missing) {
        add(report, WORLD_ERROR,
            "no service gets requests: all weights are 0");
    }
}

static bool
is_service_used(const struct world_site *site, const char *name)
{
    for (int i = 0; i < site->n_routes; i++) {
        const struct world_site_route *route = &site->routes[i];
        for (int j = 0; j < route->n_splits; j++) {
            if (route->splits[j].weight > 0 &&
                strcmp(route->splits[j].service, name) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
check_service(const struct world_site *site, const struct report *report)
{
    const char *name = site->services[report->index].name;

    if (find_service(site, name) < report->index) {
        add(report, WORLD_ERROR,
            "can never match: a service before it has the name '%s', too",
            name);
    }
    else if (!is_service_used(site, name)) {
        add(report, WORLD_WARNING, "no route sends requests to service '%s'",
            name);
    }
}

/* ---- limits that contradict each other ---- */

static void
check_online_limits(const struct world_site_route *route,
                    const struct report *report)
{
    if (route->timeout_ms <= 0) {
        add(report, WORLD_ERROR,
            "every request is late: it has no time limit "
            "above 0");
        return;
    }
    if (route->target_ms > route->timeout_ms) {
        add(report, WORLD_WARNING,
            "the target of %" G_GINT64_FORMAT
            " ms for the response is above the time limit of %" G_GINT64_FORMAT
            " ms",
            route->target_ms, route->timeout_ms);
    }
    if (route->gap_target_ms > route->timeout_ms) {
        add(report, WORLD_WARNING,
            "the target of %" G_GINT64_FORMAT
            " ms between pieces is above the time limit of %" G_GINT64_FORMAT
            " ms",
            route->gap_target_ms, route->timeout_ms);
    }
    if (route->is_resumable && route->kind != WORLD_INGRESS_STREAM) {
        add(report, WORLD_WARNING,
            "resuming has no effect: the route has no streams");
    }
}

static void
check_batch_limits(const struct world_site_route *route,
                   const struct report *report)
{
    if (route->retention_ms > 0 &&
        route->completion_ms > route->retention_ms) {
        add(report, WORLD_ERROR,
            "items are given up after %" G_GINT64_FORMAT
            " ms, before they are due after %" G_GINT64_FORMAT " ms",
            route->retention_ms, route->completion_ms);
    }
    if (route->completion_ms <= 0) {
        add(report, WORLD_WARNING,
            "its jobs are late when they arrive: they have no time to "
            "complete above 0");
    }
}

static void
check_route(const struct world_site *site, const struct report *report)
{
    const struct world_site_route *route = &site->routes[report->index];

    check_match(site, report);
    check_splits(site, report);
    if (route->max_attempts <= 0) {
        add(report, WORLD_WARNING, "no attempt is allowed; one is made");
    }
    if (route->is_open && !site->has_operators) {
        add(report, WORLD_WARNING,
            "that it is open has no effect: no route needs a key");
    }
    if (route->kind == WORLD_INGRESS_BATCH) {
        check_batch_limits(route, report);
    }
    else {
        check_online_limits(route, report);
    }
}

static void
check_operator(const struct world_site *site, const struct report *report)
{
    const struct world_site_operator *at = &site->operators[report->index];

    for (int i = 0; i < report->index; i++) {
        if (strcmp(site->operators[i].name, at->name) == 0) {
            add(report, WORLD_ERROR, "the name '%s' is used twice", at->name);
            break;
        }
    }
    if (site->keyring == NULL ||
        !world_keyring_has_operator(site->keyring, report->index)) {
        add(report, WORLD_WARNING, "'%s' has no key: it can send no requests",
            at->name);
    }
    if (at->requests_per_s > 0 && at->burst > 0 && at->burst < 1) {
        add(report, WORLD_WARNING,
            "a burst of %g is less than one request, though the rate is %g a "
            "second",
            at->burst, at->requests_per_s);
    }
    if (at->requests_per_s <= 0 && at->burst > 0) {
        add(report, WORLD_WARNING,
            "the burst has no effect: there is no rate");
    }
}

/* Reports when no request can be served: all routes need a key and there is
 * none. */
static void
check_site(const struct world_site *site, const struct report *report)
{
    bool is_reachable = !site->has_operators;

    for (int i = 0; i < site->n_routes; i++) {
        is_reachable = is_reachable || site->routes[i].is_open;
    }
    for (int i = 0; i < site->n_operators; i++) {
        is_reachable =
            is_reachable || world_keyring_has_operator(site->keyring, i);
    }
    if (!is_reachable) {
        add(report, WORLD_ERROR,
            "all routes need a key, and no operator has one");
    }
    if (site->n_routes == 0) {
        add(report, WORLD_WARNING, "there are no routes");
    }
}

/* Returns the findings, as a GArray of struct world_site_finding in the order
 * of the site's parts; the caller frees it. */
GArray *
world_site_check(const struct world_site *site)
{
    struct report report = {
        g_array_new(FALSE, FALSE, sizeof(struct world_site_finding)),
        WORLD_SITE_WHOLE, 0};

    check_site(site, &report);
    report.part = WORLD_SITE_ROUTE;
    for (report.index = 0; report.index < site->n_routes; report.index++) {
        check_route(site, &report);
    }
    report.part = WORLD_SITE_SERVICE;
    for (report.index = 0; report.index < site->n_services; report.index++) {
        check_service(site, &report);
    }
    report.part = WORLD_SITE_OPERATOR;
    for (report.index = 0; report.index < site->n_operators; report.index++) {
        check_operator(site, &report);
    }
    return report.findings;
}
