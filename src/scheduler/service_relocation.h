/** Relocation: moving replicas of other services out of a zone that a service needs. */
#ifndef LL_SERVICE_RELOCATION_H
#define LL_SERVICE_RELOCATION_H

#include "scheduler_internal.h"

/**
 * Stops one replica of another service in a zone that the job may use, if that replica could run in
 * another zone. It is for services whose replicas are spread over zones and that find a zone full.
 * A zone in which this was in vain is skipped for RELOCATION_BACKOFF_MS, for this and any other job
 * that requests as much, as the search looks through all machines of the zone.
 */
void service_relocation_free_resources(struct leader *leader, struct ledger_job *job,
                                       const struct job *job_record);

#endif
