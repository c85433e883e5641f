/**
 * Codec of completions: the tasks that a record page lists as completed. The functions are pure.
 *
 * The format is "#JOB CHUNK:BITS ...". BITS are the bits of a chunk of tasks in hexadecimal, two
 * digits for eight tasks, with the first task in the lowest bit; trailing zeros are omitted.
 * "CHUNK+BYTES:BITS" begins at a byte offset within the chunk, so that the completions of a large
 * job can be split into several words. Nodes of NODE_VERSION_INITIAL do not support "+":
 * completions that they may read are encoded in the legacy form, which begins at the start of the
 * chunk.
 */
#ifndef LL_COMPLETIONS_CODEC_H
#define LL_COMPLETIONS_CODEC_H

#include "types.h"

enum {
    /** Completions are encoded, and moved between pages, in units of at most this size. */
    COMPLETION_UNIT_BYTES = 128,
    COMPLETION_UNIT_TASKS = 8 * COMPLETION_UNIT_BYTES,
};

/** Extends a bitmap with zeros to at least the given length. */
void bitmap_grow(GByteArray *bitmap, guint length_bytes);
/** Sets all bits in `to` that are set in `from`. */
void bitmap_merge(GByteArray *to, const GByteArray *from);

/**
 * Appends the encoded completions of one unit. Bit 0 is that of the task with the index
 * unit * COMPLETION_UNIT_TASKS.
 */
void completions_encode(GString *text, job_id job, uint32_t unit, const GByteArray *bits,
                        bool is_legacy);
/** Returns an upper limit of the bytes that completions_encode appends for a bitmap. */
gsize completions_max_bytes(job_id job, uint32_t unit, guint bitmap_bytes, bool is_legacy);

/** Receives the completions of one unit; the bits are valid only during the callback. */
typedef void (*completions_callback)(void *context, job_id job, uint32_t unit,
                                     const GByteArray *bits);
/** Calls back for each unit in which a bit is set; skips words that are malformed. */
void completions_decode(const char *text, completions_callback callback, void *context);

#endif
