/* A histogram of delays (GSL), with bins that grow by a fixed factor. */
#ifndef LL_DELAY_HISTOGRAM_H
#define LL_DELAY_HISTOGRAM_H

#include <glib.h>

struct delay_histogram;

struct delay_histogram *delay_histogram_new(void);
void delay_histogram_free(struct delay_histogram *histogram);
/* Longer ones than the last bin holds count as its upper edge. */
void delay_histogram_add(struct delay_histogram *histogram, double ms);
guint64 delay_histogram_count(const struct delay_histogram *histogram);
/* The delay that a share (0 to 1) of them does not exceed: the upper edge of its bin; 0 if none
 * was counted. */
double delay_histogram_quantile(const struct delay_histogram *histogram, double quantile);
void delay_histogram_clear(struct delay_histogram *histogram);

#endif
