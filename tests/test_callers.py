"""The callers' API against a running fleet."""

import json
import socket

import openai
import pytest

from standins.calls import call, wait_until

from .world import CHIKUGO_KEY, World


def make_client(world: World) -> openai.OpenAI:
    """Return the public client, unmodified."""
    address = world.daemons['e1'].caller_address
    return openai.OpenAI(
        api_key=CHIKUGO_KEY, base_url=f'http://{address}/v1', max_retries=0
    )


MESSAGES = [{'role': 'user', 'content': 'Compare nameplate and record.'}]


class TestOpenaiClient:
    """The official client works unchanged."""

    def test_lists_models(self, small_world: World) -> None:
        """Models and versions of the contract are listed."""
        names = {row.id for row in make_client(small_world).models.list()}
        assert {'auto', 'small', 'small@1', 'large@1'} <= names

    def test_plain_answer(self, small_world: World) -> None:
        """A whole answer comes with its usage."""
        answer = make_client(small_world).chat.completions.create(
            model='auto', messages=MESSAGES, max_tokens=6
        )
        assert answer.choices[0].message.content.endswith('w6 ')
        assert answer.usage.completion_tokens == 6
        assert answer.model == 'small@1'

    def test_streamed_answer(self, small_world: World) -> None:
        """All tokens arrive in order, without an unasked usage event."""
        stream = make_client(small_world).chat.completions.create(
            model='large@1', messages=MESSAGES, max_tokens=7, stream=True
        )
        chunks = list(stream)
        text = ''.join(chunk.choices[0].delta.content or '' for chunk in chunks)
        assert text.split()[-7:] == [f'w{number}' for number in range(1, 8)]
        assert all(chunk.usage is None for chunk in chunks)

    def test_usage_event_if_asked(self, small_world: World) -> None:
        """The caller's own stream_options are kept."""
        stream = make_client(small_world).chat.completions.create(
            model='small',
            messages=MESSAGES,
            max_tokens=3,
            stream=True,
            stream_options={'include_usage': True},
        )
        usages = [chunk.usage for chunk in stream if chunk.usage]
        assert [usage.completion_tokens for usage in usages] == [3]

    def test_tool_call(self, small_world: World) -> None:
        """Unknown fields pass through; a tool call comes back."""
        tool = {'type': 'function', 'function': {'name': 'stock_lookup'}}
        answer = make_client(small_world).chat.completions.create(
            model='auto', messages=MESSAGES, tools=[tool], max_tokens=2
        )
        calls = answer.choices[0].message.tool_calls
        assert calls[0].function.name == 'stock_lookup'

    def test_typed_errors(self, small_world: World) -> None:
        """Errors map to the client's classes and carry our code."""
        client = make_client(small_world)
        with pytest.raises(openai.NotFoundError) as raised:
            client.chat.completions.create(model='none', messages=MESSAGES)
        assert raised.value.body['code'] == 'model_not_found'
        assert raised.value.body['outcome'] == 'not_run'
        client.api_key = 'wrong'
        with pytest.raises(openai.AuthenticationError):
            client.models.list()


class TestBadInput:
    """Bad input gets a coded error and the daemon stays up."""

    @pytest.mark.parametrize(
        ('body', 'headers', 'status', 'code'),
        [
            ({'messages': []}, {}, 400, 'bad_request'),
            ({'messages': 'text'}, {}, 400, 'bad_request'),
            ({'messages': MESSAGES, 'stream': 1}, {}, 400, 'bad_request'),
            ({'messages': MESSAGES, 'max_tokens': -1}, {}, 400, 'bad_request'),
            (
                {'messages': MESSAGES},
                {'X-Priority': 'high'},
                400,
                'bad_request',
            ),
            (
                {'messages': MESSAGES},
                {'X-Conversation-Id': 'tcv1.first.x.y'},
                400,
                'bad_request',
            ),
            (
                {'messages': MESSAGES},
                {'Authorization': 'Basic x'},
                401,
                'unauthorized',
            ),
            (
                {'messages': MESSAGES, 'model': 'small@9'},
                {},
                404,
                'model_not_found',
            ),
        ],
    )
    def test_coded_error(
        self,
        small_world: World,
        body: dict,
        headers: dict,
        status: int,
        code: str,
    ) -> None:
        """Each fault has its status and code."""
        answer = call(
            small_world.daemons['e1'].caller_address,
            'POST',
            '/v1/chat/completions',
            body,
            {'Authorization': f'Bearer {CHIKUGO_KEY}', **headers},
        )
        assert (answer.status, answer.json()['error']['code']) == (status, code)
        assert answer.json()['error']['outcome'] == 'not_run'

    def test_not_json(self, small_world: World) -> None:
        """A body that is not JSON is refused."""
        host, _, port = small_world.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as wire:
            wire.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Authorization: Bearer chikugo-key\r\n'
                b'Content-Length: 3\r\nConnection: close\r\n\r\n{x}'
            )
            answer = b''.join(iter(lambda: wire.recv(4096), b''))
        assert b' 400 ' in answer
        assert b'bad_request' in answer

    def test_too_large(self, small_world: World) -> None:
        """A body over the limit is refused before it is read."""
        host, _, port = small_world.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as wire:
            wire.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 999999999\r\n\r\n'
            )
            assert b' 413 ' in wire.recv(4096)

    def test_unfinished_header(self) -> None:
        """A caller that never ends its header is dropped in time."""
        with World(('e1',), entry={'idle_caller_seconds': 1}) as world:
            address = world.daemons['e1'].caller_address
            host, _, port = address.rpartition(':')
            with socket.create_connection((host, int(port)), 30) as wire:
                wire.sendall(b'POST /v1/chat')
                assert wire.recv(100) == b''
            assert world.chat().status == 200


class TestDisconnect:
    """A caller that goes away stops the engine's work."""

    def test_cancels_engine(self, small_world: World) -> None:
        """The engine's journal shows the stream cancelled."""
        body = json.dumps(
            {
                'model': 'small@1',
                'messages': MESSAGES,
                'max_tokens': 3000,
                'metadata': {'tokens': '3000'},
                'stream': True,
            }
        ).encode()
        host, _, port = small_world.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as wire:
            wire.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Authorization: Bearer chikugo-key\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )
            head = wire.recv(4096)
            assert b' 200 ' in head
        wait_until(
            lambda: any(
                row.get('state') == 'cancelled'
                for address in small_world.engines.values()
                for row in small_world.journal(address)
            ),
            10,
            'cancellation',
        )
