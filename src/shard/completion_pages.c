/**
 * @file
 * Assigning completions to pages: choosing the pages, encoding the completions of a page, moving
 * completions off an oversized page, and marking them durable after a transaction was committed.
 */
#include "completions_internal.h"
#include "run_records_internal.h"

#include "log.h"

/* ---- encoding ---- */

/** Returns the bytes that a unit may still grow by on its page: two hexadecimal digits for each
 * byte that its bitmap can still get. */
static gsize unit_reserved_bytes(const struct completion_unit *unit, const struct job *job)
{
    guint max_bytes = shard_completion_unit_bytes(job, unit->number);
    if (unit->is_moving || max_bytes <= unit->bits->len)
        return 0;
    return 2 * (gsize)(max_bytes - unit->bits->len);
}

/** Whether a durable unit of another page has the bit set. */
static bool is_bit_covered(const GPtrArray *units, const struct completion_unit *unit, uint32_t bit)
{
    for (guint i = 0; i < units->len; i++) {
        const struct completion_unit *other = units->pdata[i];
        if (other != unit && !other->is_unwritten && !other->is_moving && other->page >= 0 &&
            completion_unit_has_bit(other, bit))
            return true;
    }
    return false;
}

/** Whether durable units of other pages store all bits of this one, so that its page may drop it.
 */
static bool is_covered_elsewhere(struct shard *shard, const struct completion_unit *unit)
{
    GPtrArray *units = completion_units_find(shard, unit->job, unit->number);
    for (uint32_t bit = 0; bit < unit->bits->len * 8; bit++)
        if (completion_unit_has_bit(unit, bit) && !is_bit_covered(units, unit, bit))
            return false;
    return true;
}

/** The page whose completions are being encoded. */
struct completions_encoder {
    struct page_completions *out;
    int page_number;
    bool legacy_format;
};

/** Appends a unit to the completions of its page; a completion_unit_callback. */
static void encode_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct completions_encoder *encoder = ctx;
    struct job *job =
        unit->page == encoder->page_number ? shard_find_active_job(shard, unit->job) : NULL;
    if (!job || (unit->is_moving && is_covered_elsewhere(shard, unit)))
        return;
    completions_encode(encoder->out->text, unit->job, unit->number, unit->bits,
                       encoder->legacy_format);
    encoder->out->has_unwritten = encoder->out->has_unwritten || unit->is_unwritten;
    encoder->out->reserved_bytes += unit_reserved_bytes(unit, job);
}

void shard_completions_encode(struct shard *shard, int page_number, bool legacy_format,
                              struct page_completions *out)
{
    g_string_truncate(out->text, 0);
    out->reserved_bytes = 0;
    out->has_unwritten = false;
    struct completions_encoder encoder = {out, page_number, legacy_format};
    completion_units_for_each(shard, encode_unit, &encoder);
}

/** The total number of bytes that the units of a page may still grow by. */
struct reserved_total {
    int page_number;
    gsize bytes;
};

static void add_reserved_bytes(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct reserved_total *total = ctx;
    struct job *job =
        unit->page == total->page_number ? shard_find_active_job(shard, unit->job) : NULL;
    if (job)
        total->bytes += unit_reserved_bytes(unit, job);
}

gsize shard_completions_reserved_bytes(struct shard *shard, int page_number)
{
    struct reserved_total total = {page_number, 0};
    completion_units_for_each(shard, add_reserved_bytes, &total);
    return total.bytes;
}

/* ---- moving units off an oversized page ---- */

/** The page that a unit is moved off. */
struct completion_move {
    int page_number;
    /** A unit was moved. One is moved at a time. */
    bool is_done;
};

/** Copies the bits of a unit to the unassigned unit of the same number; a completion_unit_callback.
 */
static void move_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct completion_move *move = ctx;
    if (move->is_done || unit->page != move->page_number || unit->is_moving)
        return;
    LOG_INFO("completions_moved", "page=%d job=%s", unit->page, unit->job.text);
    move->is_done = true;
    unit->is_moving = true;
    struct completion_unit *copy = completion_unit_get(shard, unit->job, unit->number, -1);
    bitmap_merge(copy->bits, unit->bits);
    copy->is_unwritten = true;
}

void shard_completions_move_unit(struct shard *shard, int page_number)
{
    struct completion_move move = {page_number, false};
    completion_units_for_each(shard, move_unit, &move);
}

/* ---- assignment to pages ---- */

/** The pages that unassigned units may be assigned to. */
struct unit_assignment {
    const int *pages;
    guint page_count;
    /** Some units are still unassigned. */
    bool has_unassigned;
};

/** Empties a unit. */
static void unit_clear(struct completion_unit *unit)
{
    g_byte_array_set_size(unit->bits, 0);
    unit->is_unwritten = false;
    unit->is_moving = false;
}

/** Assigns a unit to a page, or merges it with the unit that is there. Returns false if the page
 * cannot take it. */
static bool try_assign_unit(struct shard *shard, struct completion_unit *unit,
                            const struct job *job, int page_number)
{
    struct completion_unit *existing =
        completion_unit_find(shard, unit->job, unit->number, page_number);
    if (existing && existing->is_moving)
        return false;
    if (existing) {
        bitmap_merge(existing->bits, unit->bits);
        existing->is_unwritten = true;
        unit_clear(unit);
        return true;
    }
    gsize unit_bytes = completion_unit_max_bytes(shard, job, unit->number);
    if (shard_page_free_bytes(shard, page_number) < unit_bytes)
        return false;
    shard_page_reserve(shard, page_number, unit_bytes);
    unit->page = page_number;
    return true;
}

/** Assigns an unassigned unit to the first page that can take it; a completion_unit_callback. */
static void assign_unit(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct unit_assignment *assignment = ctx;
    struct job *job = shard_find_active_job(shard, unit->job);
    if (unit->page >= 0 || !unit->is_unwritten || !job)
        return;
    for (guint i = 0; i < assignment->page_count; i++)
        if (try_assign_unit(shard, unit, job, assignment->pages[i]))
            return;
    assignment->has_unassigned = true;
}

bool shard_completions_assign_pages(struct shard *shard, const int *pages, guint page_count)
{
    struct unit_assignment assignment = {pages, page_count, false};
    completion_units_for_each(shard, assign_unit, &assignment);
    return !assignment.has_unassigned;
}

/** Adds the weights of units with the same job and number to their pages. Returns whether some of
 * the units are unassigned. */
static bool add_unit_demand(const GPtrArray *units, double *page_weights, double weight)
{
    bool has_unassigned = false;
    for (guint i = 0; i < units->len; i++) {
        struct completion_unit *unit = units->pdata[i];
        unit->changed_since_txn = false;
        if (unit->is_unwritten && unit->page >= 0)
            page_weights[unit->page] += weight;
        has_unassigned = has_unassigned || (unit->is_unwritten && unit->page < 0);
    }
    return has_unassigned;
}

bool shard_completions_add_demand(struct shard *shard, double *page_weights, double weight)
{
    bool has_unassigned = false;
    GHashTableIter iter;
    GPtrArray *units;
    g_hash_table_iter_init(&iter, shard->records.completion_units);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&units)) {
        const struct completion_unit *first = units->pdata[0];
        if (!shard_find_active_job(shard, first->job))
            /* The job is finished: pages drop the unit when they are next written. */
            g_hash_table_iter_remove(&iter);
        else if (add_unit_demand(units, page_weights, weight))
            has_unassigned = true;
    }
    return has_unassigned;
}

/* ---- after a transaction ---- */

/** The pages that a committed transaction wrote. */
struct written_pages {
    page_predicate is_written;
    const void *ctx;
};

/** Marks a unit as durable if its page was written and it has not changed since the transaction was
 * created. Empties a moved unit whose bits are durable elsewhere. A completion_unit_callback. */
static void mark_unit_durable(struct shard *shard, struct completion_unit *unit, void *ctx)
{
    struct written_pages *pages = ctx;
    if (unit->page < 0 || !pages->is_written(pages->ctx, unit->page))
        return;
    if (unit->is_moving && is_covered_elsewhere(shard, unit))
        unit_clear(unit);
    else if (!unit->changed_since_txn)
        unit->is_unwritten = false;
}

void shard_completions_mark_durable(struct shard *shard, page_predicate is_written, const void *ctx)
{
    struct written_pages pages = {is_written, ctx};
    completion_units_for_each(shard, mark_unit_durable, &pages);
}
