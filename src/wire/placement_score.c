/** Ranking of machines: see placement_score.h. docs/design.md describes the weights. */
#include "placement_score.h"

enum {
    SERVICE_IMAGE_WEIGHT = 4,
    SERVICE_ZONE_SIZE_WEIGHT = 8,
    SERVICE_COLOCATION_WEIGHT = 2,
    URGENT_IMAGE_WEIGHT = 8,
    IMAGE_WEIGHT = 2,
    SPOT_WEIGHT = 4,
    ON_DEMAND_PENALTY = 6,
};

/**
 * Scores a machine for a service. Services run for a long time, so they are packed onto the same
 * machines; the other machines can then be drained and returned. Services that may run in any zone
 * prefer large zones, to leave small zones to services that need separate zones.
 */
static double service_score(const struct placement_facts *facts)
{
    return SERVICE_IMAGE_WEIGHT * facts->has_image +
           SERVICE_ZONE_SIZE_WEIGHT * facts->relative_zone_size +
           SERVICE_COLOCATION_WEIGHT * facts->service_share + facts->allocated_share;
}

double placement_score(const struct job_spec *spec, const struct placement_facts *facts)
{
    if (spec->form == FORM_SERVICE)
        return service_score(facts);
    /* Urgent tasks should not wait for an image. For other tasks, fetching the image costs less
     * than using an on-demand machine. */
    double image_weight = spec->priority <= PRIORITY_HIGH ? URGENT_IMAGE_WEIGHT : IMAGE_WEIGHT;
    /* An on-demand machine without services was rented for a backlog and should be drained. */
    bool should_drain = !facts->is_spot && facts->service_share <= 0;
    double penalty = should_drain ? ON_DEMAND_PENALTY : 0;
    return image_weight * facts->has_image + SPOT_WEIGHT * facts->is_spot + facts->service_share +
           facts->allocated_share - penalty;
}
