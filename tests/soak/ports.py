"""Ports for the stand-ins and nodes of one process, outside of the range for outgoing connections.

A node's port is free while the node is down. It must not be given to anyone else meanwhile, neither
to another server nor to an outgoing connection.
"""
import socket

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 10000, 32000
PORTS_PER_PROCESS = 2000


class Ports:
    """A range of ports that no other process of the soak uses."""

    def __init__(self):
        self.lock = socket.socket()
        for first in range(FIRST_PORT, LAST_PORT - PORTS_PER_PROCESS + 1, PORTS_PER_PROCESS):
            try:
                self.lock.bind((HOST, first))
            except OSError:
                continue
            self.next_port, self.end = first + 1, first + PORTS_PER_PROCESS
            return
        raise OSError("all ranges of ports are in use")

    def take(self):
        """Returns a port that nothing listens on and that was not taken before."""
        while self.next_port < self.end:
            port = self.next_port
            self.next_port += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise OSError("the range of ports is used up")
