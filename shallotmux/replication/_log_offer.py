"""Transfer of log entries from a witness to a candidate.

A witness never leads. If the leader fails after it committed entries with the witness alone, the
remaining voter cannot win an election with its older log, and only the witness can send it the
missing entries.
"""

from __future__ import annotations

from shallotmux.replication._following import append_if_new
from shallotmux.replication._messages import LogOffer, VoteRequest
from shallotmux.replication._model import Role
from shallotmux.replication._state import ReplicaState


def send_log_offer(state: ReplicaState, candidate: str, request: VoteRequest) -> None:
    """Send a candidate the entries after the last one known to be in both logs."""
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


def handle_log_offer(state: ReplicaState, offer: LogOffer) -> None:
    """Append the entries of a more up-to-date log, and campaign again soon.

    Only a candidate does so, since it has not acknowledged entries to a leader of this term.
    Replacing its entries is safe: a leader commits an entry only together with one of its own term,
    and a log that ends in a later term, or at a higher index of that term, holds both.
    """
    log = state.log
    if state.role is not Role.CANDIDATE or log.is_no_older_than(offer.last_term, offer.last_index):
        return
    if offer.snapshot is not None and offer.snapshot.index > state.commit_index:
        state.restore(offer.snapshot)
    elif log.term_at(offer.previous_index) == offer.previous_term:
        for entry in offer.entries:
            append_if_new(state, entry)
    state.retry_election_soon()
