"""HTTP/1.1 for the stand-ins: a small server and calls, on asyncio."""

import asyncio
import json

_TEXT = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 421: 'Misdirected',
         503: 'Service Unavailable'}


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return lines[0], headers, body


class Server:
    def __init__(self):
        self.server = None
        self.writers = set()


async def serve(address, handle):
    """Serve `handle(method, path, headers, body) -> (status, document)`."""
    result = Server()

    async def connected(reader, writer):
        result.writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(' ', 2)
                answer = await handle(method, path, headers, body)
                if answer is None:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} {_TEXT.get(status, "Status")}\r\n'
                    f'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        finally:
            result.writers.discard(writer)
            writer.close()

    host, port = address.rsplit(':', 1)
    result.server = await asyncio.start_server(
        connected, host, int(port), backlog=256)
    return result


async def close(server):
    server.server.close()
    for writer in list(server.writers):
        writer.transport.abort()


async def call(address, method, path, document=None, *, host=None,
               timeout=1.0, headers=()):
    """Return (status, document), or (0, reason) without an answer."""
    try:
        return await asyncio.wait_for(
            _call(address, method, path, document, host, headers), timeout)
    except asyncio.TimeoutError:
        return 0, 'time-out'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, repr(error)


async def _call(address, method, path, document, host, headers):
    ip, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = b'' if document is None else json.dumps(document).encode()
        lines = [f'{method} {path} HTTP/1.1', f'Host: {host or address}',
                 'Content-Type: application/json',
                 f'Content-Length: {len(data)}', 'Connection: close', *headers]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + data)
        await writer.drain()
        first, answer_headers, body = await _read_message(reader)
        status = int(first.split(' ')[1])
        if status == 307:
            return status, answer_headers.get('location', '')
        try:
            return status, json.loads(body) if body else {}
        except ValueError:
            return status, {}
    finally:
        writer.close()
