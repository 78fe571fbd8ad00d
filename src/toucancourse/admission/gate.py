"""Admission check of a sidecar before it dispatches a request."""

from collections.abc import Callable
from typing import Final

from ..errors import (
    ForbiddenError,
    LeavingError,
    LogDownError,
    ModelNotFoundError,
    StaleError,
    UnavailableError,
    VersionWithdrawnError,
)
from ..membership.configuration import Configuration
from ..membership.freshness import Freshness
from ..protocol import peer_pb2

#: Longest wait for configuration records that the entry has already applied.
CATCH_UP_SECONDS: Final = 1.0


class ZoneOutError(UnavailableError):
    """Operators took the endpoint's zone or instance out of service."""

    code = 'zone_out'


class Gate:
    """Admits or rejects requests by the sidecar's newest configuration."""

    def __init__(
        self,
        configuration: Configuration,
        freshness: Freshness,
        catch_up: Callable[[], None],
        location: tuple[str, str],
    ) -> None:
        """Create a gate for an endpoint.

        `location` is the endpoint's zone and instance. `catch_up` reads the
        configuration log and may raise LogDownError.
        """
        self._configuration = configuration
        self._freshness = freshness
        self._catch_up = catch_up
        self._location = location
        #: True once the sidecar drains; all requests are rejected then.
        self.is_draining = False

    def check(self, request: peer_pb2.Open) -> None:
        """Raise a CourseError unless the request may start now."""
        if self.is_draining:
            raise LeavingError('the endpoint is draining')
        self._check_offset(request.offset)
        self._check_freshness()
        state = self._configuration.state
        if state.is_out_of_service(*self._location):
            zone, instance = self._location
            raise ZoneOutError(
                f'instance "{instance}" in zone "{zone}" is out of service'
            )
        if request.version:
            self._check_version(request.customer, request.version)
        elif state.contract(request.customer) is None:
            raise ForbiddenError(f'customer "{request.customer}" is unknown')

    def _check_offset(self, offset: int) -> None:
        if self._configuration.offset >= offset:
            return
        self._try_catch_up()
        if not self._configuration.wait_offset(offset, CATCH_UP_SECONDS):
            raise StaleError(
                'the sidecar has the configuration up to offset '
                f'{self._configuration.offset}, the entry up to {offset}',
            )

    def _check_freshness(self) -> None:
        if self._freshness.is_current():
            return
        self._try_catch_up()
        if not self._freshness.is_current():
            raise StaleError('the configuration may be out of date')

    def _try_catch_up(self) -> None:
        try:
            self._catch_up()
        except LogDownError:
            return

    def _check_version(self, customer: str, version: str) -> None:
        state = self._configuration.state
        if state.version(version) is None:
            raise ModelNotFoundError(f'version "{version}" does not exist')
        if not state.is_live(version):
            raise VersionWithdrawnError(f'version "{version}" is withdrawn')
        if not state.allows(customer, version):
            raise ForbiddenError(
                f'contract "{customer}" does not allow "{version}"'
            )
