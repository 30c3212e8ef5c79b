"""The typed model of what a person writes: estate.toml and partners.toml.

Every setting stands here once, with its unit in its name, its default, its bounds and a line of help. The
tool's checks, the JSON Schema, `config explain` and the operators' page are made from it. A running courier
does not import this module: it reads a rendered file.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
Name = Annotated[str, Field(pattern=NAME)]
MemberName = Annotated[str, Field(pattern=NAME[:-1] + "/" + NAME[1:])]  # SITE/NAME


class Table(BaseModel):
    """A table of TOML: no unknown keys, no number given as text, neither nan nor infinity."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False, frozen=True)


class MessageClass(Table):
    """One class of messages."""

    wanted_ms: int = Field(ge=1, le=86_400_000, description="delivered within this it earns its full worth")
    deadline_ms: int = Field(ge=1, le=86_400_000, description="and within this a part; then it is given up")
    repeat: Literal["safe", "keyed", "unsafe"] = Field(
        default="unsafe",
        description="what a second delivery does: nothing (safe), nothing while the partner "
        "remembers the message's key (keyed), or harm (unsafe)",
    )
    key_window_ms: int = Field(
        default=0, ge=0, le=86_400_000, description="keyed: for how long a partner remembers a key"
    )
    key_scope: Literal["all", "zone"] = Field(
        default="all", description="keyed: which of a partner's endpoints share their memory of keys"
    )
    worth: float = Field(default=1.0, ge=0, le=1e6, description="what one delivered in time is worth")
    late_share: float = Field(default=0.0, ge=0, le=1, description="part of the worth left at the deadline")
    ordered: bool = Field(default=False, description="messages of one order key go one at a time")


class Tenant(Table):
    """One ensemble whose messages are handed in."""

    share: float = Field(ge=0, le=1, description="its part of all traffic; all together at most 1")
    per_s: float = Field(
        default=1000.0, ge=0, le=1e6, description="messages a second that count in full, over all couriers"
    )


class Kind(Table):
    """One kind of partner."""

    bundle: int = Field(default=1, ge=1, le=1000, description="messages that one call may hold")
    routes_apart: bool = Field(
        default=False, description="each endpoint has a limit, waits and outages of its own"
    )


class Settings(Table):
    """What a courier is given. In [defaults] for all applications, or in one [[application]] for it alone."""

    slots: int = Field(default=16, ge=1, le=10_000, description="calls that may be out at once")
    window: int | None = Field(
        default=None,
        ge=1,
        le=7_500,
        description="calls out at once to one partner; at most three quarters of slots, which is the default",
    )
    max_held: int = Field(default=400, ge=16, le=1_000_000, description="messages held at once")
    attempts: int = Field(default=3, ge=1, le=12, description="attempts of one message, the first included")
    retry_base_ms: int = Field(
        default=100, ge=1, le=60_000, description="ceiling of the wait before the second attempt; it doubles"
    )
    retry_cap_ms: int = Field(default=3_000, ge=1, le=600_000, description="highest ceiling of that wait")
    max_wait_ms: int = Field(
        default=2_000,
        ge=0,
        le=600_000,
        description="longest time to come back that a refusal tells; 0: none is told",
    )
    tick_ms: int = Field(default=5, ge=1, le=100, description="least time between two turns")
    connect_timeout_ms: int = Field(
        default=1_000, ge=10, le=60_000, description="for the setting up of a connection to a partner"
    )
    connection_idle_ms: int = Field(
        default=10_000, ge=100, le=3_600_000, description="after which partners close an idle connection"
    )
    drain_grace_ms: int = Field(
        default=2_000, ge=0, le=60_000, description="nothing new goes to a draining endpoint after this"
    )
    cold_share: float = Field(
        default=0.15, gt=0, le=1, description="part of its capacity that a returning partner has at least"
    )
    cold_ms: int = Field(default=12_000, ge=1, le=3_600_000, description="after which it has all of it")
    fall_multiple: float = Field(
        default=2.5, gt=1, le=100, description="more than this multiple of what it can do pushes it over"
    )
    fall_ms: int = Field(default=2_000, ge=1, le=600_000, description="if it lasts this long")
    key_rest_ms: int = Field(
        default=0,
        ge=0,
        le=600_000,
        description="ordered: rest of a key after an attempt with unknown outcome",
    )
    courier: int | None = Field(
        default=None,
        ge=0,
        le=9_999,
        description="which of these couriers it is, from 0 (for subsets); default: its place in the estate",
    )
    zone: Name | None = Field(
        default=None, description="where it stands: pools with zone_first use endpoints of this zone first"
    )
    couriers: int | None = Field(
        default=None,
        ge=1,
        le=10_000,
        description="couriers that share each partner's rate; default: the estate's",
    )
    sockets: int = Field(default=1_024, ge=64, le=1_048_576, description="file descriptors of the process")
    clients: int = Field(default=256, ge=1, le=100_000, description="connections of the application")
    client_idle_ms: int = Field(
        default=60_000,
        ge=1_000,
        le=3_600_000,
        description="a client's connection with no request open is kept for this",
    )
    disk_mb: float = Field(
        default=32.0, ge=0.05, le=1_000_000, description="most that the state folder takes"
    )
    journal_sync: bool = Field(
        default=False,
        description="each group of records is synced to the disk: only where the machine's loss counts",
    )
    feed_mb: float = Field(
        default=16.0, ge=0.01, le=100_000, description="the feed of finals is set aside as .1 at this size"
    )
    via: dict[MemberName, str] = Field(
        default={},
        max_length=1000,
        description="other members of the federation by SITE/NAME, each with the HOST:PORT at which it is "
        "reached from here, where that is not its own address",
    )


class Kafka(Table):
    """The Kafka front of one application (the extra `kafka`)."""

    listen: str = Field(description="where Kafka clients connect: HOST:PORT")
    advertised: str | None = Field(
        default=None, description="HOST:PORT that clients are told to connect to; default: that of listen"
    )
    partitions: int = Field(default=1, ge=1, le=1000, description="partitions of each topic")
    finals: Name = Field(default="finals", description="the topic that ends are read from")
    users: dict[Name, str] = Field(
        default={}, description="passwords by name, for SASL PLAIN; a name that is a tenant's stands for it"
    )


class Standby(Table):
    """What a courier has taken on outlasts its machine: another courier keeps its journal, and takes over."""

    to: str | None = Field(
        default=None, description="HOST:PORT of the standby that keeps this courier's journal; default: none"
    )
    listen: str | None = Field(
        default=None,
        description="HOST:PORT at which it keeps another courier's journal: it is that one's standby, and "
        "serves no client until it is promoted; default: it is none",
    )
    key_file: str = Field(
        description="a file of lines NAME HEX, the keys by which both sides prove who they are, the one to "
        "speak with first; relative to the estate file"
    )
    mode: Literal["after", "before"] = Field(
        default="before",
        description="+OK, and the first byte of what may not be repeated, go before the standby has the "
        "record (after), or once it has it (before)",
    )
    silent: Literal["refuse", "alone"] = Field(
        default="refuse",
        description="while the standby is silent: take nothing on and attempt nothing, or go on alone",
    )
    silent_ms: int = Field(
        default=2_000,
        ge=200,
        le=600_000,
        description="without a word for so long the standby counts as silent; with refuse also how long its "
        "word holds",
    )
    lag_mb: float = Field(
        default=8.0,
        ge=0.01,
        le=10_000,
        description="after: beyond so much that the standby has not confirmed, answers wait as with before",
    )
    takeover: Literal["person", "lease"] = Field(
        default="person",
        description="the standby takes over on a person's word alone, or also once its owner's lease is over",
    )
    drift_ppm: int = Field(
        default=1_000,
        ge=0,
        le=100_000,
        description="by how many microseconds a second the two machines' clocks may run apart",
    )


class Application(Settings):
    """One scheduling program and the courier beside it."""

    name: Name = Field(description="the courier's name, and that of its file")
    listen: str = Field(description="where the program connects: HOST:PORT, or unix:PATH")
    control: str | None = Field(
        default=None,
        description="where those who run it call: HOST:PORT, on loopback unless others may; default: nowhere",
    )
    kafka: Kafka | None = Field(default=None, description="takes messages from Kafka clients as well")
    standby: Standby | None = Field(
        default=None, description="another courier keeps its journal, or it keeps another one's"
    )
    state: str = Field(description="the courier's own folder, which outlasts it; relative to the estate file")
    classes: list[str] = Field(min_length=1, description="the classes that it may hand in")
    tenants: list[str] = Field(default=[], description="the tenants that it may name; none: all")
    partners: list[str] = Field(default=[], description="the partners that it may reach; none: all")
    finals: str | None = Field(
        default=None,
        description="where ends are told: a file's path (JSON lines) or "
        "http://HOST:PORT; default: finals.jsonl beside the "
        "state folder",
    )
    member: Name | None = Field(
        default=None, description="which member of this site it is; default: the one of its own name"
    )
    mesh_listen: str | None = Field(
        default=None,
        description="where other members' datagrams and streams come in: HOST:PORT; default: its member's "
        "address",
    )


class Rates(Table):
    """Messages and bytes, by the second and by the hour; what lacks is not limited."""

    messages_per_s: int | None = Field(default=None, ge=1, le=10**9, description="messages a second")
    bytes_per_s: int | None = Field(default=None, ge=1, le=10**12, description="bytes of bodies a second")
    messages_per_h: int | None = Field(default=None, ge=1, le=10**9, description="messages in any hour")
    bytes_per_h: int | None = Field(default=None, ge=1, le=10**12, description="bytes in any hour")
    burst_messages: int | None = Field(
        default=None, ge=1, le=10**9, description="messages at once; default: one second's"
    )
    burst_bytes: int | None = Field(
        default=None, ge=1, le=10**12, description="bytes at once; default: one second's"
    )


class Quota(Table):
    """One node of the tree of quotas: an organisation, an ensemble, a class of its messages."""

    name: Name = Field(description="its name")
    parent: str = Field(default="", description="the node above, which stands ahead of it; none: at the top")
    limit: Rates = Field(default=Rates(), description="what passes here, from all its children together")
    share: Rates = Field(
        default=Rates(), description="its part of the parent's limit; beyond it, it borrows what others leave"
    )
    reserved: Rates = Field(default=Rates(), description="the part of its share that nobody else may borrow")
    tenants: list[str] = Field(default=[], description="whose messages count here; none: those of any")
    classes: list[str] = Field(default=[], description="of which classes; none: of all")


class Federation(Table):
    """Couriers of several sites that act as one."""

    name: Name = Field(description="its name, the same at all sites")
    site: Name = Field(description="the site whose members this estate's applications are")
    probe_period_ms: int = Field(
        default=1_000, ge=50, le=60_000, description="each member probes another one so often"
    )
    probe_timeout_ms: int = Field(
        default=500,
        ge=10,
        le=30_000,
        description="after which a probe is tried by way of others; under probe_period_ms",
    )
    indirect_probes: int = Field(
        default=3, ge=0, le=16, description="members that try a probe which was not answered"
    )
    suspicion_alpha: float = Field(
        default=5.0,
        ge=1,
        le=100,
        description="shortest time that a suspect has to answer, where many suspect it: this many "
        "probe periods, times log10 of the members",
    )
    suspicion_beta: float = Field(
        default=6.0, ge=1, le=100, description="longest, where one alone does: so many times the shortest"
    )
    exchange_period_ms: int = Field(
        default=30_000,
        ge=500,
        le=3_600_000,
        description="whole states are exchanged with another member so often, which mends what news missed",
    )
    agree_within_ms: int = Field(
        default=60_000,
        ge=1_000,
        le=3_600_000,
        description="a proposed table is agreed on within this, or is closed as turned down",
    )
    table_file: str | None = Field(
        default=None,
        description="a file with the table (JSON) that is proposed at SIGHUP, if its number is the next; "
        "relative to the estate file",
    )
    lease_ms: int | None = Field(
        default=None,
        ge=500,
        le=3_600_000,
        description="a member serves only while a majority of voters renews its lease for this time; then "
        "what a dead one served can be taken over without a person's word; default: no leases",
    )
    lease_drift_ppm: int = Field(
        default=200,
        ge=0,
        le=100_000,
        description="by how many microseconds a second two members' clocks may run apart",
    )
    backlog_messages: int | None = Field(
        default=None,
        ge=1,
        le=1_000_000,
        description="publications for other sites that a courier holds at once, of its max_held; one site "
        "may take as much as is still free, so that none fills it; default: half of max_held",
    )
    backlog_mb: float | None = Field(
        default=None,
        ge=0.01,
        le=100_000,
        description="megabytes of their bodies, likewise; default: a quarter of disk_mb",
    )
    wait_told_ms: int = Field(
        default=2_000,
        ge=10,
        le=600_000,
        description="the time to come again that a client is told where a site has no member that can be "
        "reached, or a destination changes hands",
    )
    share: bool = Field(
        default=False,
        description="what one courier of the site learns of a partner all heed, one alone tries a "
        "partner that is out, and rates, places and quotas are shared by need",
    )


class Changes(Table):
    """Changes of a running courier's configuration: checked, on trial, kept or undone."""

    trial_ms: int = Field(
        default=30_000,
        ge=1_000,
        le=3_600_000,
        description="a change is on trial for this long, unless it says how long itself",
    )
    look_ms: int = Field(default=500, ge=50, le=60_000, description="and is looked at so often")
    failing_share: float = Field(
        default=0.5, gt=0, le=1, description="it is undone if more of the calls at its new endpoints fail"
    )
    least_calls: int = Field(
        default=10, ge=1, le=1_000_000, description="calls that must have ended there before that counts"
    )
    refused_per_s: float = Field(
        default=50.0,
        ge=0,
        le=1e6,
        description="it is undone if more messages a second are refused, and twice as many as before",
    )
    held_growth: float = Field(
        default=0.25,
        gt=0,
        le=1,
        description="it is undone if what is held grows by this part of max_held at six looks in a row",
    )
    left_share: float = Field(
        default=0.25,
        ge=0,
        le=1,
        description="part of a partner's endpoints that a change must leave in service while calls are out "
        "there",
    )
    queue: int = Field(default=16, ge=1, le=1000, description="changes that may wait")
    history: int = Field(default=64, ge=1, le=1000, description="changes whose end is remembered")


class Member(Table):
    """One courier of a site, as all sites know it."""

    name: Name = Field(description="its name, its own within the site")
    address: str = Field(
        description="HOST:PORT (HOST in digits) at which others reach it by datagrams and streams"
    )
    votes: bool = Field(default=True, description="it is one of the voters on the next table")


class Site(Table):
    """One site of the federation; the same text at all sites."""

    name: Name = Field(description="its name")
    member: list[Member] = Field(min_length=1, max_length=64, description="its couriers")


class Estate(Table):
    """estate.toml: one machine's applications."""

    partner_list: str = Field(default="partners.toml", description="the partner list, relative to this file")
    defaults: Settings = Field(default=Settings(), description="settings of all applications")
    classes: dict[Name, MessageClass] = Field(min_length=1, description="classes of messages, by name")
    tenants: dict[Name, Tenant] = Field(default={}, description="tenants, by name")
    quota: list[Quota] = Field(default=[], description="quotas, nested by `parent`; none: no limits")
    federation: Federation | None = Field(
        default=None, description="this estate's couriers act as one with other sites'; none: each for itself"
    )
    changes: Changes | None = Field(
        default=None, description="changes while the couriers run are on trial; none: a list counts at once"
    )
    site: list[Site] = Field(
        default=[], max_length=40, description="all sites of the federation, this one included"
    )
    application: list[Application] = Field(min_length=1, description="the applications")


class Endpoint(Table):
    """One endpoint of a partner, where more than its address is to be said."""

    address: str = Field(description="HOST:PORT")
    zone: Name = Field(default="here", description="where it stands")
    state: Literal["in_service", "terminating"] = Field(
        default="in_service", description="terminating: nothing new is sent there"
    )
    weight: int | None = Field(
        default=None, ge=1, le=1_000_000, description="its share of the pool, against the others'; else 1"
    )
    backup: bool | None = Field(
        default=None, description="used only where no other endpoint of the pool can be; else false"
    )
    down: bool | None = Field(default=None, description="never used; else false")
    max_conns: int | None = Field(
        default=None, ge=0, le=1_000_000, description="calls out at once by this courier; 0 or none: no limit"
    )
    max_fails: int | None = Field(
        default=None,
        ge=0,
        le=1000,
        description="so many failures within fail_timeout_ms take it out for that time; 0 or none: never",
    )
    fail_timeout_ms: int | None = Field(
        default=None, ge=1, le=86_400_000, description="see max_fails; else 10000"
    )
    slow_start_ms: int | None = Field(
        default=None, ge=0, le=86_400_000, description="its weight rises over this once it is back; else 0"
    )


class Pool(Table):
    """How a partner's endpoints are chosen among; without it, and with no endpoint that has a weight or the
    like, the courier goes by what it sees of each."""

    method: Literal["round_robin", "least_conn", "hash", "consistent_hash", "random", "random_two"] = Field(
        default="round_robin",
        description="in turn by weight; fewest calls out by weight; by a hash (of hash_on) spread evenly, "
        "or so that few move when endpoints change; drawn by weight; the less busy of two that are drawn",
    )
    hash_on: Literal["tenant", "key", "order", "id"] = Field(
        default="tenant", description="hash methods: messages with the same one go to the same endpoint"
    )
    zone_first: bool = Field(
        default=False, description="endpoints of the courier's own zone come before others"
    )
    spill: float = Field(
        default=0.7,
        gt=0,
        le=1,
        description="zone_first: where less than this part of the zone's weight can be used, the rest of the "
        "messages goes to other zones",
    )
    subset: int = Field(
        default=0,
        ge=0,
        le=100_000,
        description="endpoints that one courier uses; the couriers' parts are spread evenly; 0: all",
    )
    fails_on: list[Literal["error", "timeout", "invalid_header", "http_500", "overload"]] = Field(
        default=["error", "timeout", "invalid_header"],
        description="what counts for max_fails: failed or broken connections, calls given up, answers that "
        "can't be read, answers 500, answers 429 and 503",
    )


class Route(Table):
    """From what a message names in place of `dest` to a partner."""

    on: Literal["path", "name", "class"] = Field(
        description="what it is held against: the field `path`, the field `to`, or the class of a message "
        "that names neither"
    )
    match: Literal["=", "", "^~", "~", "~*"] = Field(
        default="=",
        description="as nginx's locations: exact, prefix, prefix that keeps expressions out, expression "
        "(RE2), expression in any case",
    )
    text: str = Field(max_length=1000, description="what is looked for")
    host: list[str] = Field(
        default=[],
        description="path: only for messages whose `to` is one of these, in nginx's order of server names "
        '("*" stands for all others); none: all',
    )
    partner: str = Field(
        default="", description='where it leads: a partner\'s name; "": nowhere, its messages are turned down'
    )


class Partner(Table):
    """One partner: a destination of messages."""

    name: Name = Field(description="its name")
    number: int = Field(ge=0, le=4_294_967_295, description="the `dest` by which clients name it")
    kind: str = Field(default="plain", description="its kind, one of [kinds]")
    per_s: float = Field(gt=0, le=1e6, description="calls a second that it takes from all couriers together")
    endpoints: list[str | Endpoint] = Field(min_length=1, description="HOST:PORT, or a table with address")
    topic: str | None = Field(
        default=None,
        pattern=r"^[A-Za-z0-9._-]{1,249}$",
        description="it is a Kafka cluster that takes messages on this topic; its endpoints are nodes of it",
    )
    pool: Pool | None = Field(default=None, description="how its endpoints are chosen among")
    site: Name | None = Field(
        default=None,
        description="federation: the site that serves it by the first table; default: that of the estate",
    )
    topics: list[Name] = Field(
        default=[],
        max_length=1000,
        description="federation: what it subscribes to; a message with one of these as `topic` reaches it",
    )


class Partners(Table):
    """partners.toml: the partner list."""

    kinds: dict[Name, Kind] = Field(default={"plain": Kind()}, description="kinds of partners, by name")
    partner: list[Partner] = Field(min_length=1, description="the partners")
    route: list[Route] = Field(
        default=[],
        description="routes, in nginx's order of matches; a message may also name a partner by `to`",
    )
