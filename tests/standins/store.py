"""A stand-in for the platform's key-value service: etcd's v3 API as JSON over HTTP."""

import base64
import copy
import json
from typing import Any

import trio

from tests.standins.http import Connection, Request

PROGRESS_S = 1.0


class StoreStandIn:
    """Keys, leases and watches in memory, with faults that can be injected.

    Faults: ``is_down`` closes every connection; ``slow_ms`` delays each answer;
    ``lose_answers`` applies that many writes and closes their connections before the
    answer; ``silent`` accepts connections and never answers.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[str, tuple[float, float]] = {}
        self.faults: dict[str, Any] = {
            "is_down": False,
            "slow_ms": 0,
            "lose_answers": 0,
            "silent": False,
        }
        self.counts = {"read": 0, "write": 0, "watch": 0, "lease": 0}
        self.saved: tuple[int, dict[str, dict[str, Any]]] | None = None
        self._changed = trio.Event()

    async def handle(self, connection: Connection, request: Request) -> None:
        """Serve one request."""
        if request.target == "/_control":
            await connection.send_json(self._control(request.json()))
            return
        if self.faults["is_down"]:
            return
        if self.faults["silent"]:
            await connection.wait_closed()
            return
        if self.faults["slow_ms"]:
            await trio.sleep(self.faults["slow_ms"] / 1000)
        self._expire_leases()
        if request.target == "/v3/watch":
            await self._watch(connection, request.json()["create_request"])
            return
        answer = _ROUTES[request.target](self, request.json())
        if request.target == "/v3/kv/txn" and self.faults["lose_answers"]:
            self.faults["lose_answers"] -= 1
            return
        answer["header"] = {"revision": str(self.revision)}
        await connection.send_json(answer)

    def _control(self, body: dict[str, Any]) -> dict[str, Any]:
        if body.get("save"):
            self.saved = (self.revision, copy.deepcopy(self.items))
        if body.get("restore") and self.saved is not None:
            self.revision, self.items = self.saved[0], copy.deepcopy(self.saved[1])
            self.events.clear()
        for name in self.faults:
            if name in body:
                self.faults[name] = body[name]
        if "is_down" in body or "silent" in body or body.get("restore"):
            self._notify_watches()
        return {
            "counts": self.counts,
            "revision": self.revision,
            "items": {
                base64.b64decode(key).decode(): base64.b64decode(item["value"]).decode()
                for key, item in self.items.items()
            },
        }

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["read"] += 1
        found = self._select(body["key"], body.get("range_end"))
        return {"kvs": found[: int(body.get("limit", 0)) or None]}

    def _select(self, key: str, range_end: str | None) -> list[dict[str, Any]]:
        low = base64.b64decode(key)
        high = base64.b64decode(range_end) if range_end else low + b"\0"
        found = [
            item
            for item in self.items.values()
            if low <= base64.b64decode(item["key"]) < high
        ]
        return sorted(found, key=lambda item: base64.b64decode(item["key"]))

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["write"] += 1
        holds = all(
            int(self.items.get(compare["key"], {}).get("mod_revision", 0))
            == int(compare["mod_revision"])
            for compare in body.get("compare", [])
        )
        branch = body["success"] if holds else body["failure"]
        if holds:
            self.revision += 1
        responses = [self._operate(operation) for operation in branch]
        if holds:
            self._notify_watches()
        return {"succeeded": holds, "responses": responses}

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            put = operation["request_put"]
            item = {**put, "mod_revision": str(self.revision)}
            self.items[put["key"]] = item
            self.events.append((self.revision, {"type": "PUT", "kv": item}))
            return {"response_put": {}}
        if "request_delete_range" in operation:
            key = operation["request_delete_range"]["key"]
            self._delete(key)
            return {"response_delete_range": {}}
        wanted = operation["request_range"]
        kvs = self._select(wanted["key"], wanted.get("range_end"))
        return {"response_range": {"kvs": kvs}}

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            kv = {"key": key, "mod_revision": str(self.revision)}
            self.events.append((self.revision, {"type": "DELETE", "kv": kv}))

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["lease"] += 1
        lease_id = str(len(self.leases) + 1)
        ttl_s = float(body["TTL"])
        self.leases[lease_id] = (ttl_s, trio.current_time() + ttl_s)
        return {"ID": lease_id, "TTL": body["TTL"]}

    def _keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["lease"] += 1
        lease = self.leases.get(str(body["ID"]))
        if lease is None:
            return {"result": {"ID": body["ID"], "TTL": "0"}}
        self.leases[str(body["ID"])] = (lease[0], trio.current_time() + lease[0])
        return {"result": {"ID": body["ID"], "TTL": str(int(lease[0]))}}

    def _expire_leases(self) -> None:
        now = trio.current_time()
        lapsed = [name for name, (_, end) in self.leases.items() if end <= now]
        for lease_id in lapsed:
            del self.leases[lease_id]
            keys = [k for k, v in self.items.items() if v.get("lease") == lease_id]
            if keys:
                self.revision += 1
            for key in keys:
                self._delete(key)

    async def _watch(self, connection: Connection, create: dict[str, Any]) -> None:
        self.counts["watch"] += 1
        low = base64.b64decode(create["key"])
        high = base64.b64decode(create["range_end"])
        seen = int(create["start_revision"]) - 1
        await connection.send_head(200, {"content-type": "application/json"})
        while not (self.faults["is_down"] or self.faults["silent"]):
            changed = self._changed
            events = [
                event
                for revision, event in self.events
                if revision > seen
                and low <= base64.b64decode(event["kv"]["key"]) < high
            ]
            seen = max(seen, self.revision)
            result = {"header": {"revision": str(self.revision)}, "events": events}
            await connection.send_chunk(json.dumps({"result": result}).encode() + b"\n")
            with trio.move_on_after(PROGRESS_S):
                await changed.wait()
        if self.faults["silent"]:
            await connection.wait_closed()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


_ROUTES = {
    "/v3/kv/range": StoreStandIn._range,
    "/v3/kv/txn": StoreStandIn._txn,
    "/v3/lease/grant": StoreStandIn._grant,
    "/v3/lease/keepalive": StoreStandIn._keepalive,
}
