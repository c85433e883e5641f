/** A histogram of delays in milliseconds, over GSL. Each bin is wider than the one before by a
 * fixed factor. */
#ifndef LL_DELAY_HISTOGRAM_H
#define LL_DELAY_HISTOGRAM_H

#include <glib.h>

/** Counts of delays in bins. */
struct delay_histogram;

/** Creates an empty histogram. */
struct delay_histogram *delay_histogram_new(void);
/** Frees a histogram. */
void delay_histogram_free(struct delay_histogram *histogram);
/** Adds a delay. A delay beyond the last bin is counted in the last bin, so quantiles report
 * the upper edge of that bin. */
void delay_histogram_add(struct delay_histogram *histogram, double ms);
/** Returns the number of delays added since the histogram was created or cleared. */
guint64 delay_histogram_count(const struct delay_histogram *histogram);
/** Returns the upper edge of the bin that contains a quantile (0 to 1) of the delays, or 0 if the
 * histogram is empty. */
double delay_histogram_quantile(const struct delay_histogram *histogram, double quantile);
/** Removes all delays. */
void delay_histogram_clear(struct delay_histogram *histogram);

#endif
