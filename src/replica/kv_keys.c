/** Keys in the key-value store: see kv_keys.h. */
#include "kv_keys.h"

#include <stdlib.h>

char *key_job(job_id id)
{
    return g_strconcat(KEY_JOB_PREFIX, id.text, NULL);
}

char *key_machine(machine_id id)
{
    return g_strconcat(KEY_MACHINE_PREFIX, id.text, NULL);
}

char *key_node(const char *label)
{
    return g_strconcat(KEY_NODE_PREFIX, label, NULL);
}

char *key_node_version(const char *label)
{
    return g_strconcat(KEY_NODE_VERSION_PREFIX, label, NULL);
}

char *key_record_page(const char *label, int number)
{
    return g_strdup_printf(KEY_RECORD_PAGE_PREFIX "%s/%d", label, number);
}

char *key_inventory(const char *label, int number)
{
    return g_strdup_printf(KEY_INVENTORY_PREFIX "%s/%d", label, number);
}

bool key_parse_page(const char *key, char **label, int *number)
{
    /* Both prefixes have the same length. */
    const char *name = key + strlen(KEY_RECORD_PAGE_PREFIX), *slash = strrchr(key, '/');
    if (slash <= name)
        return false;
    *label = g_strndup(name, (gsize)(slash - name));
    *number = (int)strtol(slash + 1, NULL, 10);
    return true;
}

bool key_is_job(const char *key)
{
    return g_str_has_prefix(key, KEY_JOB_PREFIX);
}
