"""The HTTP calls of the admin address: readiness, metrics, draining, and disabling of endpoints."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Sequence

from madderbeam.host.disabled_endpoints import DisabledEndpoints, TooManyDisabledError
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.policy.events import EndpointEntry
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import Answer

IDLE_CLOSE_DELAY_S = 0.5  # from the start of a drain until idle client connections are closed
IDLE_CLOSE_INTERVAL_S = 0.05  # between two passes over them
log = logging.getLogger(__name__)


class Drain:
    """Drain mode: the courier is not ready and closes idle client connections; pending messages go on."""

    def __init__(self, clients: ClientServer) -> None:
        self.clients, self.loop = clients, clients.loop
        self.is_active = False
        self.started_at_s = 0.0

    def begin(self) -> None:
        """Start to drain; without effect if it drains already."""
        if not self.is_active:
            self.is_active, self.started_at_s = True, self.loop.time()
            self.clients.ready = False
            self.loop.call_later(IDLE_CLOSE_DELAY_S, self._close_idle_clients, self.started_at_s)
            log.info("draining: closing idle client connections")

    def end(self) -> None:
        """Serve clients again."""
        if self.is_active:
            self.is_active = False
            self.clients.ready = True
            log.info("drain ended, serving clients again")

    def _close_idle_clients(self, since: float) -> None:
        if self.is_active and self.started_at_s == since:
            self.clients.let_go()
            self.loop.call_later(IDLE_CLOSE_INTERVAL_S, self._close_idle_clients, since)


class AdminService:
    """Handles the calls of the admin address.

    `apply_entries` applies entries that an operator has changed, `metrics_text` returns the text of all
    metrics, `ready` whether this process serves clients.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        disabled: DisabledEndpoints,
        drain: Drain,
        ready: Callable[[], bool],
        metrics_text: Callable[[], str],
        apply_entries: Callable[[Sequence[EndpointEntry]], None],
    ) -> None:
        self.registry, self.disabled, self.drain = registry, disabled, drain
        self.is_ready, self.metrics_text, self.apply_entries = ready, metrics_text, apply_entries
        self.is_handed_over = False  # whether another process has taken over
        self.calls: dict[str, tuple[str, Callable[[bytes], Answer]]] = {
            "/ready": ("GET", self._ready),
            "/metrics": ("GET", lambda _: Answer(200, self.metrics_text())),
            "/drain": ("PUT", self._drain),
            "/undrain": ("PUT", self._undrain),
            "/endpoints/disable": ("PUT", self._disable),
            "/endpoints/enable": ("PUT", self._enable),
        }

    def handle(self, method: str, path: str, body: bytes) -> Answer:
        """Handle one call and return its response."""
        call = self.calls.get(f"{method} {path}") or self.calls.get(path)  # a path may have two methods
        if call is None:
            return Answer(404, f"no such call; there are {', '.join(sorted(self.calls))}\n")
        allowed_method, action = call
        if method != allowed_method:
            return Answer(405, f"{path}: the method must be {allowed_method}\n")
        if self.is_handed_over and allowed_method == "PUT":
            return Answer(503, "another process has charge of everything\n")
        return action(body)

    def _ready(self, _: bytes) -> Answer:
        return Answer(200, "ready\n") if self.is_ready() else Answer(503, "not ready\n")

    def _drain(self, _: bytes) -> Answer:
        self.drain.begin()
        return Answer(200, "draining\n")

    def _undrain(self, _: bytes) -> Answer:
        self.drain.end()
        return Answer(200, "back to work\n")

    def _parse_member(self, body: bytes) -> str:
        value = json.loads(body)
        uid = value.get("member") if isinstance(value, dict) else None
        if not isinstance(uid, str) or not uid:
            raise ValueError
        return uid

    def _disable(self, body: bytes) -> Answer:
        return self._change_endpoint(body, self._disable_endpoint)

    def _enable(self, body: bytes) -> Answer:
        return self._change_endpoint(body, self._enable_endpoint)

    def _change_endpoint(self, body: bytes, change: Callable[[str], None]) -> Answer:
        try:
            uid = self._parse_member(body)
        except (ValueError, RecursionError):
            return Answer(400, 'the body must be a JSON object like {"member":"ID"}\n')
        if uid not in self.registry.ever and uid not in self.disabled:
            return Answer(404, f"member: no endpoint {uid!r} was ever listed\n")
        try:
            change(uid)
        except TooManyDisabledError as error:
            return Answer(507, f"member: {error}\n")
        except OSError as error:
            log.error("the list of disabled endpoints could not be stored: %s", error)
            return Answer(507, "it holds in this process, but the disk did not take it\n")
        return Answer(200, "done\n")

    def _disable_endpoint(self, uid: str) -> None:
        try:
            self.disabled.add(uid)
        finally:
            if uid in self.disabled:
                log.info("endpoint %s disabled by an operator", uid)
                self.apply_entries(self.registry.set_enabled(uid, enabled=False))

    def _enable_endpoint(self, uid: str) -> None:
        was_disabled = uid in self.disabled
        try:
            self.disabled.remove(uid)
        finally:
            if was_disabled:
                log.info("endpoint %s enabled by an operator", uid)
                self.apply_entries(self.registry.set_enabled(uid, enabled=True))
