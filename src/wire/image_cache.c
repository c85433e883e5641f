#include "image_cache.h"

static void release(gpointer q)
{
    g_ref_string_release(q);
}

GPtrArray *images_new(void)
{
    return g_ptr_array_new_with_free_func(release);
}

bool images_hold(const GPtrArray *images, const char *image)
{
    for (guint i = 0; i < images->len; i++)
        if (images->pdata[i] == image)
            return true;
    return false;
}

void images_add(GPtrArray *images, const char *name)
{
    char *image = g_ref_string_new_intern(name);
    if (images_hold(images, image))
        g_ref_string_release(image);
    else
        g_ptr_array_add(images, image);
}
