#include "node/node.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_HTTP_PORT = 8080,
    DEFAULT_DRAIN_MS = 600000,
    EXIT_MARGIN_MS = 500, /* of the grace of a stop, for the exit */
    MAX_DRAIN_MS = 10 * DEFAULT_DRAIN_MS,
    MAX_WATCHERS = 1000,
    MAX_PORT = 65535,
    MAX_CORES = 4096,
    MIN_VALUE_BYTES = 4096, /* a page; a smaller store is a mistake */
    MAX_VALUE_BYTES = 64 << 20,
    DEFAULT_MEMORY_MB = 256,
    MIN_MEMORY_MB = 96, /* what a node needs without work, and some for it */
    MAX_MEMORY_MB = 1 << 20,
    MAX_WINDOW_S = 3600,
    MAX_SLACK = 1000000,
    MAX_FOUND_CHARS = 60, /* shown of a refused name or value in an error */
};

/* The members that each settings object may have.  An unknown member is an
 * error, so that a misspelt name does not silently leave a default in force.
 */
static const char *const ROOT_MEMBERS[] = {
    "name",      "zone",        "environment",  "http",     "control",
    "bulk",      "data_folder", "trace_folder", "seeds",    "keys",
    "platform",  "policy",      "log_level",    "drain_ms", "batch_runner",
    "grace_s",   "announce",    "source",       "site",     "cpu",
    "memory_mb", NULL,
};
static const char *const SITE_MEMBERS[] = {"callers",
                                           "probes",
                                           "metrics",
                                           "jobs",
                                           "zones",
                                           "watchers",
                                           "may_retire",
                                           "first_start",
                                           "rate_tolerance",
                                           "cost_routing",
                                           "count_earlier_waits",
                                           NULL};
static const char *const TOLERANCE_MEMBERS[] = {"window_s", "overage", "slack",
                                                NULL};
static const char *const HTTP_MEMBERS[] = {"address", "port", "certificate",
                                           "key", NULL};
static const char *const CPU_MEMBERS[] = {"share", "cores", NULL};
static const char *const KEYS_MEMBERS[] = {"public", "secret", "peers", NULL};
static const char *const ANNOUNCE_MEMBERS[] = {"control", "bulk", NULL};
static const char *const PLATFORM_MEMBERS[] = {"kv", "hosts", "weights",
                                               "value_bytes", NULL};

/* Sets err to the member's path, the value found and the values allowed.
 * `name` is NULL if `path` is already the member's; `value` is NULL if the
 * member is missing.  Returns false, for use in a return statement. */
static bool
refuse(const json_t *value, const char *path, const char *name,
       const char *allowed, struct base_error *err)
{
    char *found = value == NULL
                      ? NULL
                      : json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII |
                                              JSON_COMPACT);

    base_error_set(err, BASE_INVALID, "%s%s%s: %s%.*s, must be %s", path,
                   name != NULL ? "." : "", name != NULL ? name : "",
                   found != NULL ? "found " : "missing", MAX_FOUND_CHARS,
                   found != NULL ? found : "", allowed);
    free(found);
    return false;
}

static bool
check_members(const json_t *object, const char *path, const char *const *known,
              struct base_error *err)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        if (!g_strv_contains((const gchar *const *)known, name)) {
            char *allowed = g_strjoinv(", ", (char **)known);
            base_error_set(err, BASE_INVALID,
                           "%s.%.*s: unknown member; known are %s", path,
                           MAX_FOUND_CHARS, name, allowed);
            g_free(allowed);
            return false;
        }
    }
    return true;
}

static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    struct in_addr ip;
    char host[64];
    char *end;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    return inet_pton(AF_INET, host, &ip) == 1 && *end == '\0' && port > 0 &&
           port <= MAX_PORT;
}

#define ALLOWED_ADDRESS "IP:PORT, an IPv4 address and a port from 1 to 65535"

/* Whether a string member may be missing. */
enum presence { MEMBER_REQUIRED, MEMBER_OPTIONAL };

/* Reads a string member.  `allowed` is the text that describes the values
 * allowed in an error. */
static bool
read_string(const json_t *object, const char *path, const char *name,
            enum presence presence, const char *allowed, char **out,
            struct base_error *err)
{
    json_t *value = json_object_get(object, name);

    if (value == NULL || json_is_null(value)) {
        if (presence == MEMBER_REQUIRED) {
            refuse(NULL, path, name, allowed, err);
        }
        return presence == MEMBER_OPTIONAL;
    }
    if (!json_is_string(value) || json_string_length(value) == 0) {
        return refuse(value, path, name, allowed, err);
    }
    *out = g_strdup(json_string_value(value));
    return true;
}

static bool
read_text(const json_t *object, const char *path, const char *name,
          enum presence presence, char **out, struct base_error *err)
{
    return read_string(object, path, name, presence, "a non-empty string", out,
                       err);
}

static bool
read_address(const json_t *object, const char *path, const char *name,
             enum presence presence, char **out, struct base_error *err)
{
    if (!read_string(object, path, name, presence, ALLOWED_ADDRESS, out,
                     err)) {
        return false;
    }
    if (*out != NULL && !is_address(*out)) {
        return refuse(json_object_get(object, name), path, name,
                      ALLOWED_ADDRESS, err);
    }
    return true;
}

static bool
read_addresses(const json_t *object, const char *path, const char *name,
               char ***out, struct base_error *err)
{
    json_t *list = json_object_get(object, name);
    size_t size = json_array_size(list);

    if (list != NULL && !json_is_array(list)) {
        return refuse(list, path, name, "a list of IP:PORT", err);
    }
    *out = g_new0(char *, size + 1);
    for (size_t i = 0; i < size; i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text == NULL || !is_address(text)) {
            char item[128];
            g_snprintf(item, sizeof(item), "%s.%s[%zu]", path, name, i);
            return refuse(json_array_get(list, i), item, NULL, ALLOWED_ADDRESS,
                          err);
        }
        (*out)[i] = g_strdup(text);
    }
    return true;
}

static bool
read_number(const json_t *object, const char *path, const char *name,
            int64_t lowest, int64_t highest, int64_t *out,
            struct base_error *err)
{
    json_t *value = json_object_get(object, name);

    if (value == NULL) {
        return true;
    }
    if (!json_is_integer(value) || json_integer_value(value) < lowest ||
        json_integer_value(value) > highest) {
        char allowed[96];
        g_snprintf(allowed, sizeof(allowed),
                   "a whole number from %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   lowest, highest);
        return refuse(value, path, name, allowed, err);
    }
    *out = json_integer_value(value);
    return true;
}

static bool
read_http(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    json_t *http = json_object_get(root, "http");
    int64_t port = DEFAULT_HTTP_PORT;
    bool is_ok;

    if (http == NULL && settings->site.is_set) {
        return true; /* a site has its own addresses, in $.site */
    }
    if (!json_is_object(http)) {
        return refuse(http, "$.http", NULL, "an object", err);
    }
    is_ok = check_members(http, "$.http", HTTP_MEMBERS, err) &&
            read_text(http, "$.http", "address", MEMBER_REQUIRED,
                      &settings->http_address, err) &&
            read_number(http, "$.http", "port", 1, MAX_PORT, &port, err) &&
            read_text(http, "$.http", "certificate", MEMBER_OPTIONAL,
                      &settings->certificate_file, err) &&
            read_text(http, "$.http", "key", MEMBER_OPTIONAL,
                      &settings->key_file, err);
    settings->http_port = (int)port;
    if (is_ok &&
        (settings->certificate_file == NULL) != (settings->key_file == NULL)) {
        base_error_set(err, BASE_INVALID,
                       "$.http: found %s without %s, must have both or "
                       "neither",
                       settings->key_file == NULL ? "certificate" : "key",
                       settings->key_file == NULL ? "key" : "certificate");
        return false;
    }
    return is_ok;
}

/* Reads the processor that the node has: a share of each of its cores. */
static bool
read_cpu(struct node_settings *settings, const json_t *root,
         struct base_error *err)
{
    json_t *cpu = json_object_get(root, "cpu");
    json_t *share = json_object_get(cpu, "share");
    int64_t cores = 1;

    if (cpu == NULL || json_is_null(cpu)) {
        return true;
    }
    if (!json_is_object(cpu)) {
        return refuse(cpu, "$.cpu", NULL, "an object", err);
    }
    if (!json_is_number(share) || json_number_value(share) <= 0 ||
        json_number_value(share) > 1) {
        return refuse(share, "$.cpu", "share",
                      "a number above 0 and at most 1", err);
    }
    if (!check_members(cpu, "$.cpu", CPU_MEMBERS, err) ||
        !read_number(cpu, "$.cpu", "cores", 1, MAX_CORES, &cores, err)) {
        return false;
    }
    settings->cpu_milli =
        MAX((int)(json_number_value(share) * 1000 * (double)cores), 1);
    return true;
}

static bool
read_keys(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    json_t *keys = json_object_get(root, "keys");

    if (keys == NULL || json_is_null(keys)) {
        return true;
    }
    return check_members(keys, "$.keys", KEYS_MEMBERS, err) &&
           read_text(keys, "$.keys", "public", MEMBER_REQUIRED,
                     &settings->public_key_file, err) &&
           read_text(keys, "$.keys", "secret", MEMBER_REQUIRED,
                     &settings->secret_key_file, err) &&
           read_text(keys, "$.keys", "peers", MEMBER_REQUIRED,
                     &settings->peer_keys_file, err);
}

/* Reads the addresses that other nodes connect to, where they differ from
 * those that this node binds, and the address that this node connects from. */
static bool
read_announce(struct node_settings *settings, const json_t *root,
              struct base_error *err)
{
    json_t *announce = json_object_get(root, "announce");

    return read_text(root, "$", "source", MEMBER_OPTIONAL, &settings->source,
                     err) &&
           check_members(announce, "$.announce", ANNOUNCE_MEMBERS, err) &&
           read_address(announce, "$.announce", "control", MEMBER_OPTIONAL,
                        &settings->announce_control, err) &&
           read_address(announce, "$.announce", "bulk", MEMBER_OPTIONAL,
                        &settings->announce_bulk, err);
}

static bool
read_platform(struct node_settings *settings, const json_t *root,
              struct base_error *err)
{
    json_t *platform = json_object_get(root, "platform");

    if (!json_is_object(platform)) {
        return refuse(platform, "$.platform", NULL, "an object", err);
    }
    if (!check_members(platform, "$.platform", PLATFORM_MEMBERS, err) ||
        !read_addresses(platform, "$.platform", "kv", &settings->kv, err)) {
        return false;
    }
    if (settings->kv[0] == NULL) {
        return refuse(json_object_get(platform, "kv"), "$.platform", "kv",
                      "a list of at least one IP:PORT", err);
    }
    return read_address(platform, "$.platform", "hosts", MEMBER_OPTIONAL,
                        &settings->hosts, err) &&
           read_address(platform, "$.platform", "weights", MEMBER_OPTIONAL,
                        &settings->weights, err) &&
           read_number(platform, "$.platform", "value_bytes", MIN_VALUE_BYTES,
                       MAX_VALUE_BYTES, &settings->value_bytes, err);
}

static bool
read_site_zones(struct node_site_settings *site, const json_t *zones,
                struct base_error *err)
{
    const char *zone;
    json_t *region;

    if (!json_is_object(zones) || json_object_size(zones) == 0) {
        return refuse(zones, "$.site", "zones",
                      "an object with the region of each zone", err);
    }
    site->site_zones = g_new0(struct world_site_zone, json_object_size(zones));
    json_object_foreach((json_t *)zones, zone, region)
    {
        if (!json_is_string(region)) {
            return refuse(region, "$.site.zones", zone,
                          "a string, the name of a region", err);
        }
        site->site_zones[site->n_site_zones].zone = g_strdup(zone);
        site->site_zones[site->n_site_zones].region =
            g_strdup(json_string_value(region));
        site->n_site_zones++;
    }
    return true;
}

static bool
read_flag(const json_t *site, const char *name, bool *out,
          struct base_error *err)
{
    const json_t *value = json_object_get(site, name);

    if (value != NULL && !json_is_boolean(value)) {
        return refuse(value, "$.site", name, "true or false", err);
    }
    *out = json_is_true(value);
    return true;
}

/* Reads a number from 0 to `max`; a missing one is 0. */
static bool
read_real(const json_t *object, const char *path, const char *name, double max,
          double *out, struct base_error *err)
{
    const json_t *value = json_object_get(object, name);
    char allowed[64];

    if (value == NULL) {
        return true;
    }
    *out = json_number_value(value);
    if (json_is_number(value) && *out >= 0 && *out <= max) {
        return true;
    }
    g_snprintf(allowed, sizeof(allowed), "a number from 0 to %g", max);
    return refuse(value, path, name, allowed, err);
}

/* Reads the time from SIGTERM until the process is killed; it must have ended
 * by itself before that. */
static bool
read_grace(struct node_settings *settings, const json_t *root,
           struct base_error *err)
{
    double grace_s = 0;

    if (!read_real(root, "$", "grace_s", MAX_DRAIN_MS / 1000.0, &grace_s,
                   err)) {
        return false;
    }
    if (grace_s > 0) {
        settings->drain_ms =
            MAX((int64_t)(grace_s * 1000) - EXIT_MARGIN_MS, 0);
    }
    return true;
}

static bool
read_rate_tolerance(struct node_site_settings *site, const json_t *json,
                    struct base_error *err)
{
    struct control_rate_tolerance *out = &site->rate_tolerance;
    const json_t *value = json_object_get(json, "rate_tolerance");
    const char *path = "$.site.rate_tolerance";

    if (value == NULL || json_is_null(value)) {
        return true;
    }
    if (!json_is_object(value)) {
        return refuse(value, path, NULL, "an object", err);
    }
    return check_members(value, path, TOLERANCE_MEMBERS, err) &&
           read_real(value, path, "window_s", MAX_WINDOW_S, &out->window_s,
                     err) &&
           read_real(value, path, "overage", 1, &out->overage, err) &&
           read_real(value, path, "slack", MAX_SLACK, &out->slack, err);
}

static bool
read_site(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    struct node_site_settings *site = &settings->site;
    json_t *json = json_object_get(root, "site");
    int64_t n_watchers = 0;

    if (json == NULL || json_is_null(json)) {
        return true;
    }
    if (!json_is_object(json)) {
        return refuse(json, "$.site", NULL, "an object", err);
    }
    site->is_set = true;
    if (!read_flag(json, "may_retire", &site->may_retire, err) ||
        !read_flag(json, "first_start", &site->is_first_start, err) ||
        !read_flag(json, "cost_routing", &site->cost_routing, err) ||
        !read_flag(json, "count_earlier_waits", &site->count_earlier_waits,
                   err) ||
        !check_members(json, "$.site", SITE_MEMBERS, err) ||
        !read_rate_tolerance(site, json, err) ||
        !read_address(json, "$.site", "callers", MEMBER_OPTIONAL,
                      &site->callers, err) ||
        !read_address(json, "$.site", "probes", MEMBER_OPTIONAL, &site->probes,
                      err) ||
        !read_address(json, "$.site", "metrics", MEMBER_OPTIONAL,
                      &site->metrics, err) ||
        !read_address(json, "$.site", "jobs", MEMBER_OPTIONAL, &site->jobs,
                      err) ||
        !read_number(json, "$.site", "watchers", 1, MAX_WATCHERS, &n_watchers,
                     err) ||
        !read_site_zones(site, json_object_get(json, "zones"), err)) {
        return false;
    }
    site->n_watchers = (int)n_watchers;
    return true;
}

static bool
read_enum(const json_t *root, const char *name, const char *const *choices,
          int *chosen, struct base_error *err)
{
    const char *text = json_string_value(json_object_get(root, name));

    if (json_object_get(root, name) == NULL) {
        return true;
    }
    for (int i = 0; text != NULL && choices[i] != NULL; i++) {
        if (strcmp(text, choices[i]) == 0) {
            *chosen = i;
            return true;
        }
    }
    char *allowed = g_strjoinv(", ", (char **)choices);
    char *one_of = g_strdup_printf("one of %s", allowed);
    refuse(json_object_get(root, name), "$", name, one_of, err);
    g_free(one_of);
    g_free(allowed);
    return false;
}

static bool
read_options(struct node_settings *settings, const json_t *root,
             struct base_error *err)
{
    static const char *const POLICIES[] = {"contracts", "naive", NULL};
    static const char *const LEVELS[] = {"error", "warning", "notice",
                                         "info",  "debug",   NULL};
    int policy = 0;
    int level = BASE_LOG_INFO - BASE_LOG_ERROR;
    json_t *runner = json_object_get(root, "batch_runner");

    if (!read_enum(root, "policy", POLICIES, &policy, err) ||
        !read_enum(root, "log_level", LEVELS, &level, err)) {
        return false;
    }
    if (runner != NULL && !json_is_boolean(runner)) {
        return refuse(runner, "$", "batch_runner", "true or false", err);
    }
    settings->is_naive = policy == 1;
    settings->is_runner = runner == NULL || json_is_true(runner);
    settings->log_level = (enum base_log_level)(BASE_LOG_ERROR + level);
    settings->drain_ms = DEFAULT_DRAIN_MS;
    settings->memory_mb = DEFAULT_MEMORY_MB;
    return read_number(root, "$", "drain_ms", 0, MAX_DRAIN_MS,
                       &settings->drain_ms, err) &&
           read_number(root, "$", "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB,
                       &settings->memory_mb, err) &&
           read_grace(settings, root, err);
}

static bool
check_bulk_address(const struct node_settings *settings,
                   struct base_error *err)
{
    if (settings->data_folder != NULL && settings->bulk == NULL) {
        return refuse(NULL, "$", "bulk", "IP:PORT if data_folder is set", err);
    }
    return true;
}

static bool
read_root(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    if (!json_is_object(root)) {
        return refuse(root, "$", NULL, "an object", err);
    }
    settings->environment = NULL;
    bool is_ok =
        check_members(root, "$", ROOT_MEMBERS, err) &&
        read_text(root, "$", "name", MEMBER_REQUIRED, &settings->name, err) &&
        read_text(root, "$", "zone", MEMBER_REQUIRED, &settings->zone, err) &&
        read_text(root, "$", "environment", MEMBER_OPTIONAL,
                  &settings->environment, err) &&
        read_site(settings, root, err) && read_http(settings, root, err) &&
        read_address(root, "$", "control", MEMBER_REQUIRED, &settings->control,
                     err) &&
        read_address(root, "$", "bulk", MEMBER_OPTIONAL, &settings->bulk,
                     err) &&
        read_text(root, "$", "data_folder", MEMBER_OPTIONAL,
                  &settings->data_folder, err) &&
        read_text(root, "$", "trace_folder", MEMBER_OPTIONAL,
                  &settings->trace_folder, err) &&
        read_addresses(root, "$", "seeds", &settings->seeds, err) &&
        read_announce(settings, root, err) && read_cpu(settings, root, err) &&
        read_keys(settings, root, err) && read_platform(settings, root, err) &&
        read_options(settings, root, err) && check_bulk_address(settings, err);
    if (is_ok && settings->environment == NULL) {
        settings->environment = g_strdup("production");
    }
    return is_ok;
}

/* Parses and checks the text of a settings file.  On failure err gives the
 * member's path, the value found and the values allowed; the settings must not
 * be finished then. */
bool
node_settings_parse(struct node_settings *settings, const char *text,
                    size_t size, struct base_error *err)
{
    json_error_t fault;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
    bool is_ok;

    memset(settings, 0, sizeof(*settings));
    if (root == NULL) {
        base_error_set(err, BASE_INVALID,
                       "line %d, column %d: not valid JSON: %s", fault.line,
                       fault.column, fault.text);
        return false;
    }
    is_ok = read_root(settings, root, err);
    json_decref(root);
    if (!is_ok) {
        node_settings_finish(settings);
    }
    return is_ok;
}

/* Reads a settings file and checks it as node_settings_parse does. */
bool
node_settings_load(struct node_settings *settings, const char *path,
                   struct base_error *err)
{
    GString *text = g_string_new(NULL);
    bool is_ok = base_read_file(path, text, err) &&
                 node_settings_parse(settings, text->str, text->len, err);

    g_string_free(text, TRUE);
    return is_ok;
}

/* Frees the contents of the settings. */
void
node_settings_finish(struct node_settings *settings)
{
    g_free(settings->name);
    g_free(settings->zone);
    g_free(settings->environment);
    g_free(settings->http_address);
    g_free(settings->certificate_file);
    g_free(settings->key_file);
    g_free(settings->control);
    g_free(settings->bulk);
    g_free(settings->announce_control);
    g_free(settings->announce_bulk);
    g_free(settings->source);
    g_free(settings->data_folder);
    g_free(settings->trace_folder);
    g_strfreev(settings->seeds);
    g_free(settings->public_key_file);
    g_free(settings->secret_key_file);
    g_free(settings->peer_keys_file);
    g_strfreev(settings->kv);
    g_free(settings->hosts);
    g_free(settings->weights);
    g_free(settings->site.callers);
    g_free(settings->site.probes);
    g_free(settings->site.metrics);
    g_free(settings->site.jobs);
    for (int i = 0; i < settings->site.n_site_zones; i++) {
        g_free(settings->site.site_zones[i].zone);
        g_free(settings->site.site_zones[i].region);
    }
    g_free(settings->site.site_zones);
    memset(settings, 0, sizeof(*settings));
}
