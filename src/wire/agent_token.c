/** The fencing token of an agent: see agent_token.h. */
#include "agent_token.h"

/** Numbers below this one are epochs without a serial. As epochs begin with 1, no number with a
 * serial is as low. */
static const uint64_t SERIAL_COUNT = UINT64_C(1) << AGENT_TOKEN_SERIAL_BITS;

agent_token agent_token_first(epoch_no epoch)
{
    return (agent_token){epoch.value << AGENT_TOKEN_SERIAL_BITS};
}

agent_token agent_token_last_before(epoch_no epoch)
{
    return (agent_token){epoch.value ? agent_token_first(epoch).value - 1 : 0};
}

epoch_no agent_token_get_epoch(agent_token token)
{
    return (epoch_no){token.value >> AGENT_TOKEN_SERIAL_BITS};
}

bool agent_token_increment(agent_token *token)
{
    agent_token next = {token->value + 1};
    if (agent_token_get_epoch(next).value != agent_token_get_epoch(*token).value)
        return false;
    *token = next;
    return true;
}

agent_token agent_token_max(agent_token a, agent_token b)
{
    return agent_token_lower(a, b) ? b : a;
}

bool agent_token_lower(agent_token a, agent_token b)
{
    return a.value < b.value;
}

uint64_t agent_token_encode(agent_token token, bool has_serial)
{
    return has_serial ? token.value : agent_token_get_epoch(token).value;
}

agent_token agent_token_decode(uint64_t number)
{
    return number < SERIAL_COUNT ? agent_token_first((epoch_no){number}) : (agent_token){number};
}
