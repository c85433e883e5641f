/** Histogram of delays: see delay_histogram.h. */
#include "delay_histogram.h"

#include <gsl/gsl_histogram.h>

enum { BIN_COUNT = 60 };

/* The bins range from 1 ms to about 20 minutes. */
static const double FIRST_BIN_MS = 1, BIN_GROWTH_FACTOR = 1.27;

struct delay_histogram {
    gsl_histogram *bins;
    guint64 count;
};

struct delay_histogram *delay_histogram_new(void)
{
    struct delay_histogram *histogram = g_new0(struct delay_histogram, 1);
    double edges[BIN_COUNT + 1] = {0};
    for (int i = 1; i <= BIN_COUNT; i++)
        edges[i] = i == 1 ? FIRST_BIN_MS : edges[i - 1] * BIN_GROWTH_FACTOR;
    histogram->bins = gsl_histogram_alloc(BIN_COUNT);
    gsl_histogram_set_ranges(histogram->bins, edges, BIN_COUNT + 1);
    return histogram;
}

void delay_histogram_free(struct delay_histogram *histogram)
{
    gsl_histogram_free(histogram->bins);
    g_free(histogram);
}

void delay_histogram_add(struct delay_histogram *histogram, double ms)
{
    double last_bin_lower_edge, last_bin_upper_edge;
    gsl_histogram_get_range(histogram->bins, BIN_COUNT - 1, &last_bin_lower_edge,
                            &last_bin_upper_edge);
    gsl_histogram_increment(histogram->bins, CLAMP(ms, 0, last_bin_lower_edge));
    histogram->count++;
}

guint64 delay_histogram_count(const struct delay_histogram *histogram)
{
    return histogram->count;
}

double delay_histogram_quantile(const struct delay_histogram *histogram, double quantile)
{
    double cumulative_count = 0, target_count = quantile * (double)histogram->count;
    for (size_t i = 0; histogram->count && i < BIN_COUNT; i++) {
        double lower_edge, upper_edge;
        cumulative_count += gsl_histogram_get(histogram->bins, i);
        gsl_histogram_get_range(histogram->bins, i, &lower_edge, &upper_edge);
        if (cumulative_count >= target_count)
            return upper_edge;
    }
    return 0;
}

void delay_histogram_clear(struct delay_histogram *histogram)
{
    gsl_histogram_reset(histogram->bins);
    histogram->count = 0;
}
