/** Judges whether singleton roles were kept to, only from what the state service and the cloud
 * carried out: fencing tokens only rise, intents are recorded under the current token, every effect
 * at the cloud belongs to an intent that was on record before, and nothing is placed on a machine
 * once its return is on record. */
#ifndef LL_TEST_DUTY_HISTORY_H
#define LL_TEST_DUTY_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct duty_history;

struct duty_history *duty_history_new(void);
void duty_history_free(struct duty_history *history);

/** A key has a new value; text NULL: it was removed. */
void duty_history_key_changed(void *history, const char *key, const char *text,
                              uint64_t mod_revision);
/** The cloud has rented a machine out for a request, or has taken one back. */
void duty_history_rented(void *history, const char *request, const char *machine);
void duty_history_returned(void *history, const char *machine);
/** An exception for tests: a machine exists for which no request was made. */
void duty_history_add_rented_machine(struct duty_history *history, const char *machine);

/** Whether a return of the machine was ever on record. */
bool duty_history_has_return_intent(const struct duty_history *history, const char *machine);
/** How many holders there were, and how many effects at the cloud. */
unsigned duty_history_count_holders(const struct duty_history *history);
unsigned duty_history_count_cloud_effects(const struct duty_history *history);
/** The ids of machines that were rented and not returned: a new array. */
GPtrArray *duty_history_list_rented_machines(const struct duty_history *history);
/** The first violation in words, or NULL. */
const char *duty_history_get_violation(const struct duty_history *history);

#endif
