"""The WSGI application of the administration API."""

import time
import uuid
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Any, Final

from ..billing.ledger import today
from ..billing.spend import SpendState
from ..contract.objects import split_name
from ..contract.records import Change
from ..contract.replay import ACCEPTED, STALE, Verdict
from ..contract.state import State
from ..delivery.entry import EntryContext
from ..errors import BadRequestError, CourseError, NotFoundError
from ..report.burn import list_burn_rates, list_time_series, make_alert_rules
from ..report.levels import LevelState, find_bucket
from ..streams.follower import Follower
from ..web.messages import (
    Environ,
    Request,
    Response,
    StartResponse,
    make_error_response,
    make_json_response,
    read_request,
    send,
)
from .changes import ChangeSubmitter, is_accepted
from .operators import Operator, find_operator, find_required_role

PATH_PREFIX: Final = '/admin/v1'
MAX_BODY_BYTES: Final = 1_048_576
MAX_CONFIRMATION_WAIT_SECONDS: Final = 60.0
SUBMIT_TIMEOUT_SECONDS: Final = 5.0
#: Keys of object bodies whose values are replaced in responses.
SECRET_KEYS: Final = frozenset(('secret',))
REDACTED: Final = '(hidden)'


class AdminHandler:
    """Serves the requests of operators."""

    def __init__(
        self,
        context: EntryContext,
        changes: ChangeSubmitter,
        spend: Follower[SpendState],
        levels: Follower[LevelState],
        bootstrap_sha256: str,
    ) -> None:
        """Create the application of one entry.

        bootstrap_sha256 is the hexadecimal SHA-256 digest of the bootstrap
        operator's token; empty if there is none.
        """
        self._context = context
        self._changes = changes
        self._spend = spend
        self._levels = levels
        self._bootstrap_sha256 = bootstrap_sha256

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one WSGI request."""
        try:
            request = read_request(environ, MAX_BODY_BYTES)
            response = self._route(request)
        except CourseError as error:
            response = make_error_response(error)
        return send(response, start_response)

    def _route(self, request: Request) -> Response:
        state = self._context.configuration.state
        operator = find_operator(
            state, request.get_bearer_token(), self._bootstrap_sha256
        )
        if not request.path.startswith(f'{PATH_PREFIX}/'):
            raise NotFoundError(f'path "{request.path}" does not exist')
        section, _, subpath = request.path[len(PATH_PREFIX) + 1 :].partition(
            '/'
        )
        if section == 'objects' and request.method == 'PUT':
            return self._submit_change(request, operator, subpath)
        if request.method != 'GET':
            raise NotFoundError(
                f'method "{request.method}" of "{request.path}" does not exist'
            )
        return self._route_read(request, state, section, subpath)

    def _route_read(
        self,
        request: Request,
        state: State,
        section: str,
        subpath: str,
    ) -> Response:
        if section == 'objects':
            return make_json_response(_show_objects(state, subpath))
        if section == 'history':
            return make_json_response(_show_history(state, subpath))
        if section == 'status':
            return make_json_response(self._show_status(state))
        if section == 'explain':
            return make_json_response(self._explain(subpath))
        if section == 'burn':
            return make_json_response(self._show_burn(state))
        if section == 'alerts':
            return make_json_response({'rules': make_alert_rules(state)})
        if section == 'bills':
            return make_json_response(self._show_bill(subpath, request.query))
        raise NotFoundError(f'path "{request.path}" does not exist')

    def _submit_change(
        self,
        request: Request,
        operator: Operator,
        name: str,
    ) -> Response:
        operator.require_role(find_required_role(name))
        body = request.parse_json_body()
        change = _read_change(body, name, operator)
        if body.get('dry_run'):
            verdict = self._changes.preview(change)
            return make_json_response(
                self._describe_verdict(verdict, change),
                _find_http_status(verdict),
            )
        expected_verdict = self._changes.preview(change)
        if expected_verdict.code != ACCEPTED:
            return make_json_response(
                self._describe_verdict(expected_verdict, change),
                _find_http_status(expected_verdict),
            )
        verdict = self._changes.submit(change, SUBMIT_TIMEOUT_SECONDS)
        result = self._describe_verdict(verdict, change)
        if is_accepted(verdict):
            wait = min(
                float(body.get('wait_seconds', 0)),
                MAX_CONFIRMATION_WAIT_SECONDS,
            )
            seconds, unconfirmed = self._changes.wait_until_in_force(
                verdict.offset + 1, self._list_offsets, wait
            )
            result['seconds'] = round(seconds, 3)
            result['waiting_for'] = list(unconfirmed)
            result['in_force'] = not unconfirmed
        return make_json_response(result, _find_http_status(verdict))

    def _describe_verdict(
        self, verdict: Verdict, change: Change
    ) -> dict[str, Any]:
        state = self._context.configuration.state
        result: dict[str, Any] = {
            'code': verdict.code,
            'change_id': change.change_id,
            'revision': state.revision(change.name),
            'problems': [problem._asdict() for problem in verdict.problems],
        }
        if verdict.code == STALE:
            result['winner'] = _find_winning_change(state, change.name)
        return result

    def _list_offsets(self) -> Mapping[str, int]:
        """Return the configuration offset that each instance has reached.

        An instance of which no report has arrived counts as at offset 0;
        draining ones are left out.
        """
        context = self._context
        known = {context.instance: context.configuration.offset}
        for link in context.pool.links():
            if link.connected:
                known[link.instance.name] = link.offset
            for name, offset in list(link.connected_entries.offsets.items()):
                known[name] = max(offset, known.get(name, 0))
        return {
            instance.name: known.get(instance.name, 0)
            for instance in context.directory.instances
            if not instance.leaving
        }

    def _show_status(self, state: State) -> dict[str, Any]:
        context = self._context
        offsets = self._list_offsets()
        links = {link.instance.name: link for link in context.pool.links()}
        rows = []
        for instance in context.directory.instances:
            link = links.get(instance.name)
            rows.append(
                {
                    **instance._asdict(),
                    'offset': offsets.get(instance.name, 0),
                    'out': state.is_out_of_service(
                        instance.zone, instance.name
                    ),
                    'connected': bool(link and link.connected),
                    'offers': list(link.load.offers) if link else [],
                    'running': link.load.running if link else 0,
                    'window': link.load.window if link else 0,
                }
            )
        proof_age = time.monotonic() - context.freshness.proof
        return {
            'instance': context.instance,
            'offset': state.offset,
            'digest': state.digest(),
            'proof_age_seconds': round(proof_age, 3),
            'current': context.freshness.is_current(),
            'instances': rows,
        }

    def _explain(self, request_id: str) -> dict[str, Any]:
        decision = self._context.decisions.find(request_id)
        if decision is None:
            raise NotFoundError(
                f'request "{request_id}" is not in the decision history of '
                f'entry "{self._context.instance}"',
            )
        result = decision._asdict()
        result['steps'] = [step._asdict() for step in decision.steps]
        return result

    def _show_burn(self, state: State) -> dict[str, Any]:
        bucket = find_bucket(time.time())
        self._levels.catch_up()
        with self._levels.lock:
            level_state = self._levels.state
            rows = list(list_burn_rates(state, level_state, bucket))
            series = list(list_time_series(state, level_state, bucket))
        return {'rows': [row._asdict() for row in rows], 'series': series}

    def _show_bill(
        self,
        customer: str,
        query: Mapping[str, str],
    ) -> dict[str, Any]:
        first = query.get('from', today())
        last = query.get('to', first)
        self._spend.catch_up()
        with self._spend.lock:
            spend_state = self._spend.state
            lines = spend_state.list_lines(customer, (first, last))
            open_allowances = spend_state.find_allowances(customer, last)
        return {
            'customer': customer,
            'from': first,
            'to': last,
            'lines': [line._asdict() for line in lines],
            'requests': sum(line.requests for line in lines),
            'cost': sum(line.cost for line in lines),
            'open_allowances': open_allowances,
        }


def _read_change(
    body: Mapping[str, Any],
    name: str,
    operator: Operator,
) -> Change:
    base = body.get('base')
    if not isinstance(base, int) or isinstance(base, bool):
        raise BadRequestError('key "base" is not a revision')
    if not isinstance(body.get('body'), dict | None):
        raise BadRequestError('key "body" is not an object')
    wait = body.get('wait_seconds', 0)
    if not isinstance(wait, int | float) or wait < 0:
        raise BadRequestError('key "wait_seconds" is not a number')
    return Change(
        str(body.get('change_id') or uuid.uuid4()),
        name,
        base,
        operator.name,
        body.get('body'),
        bool(body.get('force', False)),
        time.time(),
    )


def _find_http_status(verdict: Verdict) -> int:
    if is_accepted(verdict):
        return HTTPStatus.OK
    if verdict.code == STALE:
        return HTTPStatus.CONFLICT
    return HTTPStatus.UNPROCESSABLE_ENTITY


def _find_winning_change(state: State, name: str) -> dict[str, Any]:
    """Return the last accepted change of an object.

    If the audit trail doesn't hold it any more, only the object's revision
    and body are returned.
    """
    for change in reversed(state.audit):
        if change.name == name and change.code == ACCEPTED:
            return {
                'operator': change.operator,
                'at': change.at,
                'revision': change.offset + 1,
                'body': _redact(state.body(name)),
            }
    return {'revision': state.revision(name), 'body': _redact(state.body(name))}


def _redact(body: Mapping[str, Any] | None) -> dict[str, Any] | None:
    if body is None:
        return None
    return {
        key: REDACTED if key in SECRET_KEYS else value
        for key, value in body.items()
    }


def _show_objects(state: State, subpath: str) -> dict[str, Any]:
    """Return one object for "kind/name", all of a kind for "kind".

    An empty subpath stands for the objects of all kinds.
    """
    if '/' in subpath:
        return {
            'name': subpath,
            'revision': state.revision(subpath),
            'body': _redact(state.body(subpath)),
        }
    return {
        'objects': [
            {
                'name': name,
                'revision': stored.revision,
                'body': _redact(stored.body),
            }
            for name, stored in sorted(state.objects.items())
            if stored.body is not None and subpath in {'', split_name(name)[0]}
        ],
    }


def _show_history(state: State, name: str) -> dict[str, Any]:
    return {
        'changes': [
            change._asdict()
            for change in state.audit
            if name in {'', change.name}
        ],
    }
