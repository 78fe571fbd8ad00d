"""WSGI application for health, readiness and metrics of a daemon."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .messages import Environ, Response, StartResponse, make_json_response, send


class Health:
    """Serves /healthz, /readyz and /metrics."""

    def __init__(
        self,
        find_problem: Callable[[], str],
        describe: Callable[[], Mapping[str, object]],
        ready_path: str = '/readyz',
    ) -> None:
        """Create the application.

        find_problem returns why the daemon isn't ready, or ''. The readiness
        response also has the fields that describe returns.
        """
        self._ready_path = ready_path
        self._find_problem = find_problem
        self._describe = describe

    def make_response(self, path: str) -> Response | None:
        """Return the response for a path, or None for other paths."""
        if path == '/healthz':
            return make_json_response({'status': 'alive'})
        if path == self._ready_path:
            problem = self._find_problem()
            status = HTTPStatus.OK
            if problem:
                status = HTTPStatus.SERVICE_UNAVAILABLE
            details = {'status': problem or 'ready', **self._describe()}
            return make_json_response(details, status)
        if path == '/metrics':
            return Response(
                HTTPStatus.OK, generate_latest(), CONTENT_TYPE_LATEST
            )
        return None

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one WSGI request."""
        response = self.make_response(environ.get('PATH_INFO', ''))
        if response is None:
            response = make_json_response(
                {'status': 'not found'}, HTTPStatus.NOT_FOUND
            )
        return send(response, start_response)
