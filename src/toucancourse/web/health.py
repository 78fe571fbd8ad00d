"""Health, readiness and metrics of a daemon."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .messages import Environ, Response, StartResponse, make_json, send


class Health:
    """Serves /healthz, /readyz and /metrics."""

    def __init__(
        self,
        find_problem: Callable[[], str],
        describe: Callable[[], Mapping[str, object]],
        ready_path: str = '/readyz',
    ) -> None:
        """Keep a check that returns why the daemon isn't ready, or ''.

        What describe returns is shown beside it.
        """
        self._ready_path = ready_path
        self._find_problem = find_problem
        self._describe = describe

    def answer(self, path: str) -> Response | None:
        """Return the answer for a path, or None if it is not ours."""
        if path == '/healthz':
            return make_json({'status': 'alive'})
        if path == self._ready_path:
            problem = self._find_problem()
            status = HTTPStatus.OK
            if problem:
                status = HTTPStatus.SERVICE_UNAVAILABLE
            details = {'status': problem or 'ready', **self._describe()}
            return make_json(details, status)
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
        """Answer one WSGI request."""
        response = self.answer(environ.get('PATH_INFO', ''))
        if response is None:
            response = make_json({'status': 'not found'}, HTTPStatus.NOT_FOUND)
        return send(response, start_response)
