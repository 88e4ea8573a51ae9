"""Access to the errors in exception groups."""

import traceback
from typing import TypeVar

_Error = TypeVar("_Error", bound=BaseException)


def forget_frames(error: BaseException) -> None:
    """Release what the frames refer to that an error was raised through.

    A kept error refers to all of their variables otherwise, among them what refers
    to the error; such a cycle lives until the garbage collector runs.

    Args:
        error: the error or group; its members, causes and contexts count too.
    """
    pending: list[BaseException | None] = [error]
    while pending:
        known = pending.pop()
        if known is None:
            continue
        # The frames of functions that have not returned are left as they are.
        traceback.clear_frames(known.__traceback__)
        pending += [known.__cause__, known.__context__]
        if isinstance(known, BaseExceptionGroup):
            pending += known.exceptions
        known.__traceback__ = known.__cause__ = known.__context__ = None


def first_leaf(errors: BaseExceptionGroup[_Error]) -> _Error:
    """Return the first error of a group that is no group itself.

    Args:
        errors: the group, nested to any depth.
    """
    error: _Error | BaseExceptionGroup[_Error] = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
