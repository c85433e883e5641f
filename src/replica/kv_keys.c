#include "kv_keys.h"

#include <stdlib.h>

char *key_job(job_id id)
{
    return g_strconcat("ll/j/", id.text, NULL);
}

char *key_machine(machine_id id)
{
    return g_strconcat("ll/h/", id.text, NULL);
}

char *key_node(const char *label)
{
    return g_strconcat("ll/n/", label, NULL);
}

char *key_version(const char *label)
{
    return g_strconcat("ll/v/", label, NULL);
}

char *key_record_page(const char *label, int number)
{
    return g_strdup_printf("ll/p/%s/%d", label, number);
}

char *key_inventory(const char *label, int number)
{
    return g_strdup_printf("ll/a/%s/%d", label, number);
}

bool key_parse_page(const char *key, char **label, int *number)
{
    const char *name = key + strlen("ll/p/"), *slash = strrchr(key, '/');
    if (slash <= name)
        return false;
    *label = g_strndup(name, (gsize)(slash - name));
    *number = (int)strtol(slash + 1, NULL, 10);
    return true;
}

bool key_is_job(const char *key)
{
    return g_str_has_prefix(key, "ll/j/");
}
