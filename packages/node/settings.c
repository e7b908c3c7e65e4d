#include "node/node.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

enum {
    DEFAULT_HTTP_PORT = 8080,
    DEFAULT_DRAIN_MS = 600000,
    MAX_PORT = 65535,
};

/* Members that a settings object may have; an unknown one is a fault, so
 * that a misspelt name is not taken for its default. */
static const char *const KNOWN[] = {
    "name",     "zone",        "environment",  "http",     "control",
    "bulk",     "data_folder", "trace_folder", "seeds",    "keys",
    "platform", "policy",      "log_level",    "drain_ms", "batch_runner",
    "announce", "source",      "site",         NULL,
};
static const char *const KNOWN_SITE[] = {"callers",    "probes", "metrics",
                                         "jobs",       "zones",  "watchers",
                                         "may_retire", NULL};
static const char *const KNOWN_HTTP[] = {"address", "port", "certificate",
                                         "key", NULL};
static const char *const KNOWN_KEYS[] = {"public", "secret", "peers", NULL};
static const char *const KNOWN_ANNOUNCE[] = {"control", "bulk", NULL};
static const char *const KNOWN_PLATFORM[] = {"kv", "hosts", "weights", NULL};

static bool
check_members(const json_t *object, const char *path, const char *const *known,
              struct base_error *err)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        if (!g_strv_contains((const gchar *const *)known, name)) {
            base_error_set(err, BASE_INVALID, "%s.%s: unknown member", path,
                           name);
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

enum text_kind { TEXT_REQUIRED, TEXT_OPTIONAL };

static bool
read_text(const json_t *object, const char *path, const char *name,
          enum text_kind kind, char **out, struct base_error *err)
{
    json_t *value = json_object_get(object, name);

    if (value == NULL || json_is_null(value)) {
        if (kind == TEXT_REQUIRED) {
            base_error_set(err, BASE_INVALID, "%s.%s: missing", path, name);
        }
        return kind == TEXT_OPTIONAL;
    }
    if (!json_is_string(value) || json_string_length(value) == 0) {
        base_error_set(err, BASE_INVALID, "%s.%s: must be a text", path, name);
        return false;
    }
    *out = g_strdup(json_string_value(value));
    return true;
}

static bool
read_address(const json_t *object, const char *path, const char *name,
             enum text_kind kind, char **out, struct base_error *err)
{
    if (!read_text(object, path, name, kind, out, err)) {
        return false;
    }
    if (*out != NULL && !is_address(*out)) {
        base_error_set(err, BASE_INVALID, "%s.%s: '%s' is not IP:PORT", path,
                       name, *out);
        return false;
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
        base_error_set(err, BASE_INVALID, "%s.%s: must be a list", path, name);
        return false;
    }
    *out = g_new0(char *, size + 1);
    for (size_t i = 0; i < size; i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text == NULL || !is_address(text)) {
            base_error_set(err, BASE_INVALID, "%s.%s[%zu]: not IP:PORT", path,
                           name, i);
            return false;
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
        base_error_set(err, BASE_INVALID,
                       "%s.%s: must be a whole number from %" G_GINT64_FORMAT
                       " to %" G_GINT64_FORMAT,
                       path, name, lowest, highest);
        return false;
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
        return true; /* its callers use the site's addresses */
    }
    if (!json_is_object(http)) {
        base_error_set(err, BASE_INVALID, "$.http: missing");
        return false;
    }
    is_ok = check_members(http, "$.http", KNOWN_HTTP, err) &&
            read_text(http, "$.http", "address", TEXT_REQUIRED,
                      &settings->http_address, err) &&
            read_number(http, "$.http", "port", 1, MAX_PORT, &port, err) &&
            read_text(http, "$.http", "certificate", TEXT_OPTIONAL,
                      &settings->certificate_file, err) &&
            read_text(http, "$.http", "key", TEXT_OPTIONAL,
                      &settings->key_file, err);
    settings->http_port = (int)port;
    if (is_ok &&
        (settings->certificate_file == NULL) != (settings->key_file == NULL)) {
        base_error_set(err, BASE_INVALID,
                       "$.http: certificate and key go together");
        return false;
    }
    return is_ok;
}

static bool
read_keys(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    json_t *keys = json_object_get(root, "keys");

    if (keys == NULL || json_is_null(keys)) {
        return true;
    }
    return check_members(keys, "$.keys", KNOWN_KEYS, err) &&
           read_text(keys, "$.keys", "public", TEXT_REQUIRED,
                     &settings->public_key_file, err) &&
           read_text(keys, "$.keys", "secret", TEXT_REQUIRED,
                     &settings->secret_key_file, err) &&
           read_text(keys, "$.keys", "peers", TEXT_REQUIRED,
                     &settings->peer_keys_file, err);
}

/* What other nodes connect to where that is not what this one binds. */
static bool
read_announce(struct node_settings *settings, const json_t *root,
              struct base_error *err)
{
    json_t *announce = json_object_get(root, "announce");

    return read_text(root, "$", "source", TEXT_OPTIONAL, &settings->source,
                     err) &&
           check_members(announce, "$.announce", KNOWN_ANNOUNCE, err) &&
           read_address(announce, "$.announce", "control", TEXT_OPTIONAL,
                        &settings->announce_control, err) &&
           read_address(announce, "$.announce", "bulk", TEXT_OPTIONAL,
                        &settings->announce_bulk, err);
}

static bool
read_platform(struct node_settings *settings, const json_t *root,
              struct base_error *err)
{
    json_t *platform = json_object_get(root, "platform");

    if (!json_is_object(platform)) {
        base_error_set(err, BASE_INVALID, "$.platform: missing");
        return false;
    }
    if (!check_members(platform, "$.platform", KNOWN_PLATFORM, err) ||
        !read_addresses(platform, "$.platform", "kv", &settings->kv, err)) {
        return false;
    }
    if (settings->kv[0] == NULL) {
        base_error_set(err, BASE_INVALID, "$.platform.kv: needs an address");
        return false;
    }
    return read_address(platform, "$.platform", "hosts", TEXT_OPTIONAL,
                        &settings->hosts, err) &&
           read_address(platform, "$.platform", "weights", TEXT_OPTIONAL,
                        &settings->weights, err);
}

static bool
read_places(struct node_site_settings *site, const json_t *zones,
            struct base_error *err)
{
    const char *zone;
    json_t *region;

    if (!json_is_object(zones) || json_object_size(zones) == 0) {
        base_error_set(err, BASE_INVALID,
                       "$.site.zones: must name each zone's region");
        return false;
    }
    site->site_zones = g_new0(struct world_site_zone, json_object_size(zones));
    json_object_foreach((json_t *)zones, zone, region)
    {
        if (!json_is_string(region)) {
            base_error_set(err, BASE_INVALID,
                           "$.site.zones.%s: must be a region's name", zone);
            return false;
        }
        site->site_zones[site->n_site_zones].zone = g_strdup(zone);
        site->site_zones[site->n_site_zones].region =
            g_strdup(json_string_value(region));
        site->n_site_zones++;
    }
    return true;
}

static bool
read_site(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    struct node_site_settings *site = &settings->site;
    json_t *json = json_object_get(root, "site");
    json_t *may_retire = json_object_get(json, "may_retire");
    int64_t n_watchers = 0;

    if (json == NULL || json_is_null(json)) {
        return true;
    }
    if (!json_is_object(json)) {
        base_error_set(err, BASE_INVALID, "$.site: must be an object");
        return false;
    }
    if (may_retire != NULL && !json_is_boolean(may_retire)) {
        base_error_set(err, BASE_INVALID,
                       "$.site.may_retire: must be true or false");
        return false;
    }
    site->is_set = true;
    site->may_retire = json_is_true(may_retire);
    if (!check_members(json, "$.site", KNOWN_SITE, err) ||
        !read_address(json, "$.site", "callers", TEXT_OPTIONAL, &site->callers,
                      err) ||
        !read_address(json, "$.site", "probes", TEXT_OPTIONAL, &site->probes,
                      err) ||
        !read_address(json, "$.site", "metrics", TEXT_OPTIONAL, &site->metrics,
                      err) ||
        !read_address(json, "$.site", "jobs", TEXT_OPTIONAL, &site->jobs,
                      err) ||
        !read_number(json, "$.site", "watchers", 1, 1000, &n_watchers, err) ||
        !read_places(site, json_object_get(json, "zones"), err)) {
        return false;
    }
    site->n_watchers = (int)n_watchers;
    return true;
}

static bool
read_choice(const json_t *root, const char *name, const char *const *choices,
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
    base_error_set(err, BASE_INVALID, "$.%s: not one of its choices", name);
    return false;
}

static bool
read_choices(struct node_settings *settings, const json_t *root,
             struct base_error *err)
{
    static const char *const POLICIES[] = {"contracts", "naive", NULL};
    static const char *const LEVELS[] = {"error", "warning", "notice",
                                         "info",  "debug",   NULL};
    int policy = 0;
    int level = BASE_LOG_INFO - BASE_LOG_ERROR;
    json_t *runner = json_object_get(root, "batch_runner");

    if (!read_choice(root, "policy", POLICIES, &policy, err) ||
        !read_choice(root, "log_level", LEVELS, &level, err)) {
        return false;
    }
    if (runner != NULL && !json_is_boolean(runner)) {
        base_error_set(err, BASE_INVALID,
                       "$.batch_runner: must be true or false");
        return false;
    }
    settings->is_naive = policy == 1;
    settings->is_runner = runner == NULL || json_is_true(runner);
    settings->log_level = (enum base_log_level)(BASE_LOG_ERROR + level);
    settings->drain_ms = DEFAULT_DRAIN_MS;
    return read_number(root, "$", "drain_ms", 0, DEFAULT_DRAIN_MS * 10,
                       &settings->drain_ms, err);
}

static bool
check_complete(const struct node_settings *settings, struct base_error *err)
{
    if (settings->data_folder != NULL && settings->bulk == NULL) {
        base_error_set(err, BASE_INVALID,
                       "$.bulk: a node with a data_folder needs an address");
        return false;
    }
    return true;
}

static bool
read_root(struct node_settings *settings, const json_t *root,
          struct base_error *err)
{
    if (!json_is_object(root)) {
        base_error_set(err, BASE_INVALID, "$: must be an object");
        return false;
    }
    settings->environment = NULL;
    bool is_ok =
        check_members(root, "$", KNOWN, err) &&
        read_text(root, "$", "name", TEXT_REQUIRED, &settings->name, err) &&
        read_text(root, "$", "zone", TEXT_REQUIRED, &settings->zone, err) &&
        read_text(root, "$", "environment", TEXT_OPTIONAL,
                  &settings->environment, err) &&
        read_site(settings, root, err) && read_http(settings, root, err) &&
        read_address(root, "$", "control", TEXT_REQUIRED, &settings->control,
                     err) &&
        read_address(root, "$", "bulk", TEXT_OPTIONAL, &settings->bulk, err) &&
        read_text(root, "$", "data_folder", TEXT_OPTIONAL,
                  &settings->data_folder, err) &&
        read_text(root, "$", "trace_folder", TEXT_OPTIONAL,
                  &settings->trace_folder, err) &&
        read_addresses(root, "$", "seeds", &settings->seeds, err) &&
        read_announce(settings, root, err) && read_keys(settings, root, err) &&
        read_platform(settings, root, err) &&
        read_choices(settings, root, err) && check_complete(settings, err);
    if (is_ok && settings->environment == NULL) {
        settings->environment = g_strdup("production");
    }
    return is_ok;
}

/* Checks a settings text.  On failure err names the member by path and the
 * settings are finished already. */
bool
node_settings_parse(struct node_settings *settings, const char *text,
                    size_t size, struct base_error *err)
{
    json_error_t fault;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
    bool is_ok;

    memset(settings, 0, sizeof(*settings));
    if (root == NULL) {
        base_error_set(err, BASE_INVALID, "line %d: %s", fault.line,
                       fault.text);
        return false;
    }
    is_ok = read_root(settings, root, err);
    json_decref(root);
    if (!is_ok) {
        node_settings_finish(settings);
    }
    return is_ok;
}

/* Reads and checks a settings file, as node_settings_parse. */
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

/* Frees what the settings hold. */
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
