#include "placement_score.h"

double placement_score(const struct job_spec *spec, const struct placement_facts *facts)
{
    /* Services stay for long: they go together, so that the other machines can be emptied and given
     * back. Whatever may use spot machines leaves the others to them. */
    if (spec->form == FORM_SERVICE)
        /* Whoever may go anywhere leaves the small zone to those that must sit apart. */
        return 4 * facts->has_image + 8 * facts->relative_zone_size + 2 * facts->service_share +
               facts->allocated_share;
    /* Who is in a hurry does not wait for an image; for the others a fetch costs less than the
     * price of an ordinary machine. */
    double image_weight = spec->priority <= PRIORITY_HIGH ? 8 : 2;
    /* An ordinary machine that no service holds was rented for a backlog: it is left to run empty.
     */
    double ordinary_penalty = !facts->is_spot && facts->service_share <= 0 ? 6 : 0;
    return image_weight * facts->has_image + 4 * facts->is_spot + facts->service_share +
           facts->allocated_share - ordinary_penalty;
}
