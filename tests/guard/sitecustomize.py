"""On the path of a courier's process this writes down what it does that its platform would refuse.

Read by test_guard.py: one line each to the file that MADDERBEAM_GUARD names. The hook can't be taken off
again by what runs later. MADDERBEAM_PLANT does one forbidden thing amid the courier's work.
"""

import contextlib
import os
import socket
import sys

WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
STARTS = {
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.spawn",
    "os.exec",
    "os.system",
    "os.startfile",
    "subprocess.Popen",
    "pty.spawn",
}
CHANGES = {"os.remove", "os.rmdir", "os.mkdir", "os.truncate", "os.chmod", "os.chown", "shutil.rmtree"}
PAIRS = {"os.rename", "os.link", "os.symlink"}
KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM, -1)

report = os.open(os.environ["MADDERBEAM_GUARD"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
state = os.path.realpath(os.environ["LB_STATE"])
readable = [state, *(os.path.realpath(p) for p in os.environ["MADDERBEAM_READABLE"].split(os.pathsep))]


def tell(text):
    os.write(report, text.encode() + b"\n")


def within(path, folders):
    real = os.path.realpath(os.fsdecode(path))
    return any(real == folder or real.startswith(folder + os.sep) for folder in folders)


def opened(path, mode, flags):
    if not isinstance(path, (str, bytes, os.PathLike)):
        return  # a descriptor that is there already
    writes = flags & WRITES if isinstance(flags, int) else 0
    if isinstance(mode, str) and set(mode) & set("wxa+"):
        writes = True
    if not within(path, [state] if writes else readable):
        tell(f"{'writes' if writes else 'reads'} {os.fsdecode(path)}")


def of_the_loop():
    """asyncio wakes itself by a pair of sockets that it makes once; nobody else can reach them."""
    frame = sys._getframe(2)
    while frame is not None:
        if frame.f_code.co_name == "_make_self_pipe":
            return "asyncio" in frame.f_code.co_filename
        frame = frame.f_back
    return False


def hook(event, args):
    if event in STARTS:
        tell(f"starts {event}")
    elif event == "socket.__new__":
        _, family, kind, _ = args
        kind = kind if kind < 0 else kind & ~(socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        if not ((family in (socket.AF_INET, -1) and kind in KINDS) or of_the_loop()):
            tell(f"socket {family!r} {kind!r}")
    elif event == "open":
        opened(*args)
    elif event in CHANGES | PAIRS:
        paths = args[:2] if event in PAIRS else args[:1]
        if not all(isinstance(path, int) or within(path, [state]) for path in paths):
            tell(f"{event} {paths[0]}")


def refused(name):
    def call(*args, **more):
        tell(f"calls {name}")
        raise OSError(38, name)

    return call


for name in ("sendfile", "splice", "copy_file_range", "memfd_create", "eventfd"):
    if hasattr(os, name):
        setattr(os, name, refused(name))
sys.addaudithook(hook)

PLANTS = {
    "fork": lambda: os.fork() or os._exit(0),
    "program": lambda: os.system("true"),
    "spawn": lambda: os.posix_spawn("/bin/true", ["true"], {}),
    "unix": lambda: socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).close(),
    "inet6": lambda: socket.socket(socket.AF_INET6, socket.SOCK_STREAM).close(),
    "raw": lambda: socket.socket(socket.AF_INET, socket.SOCK_SEQPACKET),
    "pair": lambda: [s.close() for s in socket.socketpair()],
    "reads": lambda: open("/etc/hostname").close(),
    "writes": lambda: open(os.path.join(os.path.dirname(state), "beside"), "w").close(),
    "renames": lambda: os.rename(os.path.join(state, "gone"), "/tmp/gone"),
    "sendfile": lambda: os.sendfile(1, 0, 0, 1),
}


def plant(name):
    """Do it in the first turn that has events, as a line of the courier's own would."""
    from madderbeam.policy.engine import DeliveryEngine

    handle, left = DeliveryEngine.handle, [1]

    def doing(self, now_us, events):
        if left and any(type(e).__name__ == "MessageArrived" for e in events):
            left.clear()
            with contextlib.suppress(OSError):
                PLANTS[name]()
        return handle(self, now_us, events)

    DeliveryEngine.handle = doing


if os.environ.get("MADDERBEAM_PLANT"):
    plant(os.environ["MADDERBEAM_PLANT"])
