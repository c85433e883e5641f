/** Puts values that earlier versions have written into the state service. */
#ifndef LL_TEST_STORED_FIXTURES_H
#define LL_TEST_STORED_FIXTURES_H

#include "world.h"

/** A key and its value. */
struct stored_key {
    const char *key, *value;
};

/** Writes a page of run records, and puts their tasks as running on their machines. */
void stored_put_page(struct world *world, const char *key, const char *value);
/** Writes all keys. The rules take jobs as accepted; pages are handled as by stored_put_page(). */
void stored_put_all(struct world *world, const struct stored_key *keys, guint key_count);

#endif
