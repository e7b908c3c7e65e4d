/*
 * chart: line charts in SVG, as load reports need them.
 *
 *     chart_page_begin(svg, width, height, "page title");
 *     chart_begin(&chart, svg, left, top, "title", "unit of x", "unit of y");
 *     chart_add(&chart, "run A", points, n_points, colour, is_dashed);
 *     chart_end(&chart);
 *     chart_page_end(svg);
 *
 * Lengths and positions on the page are in SVG pixels.  The axes are scaled
 * to the points of all lines.
 */
#ifndef CARDAMOM_CTL_CHART_H
#define CARDAMOM_CTL_CHART_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CHART_WIDTH = 460, CHART_HEIGHT = 280, CHART_MAX_LINES = 8 };

struct chart_point {
    double x;
    double y;
};

struct chart_line {
    char *name; /* in the legend */
    struct chart_point *points;
    int n_points;
    int colour; /* index into the palette */
    bool is_dashed;
};

struct chart {
    GString *svg;
    double left;
    double top;
    const char *title;
    const char *x_unit;
    const char *y_unit;
    bool is_log;      /* logarithmic y axis */
    bool is_quantile; /* x is a quantile, 0 to 1, on a -log10(1 - x) axis */
    struct chart_line lines[CHART_MAX_LINES];
    int n_lines;
};

void chart_page_begin(GString *svg, int width, int height, const char *title);
void chart_page_end(GString *svg);
void chart_begin(struct chart *chart, GString *svg, double left, double top,
                 const char *title, const char *x_unit, const char *y_unit);
void chart_add(struct chart *chart, const char *name,
               const struct chart_point *points, int n_points, int colour,
               bool is_dashed);
void chart_end(struct chart *chart);

#ifdef __cplusplus
}
#endif

#endif
