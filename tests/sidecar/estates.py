"""A whole estate in a folder, for the tests of the configuration tool and of sidecars."""

ESTATE = """\
[defaults]
slots = 16
max_held = 200

[classes.status-notice]
wanted_ms = 1000
deadline_ms = 6000
repeat = "safe"

[classes.room-order]
wanted_ms = 4000
deadline_ms = 16000
repeat = "keyed"
key_window_ms = 15000

[classes.deposit-payment]
wanted_ms = 2000
deadline_ms = 20000
repeat = "unsafe"

[tenants.atlanta]
share = 0.6

[tenants.dalton]
share = 0.4

[[application]]
name = "notices"
listen = "127.0.0.1:PORT1"
state = "state/notices"
classes = ["status-notice"]

[[application]]
name = "orders"
listen = "127.0.0.1:PORT2"
state = "state/orders"
classes = ["room-order"]
retry_base_ms = 50

[[application]]
name = "deposits"
listen = "unix:deposits.sock"
state = "state/deposits"
classes = ["deposit-payment"]
partners = ["venue"]
"""

PARTNERS = """\
[kinds.plain]

[kinds.chain]
bundle = 5

[[partner]]
name = "venue"
number = 1
kind = "chain"
per_s = 100
endpoints = ["ADDRESS1", {address = "ADDRESS2", zone = "b"}]

[[partner]]
name = "quartet"
number = 2
per_s = 100
endpoints = ["ADDRESS3"]
"""


def estate(folder, ports=(7101, 7102), addresses=("127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003")):
    """Write it; the path of estate.toml."""
    text, partners = ESTATE, PARTNERS
    for n, port in enumerate(ports, 1):
        text = text.replace(f"PORT{n}", str(port))
    for n, address in enumerate(addresses, 1):
        partners = partners.replace(f"ADDRESS{n}", address)
    folder.mkdir(exist_ok=True)
    (folder / "estate.toml").write_text(text)
    (folder / "partners.toml").write_text(partners)
    return folder / "estate.toml"


def edit(path, old, new):
    """Replace a text that stands there."""
    text = path.read_text()
    assert old in text, old
    path.write_text(text.replace(old, new, 1))
