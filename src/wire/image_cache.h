/* Names of the images that a machine has fetched. They are interned and so compared by address:
 * they are looked up for every machine that a task might go to. */
#ifndef LL_IMAGES_H
#define LL_IMAGES_H

#include <glib.h>
#include <stdbool.h>

GPtrArray *image_cache_new(void);
/* image: interned. */
bool image_cache_contains(const GPtrArray *images, const char *image);
/* Adds a name, which need not be interned, unless it is there. */
void image_cache_add(GPtrArray *images, const char *name);

#endif
