"""One completion in the engine stand-in and what it sends."""

import json
import socket
import threading
from typing import Any

CHARS_A_TOKEN = 4
DEFAULT_TOKENS = 24


class Stream:
    """One request in the engine."""

    def __init__(self, number: int, body: dict[str, Any], row: dict) -> None:
        """Keep the request and its journal row."""
        self.identifier = f's{number}'
        self.body = body
        self.row = row
        self.events: list[bytes] = []
        self.sent = 0
        self.wire: socket.socket | None = None
        self.lost_at: float | None = None
        self.finished = threading.Event()
        self.ready_at = 0.0
        self.tokens = 0
        self.wanted = _find_length(body)
        self.prompt_tokens = _count_prompt(body)
        self.cached_tokens = 0
        self.priority = 0
        self.streams = bool(body.get('stream'))

    def text(self) -> str:
        """Return the text of all events."""
        return ''.join(
            json.loads(event[6:])['choices'][0]['delta']['content']
            for event in self.events
            if event.startswith(b'data: {') and b'"content"' in event
        )

    def make_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""
        message: dict[str, Any] = {'role': 'assistant', 'content': text}
        reason = 'stop'
        if self.body.get('tools'):
            function = self.body['tools'][0]['function']['name']
            message['tool_calls'] = [
                {
                    'id': f'call_{self.identifier}',
                    'type': 'function',
                    'function': {'name': function, 'arguments': '{}'},
                }
            ]
            reason = 'tool_calls'
        return {'index': 0, 'message': message, 'finish_reason': reason}

    def make_event(self) -> bytes:
        """Return the event of the newest token."""
        text = f'w{self.tokens} '
        if self.tokens == 1:
            text = f'[quality {self.row["quality"]}] {text}'
        chunk = {
            'id': self.identifier,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.body['model'],
            'choices': [
                {
                    'index': 0,
                    'delta': {'content': text},
                    'finish_reason': None,
                }
            ],
        }
        return b'data: %b\n\n' % json.dumps(chunk).encode()

    def make_tail(self) -> list[bytes]:
        """Return the events after the last token."""
        chunk: dict[str, Any] = {
            'id': self.identifier,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.body['model'],
            'choices': [{'index': 0, 'delta': {}, 'finish_reason': 'stop'}],
        }
        tail = [b'data: %b\n\n' % json.dumps(chunk).encode()]
        options = self.body.get('stream_options') or {}
        if options.get('include_usage'):
            chunk['choices'] = []
            chunk['usage'] = self.make_usage()
            tail.append(b'data: %b\n\n' % json.dumps(chunk).encode())
        return [*tail, b'data: [DONE]\n\n']

    def make_usage(self) -> dict[str, Any]:
        """Return the token counts."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.tokens,
            'total_tokens': self.prompt_tokens + self.tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


def _find_length(body: dict[str, Any]) -> int:
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    wanted = int((body.get('metadata') or {}).get('tokens', DEFAULT_TOKENS))
    return max(1, min(wanted, limit or wanted))


def _count_prompt(body: dict[str, Any]) -> int:
    text = json.dumps(body.get('messages', ''))
    return max(1, len(text) // CHARS_A_TOKEN)
