"""Guards of calls to peers whose connections end, and of prompts out of range."""

from __future__ import annotations

from tests.guards.catalogue import Guard

PEER_GUARDS = (
    Guard(
        'peer (connection that ends while it is opened)',
        'shallotmux/transport/_link.py',
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
)
