#include "world/world.h"

#include <arpa/inet.h>
#include <string.h>

#include "world/parse.h"
#include "world/reader.h"

enum {
    MAX_SLOTS = 100000,
    MAX_LATENCY_MS = 60000,
    MAX_PORT = 65535,
};
#define MAX_BYTES ((int64_t)1 << 50)

static void
read_zones(struct world_reader *reader, struct world *world,
           const json_t *object, int region)
{
    json_t *zones = world_reader_array(reader, object, "zones");

    if (json_array_size(zones) == 0) {
        world_reader_report_member(reader, "zones",
                                   "must name at least one zone");
        return;
    }
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const char *name =
            world_reader_element(reader, zones, "zones", i, WORLD_TEXT_NAME);
        if (name == NULL) {
            continue;
        }
        if (world_find_zone(world, name) != WORLD_NONE) {
            size_t mark = world_reader_enter(reader, "zones[%zu]", i);
            world_reader_report(reader, "zone \"%s\" is named twice", name);
            world_reader_leave(reader, mark);
            continue;
        }
        world->zones =
            g_renew(struct world_zone, world->zones, world->n_zones + 1);
        world->zones[world->n_zones].name = g_strdup(name);
        world->zones[world->n_zones].region = region;
        world->n_zones++;
    }
}

static int
find_region(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_regions; i++) {
        if (strcmp(world->regions[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

static void
read_region(struct world_reader *reader, struct world *world,
            const json_t *object)
{
    static const char *const MEMBERS[] = {"name", "zones", NULL};

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    char *name =
        world_reader_text(reader, object, "name", WORLD_TEXT_NAME, NULL);
    if (*name != '\0' && find_region(world, name) != WORLD_NONE) {
        world_reader_report_member(reader, "name",
                                   "region \"%s\" is named twice", name);
    }
    world->regions[world->n_regions].name = name;
    world->n_regions++;
    read_zones(reader, world, object, world->n_regions - 1);
}

static int
read_link_end(struct world_reader *reader, const struct world *world,
              const json_t *ends, size_t index)
{
    const char *name =
        world_reader_element(reader, ends, "between", index, WORLD_TEXT_NAME);

    if (name == NULL) {
        return WORLD_NONE;
    }
    int region = find_region(world, name);
    if (region == WORLD_NONE) {
        size_t mark = world_reader_enter(reader, "between[%zu]", index);
        world_reader_report(reader, "no region \"%s\"", name);
        world_reader_leave(reader, mark);
    }
    return region;
}

static bool
is_same_link(const struct world_link *a, const struct world_link *b)
{
    return (a->region_a == b->region_a && a->region_b == b->region_b) ||
           (a->region_a == b->region_b && a->region_b == b->region_a);
}

static void
check_link(struct world_reader *reader, const struct world *world,
           const struct world_link *link)
{
    if (link->region_a == WORLD_NONE || link->region_b == WORLD_NONE) {
        return;
    }
    if (link->region_a == link->region_b) {
        world_reader_report_member(reader, "between",
                                   "must name two different regions");
        return;
    }
    for (int i = 0; i < world->n_links; i++) {
        if (is_same_link(&world->links[i], link)) {
            world_reader_report_member(
                reader, "between", "another link connects the same regions");
            return;
        }
    }
}

static void
read_link(struct world_reader *reader, struct world *world,
          const json_t *object)
{
    static const char *const MEMBERS[] = {"between", "one_way_ms",
                                          "bytes_per_s", NULL};
    static const struct world_number_field LATENCY = {"one_way_ms", 0,
                                                      MAX_LATENCY_MS, 20};
    static const struct world_integer_field RATE = {"bytes_per_s", 1,
                                                    MAX_BYTES, 3000000};
    struct world_link link = {WORLD_NONE, WORLD_NONE, 0, 0};

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    json_t *ends = world_reader_array(reader, object, "between");
    if (json_array_size(ends) != 2) {
        world_reader_report_member(reader, "between", "must name two regions");
    }
    else {
        link.region_a = read_link_end(reader, world, ends, 0);
        link.region_b = read_link_end(reader, world, ends, 1);
    }
    link.one_way_ms = world_reader_number(reader, object, &LATENCY);
    link.bytes_per_s = world_reader_integer(reader, object, &RATE);
    check_link(reader, world, &link);
    world->links[world->n_links] = link;
    world->n_links++;
}

/* Splits "IPv4:port" or "[IPv6]:port" into the server's host and port.
 * Returns false if the address has another form. */
static bool
split_address(const char *address, struct world_server *server)
{
    struct in6_addr number;
    const char *colon = strrchr(address, ':');
    guint64 port = 0;

    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, MAX_PORT, &port, NULL)) {
        return false;
    }
    char *host = g_strndup(address, (gsize)(colon - address));
    size_t length = strlen(host);
    if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
        memmove(host, host + 1, length - 2);
        host[length - 2] = '\0';
    }
    else if (inet_pton(AF_INET, host, &number) != 1) {
        g_free(host);
        return false;
    }
    if (inet_pton(AF_INET, host, &number) != 1 &&
        inet_pton(AF_INET6, host, &number) != 1) {
        g_free(host);
        return false;
    }
    server->host = host;
    server->port = (int)port;
    return true;
}

static void
read_address(struct world_reader *reader, const struct world *world,
             const json_t *object, struct world_server *server)
{
    char *address =
        world_reader_text(reader, object, "address", WORLD_TEXT_LABEL, NULL);

    if (*address != '\0' && !split_address(address, server)) {
        world_reader_report_member(
            reader, "address",
            "must be an IP address and a port number, as in "
            "127.0.0.1:9001");
    }
    g_free(address);
    if (server->host == NULL) {
        server->host = g_strdup("");
        return;
    }
    for (int i = 0; i < world->n_servers; i++) {
        if (world->servers[i].port == server->port &&
            strcmp(world->servers[i].host, server->host) == 0) {
            world_reader_report_member(reader, "address",
                                       "server \"%s\" has this address too",
                                       world->servers[i].name);
            return;
        }
    }
}

static int
read_reference(struct world_reader *reader, const struct world *world,
               const json_t *object, const char *member,
               int (*find)(const struct world *world, const char *name))
{
    char *name =
        world_reader_text(reader, object, member, WORLD_TEXT_NAME, NULL);
    int found = WORLD_NONE;

    if (*name != '\0') {
        found = find(world, name);
        if (found == WORLD_NONE) {
            world_reader_report_member(reader, member, "no %s \"%s\"", member,
                                       name);
        }
    }
    g_free(name);
    return found;
}

static void
add_to_deployment(struct world *world, int deployment, int server)
{
    struct world_deployment *to = &world->deployments[deployment];

    to->servers = g_renew(int, to->servers, to->n_servers + 1);
    to->servers[to->n_servers] = server;
    to->n_servers++;
}

static void
read_server(struct world_reader *reader, struct world *world,
            const json_t *object)
{
    static const char *const MEMBERS[] = {
        "name",  "address",        "zone",       "deployment",
        "slots", "checks_fencing", "can_resume", NULL};
    static const struct world_integer_field SLOTS = {"slots", 1, MAX_SLOTS,
                                                     16};
    struct world_server *server = &world->servers[world->n_servers];

    if (!world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    server->name =
        world_reader_text(reader, object, "name", WORLD_TEXT_NAME, NULL);
    if (world_find_server(world, server->name) != WORLD_NONE) {
        world_reader_report_member(
            reader, "name", "server \"%s\" is named twice", server->name);
    }
    read_address(reader, world, object, server);
    server->zone =
        read_reference(reader, world, object, "zone", world_find_zone);
    server->deployment = read_reference(reader, world, object, "deployment",
                                        world_find_deployment);
    server->slots = (int)world_reader_integer(reader, object, &SLOTS);
    server->checks_fencing =
        world_reader_flag(reader, object, "checks_fencing", false);
    server->can_resume = world_reader_flag(reader, object, "can_resume", true);
    if (server->deployment != WORLD_NONE) {
        add_to_deployment(world, server->deployment, world->n_servers);
    }
    world->n_servers++;
}

static void
read_limits(struct world_reader *reader, struct world *world,
            const json_t *object)
{
    static const char *const MEMBERS[] = {
        "body_bytes",   "header_bytes", "deadline_ms",
        "silence_ms",   "retry_ratio",  "max_deadline_ms",
        "max_attempts", "hedge_ratio",  NULL};
    static const struct world_integer_field BODY = {"body_bytes", 1024,
                                                    1 << 30, 4194304};
    static const struct world_integer_field HEADER = {"header_bytes", 1024,
                                                      1 << 20, 16384};
    static const struct world_integer_field DEADLINE = {"deadline_ms", 1,
                                                        86400000, 60000};
    static const struct world_integer_field MAX_DEADLINE = {
        "max_deadline_ms", 1, 86400000, 600000};
    static const struct world_integer_field SILENCE = {"silence_ms", 100,
                                                       600000, 3000};
    static const struct world_number_field RETRY = {"retry_ratio", 0, 1, 0.1};
    static const struct world_number_field HEDGE = {"hedge_ratio", 0, 1, 0.05};
    static const struct world_integer_field ATTEMPTS = {"max_attempts", 1, 8,
                                                        3};
    struct world_limits *limits = &world->limits;

    if (object != NULL &&
        !world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    limits->body_bytes = world_reader_integer(reader, object, &BODY);
    limits->header_bytes = world_reader_integer(reader, object, &HEADER);
    limits->deadline_ms = world_reader_integer(reader, object, &DEADLINE);
    limits->max_deadline_ms =
        world_reader_integer(reader, object, &MAX_DEADLINE);
    limits->silence_ms = world_reader_integer(reader, object, &SILENCE);
    limits->retry_ratio = world_reader_number(reader, object, &RETRY);
    limits->hedge_ratio = world_reader_number(reader, object, &HEDGE);
    limits->max_attempts =
        (int)world_reader_integer(reader, object, &ATTEMPTS);
    if (limits->deadline_ms > limits->max_deadline_ms) {
        world_reader_report_member(reader, "deadline_ms",
                                   "exceeds max_deadline_ms");
    }
}

static void
read_batch(struct world_reader *reader, struct world *world,
           const json_t *object)
{
    static const char *const MEMBERS[] = {
        "chunk_bytes", "file_bytes", "max_items", "shard_items", "item_tries",
        "retention_s", "commit_ms",  "lease_s",   NULL};
    static const struct world_integer_field CHUNK = {"chunk_bytes", 4096,
                                                     64 << 20, 1048576};
    static const struct world_integer_field FILE_SIZE = {"file_bytes", 4096,
                                                         MAX_BYTES, 268435456};
    static const struct world_integer_field ITEMS = {"max_items", 1, 10000000,
                                                     590000};
    static const struct world_integer_field SHARD = {"shard_items", 1, 1000000,
                                                     5000};
    static const struct world_integer_field TRIES = {"item_tries", 1, 100, 3};
    static const struct world_integer_field RETENTION = {"retention_s", 1,
                                                         31536000, 604800};
    static const struct world_integer_field COMMIT = {"commit_ms", 50, 60000,
                                                      1000};
    static const struct world_integer_field LEASE = {"lease_s", 1, 600, 5};
    struct world_batch *batch = &world->batch;

    if (object != NULL &&
        !world_reader_check_members(reader, object, MEMBERS)) {
        return;
    }
    batch->chunk_bytes = world_reader_integer(reader, object, &CHUNK);
    batch->file_bytes = world_reader_integer(reader, object, &FILE_SIZE);
    batch->max_items = (int)world_reader_integer(reader, object, &ITEMS);
    batch->shard_items = (int)world_reader_integer(reader, object, &SHARD);
    batch->item_tries = (int)world_reader_integer(reader, object, &TRIES);
    batch->retention_s = world_reader_integer(reader, object, &RETENTION);
    batch->commit_ms = world_reader_integer(reader, object, &COMMIT);
    batch->lease_s = world_reader_integer(reader, object, &LEASE);
}

static void
read_each(struct world_reader *reader, struct world *world, const char *name,
          const json_t *array,
          void (*read)(struct world_reader *reader, struct world *world,
                       const json_t *object))
{
    for (size_t i = 0; i < json_array_size(array); i++) {
        size_t mark = world_reader_enter(reader, "%s[%zu]", name, i);
        read(reader, world, json_array_get(array, i));
        world_reader_leave(reader, mark);
    }
}

static void
read_header(struct world_reader *reader, struct world *world,
            const json_t *root)
{
    static const struct world_integer_field FORMAT = {"format", WORLD_FORMAT,
                                                      WORLD_FORMAT, 0};

    if (json_object_get(root, "format") == NULL) {
        world_reader_report_member(reader, "format", "missing");
    }
    world_reader_integer(reader, root, &FORMAT);
    world->environment =
        world_reader_text(reader, root, "environment", WORLD_TEXT_NAME, "");
    if (*world->environment != '\0' &&
        strcmp(world->environment, "trial") != 0 &&
        strcmp(world->environment, "production") != 0) {
        world_reader_report_member(reader, "environment",
                                   "must be \"trial\" or \"production\"");
    }
}

static void
read_arrays(struct world_reader *reader, struct world *world,
            const json_t *root)
{
    json_t *regions = world_reader_array(reader, root, "regions");
    json_t *links = world_reader_array(reader, root, "links");
    json_t *operators = world_reader_array(reader, root, "operators");
    json_t *deployments = world_reader_array(reader, root, "deployments");
    json_t *servers = world_reader_array(reader, root, "servers");

    if (json_array_size(regions) == 0) {
        world_reader_report_member(reader, "regions",
                                   "must have at least one element");
    }
    world->regions = g_new0(struct world_region, json_array_size(regions));
    world->links = g_new0(struct world_link, json_array_size(links));
    world->operators =
        g_new0(struct world_operator, json_array_size(operators));
    world->deployments =
        g_new0(struct world_deployment, json_array_size(deployments));
    world->servers = g_new0(struct world_server, json_array_size(servers));
    read_each(reader, world, "regions", regions, read_region);
    read_each(reader, world, "links", links, read_link);
    read_each(reader, world, "operators", operators, world_read_operator);
    read_each(reader, world, "deployments", deployments,
              world_read_deployment);
    read_each(reader, world, "servers", servers, read_server);
}

/* Checks min_ready, which needs the number of servers and so the complete
 * document. */
static void
check_min_ready(struct world_reader *reader, const struct world *world)
{
    for (int i = 0; i < world->n_deployments; i++) {
        const struct world_deployment *deployment = &world->deployments[i];
        if (deployment->min_ready > MAX(deployment->n_servers, 1)) {
            size_t mark = world_reader_enter(reader, "deployments[%d]", i);
            world_reader_report_member(reader, "min_ready",
                                       "exceeds the deployment's %d servers",
                                       deployment->n_servers);
            world_reader_leave(reader, mark);
        }
    }
}

static void
read_root(struct world_reader *reader, struct world *world, const json_t *root)
{
    static const char *const MEMBERS[] = {
        "format",      "environment", "regions", "links", "operators",
        "deployments", "servers",     "limits",  "batch", NULL};
    size_t mark;

    if (!world_reader_check_members(reader, root, MEMBERS)) {
        return;
    }
    read_header(reader, world, root);
    read_arrays(reader, world, root);
    mark = world_reader_enter(reader, "limits");
    read_limits(reader, world, json_object_get(root, "limits"));
    world_reader_leave(reader, mark);
    mark = world_reader_enter(reader, "batch");
    read_batch(reader, world, json_object_get(root, "batch"));
    world_reader_leave(reader, mark);
    check_min_ready(reader, world);
}

/* Parses and checks a document.  Returns a world with one reference, or NULL
 * after adding all problems of the document to `problems`. */
struct world *
world_parse(const char *text, size_t length, struct world_problems *problems)
{
    json_error_t error;
    struct world_reader reader;
    json_t *root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &error);
    guint n_before = problems->all->len;

    world_reader_init(&reader, problems);
    if (root == NULL) {
        world_reader_report(&reader, "line %d, column %d: %s", error.line,
                            error.column, error.text);
        world_reader_finish(&reader);
        return NULL;
    }
    struct world *world = g_new0(struct world, 1);
    world->references = 1;
    world->text = g_strndup(text, length);
    read_root(&reader, world, root);
    world_reader_finish(&reader);
    json_decref(root);
    if (problems->all->len > n_before) {
        world_unref(world);
        return NULL;
    }
    world_index_keys(world);
    world_make_pools(world);
    return world;
}
