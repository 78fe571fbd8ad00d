"""The platform's wire names occur in its adapter package only."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / 'src' / 'toucancourse'
ADAPTER = ROOT / 'platform'
#: Generated code.
EXEMPT = ('peer_pb2',)
#: Regular expressions for the platform's header, path and field names.
#: X-Deadline-Ms is missing: the project's own API has a header of that name.
WIRE_NAMES = (
    r'X-(?:Attempt|Key|Tenant|Expected|Model|Token|Prompt|Server)',
    'X-Request-Priority',
    r'X-(?:Cache|Pin|Kv|Routing|Cold|Not|Instance|Weight|Length)',
    'Kv-F(?:rom|etch)',
    r'keyed\.(?:op|servers|status)',
    r'/log-\w+',
    r'/kv-\w+',
    '/readiness',
    'pathPrefix',
    'trafficSplit',
    r'\w+TimeoutMs',
    'maxAttempts',
    'coldRemainingMs',
    'coldPerS',
    'apiKeys',
    'streamResumption',
    'targetLatencyMs',
    'inferenceEngine',
    'nodeName',
    'internalPortRange',
    'listenAddresses',
    'tenant',
    'durationS',
    'rolled_back',
)


def find_names(text: str) -> list[str]:
    """Return the wire names in a text."""
    pattern = '|'.join(WIRE_NAMES)
    return re.findall(rf'(?<![\w.])(?:{pattern})', text, re.IGNORECASE)


class TestWireNames:
    """No module outside the adapter has a wire name of the platform."""

    @pytest.mark.parametrize(
        'path',
        sorted(
            path
            for path in ROOT.rglob('*.py')
            if ADAPTER not in path.parents and not path.name.startswith(EXEMPT)
        ),
        ids=lambda path: str(path.relative_to(ROOT)),
    )
    def test_module_has_no_wire_name(self, path: Path) -> None:
        assert not find_names(path.read_text())

    @pytest.mark.parametrize(
        'source',
        [
            "HEADER = 'X-Tenant'",
            "row['pathPrefix']",
            "topic = 'keyed.servers'",
            "'/log-append'",
            "headers['x-attempt-id']",
        ],
    )
    def test_wire_name_is_detected(self, source: str) -> None:
        assert find_names(source)

    def test_adapter_has_wire_names(self) -> None:
        text = '\n'.join(path.read_text() for path in ADAPTER.glob('*.py'))
        assert len(find_names(text)) > 30
