"""A small HTTP/1.1 server and client on asyncio, and a TCP proxy. Loopback only."""
import asyncio
import json
import socket

HOST = "127.0.0.1"


def free_port():
    """A loopback port that nothing listens on."""
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message. Returns (start line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Serves `handler(method, path, query, body)`, a coroutine that returns (status, object).

    A handler that returns None leaves the request without an answer.
    """

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(p.partition("=")[::2] for p in query.split("&") if p)
                answer = await self.handler(method, path, args, body)
                if answer is None:  # never answered: the peer runs into its own time-out
                    await reader.read()
                    break
                status, value = answer
                text = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        except asyncio.CancelledError:  # the case ends
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(port, method, path, value=None, timeout=5.0, raw=None):
    """Sends one request. Returns (status, object); status 0: no answer or no connection."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            body = raw if raw is not None else (b"" if value is None else json.dumps(value).encode())
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n".encode() + body
            )
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return 0, None


class Proxy:
    """Passes TCP connections on to a port, until it is told to refuse or to hold them."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = free_port()
        self.mode = "pass"  # pass, reset: connections are closed at once, hold: bytes wait
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def cut(self, mode):
        self.mode = mode
        if mode == "hold":
            self.open.clear()
        else:
            self.open.set()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    def heal(self):
        self.mode = "pass"
        self.open.set()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await self.open.wait()
            to_reader, to_writer = await asyncio.open_connection(HOST, self.target_port)
            self.writers.add(to_writer)
            await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))
            self.writers.discard(to_writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
