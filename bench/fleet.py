"""A fleet for measurements, with limits too high to be reached."""

import time
from functools import partial
from typing import Any

from standins.calls import call, hash_token, wait_until
from standins.fleet import Fleet

API_KEY = 'bench-key'
#: Body of the object `version/small@1`.
VERSION = {
    'state': 'live',
    'prompt_price': 1,
    'completion_price': 1,
    'quality': {'*': 0.9},
}
#: Body of the only contract.
CONTRACT = {
    'versions': ['small@1'],
    'services': ['booking'],
    'quality': 0.5,
    'spend': 10**14,
    'requests_per_second': 10**6,
    'concurrent': 10**6,
    'max_output_tokens': 10**5,
    'priority': 5,
    'keys': [hash_token(API_KEY)],
}


class BenchFleet(Fleet):
    """Engines with sidecars, one booking service and one or more entries."""

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
        """Start all processes and wait until they serve.

        Engines take `step_ms` for each token and serve `slots` requests at a
        time; with `proxied`, connections go through the proxy that counts
        their bytes. Overrides are settings of a section, by its name.
        """
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
            wait_until(partial(self._put_object, name, body), 60, name)
        self.wait_ready(timeout=60)
        time.sleep(1)

    def _put_object(self, name: str, body: object) -> bool:
        return self.put('e1', name, body).status == 200

    def book_once(self, key: str) -> None:
        """Send a booking with an idempotency key to the first entry."""
        response = call(
            self.daemons['e1'].caller_address,
            'POST',
            '/v1/services/booking/bookings',
            {'motor': key},
            {'Authorization': f'Bearer {API_KEY}', 'Idempotency-Key': key},
        )
        if response.status != 201:
            raise RuntimeError(
                f'booking failed with status {response.status}: '
                f'{response.body!r}'
            )

    def wait_until_log_idle(self) -> None:
        """Wait until nothing was appended to the log for two seconds."""
        previous_bytes = -1
        while True:
            counts = call(self.platform, 'GET', '/counts').json()
            if counts['bytes_appended'] == previous_bytes:
                return
            previous_bytes = counts['bytes_appended']
            time.sleep(2)

    def chat_once(self) -> None:
        """Request a completion of one token from the first entry."""
        body = {
            'model': 'small@1',
            'messages': [{'role': 'user', 'content': 'Which gauge?'}],
            'max_tokens': 1,
        }
        response = call(
            self.daemons['e1'].caller_address,
            'POST',
            '/v1/chat/completions',
            body,
            {'Authorization': f'Bearer {API_KEY}'},
        )
        if response.status != 200:
            raise RuntimeError(
                f'chat failed with status {response.status}: {response.body!r}'
            )
