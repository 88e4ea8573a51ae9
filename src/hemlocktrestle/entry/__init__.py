"""Admission and classification of a request at the VM that receives it.

These decisions come before the VM asks a scheduler for a permit.
"""

from hemlocktrestle.entry._admission import Admission, LimitKey
from hemlocktrestle.entry._cost import CostEstimator
from hemlocktrestle.entry._request import (
    CallerRequest,
    ChatBody,
    ChatCost,
    chat_cost,
    deadline_of,
    parse_chat,
    tier_of,
)

__all__ = [
    "Admission",
    "CallerRequest",
    "ChatBody",
    "ChatCost",
    "CostEstimator",
    "LimitKey",
    "chat_cost",
    "deadline_of",
    "parse_chat",
    "tier_of",
]
