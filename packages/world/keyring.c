#include "world/keyring.h"

#include <sodium.h>
#include <string.h>

#include "world/world.h"

enum { HASH_BYTES = 32 };

/* A key's hash, and the operator that holds the key. */
struct held_key {
    unsigned char hash[HASH_BYTES];
    int operator_index;
};

struct world_keyring {
    int references; /* atomic */
    /* Key of the hash function, random in each keyring, so that the hashes
     * cannot be computed ahead. */
    unsigned char secret[crypto_generichash_KEYBYTES];
    GHashTable *held; /* set of struct held_key, by hash */
};

static guint
hash_held_key(gconstpointer key)
{
    guint hash;

    memcpy(&hash, ((const struct held_key *)key)->hash, sizeof(hash));
    return hash;
}

/* Compares in constant time. */
static gboolean
is_same_key(gconstpointer left, gconstpointer right)
{
    return sodium_memcmp(((const struct held_key *)left)->hash,
                         ((const struct held_key *)right)->hash,
                         HASH_BYTES) == 0;
}

static void
hash_key(const struct world_keyring *keyring, const char *key,
         struct held_key *out)
{
    crypto_generichash(out->hash, sizeof(out->hash),
                       (const unsigned char *)key, strlen(key),
                       keyring->secret, sizeof(keyring->secret));
}

/* Makes an empty keyring and returns one reference. */
struct world_keyring *
world_keyring_new(void)
{
    struct world_keyring *keyring = g_new0(struct world_keyring, 1);

    keyring->references = 1;
    randombytes_buf(keyring->secret, sizeof(keyring->secret));
    keyring->held =
        g_hash_table_new_full(hash_held_key, is_same_key, g_free, NULL);
    return keyring;
}

/* Adds a reference and returns the keyring; any thread. */
struct world_keyring *
world_keyring_ref(struct world_keyring *keyring)
{
    g_atomic_int_inc(&keyring->references);
    return keyring;
}

/* Releases a reference; the last one frees the keyring.  Any thread; NULL is
 * allowed. */
void
world_keyring_unref(struct world_keyring *keyring)
{
    if (keyring == NULL || !g_atomic_int_dec_and_test(&keyring->references)) {
        return;
    }
    g_hash_table_destroy(keyring->held);
    sodium_memzero(keyring->secret, sizeof(keyring->secret));
    g_free(keyring);
}

/* Adds a key of an operator.  Returns false, and changes nothing, if the key
 * is empty or another operator holds it. */
bool
world_keyring_add(struct world_keyring *keyring, const char *key,
                  int operator_index)
{
    struct held_key *held = g_new0(struct held_key, 1);
    const struct held_key *known;

    hash_key(keyring, key, held);
    held->operator_index = operator_index;
    known = g_hash_table_lookup(keyring->held, held);
    if (key[0] == '\0' || known != NULL) {
        g_free(held);
        return known != NULL && known->operator_index == operator_index;
    }
    g_hash_table_add(keyring->held, held);
    return true;
}

/* Returns the index of the operator that holds the key, or WORLD_NONE. */
int
world_keyring_find(const struct world_keyring *keyring, const char *key)
{
    struct held_key wanted;
    const struct held_key *held;

    hash_key(keyring, key, &wanted);
    held = g_hash_table_lookup(keyring->held, &wanted);
    return held == NULL ? WORLD_NONE : held->operator_index;
}

/* Returns whether an operator holds a key. */
bool
world_keyring_has_operator(const struct world_keyring *keyring,
                           int operator_index)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, keyring->held);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        if (((const struct held_key *)value)->operator_index ==
            operator_index) {
            return true;
        }
    }
    return false;
}
