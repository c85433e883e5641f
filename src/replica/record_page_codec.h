/**
 * Codec of record pages, the compact texts in which nodes store their run records, and of
 * inventories, which list machines. Pure logic; completions have a codec of their own
 * (completions_codec.h).
 *
 * A page is a text of words. "@MACHINE", "#JOB" and "*ATTEMPT" each hold until the next of their
 * kind; a number is a task. "=ADDRESS,TYPE,ZONE,SPOT" behind "@MACHINE" describes the machine as
 * long as nothing else does. "^TEXT" is the prefix of machines' names from there on, "&MACHINE" a
 * full name in spite of it. Nodes of NODE_VERSION_INITIAL understand neither "^" nor "&": what they
 * may read is encoded in the legacy form, without them.
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
    /** The description of the machine on the page; NULL: none. Decoded: valid for the callback. */
    const char *description;
};

/**
 * Encodes entries, in whichever order is shorter, and sorts them. The same entries always give the
 * same text and fewer never a longer one (but for two bytes), in whatever order they come: what was
 * on a page fits on it again, whoever writes it.
 */
GString *record_page_encode(GArray *entries, bool is_legacy);
/**
 * The length of the text with jobs first, on which record_page_entry_max_bytes is based;
 * shortest_bytes: the length of what record_page_encode gives. Sorts the entries.
 */
gsize record_page_encoded_bytes(GArray *entries, bool is_legacy, gsize *shortest_bytes);
/**
 * An upper limit of what one more entry adds to a text with jobs first. has_job, has_attempt: the
 * page has entries of that job, and of that attempt, already.
 */
gsize record_page_entry_max_bytes(const struct record_page_entry *entry, bool has_job,
                                  bool has_attempt);

typedef void (*record_page_entry_callback)(void *context, const struct record_page_entry *entry);
/** Calls back for every entry, in the order of the text; words that cannot be read are passed over.
 */
void record_page_decode(const char *text, record_page_entry_callback callback, void *context);

/** Appends a machine to an inventory. */
void inventory_encode_machine(GString *text, machine_id machine, const char *description);
typedef void (*inventory_machine_callback)(void *context, machine_id machine,
                                           const char *description);
void inventory_decode(const char *text, inventory_machine_callback callback, void *context);

/** What a page or an inventory says of a machine. */
struct machine_description {
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
};

/** Encodes a description as one word, a new text; NULL: it cannot be one word. */
char *machine_description_encode(const char *address, const char *machine_type_name,
                                 const char *zone, bool is_spot);
/** Decodes a description; longer parts are cut. False: malformed. */
bool machine_description_decode(const char *text, struct machine_description *description);

#endif
