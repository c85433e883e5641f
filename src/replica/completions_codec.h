/**
 * Codec of completions: the tasks that a record page lists as completed. Pure logic.
 *
 * The text is "#JOB CHUNK:BITS ...". BITS are the bits of a chunk of tasks in hexadecimal, two
 * digits for eight tasks, the first task in the lowest bit; zeros at the end are left out.
 * "CHUNK+BYTES:BITS" begins that many bytes within the chunk, so that the completions of a long job
 * are several words. Nodes of NODE_VERSION_INITIAL do not understand "+": what they may read is
 * encoded in the legacy form, which begins at the start of the chunk.
 */
#ifndef LL_COMPLETIONS_CODEC_H
#define LL_COMPLETIONS_CODEC_H

#include "types.h"

enum {
    /** Bits are encoded, and move between pages, in units of at most so many bytes. */
    COMPLETION_UNIT_BYTES = 128,
    COMPLETION_UNIT_TASKS = 8 * COMPLETION_UNIT_BYTES,
};

/** Extends an array of bits with zeros to at least a length. */
void bitmap_grow(GByteArray *bitmap, guint length_bytes);
/** Sets in the first all bits that are set in the second. */
void bitmap_merge(GByteArray *to, const GByteArray *from);

/**
 * Appends the completions of one unit: of the tasks from unit * COMPLETION_UNIT_TASKS on, whose
 * bits begin with bit 0.
 */
void completions_encode(GString *text, job_id job, uint32_t unit, const GByteArray *bits,
                        bool is_legacy);
/** An upper limit of what completions_encode appends for a bitmap of a length. */
gsize completions_max_bytes(job_id job, uint32_t unit, guint bitmap_bytes, bool is_legacy);

/** The bits are valid for the call. */
typedef void (*completions_callback)(void *context, job_id job, uint32_t unit,
                                     const GByteArray *bits);
/** Calls back for every unit that has a bit set; words that cannot be read are passed over. */
void completions_decode(const char *text, completions_callback callback, void *context);

#endif
