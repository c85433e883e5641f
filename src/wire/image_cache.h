/**
 * The names of the images that a machine has fetched. They are interned and so compared by address,
 * as they are looked up for every machine that a task might be placed on.
 */
#ifndef LL_IMAGE_CACHE_H
#define LL_IMAGE_CACHE_H

#include <glib.h>
#include <stdbool.h>

/** An empty list; free it with g_ptr_array_unref. */
GPtrArray *image_cache_new(void);
/** Whether an interned name is in the list. */
bool image_cache_contains(const GPtrArray *images, const char *image);
/** Appends a name, which need not be interned, unless it is in the list. */
void image_cache_add(GPtrArray *images, const char *name);

#endif
