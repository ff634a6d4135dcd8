"""Relay of a worker's response to the caller, chunk by chunk (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

from typing import Final

from ...context.protocols import Clock, HttpHead
from ...identifiers import Instant, Seconds
from ..event_streams import BodyReader, PlainBody
from ..formats import Formats
from ..forward_options import AttemptOptions
from ..http_headers import declared_length
from .connection import WorkerConnection
from .parameters import AttemptParameters

_BYTES_PER_TOKEN: Final = 4
"""For estimating the tokens of a response that is no stream from its length."""
_FIRST_ERROR_STATUS: Final = 400


class ResponseRelay:
    """Sends the caller a worker's response; owns what is buffered of it and when a chunk was last relayed."""

    def __init__(
        self,
        parameters: AttemptParameters,
        clock: Clock,
        connection: WorkerConnection,
        formats: Formats,
        options: AttemptOptions,
    ) -> None:
        self._parameters = parameters
        self._call = parameters.call
        self._response = parameters.call.response
        self._clock = clock
        self._connection = connection
        self._formats = formats
        self._options = options
        self._tokens_before = parameters.call.stats.generated_tokens
        self._head: HttpHead
        self._reader: BodyReader
        self._buffers_body = False
        self._buffered_body = bytearray()
        self.head_received = False
        """Whether the head of the worker's response was received."""
        self.send_head_at: Instant | None = None
        """When the head is sent although no chunk was received; None when it is not buffered."""
        self.last_chunk_at = parameters.started_at
        """When the latest chunk was received or the caller took it, or else the head was received."""
        self.writing = False
        """Whether a chunk is being written that the caller's connection has not yet taken."""

    def begin(self, head: HttpHead, reader: BodyReader) -> None:
        """Accepts the head of the response; ``reader`` reads its body."""
        self.last_chunk_at = self._clock.monotonic()
        self.head_received = True
        self._head, self._reader = head, reader
        self._buffers_body = (
            self._parameters.service.repeatable
            and isinstance(reader, PlainBody)
            and self._options.buffered_body_bytes > 0
        )
        if not self._response.started and not self._buffers_body:
            self.send_head_at = Instant(self.last_chunk_at + self._options.head_buffer_time)

    def take(self, chunk: bytes) -> bytes:
        """Reads a chunk of the body, and returns what ``write`` is to send to the caller now."""
        data = self._reader.feed(chunk)
        self._call.stats.generated_tokens = self._tokens_before + self._reader.events
        if not self._buffers_body:
            return data
        self._buffered_body += data
        if len(self._buffered_body) <= self._options.buffered_body_bytes:
            return b""
        data = bytes(self._buffered_body)
        self._buffered_body.clear()
        self._buffers_body = False
        return data

    async def write(self, data: bytes) -> None:
        """Sends part of the body, and the head before the first one."""
        call, attempt = self._call, self._parameters.state
        now = self._clock.monotonic()
        if call.stats.chunks == 0:
            call.stats.first_chunk_after = Seconds(now - call.request.received_at)
        if attempt.first_chunk_after is None:
            attempt.first_chunk_after = Seconds(now - self._parameters.started_at)
            attempt.on_first_chunk(attempt.first_chunk_after)
        if not self._response.started:
            self.send_head()
        call.stats.chunks += 1
        call.stats.body_bytes += len(data)
        if call.progress is not None:
            call.progress.last_sent_at = now
        self.last_chunk_at = now
        self.writing = True
        await self._response.write(data)
        self.writing = False

    def chunk_relayed(self) -> None:
        """Records that the latest chunk was read and, if it goes to the caller, was taken by its connection."""
        self.last_chunk_at = self._clock.monotonic()

    def head_due(self, now: Instant) -> bool:
        """Returns True once, when ``send_head`` is to be called because no chunk was received in time."""
        if self.send_head_at is None or now < self.send_head_at:
            return False
        self.send_head_at = None
        return True

    def send_head(self) -> None:
        """Sends the head of the response, unless that was done or the attempt was stopped.

        The worker's length is passed on only where the caller is sent exactly the worker's bytes. The size of a stream
        is not known yet: another worker may continue it, and what trails its end marker is dropped.
        """
        self.send_head_at = None
        if self._connection.stop_reason is not None or self._response.started:
            return
        added = self._formats.caller.worker_response_headers(self._call)
        headers = [*self._formats.worker.caller_headers(self._head), *added]
        length = declared_length(self._head)
        if length is not None and isinstance(self._reader, PlainBody):
            headers.append(("Content-Length", str(length)))
        self._response.start(self._head.status, tuple(headers))

    async def finish(self) -> None:
        """Sends what is still buffered of a complete response, and marks its end."""
        remainder = bytes(self._buffered_body) + self._reader.remainder()
        if remainder:
            await self.write(remainder)
        if not self._response.started:
            self.send_head()
        await self._response.finish()
        is_success = self._head.status < _FIRST_ERROR_STATUS
        if isinstance(self._reader, PlainBody) and self._parameters.service.kind == "model" and is_success:
            self._call.stats.generated_tokens = self._call.stats.body_bytes // _BYTES_PER_TOKEN
