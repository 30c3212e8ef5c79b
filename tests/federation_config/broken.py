"""Known ways to break a federation: file, old text, new text, the path and a word of the line that tells it."""

E, P = "estate.toml", "partners.toml"
APP = 'name = "m1"\n'
SECOND = """[[application]]
name = "m1b"
member = "m1"
listen = "127.0.0.1:7212"
control = "127.0.0.1:7213"
state = "state-b"
classes = ["season-notice", "deposit-payment"]

"""
BREAKS = {  # file, old text, new text, the path and a word of the line that tells it
    "own site": (E, 'site = "macon"', 'site = "makon"', "federation.site", "did you mean macon?"),
    "no sites": (E, '[[site]]\nname = "macon"', '[[sites]]\nname = "macon"', "sites", "did you mean site?"),
    "site twice": (E, '"savannah"\nmember', '"macon"\nmember', "site[1].name", "twice"),
    "not a member": (E, APP, APP + 'member = "m7"\n', "application[0].member", "no member 'm7' of macon"),
    "name no member": (E, APP, 'name = "desk"\n', "application[0].name", "allowed: m1"),
    "one member for two": (
        E,
        "[[application]]",
        SECOND + "[[application]]",
        "application[1].name",
        "m1b is the member",
    ),
    "member twice": (
        E,
        '7201" }]',
        '7201" }, { name = "m1", address = "127.0.0.1:7211" }]',
        "site[0].member[1].name",
        "'m1' twice",
    ),
    "one address for two": (E, '7301" }', '7201" }', "site[1].member[0].address", "macon/m1 has the address"),
    "one address by two spellings": (
        E,
        '"127.0.0.1:7301" }',
        '"127.0.0.1:07201" }',
        "site[1].member[0].address",
        "macon/m1",
    ),
    "no port": (E, "127.0.0.1:7301", "127.0.0.1", "site[1].member[0].address", "HOST:PORT"),
    "port 0": (E, "127.0.0.1:7301", "127.0.0.1:0", "site[1].member[0].address", "PORT from 1"),
    "host by name": (
        E,
        "127.0.0.1:7301",
        "savannah.example:7301",
        "site[1].member[0].address",
        "an IP address",
    ),
    "every address": (E, "127.0.0.1:7301", "0.0.0.0:7301", "site[1].member[0].address", "others can reach"),
    "site without members": (
        E,
        '[{ name = "s1", address = "127.0.0.1:7301" }]',
        "[]",
        "site[1].member",
        "at least one",
    ),
    "member without address": (E, ', address = "127.0.0.1:7301"', "", "site[1].member[0].address", "lacks"),
    "via unknown": (
        E,
        APP,
        APP + 'via = { "savannah/s2" = "127.0.0.1:9301" }\n',
        "application[0].via.savannah/s2",
        "did you mean savannah/s1?",
    ),
    "via itself": (
        E,
        APP,
        APP + 'via = { "macon/m1" = "127.0.0.1:9301" }\n',
        "application[0].via.macon/m1",
        "itself",
    ),
    "via nowhere": (
        E,
        APP,
        APP + 'via = { "athens/a1" = "tunnel" }\n',
        "application[0].via.athens/a1",
        "'tunnel'",
    ),
    "via one place": (
        E,
        APP,
        APP + 'via = { "athens/a1" = "10.0.0.1:9", "savannah/s1" = "10.0.0.1:9" }\n',
        "application[0].via.savannah/s1",
        "athens/a1 has the address",
    ),
    "via by no site": (E, APP, APP + 'via = { "a1" = "127.0.0.1:9301" }\n', "application[0].via.a1", "a1"),
    "mesh where control is": (
        E,
        "127.0.0.1:7201",
        "127.0.0.1:7203",
        "site[0].member[0].address",
        "m1 has the port",
    ),
    "mesh_listen where clients come": (
        E,
        APP,
        APP + 'mesh_listen = "0.0.0.0:7202"\n',
        "application[0].mesh_listen",
        "m1 has the port",
    ),
    "mesh_listen by name": (
        E,
        APP,
        APP + 'mesh_listen = "localhost:7201"\n',
        "application[0].mesh_listen",
        "an IP address",
    ),
    "time-out over period": (
        E,
        'site = "macon"',
        'site = "macon"\nprobe_timeout_ms = 1000',
        "federation.probe_timeout_ms",
        "from 10 to 999",
    ),
    "wait over the courier's": (
        E,
        'site = "macon"',
        'site = "macon"\nwait_told_ms = 2500',
        "federation.wait_told_ms",
        "from 10 to 2000",
    ),
    "backlog over the courier's": (
        E,
        'site = "macon"',
        'site = "macon"\nbacklog_messages = 401',
        "federation.backlog_messages",
        "at most 400",
    ),
    "backlog over the disk": (
        E,
        'site = "macon"',
        'site = "macon"\nbacklog_mb = 33.0',
        "federation.backlog_mb",
        "at most 32",
    ),
    "lease of no time": (E, 'site = "macon"', 'site = "macon"\nlease_ms = 5', "federation.lease_ms", "500"),
    "federation without a name": (E, 'name = "georgia"\n', "", "federation.name", "lacks"),
    "other classes": (
        E,
        "[[application]]",
        SECOND.replace(', "deposit-payment"', "") + "[[application]]",
        "application[1].classes",
        "not those of m1b",
    ),
    "a partner that it serves": (
        E,
        APP,
        APP + 'partners = ["harbor-brass"]\n',
        "application[0].partners",
        "civic-chorus",
    ),
    "partner's site": (
        P,
        'site = "savannah"',
        'site = "savanah"',
        "partner[1].site",
        "did you mean savannah?",
    ),
    "partner of no site": (P, 'site = "savannah"\n', "", "partner[1].site", "lacks"),
    "no number": (P, "number = 2\n", "", "partner[1].number", "lacks"),
    "number over a table's": (P, "number = 2\n", "number = 4000000000\n", "partner[1].number", "2147483647"),
    "topic with no name": (P, '"halls"', '""', "partner[1].topics[1]", "letters"),
    "topic twice": (P, '"halls"', '"season"', "partner[1].topics[1]", "twice"),
    "sites without a federation": (
        E,
        '[federation]\nname = "georgia"\nsite = "macon"\n',
        "",
        "site[0]",
        "without a federation",
    ),
}
