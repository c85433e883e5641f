/**
 * @file
 * How the contents of a page that is too long are divided among pages that are short enough.
 */
#ifndef LL_PAGE_SPLIT_PLAN_H
#define LL_PAGE_SPLIT_PLAN_H

#include "run_records_internal.h"

/** One of the pages that a long page is split into. */
struct planned_page {
    /** struct record_page_entry */
    GArray *records;
    /** Completions, as they are written. */
    GString *completions;
    /** That the completions may come to take once all tasks of their units are done. */
    gsize reserved_bytes;
    /** See shard_uses_legacy_format(). */
    bool legacy_format;
};

/** Divides a page's contents: struct planned_page, each within the limits. The first one is what
 * stays on the page itself. Completions of jobs that are over are left out, and those that other
 * pages of the node hold already. The caller owns the array; NULL: the contents cannot be divided
 * as long as nodes of version 0 may read them. */
GPtrArray *page_split_plan(struct shard *shard, const struct record_page *page, bool legacy_format);

/** Whether a node understands that the records of a machine may be on several pages. */
bool node_supports_machine_on_multiple_pages(const struct shard *shard, const char *label);

#endif
