"""The federation's calls at the admin address: status, table proposals and operator statements."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.config.federation import Federation
from madderbeam.federation import table as tables
from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.errors import FederationError
from madderbeam.federation.switchover.switchover import Switchover
from madderbeam.federation.values import (
    MemberDecommissioned,
    ProposalId,
    ProposalOutcome,
    RollbackAccepted,
    Table,
    TableProposed,
)
from madderbeam.host.federation.site_sharing import SiteSharing
from madderbeam.host.host import Host
from madderbeam.membership.membership import Membership
from madderbeam.membership.values import MemberId, MemberView
from madderbeam.ports import Disk
from madderbeam.relay.custody import Custodian
from madderbeam.relay.origin import OriginStreams
from madderbeam.transport.control import Answer
from madderbeam.transport.mesh.mesh import Mesh

MAX_CALL_BYTES = 1 << 20  # fits a table of 10,000 destinations
MAX_OUTCOMES = 16  # most recent proposals whose outcome is reported
log = logging.getLogger(__name__)


@dataclass(frozen=True)
class CallContext:
    """What the calls use: `table` returns the table in force, `post_event` posts federation events."""

    host: Host
    disk: Disk
    config: Federation
    membership: Membership
    agreement: Agreement
    switchover: Switchover
    streams: OriginStreams
    custodian: Custodian
    mesh: Mesh
    shared: SiteSharing | None
    table: Callable[[], Table]
    post_event: Callable[[Any], None]


class AdminCalls:
    """Serves the calls and remembers the outcomes of the tables proposed at this member."""

    def __init__(self, context: CallContext) -> None:
        self.context, self.member_id = context, context.config.id
        self.outcomes: dict[ProposalId, ProposalOutcome] = {}
        service, control = context.host.admin_service, context.host.control
        control.most = max(control.most, MAX_CALL_BYTES)
        service.calls |= {
            "/federation": ("GET", self._get_status),
            "/federation/table": ("POST", self._propose_table),
            "/federation/off": ("POST", self._decommission_member),
            "/federation/trust": ("POST", self._accept_rollback),
        }

    def record_outcome(self, outcome: ProposalOutcome) -> None:
        """Record the outcome of a table proposed at this member."""
        self.outcomes.pop(outcome.proposal, None)
        self.outcomes[outcome.proposal] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        if outcome.is_agreed:
            log.info("federation: table %s is agreed", outcome.proposal)
        else:
            log.error("federation: table %s was rejected: %s", outcome.proposal, _error_text(outcome.error))

    # Calls

    def _get_status(self, _: bytes) -> Answer:
        return Answer(200, json.dumps(self.status(), indent=1) + "\n")

    def status(self) -> dict[str, Any]:
        """Return the document of GET /federation; durations are in milliseconds."""
        member = self.context
        now = member.host.clock()
        sites = member.membership.sites()
        return {
            "federation": member.config.name,
            "member": str(self.member_id),
            "start": member.membership.incarnation.start,
            "members": [_member_status(view, now) for view in member.membership.views()],
            "sites": {
                name: {
                    "live": list(map(str, site.live)),
                    "none_for_ms": _elapsed_ms(site.empty_since_us, now),
                }
                for name, site in sites.items()
            },
            "health": member.membership.health,
            "table": member.table().document(),
            "agreement": member.agreement.status(now),
            "switch": member.switchover.status(now),
            "offered": {
                str(proposal): "agreed" if outcome.is_agreed else _error_text(outcome.error)
                for proposal, outcome in self.outcomes.items()
            },
            "streams": _stream_status(member.streams.metrics, now),
            "custody": member.custodian.metrics,
            "mesh": member.mesh.metrics(),
            **({"shared": member.shared.status(now)} if member.shared else {}),
        }

    def _propose_table(self, body: bytes) -> Answer:
        try:
            table = tables.read_table(json.loads(body))
        except (ValueError, RecursionError) as error:
            return Answer(400, f"the body must be a table's JSON document: {error}\n")
        except FederationError as error:
            return Answer(400, error.line() + "\n")
        return self._propose(table)

    def _propose(self, table: Table) -> Answer:
        proposal = table.proposal_id
        if table.proposal_id == self.context.table().proposal_id:
            return Answer(200, f"{proposal} is in force\n")
        self.outcomes.pop(proposal, None)
        self.context.post_event(TableProposed(table))
        outcome = self.outcomes.get(proposal)
        if outcome is None:
            return Answer(202, f"{proposal} is offered; GET /federation tells what becomes of it\n")
        if outcome.is_agreed:
            return Answer(200, f"{proposal} is agreed\n")
        return Answer(409, f"{_error_text(outcome.error)}\n")

    def _decommission_member(self, body: bytes) -> Answer:
        member = _parse_member(body)
        if member is None:
            return Answer(400, 'the body must be a JSON object like {"member":"SITE/NAME"}\n')
        if member == self.member_id:
            return Answer(409, f"{member} is this member, and it works\n")
        log.warning("federation: an operator declared %s decommissioned", member)
        self.context.post_event(MemberDecommissioned(member, self.context.table().number))
        return Answer(200, f"{member} counts as off by table {self.context.table().number}\n")

    def _accept_rollback(self, _: bytes) -> Answer:
        log.warning("federation: an operator declared this member's state folder trusted")
        self.context.post_event(RollbackAccepted())
        return Answer(200, f"{self.member_id} takes part in votes again\n")

    # SIGHUP

    def propose_file(self) -> None:
        """Propose the table of the configured file if its number is above that of the table in force."""
        path = self.context.config.table_file
        if not path:
            return
        try:
            table = tables.read_table(json.loads(self.context.disk.read(path)))
        except (OSError, ValueError, RecursionError) as error:
            log.error("federation: %s: the table is unchanged: %s", path, error)
            return
        except FederationError as error:
            log.error("federation: %s: the table is unchanged: %s", path, error.line())
            return
        if table.number > self.context.table().number:
            answer = self._propose(table)
            log.info("federation: %s: %s", path, answer.text.strip())


def _error_text(error: Exception | None) -> str:
    line_method: Callable[[], str] | None = getattr(error, "line", None)
    return line_method() if line_method is not None else str(error)


def _parse_member(body: bytes) -> MemberId | None:
    try:
        value = json.loads(body)
        site, slash, name = value["member"].partition("/")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return MemberId(site, name) if slash and site and name else None


def _elapsed_ms(since_us: int | None, now_us: int) -> int | None:
    return None if since_us is None else (now_us - since_us) // 1000


def _member_status(view: MemberView, now_us: int) -> dict[str, Any]:
    return {
        "member": str(view.id),
        "state": view.state.name.lower(),
        "start": view.incarnation.start,
        "address": "{}:{}".format(*view.address),
        "draining": view.draining,
        "for_ms": _elapsed_ms(view.since_us, now_us),
    }


def _stream_status(figures: dict[str, dict[str, Any]], now_us: int) -> dict[str, dict[str, Any]]:
    """Replace the points in time of the machine's metrics by durations."""
    return {
        site: {
            "away_for_ms": _elapsed_ms(row["away_since_us"], now_us),
            **{name: value for name, value in row.items() if name != "away_since_us"},
        }
        for site, row in figures.items()
    }
