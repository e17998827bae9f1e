"""Shrink a failing schedule and print it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import replace

from shallotmux.checking._explorer import Failure, WorldFactory, perform_checked, replay
from shallotmux.checking._violations import InvariantViolation
from shallotmux.checking._world import Action, Step, World

#: Replays that shrinking may take; one takes some tens of milliseconds.
MAX_REPLAYS = 400

_MESSAGE_ACTIONS = frozenset((Action.DELIVER, Action.LOSE, Action.DUPLICATE))


def shrink(
    failure: Failure, factory: WorldFactory = World, max_replays: int = MAX_REPLAYS
) -> Failure:
    """Return a shorter schedule that breaks the same invariant.

    Removes runs of steps, long ones first, and keeps the time that they took.
    """
    best = failure
    size = len(failure.steps) // 2
    replays = 0
    while size > 0 and replays < max_replays:
        for steps in _without_runs(best.steps, size):
            replays += 1
            violation = replay(failure.options, failure.seed, steps, factory)
            if violation is not None and violation.invariant == failure.violation.invariant:
                best = replace(best, steps=steps, violation=violation)
                break
            if replays >= max_replays:
                break
        else:
            size //= 2
    return best


def format_trace(failure: Failure, factory: WorldFactory = World) -> Iterator[str]:
    """Yield a line for each step of a schedule, with the roles that it changes."""
    world = factory(failure.options, failure.seed)
    yield f'seed {failure.seed}, {failure.options}'
    roles: dict[str, str] = {}
    for number, step in enumerate(failure.steps):
        description = _describe(world, step)
        violation = _perform(world, step)
        changed = {name: text for name, text in world.describe_roles() if roles.get(name) != text}
        roles.update(changed)
        changes = ''.join(f'; {name} {text}' for name, text in changed.items())
        yield f'{number:4} {world.now:8.3f} s  {description}{changes}'
        if violation is not None:
            yield str(violation)
            return
    yield str(failure.violation)


def _without_runs(steps: Sequence[Step], size: int) -> Iterator[tuple[Step, ...]]:
    for start in range(len(steps) - size, -1, -size):
        elapsed_s = sum(step.elapsed_s for step in steps[start : start + size])
        following = list(steps[start + size :])
        if following:
            following[0] = replace(following[0], elapsed_s=following[0].elapsed_s + elapsed_s)
        yield (*steps[:start], *following)


def _perform(world: World, step: Step) -> InvariantViolation | None:
    try:
        perform_checked(world, step)
    except InvariantViolation as violation:
        return violation
    return None


def _describe(world: World, step: Step) -> str:
    parts = [step.action.value, step.subject, step.peer]
    link = world.links.get((step.subject, step.peer))
    if step.action in _MESSAGE_ACTIONS and link:
        parts.append(str(link[step.choice % len(link)].message))
    return ' '.join(part for part in parts if part)
