#include "ctl/ctl.h"

#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

enum { Z85_KEY_SIZE = 41, API_KEY_SIZE = 41 };

static bool
write_file(const char *path, const char *text, mode_t mode)
{
    GError *failure = NULL;
    bool is_ok = g_file_set_contents_full(path, text, (gssize)strlen(text),
                                          G_FILE_SET_CONTENTS_CONSISTENT,
                                          (int)mode, &failure);

    if (!is_ok) {
        fprintf(stderr, "cardamomctl keys: %s\n", failure->message);
        g_error_free(failure);
    }
    return is_ok;
}

/* Generates a node's key pair: STEM.pub goes into the peers file of every
 * node, STEM.sec stays on its own node. */
static int
make_node_keys(const char *stem)
{
    char public_key[Z85_KEY_SIZE];
    char secret_key[Z85_KEY_SIZE];
    char *public_path = g_strconcat(stem, ".pub", NULL);
    char *secret_path = g_strconcat(stem, ".sec", NULL);
    bool is_ok = zmq_curve_keypair(public_key, secret_key) == 0 &&
                 write_file(public_path, public_key, 0644) &&
                 write_file(secret_path, secret_key, 0600);

    if (is_ok) {
        printf("%s\n", public_path);
    }
    sodium_memzero(secret_key, sizeof(secret_key));
    g_free(public_path);
    g_free(secret_path);
    return is_ok ? CTL_OK : CTL_FAILED;
}

/* Prints a new API key and its SHA-256 for the configuration document.  The
 * key is stored nowhere. */
static int
make_api_key(void)
{
    char key[API_KEY_SIZE];
    unsigned char hash[crypto_hash_sha256_BYTES];
    char hex[2 * crypto_hash_sha256_BYTES + 1];

    base_random_id(key, sizeof(key));
    crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    printf("key=%s\nsha256=%s\n", key, hex);
    return CTL_OK;
}

/* `cardamomctl keys node STEM | api`: generates keys for nodes and callers. */
int
ctl_keys(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return CTL_FAILED;
    }
    if (argc == 3 && strcmp(argv[1], "node") == 0) {
        return make_node_keys(argv[2]);
    }
    if (argc == 2 && strcmp(argv[1], "api") == 0) {
        return make_api_key();
    }
    fputs("usage: cardamomctl keys node STEM   (writes STEM.pub, STEM.sec)\n"
          "       cardamomctl keys api         (prints a key and its hash)\n"
          "Example: cardamomctl keys node /etc/cardamompick/n1\n",
          argc == 2 && strcmp(argv[1], "--help") == 0 ? stdout : stderr);
    return argc == 2 && strcmp(argv[1], "--help") == 0 ? CTL_OK : CTL_USAGE;
}
