"""Commands that send a chat request and print shell completion scripts."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import click
import msgspec
from click.shell_completion import ShellComplete, get_completion_class

from shallotmux.cli._connection import check_address
from shallotmux.cli._exit_codes import ExitCode
from shallotmux.cli._session import Session, pass_session, with_examples
from shallotmux.errors import EndpointError
from shallotmux.http import JSON_TYPE, HttpClient, HttpRequest, HttpResponse
from shallotmux.operators import decode_response

#: Maximum number of connections opened for one answer, including the first.
MAX_CONNECTIONS = 3
RESPONSE_ID_HEADER = 'shallotmux-response-id'
STATUS_OK = 200
DONE_MARKER = b'[DONE]'


@dataclass(slots=True)
class ChatStream:
    """A chat request whose stream is resumed if the connection breaks.

    :param key: caller key; empty to send none.
    :param response_id: id under which the stream can be resumed; empty until it is known.
    :param last_event_id: id of the last received event, from which the stream is resumed.
    :param done: whether the end marker was received.
    """

    client: HttpClient
    address: str
    key: str
    body: bytes
    response_id: str = ''
    last_event_id: str = ''
    done: bool = False

    async def iterate_text(self) -> AsyncIterator[str]:
        """Yield the parts of the answer as they arrive.

        :raises OperatorError: if the instance refuses the request.
        :raises EndpointError: if the stream breaks and cannot be resumed.
        """
        for attempt in range(MAX_CONNECTIONS):
            try:
                async for text in self._stream_text():
                    yield text
            except EndpointError:
                if not self.response_id or attempt + 1 == MAX_CONNECTIONS:
                    raise
            if self.done:
                return
        raise EndpointError('stream ended before its end marker', peer=self.address)

    async def _stream_text(self) -> AsyncIterator[str]:
        headers = {'content-type': JSON_TYPE}
        if self.key:
            headers['authorization'] = f'Bearer {self.key}'
        if self.response_id:
            headers[RESPONSE_ID_HEADER] = self.response_id
            headers['last-event-id'] = self.last_event_id or '0'
        request = HttpRequest('POST', self.address, '/v1/chat/completions', self.body, headers)
        async with self.client.stream(request) as response:
            if response.status != STATUS_OK:
                decode_response(
                    response.status, b''.join([each async for each in response.chunks()])
                )
            self.response_id = response.headers.get(RESPONSE_ID_HEADER, '')
            async for event in read_events(response):
                text = self._process_event(event)
                if text:
                    yield text

    def _process_event(self, event: bytes) -> str:
        """Return the text of an event, and record its id and whether it ends the stream."""
        fields = dict(line.split(b': ', 1) for line in event.split(b'\n') if b': ' in line)
        self.last_event_id = fields.get(b'id', self.last_event_id.encode()).decode()
        content = fields.get(b'data', b'')
        if content == DONE_MARKER:
            self.done = True
        if not content or self.done:
            return ''
        choices = msgspec.json.decode(content).get('choices') or [{}]
        return choices[0].get('delta', {}).get('content') or ''


async def read_events(response: HttpResponse) -> AsyncIterator[bytes]:
    """Yield complete server-sent events without their separators."""
    buffer = b''
    async for chunk in response.chunks():
        *events, buffer = (buffer + chunk).split(b'\n\n')
        for event in events:
            yield event


@click.command(
    epilog=with_examples(
        'shallotmux --caller-address 127.0.0.1:8080 complete sorter "Sort lot 7."',
        'shallotmux complete sorter --max-tokens 64 "Which offcuts match 14 mm?"',
    )
)
@click.argument('model')
@click.argument('prompt')
@click.option(
    '--max-tokens',
    type=click.IntRange(1),
    default=256,
    help='Maximum number of tokens in the answer.',
)
@pass_session
def complete(session: Session, model: str, prompt: str, max_tokens: int) -> None:
    """Send PROMPT to MODEL as a caller and print the answer as it arrives."""
    connection = session.connection()
    body = msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': True,
            'max_tokens': max_tokens,
        }
    )

    async def act(client: HttpClient) -> None:
        address = check_address(connection.caller_address, '--caller-address')
        stream = ChatStream(client, address, connection.key, body)
        parts = []
        async for text in stream.iterate_text():
            parts.append(text)
            if not session.as_json:
                click.echo(text, nl=False)
        answer = {'response_id': stream.response_id, 'text': ''.join(parts)}
        if session.as_json:
            session.show(answer, [])
        else:
            click.echo()

    session.run(connection, act)


@click.command(
    epilog=with_examples(
        'shallotmux completion bash >> ~/.bashrc',
        'shallotmux completion zsh >> ~/.zshrc',
        'shallotmux completion fish > ~/.config/fish/completions/shallotmux.fish',
    )
)
@click.argument('shell', type=click.Choice(('bash', 'zsh', 'fish')))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        context.exit(ExitCode.INTERNAL)
    root = context.find_root().command
    script = completion_class(root, {}, 'shallotmux', '_SHALLOTMUX_COMPLETE')
    # The base class method: that of the bash class starts a process to check its version.
    click.echo(ShellComplete.source(script))
