"""Shared test support: a trio test case, fakes of the ports, and in-process VMs."""

from tests.support._answer import Answer
from tests.support._case import TrioTestCase
from tests.support._memory import MemoryNetwork, Reply, WireCaller, open_caller
from tests.support._scene import (
    CHAT,
    LEDGER,
    Scene,
    bearer,
    chat_body,
    open_scene,
)
from tests.support._store import FakeStore
from tests.support._upstream import Dispatch, FakeUpstreams
from tests.support._world import FakeVm, World

__all__ = [
    "CHAT",
    "LEDGER",
    "Answer",
    "Dispatch",
    "FakeStore",
    "FakeUpstreams",
    "FakeVm",
    "MemoryNetwork",
    "Reply",
    "Scene",
    "TrioTestCase",
    "WireCaller",
    "World",
    "bearer",
    "chat_body",
    "open_caller",
    "open_scene",
]
