"""Tests of which reported values are sent again."""

from __future__ import annotations

from random import Random

from shallotmux.fleetnews import Confirmations


def test_confirmed_values_are_not_sent_again() -> None:
    """Guards against all counts in each poll."""
    confirmations: Confirmations[str, int] = Confirmations()
    assert confirmations.select('c', {'a': 1, 'b': 2}) == {'a': 1, 'b': 2}
    confirmations.record('c', 7, {'a': 1, 'b': 2})
    assert confirmations.select('c', {'a': 1, 'b': 3}) == {'b': 3}
    assert confirmations.select('d', {'a': 1}) == {'a': 1}


def test_restarted_receiver_gets_all_again() -> None:
    """Guards against counts that only the former incarnation of a control instance has."""
    confirmations: Confirmations[str, int] = Confirmations()
    confirmations.record('c', 7, {'a': 1, 'b': 2})
    confirmations.record('c', 8, {'b': 2})
    assert confirmations.select('c', {'a': 1, 'b': 2}) == {'a': 1}


def test_receiver_without_incarnation_gets_all_each_time() -> None:
    """Guards against counts that a control instance of the earlier build lost at its restart."""
    confirmations: Confirmations[str, int] = Confirmations()
    confirmations.record('c', 7, {'a': 1})
    confirmations.record('c', 0, {'a': 1})
    assert confirmations.select('c', {'a': 1}) == {'a': 1}


def test_values_and_receivers_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with each window and each control instance."""
    confirmations: Confirmations[str, int] = Confirmations()
    confirmations.record('c', 7, {'a': 1})
    confirmations.select('c', {'b': 1})
    assert confirmations.select('c', {'a': 1}) == {'a': 1}
    confirmations.record('c', 7, {'a': 1})
    confirmations.keep(('d',))
    assert confirmations.select('c', {'a': 1}) == {'a': 1}


def test_totals_are_exact_over_faults() -> None:
    """Guards against counts that lost, late, repeated or reordered reports, or a restart, falsify."""
    for seed in range(50):
        random = Random(seed)
        confirmations: Confirmations[str, int] = Confirmations()
        totals: dict[str, int] = {}
        received: dict[str, int] = {}
        incarnation = 1
        reports: list[dict[str, int]] = []
        answers: list[tuple[int, dict[str, int]]] = []
        for _ in range(400):
            customer = f'c{random.randrange(5)}'
            totals[customer] = totals.get(customer, 0) + 1
            if not random.randrange(50):
                incarnation += 1
                received.clear()
            reports.append(confirmations.select('r', totals))
            # Reports and answers arrive in any order, several times or never.
            sent = random.choice(reports[-6:])
            if random.randrange(10) < 7:
                received |= {key: max(each, received.get(key, 0)) for key, each in sent.items()}
                answers.append((incarnation, sent))
            if answers and random.randrange(10) < 7:
                confirmations.record('r', *random.choice(answers[-6:]))
            assert all(received[key] <= totals[key] for key in received)
        # Once the faults end, a few reports bring everything.
        for _ in range(3):
            sent = confirmations.select('r', totals)
            received |= {key: max(each, received.get(key, 0)) for key, each in sent.items()}
            confirmations.record('r', incarnation, sent)
        assert received == totals
