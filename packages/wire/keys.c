#include "wire/wire_private.h"

#include <string.h>
#include <sys/stat.h>
#include <zmq.h>

enum {
    KEY_CHECK_MS = 1000, /* time between checks of the key files */
    RAW_KEY_BYTES = 32,
};

/* A line of the peers file: a key and the addresses that it belongs to, if
 * any are listed. */
struct peer_key {
    char text[WIRE_KEY_SIZE];
    char raw[RAW_KEY_BYTES];
    char **addresses;
};

struct key_set {
    char own_public[WIRE_KEY_SIZE];
    char own_secret[WIRE_KEY_SIZE];
    GArray *peers; /* of struct peer_key */
};

struct file_stamp {
    int64_t mtime_ns;
    int64_t size;
    uint64_t inode;
};

struct wire_keys {
    const char *paths[3]; /* public, secret, peers */
    struct file_stamp stamps[3];
    struct key_set set;
    int64_t next_check_ms;
};

static void
clear_peer_key(gpointer data)
{
    g_strfreev(((struct peer_key *)data)->addresses);
}

static void
key_set_init(struct key_set *set)
{
    memset(set, 0, sizeof(*set));
    set->peers = g_array_new(FALSE, TRUE, sizeof(struct peer_key));
    g_array_set_clear_func(set->peers, clear_peer_key);
}

static void
key_set_finish(struct key_set *set)
{
    g_array_free(set->peers, TRUE);
    memset(set, 0, sizeof(*set));
}

static bool
parse_key(const char *text, char out[WIRE_KEY_SIZE], char raw[RAW_KEY_BYTES])
{
    uint8_t decoded[RAW_KEY_BYTES];

    if (strlen(text) != WIRE_KEY_SIZE - 1 ||
        zmq_z85_decode(decoded, text) == NULL) {
        return false;
    }
    g_strlcpy(out, text, WIRE_KEY_SIZE);
    if (raw != NULL) {
        memcpy(raw, decoded, RAW_KEY_BYTES);
    }
    return true;
}

static bool
load_own_key(const char *path, char out[WIRE_KEY_SIZE], struct base_error *err)
{
    GString *text = g_string_new(NULL);
    bool is_ok = base_read_file(path, text, err);

    if (is_ok && !parse_key(g_strstrip(text->str), out, NULL)) {
        base_error_set(err, BASE_INVALID,
                       "%s: not a CURVE key (40 characters of Z85)", path);
        is_ok = false;
    }
    /* The text may be the secret key. */
    memset(text->str, 0, text->len);
    g_string_free(text, TRUE);
    return is_ok;
}

static bool
parse_peer_line(char *line, GArray *peers)
{
    struct peer_key key = {{0}, {0}, NULL};
    char **words;
    bool is_ok;

    g_strstrip(line);
    /* A comment is "#" and a blank, since a Z85 key may begin with "#". */
    if (line[0] == '\0' || g_str_has_prefix(line, "# ")) {
        return true;
    }
    words = g_strsplit_set(line, " \t", -1);
    is_ok = parse_key(words[0], key.text, key.raw);
    if (is_ok) {
        key.addresses = g_strdupv(words + 1);
        g_array_append_val(peers, key);
    }
    g_strfreev(words);
    return is_ok;
}

static bool
load_peers(const char *path, GArray *peers, struct base_error *err)
{
    GString *text = g_string_new(NULL);
    bool is_ok = base_read_file(path, text, err);
    char **lines = g_strsplit(text->str, "\n", -1);

    for (int i = 0; is_ok && lines[i] != NULL; i++) {
        if (!parse_peer_line(lines[i], peers)) {
            base_error_set(err, BASE_INVALID,
                           "%s:%d: not a CURVE key (40 characters of Z85)",
                           path, i + 1);
            is_ok = false;
        }
    }
    g_strfreev(lines);
    g_string_free(text, TRUE);
    return is_ok;
}

static bool
is_key_pair(const struct key_set *set)
{
    char derived[WIRE_KEY_SIZE];
    return zmq_curve_public(derived, set->own_secret) == 0 &&
           strcmp(derived, set->own_public) == 0;
}

static bool
load_set(const struct wire_keys *keys, struct key_set *set,
         struct base_error *err)
{
    key_set_init(set);
    if (load_own_key(keys->paths[0], set->own_public, err) &&
        load_own_key(keys->paths[1], set->own_secret, err) &&
        load_peers(keys->paths[2], set->peers, err)) {
        if (is_key_pair(set)) {
            return true;
        }
        base_error_set(err, BASE_INVALID, "%s and %s are not a CURVE key pair",
                       keys->paths[0], keys->paths[1]);
    }
    key_set_finish(set);
    return false;
}

static bool
read_stamps(const struct wire_keys *keys, struct file_stamp stamps[3])
{
    memset(stamps, 0, 3 * sizeof(stamps[0]));
    for (int i = 0; i < 3; i++) {
        struct stat info;
        if (stat(keys->paths[i], &info) != 0) {
            return false;
        }
        stamps[i].mtime_ns =
            (int64_t)info.st_mtim.tv_sec * 1000000000 + info.st_mtim.tv_nsec;
        stamps[i].size = info.st_size;
        stamps[i].inode = info.st_ino;
    }
    return true;
}

/* Loads the three key files.  Returns NULL on failure, with BASE_INVALID,
 * BASE_NOT_FOUND or BASE_UNAVAILABLE. */
struct wire_keys *
wire_keys_open(const struct wire_endpoint_desc *desc, struct base_error *err)
{
    struct wire_keys *keys = g_new0(struct wire_keys, 1);

    keys->paths[0] = desc->public_key_file;
    keys->paths[1] = desc->secret_key_file;
    keys->paths[2] = desc->peer_keys_file;
    for (int i = 0; i < 3; i++) {
        if (keys->paths[i] == NULL) {
            base_error_set(
                err, BASE_INVALID,
                "CURVE needs the files of the public key, the secret key "
                "and the peers' keys; one is not set");
            g_free(keys);
            return NULL;
        }
    }
    read_stamps(keys, keys->stamps);
    if (!load_set(keys, &keys->set, err)) {
        g_free(keys);
        return NULL;
    }
    return keys;
}

/* Frees the keys; NULL is allowed. */
void
wire_keys_free(struct wire_keys *keys)
{
    if (keys != NULL) {
        key_set_finish(&keys->set);
        g_free(keys);
    }
}

static bool
has_peer(const struct key_set *set, const char raw[RAW_KEY_BYTES])
{
    for (guint i = 0; i < set->peers->len; i++) {
        const struct peer_key *key =
            &g_array_index(set->peers, struct peer_key, i);
        if (memcmp(key->raw, raw, RAW_KEY_BYTES) == 0) {
            return true;
        }
    }
    return false;
}

/* Tells whether a peer's key was removed. */
static bool
has_lost_peer(const struct key_set *now, const struct key_set *before)
{
    for (guint i = 0; i < before->peers->len; i++) {
        if (!has_peer(now,
                      g_array_index(before->peers, struct peer_key, i).raw)) {
            return true;
        }
    }
    return false;
}

/* Reloads the files if they changed, at most once a second.  If they can't be
 * used, this is logged and the current keys stay in use. */
enum wire_keys_change
wire_keys_poll(struct wire_keys *keys, int64_t now_ms)
{
    struct file_stamp stamps[3];
    struct key_set loaded;
    struct base_error err = {0};
    enum wire_keys_change change = WIRE_KEYS_ADDED;

    if (now_ms < keys->next_check_ms) {
        return WIRE_KEYS_SAME;
    }
    keys->next_check_ms = now_ms + KEY_CHECK_MS;
    if (!read_stamps(keys, stamps) ||
        memcmp(stamps, keys->stamps, sizeof(stamps)) == 0) {
        return WIRE_KEYS_SAME;
    }
    if (!load_set(keys, &loaded, &err)) {
        /* Possibly only one file of the key pair has been written so far.  The
         * old stamps are kept, so the next poll tries again. */
        base_log_error("wire.keys_refused", &err, "path=%s", keys->paths[0]);
        return WIRE_KEYS_SAME;
    }
    memcpy(keys->stamps, stamps, sizeof(stamps));
    if (strcmp(loaded.own_public, keys->set.own_public) != 0 ||
        has_lost_peer(&loaded, &keys->set)) {
        change = WIRE_KEYS_CHANGED;
    }
    key_set_finish(&keys->set);
    keys->set = loaded;
    return change;
}

/* Configures a socket as a CURVE server with the node's own key pair. */
bool
wire_keys_set_server(const struct wire_keys *keys, void *socket)
{
    static const char DOMAIN_NAME[] = "cardamompick";
    int is_server = 1;

    return zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &is_server,
                          sizeof(is_server)) == 0 &&
           zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, DOMAIN_NAME,
                          strlen(DOMAIN_NAME)) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->set.own_secret,
                          WIRE_KEY_SIZE) == 0;
}

/* Returns one of the candidates for a peer's public key.  The order is: keys
 * listed with its address, this node's own key (all nodes may share one pair),
 * keys listed without an address.  `key_index` counts through them and wraps.
 */
static const char *
choose_peer_key(const struct key_set *set, const char *address, int key_index)
{
    GPtrArray *order = g_ptr_array_new();
    const char *chosen;

    for (guint i = 0; i < set->peers->len; i++) {
        struct peer_key *key = &g_array_index(set->peers, struct peer_key, i);
        if (g_strv_contains((const gchar *const *)key->addresses, address)) {
            g_ptr_array_add(order, key->text);
        }
    }
    g_ptr_array_add(order, (gpointer)set->own_public);
    for (guint i = 0; i < set->peers->len; i++) {
        struct peer_key *key = &g_array_index(set->peers, struct peer_key, i);
        if (key->addresses[0] == NULL) {
            g_ptr_array_add(order, key->text);
        }
    }
    chosen = g_ptr_array_index(order, (guint)key_index % order->len);
    g_ptr_array_free(order, TRUE);
    return chosen;
}

/* Sets the keys for the next zmq_connect on a socket.  `key_index` selects the
 * candidate for the peer's key. */
bool
wire_keys_set_client(const struct wire_keys *keys, void *socket,
                     const char *address, int key_index)
{
    const char *server = choose_peer_key(&keys->set, address, key_index);

    return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server,
                          WIRE_KEY_SIZE) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->set.own_public,
                          WIRE_KEY_SIZE) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->set.own_secret,
                          WIRE_KEY_SIZE) == 0;
}

enum { ZAP_FRAMES = 7, ZAP_FRAME_BYTES = 256 };

/* Receives one ZAP request.  Returns its number of frames, 0 if there is
 * none. */
static int
receive_zap(void *zap, char frames[ZAP_FRAMES][ZAP_FRAME_BYTES],
            int sizes[ZAP_FRAMES])
{
    int n_frames = 0;
    int has_more = 1;

    while (has_more) {
        char discarded[ZAP_FRAME_BYTES];
        char *to = n_frames < ZAP_FRAMES ? frames[n_frames] : discarded;
        int size = zmq_recv(zap, to, ZAP_FRAME_BYTES, ZMQ_DONTWAIT);
        size_t option_size = sizeof(has_more);
        if (size < 0) {
            return 0;
        }
        if (n_frames < ZAP_FRAMES) {
            sizes[n_frames] = MIN(size, ZAP_FRAME_BYTES);
        }
        n_frames++;
        zmq_getsockopt(zap, ZMQ_RCVMORE, &has_more, &option_size);
    }
    return n_frames;
}

static void
reply_zap(void *zap, const char *id, int id_size, bool is_known)
{
    const char *status = is_known ? "200" : "400";
    const char *reason = is_known ? "" : "unknown key";

    zmq_send(zap, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(zap, id, (size_t)id_size, ZMQ_SNDMORE);
    zmq_send(zap, status, 3, ZMQ_SNDMORE);
    zmq_send(zap, reason, strlen(reason), ZMQ_SNDMORE);
    zmq_send(zap, "", 0, ZMQ_SNDMORE);
    zmq_send(zap, "", 0, 0);
}

/* Logs at most once a second, since a refused peer keeps reconnecting. */
static void
log_refusal(struct wire_endpoint *endpoint, const char *from, int from_size)
{
    if (endpoint->now_ms < endpoint->next_refusal_log_ms) {
        return;
    }
    endpoint->next_refusal_log_ms = endpoint->now_ms + KEY_CHECK_MS;
    base_log(BASE_LOG_WARNING, "wire.key_refused", "from=%.*s",
             MIN(from_size, 64), from);
}

/* Answers ZeroMQ's authentication requests (ZAP): accepts a connection if its
 * key is in the peers file.  The frames of a request are version, request id,
 * domain, address, identity, mechanism and key. */
void
wire_keys_serve_zap(struct wire_endpoint *endpoint)
{
    char frames[ZAP_FRAMES][ZAP_FRAME_BYTES];
    int sizes[ZAP_FRAMES] = {0};
    int n_frames;

    while ((n_frames = receive_zap(endpoint->zap, frames, sizes)) > 0) {
        bool is_known = n_frames == ZAP_FRAMES && sizes[6] == RAW_KEY_BYTES &&
                        has_peer(&endpoint->keys->set, frames[6]);
        if (!is_known) {
            base_counter_add(endpoint->refused_keys, 1);
            log_refusal(endpoint, frames[3], sizes[3]);
        }
        reply_zap(endpoint->zap, frames[1], sizes[1], is_known);
    }
}

/* Creates a CURVE key pair and writes it to two files.  Only the file's owner
 * can read the secret key.  Fails with BASE_INTERNAL or BASE_UNAVAILABLE. */
bool
wire_keys_create(const char *public_path, const char *secret_path,
                 struct base_error *err)
{
    char public_key[WIRE_KEY_SIZE];
    char secret_key[WIRE_KEY_SIZE];
    GError *failure = NULL;
    bool is_ok;

    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        base_error_set(err, BASE_INTERNAL,
                       "this libzmq was built without CURVE");
        return false;
    }
    is_ok = g_file_set_contents_full(secret_path, secret_key, -1,
                                     G_FILE_SET_CONTENTS_CONSISTENT, 0600,
                                     &failure) &&
            g_file_set_contents_full(public_path, public_key, -1,
                                     G_FILE_SET_CONTENTS_CONSISTENT, 0644,
                                     &failure);
    memset(secret_key, 0, sizeof(secret_key));
    if (!is_ok) {
        base_error_set(err, BASE_UNAVAILABLE, "%s", failure->message);
        g_error_free(failure);
    }
    return is_ok;
}
