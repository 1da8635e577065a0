"""A small HTTP/1.1 client for the stand-ins: whole answers or none."""

import asyncio


class Reply:
    def __init__(self, status, body=b"", headers=None):
        self.status, self.body = status, body
        self.headers = headers or {}

    def __repr__(self):
        return f"{self.status} {self.body.decode(errors='replace')}"


async def _read_reply(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Reply(int(first.split()[1]), body, headers)


async def ask(address, method, target, host, body=b"", limit=3.0, headers=()):
    """One call over a connection of its own; None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
                     "Connection: close", f"Content-Length: {len(body)}"]
            lines += list(headers)
            if body:
                lines.append("Content-Type: application/json")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await _read_reply(reader)
    except (OSError, asyncio.TimeoutError, TimeoutError, EOFError, ValueError,
            asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


def to_pair(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)
