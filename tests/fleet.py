"""A small fleet with the contracts of two customers, for integration tests."""

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.calls import Response, call, hash_token, wait_until
from standins.fleet import Fleet, flatten_objects

CHIKUGO_KEY = 'chikugo-key'
GARMI_KEY = 'garmi-key'
HIGH_SPEND = 10**12

VERSIONS = {
    'small@1': {
        'state': 'live',
        'prompt_price': 10,
        'completion_price': 20,
        'quality': {'*': 0.7},
    },
    'large@1': {
        'state': 'live',
        'prompt_price': 100,
        'completion_price': 200,
        'quality': {'*': 0.92},
    },
}
SERVICES = {
    'booking': {'repeatable': ['GET /']},
    'stock': {'repeatable': ['GET /', 'POST /lookups']},
}


def make_contract(key: str, **changes: Any) -> dict[str, Any]:
    """Return a contract with high limits and some changes."""
    return {
        'versions': ['small@*', 'large@1'],
        'services': ['booking'],
        'quality': 0.6,
        'spend': HIGH_SPEND,
        'requests_per_second': 2000,
        'concurrent': 500,
        'max_output_tokens': 4000,
        'priority': 5,
        'keys': [hash_token(key)],
        **changes,
    }


class SmallFleet(Fleet):
    """Two zones, two model servers, a booking service and some entries."""

    def __init__(
        self,
        entries: tuple[str, ...] = ('e1', 'e2'),
        *,
        proxy: bool = False,
        engine: dict[str, Any] | None = None,
        **overrides: dict[str, Any],
    ) -> None:
        """Start all processes and wait until they serve requests.

        With proxy, links run through the fault proxy; engine holds options
        of the model servers, overrides the settings of the daemons by section.
        """
        super().__init__(**overrides)
        try:
            self._build(entries, proxy, engine or {})
        except BaseException:
            self.close()
            raise

    def chat(
        self,
        entry: str = 'e1',
        *,
        key: str = CHIKUGO_KEY,
        headers: dict[str, str] | None = None,
        timeout: float = 30,
        **body: Any,
    ) -> Response:
        """Send a chat completion request and return the response."""
        request_body = {
            'model': 'auto',
            'messages': [{'role': 'user', 'content': 'Which wire gauge?'}],
            'max_tokens': 8,
            **body,
        }
        return call(
            self.daemons[entry].caller_address,
            'POST',
            '/v1/chat/completions',
            request_body,
            {'Authorization': f'Bearer {key}', **(headers or {})},
            timeout,
        )

    def book(
        self,
        entry: str = 'e1',
        *,
        key: str = '',
        body: object = None,
        timeout: float = 30,
        deadline_ms: int = 20_000,
    ) -> Response:
        """Send a booking, with an idempotency key unless it is ''."""
        headers = {
            'Authorization': f'Bearer {CHIKUGO_KEY}',
            'X-Deadline-Ms': str(deadline_ms),
        }
        if key:
            headers['Idempotency-Key'] = key
        return call(
            self.daemons[entry].caller_address,
            'POST',
            '/v1/services/booking/bookings',
            body or {'motor': key or 'any'},
            headers,
            timeout,
        )

    def look_up(self, path: str, entry: str = 'e1') -> Response:
        """Send a GET request to the booking service."""
        return call(
            self.daemons[entry].caller_address,
            'GET',
            f'/v1/services/booking/{path}',
            None,
            {'Authorization': f'Bearer {CHIKUGO_KEY}'},
        )

    def bill(self, customer: str = 'chikugo', entry: str = 'e1') -> Any:
        """Return a customer's bill of today."""
        return self.admin(entry, 'GET', f'/bills/{customer}').json()

    def warm_up(self) -> None:
        """Send requests until each model server's concurrency window grew."""
        for _ in range(5):
            with ThreadPoolExecutor(8) as workers:
                list(workers.map(lambda _: self.chat(), range(8)))

    def wait_billed(self, count: int, entry: str = 'e1') -> Any:
        """Return the bill once it counts at least a number of requests."""
        wait_until(
            lambda: self.bill(entry=entry)['requests'] >= count,
            15,
            f'billing of {count} requests',
        )
        return self.bill(entry=entry)

    def _build(
        self,
        entries: tuple[str, ...],
        proxy: bool,
        engine: dict[str, Any],
    ) -> None:
        if proxy:
            self.start_proxy()
        quality = json.dumps({'small@1': 0.7, 'large@1': 0.92})
        offered = tuple(VERSIONS)
        self.add_engine('m1', 'east', offered, quality=quality, **engine)
        self.add_engine('m2', 'west', offered, quality=quality, **engine)
        self.add_service('b1', 'east', 'booking')
        for number, name in enumerate(entries):
            self.add_entry(name, ('east', 'west')[number % 2])
        objects = flatten_objects(
            zone={zone: {'out': False} for zone in ('east', 'west')},
            version=VERSIONS,
            service=SERVICES,
            contract={
                'chikugo': make_contract(CHIKUGO_KEY),
                'garmi': make_contract(GARMI_KEY),
            },
        )
        self.apply_all(entries[0], objects)
        self.wait_connected()

    def clear_faults(self) -> None:
        """Remove all faults, resume or restart daemons and wait for them."""
        self.set_proxy_fault('*', 'none')
        self.set_platform_fault(log_down_seconds=0)
        for daemon in self.daemons.values():
            daemon.resume()
            if not daemon.is_running():
                daemon.start()
        self.wait_connected()
