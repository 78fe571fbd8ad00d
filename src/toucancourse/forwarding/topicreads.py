"""Reads of the store's topics at other entries, over gRPC."""

import math
from collections.abc import Mapping
from typing import Final

import grpc
from loguru import logger

from ..membership.sharing import TopicReader
from ..membership.tails import TopicTail
from ..membership.topics import Record, Records
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.transports import CHANNEL_OPTIONS

MS: Final = 1000
#: Time for a read besides its wait, in seconds.
CALL_SECONDS: Final = 0.4
#: Longest wait that is granted to another entry.
MAX_WAIT_SECONDS: Final = 2.0


class TopicServicer(peer_pb2_grpc.TopicsServicer):
    """Serves the tails of this entry's feeds to other entries."""

    def __init__(self, tails: Mapping[str, TopicTail]) -> None:
        """Create a servicer of the tails by topic."""
        self._tails = tails

    def Read(  # noqa: N802  # the name that gRPC generates
        self,
        request: peer_pb2.TopicRead,
        context: grpc.ServicerContext,
    ) -> peer_pb2.TopicPage:
        """Return the records of a topic from an offset on."""
        tail = self._tails.get(request.topic)
        if tail is None:
            return peer_pb2.TopicPage(is_unavailable=True)
        wait_seconds = min(MAX_WAIT_SECONDS, request.wait_ms / MS)
        page = tail.read(request.start, wait_seconds)
        if page is None or page.proof_age is None:
            return peer_pb2.TopicPage(is_unavailable=True)
        if math.isinf(page.proof_age):
            return peer_pb2.TopicPage(is_unavailable=True)
        return peer_pb2.TopicPage(
            records=[
                peer_pb2.TopicRecord(
                    key=record.key, content=record.content or b''
                )
                for record in page.records
            ],
            end=page.end,
            proof_age_ms=math.ceil(page.proof_age * MS),
            recoveries=page.recoveries,
            era=page.era,
        )


class GrpcTopicReader(TopicReader):
    """Client of another entry that reads topics."""

    def __init__(self, address: str) -> None:
        """Create a client of an entry at "host:port"."""
        self._address = address
        self._channel = grpc.insecure_channel(address, CHANNEL_OPTIONS)
        self._stub = peer_pb2_grpc.TopicsStub(self._channel)

    def describe(self) -> str:
        """Return the entry's address."""
        return self._address

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def read(
        self, topic: str, start: int, wait_seconds: float
    ) -> Records | None:
        """Return a page with its proof age, or None if that failed."""
        request = peer_pb2.TopicRead(
            topic=topic, start=start, wait_ms=int(wait_seconds * MS)
        )
        try:
            page = self._stub.Read(request, timeout=wait_seconds + CALL_SECONDS)
        except grpc.RpcError as error:
            logger.debug(
                'shared read failed', peer=self._address, why=repr(error)
            )
            return None
        if page.is_unavailable:
            return None
        return Records(
            tuple(
                Record(record.key, record.content or None, start + row)
                for row, record in enumerate(page.records)
            ),
            page.end,
            page.proof_age_ms / MS,
            self._address,
            page.recoveries,
            page.era,
        )
