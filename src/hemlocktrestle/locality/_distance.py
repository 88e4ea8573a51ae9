"""How far a replica is from the VM that sends to it."""

from enum import Enum


class Locality(Enum):
    """Where a request goes, seen from the VM that took it."""

    OWN_ZONE = "own-zone"
    OTHER_ZONE = "other-zone"
    OTHER_REGION = "other-region"


def locality_of(zone: str, region: str, *, own_zone: str, own_region: str) -> Locality:
    """Return the locality of a zone for a VM."""
    if region != own_region:
        return Locality.OTHER_REGION
    return Locality.OWN_ZONE if zone == own_zone else Locality.OTHER_ZONE
