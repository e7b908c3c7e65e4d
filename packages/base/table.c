#include "base/base.h"

#include <string.h>

enum { FIRST_CAPACITY = 16 };
#define NO_SLOT UINT32_MAX

/* Prepares an empty table for elements of the given size in bytes. */
void
base_table_init(struct base_table *table, size_t element_size)
{
    memset(table, 0, sizeof(*table));
    table->element_size = element_size;
    table->free_head = NO_SLOT;
}

/* Frees the table; all handles to its elements become invalid. */
void
base_table_finish(struct base_table *table)
{
    g_free(table->generations);
    g_free(table->next_free);
    g_free(table->elements);
    memset(table, 0, sizeof(*table));
}

/* An odd generation marks a slot in use, an even one a free slot. */
static bool
is_in_use(uint32_t generation)
{
    return (generation & 1U) != 0;
}

static void
grow(struct base_table *table)
{
    uint32_t old = table->capacity;
    uint32_t capacity = old == 0 ? FIRST_CAPACITY : old * 2;

    table->generations = g_renew(uint32_t, table->generations, capacity);
    table->next_free = g_renew(uint32_t, table->next_free, capacity);
    table->elements =
        g_realloc(table->elements, (size_t)capacity * table->element_size);
    for (uint32_t slot = capacity; slot-- > old;) {
        table->generations[slot] = 0;
        table->next_free[slot] = table->free_head;
        table->free_head = slot;
    }
    table->capacity = capacity;
}

/* Adds a zeroed element.  This invalidates pointers from base_table_get, but
 * not handles. */
struct base_handle
base_table_add(struct base_table *table)
{
    struct base_handle handle;

    if (table->free_head == NO_SLOT) {
        grow(table);
    }
    handle.slot = table->free_head;
    table->free_head = table->next_free[handle.slot];
    table->generations[handle.slot]++;
    handle.generation = table->generations[handle.slot];
    memset(table->elements + handle.slot * table->element_size, 0,
           table->element_size);
    table->count++;
    return handle;
}

/* Returns the element, or NULL if it was removed or the handle refers to no
 * element.  The pointer is valid until the next base_table_add. */
void *
base_table_get(const struct base_table *table, struct base_handle handle)
{
    if (handle.slot >= table->capacity || !is_in_use(handle.generation)) {
        return NULL;
    }
    if (table->generations[handle.slot] != handle.generation) {
        return NULL;
    }
    return table->elements + handle.slot * table->element_size;
}

/* Removes the element.  Returns false if the handle was stale already. */
bool
base_table_remove(struct base_table *table, struct base_handle handle)
{
    if (base_table_get(table, handle) == NULL) {
        return false;
    }
    table->generations[handle.slot]++;
    table->next_free[handle.slot] = table->free_head;
    table->free_head = handle.slot;
    table->count--;
    return true;
}

/* Iterates over the elements: set *cursor to 0 and call this until the
 * returned handle has generation 0.  The current element may be removed
 * during the iteration. */
struct base_handle
base_table_next(const struct base_table *table, uint32_t *cursor)
{
    struct base_handle none = {0, 0};

    while (*cursor < table->capacity) {
        uint32_t slot = (*cursor)++;
        if (is_in_use(table->generations[slot])) {
            struct base_handle handle = {slot, table->generations[slot]};
            return handle;
        }
    }
    return none;
}

/* Packs a handle into one number, for messages. */
uint64_t
base_handle_pack(struct base_handle handle)
{
    return ((uint64_t)handle.generation << 32) | handle.slot;
}

/* Unpacks a handle that base_handle_pack packed. */
struct base_handle
base_handle_unpack(uint64_t packed)
{
    struct base_handle handle = {(uint32_t)packed, (uint32_t)(packed >> 32)};
    return handle;
}
