"""A stand-in for the platform that sends given bytes, without end if asked."""

from __future__ import annotations

import trio

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

#: Size of the parts of an answer without end.
PART_BYTES = 65_536


class RawPlatform:
    """Accepts connections, records what arrives, and answers with given bytes."""

    def __init__(self, answer: bytes = ANSWER, *, is_endless: bool = False) -> None:
        self.received: list[bytes] = []
        self.sent_bytes = 0
        self._answer = answer
        self._is_endless = is_endless

    async def run(self, *, task_status: trio.TaskStatus[str]) -> None:
        """Serve until cancelled; ``task_status`` receives the address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f'127.0.0.1:{port}')
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            content = await stream.receive_some()
            self.received.append(bytes(content))
            await stream.send_all(self._answer)
            while self._is_endless:
                await stream.send_all(bytes(PART_BYTES))
                self.sent_bytes += PART_BYTES
            await stream.receive_some()
        except trio.BrokenResourceError:
            return
