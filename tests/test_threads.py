"""Stack sizes of the threads of an entry."""

import ctypes
import resource
import threading
import time
from collections.abc import Iterator

import pytest

from standins.calls import find_port, wait_until
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.reporting import (
    LoadReporters,
    LoadServicer,
    LocalState,
)
from toucancourse.forwarding.topicreads import GrpcTopicReader, TopicServicer
from toucancourse.ingress.server import PoolDispatcher
from toucancourse.membership.tails import TopicTail

#: Least stack of a thread that runs gRPC.
MIN_STACK_BYTES = 1_048_576
#: Size of pthread_attr_t, rounded up.
ATTRIBUTE_BYTES = 128
#: Threads that wait at the same time.
MANY_THREADS = 200
#: What each of them may take, stack and all.
THREAD_KB = 64
TIMEOUT_SECONDS = 15.0


def measure_stack() -> int:
    """Return the stack size of the calling thread in bytes."""
    library = ctypes.CDLL(None)
    library.pthread_self.restype = ctypes.c_ulong
    library.pthread_getattr_np.argtypes = (ctypes.c_ulong, ctypes.c_void_p)
    attributes = ctypes.create_string_buffer(ATTRIBUTE_BYTES)
    library.pthread_getattr_np(library.pthread_self(), attributes)
    size = ctypes.c_size_t()
    library.pthread_attr_getstacksize(attributes, ctypes.byref(size))
    library.pthread_attr_destroy(attributes)
    return size.value


class MeasuringTail(TopicTail):
    """Tail that records the stack of the thread that reads it."""

    stack = 0

    def read(self, start: int, wait_seconds: float) -> None:
        """Record the stack; the page is missing."""
        self.stack = measure_stack()


@pytest.fixture(autouse=True)
def _stack_size() -> Iterator[None]:
    """Restore the default, which a dispatcher changes for the process."""
    before = threading.stack_size()
    yield
    threading.stack_size(before)


class TestStacks:
    """An entry that ended by itself with a fault in gRPC's code."""

    def test_threads_of_grpc_get_a_large_stack(self) -> None:
        PoolDispatcher(4).shutdown()
        stacks: dict[str, int] = {}

        def collect() -> LocalState:
            stacks['source'] = measure_stack()
            return LocalState({}, {len(stacks): time.monotonic() + 60})

        def pin_session(*_: float) -> None:
            stacks['server'] = measure_stack()

        reporters = [
            LoadReporters(
                f'entry-{row}',
                collect,
                LoadServicer(PeerLoads(lambda: 2), pin_session),
            )
            for row in range(2)
        ]
        addresses = [f'127.0.0.1:{find_port()}' for _ in reporters]
        tail = MeasuringTail()
        for reporter, address in zip(reporters, addresses, strict=True):
            reporter.serve(address, TopicServicer({'topic': tail}))
        reporters[0].set_peers({addresses[1]})
        wait_until(lambda: len(stacks) == 2, TIMEOUT_SECONDS, 'a report')
        reader = GrpcTopicReader(addresses[0])
        wait_until(
            lambda: bool(reader.read('topic', 0, 0) or tail.stack),
            TIMEOUT_SECONDS,
            'a read',
        )
        reader.close()
        for reporter in reporters:
            reporter.close()
        assert min(stacks.values()) >= MIN_STACK_BYTES
        assert tail.stack >= MIN_STACK_BYTES

    def test_larger_stacks_take_no_memory(self) -> None:
        """Instances of 160 MB have hundreds of threads."""
        PoolDispatcher(4).shutdown()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        ended = threading.Event()
        threads = [
            threading.Thread(target=ended.wait) for _ in range(MANY_THREADS)
        ]
        for thread in threads:
            thread.start()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        ended.set()
        for thread in threads:
            thread.join()
        assert after - before < MANY_THREADS * THREAD_KB
