/** Parsing of server addresses: see address.h. */
#include "address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum { DECIMAL = 10, MAX_IPV4_LENGTH = sizeof "255.255.255.255" - 1 };

static bool parse_port(const char *text, uint16_t *port)
{
    /* strtoul alone would accept leading white space and a sign. */
    if (!g_ascii_isdigit(*text))
        return false;
    char *end = NULL;
    unsigned long number = strtoul(text, &end, DECIMAL);
    if (*end || number == 0 || number > UINT16_MAX)
        return false;
    *port = (uint16_t)number;
    return true;
}

bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (!colon || colon - text > MAX_IPV4_LENGTH)
        return false;
    char host[MAX_IPV4_LENGTH + 1] = "";
    memcpy(host, text, colon - text);
    struct in_addr ip;
    if (inet_pton(AF_INET, host, &ip) != 1 || !parse_port(colon + 1, port))
        return false;
    *ip_be = ip.s_addr;
    return true;
}
