#include "ctl/chart.h"

#include <math.h>
#include <string.h>

enum {
    PAD_LEFT = 58,
    PAD_RIGHT = 14,
    PAD_TOP = 34,
    PAD_BOTTOM = 44,
    TICKS = 5, /* intervals between grid lines */
    LEGEND_STEP = 14,
    NAME_SIZE = 96,
};

/* End of the quantile axis; the sample has too few values beyond it. */
static const double MAX_QUANTILE = 0.9995;
/* Smaller values are drawn as this on a logarithmic axis. */
static const double MIN_LOG_VALUE = 0.01;

static const char *const COLOURS[] = {"#1b6ca8", "#c8502b", "#3c8d40",
                                      "#8a4fa3", "#8c6d1f", "#555555"};

struct range {
    double low;
    double high;
};

/* Opens an SVG page with a title at its top. */
void
chart_page_begin(GString *svg, int width, int height, const char *title)
{
    char *escaped = g_markup_escape_text(title, -1);

    g_string_append_printf(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
        "height=\"%d\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" "
        "font-size=\"11\">\n<rect width=\"100%%\" height=\"100%%\" "
        "fill=\"white\"/>\n<text x=\"16\" y=\"24\" font-size=\"15\">%s"
        "</text>\n",
        width, height, width, height, escaped);
    g_free(escaped);
}

/* Closes the SVG page. */
void
chart_page_end(GString *svg)
{
    g_string_append(svg, "</svg>\n");
}

/* Starts a chart whose upper left corner is at (left, top).  The chart keeps
 * pointers to svg and the texts.  Set is_log and is_quantile afterwards. */
void
chart_begin(struct chart *chart, GString *svg, double left, double top,
            const char *title, const char *x_unit, const char *y_unit)
{
    memset(chart, 0, sizeof(*chart));
    chart->svg = svg;
    chart->left = left;
    chart->top = top;
    chart->title = title;
    chart->x_unit = x_unit;
    chart->y_unit = y_unit;
}

/* Adds a line with copies of name and points.  A line without points, or
 * beyond CHART_MAX_LINES, is ignored. */
void
chart_add(struct chart *chart, const char *name,
          const struct chart_point *points, int n_points, int colour,
          bool is_dashed)
{
    struct chart_line *line = &chart->lines[chart->n_lines];

    if (n_points == 0 || chart->n_lines == CHART_MAX_LINES) {
        return;
    }
    line->name = g_strdup(name);
    line->points = g_memdup2(points, sizeof(*points) * (gsize)n_points);
    line->n_points = n_points;
    line->colour = colour;
    line->is_dashed = is_dashed;
    chart->n_lines++;
}

static double
scaled_x(const struct chart *chart, double x)
{
    return chart->is_quantile ? -log10(1 - MIN(x, MAX_QUANTILE)) : x;
}

static double
scaled_y(const struct chart *chart, double y)
{
    return chart->is_log ? log10(MAX(y, MIN_LOG_VALUE)) : y;
}

static void
find_ranges(const struct chart *chart, struct range *x, struct range *y)
{
    *x = (struct range){INFINITY, -INFINITY};
    *y = (struct range){chart->is_log ? INFINITY : 0, -INFINITY};
    for (int l = 0; l < chart->n_lines; l++) {
        const struct chart_line *line = &chart->lines[l];
        for (int i = 0; i < line->n_points; i++) {
            double at_x = scaled_x(chart, line->points[i].x);
            double at_y = scaled_y(chart, line->points[i].y);
            x->low = MIN(x->low, at_x);
            x->high = MAX(x->high, at_x);
            y->low = MIN(y->low, at_y);
            y->high = MAX(y->high, at_y);
        }
    }
    x->high = MAX(x->high, x->low + 1e-9);
    y->high = MAX(y->high, y->low + 1e-9);
}

static double
page_x(const struct chart *chart, const struct range *x, double at)
{
    double width = CHART_WIDTH - PAD_LEFT - PAD_RIGHT;

    return chart->left + PAD_LEFT + (at - x->low) / (x->high - x->low) * width;
}

static double
page_y(const struct chart *chart, const struct range *y, double at)
{
    double height = CHART_HEIGHT - PAD_TOP - PAD_BOTTOM;

    return chart->top + CHART_HEIGHT - PAD_BOTTOM -
           (at - y->low) / (y->high - y->low) * height;
}

static void
draw_text(const struct chart *chart, double x, double y, const char *anchor,
          const char *text)
{
    char *escaped = g_markup_escape_text(text, -1);

    g_string_append_printf(chart->svg,
                           "<text x=\"%.1f\" y=\"%.1f\" "
                           "text-anchor=\"%s\">%s</text>\n",
                           x, y, anchor, escaped);
    g_free(escaped);
}

static void
draw_grid_line(const struct chart *chart, double x1, double y1, double x2,
               double y2)
{
    g_string_append_printf(chart->svg,
                           "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                           "y2=\"%.1f\" stroke=\"#ddd\"/>\n",
                           x1, y1, x2, y2);
}

static void
draw_y_axis(const struct chart *chart, const struct range *y)
{
    for (int i = 0; i <= TICKS; i++) {
        double at = y->low + (y->high - y->low) * i / TICKS;
        double label = chart->is_log ? pow(10, at) : at;
        double page_down = page_y(chart, y, at);
        char text[32];
        g_snprintf(text, sizeof(text), label < 10 ? "%.2g" : "%.0f", label);
        draw_grid_line(chart, chart->left + PAD_LEFT, page_down,
                       chart->left + CHART_WIDTH - PAD_RIGHT, page_down);
        draw_text(chart, chart->left + PAD_LEFT - 4, page_down + 4, "end",
                  text);
    }
}

static void
draw_x_tick(const struct chart *chart, const struct range *x, double at,
            const char *text)
{
    double page_across = page_x(chart, x, scaled_x(chart, at));
    double bottom = chart->top + CHART_HEIGHT - PAD_BOTTOM;

    draw_grid_line(chart, page_across, chart->top + PAD_TOP, page_across,
                   bottom);
    draw_text(chart, page_across, bottom + 14, "middle", text);
}

static void
draw_x_axis(const struct chart *chart, const struct range *x)
{
    static const double QUANTILES[] = {0, .5, .9, .95, .99, .999};
    char text[32];

    if (chart->is_quantile) {
        for (size_t i = 0; i < G_N_ELEMENTS(QUANTILES); i++) {
            g_snprintf(text, sizeof(text), "p%g", QUANTILES[i] * 100);
            draw_x_tick(chart, x, QUANTILES[i], text);
        }
        return;
    }
    for (int i = 0; i <= TICKS; i++) {
        double at = x->low + (x->high - x->low) * i / TICKS;
        g_snprintf(text, sizeof(text), "%.3g", at);
        draw_x_tick(chart, x, at, text);
    }
}

static void
draw_line(const struct chart *chart, const struct range *x,
          const struct range *y, const struct chart_line *line)
{
    const char *colour = COLOURS[line->colour % (int)G_N_ELEMENTS(COLOURS)];

    g_string_append_printf(chart->svg,
                           "<polyline fill=\"none\" stroke=\"%s\" "
                           "stroke-width=\"1.6\"%s points=\"",
                           colour,
                           line->is_dashed ? " stroke-dasharray=\"5 3\"" : "");
    for (int i = 0; i < line->n_points; i++) {
        g_string_append_printf(
            chart->svg, "%.1f,%.1f ",
            page_x(chart, x, scaled_x(chart, line->points[i].x)),
            page_y(chart, y, scaled_y(chart, line->points[i].y)));
    }
    g_string_append(chart->svg, "\"/>\n");
}

static void
draw_legend(const struct chart *chart)
{
    double left = chart->left + PAD_LEFT + 8;

    for (int i = 0; i < chart->n_lines; i++) {
        const struct chart_line *line = &chart->lines[i];
        double page_down = chart->top + PAD_TOP + 12 + LEGEND_STEP * i;
        g_string_append_printf(
            chart->svg,
            "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
            "stroke=\"%s\" stroke-width=\"2\"%s/>\n",
            left, page_down - 4, left + 18, page_down - 4,
            COLOURS[line->colour % (int)G_N_ELEMENTS(COLOURS)],
            line->is_dashed ? " stroke-dasharray=\"5 3\"" : "");
        draw_text(chart, left + 24, page_down, "start", line->name);
    }
}

/* Draws the chart and frees its lines. */
void
chart_end(struct chart *chart)
{
    char caption[NAME_SIZE * 2];
    struct range x;
    struct range y;

    find_ranges(chart, &x, &y);
    g_snprintf(caption, sizeof(caption), "%s (%s)", chart->title,
               chart->y_unit);
    draw_text(chart, chart->left + PAD_LEFT, chart->top + PAD_TOP - 10,
              "start", caption);
    draw_text(chart, chart->left + CHART_WIDTH - PAD_RIGHT,
              chart->top + CHART_HEIGHT - 8, "end", chart->x_unit);
    if (chart->n_lines == 0) {
        draw_text(chart, chart->left + CHART_WIDTH / 2.0,
                  chart->top + CHART_HEIGHT / 2.0, "middle", "no data");
        return;
    }
    draw_y_axis(chart, &y);
    draw_x_axis(chart, &x);
    for (int i = 0; i < chart->n_lines; i++) {
        draw_line(chart, &x, &y, &chart->lines[i]);
    }
    draw_legend(chart);
    for (int i = 0; i < chart->n_lines; i++) {
        g_free(chart->lines[i].name);
        g_free(chart->lines[i].points);
    }
}
