/* Decodes arbitrary bytes as what the store, peers and servers send to the
 * jobs task: a job's head, results, a text, and the events of a server's
 * answer. The first byte is the size of the pieces in which the events arrive.
 * What is decoded must be complete and must encode again. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/events.h"
#include "jobs/jobs.pb-c.h"
#include "jobs/record.h"

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static void
decode_head(GBytes *bytes)
{
    struct base_error err = {0};
    struct jobs_head head;
    struct jobs_head again;
    GBytes *encoded;

    if (!jobs_head_decode("j", bytes, &head, &err)) {
        require(err.code == BASE_CORRUPT);
        return;
    }
    require(jobs_head_waiting_tokens(&head) >= 0);
    encoded = jobs_head_encode(&head);
    require(jobs_head_decode("j", encoded, &again, &err));
    require(strcmp(head.path, again.path) == 0);
    jobs_head_finish(&again);
    jobs_head_finish(&head);
    g_bytes_unref(encoded);
}

static void
decode_results(GBytes *bytes)
{
    GPtrArray *results = g_ptr_array_new_with_free_func(jobs_result_free);
    struct base_error err = {0};

    if (!jobs_results_decode(bytes, results, &err)) {
        require(err.code == BASE_CORRUPT);
    }
    for (guint i = 0; i < results->len; i++) {
        const struct jobs_result *result = results->pdata[i];
        require(result->text[result->size] == '\0');
    }
    g_ptr_array_free(results, TRUE);
}

static void
decode_text(GBytes *bytes)
{
    GPtrArray *pieces = g_ptr_array_new();
    struct base_error err = {0};
    GBytes *text;

    g_ptr_array_add(pieces, bytes);
    text = jobs_text_join(pieces, &err);
    if (text != NULL) {
        g_bytes_unref(text);
    }
    g_ptr_array_free(pieces, TRUE);
}

static void
feed_events(const char *data, size_t size, size_t step)
{
    struct jobs_events events;

    jobs_events_init(&events);
    jobs_events_begin(&events, false);
    for (size_t at = 0; at < size && !events.is_corrupt; at += step) {
        jobs_events_feed(&events, data + at, MIN(step, size - at));
    }
    require(events.count >= 0);
    jobs_events_finish(&events);
}

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer's names */

/* Sets the JSON library's hash seed, which is random by default, so that runs
 * are easier to repeat. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    json_object_seed(1);
    base_log_setup("fuzz", BASE_LOG_ERROR);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GBytes *bytes;

    if (size == 0) {
        return 0;
    }
    bytes = g_bytes_new_static(data + 1, size - 1);
    decode_head(bytes);
    decode_results(bytes);
    decode_text(bytes);
    feed_events((const char *)data + 1, size - 1, (size_t)data[0] + 1);
    jobs__call__free_unpacked(jobs__call__unpack(NULL, size - 1, data + 1),
                              NULL);
    jobs__reply__free_unpacked(jobs__reply__unpack(NULL, size - 1, data + 1),
                               NULL);
    g_bytes_unref(bytes);
    return 0;
}

/* NOLINTEND(readability-identifier-naming) */
