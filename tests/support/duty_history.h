/**
 * Checks how nodes use singleton roles ("duties" in stored keys and settings), only from the
 * operations that the state service and the cloud carried out: fencing tokens only increase,
 * intents are recorded under the current token, every operation at the cloud belongs to an intent
 * that was recorded before, and no task is placed on a machine once the intent to return it is
 * recorded.
 */
#ifndef LL_TEST_DUTY_HISTORY_H
#define LL_TEST_DUTY_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct duty_history;

/** Creates an empty history. */
struct duty_history *duty_history_new(void);
/** Frees a history. */
void duty_history_free(struct duty_history *history);

/** Records the new value of a key; NULL: the key was removed. */
void duty_history_key_changed(void *history, const char *key, const char *text,
                              uint64_t mod_revision);
/** Records that the cloud has rented out a machine for a rental request. */
void duty_history_rented(void *history, const char *request, const char *machine);
/** Records that the cloud has taken a machine back. */
void duty_history_returned(void *history, const char *machine);
/** Adds a rented machine for which no rental request was made; an exception for tests. */
void duty_history_add_rented_machine(struct duty_history *history, const char *machine);

/** Returns whether an intent to return the machine was ever recorded. */
bool duty_history_has_return_intent(const struct duty_history *history, const char *machine);
/** Returns how often a node acquired a role. */
unsigned duty_history_count_holders(const struct duty_history *history);
/** Returns how many machines the cloud has rented out or taken back. */
unsigned duty_history_count_cloud_effects(const struct duty_history *history);
/**
 * Returns the ids of the machines that were rented and not returned; the caller frees the array.
 */
GPtrArray *duty_history_list_rented_machines(const struct duty_history *history);
/** Returns the first violation as a string owned by the history, or NULL. */
const char *duty_history_get_violation(const struct duty_history *history);

#endif
