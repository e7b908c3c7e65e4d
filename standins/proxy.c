/*
 * A TCP proxy that injects faults between processes, for tests and benches.
 *
 * Its first line of output is `port=N`, the control port.  Commands are lines
 * sent to that port; each gets one line as reply, which begins with "error="
 * if the command is not valid:
 *
 *   listen NAME ZONE IP:PORT TARGET_IP:PORT -> port=N
 *       accepts connections and forwards them to the target, which is in
 *       ZONE; port 0 is any free port
 *   pair FROM TO DELAY_US BYTES_PER_S
 *       sets delay and bandwidth between two zones in both directions;
 *       BYTES_PER_S 0 is unlimited
 *   split FROM TO on|off
 *       stops or resumes all traffic between two zones, without closing
 *       connections
 *   silence NAME
 *       stops all traffic on the listener's open connections for good; new
 *       connections are not affected
 *   cut NAME
 *       closes the listener's open connections
 *   lose NAME PERCENT
 *       for this share of new connections, closes the connection when the
 *       first bytes of the response arrive
 *   refuse NAME on|off
 *       closes new connections at once
 *   stats
 *       replies with the bytes sent between each two zones, as
 *       FROM-TO=BYTES ...
 *
 * The caller's zone is the third octet of its IP address, 127.0.ZONE.x.
 * Zone 0 has no delay or limit unless `pair` sets one.
 */
#include "base/base.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MAX_ZONES = 8,
    READ_SIZE = 65536,
    MAX_QUEUED_BYTES = 262144,
    MAX_EVENTS = 128,
    LINE_SIZE = 512,
};

enum watch_kind {
    WATCH_LISTENER,
    WATCH_ENDPOINT,
    WATCH_CONTROL,
    WATCH_COMMANDS
};

/* The first member of each struct that is registered with epoll. */
struct watch {
    enum watch_kind kind;
    int fd;
};

struct listener {
    struct watch watch;
    char name[64];
    int zone;
    struct sockaddr_in target;
    int lose_percent; /* see the command `lose` */
    bool refuses;     /* new connections are closed at once */
};

/* Bytes in transit; they are delivered at due_us or later. */
struct chunk {
    int64_t due_us;
    size_t size;
    size_t written;
    char bytes[];
};

struct connection;

/* One of the two sockets of a connection, and the bytes queued for it. */
struct endpoint {
    struct watch watch;
    struct connection *connection;
    GQueue out;    /* of struct chunk */
    size_t queued; /* bytes in `out` */
    bool is_connecting;
    bool wants_shutdown;     /* close our sending side after `out` */
    bool is_write_closed;    /* our sending side is shut down */
    bool is_read_closed;     /* end of input has been read */
    uint32_t watched_events; /* registered with epoll */
};

struct connection {
    struct endpoint caller;
    struct endpoint server;
    struct listener *listener;
    int from_zone;
    bool is_silent;
    bool loses_response;
    bool is_closed;
};

/* The link from one zone to another, in one direction. */
struct pair {
    int64_t delay_us;
    int64_t bytes_per_s;
    int64_t free_at_us; /* when all queued bytes will have been sent */
    int64_t bytes;      /* sent in total */
    bool is_split;      /* carries no traffic */
};

/* A control connection and the incomplete line received on it. */
struct commands {
    struct watch watch;
    GString *line;
};

struct proxy {
    int epoll;
    GPtrArray *listeners;
    GPtrArray *connections;
    GPtrArray *commands; /* open control connections */
    GRand *random;
    struct pair pairs[MAX_ZONES][MAX_ZONES]; /* [from][to] */
};

static volatile sig_atomic_t is_stopping;

static void
control_epoll(struct proxy *proxy, struct watch *watch, uint32_t events,
              int op)
{
    struct epoll_event event = {.events = events, .data.ptr = watch};
    epoll_ctl(proxy->epoll, op, watch->fd, &event);
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    char ip[32];
    const char *colon = strrchr(text, ':');

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int
open_listener(const struct sockaddr_in *address, int *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    struct sockaddr_in bound = {0};
    socklen_t size = sizeof(bound);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
        listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, (struct sockaddr *)&bound, &size);
    *port = ntohs(bound.sin_port);
    return fd;
}

/* Returns the zone of an address 127.0.ZONE.x, or 0 if ZONE is out of range.
 */
static int
zone_of(const struct sockaddr_in *from)
{
    int zone = (int)((ntohl(from->sin_addr.s_addr) >> 8) & 0xff);
    return zone < MAX_ZONES ? zone : 0;
}

static void
close_endpoint(struct endpoint *endpoint)
{
    close(endpoint->watch.fd);
    g_queue_clear_full(&endpoint->out, g_free);
}

static void
close_connection(struct connection *connection)
{
    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    close_endpoint(&connection->caller);
    close_endpoint(&connection->server);
}

/* Returns the link over which bytes reach this endpoint. */
static struct pair *
pair_towards(struct proxy *proxy, struct endpoint *to)
{
    struct connection *connection = to->connection;
    int caller_zone = connection->from_zone;
    int server_zone = connection->listener->zone;

    if (to == &connection->server) {
        return &proxy->pairs[caller_zone][server_zone];
    }
    return &proxy->pairs[server_zone][caller_zone];
}

static void
set_watch(struct proxy *proxy, struct endpoint *endpoint, uint32_t events)
{
    if (endpoint->watched_events != events) {
        endpoint->watched_events = events;
        control_epoll(proxy, &endpoint->watch, events, EPOLL_CTL_MOD);
    }
}

/*
 * Watches an endpoint for input while the queue of the other has room, and
 * for output while it connects or has a chunk that is due.
 */
static void
update_watch(struct proxy *proxy, struct endpoint *endpoint)
{
    struct connection *connection = endpoint->connection;
    struct endpoint *other = endpoint == &connection->caller
                                 ? &connection->server
                                 : &connection->caller;
    struct chunk *first = g_queue_peek_head(&endpoint->out);
    uint32_t events = 0;

    if (!endpoint->is_read_closed && other->queued < MAX_QUEUED_BYTES) {
        events |= EPOLLIN;
    }
    if (endpoint->is_connecting ||
        (first != NULL && first->due_us <= base_clock_us())) {
        events |= EPOLLOUT;
    }
    set_watch(proxy, endpoint, events);
}

/*
 * Queues a copy of the bytes for an endpoint, due after the delay and the
 * sending time of the link.
 */
static void
queue_chunk(struct proxy *proxy, struct endpoint *to, const char *bytes,
            size_t size)
{
    struct pair *pair = pair_towards(proxy, to);
    struct chunk *chunk = g_malloc(sizeof(*chunk) + size);
    int64_t now_us = base_clock_us();

    pair->bytes += (int64_t)size;
    chunk->due_us = now_us;
    if (pair->bytes_per_s > 0) {
        pair->free_at_us = MAX(pair->free_at_us, now_us) +
                           (int64_t)size * 1000000 / pair->bytes_per_s;
        chunk->due_us = pair->free_at_us;
    }
    chunk->due_us += pair->delay_us;
    chunk->size = size;
    chunk->written = 0;
    memcpy(chunk->bytes, bytes, size);
    to->queued += size;
    g_queue_push_tail(&to->out, chunk);
}

static void
read_from(struct proxy *proxy, struct endpoint *endpoint)
{
    struct connection *connection = endpoint->connection;
    bool is_from_server = endpoint == &connection->server;
    struct endpoint *other =
        is_from_server ? &connection->caller : &connection->server;
    char bytes[READ_SIZE];
    ssize_t size = read(endpoint->watch.fd, bytes, sizeof(bytes));

    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size < 0 ||
        (size > 0 && is_from_server && connection->loses_response)) {
        close_connection(connection);
        return;
    }
    if (size == 0) {
        endpoint->is_read_closed = true;
        other->wants_shutdown = true;
        return;
    }
    queue_chunk(proxy, other, bytes, (size_t)size);
}

static void
write_to(struct endpoint *endpoint)
{
    struct chunk *chunk;
    int64_t now_us = base_clock_us();

    while ((chunk = g_queue_peek_head(&endpoint->out)) != NULL &&
           chunk->due_us <= now_us) {
        ssize_t size = send(endpoint->watch.fd, chunk->bytes + chunk->written,
                            chunk->size - chunk->written, MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close_connection(endpoint->connection);
            }
            return;
        }
        chunk->written += (size_t)size;
        endpoint->queued -= (size_t)size;
        if (chunk->written == chunk->size) {
            g_free(g_queue_pop_head(&endpoint->out));
        }
    }
}

/* Passes on the end of input once all queued bytes have been written. */
static void
shutdown_if_drained(struct endpoint *endpoint)
{
    if (endpoint->wants_shutdown && !endpoint->is_write_closed &&
        endpoint->queued == 0 && !endpoint->is_connecting) {
        shutdown(endpoint->watch.fd, SHUT_WR);
        endpoint->is_write_closed = true;
    }
}

/* Returns whether a fault stops all traffic on the connection. */
static bool
is_blocked(struct proxy *proxy, struct connection *connection)
{
    return connection->is_silent ||
           proxy->pairs[connection->from_zone][connection->listener->zone]
               .is_split;
}

static void
serve_endpoint(struct proxy *proxy, struct endpoint *endpoint, uint32_t events)
{
    struct connection *connection = endpoint->connection;

    if (connection->is_closed) {
        return;
    }
    if (is_blocked(proxy, connection)) {
        set_watch(proxy, endpoint, 0);
        if (events & (EPOLLERR | EPOLLHUP)) {
            close_connection(connection);
        }
        return;
    }
    if (events & (EPOLLERR | EPOLLHUP)) {
        if (endpoint->is_connecting || (events & EPOLLERR)) {
            close_connection(connection);
            return;
        }
    }
    if (events & EPOLLOUT) {
        endpoint->is_connecting = false;
        write_to(endpoint);
    }
    if (!connection->is_closed && (events & (EPOLLIN | EPOLLHUP)) &&
        !endpoint->is_read_closed) {
        read_from(proxy, endpoint);
    }
}

/*
 * Writes the chunks that are due on all connections, closes and frees the
 * finished connections, and updates the epoll events of the others.
 */
static void
deliver_due(struct proxy *proxy)
{
    for (guint i = 0; i < proxy->connections->len; i++) {
        struct connection *connection =
            g_ptr_array_index(proxy->connections, i);
        struct endpoint *endpoints[] = {&connection->caller,
                                        &connection->server};
        if (!connection->is_closed && is_blocked(proxy, connection)) {
            continue;
        }
        for (int k = 0; k < 2 && !connection->is_closed; k++) {
            if (!endpoints[k]->is_connecting) {
                write_to(endpoints[k]);
            }
            if (!connection->is_closed) {
                shutdown_if_drained(endpoints[k]);
            }
        }
        if (!connection->is_closed && endpoints[0]->is_write_closed &&
            endpoints[1]->is_write_closed) {
            close_connection(connection);
        }
        if (connection->is_closed) {
            g_ptr_array_remove_index_fast(proxy->connections, i);
            i--;
            g_free(connection);
            continue;
        }
        update_watch(proxy, endpoints[0]);
        update_watch(proxy, endpoints[1]);
    }
}

static void
init_endpoint(struct endpoint *endpoint, struct connection *connection, int fd)
{
    int one = 1;

    endpoint->watch.kind = WATCH_ENDPOINT;
    endpoint->watch.fd = fd;
    endpoint->connection = connection;
    g_queue_init(&endpoint->out);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void
accept_from(struct proxy *proxy, struct listener *listener)
{
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    int fd = accept4(listener->watch.fd, (struct sockaddr *)&from, &size,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        return;
    }
    if (listener->refuses) {
        close(fd);
        return;
    }
    int out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct connection *connection = g_new0(struct connection, 1);
    connection->listener = listener;
    connection->from_zone = zone_of(&from);
    connection->loses_response =
        g_rand_int_range(proxy->random, 0, 100) < listener->lose_percent;
    init_endpoint(&connection->caller, connection, fd);
    init_endpoint(&connection->server, connection, out);
    connection->server.is_connecting = true;
    if (connect(out, (const struct sockaddr *)&listener->target,
                sizeof(listener->target)) != 0 &&
        errno != EINPROGRESS) {
        close_connection(connection);
        g_free(connection);
        return;
    }
    g_ptr_array_add(proxy->connections, connection);
    control_epoll(proxy, &connection->caller.watch, EPOLLIN, EPOLL_CTL_ADD);
    control_epoll(proxy, &connection->server.watch, EPOLLIN | EPOLLOUT,
                  EPOLL_CTL_ADD);
}

static struct listener *
find_listener(struct proxy *proxy, const char *name)
{
    for (guint i = 0; i < proxy->listeners->len; i++) {
        struct listener *listener = g_ptr_array_index(proxy->listeners, i);
        if (strcmp(listener->name, name) == 0) {
            return listener;
        }
    }
    return NULL;
}

static void
add_listener(struct proxy *proxy, char **words, GString *reply)
{
    struct listener *listener = g_new0(struct listener, 1);
    struct sockaddr_in address;
    int port = 0;

    listener->zone = atoi(words[2]);
    if (!parse_address(words[3], &address) ||
        !parse_address(words[4], &listener->target) || listener->zone < 0 ||
        listener->zone >= MAX_ZONES) {
        g_string_append(reply, "error=address");
        g_free(listener);
        return;
    }
    g_strlcpy(listener->name, words[1], sizeof(listener->name));
    listener->watch.kind = WATCH_LISTENER;
    listener->watch.fd = open_listener(&address, &port);
    if (listener->watch.fd < 0) {
        g_string_append(reply, "error=bind");
        g_free(listener);
        return;
    }
    g_ptr_array_add(proxy->listeners, listener);
    control_epoll(proxy, &listener->watch, EPOLLIN, EPOLL_CTL_ADD);
    g_string_append_printf(reply, "port=%d", port);
}

static void
set_pair(struct proxy *proxy, char **words)
{
    int from = atoi(words[1]) % MAX_ZONES;
    int to = atoi(words[2]) % MAX_ZONES;

    proxy->pairs[from][to].delay_us = atoll(words[3]);
    proxy->pairs[from][to].bytes_per_s = atoll(words[4]);
    proxy->pairs[to][from].delay_us = atoll(words[3]);
    proxy->pairs[to][from].bytes_per_s = atoll(words[4]);
}

static void
set_split(struct proxy *proxy, char **words)
{
    int from = atoi(words[1]) % MAX_ZONES;
    int to = atoi(words[2]) % MAX_ZONES;
    bool is_split = strcmp(words[3], "on") == 0;

    proxy->pairs[from][to].is_split = is_split;
    proxy->pairs[to][from].is_split = is_split;
}

/* Silences (if `silences` is true) or closes the listener's open connections.
 */
static void
break_connections(struct proxy *proxy, struct listener *listener,
                  bool silences)
{
    for (guint i = 0; i < proxy->connections->len; i++) {
        struct connection *connection =
            g_ptr_array_index(proxy->connections, i);
        if (connection->listener != listener) {
            continue;
        }
        if (silences) {
            connection->is_silent = true;
        }
        else {
            close_connection(connection);
        }
    }
}

static void
print_stats(struct proxy *proxy, GString *reply)
{
    for (int from = 0; from < MAX_ZONES; from++) {
        for (int to = 0; to < MAX_ZONES; to++) {
            if (proxy->pairs[from][to].bytes > 0) {
                g_string_append_printf(
                    reply, "%d-%d=%lld ", from, to,
                    (long long)proxy->pairs[from][to].bytes);
            }
        }
    }
}

static void
run_command(struct proxy *proxy, const char *line, GString *reply)
{
    char **words = g_strsplit(line, " ", 8);
    guint n = g_strv_length(words);
    struct listener *listener = n > 1 ? find_listener(proxy, words[1]) : NULL;

    if (n == 5 && strcmp(words[0], "listen") == 0) {
        add_listener(proxy, words, reply);
    }
    else if (n == 5 && strcmp(words[0], "pair") == 0) {
        set_pair(proxy, words);
    }
    else if (n == 4 && strcmp(words[0], "split") == 0) {
        set_split(proxy, words);
    }
    else if (n == 1 && strcmp(words[0], "stats") == 0) {
        print_stats(proxy, reply);
    }
    else if (listener == NULL) {
        g_string_append(reply, "error=command");
    }
    else if (strcmp(words[0], "silence") == 0) {
        break_connections(proxy, listener, true);
    }
    else if (strcmp(words[0], "cut") == 0) {
        break_connections(proxy, listener, false);
    }
    else if (n == 3 && strcmp(words[0], "lose") == 0) {
        listener->lose_percent = atoi(words[2]);
    }
    else if (n == 3 && strcmp(words[0], "refuse") == 0) {
        listener->refuses = strcmp(words[2], "on") == 0;
    }
    else {
        g_string_append(reply, "error=command");
    }
    g_strfreev(words);
    g_string_append_c(reply, '\n');
}

static void
accept_commands(struct proxy *proxy, struct watch *control)
{
    int fd = accept4(control->fd, NULL, NULL, SOCK_CLOEXEC);
    struct commands *commands;

    if (fd < 0) {
        return;
    }
    commands = g_new0(struct commands, 1);
    g_ptr_array_add(proxy->commands, commands);
    commands->watch.kind = WATCH_COMMANDS;
    commands->watch.fd = fd;
    commands->line = g_string_new(NULL);
    control_epoll(proxy, &commands->watch, EPOLLIN, EPOLL_CTL_ADD);
}

static void
serve_commands(struct proxy *proxy, struct commands *commands)
{
    char bytes[LINE_SIZE];
    ssize_t size = read(commands->watch.fd, bytes, sizeof(bytes));
    char *newline;

    if (size <= 0) {
        close(commands->watch.fd);
        g_ptr_array_remove_fast(proxy->commands, commands);
        g_string_free(commands->line, TRUE);
        g_free(commands);
        return;
    }
    g_string_append_len(commands->line, bytes, size);
    while ((newline = strchr(commands->line->str, '\n')) != NULL) {
        GString *reply = g_string_new(NULL);
        *newline = '\0';
        run_command(proxy, commands->line->str, reply);
        g_string_erase(commands->line, 0, newline - commands->line->str + 1);
        if (send(commands->watch.fd, reply->str, reply->len, MSG_NOSIGNAL) <
            0) {
            base_log(BASE_LOG_WARNING, "proxy.answer", "errno=%d", errno);
        }
        g_string_free(reply, TRUE);
    }
}

static void
serve_events(struct proxy *proxy, const struct epoll_event *events, int n)
{
    for (int i = 0; i < n; i++) {
        struct watch *watch = events[i].data.ptr;
        switch (watch->kind) {
        case WATCH_LISTENER:
            accept_from(proxy, (struct listener *)watch);
            break;
        case WATCH_ENDPOINT:
            serve_endpoint(proxy, (struct endpoint *)watch, events[i].events);
            break;
        case WATCH_CONTROL:
            accept_commands(proxy, watch);
            break;
        case WATCH_COMMANDS:
            serve_commands(proxy, (struct commands *)watch);
            break;
        }
    }
}

static void
on_signal(int number)
{
    is_stopping = 1;
}

int
main(int argc, char **argv)
{
    struct proxy proxy = {0};
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct watch control = {.kind = WATCH_CONTROL};
    struct epoll_event events[MAX_EVENTS];
    int port = 0;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    proxy.epoll = epoll_create1(EPOLL_CLOEXEC);
    proxy.listeners = g_ptr_array_new();
    proxy.connections = g_ptr_array_new();
    proxy.commands = g_ptr_array_new();
    proxy.random = g_rand_new_with_seed(argc > 1 ? (guint32)atoi(argv[1]) : 1);
    control.fd = open_listener(&address, &port);
    if (control.fd < 0) {
        fprintf(stderr, "can't listen on 127.0.0.1\n");
        return 1;
    }
    control_epoll(&proxy, &control, EPOLLIN, EPOLL_CTL_ADD);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    printf("port=%d\n", port);
    fflush(stdout);
    while (!is_stopping) {
        int n = epoll_wait(proxy.epoll, events, MAX_EVENTS, 1);
        serve_events(&proxy, events, n);
        deliver_due(&proxy);
    }
    return 0;
}
