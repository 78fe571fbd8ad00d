"""Records in which entries tell each other what they saw of a canary."""

import json
import math
from typing import Final

from .canary import CanaryReport, Count

KEY_PREFIX: Final = 'canary/'


def decode_key(key: str) -> tuple[str, str]:
    """Return the service and the instance that a record's key names."""
    service, _, instance = key.removeprefix(KEY_PREFIX).rpartition('/')
    return service, instance


def decode_report(content: bytes) -> CanaryReport:
    """Return the report in a record.

    Raises one of errors.DECODE_ERRORS.
    """
    fields = json.loads(content)
    return CanaryReport(
        str(fields['target']),
        _decode_count(fields['canary']),
        _decode_count(fields['baseline']),
    )


def encode_report(
    service: str, instance: str, report: CanaryReport
) -> tuple[str, bytes]:
    """Return key and content of an entry's record."""
    fields = json.dumps(report._asdict()).encode()
    return f'{KEY_PREFIX}{service}/{instance}', fields


def _decode_count(numbers: list[float]) -> Count:
    answers, bad, timed, slow = (float(number) for number in numbers)
    count = Count(answers, bad, timed, slow)
    for sample in (count.find_failures(), count.find_slow()):
        if not math.isfinite(sample.size):
            raise ValueError(f'{sample} is not finite')
        if not 0 <= sample.bad <= sample.size:
            raise ValueError(f'{sample} has more bad ones than all')
    return count
