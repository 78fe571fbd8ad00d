"""The fleet, contracts and workload of two customers."""

import json
from pathlib import Path
from typing import Any

from .calls import Response, call, hash_token
from .fleet import Fleet, flatten_objects

WORKLOAD = Path(__file__).parent / 'workload'
#: API keys by customer.
KEYS = {'chikugo': 'chikugo-key', 'garmi': 'garmi-key'}
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
#: Quality of the generated text by version.
QUALITY = {'small@1': 0.72, 'large@1': 0.93, 'large@2': 0.94}
VERSIONS: dict[str, dict[str, Any]] = {
    'small@1': {
        'state': 'live',
        'prompt_price': 40,
        'completion_price': 120,
        'quality': {'*': 0.72, 'rewind-sheet': 0.5, 'care-plan': 0.55},
    },
    'large@1': {
        'state': 'live',
        'prompt_price': 400,
        'completion_price': 1200,
        'quality': {'*': 0.93},
    },
    'large@2': {
        'state': 'live',
        'prompt_price': 400,
        'completion_price': 1200,
        'quality': {'*': 0.94},
    },
}
SERVICES: dict[str, dict[str, Any]] = {
    'stock': {'repeatable': ['GET /']},
    'jobs': {'repeatable': ['GET /']},
    'booking': {'repeatable': ['GET /']},
}
CONTRACTS: dict[str, dict[str, Any]] = {
    'chikugo': {
        'versions': ['small@*', 'large@*'],
        'services': ['stock', 'jobs'],
        'quality': 0.7,
        'spend': 50_000_000,
        'requests_per_second': 200,
        'concurrent': 200,
        'max_output_tokens': 2000,
        'priority': 5,
        'keys': [hash_token(KEYS['chikugo'])],
        'availability_objective': 0.99,
        'first_token_objective': 0.95,
        'first_token_seconds': 1.0,
    },
    'garmi': {
        'versions': ['small@*', 'large@*'],
        'services': ['stock', 'booking'],
        'quality': 0.7,
        'spend': 50_000_000,
        'requests_per_second': 200,
        'concurrent': 200,
        'max_output_tokens': 2000,
        'priority': 6,
        'keys': [hash_token(KEYS['garmi'])],
        'availability_objective': 0.995,
        'first_token_objective': 0.95,
        'first_token_seconds': 0.45,
    },
}


def load_workload() -> dict[str, dict[str, Any]]:
    """Return the requests of the workload by name of their file."""
    return {
        path.stem: json.loads(path.read_text())
        for path in sorted(WORKLOAD.glob('*.json'))
    }


class UserFleet(Fleet):
    """Two entries, six engines and six plain services in four zones."""

    def __init__(self, engines: int = 6, **overrides: dict[str, Any]) -> None:
        """Start all processes and apply the customers' contracts."""
        super().__init__(**overrides)
        try:
            self._build(engines)
        except BaseException:
            self.close()
            raise

    def send_case(self, entry: str, case: dict[str, Any]) -> list[Response]:
        """Send a request of the workload, or all turns of a conversation.

        Returns a response for each turn.
        """
        headers = {
            'Authorization': f'Bearer {KEYS[case["customer"]]}',
            **case['headers'],
        }
        if case['call'] == 'service':
            path = f'/v1/services/{case["service"]}/{case["path"]}'
            return [
                self._send(entry, case['method'], path, case, headers),
            ]
        headers['X-Kind'] = case['kind']
        path = '/v1/chat/completions'
        if case['call'] == 'chat':
            return [self._send(entry, 'POST', path, case, headers)]
        responses: list[Response] = []
        messages: list[dict[str, str]] = []
        for turn in case['turns']:
            messages.append({'role': 'user', 'content': turn})
            body = {**case['body'], 'messages': messages}
            if responses and responses[0].status == 200:
                identifier = responses[0].headers['x-conversation-id']
                headers['X-Conversation-Id'] = identifier
            responses.append(
                self._send(entry, 'POST', path, {'body': body}, headers)
            )
            messages.append({'role': 'assistant', 'content': 'noted'})
        return responses

    def _send(
        self,
        entry: str,
        method: str,
        path: str,
        case: dict[str, Any],
        headers: dict[str, str],
    ) -> Response:
        address = self.daemons[entry].caller_address
        return call(address, method, path, case.get('body'), headers)

    def _build(self, engines: int) -> None:
        for number in range(engines):
            self.add_engine(
                f'model-{number + 1}',
                ZONES[number % len(ZONES)],
                tuple(VERSIONS),
                quality=json.dumps(QUALITY),
                step_ms=8.0,
            )
        for number, service in enumerate(SERVICES):
            for copy in (1, 2):
                zone = ZONES[(number + copy) % len(ZONES)]
                self.add_service(f'{service}-{copy}', zone, service)
        for number in (1, 2):
            self.add_entry(f'entry-{number}', ZONES[number - 1])
        objects = flatten_objects(
            zone={zone: {'out': False} for zone in ZONES},
            version=VERSIONS,
            service=SERVICES,
            contract=CONTRACTS,
        )
        self.apply_all('entry-1', objects)
        self.wait_connected()
