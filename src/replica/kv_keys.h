/* The names of the scheduler's keys in the state service.
 *
 * ll/n/LABEL a live node, ll/leader, ll/map, ll/types, ll/features, ll/duty and ll/pending (see
 * role_codec.h), ll/j/JOB, ll/h/HOST what a machine is,
 * ll/a/LABEL/N what its machines are, many at once, ll/v/LABEL what its processes understand, for
 * good, ll/p/LABEL/N the pages on which LABEL keeps the run records of its machines and the tasks
 * that it saw done. */
#ifndef LL_VIEW_KEYS_H
#define LL_VIEW_KEYS_H

#include "types.h"

/* What all keys begin with. */
#define KEY_ROOT "ll/"
/* The node that leads; on its lease. */
#define KEY_LEADER "ll/leader"
/* The epoch and the nodes that own machines in it. */
#define KEY_MAP "ll/map"
/* Machine types; and ll/types/1 and so on, if that would be too long. */
#define KEY_TYPES "ll/types"
/* Which features are on for all nodes (feature_switch.h). */
#define KEY_FEATURES "ll/features"

/* Each returns a new text: a job, */
char *key_job(job_id id);
/* what a machine is and has fetched, */
char *key_machine(machine_id id);
/* a live node, */
char *key_node(const char *label);
/* what the processes of a node understand, */
char *key_version(const char *label);
/* a page of a node's run records, */
char *key_record_page(const char *label, int number);
/* a list of a node's machines. */
char *key_inventory(const char *label, int number);

/* Reads label (a new text) and number from the key of a page or a list of machines. */
bool key_parse_page(const char *key, char **label, int *number);
/* Whether it is a job's: these are never removed, and there may be very many. */
bool key_is_job(const char *key);

#endif
