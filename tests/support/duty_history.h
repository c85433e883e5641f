/* Judges, from what the state service and the cloud carried out alone, whether single-holder duties
 * were kept to: tokens only rise, intents are recorded under the token that is current, every
 * effect at the cloud belongs to an intent that was on record before, and nothing is placed on a
 * machine once its return is on record. */
#ifndef LL_TEST_DUTY_HISTORY_H
#define LL_TEST_DUTY_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct duty_history;

struct duty_history *duty_history_new(void);
void duty_history_free(struct duty_history *history);

/* A key has a new value (text NULL: it was removed). */
void duty_history_key(void *history, const char *key, const char *text, uint64_t mod_revision);
/* The cloud has rented a machine for a request; it has taken one back. */
void duty_history_rented(void *history, const char *request, const char *machine);
void duty_history_returned(void *history, const char *machine);
/* An exception for tests: a machine is just there, for which no request was made. */
void duty_history_rented_by_hand(struct duty_history *history, const char *machine);

/* Whether a return of the machine was ever on record. */
bool duty_history_return_known(const struct duty_history *history, const char *machine);
/* How many holders there were, and how many effects at the cloud. */
unsigned duty_history_holders(const struct duty_history *history);
unsigned duty_history_effects(const struct duty_history *history);
/* Machines that were rented and not returned: a new array of names. */
GPtrArray *duty_history_rented_still(const struct duty_history *history);
/* The first thing that was wrong, in words; NULL: nothing. */
const char *duty_history_wrong(const struct duty_history *history);

#endif
