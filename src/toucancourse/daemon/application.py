"""WSGI application that serves an entry's callers."""

import threading
import time
from collections.abc import Iterable
from typing import Final

from ..delivery.callers import authenticate
from ..delivery.chat import ChatHandler
from ..delivery.exchange import PATH as CHAT_PATH
from ..delivery.services import PREFIX as SERVICE_PREFIX
from ..delivery.services import ServiceHandler
from ..errors import CourseError, LeavingError, NotFoundError
from ..membership.configuration import Configuration
from ..web.health import Health
from ..web.messages import (
    Environ,
    Request,
    StartResponse,
    make_error_response,
    make_json_response,
    read_request,
    send,
)

#: Interval between checks for requests in flight while draining.
DRAIN_POLL_SECONDS: Final = 0.02
MODELS_PATH: Final = '/v1/models'


class CallerApplication:
    """Routes callers' requests to handlers and counts those in flight."""

    def __init__(
        self,
        configuration: Configuration,
        health: Health,
        chat: ChatHandler,
        services: ServiceHandler,
        max_body_bytes: int,
    ) -> None:
        """Create an application that refuses bodies above max_body_bytes."""
        self._configuration = configuration
        self._health = health
        self._chat = chat
        self._services = services
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._in_flight = 0
        self._is_draining = False

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one WSGI request; a CourseError becomes an error response."""
        health = self._health.make_response(environ.get('PATH_INFO', ''))
        if health is not None:
            return send(health, start_response)
        with self._lock:
            self._in_flight += 1
        try:
            request = read_request(environ, self._max_body_bytes)
            return self._route(request, start_response)
        except CourseError as error:
            return send(make_error_response(error), start_response)
        finally:
            with self._lock:
                self._in_flight -= 1

    def drain(self, deadline: float) -> None:
        """Refuse new requests and wait for those in flight.

        The deadline of the wait is a value of time.monotonic().
        """
        self._is_draining = True
        while self._in_flight and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)

    def _route(
        self,
        request: Request,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if self._is_draining:
            raise LeavingError('this entry is draining; retry at another one')
        if request.path == CHAT_PATH and request.method == 'POST':
            return self._chat.serve(request, start_response)
        if request.path.startswith(SERVICE_PREFIX):
            return self._services.serve(request, start_response)
        if request.path == MODELS_PATH and request.method == 'GET':
            return send(
                make_json_response(self._list_models(request)), start_response
            )
        raise NotFoundError(
            f'path "{request.path}" with method "{request.method}" '
            'does not exist',
        )

    def _list_models(self, request: Request) -> dict[str, object]:
        state = self._configuration.state
        caller = authenticate(state, request.get_bearer_token())
        versions = state.usable_versions(caller.customer)
        models = sorted({version.partition('@')[0] for version in versions})
        return {
            'object': 'list',
            'data': [
                {
                    'id': name,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'toucancourse',
                }
                for name in ('auto', *models, *versions)
            ],
        }
