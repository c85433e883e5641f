#include "delay_histogram.h"

#include <gsl/gsl_histogram.h>

enum { BINS = 60 };

/* From 1 ms to some 20 minutes. */
static const double FIRST_MS = 1, FACTOR = 1.27;

struct delay_histogram {
    gsl_histogram *bins;
    guint64 count;
};

struct delay_histogram *delay_histogram_new(void)
{
    struct delay_histogram *histogram = g_new0(struct delay_histogram, 1);
    double edges[BINS + 1] = {0};
    for (int i = 1; i <= BINS; i++)
        edges[i] = i == 1 ? FIRST_MS : edges[i - 1] * FACTOR;
    histogram->bins = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(histogram->bins, edges, BINS + 1);
    return histogram;
}

void delay_histogram_free(struct delay_histogram *histogram)
{
    gsl_histogram_free(histogram->bins);
    g_free(histogram);
}

void delay_histogram_add(struct delay_histogram *histogram, double ms)
{
    double last, end;
    gsl_histogram_get_range(histogram->bins, BINS - 1, &last, &end);
    gsl_histogram_increment(histogram->bins, CLAMP(ms, 0, last));
    histogram->count++;
}

guint64 delay_histogram_count(const struct delay_histogram *histogram)
{
    return histogram->count;
}

double delay_histogram_quantile(const struct delay_histogram *histogram, double share)
{
    double below = 0, wanted = share * (double)histogram->count;
    for (size_t i = 0; histogram->count && i < BINS; i++) {
        double lower, upper;
        below += gsl_histogram_get(histogram->bins, i);
        gsl_histogram_get_range(histogram->bins, i, &lower, &upper);
        if (below >= wanted)
            return upper;
    }
    return 0;
}

void delay_histogram_clear(struct delay_histogram *histogram)
{
    gsl_histogram_reset(histogram->bins);
    histogram->count = 0;
}
