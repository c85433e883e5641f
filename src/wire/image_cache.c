/** The images in the cache of a machine: see image_cache.h. */
#include "image_cache.h"

static void release_image(gpointer image)
{
    g_ref_string_release(image);
}

GPtrArray *image_cache_new(void)
{
    return g_ptr_array_new_with_free_func(release_image);
}

bool image_cache_contains(const GPtrArray *images, const char *image)
{
    for (guint i = 0; i < images->len; i++)
        if (images->pdata[i] == image)
            return true;
    return false;
}

void image_cache_add(GPtrArray *images, const char *name)
{
    char *image = g_ref_string_new_intern(name);
    if (image_cache_contains(images, image))
        g_ref_string_release(image);
    else
        g_ptr_array_add(images, image);
}
