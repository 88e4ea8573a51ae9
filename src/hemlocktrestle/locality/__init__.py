"""When a request leaves its zone or region, and how much may go.

Decides from the time that a caller saves, the round trips and the transfer of the
way, and the room that was measured on the link.  Does no I/O and reads no clock.
"""

from hemlocktrestle.locality._answer_bytes import AnswerBytes
from hemlocktrestle.locality._distance import Locality, locality_of
from hemlocktrestle.locality._link_room import LinkRoom
from hemlocktrestle.locality._region_choice import (
    RegionChoice,
    RegionOption,
    RegionOrder,
)
from hemlocktrestle.locality._round_trips import RoundTrips
from hemlocktrestle.locality._zone_choice import (
    ZoneOption,
    ZoneReason,
    choose_in_region,
)

__all__ = [
    "AnswerBytes",
    "LinkRoom",
    "Locality",
    "RegionChoice",
    "RegionOption",
    "RegionOrder",
    "RoundTrips",
    "ZoneOption",
    "ZoneReason",
    "choose_in_region",
    "locality_of",
]
