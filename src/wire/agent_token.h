/**
 * The fencing token of an agent. An agent carries out commands only if their token is not lower
 * than the highest one that it has seen.
 *
 * A token consists of the epoch of the shard map and a serial number, which the owner of the
 * machine raises within the epoch to fence off its own earlier commands. Nodes older than
 * NODE_VERSION_TOKEN_SERIALS send and understand the epoch alone; serials are therefore sent only
 * in epochs whose shard map says so.
 */
#ifndef LL_AGENT_TOKEN_H
#define LL_AGENT_TOKEN_H

#include "types.h"

/** A fencing token; tokens are ordered by epoch, then by serial. */
typedef struct {
    /** The epoch, followed by the serial in the lowest AGENT_TOKEN_SERIAL_BITS bits. */
    uint64_t value;
} agent_token;

/** The number of bits of the serial. */
enum { AGENT_TOKEN_SERIAL_BITS = 20 };

/** Returns the lowest token of an epoch. */
agent_token agent_token_first(epoch_no epoch);
/** Returns the highest token of all epochs before the given one. */
agent_token agent_token_last_before(epoch_no epoch);
/** Returns the epoch of a token. */
epoch_no agent_token_get_epoch(agent_token token);
/** Sets the token to the next one of its epoch. Returns false if there is none. */
bool agent_token_increment(agent_token *token);
/** Returns the higher of two tokens. */
agent_token agent_token_max(agent_token a, agent_token b);
/** Returns whether token `a` is lower than token `b`. */
bool agent_token_lower(agent_token a, agent_token b);

/** Returns the token as a number in a message to an agent.
 * @param has_serial the number contains the serial; if not, the serial must be 0. */
uint64_t agent_token_encode(agent_token token, bool has_serial);
/** Returns the token that an agent has reported, in either form. */
agent_token agent_token_decode(uint64_t number);

#endif
