"""The sidecar's last check before a request is dispatched."""

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

#: Longest wait for records that the entry already folded.
CATCH_UP_SECONDS: Final = 1.0


class ZoneOutError(UnavailableError):
    """Operators took the endpoint's zone or instance out."""

    code = 'zone_out'


class Gate:
    """Decides from the newest configuration whether a request may start."""

    def __init__(
        self,
        configuration: Configuration,
        freshness: Freshness,
        catch_up: Callable[[], None],
        place: tuple[str, str],
    ) -> None:
        """Keep the parts; place is the endpoint's zone and instance."""
        self._configuration = configuration
        self._freshness = freshness
        self._catch_up = catch_up
        self._place = place
        self.leaving = False

    def check(self, request: peer_pb2.Open) -> None:
        """Raise a CourseError unless the request may start now."""
        if self.leaving:
            raise LeavingError('the endpoint is leaving')
        self._check_offset(request.offset)
        self._check_freshness()
        state = self._configuration.state
        if state.is_out_of_service(*self._place):
            zone, instance = self._place
            raise ZoneOutError(f'instance "{instance}" in "{zone}" is out')
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
                f'configuration is at {self._configuration.offset}, '
                f'the entry is at {offset}',
            )

    def _check_freshness(self) -> None:
        if self._freshness.is_current():
            return
        self._try_catch_up()
        if not self._freshness.is_current():
            raise StaleError('configuration may be out of date')

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
