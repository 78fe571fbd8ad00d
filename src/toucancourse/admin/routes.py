"""The administration API's routes."""

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
from ..report.burn import list_burn, list_series, make_alert_rules
from ..report.levels import LevelBook, find_bucket
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
from .changes import Changes, is_accepted
from .operators import Operator, find_operator, find_role

PREFIX: Final = '/admin/v1'
MAX_BODY_BYTES: Final = 1_048_576
MAX_WAIT_SECONDS: Final = 60.0
SUBMIT_SECONDS: Final = 5.0
#: Keys whose values are never shown.
SECRET_KEYS: Final = frozenset(('secret',))
HIDDEN: Final = '(hidden)'


class AdminHandler:
    """Serves operators' requests."""

    def __init__(
        self,
        context: EntryContext,
        changes: Changes,
        spend: Follower[SpendState],
        levels: Follower[LevelBook],
        first_sha256: str,
    ) -> None:
        """Keep the parts and the digest of the first operator's token."""
        self._context = context
        self._changes = changes
        self._spend = spend
        self._levels = levels
        self._first = first_sha256

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        try:
            request = read_request(environ, MAX_BODY_BYTES)
            response = self._route(request)
        except CourseError as error:
            response = make_error_response(error)
        return send(response, start_response)

    def _route(self, request: Request) -> Response:
        state = self._context.configuration.state
        operator = find_operator(state, request.get_bearer_token(), self._first)
        if not request.path.startswith(f'{PREFIX}/'):
            raise NotFoundError(f'path "{request.path}" does not exist')
        section, _, rest = request.path[len(PREFIX) + 1 :].partition('/')
        if section == 'objects' and request.method == 'PUT':
            return self._change(request, operator, rest)
        if request.method != 'GET':
            raise NotFoundError(
                f'method "{request.method}" of "{request.path}" does not exist'
            )
        return self._read(request, state, section, rest)

    def _read(
        self,
        request: Request,
        state: State,
        section: str,
        rest: str,
    ) -> Response:
        if section == 'objects':
            return make_json_response(_show_objects(state, rest))
        if section == 'history':
            return make_json_response(_show_history(state, rest))
        if section == 'status':
            return make_json_response(self._show_status(state))
        if section == 'explain':
            return make_json_response(self._explain(rest))
        if section == 'burn':
            return make_json_response(self._show_burn(state))
        if section == 'alerts':
            return make_json_response({'rules': make_alert_rules(state)})
        if section == 'bills':
            return make_json_response(self._show_bill(rest, request.query))
        raise NotFoundError(f'path "{request.path}" does not exist')

    def _change(
        self,
        request: Request,
        operator: Operator,
        name: str,
    ) -> Response:
        operator.check(find_role(name))
        body = request.parse_json_body()
        change = _read_change(body, name, operator)
        if body.get('dry_run'):
            verdict = self._changes.judge(change)
            return make_json_response(
                self._describe(verdict, change),
                _find_status(verdict),
            )
        early = self._changes.judge(change)
        if early.code != ACCEPTED:
            return make_json_response(
                self._describe(early, change), _find_status(early)
            )
        verdict = self._changes.submit(change, SUBMIT_SECONDS)
        answer = self._describe(verdict, change)
        if is_accepted(verdict):
            wait = min(float(body.get('wait_seconds', 0)), MAX_WAIT_SECONDS)
            seconds, waiting = self._changes.wait_in_force(
                verdict.offset + 1, self._offsets, wait
            )
            answer['seconds'] = round(seconds, 3)
            answer['waiting_for'] = list(waiting)
            answer['in_force'] = not waiting
        return make_json_response(answer, _find_status(verdict))

    def _describe(self, verdict: Verdict, change: Change) -> dict[str, Any]:
        state = self._context.configuration.state
        answer: dict[str, Any] = {
            'code': verdict.code,
            'change_id': change.change_id,
            'revision': state.revision(change.name),
            'problems': [problem._asdict() for problem in verdict.problems],
        }
        if verdict.code == STALE:
            answer['winner'] = _find_winner(state, change.name)
        return answer

    def _offsets(self) -> Mapping[str, int]:
        """Return the offset that each listed instance is known to reach."""
        context = self._context
        known = {context.instance: context.configuration.offset}
        for link in context.pool.links():
            if link.connected:
                known[link.instance.name] = link.offset
            for name, offset in list(link.connected_entries.offsets.items()):
                known[name] = max(offset, known.get(name, 0))
        return {
            row.name: known.get(row.name, 0)
            for row in context.directory.instances
            if not row.leaving
        }

    def _show_status(self, state: State) -> dict[str, Any]:
        context = self._context
        offsets = self._offsets()
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
                f'request "{request_id}" is not remembered by entry '
                f'"{self._context.instance}"',
            )
        answer = decision._asdict()
        answer['steps'] = [step._asdict() for step in decision.steps]
        return answer

    def _show_burn(self, state: State) -> dict[str, Any]:
        bucket = find_bucket(time.time())
        self._levels.catch_up()
        with self._levels.lock:
            book = self._levels.state
            rows = list(list_burn(state, book, bucket))
            series = list(list_series(state, book, bucket))
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
            book = self._spend.state
            lines = book.list_lines(customer, (first, last))
            held = book.find_allowances(customer, last)
        return {
            'customer': customer,
            'from': first,
            'to': last,
            'lines': [line._asdict() for line in lines],
            'requests': sum(line.requests for line in lines),
            'cost': sum(line.cost for line in lines),
            'open_allowances': held,
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


def _find_status(verdict: Verdict) -> int:
    if is_accepted(verdict):
        return HTTPStatus.OK
    if verdict.code == STALE:
        return HTTPStatus.CONFLICT
    return HTTPStatus.UNPROCESSABLE_ENTITY


def _find_winner(state: State, name: str) -> dict[str, Any]:
    for row in reversed(state.audit):
        if row.name == name and row.code == ACCEPTED:
            return {
                'operator': row.operator,
                'at': row.at,
                'revision': row.offset + 1,
                'body': _hide(state.body(name)),
            }
    return {'revision': state.revision(name), 'body': _hide(state.body(name))}


def _hide(body: Mapping[str, Any] | None) -> dict[str, Any] | None:
    if body is None:
        return None
    return {
        key: HIDDEN if key in SECRET_KEYS else value
        for key, value in body.items()
    }


def _show_objects(state: State, rest: str) -> dict[str, Any]:
    """Return one object for "kind/name", all of a kind for "kind"."""
    if '/' in rest:
        return {
            'name': rest,
            'revision': state.revision(rest),
            'body': _hide(state.body(rest)),
        }
    return {
        'objects': [
            {
                'name': name,
                'revision': stored.revision,
                'body': _hide(stored.body),
            }
            for name, stored in sorted(state.objects.items())
            if stored.body is not None and rest in {'', split_name(name)[0]}
        ],
    }


def _show_history(state: State, name: str) -> dict[str, Any]:
    return {
        'changes': [
            row._asdict() for row in state.audit if name in {'', row.name}
        ],
    }
