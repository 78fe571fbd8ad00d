"""A chat completion in the emulated engine and its encoding."""

import json
import socket
import threading
from typing import Any

CHARS_PER_TOKEN = 4
DEFAULT_TOKENS = 24


class Completion:
    """A chat completion: its request, generated tokens and client."""

    def __init__(
        self, number: int, body: dict[str, Any], journal_row: dict
    ) -> None:
        """Create a completion; its state is kept in the journal row."""
        self.identifier = f's{number}'
        self.body = body
        self.journal_row = journal_row
        #: Server-sent events, of which the first `sent_events` are sent.
        self.events: list[bytes] = []
        self.sent_events = 0
        self.client_socket: socket.socket | None = None
        #: Time at which the client disconnected.
        self.disconnected_at: float | None = None
        self.finished = threading.Event()
        #: Time at which the first token can be generated.
        self.prefill_end = 0.0
        self.tokens = 0
        self.target_tokens = _find_target_tokens(body)
        self.prompt_tokens = _count_prompt_tokens(body)
        self.cached_tokens = 0
        self.priority = 0
        self.is_streamed = bool(body.get('stream'))

    def text(self) -> str:
        """Return the generated text."""
        return ''.join(
            json.loads(event[6:])['choices'][0]['delta']['content']
            for event in self.events
            if event.startswith(b'data: {') and b'"content"' in event
        )

    def make_choice(self, text: str) -> dict[str, Any]:
        """Return the only choice of a non-streamed response."""
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
        """Return the event of the newest token.

        The first one holds the quality, which the emulated rater reads.
        """
        text = f'w{self.tokens} '
        if self.tokens == 1:
            text = f'[quality {self.journal_row["quality"]}] {text}'
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

    def make_final_events(self) -> list[bytes]:
        """Return the events after the last token, with usage if requested."""
        chunk: dict[str, Any] = {
            'id': self.identifier,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.body['model'],
            'choices': [{'index': 0, 'delta': {}, 'finish_reason': 'stop'}],
        }
        events = [b'data: %b\n\n' % json.dumps(chunk).encode()]
        options = self.body.get('stream_options') or {}
        if options.get('include_usage'):
            chunk['choices'] = []
            chunk['usage'] = self.make_usage()
            events.append(b'data: %b\n\n' % json.dumps(chunk).encode())
        return [*events, b'data: [DONE]\n\n']

    def make_usage(self) -> dict[str, Any]:
        """Return the token counts."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.tokens,
            'total_tokens': self.prompt_tokens + self.tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


def _find_target_tokens(body: dict[str, Any]) -> int:
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    target_tokens = int(
        (body.get('metadata') or {}).get('tokens', DEFAULT_TOKENS)
    )
    return max(1, min(target_tokens, limit or target_tokens))


def _count_prompt_tokens(body: dict[str, Any]) -> int:
    text = json.dumps(body.get('messages', ''))
    return max(1, len(text) // CHARS_PER_TOKEN)
