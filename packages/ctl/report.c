#include "ctl/chart.h"
#include "ctl/ctl.h"

#include <jansson.h>
#include <string.h>

enum {
    MAX_RUNS = 2,
    PAGE_TOP = 40,
    TABLE_STEP = 16,
    TABLE_HEIGHT = 110,
};

struct report_run {
    char *name;
    json_t *json;
};

struct report {
    struct report_run runs[MAX_RUNS];
    int n_runs;
};

static const char EXAMPLES[] =
    "Examples:\n"
    "  cardamomctl report run.json --out run.svg\n"
    "  cardamomctl report contracts.json naive.json --out both.svg\n"
    "  cardamomctl report run.json --out run.gp && gnuplot run.gp   # run.png";

static bool
load_run(struct report *report, const char *path)
{
    struct report_run *run = &report->runs[report->n_runs];
    json_error_t failure;

    run->json = json_load_file(path, 0, &failure);
    if (json_object_get(run->json, "classes") == NULL) {
        fprintf(
            stderr,
            "cardamomctl report: %s: not a report of `cardamomctl load`%s%s\n",
            path, run->json == NULL ? ": " : "",
            run->json == NULL ? failure.text : "");
        json_decref(run->json);
        return false;
    }
    run->name = g_path_get_basename(path);
    report->n_runs++;
    return true;
}

/* Returns a duration's quantile curve as chart points.  group is the JSON
 * object that contains the duration. */
static GArray *
curve_points(const json_t *group, const char *time)
{
    const json_t *curve =
        json_object_get(json_object_get(group, time), "curve");
    GArray *points = g_array_new(FALSE, FALSE, sizeof(struct chart_point));

    for (size_t i = 0; i < json_array_size(curve); i++) {
        const json_t *pair = json_array_get(curve, i);
        struct chart_point point = {
            json_number_value(json_array_get(pair, 0)),
            json_number_value(json_array_get(pair, 1))};
        g_array_append_val(points, point);
    }
    return points;
}

/* Returns one value per second of a run as chart points: the member of the
 * object `name`, or `name` itself if member is NULL. */
static GArray *
timeline_points(const json_t *run, const char *name, const char *member)
{
    const json_t *rows = json_object_get(run, "timeline");
    GArray *points = g_array_new(FALSE, FALSE, sizeof(struct chart_point));

    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *value = json_object_get(json_array_get(rows, i), name);
        if (member != NULL) {
            value = json_object_get(value, member);
        }
        struct chart_point point = {(double)i, json_number_value(value)};
        if (value != NULL) {
            g_array_append_val(points, point);
        }
    }
    return points;
}

static void
add_points(struct chart *chart, const char *run, const char *what,
           GArray *points, int colour, bool is_dashed)
{
    char *name = g_strdup_printf("%s: %s", run, what);

    chart_add(chart, name, (struct chart_point *)(void *)points->data,
              (int)points->len, colour, is_dashed);
    g_free(name);
    g_array_free(points, TRUE);
}

static void
draw_quantiles(const struct report *report, GString *svg, double left,
               double top)
{
    static const char *const CLASSES[] = {"short", "long"};
    struct chart chart;

    chart_begin(&chart, svg, left, top,
                "Time from planned start to first token", "quantile", "ms");
    chart.is_log = true;
    chart.is_quantile = true;
    for (int r = 0; r < report->n_runs; r++) {
        const struct report_run *run = &report->runs[r];
        const json_t *classes = json_object_get(run->json, "classes");
        for (size_t c = 0; c < G_N_ELEMENTS(CLASSES); c++) {
            GArray *points = curve_points(json_object_get(classes, CLASSES[c]),
                                          "first_token_ms");
            add_points(&chart, run->name, CLASSES[c], points, r, c == 1);
        }
    }
    chart_end(&chart);
}

static void
draw_inter_token(const struct report *report, GString *svg, double left,
                 double top)
{
    struct chart chart;

    chart_begin(&chart, svg, left, top, "Time between tokens", "quantile",
                "ms");
    chart.is_log = true;
    chart.is_quantile = true;
    for (int r = 0; r < report->n_runs; r++) {
        const struct report_run *run = &report->runs[r];
        GArray *points = curve_points(run->json, "inter_token_ms");
        add_points(&chart, run->name, "all", points, r, false);
    }
    chart_end(&chart);
}

static void
draw_throughput(const struct report *report, GString *svg, double left,
                double top)
{
    struct chart chart;

    chart_begin(&chart, svg, left, top, "Requests due, completed and refused",
                "second", "per second");
    for (int r = 0; r < report->n_runs; r++) {
        const struct report_run *run = &report->runs[r];
        add_points(&chart, run->name, "due",
                   timeline_points(run->json, "sent", NULL), r, true);
        add_points(&chart, run->name, "completed",
                   timeline_points(run->json, "ok", NULL), r, false);
        add_points(&chart, run->name, "refused",
                   timeline_points(run->json, "refused_no", NULL), r + 2,
                   false);
    }
    chart_end(&chart);
}

static void
draw_first_token_timeline(const struct report *report, GString *svg,
                          double left, double top)
{
    struct chart chart;

    chart_begin(&chart, svg, left, top, "Time to first token during the run",
                "second", "ms");
    chart.is_log = true;
    for (int r = 0; r < report->n_runs; r++) {
        const struct report_run *run = &report->runs[r];
        add_points(&chart, run->name, "p99",
                   timeline_points(run->json, "first_token_ms", "p99"), r,
                   false);
        add_points(&chart, run->name, "p50",
                   timeline_points(run->json, "first_token_ms", "p50"), r,
                   true);
    }
    chart_end(&chart);
}

static double
number_of(const json_t *group, const char *time, const char *member)
{
    return json_number_value(
        json_object_get(json_object_get(group, time), member));
}

static void
append_row(GString *out, const struct report_run *run, const char *name)
{
    const json_t *group =
        json_object_get(json_object_get(run->json, "classes"), name);
    static const char *const COUNTS[] = {"sent",   "ok",  "refused_no",
                                         "failed", "cut", "wrong"};

    g_string_append_printf(out, "%s %s:", run->name, name);
    for (size_t i = 0; i < G_N_ELEMENTS(COUNTS); i++) {
        g_string_append_printf(
            out, " %s=%" JSON_INTEGER_FORMAT, COUNTS[i],
            json_integer_value(json_object_get(group, COUNTS[i])));
    }
    g_string_append_printf(out, " first_token p50=%.1f p95=%.1f p99=%.1f ms",
                           number_of(group, "first_token_ms", "p50"),
                           number_of(group, "first_token_ms", "p95"),
                           number_of(group, "first_token_ms", "p99"));
}

static void
draw_table(const struct report *report, GString *svg, double top)
{
    static const char *const CLASSES[] = {"all", "short", "long"};
    int line = 0;

    for (int r = 0; r < report->n_runs; r++) {
        for (size_t c = 0; c < G_N_ELEMENTS(CLASSES); c++) {
            GString *row = g_string_new(NULL);
            append_row(row, &report->runs[r], CLASSES[c]);
            char *escaped = g_markup_escape_text(row->str, -1);
            g_string_append_printf(svg,
                                   "<text x=\"16\" y=\"%.1f\">%s</text>\n",
                                   top + TABLE_STEP * ++line, escaped);
            g_free(escaped);
            g_string_free(row, TRUE);
        }
    }
}

static void
draw_svg(const struct report *report, GString *svg)
{
    double below = PAGE_TOP + CHART_HEIGHT;

    chart_page_begin(svg, CHART_WIDTH * 2,
                     PAGE_TOP + CHART_HEIGHT * 2 + TABLE_HEIGHT,
                     "cardamompick load report");
    draw_quantiles(report, svg, 0, PAGE_TOP);
    draw_inter_token(report, svg, CHART_WIDTH, PAGE_TOP);
    draw_throughput(report, svg, 0, below);
    draw_first_token_timeline(report, svg, CHART_WIDTH, below);
    draw_table(report, svg, below + CHART_HEIGHT);
    chart_page_end(svg);
}

static void
append_plot(GString *out, const struct report *report, const char *title,
            const char *block)
{
    g_string_append_printf(out, "set title '%s'\nplot ", title);
    for (int r = 0; r < report->n_runs; r++) {
        g_string_append_printf(out, "%s$%s%d using 1:2 with lines title '%s'",
                               r > 0 ? ", " : "", block, r,
                               report->runs[r].name);
    }
    g_string_append(out, "\n");
}

static void
append_block(GString *out, const char *name, int run, GArray *points)
{
    g_string_append_printf(out, "$%s%d << END\n", name, run);
    for (guint i = 0; i < points->len; i++) {
        const struct chart_point *point =
            &g_array_index(points, struct chart_point, i);
        g_string_append_printf(out, "%g %g\n", point->x, point->y);
    }
    g_string_append(out, "END\n");
    g_array_free(points, TRUE);
}

/* Appends a gnuplot script that draws a PNG file next to the script. */
static void
write_gnuplot(const struct report *report, const char *path, GString *out)
{
    char *stem = g_strndup(path, strlen(path) - strlen(".gp"));

    for (int r = 0; r < report->n_runs; r++) {
        const json_t *run = report->runs[r].json;
        const json_t *all =
            json_object_get(json_object_get(run, "classes"), "all");
        append_block(out, "first", r, curve_points(all, "first_token_ms"));
        append_block(out, "ok", r, timeline_points(run, "ok", NULL));
    }
    g_string_append_printf(out,
                           "set terminal pngcairo size 920,700\n"
                           "set output '%s.png'\nset multiplot layout 2,1\n"
                           "set logscale y\n",
                           stem);
    append_plot(out, report, "Time to first token by quantile, ms", "first");
    g_string_append(out, "unset logscale y\n");
    append_plot(out, report, "Completed requests per second", "ok");
    g_string_append(out, "unset multiplot\n");
    g_free(stem);
}

static int
write_report(const struct report *report, const char *path)
{
    GString *out = g_string_new(NULL);
    GError *failure = NULL;
    int code = CTL_OK;

    if (g_str_has_suffix(path, ".svg")) {
        draw_svg(report, out);
    }
    else if (g_str_has_suffix(path, ".gp")) {
        write_gnuplot(report, path, out);
    }
    else {
        fputs("cardamomctl report: --out FILE must end in .svg, or in .gp for "
              "a gnuplot script that draws a PNG\n",
              stderr);
        code = CTL_USAGE;
    }
    if (code == CTL_OK &&
        !g_file_set_contents(path, out->str, (gssize)out->len, &failure)) {
        fprintf(stderr, "cardamomctl report: %s\n", failure->message);
        g_error_free(failure);
        code = CTL_FAILED;
    }
    g_string_free(out, TRUE);
    return code;
}

static void
print_table(const struct report *report)
{
    static const char *const CLASSES[] = {"all", "short", "long"};

    for (int r = 0; r < report->n_runs; r++) {
        for (size_t c = 0; c < G_N_ELEMENTS(CLASSES); c++) {
            GString *row = g_string_new(NULL);
            append_row(row, &report->runs[r], CLASSES[c]);
            puts(row->str);
            g_string_free(row, TRUE);
        }
    }
}

static int
run(char **paths, const char *out)
{
    struct report report = {0};
    int code = CTL_USAGE;
    guint n = paths != NULL ? g_strv_length(paths) : 0;

    if (n < 1 || n > MAX_RUNS) {
        fputs("cardamomctl report: one or two report files of `cardamomctl "
              "load` are needed\n",
              stderr);
        return code;
    }
    bool is_ok = true;
    for (guint i = 0; is_ok && i < n; i++) {
        is_ok = load_run(&report, paths[i]);
    }
    if (is_ok) {
        print_table(&report);
        code = out != NULL ? write_report(&report, out) : CTL_OK;
    }
    for (int i = 0; i < report.n_runs; i++) {
        json_decref(report.runs[i].json);
        g_free(report.runs[i].name);
    }
    return code;
}

/* `cardamomctl report`: prints and draws one or two load reports. */
int
ctl_report(int argc, char **argv)
{
    char **paths = NULL;
    char *out = NULL;
    const GOptionEntry entries[] = {
        {"out", 'o', 0, G_OPTION_ARG_FILENAME, &out,
         "drawing to write: .svg, or .gp for a gnuplot script", "FILE"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &paths, NULL,
         "A.json [B.json]"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *failure = NULL;
    int code = CTL_USAGE;

    g_option_context_set_summary(context,
                                 "Prints and draws one or two load reports.");
    g_option_context_set_description(context, EXAMPLES);
    g_option_context_add_main_entries(context, entries, NULL);
    if (g_option_context_parse(context, &argc, &argv, &failure)) {
        code = run(paths, out);
    }
    else {
        fprintf(stderr, "cardamomctl report: %s\n", failure->message);
        g_error_free(failure);
    }
    g_option_context_free(context);
    g_strfreev(paths);
    g_free(out);
    return code;
}
