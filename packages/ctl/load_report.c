#include "ctl/load_report.h"

#include <gsl/gsl_sort_double.h>
#include <gsl/gsl_statistics_double.h>
#include <inttypes.h>
#include <string.h>

static const char *const CLASS_NAMES[LOAD_N_CLASSES] = {"short", "long"};

/* Quantiles at which curves are sampled, closer together in the tail. */
static const double CURVE_QUANTILES[] = {0,   .05, .1,  .2,  .3,   .4,   .5,
                                         .6,  .7,  .75, .8,  .85,  .9,   .925,
                                         .95, .97, .98, .99, .995, .999, 1};

/* Samples of one duration, in ms. */
struct samples {
    GArray *values; /* double */
};

static void
samples_init(struct samples *samples)
{
    samples->values = g_array_new(FALSE, FALSE, sizeof(double));
}

static void
samples_add(struct samples *samples, double value)
{
    g_array_append_val(samples->values, value);
}

/* Returns the count, mean, quantiles and curve, and frees the samples. */
static json_t *
samples_to_json(struct samples *samples)
{
    double *values = (double *)(void *)samples->values->data;
    size_t n = samples->values->len;
    json_t *curve = json_array();
    json_t *out;

    if (n == 0) {
        out = json_pack("{s:i}", "count", 0);
    }
    else {
        gsl_sort(values, 1, n);
        for (size_t i = 0; i < G_N_ELEMENTS(CURVE_QUANTILES); i++) {
            double value = gsl_stats_quantile_from_sorted_data(
                values, 1, n, CURVE_QUANTILES[i]);
            json_array_append_new(
                curve, json_pack("[f,f]", CURVE_QUANTILES[i], value));
        }
        out = json_pack(
            "{s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:O}", "count", (json_int_t)n,
            "mean", gsl_stats_mean(values, 1, n), "p50",
            gsl_stats_quantile_from_sorted_data(values, 1, n, .5), "p90",
            gsl_stats_quantile_from_sorted_data(values, 1, n, .9), "p95",
            gsl_stats_quantile_from_sorted_data(values, 1, n, .95), "p99",
            gsl_stats_quantile_from_sorted_data(values, 1, n, .99), "p999",
            gsl_stats_quantile_from_sorted_data(values, 1, n, .999), "max",
            values[n - 1], "curve", curve);
    }
    json_decref(curve);
    g_array_free(samples->values, TRUE);
    return out;
}

/* Totals of one class, of one operator or of all requests. */
struct group {
    int64_t sent; /* requests that were due, sent or not */
    int64_t verdicts[LOAD_N_VERDICTS];
    int64_t tokens;
    struct samples first_token; /* from the planned start */
    struct samples completion;  /* from the planned start */
};

static void
group_init(struct group *group)
{
    memset(group, 0, sizeof(*group));
    samples_init(&group->first_token);
    samples_init(&group->completion);
}

static void
group_add(struct group *group, const struct load_record *record)
{
    group->sent++;
    group->verdicts[record->verdict]++;
    group->tokens += record->tokens;
    if (record->verdict != LOAD_OK) {
        return;
    }
    if (record->first_token_us > 0) {
        samples_add(&group->first_token,
                    (double)(record->first_token_us - record->intended_us) /
                        1000);
    }
    samples_add(&group->completion,
                (double)(record->end_us - record->intended_us) / 1000);
}

/* Returns the totals and frees the samples. */
static json_t *
group_to_json(struct group *group)
{
    json_t *out = json_pack("{s:I,s:I}", "sent", (json_int_t)group->sent,
                            "tokens", (json_int_t)group->tokens);

    for (int i = 0; i < LOAD_N_VERDICTS; i++) {
        json_object_set_new(out, load_verdict_name(i),
                            json_integer(group->verdicts[i]));
    }
    json_object_set_new(out, "first_token_ms",
                        samples_to_json(&group->first_token));
    json_object_set_new(out, "whole_ms", samples_to_json(&group->completion));
    return out;
}

static const struct load_record *
record_at(const struct load_client *client, guint i)
{
    return &g_array_index(client->records, struct load_record, i);
}

static json_t *
classes_to_json(const struct load_client *client)
{
    struct group groups[LOAD_N_CLASSES + 1];
    json_t *out = json_object();

    for (int i = 0; i <= LOAD_N_CLASSES; i++) {
        group_init(&groups[i]);
    }
    for (guint i = 0; i < client->records->len; i++) {
        const struct load_record *record = record_at(client, i);
        group_add(&groups[record->request.kind], record);
        group_add(&groups[LOAD_N_CLASSES], record);
    }
    for (int i = 0; i < LOAD_N_CLASSES; i++) {
        json_object_set_new(out, CLASS_NAMES[i], group_to_json(&groups[i]));
    }
    json_object_set_new(out, "all", group_to_json(&groups[LOAD_N_CLASSES]));
    return out;
}

static json_t *
operators_to_json(const struct load_client *client)
{
    const GPtrArray *operators = client->options->settings.operators;
    struct group *groups = g_new0(struct group, operators->len);
    json_t *out = json_object();

    for (guint i = 0; i < operators->len; i++) {
        group_init(&groups[i]);
    }
    for (guint i = 0; i < client->records->len; i++) {
        const struct load_record *record = record_at(client, i);
        group_add(&groups[record->request.operator_index], record);
    }
    for (guint i = 0; i < operators->len; i++) {
        const struct load_operator *each = operators->pdata[i];
        json_object_set_new(out, each->name, group_to_json(&groups[i]));
    }
    g_free(groups);
    return out;
}

static json_t *
inter_token_to_json(const struct load_client *client)
{
    struct samples samples;

    samples_init(&samples);
    for (guint i = 0; i < client->gaps->len; i++) {
        samples_add(&samples, g_array_index(client->gaps, float, i));
    }
    return samples_to_json(&samples);
}

/* Totals of one second of the run. */
struct second {
    int sent;                   /* requests due in this second */
    int ended[LOAD_N_VERDICTS]; /* requests that ended in it */
    int tokens;                 /* of the requests that ended in it */
    struct samples first_token; /* of the requests due in it */
};

static int
second_of(const struct load_client *client, int64_t at_us)
{
    return (int)(MAX(at_us - client->start_us, 0) / 1000000);
}

static void
fill_seconds(const struct load_client *client, struct second *seconds)
{
    for (guint i = 0; i < client->records->len; i++) {
        const struct load_record *record = record_at(client, i);
        struct second *due = &seconds[second_of(client, record->intended_us)];
        struct second *end = &seconds[second_of(client, record->end_us)];
        due->sent++;
        end->ended[record->verdict]++;
        end->tokens += record->tokens;
        if (record->first_token_us > 0) {
            samples_add(
                &due->first_token,
                (double)(record->first_token_us - record->intended_us) / 1000);
        }
    }
}

static json_t *
timeline_to_json(const struct load_client *client)
{
    int64_t last_us = client->start_us;
    json_t *out = json_array();

    for (guint i = 0; i < client->records->len; i++) {
        last_us = MAX(last_us, record_at(client, i)->end_us);
    }
    int n = second_of(client, last_us) + 1;
    struct second *seconds = g_new0(struct second, (gsize)n);
    for (int i = 0; i < n; i++) {
        samples_init(&seconds[i].first_token);
    }
    fill_seconds(client, seconds);
    for (int i = 0; i < n; i++) {
        json_t *first = samples_to_json(&seconds[i].first_token);
        json_object_del(first, "curve");
        json_t *row = json_pack("{s:i,s:i,s:i,s:o}", "second", i, "sent",
                                seconds[i].sent, "tokens", seconds[i].tokens,
                                "first_token_ms", first);
        for (int v = 0; v < LOAD_N_VERDICTS; v++) {
            json_object_set_new(row, load_verdict_name(v),
                                json_integer(seconds[i].ended[v]));
        }
        json_array_append_new(out, row);
    }
    g_free(seconds);
    return out;
}

/* Makes the report; the caller owns it. */
json_t *
load_report_make(const struct load_client *client)
{
    const struct load_settings *settings = &client->options->settings;

    return json_pack(
        "{s:i,s:I,s:f,s:f,s:f,s:f,s:i,s:o,s:o,s:o,s:o}", "format", 1, "seed",
        (json_int_t)settings->seed, "rate", settings->rate, "seconds",
        settings->seconds, "burst_factor", settings->burst_factor,
        "long_share", settings->long_share, "most_open", client->peak_open,
        "classes", classes_to_json(client), "operators",
        operators_to_json(client), "inter_token_ms",
        inter_token_to_json(client), "timeline", timeline_to_json(client));
}

static json_t *
record_to_json(const struct load_client *client,
               const struct load_record *record)
{
    const struct load_request *request = &record->request;
    const struct load_operator *sender = g_ptr_array_index(
        client->options->settings.operators, request->operator_index);

    return json_pack(
        "{s:s,s:I,s:s,s:s,s:s,s:b,s:I,s:i,s:s,s:I,s:I,s:i,s:i,s:s}", "id",
        record->id, "number", (json_int_t)request->number, "operator",
        sender->name, "class", CLASS_NAMES[request->kind], "url",
        client->options->urls[request->url], "stream", request->is_stream,
        "intended_us", (json_int_t)record->intended_us, "status",
        record->status, "verdict", load_verdict_name(record->verdict),
        "first_token_us", (json_int_t)record->first_token_us, "end_us",
        (json_int_t)record->end_us, "tokens", record->tokens, "asked",
        request->tokens, "note", record->note);
}

/* Writes one JSON line for each request to path.  Times are on base_clock_us,
 * as in the logs of the stand-ins. */
bool
load_report_write_records(const struct load_client *client, const char *path,
                          struct base_error *err)
{
    FILE *file = fopen(path, "w");
    bool is_ok = file != NULL;

    for (guint i = 0; is_ok && i < client->records->len; i++) {
        json_t *line = record_to_json(client, record_at(client, i));
        is_ok = json_dumpf(line, file, JSON_COMPACT) == 0 &&
                fputc('\n', file) != EOF;
        json_decref(line);
    }
    if (file != NULL && fclose(file) != 0) {
        is_ok = false;
    }
    if (!is_ok) {
        base_error_set(err, BASE_UNAVAILABLE, "%s: can't write the file",
                       path);
    }
    return is_ok;
}

static double
number_at(const json_t *object, const char *name, const char *member)
{
    return json_number_value(
        json_object_get(json_object_get(object, name), member));
}

/* Appends the figures of all requests as key=value pairs on one line. */
void
load_report_summary(const json_t *report, GString *out)
{
    const json_t *all =
        json_object_get(json_object_get(report, "classes"), "all");

    g_string_append_printf(out, "sent=%" JSON_INTEGER_FORMAT,
                           json_integer_value(json_object_get(all, "sent")));
    for (int i = 0; i < LOAD_N_VERDICTS; i++) {
        const char *name = load_verdict_name(i);
        g_string_append_printf(out, " %s=%" JSON_INTEGER_FORMAT, name,
                               json_integer_value(json_object_get(all, name)));
    }
    g_string_append_printf(out,
                           " first_token_p50_ms=%.2f first_token_p99_ms=%.2f "
                           "inter_token_p95_ms=%.2f",
                           number_at(all, "first_token_ms", "p50"),
                           number_at(all, "first_token_ms", "p99"),
                           number_at(report, "inter_token_ms", "p95"));
}
