"""Access to the errors in exception groups."""

from typing import TypeVar

_Error = TypeVar("_Error", bound=BaseException)


def first_leaf(errors: BaseExceptionGroup[_Error]) -> _Error:
    """Return the first error of a group that is no group itself.

    Args:
        errors: the group, nested to any depth.
    """
    error: _Error | BaseExceptionGroup[_Error] = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
