/** Declarations shared by the source files of the quota ledger. */
#ifndef LL_QUOTA_LEDGER_INTERNAL_H
#define LL_QUOTA_LEDGER_INTERNAL_H

#include <glib.h>

/** Returns a new table that maps job id to struct ledger_job and owns the jobs. */
GHashTable *quota_ledger_new_job_table(void);

#endif
