"""A simulated model engine: continuous batching, FIFO admission, prefix cache."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from bench.policy._loop import Loop
from bench.policy._trace import Request

PREFILL_MS_PER_TOKEN = 0.25
DECODE_BASE_MS = 18.0
DECODE_MS_PER_RUNNING = 0.6
BATCH_MAX = 24
CHUNK_TOKENS = 512
CACHE_PREFIXES = 12
PREFIX_TOKENS = 256


class EngineSpec(NamedTuple):
    """One replica: its zone and region, and its speed relative to an average one."""

    name: str
    zone: str
    region: str
    speed: float


class Job:
    """One request inside an engine."""

    __slots__ = (
        "computed_tokens",
        "first_ms",
        "is_gone",
        "on_done",
        "prefill_tokens",
        "request",
        "sent_ms",
    )

    def __init__(self, request: Request, on_done: Callable[["Job"], None]) -> None:
        self.request = request
        self.on_done = on_done
        self.prefill_tokens = request.prompt_tokens
        self.computed_tokens = 0
        self.first_ms = 0.0
        self.sent_ms = 0.0
        self.is_gone = False


class Engine:
    """One replica; ``slowdown`` multiplies the time of everything it does."""

    def __init__(self, loop: Loop, spec: EngineSpec) -> None:
        self.spec = spec
        self.slowdown = 1.0
        self._loop = loop
        self._waiting: deque[Job] = deque()
        self._prefilling: deque[Job] = deque()
        self._ends: list[tuple[int, int, Job]] = []
        self._running_count = 0
        self._step_number = 0
        self._is_stepping = False
        self._cache: dict[int, None] = {}
        self._count = 0

    @property
    def outstanding_count(self) -> int:
        """Number of requests waiting, in prefill or running."""
        return len(self._waiting) + len(self._prefilling) + self._running_count

    def submit(self, job: Job) -> None:
        """Add a request to the waiting ones."""
        self._waiting.append(job)
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def cancel(self, job: Job) -> None:
        """Drop a request; the work done for it is wasted."""
        if job.is_gone:
            return
        job.is_gone = True
        if job.first_ms:
            self._running_count -= 1
        elif job in self._prefilling:
            self._prefilling.remove(job)
        elif job in self._waiting:
            self._waiting.remove(job)

    def backlog_ms(self, request: Request) -> float:
        """Estimate the time of a request sent now, from the engine's actual state."""
        count = min(BATCH_MAX, self.outstanding_count + 1)
        prefill_tokens = request.prompt_tokens + sum(
            job.prefill_tokens for job in (*self._waiting, *self._prefilling)
        )
        over_count = max(0, self.outstanding_count + 1 - BATCH_MAX)
        decode_ms = DECODE_BASE_MS + DECODE_MS_PER_RUNNING * count
        output_tokens = request.output_tokens * (1 + over_count / BATCH_MAX)
        work_ms = prefill_tokens * PREFILL_MS_PER_TOKEN + output_tokens * decode_ms
        return work_ms * self.slowdown / self.spec.speed

    def _step(self) -> None:
        while self._waiting and (
            len(self._prefilling) + self._running_count < BATCH_MAX
        ):
            self._admit(self._waiting.popleft())
        chunk_tokens = CHUNK_TOKENS
        done = []
        while self._prefilling and chunk_tokens:
            job = self._prefilling[0]
            used_tokens = min(chunk_tokens, job.prefill_tokens)
            job.prefill_tokens -= used_tokens
            job.computed_tokens += used_tokens
            chunk_tokens -= used_tokens
            if not job.prefill_tokens:
                done.append(self._prefilling.popleft())
        if not self._running_count and chunk_tokens == CHUNK_TOKENS and not done:
            self._is_stepping = False
            return
        step_ms = (CHUNK_TOKENS - chunk_tokens) * PREFILL_MS_PER_TOKEN
        if self._running_count:
            step_ms += DECODE_BASE_MS + DECODE_MS_PER_RUNNING * self._running_count
        step_ms *= self.slowdown / self.spec.speed
        self._loop.after(step_ms, lambda: self._end_step(done))

    def _end_step(self, done: list[Job]) -> None:
        self._step_number += 1
        for job in done:
            if job.is_gone:
                continue
            job.first_ms = self._loop.now_ms
            self._running_count += 1
            self._count += 1
            end = self._step_number + job.request.output_tokens - 1
            heapq.heappush(self._ends, (end, self._count, job))
        while self._ends and self._ends[0][0] <= self._step_number:
            job = heapq.heappop(self._ends)[2]
            if not job.is_gone:
                job.is_gone = True
                self._running_count -= 1
                job.on_done(job)
        self._step()

    def _admit(self, job: Job) -> None:
        digest = job.request.prefix_digest
        if digest in self._cache:
            del self._cache[digest]
            job.prefill_tokens = max(1, job.prefill_tokens - PREFIX_TOKENS)
        elif len(self._cache) >= CACHE_PREFIXES:
            del self._cache[next(iter(self._cache))]
        self._cache[digest] = None
        self._prefilling.append(job)
