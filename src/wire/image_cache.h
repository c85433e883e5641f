/**
 * The names of the images in the cache of a machine. The names are interned, so that they are
 * compared by address, because placing a task looks its image up on every candidate machine.
 */
#ifndef LL_IMAGE_CACHE_H
#define LL_IMAGE_CACHE_H

#include <glib.h>
#include <stdbool.h>

/** Creates an empty list, to be freed by g_ptr_array_unref. */
GPtrArray *image_cache_new(void);
/** Returns whether the list contains an interned name. */
bool image_cache_contains(const GPtrArray *images, const char *image);
/** Appends a name unless the list already contains it. The name need not be interned. */
void image_cache_add(GPtrArray *images, const char *name);

#endif
