/** Relocation: moves replicas of services out of a zone that another service needs. */
#ifndef LL_SERVICE_RELOCATION_H
#define LL_SERVICE_RELOCATION_H

#include "scheduler_internal.h"

/**
 * Stops one replica of another service in a zone that the job may use, if that replica could run in
 * another zone. Used for services whose replicas must be spread over zones when a zone is full. A
 * search looks at all machines of a zone, so after a search without result the zone is skipped for
 * RELOCATION_BACKOFF_MS, for all jobs whose tasks request at least as much.
 */
void service_relocation_free_resources(struct leader *leader, struct ledger_job *job,
                                       const struct job *job_record);

#endif
