"""Commands for caller keys and quarantined requests."""

from __future__ import annotations

import click

from shallotmux.cli._session import Session, pass_session, with_examples


@click.group()
def key() -> None:
    """Create, list and withdraw the keys of customers."""


@key.command('create', epilog=with_examples('shallotmux key create tailors'))
@click.argument('customer')
@pass_session
def create_key(session: Session, customer: str) -> None:
    """Create a key for CUSTOMER and print its secret, which is shown only once."""
    response = session.call(lambda client: client.create_key(customer))
    session.show(
        response,
        [{'key_id': response['key_id'], 'customer': customer, 'secret': response['secret']}],
    )


@key.command('list', epilog=with_examples('shallotmux key list', 'shallotmux key list tailors'))
@click.argument('customer', required=False)
@pass_session
def list_keys(session: Session, customer: str | None) -> None:
    """List the keys of CUSTOMER, or all keys; secrets are not shown."""
    path = f'customer/{customer}/keys' if customer else 'key'
    response = session.call(lambda client: client.view(path))
    session.show(response, response['items'])


@key.command('withdraw', epilog=with_examples('shallotmux key withdraw key-1f00a2b3c4d5'))
@click.argument('key_id')
@pass_session
def withdraw_key(session: Session, key_id: str) -> None:
    """Withdraw the key KEY_ID permanently."""
    session.show_change(key_id, session.call(lambda client: client.withdraw_key(key_id)))


@click.group()
def quarantine() -> None:
    """List requests that are refused because they crashed endpoints, or accept them again."""


@quarantine.command('list', epilog=with_examples('shallotmux quarantine list'))
@pass_session
def list_quarantine(session: Session) -> None:
    """List the quarantined requests."""
    response = session.call(lambda client: client.view('quarantine'))
    session.show(response, response['items'])


@quarantine.command('lift', epilog=with_examples('shallotmux quarantine lift 9f86d081884c'))
@click.argument('fingerprint')
@pass_session
def lift_quarantine(session: Session, fingerprint: str) -> None:
    """Accept the request with this FINGERPRINT again."""
    response = session.call(lambda client: client.lift_quarantine(fingerprint))
    session.show_change(fingerprint, response)
