"""Guards against odd input: peers whose connections end, payloads, prompts and settings."""

from __future__ import annotations

from tests.guards.catalogue import Guard

PEER_GUARDS = (
    Guard(
        'peer (connection that ends while it is opened)',
        'shallotmux/transport/_channel.py',
        '        if protocol.connection.is_closing():\n',
        '        if False:\n',
        ('tests/transport/test_broken_peers.py',),
    ),
    Guard(
        'peer (any error of a stream)',
        'shallotmux/transport/_link.py',
        '                except Exception as error:\n',
        '                except OSError as error:\n',
        ('tests/transport/test_odd_frames.py',),
    ),
    Guard(
        'peer (any error of a call)',
        'shallotmux/transport/_grpc.py',
        '        except Exception as error:\n            # The connection may',
        '        except OSError as error:\n            # The connection may',
        (
            'tests/transport/test_odd_frames.py::test_odd_answer_to_a_call_leaves_its_outcome_unknown',
        ),
    ),
    Guard(
        'prompt (range of token counts)',
        'shallotmux/platform/_prompts.py',
        'if not 0 <= count <= MAX_TOKENS:',
        'if False:',
        ('tests/platform/test_prompts.py',),
    ),
    Guard(
        'start (settings that are being written)',
        'shallotmux/programs/_start.py',
        'if trio.current_time() >= deadline:',
        'if True:',
        ('tests/platform/test_process.py',),
    ),
    Guard(
        'peer (one attempt to connect for all calls)',
        'shallotmux/transport/_calls.py',
        'await asyncio.shield(self._opening)',
        'await self._opening',
        ('tests/transport/test_calls.py', 'tests/transport/test_shared_calls.py'),
    ),
    Guard(
        'commands (types)',
        'shallotmux/authority/_commands.py',
        '    if not isinstance(command, Command):\n',
        '    if False:\n',
        ('tests/authority/test_odd_commands.py',),
    ),
    Guard(
        'commands (required fields)',
        'shallotmux/authority/_commands.py',
        '    if missing:\n',
        '    if False:\n',
        ('tests/authority/test_odd_commands.py',),
    ),
    Guard(
        'attempts (reservation for another attempt)',
        'shallotmux/forwarding/_retries.py',
        '        if not (is_allowed and self.has_attempts_left(job, runs)):\n',
        '        if not job.is_retry_reserved and not is_allowed:\n',
        ('tests/forwarding/test_unused_reservations.py',),
    ),
)
