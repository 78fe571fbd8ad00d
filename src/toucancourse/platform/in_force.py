"""Reads what is in force from the platform's store."""

from loguru import logger

from ..errors import DECODE_ERRORS
from ..forwarding.objects import EndpointRecord
from ..membership.topics import Record
from . import names
from .records import decode_endpoint
from .store import StoreTopic


def fetch_configuration(address: str) -> bytes | None:
    """Return the newest configuration of a store at "host:port", or None.

    Raises LogDownError.
    """
    records = StoreTopic(address, names.OPERATOR_TOPIC).fetch_newest().records
    for record in records:
        if record.key == names.CONFIGURATION_KEY:
            return record.content
    return None


def fetch_endpoints(address: str) -> list[EndpointRecord]:
    """Return the registrations at a store; those that are invalid are none.

    Raises LogDownError.
    """
    records = StoreTopic(address, names.ENDPOINT_TOPIC).fetch_newest().records
    return [
        endpoint
        for record in records
        if (endpoint := _decode(record)) is not None
    ]


def _decode(record: Record) -> EndpointRecord | None:
    try:
        return decode_endpoint(record.key, record.content or b'')
    except DECODE_ERRORS as error:
        logger.warning(
            'invalid record ignored', key=record.key, why=repr(error)
        )
    return None
