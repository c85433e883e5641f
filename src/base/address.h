/** Addresses of servers as settings and other nodes write them: "10.0.0.1:8080". */
#ifndef LL_ADDRESS_H
#define LL_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

/** Splits an IPv4 address and a port. `ip_be` is in network byte order, `port` in that of the host.
 * Returns false, and changes neither, if the text is anything else; host names are not resolved. */
bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port);

#endif
