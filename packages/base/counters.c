#include "base/base.h"

#include <inttypes.h>
#include <string.h>

static void
free_counter(gpointer data)
{
    struct base_counter *counter = data;
    g_free(counter->name);
    g_free(counter);
}

/* Prepares an empty set of counters. */
void
base_counters_init(struct base_counters *counters)
{
    pthread_mutex_init(&counters->lock, NULL);
    counters->all = g_ptr_array_new_with_free_func(free_counter);
    counters->by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

/* Frees the set and all its counters; pointers to them become invalid. */
void
base_counters_finish(struct base_counters *counters)
{
    g_hash_table_destroy(counters->by_name);
    g_ptr_array_free(counters->all, TRUE);
    pthread_mutex_destroy(&counters->lock);
}

static struct base_counter *
find_or_add(struct base_counters *counters, const char *name, bool is_gauge)
{
    struct base_counter *counter;

    pthread_mutex_lock(&counters->lock);
    counter = g_hash_table_lookup(counters->by_name, name);
    if (counter == NULL) {
        counter = g_new0(struct base_counter, 1);
        counter->name = g_strdup(name);
        counter->is_gauge = is_gauge;
        g_ptr_array_add(counters->all, counter);
        g_hash_table_insert(counters->by_name, counter->name, counter);
    }
    pthread_mutex_unlock(&counters->lock);
    return counter;
}

/* Returns the counter of this name and creates it on first use; any thread.
 * The counter belongs to the set.  The name may end in Prometheus labels:
 * `requests_total{class="online"}`. */
struct base_counter *
base_counter(struct base_counters *counters, const char *name)
{
    return find_or_add(counters, name, false);
}

/* Like base_counter, for a value that may decrease. */
struct base_counter *
base_gauge(struct base_counters *counters, const char *name)
{
    return find_or_add(counters, name, true);
}

/* Adds to a counter; any thread. */
void
base_counter_add(struct base_counter *counter, int64_t by)
{
    __atomic_fetch_add(&counter->value, by, __ATOMIC_RELAXED);
}

/* Sets a gauge; any thread. */
void
base_counter_set(struct base_counter *counter, int64_t value)
{
    __atomic_store_n(&counter->value, value, __ATOMIC_RELAXED);
}

/* Reads a counter; any thread. */
int64_t
base_counter_value(const struct base_counter *counter)
{
    return __atomic_load_n(&counter->value, __ATOMIC_RELAXED);
}

/* Appends all counters in the Prometheus text format. */
void
base_counters_render(struct base_counters *counters, GString *out)
{
    pthread_mutex_lock(&counters->lock);
    for (guint i = 0; i < counters->all->len; i++) {
        struct base_counter *counter = g_ptr_array_index(counters->all, i);
        size_t name_length = strcspn(counter->name, "{");
        g_string_append_printf(out, "# TYPE cardamompick_%.*s %s\n",
                               (int)name_length, counter->name,
                               counter->is_gauge ? "gauge" : "counter");
        g_string_append_printf(out, "cardamompick_%s %" PRId64 "\n",
                               counter->name, base_counter_value(counter));
    }
    pthread_mutex_unlock(&counters->lock);
}
