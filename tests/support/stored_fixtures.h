/** Values of the state service that earlier versions have written, put before nodes of this one. */
#ifndef LL_TEST_STORED_FIXTURES_H
#define LL_TEST_STORED_FIXTURES_H

#include "world.h"

/** A key and its value. */
struct stored_key {
    const char *key, *value;
};

/** Puts a page of run records; the tasks that it names run on their machines. */
void stored_put_page(struct world *world, const char *key, const char *value);
/** Puts all keys; jobs are accepted as far as the rules know, and pages as stored_put_page does. */
void stored_put_all(struct world *world, const struct stored_key *keys, guint key_count);

#endif
