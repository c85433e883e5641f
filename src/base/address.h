/** Parsing of server addresses in the form that settings and messages of other nodes use:
 * "10.0.0.1:8080". */
#ifndef LL_ADDRESS_H
#define LL_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

/** Parses "IP:PORT" into an IPv4 address in network byte order and a port in host byte order.
 * Returns false and leaves both outputs unchanged if the string has another form. Host names are
 * not resolved. */
bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port);

#endif
