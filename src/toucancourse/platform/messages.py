"""Decodes callers' requests and endpoints' response heads.

Also encodes the headers of requests to endpoints.
"""

import math
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
MS_PER_SECOND = 1000.0
PERCENT = 100
#: Figures of a load report: those that each has, and those that are known.
MIN_LOAD_FIGURES = 3
LOAD_FIGURES = 4
#: Largest number of tokens that counts, and digits of a load's figure. Beyond
#: them, forecasts overflow and reports to other entries can't be encoded.
MAX_TOKENS = 10_000_000
MAX_LOAD_DIGITS = 7
#: Deadline of a request that states none.
DEFAULT_DEADLINE_MS = '30000'
#: Longest deadline; it bounds the time for which sessions are remembered.
MAX_DEADLINE_MS = 86_400_000.0


class PlatformCodec(Codec):
    """Translates between the platform's headers and the router's types."""

    def decode_call(self, raw: RawRequest) -> Call:
        """Return a decoded request of a caller.

        Raises one of errors.DECODE_ERRORS.
        """
        fields = {name.lower(): text for name, text in raw.headers}
        prompt_tokens, _, output_tokens = fields.get(
            names.TOKEN_COUNTS.lower(), '0,0'
        ).partition(',')
        deadline_ms = float(
            fields.get(names.DEADLINE.lower(), DEFAULT_DEADLINE_MS)
        )
        if not math.isfinite(deadline_ms):
            raise ValueError(f'the deadline of {deadline_ms} ms is not finite')
        model = fields.get(names.MODEL.lower(), '')
        return Call(
            identifier=fields.get(names.ATTEMPT_ID.lower(), ''),
            method=raw.method,
            target=raw.target,
            host=fields.get('host', ''),
            headers=_remove_headers(raw.headers, fields),
            body=raw.body,
            api_key=fields.get(names.CALLER_KEY.lower(), ''),
            deadline=raw.received
            + min(MAX_DEADLINE_MS, deadline_ms) / MS_PER_SECOND,
            received=raw.received,
            prompt=tuple(
                _decode_prompt(fields.get(names.PROMPT_PREFIX.lower(), ''))
            ),
            prompt_tokens=_decode_tokens(prompt_tokens),
            expected_tokens=_decode_length(fields, output_tokens),
            session=fields.get(names.SESSION.lower(), ''),
            last_event=fields.get(names.LAST_EVENT.lower(), ''),
            any_model=model == ANY_MODEL,
            model=model,
        )

    def encode_attempt_headers(
        self, call: Call, options: AttemptOptions
    ) -> Headers:
        """Return the headers of one attempt at an endpoint."""
        remaining_ms = max(1, int(options.seconds_left * MS_PER_SECOND))
        request_headers = [
            ('Host', call.host),
            *call.headers,
            (names.DEADLINE, str(remaining_ms)),
            (names.EXPECTED_INSTANCE, options.identifier),
        ]
        if options.account:
            request_headers.append((names.ACCOUNT, options.account))
        if call.model:
            request_headers.append((names.MODEL, options.model or call.model))
            request_headers.append((names.PRIORITY, str(options.rank)))
        if options.last_event:
            request_headers.append((names.LAST_EVENT, options.last_event))
        return tuple(request_headers)

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the decoded status and headers of an endpoint's response."""
        fields = {name.lower(): text for name, text in headers}
        not_run = names.NOT_EXECUTED.lower() in fields
        return ResponseHead(
            status=status,
            headers=_remove_headers(headers, fields),
            # A response that broke off and began anew has these twice.
            call=','.join(_list_values(headers, names.ATTEMPT_ID)),
            is_signed=len(_list_values(headers, names.SIGNATURE)) == 1,
            not_run=not_run,
            misdirected=status == HTTPStatus.MISDIRECTED_REQUEST,
            retry_after=_decode_retry_after(fields.get('retry-after', '')),
            is_leaving=names.LEAVING.lower() in fields,
            load=_decode_load(fields.get(names.SERVER_LOAD.lower(), '')),
            confidence=_decode_number(fields, names.CONFIDENCE, 100),
            cold_seconds=_decode_number(
                fields, names.COLD_REMAINING, MS_PER_SECOND
            ),
            keep_alive=_decode_keep_alive(fields.get('keep-alive', '')),
            is_event_stream=fields.get('content-type', '').startswith(
                EVENT_STREAM
            ),
        )


def _list_values(headers: Headers, name: str) -> list[str]:
    """Return the values of all headers with a name."""
    return [text for each, text in headers if each.lower() == name.lower()]


def _decode_length(fields: Mapping[str, str], max_tokens: str) -> int:
    """Return the expected output tokens, or else the allowed maximum."""
    return _decode_tokens(fields.get(names.LENGTH_HINT.lower()) or max_tokens)


def _decode_tokens(text: str) -> int:
    """Return a number of tokens, 0 for an empty text.

    Raises ValueError.
    """
    return max(0, min(MAX_TOKENS, int(text or 0)))


def _remove_headers(headers: Headers, fields: Mapping[str, str]) -> Headers:
    """Return the headers that are forwarded."""
    connection_options = fields.get('connection', '').lower().split(',')
    excluded = (
        names.CONNECTION_HEADERS
        | names.ROUTER_HEADERS
        | {names.MODEL.lower()}
        | {name.strip() for name in connection_options}
    )
    return tuple(
        header for header in headers if header[0].lower() not in excluded
    )


def _decode_prompt(text: str) -> Iterable[PromptPart]:
    for part in text.split(','):
        identifier, _, tokens = part.strip().partition(':')
        if identifier and tokens.isdecimal():
            yield PromptPart(identifier, _decode_tokens(tokens))


def _decode_load(text: str) -> Load | None:
    """Return a load report, or None if it is not one.

    Figures after the known ones are ignored.
    """
    figures = text.split(',')[:LOAD_FIGURES]
    if len(figures) < MIN_LOAD_FIGURES:
        return None
    if not all(_is_load_figure(figure.strip()) for figure in figures):
        return None
    running, waiting, slots, *rest = (int(figure) for figure in figures)
    slowdown = rest[0] / PERCENT if rest and rest[0] else 1.0
    return Load(running, waiting, slots, slowdown)


def _is_load_figure(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_LOAD_DIGITS


def _decode_number(
    fields: Mapping[str, str],
    name: str,
    unit: float,
) -> float | None:
    number = _parse_finite(fields.get(name.lower(), ''))
    return None if number is None else number / unit


def _decode_retry_after(text: str) -> float | None:
    """Return the seconds until a retry, or None without a usable number."""
    seconds = _parse_finite(text)
    return None if seconds is None or seconds < 0 else seconds


def _parse_finite(text: str) -> float | None:
    """Return a number, or None if the text is none or it is infinite."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _decode_keep_alive(text: str) -> float | None:
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        if name == 'timeout' and seconds.isdecimal():
            return float(seconds)
    return None
