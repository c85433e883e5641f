#include "leader_shards.h"

#include "leader_ledger.h"

void leader_send_deal(struct leader *leader, struct leader_job *job, uint32_t index, bool bound)
{
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    struct job *job_view = view_job(leader->view, job->id.s);
    cJSON *x = bus_task(job->id, index, deal->attempt);
    bus_put_u64(x, "n", deal->number);
    if (job_view->spec->one_zone || job_view->spec->apart)
        cJSON_AddStringToObject(x, "y", deal->zone);
    if (bound)
        cJSON_AddStringToObject(x, "h", deal->host->id.s);
    leader_shard_add(&leader_shard_get(leader, deal->host->owner)->deal, x);
}

void leader_send_halt(struct leader *leader, struct leader_job *job, uint32_t index,
                      struct entry *e, double grace_s)
{
    struct leader_host *host = leader_host_get(leader, e->host.s);
    if (!host || !host->owner)
        return;
    if (!e->halted)
        room_add(&leader->teams[job->team].halting, job->room);
    e->halted = true;
    cJSON *x = bus_task(job->id, index, e->attempt);
    cJSON_AddStringToObject(x, "h", e->host.s);
    cJSON_AddNumberToObject(x, "g", grace_s);
    leader_shard_add(&leader_shard_get(leader, host->owner)->halt, x);
}
