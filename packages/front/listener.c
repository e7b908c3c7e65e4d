#include "front/front_private.h"

#include <netinet/in.h>
#include <linux/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>

/* The library's HTTP server for callers of Cardamompick's own API, and
 * the context that all connections of the task share. */

enum {
    IDLE_TIMEOUT_S = 75, /* of a keep-alive connection without a request */
    HEAD_TIMEOUT_S = 20, /* for a request's head to arrive */
    LIBRARY_TIMEOUT_S = 3600, /* libwebsockets' own network timeout */
};

static struct front *
find_front(struct lws *wsi)
{
    return lws_context_user(lws_get_context(wsi));
}

/* Returns the bytes that the connection has received, as the kernel counts
 * them; 0 on an error. */
static uint64_t
count_received(struct lws *wsi)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);

    if (getsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_INFO, &info,
                   &size) != 0) {
        return 0;
    }
    return info.tcpi_bytes_received;
}

static int
on_request(struct lws *wsi, struct front_connection *connection)
{
    uint64_t received = count_received(wsi);

    if (connection == NULL) {
        connection = g_new0(struct front_connection, 1);
        lws_set_opaque_user_data(wsi, connection);
    }
    connection->request = front_request_new(find_front(wsi), wsi);
    connection->request->connection = connection;
    connection->request->received_bytes =
        (int64_t)(received - connection->counted_bytes);
    connection->counted_bytes = received;
    front_request_accept(connection->request);
    return 0;
}

/* Attributes all bytes received so far to this request: callers send the next
 * request only after the response, which has not been written yet. */
static void
on_body_end(struct lws *wsi, struct front_connection *connection)
{
    connection->counted_bytes = count_received(wsi);
    front_request_body_end(connection->request);
}

static void
on_destroyed(struct lws *wsi, struct front_connection *connection)
{
    if (connection == NULL) {
        return;
    }
    if (connection->request != NULL) {
        front_request_closed(connection->request);
    }
    lws_set_opaque_user_data(wsi, NULL);
    g_free(connection);
}

static int
on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct front_connection *connection =
        wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);
    bool has_request = connection != NULL && connection->request != NULL;

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return on_request(wsi, connection);
    case LWS_CALLBACK_HTTP_BODY:
        if (has_request) {
            front_request_body(connection->request, in, size);
        }
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (has_request) {
            on_body_end(wsi, connection);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return has_request ? front_request_writable(connection->request) : 0;
    case LWS_CALLBACK_CLOSED_HTTP:
        if (has_request) {
            front_request_closed(connection->request);
        }
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        on_destroyed(wsi, connection);
        return 0;
    default:
        return 0;
    }
}

static const struct lws_protocols PROTOCOLS[] = {
    {"http", on_event, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

/* Returns a hash of the metadata of both key files, which changes when either
 * file is replaced or modified. */
static uint64_t
hash_tls_files(const struct front *front)
{
    const char *files[] = {front->certificate_file, front->key_file};
    uint64_t hash = 0;
    struct stat status;

    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        if (files[i] != NULL && stat(files[i], &status) == 0) {
            int64_t seen[4] = {status.st_mtim.tv_sec, status.st_mtim.tv_nsec,
                               status.st_size, (int64_t)status.st_ino};
            hash = base_hash(seen, sizeof(seen), hash);
        }
    }
    return hash;
}

static bool
add_vhost(struct front *front, struct base_error *err)
{
    struct lws_context_creation_info info = {
        .port = front->port,
        .iface = front->address,
        .vhost_name = "callers",
        .protocols = PROTOCOLS,
        .server_string = "cardamompick",
        .alpn = "http/1.1",
        .keepalive_timeout = IDLE_TIMEOUT_S,
        .timeout_secs = LIBRARY_TIMEOUT_S,
        .timeout_secs_ah_idle = HEAD_TIMEOUT_S,
        /* With IPv6 enabled, the library ignores .iface. */
        .options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                   LWS_SERVER_OPTION_DISABLE_IPV6,
    };

    if (front->certificate_file != NULL) {
        info.ssl_cert_filepath = front->certificate_file;
        info.ssl_private_key_filepath = front->key_file;
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        front->tls_files_hash = hash_tls_files(front);
    }
    front->vhost = lws_create_vhost(front->lws, &info);
    if (front->vhost == NULL) {
        base_error_set(err, BASE_UNAVAILABLE, "can't listen on %s:%d%s",
                       front->address, front->port,
                       front->certificate_file
                           ? " with the configured TLS key files"
                           : "");
        return false;
    }
    front->port = lws_get_vhost_listen_port(front->vhost);
    return true;
}

static bool
add_listeners(struct front *front, const struct front_desc *desc,
              struct base_error *err)
{
    if (front->protocol == NULL) {
        return add_vhost(front, err);
    }
    for (int i = 0; i < desc->n_site_addresses; i++) {
        if (!front_raw_listen(front, &desc->site_addresses[i], err)) {
            return false;
        }
    }
    return true;
}

/* Creates the task's libwebsockets context with the vhosts that listen for
 * callers and the one that connects to backend servers. */
bool
front_listen(struct front *front, const struct front_desc *desc,
             struct base_error *err)
{
    struct lws_context_creation_info info = {.port = CONTEXT_PORT_NO_LISTEN};
    struct backends_desc backends = {
        .counters = front->metrics.counters,
        .source = front->source[0] != '\0' ? front->source : NULL,
    };

    lws_set_log_level(0, NULL);
    backends_prepare_info(&info);
    info.user = front;
    if (front->certificate_file != NULL) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
    front->lws = lws_create_context(&info);
    if (front->lws == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "no libwebsockets context could be created");
        return false;
    }
    if (!add_listeners(front, desc, err)) {
        return false;
    }
    backends.context = front->lws;
    return backends_init(&front->backends, &backends, err);
}

/* Returns whether the certificate and the key match.  This is checked first
 * because the library discards the keys in use before it finds a mismatch in
 * the new ones. */
static bool
is_key_pair(const char *certificate_file, const char *key_file)
{
    SSL_CTX *ssl_context = SSL_CTX_new(TLS_server_method());
    bool is_pair = ssl_context != NULL &&
                   SSL_CTX_use_certificate_chain_file(ssl_context,
                                                      certificate_file) == 1 &&
                   SSL_CTX_use_PrivateKey_file(ssl_context, key_file,
                                               SSL_FILETYPE_PEM) == 1 &&
                   SSL_CTX_check_private_key(ssl_context) == 1;

    SSL_CTX_free(ssl_context);
    ERR_clear_error();
    return is_pair;
}

/* Loads the key files again if they have changed.  New connections use them;
 * open ones continue with the old keys. */
void
front_check_tls(struct front *front)
{
    uint64_t hash;

    if (front->certificate_file == NULL) {
        return;
    }
    hash = hash_tls_files(front);
    if (hash == front->tls_files_hash) {
        return;
    }
    front->tls_files_hash = hash;
    bool is_ok = is_key_pair(front->certificate_file, front->key_file) &&
                 lws_tls_cert_updated(front->lws, front->certificate_file,
                                      front->key_file, NULL, 0, NULL, 0) == 0;
    base_counter_add(base_counter(front->metrics.counters,
                                  is_ok ? "tls_reloads_total"
                                        : "tls_reload_failures_total"),
                     1);
    base_log(is_ok ? BASE_LOG_NOTICE : BASE_LOG_ERROR, "front.tls_reloaded",
             "certificate=%s ok=%d", front->certificate_file, is_ok);
}
