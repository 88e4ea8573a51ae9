"""Periodic timers that wake a process together."""

from hemlocktrestle.timers._periodic import sleep_until_multiple

__all__ = ["sleep_until_multiple"]
