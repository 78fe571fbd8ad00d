"""Clients that send much and finish nothing end no entry.

Each test starts an entry as a process with little memory and sets a crowd on
it. Crowd and bounds were set before the entry was changed to bear them.
"""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from .crowds import (
    ANSWER_SECONDS,
    BODY_BYTES,
    BODY_CLIENTS,
    DESCRIPTORS,
    LARGE_CHUNK_BYTES,
    LAST_CHUNK,
    MEMORY_MB,
    ORDINARY_CALLERS,
    ORDINARY_DESCRIPTORS,
    OWN_GROWTH_MB,
    OWN_MEMORY_BYTES,
    SMALLEST_MEMORY_MB,
    ChunkedClient,
    Client,
    CrowdTarget,
    Entry,
    HeadClient,
    ManyHeadersClient,
    ProcessView,
    SilentClient,
    WholeClient,
    send_crowd,
)
from .fleet import SmallFleet


@pytest.fixture
def calm(tmp_path: Path) -> Iterator[Entry]:
    """Return an entry with the memory of the smallest deployment."""
    running = Entry(tmp_path, SMALLEST_MEMORY_MB, ORDINARY_DESCRIPTORS)
    yield running
    running.close()


class TestCrowd:
    """The entry lives, stays within its limits and serves others."""

    @pytest.mark.parametrize(
        'kind',
        [*BODY_CLIENTS, ManyHeadersClient, HeadClient, SilentClient],
    )
    def test_entry_bears_it(self, entry: Entry, kind: type[Client]) -> None:
        process = entry.target.process
        with send_crowd(entry.target, kind):
            entry.target.wait_read()
            answer = entry.send_ordinary()
            descriptors = process.count_descriptors()
            peak_mb = process.read_peak_mb() + entry.target.count_unread_mb()
        print(f'{kind.__name__}: {peak_mb:.0f} MB, {descriptors} descriptors')
        assert entry.node.is_running()
        assert answer.status == 200
        assert descriptors < DESCRIPTORS
        assert peak_mb < MEMORY_MB


class TestCalm:
    """The largest legal request is served beside many ordinary ones."""

    @pytest.mark.parametrize('line', ['Content-Length', 'Transfer-Encoding'])
    def test_largest_body_is_served(self, calm: Entry, line: str) -> None:
        with ThreadPoolExecutor(ORDINARY_CALLERS) as pool:
            ordinary = [
                pool.submit(calm.send_ordinary) for _ in range(ORDINARY_CALLERS)
            ]
            largest = self._send_largest(calm, line)
            statuses = {future.result().status for future in ordinary}
        assert b' 200 ' in largest
        assert statuses == {200}

    def _send_largest(self, calm: Entry, line: str) -> bytes:
        with calm.target.connect() as sock:
            sock.settimeout(ANSWER_SECONDS)
            if line == 'Content-Length':
                client: Client = WholeClient(calm.target)
                body = b'b' * BODY_BYTES
            else:
                client = ChunkedClient(calm.target)
                chunk = b'%x\r\n%b\r\n' % (
                    LARGE_CHUNK_BYTES,
                    b'b' * LARGE_CHUNK_BYTES,
                )
                body = chunk * (BODY_BYTES // LARGE_CHUNK_BYTES) + LAST_CHUNK
            client.sock.close()
            sock.sendall(client.make_head() + body)
            return sock.recv(LARGE_CHUNK_BYTES).partition(b'\r\n')[0]


class TestOwnInterface:
    """The same crowds at the interface that is the product's own."""

    @pytest.mark.parametrize('kind', BODY_CLIENTS)
    def test_entry_bears_it(self, kind: type[Client]) -> None:
        overrides = {'entry': {'request_memory_bytes': OWN_MEMORY_BYTES}}
        with SmallFleet(('e1',), **overrides) as fleet:
            daemon = fleet.daemons['e1']
            process = ProcessView(daemon.process)
            host, _, port = daemon.caller_address.rpartition(':')
            target = CrowdTarget(host, int(port), process)
            before_mb = process.read_peak_mb()
            with send_crowd(target, kind):
                target.wait_read()
                answer = fleet.chat(timeout=ANSWER_SECONDS)
                peak_mb = process.read_peak_mb() + target.count_unread_mb()
                assert process.count_descriptors() < DESCRIPTORS
            assert daemon.is_running()
        print(f'{kind.__name__}: {peak_mb - before_mb:.0f} MB more')
        assert answer.status == 200
        assert peak_mb - before_mb < OWN_GROWTH_MB
