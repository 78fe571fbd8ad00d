"""Baseline relay that sends a gRPC message and wakes a thread per token.

Run as `python -m bench.naive entry ADDRESS PEER,...` or
`python -m bench.naive sidecar ADDRESS ENGINE`.
"""

import itertools
import sys
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from typing import Any

import grpc
import waitress

from toucancourse.protocol import peer_pb2, peer_pb2_grpc

THREADS = 1000


class Sidecar(peer_pb2_grpc.PeerServicer):
    """Sends each chunk of an engine's response as a message of its own.

    Every request has its own gRPC stream.
    """

    def __init__(self, engine: str) -> None:
        """Create a servicer that relays to an engine at HOST:PORT."""
        self._engine = engine

    def Connect(  # noqa: N802
        self,
        request_iterator: Iterator[peer_pb2.EntryMessage],
        context: grpc.ServicerContext,
    ) -> Iterator[peer_pb2.SidecarMessage]:
        """Relay the one request of this stream and yield its response."""
        request = next(request_iterator).opens[0]
        host, _, port = self._engine.rpartition(':')
        connection = HTTPConnection(host, int(port))
        headers = {'Content-Type': 'application/json'}
        connection.request('POST', request.path, request.body, headers)
        response = connection.getresponse()
        while True:
            data = response.read1(65536)
            if not data:
                return
            yield peer_pb2.SidecarMessage(frames=[peer_pb2.Frame(data=data)])


def run_sidecar(address: str, engine: str) -> None:
    """Serve as the sidecar of an engine until the process is killed."""
    server = grpc.server(ThreadPoolExecutor(THREADS))
    peer_pb2_grpc.add_PeerServicer_to_server(Sidecar(engine), server)
    server.add_insecure_port(address)
    server.start()
    threading.Event().wait()


def run_entry(address: str, peers: list[str]) -> None:
    """Serve callers until the process is killed; peers take turns."""
    stubs = [
        peer_pb2_grpc.PeerStub(grpc.insecure_channel(peer)) for peer in peers
    ]
    stub_cycle = itertools.cycle(stubs)

    def relay(environ: Any, start_response: Any) -> Iterator[bytes]:
        body = environ['wsgi.input'].read()
        open_message = peer_pb2.Open(path=environ['PATH_INFO'], body=body)
        messages = iter([peer_pb2.EntryMessage(opens=[open_message])])
        call = next(stub_cycle).Connect(messages)
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        for message in call:
            yield message.frames[0].data

    host, _, port = address.rpartition(':')
    waitress.serve(
        relay,
        host=host,
        port=int(port),
        threads=THREADS,
        connection_limit=THREADS + 100,
        asyncore_use_poll=True,
        _quiet=True,
    )


if __name__ == '__main__':
    if sys.argv[1] == 'entry':
        run_entry(sys.argv[2], sys.argv[3].split(','))
    else:
        run_sidecar(sys.argv[2], sys.argv[3])
