/**
 * @file
 * What the modules of the intent log share; no other module includes this.
 *
 * intent_log.c owns the struct and its entries, intent_log_pages.c assigns
 * entries to pages, and intent_log_writer.c writes pages.
 */
#ifndef LL_INTENT_LOG_INTERNAL_H
#define LL_INTENT_LOG_INTERNAL_H

#include "intent_log.h"

enum {
    /** An intent to scale out waits only for others that come at the same time. */
    SCALE_OUT_FLUSH_DELAY_MS = 3,
    /** An intent to scale in is not that urgent. */
    SCALE_IN_FLUSH_DELAY_MS = 1000,
    /** Settled intents leave their pages with a write that is made for others, or after this. */
    SETTLE_FLUSH_DELAY_MS = 10000,
};

/** The page number of an entry for which no page has been chosen yet. */
enum { NO_PAGE = -1 };

/** An intent that is open, or settled and still on its page. */
struct intent_entry {
    struct intent intent;
    /** The revision of the guard key on which it depends; 0: none. */
    revision guard_revision;
    bool is_recorded;
    bool is_settled;
    /** The transaction under way puts it on its page, or takes it off. */
    bool write_in_flight;
    /** Or NO_PAGE. */
    int page_number;
    /** What it takes on its page, at most. */
    gsize size_bytes;
};

/** A page, as the latest transaction left it and as the next one is to write it. */
struct intent_log_page {
    /** 0: the page does not exist. */
    revision mod_revision;
    /** With all entries that are not settled. */
    gsize size_bytes;
    /** The next transaction is to write it. */
    bool is_dirty;
    /** The transaction under way writes it. */
    bool write_in_flight;
};

struct intent_log {
    struct intent_log_config config;
    bool is_open;
    bool txn_in_flight;
    /** Counts openings and closings: what was sent in an earlier generation is void. */
    uint64_t generation;
    /** Kind and name -> struct intent_entry. */
    GHashTable *entries;
    /** struct intent_log_page, by number. */
    GArray *pages;
    struct timer flush_timer;
    /** The replica shows there what became of a transaction; 0: at the newest revision. */
    revision reread_revision;
    /** The replica was not there in time, and is to be awaited again. */
    bool reread_timed_out;
};

/* ---- intent_log.c ---- */

/** NULL: the log does not have it. */
struct intent_entry *intent_log_get_entry(const struct intent_log *log, enum intent_kind kind,
                                          const char *name);
struct intent_entry *intent_log_add_entry(struct intent_log *log, const struct intent *intent);

/** Makes the next write due in that time, unless it is due earlier. */
void intent_log_schedule_flush(struct intent_log *log, int64_t delay_ms);

/* ---- intent_log_pages.c ---- */

/** What an intent takes on its page, at most. */
gsize intent_log_entry_size_bytes(const struct intent *intent);

/** Adds pages up to that number. The pointer is valid until a page is added. */
struct intent_log_page *intent_log_get_page(struct intent_log *log, int page_number);

/** Makes entries and pages agree with the replica. */
void intent_log_read_pages(struct intent_log *log);

/** Chooses pages for the entries that have none. */
void intent_log_assign_pages(struct intent_log *log);

/** Whether any page is to be written. */
bool intent_log_has_dirty_page(const struct intent_log *log);

/* ---- intent_log_writer.c ---- */

/** Timer callback: writes what is due. */
void intent_log_on_flush_timer(void *arg);

#endif
