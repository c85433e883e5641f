/* What tasks take of machines. */
#ifndef LL_ROOM_H
#define LL_ROOM_H

#include "codec.h"

struct room {
    amount cpus, gpus, memory;
};

static inline struct room room_of_spec(const struct spec *spec)
{
    return (struct room){spec->cpus, spec->gpus, spec->memory};
}

static inline struct room room_of_type(const struct machine_type *type)
{
    return (struct room){type->cpus, type->gpus, type->memory};
}

static inline void room_add(struct room *a, struct room b)
{
    a->cpus.milli += b.cpus.milli;
    a->gpus.milli += b.gpus.milli;
    a->memory.milli += b.memory.milli;
}

static inline void room_sub(struct room *a, struct room b)
{
    a->cpus.milli -= b.cpus.milli;
    a->gpus.milli -= b.gpus.milli;
    a->memory.milli -= b.memory.milli;
}

static inline struct room room_left(struct room total, struct room booked)
{
    room_sub(&total, booked);
    return total;
}

static inline bool room_holds(struct room free, struct room ask)
{
    return ask.cpus.milli <= free.cpus.milli && ask.gpus.milli <= free.gpus.milli &&
           ask.memory.milli <= free.memory.milli;
}

/* The largest share that is asked of any one resource; over 1 when it does not fit. */
double room_share(struct room ask, struct room total);
/* How many of ask fit into free. */
int64_t room_times(struct room free, struct room ask);

/* What a task that asks nothing special asks of machines, and where ("": anywhere). While room only
 * shrinks, what needs at least as much as something that found none finds none either. */
struct lack {
    struct room room;
    bool spot;
    char zone[48];
};

static inline struct lack lack_of_spec(const struct spec *spec, const char *zone)
{
    struct lack lack = {room_of_spec(spec), spec->spot, ""};
    g_strlcpy(lack.zone, zone, sizeof lack.zone);
    return lack;
}

/* In a list of struct lack that found nothing. */
bool lacks_cover(const GArray *lacks, const struct lack *lack);

/* The machine type of that name, or NULL. */
const struct machine_type *type_named(const GArray *types, const char *name);
/* Whether a job's tasks may ever run on machines of a type, in a zone, of a kind. */
bool spec_allows(const struct spec *spec, const char *type_name, const char *zone, bool spot);
/* The smallest machine type that the job may use, by the share a task asks of it; NULL when no
 * type can hold a task. */
const struct machine_type *type_smallest(const GArray *types, const struct spec *spec);

#endif
