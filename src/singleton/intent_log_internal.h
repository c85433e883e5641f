/**
 * @file
 * Declarations shared by the modules of the intent log; no other module may include this header.
 *
 * intent_log.c manages the log and its entries, intent_log_pages.c assigns entries to pages, and
 * intent_log_writer.c writes pages.
 */
#ifndef LL_INTENT_LOG_INTERNAL_H
#define LL_INTENT_LOG_INTERNAL_H

#include "intent_log.h"

enum {
    /** Scale-out intents are delayed only to batch those that are added at the same time. */
    SCALE_OUT_FLUSH_DELAY_MS = 3,
    /** Scale-in intents are less urgent than scale-out intents. */
    SCALE_IN_FLUSH_DELAY_MS = 1000,
    /** Settled intents are removed by the next write for other intents, or after this delay. */
    SETTLE_FLUSH_DELAY_MS = 10000,
};

/** The page number of an entry that is not assigned to a page yet. */
enum { NO_PAGE = -1 };

/** An intent that is not settled, or that is settled but not yet removed from its page. */
struct intent_entry {
    struct intent intent;
    /** The revision of the guard key on which the intent depends; 0 if none. */
    revision guard_revision;
    bool is_recorded;
    bool is_settled;
    /** Whether the transaction in flight adds the entry to its page or removes it. */
    bool write_in_flight;
    /** The number of the page to which the entry is assigned, or NO_PAGE. */
    int page_number;
    /** An upper bound of the entry's size on its page. */
    gsize size_bytes;
};

/** The state of a page in the key-value store, and what the next transaction writes to it. */
struct intent_log_page {
    /** The revision that last wrote the page; 0 if the page does not exist. */
    revision mod_revision;
    /** An upper bound of the page's size with all entries that are not settled. */
    gsize size_bytes;
    /** Whether the page must be written by a later transaction. */
    bool is_dirty;
    /** Whether the transaction in flight writes the page. */
    bool write_in_flight;
};

struct intent_log {
    struct intent_log_config config;
    bool is_open;
    bool txn_in_flight;
    /** Incremented when the log is opened or closed; results of older generations are ignored. */
    uint64_t generation;
    /** Maps a kind and name to its struct intent_entry. */
    GHashTable *entries;
    /** Array of struct intent_log_page, indexed by page number. */
    GArray *pages;
    struct timer flush_timer;
    /** The revision at which the replica shows a transaction's outcome; 0 for the newest one. */
    revision reread_revision;
    /** Whether the replica did not reach that revision in time and must be awaited again. */
    bool reread_timed_out;
};

/* ---- intent_log.c ---- */

/** Returns the entry of the intent with that kind and name; NULL if the log does not contain it. */
struct intent_entry *intent_log_get_entry(const struct intent_log *log, enum intent_kind kind,
                                          const char *name);
/** Adds an entry for a copy of the intent and returns it. */
struct intent_entry *intent_log_add_entry(struct intent_log *log, const struct intent *intent);

/** Schedules the next write after the given delay, unless an earlier one is scheduled. */
void intent_log_schedule_flush(struct intent_log *log, int64_t delay_ms);

/* ---- intent_log_pages.c ---- */

/** Returns an upper bound of the size of an intent on its page. */
gsize intent_log_entry_size_bytes(const struct intent *intent);

/**
 * Returns the page with that number, and adds it and all pages before it if they do not exist. The
 * pointer is valid until a page is added.
 */
struct intent_log_page *intent_log_get_page(struct intent_log *log, int page_number);

/** Updates entries and pages to match the replica. */
void intent_log_read_pages(struct intent_log *log);

/** Assigns entries that have no page to pages. */
void intent_log_assign_pages(struct intent_log *log);

/** Returns whether any page must be written. */
bool intent_log_has_dirty_page(const struct intent_log *log);

/* ---- intent_log_writer.c ---- */

/** Writes dirty pages; the callback of the flush timer. */
void intent_log_on_flush_timer(void *arg);

#endif
