/** Declarations shared by the source files of the quota ledger. */
#ifndef LL_QUOTA_LEDGER_INTERNAL_H
#define LL_QUOTA_LEDGER_INTERNAL_H

#include <glib.h>

/** Returns a new table that maps job id to struct ledger_job and owns the jobs. */
GHashTable *quota_ledger_new_job_table(void);
/**
 * Returns the key of a task in the tables of its job. It is never NULL, which lookups could not
 * tell from a missing key.
 */
gpointer quota_ledger_task_key(uint32_t index);
/** Frees a struct allocation; a GDestroyNotify. */
void quota_ledger_allocation_free(gpointer data);

#endif
