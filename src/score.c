#include "score.h"

double score_host(const struct spec *s, const struct score_facts *f)
{
    /* Services stay for long: they go together, so that the other machines can be emptied and given
     * back. Whatever may use spot machines leaves the others to them. */
    if (s->form == FORM_SERVICE)
        /* Whoever may go anywhere leaves the small zone to those that must sit apart. */
        return 4 * f->image + 8 * f->roomy + 2 * f->pinned + f->booked;
    /* Who is in a hurry does not wait for an image; for the others a fetch costs less than the
     * price of an ordinary machine. */
    double image = s->urgency <= URGENCY_HIGH ? 8 : 2;
    /* An ordinary machine that no service holds was rented for a backlog: it is left to run empty.
     */
    double dear = !f->loaner && f->pinned <= 0 ? 6 : 0;
    return image * f->image + 4 * f->loaner + f->pinned + f->booked - dear;
}
