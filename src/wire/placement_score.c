#include "placement_score.h"

double score_host(const struct spec *spec, const struct score_facts *facts)
{
    /* Services stay for long: they go together, so that the other machines can be emptied and given
     * back. Whatever may use spot machines leaves the others to them. */
    if (spec->form == FORM_SERVICE)
        /* Whoever may go anywhere leaves the small zone to those that must sit apart. */
        return 4 * facts->image + 8 * facts->roomy + 2 * facts->pinned + facts->booked;
    /* Who is in a hurry does not wait for an image; for the others a fetch costs less than the
     * price of an ordinary machine. */
    double image = spec->urgency <= URGENCY_HIGH ? 8 : 2;
    /* An ordinary machine that no service holds was rented for a backlog: it is left to run empty.
     */
    double dear = !facts->loaner && facts->pinned <= 0 ? 6 : 0;
    return image * facts->image + 4 * facts->loaner + facts->pinned + facts->booked - dear;
}
