"""A fleet for measurements: one customer, cheap engines, no limits."""

import time
from functools import partial
from typing import Any

from standins.calls import call, hash_token, wait_until
from standins.fleet import Fleet

KEY = 'bench-key'
VERSION = {
    'state': 'live',
    'prompt_price': 1,
    'completion_price': 1,
    'quality': {'*': 0.9},
}
CONTRACT = {
    'versions': ['small@1'],
    'services': ['booking'],
    'quality': 0.5,
    'spend': 10**14,
    'requests_per_second': 10**6,
    'concurrent': 10**6,
    'max_output_tokens': 10**5,
    'priority': 5,
    'keys': [hash_token(KEY)],
}


class BenchWorld(Fleet):
    """Some engines with sidecars, a booking service and some entries."""

    def __init__(
        self,
        engines: int,
        entries: int = 1,
        *,
        step_ms: float = 10.0,
        slots: int = 400,
        zones: int = 1,
        proxied: bool = False,
        **overrides: dict[str, Any],
    ) -> None:
        """Start everything and wait until it serves."""
        settings = {
            'threads': 900 if entries == 1 else 16,
            'rating_share': 0,
            'max_peers': 1000,
        }
        entry = {**settings, **overrides.pop('entry', {})}
        sidecar = {'slots': slots, **overrides.pop('sidecar', {})}
        super().__init__(entry=entry, sidecar=sidecar, **overrides)
        if proxied:
            self.start_proxy()
        try:
            self._build(engines, entries, step_ms, zones, slots)
        except BaseException:
            self.close()
            raise

    def _build(
        self,
        engines: int,
        entries: int,
        step_ms: float,
        zones: int,
        slots: int,
    ) -> None:
        for number in range(engines):
            self.add_engine(
                f'm{number}',
                f'zone-{number % zones}',
                ('small@1',),
                step_ms=step_ms,
                slots=slots,
                prefill_rate=10**6,
            )
        self.add_service('b0', 'zone-0', 'booking')
        for number in range(entries):
            self.add_entry(f'e{number + 1}', f'zone-{number % zones}')
        wait_until(
            lambda: self.admin_is_up('e1'), 60, 'start of the first entry'
        )
        for name, body in (
            ('version/small@1', VERSION),
            ('service/booking', {'repeatable': []}),
            ('contract/bench', CONTRACT),
        ):
            wait_until(partial(self._try_put, name, body), 60, name)
        self.wait_ready(timeout=60)
        time.sleep(1)

    def _try_put(self, name: str, body: object) -> bool:
        return self.put('e1', name, body).status == 200

    def book_once(self, key: str) -> None:
        """Book with an idempotency key at the first entry."""
        answer = call(
            self.daemons['e1'].caller_address,
            'POST',
            '/v1/services/booking/bookings',
            {'motor': key},
            {'Authorization': f'Bearer {KEY}', 'Idempotency-Key': key},
        )
        if answer.status != 201:
            raise RuntimeError(f'status {answer.status}: {answer.body!r}')

    def wait_idle_log(self) -> None:
        """Wait until nothing is appended for two seconds."""
        last = -1
        while True:
            counts = call(self.platform, 'GET', '/counts').json()
            if counts['bytes_appended'] == last:
                return
            last = counts['bytes_appended']
            time.sleep(2)

    def chat_once(self) -> None:
        """Ask for a short answer at the first entry."""
        body = {
            'model': 'small@1',
            'messages': [{'role': 'user', 'content': 'Which gauge?'}],
            'max_tokens': 1,
        }
        answer = call(
            self.daemons['e1'].caller_address,
            'POST',
            '/v1/chat/completions',
            body,
            {'Authorization': f'Bearer {KEY}'},
        )
        if answer.status != 200:
            raise RuntimeError(f'status {answer.status}: {answer.body!r}')
