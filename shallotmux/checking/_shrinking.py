"""Shrinks a failing schedule and formats it as a trace."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import replace

from shallotmux.checking._explorer import Failure, GroupFactory, perform_checked, replay
from shallotmux.checking._simulated_group import Action, SimulatedGroup, Step
from shallotmux.checking._violations import InvariantViolation

#: Limit of replays in one shrink; each takes some tens of milliseconds.
MAX_SHRINK_REPLAYS = 400

_MESSAGE_ACTIONS = frozenset((Action.DELIVER, Action.LOSE, Action.DUPLICATE))


def shrink(
    failure: Failure, factory: GroupFactory = SimulatedGroup, max_replays: int = MAX_SHRINK_REPLAYS
) -> Failure:
    """Return a shorter schedule that violates the same invariant.

    Removes ranges of consecutive steps, long ones first, and preserves their elapsed time.
    """
    shortest = failure
    size = len(failure.steps) // 2
    replays = 0
    while size > 0 and replays < max_replays:
        for steps in _omit_step_ranges(shortest.steps, size):
            replays += 1
            violation = replay(failure.options, failure.seed, steps, factory)
            if violation is not None and violation.invariant == failure.violation.invariant:
                shortest = replace(shortest, steps=steps, violation=violation)
                break
            if replays >= max_replays:
                break
        else:
            size //= 2
    return shortest


def format_trace(failure: Failure, factory: GroupFactory = SimulatedGroup) -> Iterator[str]:
    """Yield a line for each step of a schedule, with the changes of roles it causes."""
    group = factory(failure.options, failure.seed)
    yield f'seed {failure.seed}, {failure.options}'
    roles: dict[str, str] = {}
    for number, step in enumerate(failure.steps):
        description = _describe(group, step)
        violation = _perform(group, step)
        changed = {name: text for name, text in group.describe_roles() if roles.get(name) != text}
        roles.update(changed)
        changes = ''.join(f'; {name} {text}' for name, text in changed.items())
        yield f'{number:4} {group.now:8.3f} s  {description}{changes}'
        if violation is not None:
            yield str(violation)
            return
    yield str(failure.violation)


def _omit_step_ranges(steps: Sequence[Step], size: int) -> Iterator[tuple[Step, ...]]:
    for start in range(len(steps) - size, -1, -size):
        elapsed_s = sum(step.elapsed_s for step in steps[start : start + size])
        remaining = list(steps[start + size :])
        if remaining:
            remaining[0] = replace(remaining[0], elapsed_s=remaining[0].elapsed_s + elapsed_s)
        yield (*steps[:start], *remaining)


def _perform(group: SimulatedGroup, step: Step) -> InvariantViolation | None:
    try:
        perform_checked(group, step)
    except InvariantViolation as violation:
        return violation
    return None


def _describe(group: SimulatedGroup, step: Step) -> str:
    parts = [step.action.value, step.subject, step.peer]
    link = group.links.get((step.subject, step.peer))
    if step.action in _MESSAGE_ACTIONS and link:
        parts.append(str(link[step.choice % len(link)].message))
    return ' '.join(part for part in parts if part)
