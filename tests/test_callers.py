"""The callers' API against a running fleet."""

import json
import socket

import openai
import pytest

from standins.calls import call, wait_until

from .fleet import CHIKUGO_KEY, SmallFleet


def make_client(fleet: SmallFleet) -> openai.OpenAI:
    """Return an official OpenAI client of entry e1."""
    address = fleet.daemons['e1'].caller_address
    return openai.OpenAI(
        api_key=CHIKUGO_KEY, base_url=f'http://{address}/v1', max_retries=0
    )


MESSAGES = [{'role': 'user', 'content': 'Compare nameplate and record.'}]


class TestOpenaiClient:
    """The official OpenAI client works without changes."""

    def test_lists_models(self, small_fleet: SmallFleet) -> None:
        """The models and versions that the contract allows are listed."""
        names = {model.id for model in make_client(small_fleet).models.list()}
        assert {'auto', 'small', 'small@1', 'large@1'} <= names

    def test_plain_answer(self, small_fleet: SmallFleet) -> None:
        """A response that isn't streamed has its token usage."""
        answer = make_client(small_fleet).chat.completions.create(
            model='auto', messages=MESSAGES, max_tokens=6
        )
        assert answer.choices[0].message.content.endswith('w6 ')
        assert answer.usage.completion_tokens == 6
        assert answer.model == 'small@1'

    def test_streamed_answer(self, small_fleet: SmallFleet) -> None:
        """All tokens arrive in order, without a usage event by default."""
        stream = make_client(small_fleet).chat.completions.create(
            model='large@1', messages=MESSAGES, max_tokens=7, stream=True
        )
        chunks = list(stream)
        text = ''.join(chunk.choices[0].delta.content or '' for chunk in chunks)
        assert text.split()[-7:] == [f'w{number}' for number in range(1, 8)]
        assert all(chunk.usage is None for chunk in chunks)

    def test_usage_event_if_asked(self, small_fleet: SmallFleet) -> None:
        """The caller's stream_options are passed on."""
        stream = make_client(small_fleet).chat.completions.create(
            model='small',
            messages=MESSAGES,
            max_tokens=3,
            stream=True,
            stream_options={'include_usage': True},
        )
        usages = [chunk.usage for chunk in stream if chunk.usage]
        assert [usage.completion_tokens for usage in usages] == [3]

    def test_tool_call(self, small_fleet: SmallFleet) -> None:
        """Unknown request fields are passed on; a tool call is returned."""
        tool = {'type': 'function', 'function': {'name': 'stock_lookup'}}
        answer = make_client(small_fleet).chat.completions.create(
            model='auto', messages=MESSAGES, tools=[tool], max_tokens=2
        )
        calls = answer.choices[0].message.tool_calls
        assert calls[0].function.name == 'stock_lookup'

    def test_typed_errors(self, small_fleet: SmallFleet) -> None:
        """Errors raise the client's exception classes with our error code."""
        client = make_client(small_fleet)
        with pytest.raises(openai.NotFoundError) as raised:
            client.chat.completions.create(model='none', messages=MESSAGES)
        assert raised.value.body['code'] == 'model_not_found'
        assert raised.value.body['outcome'] == 'not_run'
        client.api_key = 'wrong'
        with pytest.raises(openai.AuthenticationError):
            client.models.list()


class TestBadInput:
    """Invalid input gets an error with a code; the daemon stays up."""

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
        small_fleet: SmallFleet,
        body: dict,
        headers: dict,
        status: int,
        code: str,
    ) -> None:
        """Each invalid request gets its status and code, and didn't run."""
        answer = call(
            small_fleet.daemons['e1'].caller_address,
            'POST',
            '/v1/chat/completions',
            body,
            {'Authorization': f'Bearer {CHIKUGO_KEY}', **headers},
        )
        assert (answer.status, answer.json()['error']['code']) == (status, code)
        assert answer.json()['error']['outcome'] == 'not_run'

    def test_not_json(self, small_fleet: SmallFleet) -> None:
        """A body that is not JSON is rejected."""
        host, _, port = small_fleet.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Authorization: Bearer chikugo-key\r\n'
                b'Content-Length: 3\r\nConnection: close\r\n\r\n{x}'
            )
            answer = b''.join(iter(lambda: connection.recv(4096), b''))
        assert b' 400 ' in answer
        assert b'bad_request' in answer

    def test_too_large(self, small_fleet: SmallFleet) -> None:
        """A body over the size limit is rejected before it is read."""
        host, _, port = small_fleet.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 999999999\r\n\r\n'
            )
            assert b' 413 ' in connection.recv(4096)

    def test_unfinished_header(self) -> None:
        """The connection of a caller that never ends its header is closed."""
        with SmallFleet(('e1',), entry={'idle_caller_seconds': 1}) as fleet:
            address = fleet.daemons['e1'].caller_address
            host, _, port = address.rpartition(':')
            with socket.create_connection((host, int(port)), 30) as connection:
                connection.sendall(b'POST /v1/chat')
                assert connection.recv(100) == b''
            assert fleet.chat().status == 200


class TestDisconnect:
    """A caller that disconnects stops the work of the model server."""

    def test_cancels_engine(self, small_fleet: SmallFleet) -> None:
        """The model server records the stream as cancelled."""
        body = json.dumps(
            {
                'model': 'small@1',
                'messages': MESSAGES,
                'max_tokens': 3000,
                'metadata': {'tokens': '3000'},
                'stream': True,
            }
        ).encode()
        host, _, port = small_fleet.daemons['e1'].caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                b'Authorization: Bearer chikugo-key\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )
            head = connection.recv(4096)
            assert b' 200 ' in head
        wait_until(
            lambda: any(
                row.get('state') == 'cancelled'
                for address in small_fleet.engines.values()
                for row in small_fleet.journal(address)
            ),
            10,
            'cancellation',
        )
