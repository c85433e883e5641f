/**
 * Codec of record pages, the compact strings in which nodes store their run records, and of
 * inventories, which list machines. The functions are pure; completions have their own codec
 * (completions_codec.h).
 *
 * A page consists of space-separated words. "@MACHINE", "#JOB" and "*ATTEMPT" each apply until the
 * next word of the same kind; a number is a task index. "=ADDRESS,TYPE,ZONE,SPOT" after the
 * name of a machine describes one that neither its own key nor an inventory describes. "^PREFIX"
 * sets the prefix of the machine names in the following "@" words; "&MACHINE" is a full name
 * without that prefix. Nodes of NODE_VERSION_INITIAL support neither "^" nor "&": pages that they
 * may read are encoded in the legacy form, without these words.
 */
#ifndef LL_RECORD_PAGE_CODEC_H
#define LL_RECORD_PAGE_CODEC_H

#include "completions_codec.h"
#include "types.h"

/** A run record on a page. */
struct record_page_entry {
    machine_id machine;
    job_id job;
    attempt_no attempt;
    uint32_t task_index;
    /**
     * The description of the machine on the page; NULL if it has none. A decoded description is
     * valid only during the callback.
     */
    const char *description;
};

/**
 * Encodes the entries, sorted by machine or by job, whichever string is shorter. Sorts the array.
 * The result does not depend on the initial order, and for a subset of the entries it is never
 * longer (except for two bytes). So entries that were on a page fit on it again, whichever node
 * writes it.
 */
GString *record_page_encode(GArray *entries, bool is_legacy);
/**
 * Returns the length of the encoding sorted by job, on which record_page_entry_max_bytes is based,
 * and sets shortest_bytes to the length of the result of record_page_encode. Sorts the array.
 */
gsize record_page_encoded_bytes(GArray *entries, bool is_legacy, gsize *shortest_bytes);
/**
 * Returns an upper limit of the bytes that one more entry adds to the encoding sorted by job.
 * has_job and has_attempt state whether the page already has entries of that job and that attempt.
 */
gsize record_page_entry_max_bytes(const struct record_page_entry *entry, bool has_job,
                                  bool has_attempt);

/** Receives an entry of a record page; the entry is valid only during the callback. */
typedef void (*record_page_entry_callback)(void *context, const struct record_page_entry *entry);
/** Calls back for each entry in the order of the page; skips words that are malformed. */
void record_page_decode(const char *text, record_page_entry_callback callback, void *context);

/** Appends a machine to an encoded inventory. */
void inventory_encode_machine(GString *text, machine_id machine, const char *description);
/** Receives a machine of an inventory; the description is valid only during the callback. */
typedef void (*inventory_machine_callback)(void *context, machine_id machine,
                                           const char *description);
/** Calls back for each machine that an inventory describes. */
void inventory_decode(const char *text, inventory_machine_callback callback, void *context);

/** The description of a machine on a record page or in an inventory. */
struct machine_description {
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
};

/**
 * Encodes a description as one word, which the caller frees. Returns NULL if a part contains a
 * character that a word cannot contain, or if there is no address.
 */
char *machine_description_encode(const char *address, const char *machine_type_name,
                                 const char *zone, bool is_spot);
/** Decodes a description; truncates parts that are too long. Returns false if it is malformed. */
bool machine_description_decode(const char *text, struct machine_description *description);

#endif
