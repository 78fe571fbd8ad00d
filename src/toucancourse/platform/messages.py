"""Decodes callers' requests and encodes them for endpoints."""

from collections.abc import Iterable, Mapping
from http import HTTPStatus

from ..forwarding.messages import Codec, RawRequest
from ..forwarding.objects import (
    AttemptOptions,
    Call,
    Headers,
    Load,
    PromptPart,
    ResponseHead,
)
from . import names

ANY_MODEL = '*'
EVENT_STREAM = 'text/event-stream'
MS = 1000.0
#: Deadline of a caller that names none, in milliseconds.
DEFAULT_DEADLINE_MS = '30000'


class PlatformCodec(Codec):
    """The header names of the platform's callers and endpoints."""

    def decode_call(self, raw: RawRequest) -> Call:
        """Return a caller's request.

        Raises one of errors.DECODE_ERRORS.
        """
        fields = {name.lower(): text for name, text in raw.headers}
        prompt_tokens, _, output_tokens = fields.get(
            names.TOKENS.lower(), '0,0'
        ).partition(',')
        deadline_ms = fields.get(names.DEADLINE.lower(), DEFAULT_DEADLINE_MS)
        model = fields.get(names.MODEL.lower(), '')
        return Call(
            identifier=fields.get(names.CALL_ID.lower(), ''),
            method=raw.method,
            target=raw.target,
            host=fields.get('host', ''),
            headers=_drop_headers(raw.headers, fields),
            body=raw.body,
            api_key=fields.get(names.API_KEY.lower(), ''),
            deadline=raw.received + float(deadline_ms) / MS,
            received=raw.received,
            prompt=tuple(_decode_prompt(fields.get(names.PROMPT.lower(), ''))),
            prompt_tokens=int(prompt_tokens or 0),
            expected_tokens=_decode_length(fields, output_tokens),
            session=fields.get(names.SESSION.lower(), ''),
            last_event=fields.get(names.LAST_EVENT.lower(), ''),
            any_model=model == ANY_MODEL,
            model=model,
        )

    def encode_attempt_headers(
        self, call: Call, options: AttemptOptions
    ) -> Headers:
        """Return the headers of a request to one endpoint."""
        left_ms = max(1, int(options.seconds_left * MS))
        rows = [
            ('Host', call.host),
            *call.headers,
            (names.DEADLINE, str(left_ms)),
            (names.IDENTIFIER, options.identifier),
        ]
        if options.account:
            rows.append((names.ACCOUNT, options.account))
        if call.model:
            rows.append((names.MODEL, options.model or call.model))
            rows.append((names.RANK, str(options.rank)))
        if options.last_event:
            rows.append((names.LAST_EVENT, options.last_event))
        return tuple(rows)

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the start of an endpoint's answer."""
        fields = {name.lower(): text for name, text in headers}
        not_run = names.NOT_RUN.lower() in fields
        return ResponseHead(
            status=status,
            headers=_drop_headers(headers, fields),
            call=fields.get(names.CALL_ID.lower(), ''),
            is_signed=names.SIGNATURE.lower() in fields,
            not_run=not_run,
            misdirected=status == HTTPStatus.MISDIRECTED_REQUEST,
            load=_decode_load(fields.get(names.LOAD.lower(), '')),
            confidence=_read_number(fields, names.CONFIDENCE, 100),
            cold_seconds=_read_number(fields, names.COLD, MS),
            keep_alive=_decode_keep_alive(fields.get('keep-alive', '')),
            is_event_stream=fields.get('content-type', '').startswith(
                EVENT_STREAM
            ),
        )


def _decode_length(fields: Mapping[str, str], most: str) -> int:
    """Return the caller's estimate, or else what it allows at most."""
    return int(fields.get(names.LENGTH.lower()) or most or 0)


def _drop_headers(headers: Headers, fields: Mapping[str, str]) -> Headers:
    """Return the headers that are handed on."""
    listed = fields.get('connection', '').lower().split(',')
    dropped = (
        names.CONNECTION_HEADERS
        | names.OWN_HEADERS
        | {names.MODEL.lower()}
        | {name.strip() for name in listed}
    )
    return tuple(row for row in headers if row[0].lower() not in dropped)


def _decode_prompt(text: str) -> Iterable[PromptPart]:
    for part in text.split(','):
        identifier, _, tokens = part.strip().partition(':')
        if identifier and tokens.isdigit():
            yield PromptPart(identifier, int(tokens))


def _decode_load(text: str) -> Load | None:
    counts = text.split(',')
    if len(counts) != 3 or not all(count.strip().isdigit() for count in counts):
        return None
    return Load(*(int(count) for count in counts))


def _read_number(
    fields: Mapping[str, str],
    name: str,
    unit: float,
) -> float | None:
    try:
        return float(fields[name.lower()]) / unit
    except (KeyError, ValueError):
        return None


def _decode_keep_alive(text: str) -> float | None:
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        if name == 'timeout' and seconds.isdigit():
            return float(seconds)
    return None
