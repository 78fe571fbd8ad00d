"""An operator's configuration in the users' platform's format."""

import json
from typing import Any

HOST = 'desk.example'
KEY = 'key-of-a'


def make_operator_config(revision: int = 1, **changes: Any) -> bytes:
    """Return an encoded configuration with a route of each kind.

    `changes` replace top-level fields.
    """

    def route(
        name: str, kind: str, max_attempts: int, **options: Any
    ) -> dict[str, Any]:
        return {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 2000,
            'targetLatencyMs': 600,
            'priority': 1,
            'service': 'desk',
            'maxAttempts': max_attempts,
            'anonymous': False,
            **options,
        }

    config = {
        'version': revision,
        'routes': [
            route('book', 'unsafe', 1),
            route('look', 'safe', 2),
            route('open', 'safe', 2, anonymous=True),
            route('draft', 'streaming', 3, streamResumption=True),
            route(
                'auto',
                'streaming',
                3,
                streamResumption=True,
                sizes=['small', 'middle', 'large'],
            ),
        ],
        'services': [
            {'name': 'desk', 'connectionLimit': 90, 'coldPerS': 10},
        ],
        'limits': {'idleTimeoutMs': 15000},
        'tenants': [{'name': 'account-a', 'apiKeys': [KEY]}],
    }
    return json.dumps({**config, **changes}).encode()
