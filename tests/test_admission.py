"""Admission limits, without a network and with cold engines."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from freezegun import freeze_time

from standins.calls import call
from toucancourse.admission.limits import (
    ContractLimits,
    RetryBudget,
    WindowBudget,
)
from toucancourse.admission.window import FullError, Window
from toucancourse.errors import LimitedError

from .fleet import SmallFleet, make_contract


def make_window() -> Window:
    """Return a window of 4 slots in which a stream stalls after 0.1 s."""
    return Window(4, 1.0, 0.1)


class TestWindow:
    """The window grows with fast first tokens and shrinks on failures."""

    def test_starts_with_one(self) -> None:
        """A second request waits until the first has had a token."""
        window = make_window()
        window.acquire(0)
        with pytest.raises(FullError):
            window.acquire(0.01)
        window.record_first_token(0.2)
        window.acquire(0)
        assert window.running == 2

    def test_stalled_stream_blocks_admission(self) -> None:
        """One stalled stream blocks new requests, though others progress."""
        with freeze_time() as clock:
            window = make_window()
            window.acquire(0)
            window.record_first_token(0.1)
            window.record_token(1)
            window.acquire(0)
            window.record_token(2)
            window.record_first_token(0.1)
            clock.tick(0.2)
            window.record_token(1)
            with pytest.raises(FullError):
                window.acquire(0)
            window.record_token(2)
            window.acquire(0)

    def test_reported_cold_does_not_grow(self) -> None:
        """A fast first token doesn't grow the window of a cold endpoint."""
        window = make_window()
        window.record_report(cold=True)
        window.acquire(0)
        window.record_first_token(0.01)
        assert window.size == 1

    def test_failure_resets_the_window(self) -> None:
        """A failure resets the window to one request."""
        window = make_window()
        for _ in range(3):
            window.record_first_token(0.1)
        assert window.size == 4
        window.record_failure()
        assert window.is_cold()

    def test_priority_and_shedding(self) -> None:
        """High priorities are admitted first; a full queue sheds the lowest."""
        window = make_window()
        window.acquire(0)
        order: list[int] = []

        def wait(priority: int) -> None:
            try:
                window.acquire(5, priority)
            except FullError:
                order.append(-priority)
                return
            order.append(priority)
            window.release()

        threads = []
        for count, priority in enumerate((3, 1, 5, 2, 9), 1):
            thread = threading.Thread(target=wait, args=(priority,))
            thread.start()
            threads.append(thread)
            limit = time.monotonic() + 5
            while window.waiting < min(count, 4) and time.monotonic() < limit:
                time.sleep(0.001)
        threads[1].join(5)
        window.release()
        for thread in threads:
            thread.join(5)
        assert order == [-1, 9, 5, 3, 2]


class TestLimits:
    """Token buckets refill over time; retries are a share of requests."""

    def test_rate(self) -> None:
        """One of two entries has half the rate, with a burst of two seconds."""
        contract = make_contract('k', requests_per_second=2)
        with freeze_time() as clock:
            limits = ContractLimits()
            for _ in range(2):
                with limits.admit('c', contract, 2):
                    pass
            with pytest.raises(LimitedError), limits.admit('c', contract, 2):
                pass
            clock.tick(1)
            with limits.admit('c', contract, 2):
                pass

    # Guards against retries that pile up as processes are restarted.
    def test_restarted_entry_does_not_spend_the_fixed_retries_again(
        self,
    ) -> None:
        with freeze_time() as clock:
            budget = WindowBudget(0.2, 10, 10, time.monotonic())
            clock.tick(10)
            spent = 0
            for _ in range(4):
                for _ in range(10):
                    budget.record_request()
                spent += sum(budget.spend(1.0) for _ in range(30))
                clock.tick(1)
                budget = WindowBudget(0.2, 10, 10, time.monotonic())
            assert spent <= 10 + 0.2 * 40
            clock.tick(10)
            assert sum(budget.spend(1.0) for _ in range(30)) == 10

    def test_retry_budget(self) -> None:
        """If all requests fail, retries stay within the budget."""
        budget = RetryBudget(0.1)
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.spend()
        assert allowed <= 10 + 1000 * 0.1


class TestColdEngine:
    """A cold engine gets no more requests than it can run.

    An engine that gets more while cold fails.
    """

    def test_cold_start_under_load(self) -> None:
        """No engine fails when 40 callers send requests to cold engines."""
        engine = {'cold_seconds': 4.0, 'cold_limit': 1}
        with SmallFleet(('e1',), engine=engine) as fleet:
            with ThreadPoolExecutor(40) as workers:
                answers = list(
                    workers.map(
                        lambda _: fleet.chat(stream=True, max_tokens=20),
                        range(120),
                    )
                )
            for address in fleet.engines.values():
                journal = call(address, 'GET', '/journal').json()
                assert journal['max_cold'] <= 1
                states = {row['state'] for row in journal['rows']}
                assert 'fell' not in states
            assert sum(answer.status == 200 for answer in answers) > 20

    def test_draining_endpoint_gets_no_requests(self) -> None:
        """Other endpoints serve all requests while a sidecar drains."""
        with SmallFleet(('e1',)) as fleet:
            fleet.warm_up()
            with ThreadPoolExecutor(4) as workers:
                stopping = workers.submit(fleet.daemons['m1'].stop)
                answers = [
                    workers.submit(fleet.chat, max_tokens=3) for _ in range(60)
                ]
                assert stopping.result() == 0
                stopped_at = time.time()
            assert {answer.result().status for answer in answers} == {200}
            rows = fleet.journal(fleet.engines['m1'])
            assert not [row for row in rows if row['at'] > stopped_at]
