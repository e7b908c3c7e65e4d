/*
 * keyring: the API keys of a site's operators.  A keyring stores keyed hashes
 * of the keys, not the keys.
 *
 *     struct world_keyring *keyring = world_keyring_new();
 *     world_keyring_add(keyring, key, operator_index);
 *     int operator_index = world_keyring_find(keyring, header);
 *     world_keyring_unref(keyring);
 *
 * Worlds and the site that they were built from share a keyring by reference
 * count.  Once shared it must not be changed; then any thread may read it.
 */
#ifndef CARDAMOM_WORLD_KEYRING_H
#define CARDAMOM_WORLD_KEYRING_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct world_keyring;

struct world_keyring *world_keyring_new(void);
struct world_keyring *world_keyring_ref(struct world_keyring *keyring);
void world_keyring_unref(struct world_keyring *keyring);
bool world_keyring_add(struct world_keyring *keyring, const char *key,
                       int operator_index);
bool world_keyring_has_operator(const struct world_keyring *keyring,
                                int operator_index);
int world_keyring_find(const struct world_keyring *keyring, const char *key);

#ifdef __cplusplus
}
#endif

#endif
