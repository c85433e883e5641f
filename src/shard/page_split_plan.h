/**
 * @file
 * Planning how the contents of an oversized page are distributed over pages within the size limit.
 */
#ifndef LL_PAGE_SPLIT_PLAN_H
#define LL_PAGE_SPLIT_PLAN_H

#include "run_records_internal.h"

/** One of the pages that an oversized page is split into. */
struct planned_page {
    /** The records on the page (struct record_page_entry). */
    GArray *records;
    /** The completions, as they are written. */
    GString *completions;
    /** An upper bound of the length of the completions once all tasks of their units have
     * completed. */
    gsize reserved_bytes;
    /** See shard_uses_legacy_format(). */
    bool legacy_format;
};

/** Distributes the contents of a page over pages (struct planned_page) within the size limit. The
 * first one has the contents that stay on the page itself. Completions are left out if their job is
 * finished or other pages of the node already store them. The caller owns the array; NULL: the
 * contents cannot be distributed as long as nodes of version 0 may read them. */
GPtrArray *page_split_plan(struct shard *shard, const struct record_page *page, bool legacy_format);

/** Returns whether a node supports records of one machine on several pages. */
bool node_supports_machine_on_multiple_pages(const struct shard *shard, const char *label);

#endif
