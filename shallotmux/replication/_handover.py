"""Entries that only a witness holds, handed to a candidate.

A witness never leads. If the leader is lost after it committed entries with the witness alone, the
remaining voter cannot win with its older log, and no other member can bring it up to date.
"""

from __future__ import annotations

from shallotmux.replication._following import append_if_new
from shallotmux.replication._messages import LogOffer, VoteRequest
from shallotmux.replication._model import Role
from shallotmux.replication._state import ReplicaState


def offer_log(state: ReplicaState, candidate: str, request: VoteRequest) -> None:
    """Send a candidate the entries after the last one that both logs are known to share."""
    log = state.log
    previous_index = request.last_index
    if log.term_at(previous_index) != request.last_term:
        previous_index = request.commit_index
    previous_term = log.term_at(previous_index)
    last = min(log.last_index, previous_index + state.options.max_batch_entries)
    entries = () if previous_term is None else log.slice_from(previous_index + 1, last)
    offer = LogOffer(
        state.term,
        previous_index,
        previous_term or 0,
        entries,
        log.snapshot if previous_term is None else None,
        log.last_index,
        log.last_term,
    )
    state.send(candidate, offer)


def take_offer(state: ReplicaState, offer: LogOffer) -> None:
    """Append the entries of a newer log, and campaign again soon.

    Only a candidate takes them, since it has acknowledged nothing to a leader of this term. An
    entry that a newer log contradicts is never committed: a leader commits an entry only with one
    of its own term, and a log that ends in a later term, or further on in that term, holds both.
    """
    log = state.log
    if state.role is not Role.CANDIDATE or log.is_covering(offer.last_term, offer.last_index):
        return
    if offer.snapshot is not None and offer.snapshot.index > state.commit_index:
        state.restore(offer.snapshot)
    elif log.term_at(offer.previous_index) == offer.previous_term:
        for entry in offer.entries:
            append_if_new(state, entry)
    state.retry_election_soon()
