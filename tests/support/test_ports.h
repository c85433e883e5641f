/**
 * Ports for servers of tests on loopback. They are outside of the range of outgoing connections,
 * and no other test or soak uses them at the same time (tests/soak/ports.py takes them in the same
 * way).
 */
#ifndef LL_TEST_PORTS_H
#define LL_TEST_PORTS_H

/**
 * Returns a port of the loopback interface that nothing listens on and that was not returned
 * before. It stays reserved for this process. Fails the test if there is none.
 */
int test_ports_take(void);

#endif
