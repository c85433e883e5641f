/** What the files of the quota ledger share. */
#ifndef LL_QUOTA_LEDGER_INTERNAL_H
#define LL_QUOTA_LEDGER_INTERNAL_H

#include <glib.h>

/** A table of struct ledger_job by job id, which owns them. */
GHashTable *quota_ledger_new_job_table(void);

#endif
