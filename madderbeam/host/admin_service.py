"""What the calls at the second address do: ready, figures, drain, endpoints out by hand."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Sequence

from madderbeam.host.disabled_endpoints import DisabledEndpoints, TooManyDisabledError
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.policy.events import EndpointEntry
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import Answer

CLEAR_S = 0.5  # after a drain began, clients' connections between requests are closed
LOOK_S = 0.05  # and looked at so often
log = logging.getLogger(__name__)


class Drain:
    """The courier says no to the front, and lets clients go; what it holds goes on."""

    def __init__(self, clients: ClientServer) -> None:
        self.clients, self.loop = clients, clients.loop
        self.on = False
        self.since = 0.0

    def begin(self) -> None:
        """Say no from now on; a drain that is on goes on."""
        if not self.on:
            self.on, self.since = True, self.loop.time()
            self.clients.ready = False
            self.loop.call_later(CLEAR_S, self._clear, self.since)
            log.info("draining: clients are let go")

    def end(self) -> None:
        """Back to work."""
        if self.on:
            self.on = False
            self.clients.ready = True
            log.info("back to work")

    def _clear(self, since: float) -> None:
        if self.on and self.since == since:
            self.clients.let_go()
            self.loop.call_later(LOOK_S, self._clear, since)


class AdminService:
    """Answers calls. `relist` shows the decision module entries of the list that changed by hand, `figures`
    gives the text of all figures, `ready` whether this process serves."""

    def __init__(
        self,
        listing: EndpointRegistry,
        bans: DisabledEndpoints,
        drain: Drain,
        ready: Callable[[], bool],
        figures: Callable[[], str],
        relist: Callable[[Sequence[EndpointEntry]], None],
    ) -> None:
        self.listing, self.bans, self.drain = listing, bans, drain
        self.ready, self.figures, self.relist = ready, figures, relist
        self.over = False  # another process has charge of everything
        self.calls: dict[str, tuple[str, Callable[[bytes], Answer]]] = {
            "/ready": ("GET", self._ready),
            "/metrics": ("GET", lambda _: Answer(200, self.figures())),
            "/drain": ("PUT", self._drain),
            "/undrain": ("PUT", self._undrain),
            "/endpoints/disable": ("PUT", self._disable),
            "/endpoints/enable": ("PUT", self._enable),
        }

    def act(self, method: str, path: str, body: bytes) -> Answer:
        """The answer to one call."""
        found = self.calls.get(f"{method} {path}") or self.calls.get(path)  # a path may have two methods
        if found is None:
            return Answer(404, f"no such call; there are {', '.join(sorted(self.calls))}\n")
        wanted, action = found
        if method != wanted:
            return Answer(405, f"{path}: the method must be {wanted}\n")
        if self.over and wanted == "PUT":
            return Answer(503, "another process has charge of everything\n")
        return action(body)

    def _ready(self, _: bytes) -> Answer:
        return Answer(200, "ready\n") if self.ready() else Answer(503, "not ready\n")

    def _drain(self, _: bytes) -> Answer:
        self.drain.begin()
        return Answer(200, "draining\n")

    def _undrain(self, _: bytes) -> Answer:
        self.drain.end()
        return Answer(200, "back to work\n")

    def _member(self, body: bytes) -> str:
        value = json.loads(body)
        uid = value.get("member") if isinstance(value, dict) else None
        if not isinstance(uid, str) or not uid:
            raise ValueError
        return uid

    def _disable(self, body: bytes) -> Answer:
        return self._by_hand(body, self._out)

    def _enable(self, body: bytes) -> Answer:
        return self._by_hand(body, self._back)

    def _by_hand(self, body: bytes, change: Callable[[str], None]) -> Answer:
        try:
            uid = self._member(body)
        except (ValueError, RecursionError):
            return Answer(400, 'the body must be a JSON object like {"member":"ID"}\n')
        if uid not in self.listing.ever and uid not in self.bans:
            return Answer(404, f"member: no endpoint {uid!r} was ever listed\n")
        try:
            change(uid)
        except TooManyDisabledError as error:
            return Answer(507, f"member: {error}\n")
        except OSError as error:
            log.error("endpoints out by hand are not recorded: %s", error)
            return Answer(507, "it holds in this process, but the disk did not take it\n")
        return Answer(200, "done\n")

    def _out(self, uid: str) -> None:
        try:
            self.bans.add(uid)
        finally:
            if uid in self.bans:
                log.info("endpoint %s is out by hand", uid)
                self.relist(self.listing.by_hand(uid, back=False))

    def _back(self, uid: str) -> None:
        was = uid in self.bans
        try:
            self.bans.remove(uid)
        finally:
            if was:
                log.info("endpoint %s is put back", uid)
                self.relist(self.listing.by_hand(uid, back=True))
