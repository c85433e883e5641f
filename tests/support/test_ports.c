/** Ports for servers of tests: see test_ports.h. */
#include "test_ports.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum {
    FIRST_PORT = 10000,
    LAST_PORT = 32000,
    PORTS_PER_PROCESS = 2000,
};

/** Binds a socket to a port. Returns the socket; -1: the port is in use. */
static int bind_port(int port, bool reuse_address)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int option = reuse_address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert_true(fd >= 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &option, sizeof option);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

/** Reserves a range of ports, until the process ends, by a socket that is bound to its first one.
 * Returns that port. */
static int reserve_range(void)
{
    for (int first = FIRST_PORT; first + PORTS_PER_PROCESS <= LAST_PORT; first += PORTS_PER_PROCESS)
        if (bind_port(first, false) >= 0)
            return first;
    fail_msg("all ranges of ports are in use");
    return -1;
}

int test_ports_take(void)
{
    static int range, next_port;
    if (!range) {
        range = reserve_range();
        next_port = range + 1;
    }
    while (next_port < range + PORTS_PER_PROCESS) {
        int port = next_port++;
        int fd = bind_port(port, true);
        if (fd >= 0) {
            close(fd);
            return port;
        }
    }
    fail_msg("the range of ports is used up");
    return -1;
}
