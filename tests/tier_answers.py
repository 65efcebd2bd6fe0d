"""Process tests of the tier: what a target sends that is no answer."""

import asyncio
import os
import socket
import subprocess
import threading
import time
from typing import NamedTuple

import tier_fleet

FIRST_NET = 90
# Well before the deadline of a request: a broken answer ends it at once.
ANSWER_S = 1.0
# A share of the retry budget accrues from when the nodes have met.
BUDGET_ACCRUES_S = 3.0
# First sends that the next retries of all shards may be counted against.
RECOVERING_REQUESTS = 12
KINDS = ("one", "once", "all")
# More than the lines of a request besides the one of the limit's size.
LIMIT_STEP = 400


class Form(NamedTuple):
    """An answer: its status line, more field lines, and its framing."""
    status_line: bytes = b"HTTP/1.1 200 OK\r\n"
    fields: bytes = b""
    chunked: bool = False
    chunk: bytes = b""  # in place of the only one

    def bytes(self, headers, body):
        lines = [self.status_line, self.fields]
        lines += [f"{k}: {v}\r\n".encode() for k, v in headers.items()]
        if self.chunked:
            chunk = self.chunk or b"%x\r\n%%s" % len(body)
            return b"".join(lines) + (
                b"Transfer-Encoding: chunked\r\n\r\n" + chunk % body
                + b"\r\n0\r\n\r\n")
        return b"".join(lines) + (
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body))


BROKEN_STATUS_LINES = {line: Form(line.encode("latin-1") + b"\r\n") for line in (
    "HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK",
    "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
    "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\0K",
    "HTTP/1.1 200 O\rK")}
BROKEN_FIELDS = {line: Form(fields=line.encode("latin-1")) for line in (
    "X Foo: 1\r\n", "X-Foo : 1\r\n", " X-Foo: 1\r\n", "\tX-Foo: 1\r\n",
    "Response-Stamp : x\r\n", "X\tFoo: 1\r\n", "X\x01Foo: 1\r\n",
    "X\0Foo: 1\r\n", "X\rFoo: 1\r\n", "X\x7fFoo: 1\r\n", "X\xe4: 1\r\n",
    "X/Foo: 1\r\n", ": 1\r\n", "X-Foo\r\n", "X-Foo: a\x01b\r\n",
    "X-Foo: a\0b\r\n", "X-Foo: a\r\n b\x01\r\n")}
AMBIGUOUS = {line: Form(fields=line.encode()) for line in (
    "Request-Id: other\r\n", "Response-Stamp: other\r\n")}
FRAMING = {
    "a chunk longer than its size": Form(chunked=True, chunk=b"3\r\n%s"),
    "another coding": Form(
        fields=b"Transfer-Encoding: gzip\r\n", chunked=True),
    "an unknown coding": Form(fields=b"Transfer-Encoding: xchunked\r\n"),
    "another protocol": Form(b"HTTP/1.1 101 Switching Protocols\r\n",
                             b"Upgrade: x\r\nConnection: Upgrade\r\n"),
}
SOUND = {
    "plain": Form(),
    "chunked": Form(chunked=True),
    "no reason phrase": Form(b"HTTP/1.1 200\r\n"),
    "an 8-bit reason phrase": Form(b"HTTP/1.1 200 \xe4\r\n"),
    "a line end without CR": Form(b"HTTP/1.1 200 OK\n"),
    "an 8-bit value": Form(fields=b"X-Note: \xe4\xff\r\n"),
    "a folded line": Form(fields=b"X-Note: a\r\n b\r\n"),
    "a name of all signs": Form(fields=b"!#$%&'*+-.^_`|~: 1\r\n"),
}


class Answer(NamedTuple):
    """What a caller got, and whether a target ran the request."""
    status: int
    headers: dict
    body: bytes
    seconds: float
    ran: bool


async def ask(fleet, kind, request_id):
    start = time.monotonic()
    reply = await asyncio.wait_for(
        fleet.send_request(0, kind, request_id), 4)
    return Answer(*(reply or (0, {}, b"")), time.monotonic() - start,
                  request_id in fleet.execution_log.runs)


def run_scenario(port, scenario):
    tier_fleet.run_scenario(port, FIRST_NET + port // 400 % 10, scenario)


def send_form(targets, form, byte_by_byte=False):
    for target in targets:
        target.make_reply = form.bytes if form else None
        target.byte_by_byte = byte_by_byte


async def ask_until_run(fleet, kind, request_id):
    """Targets that fail are avoided for a while, and requests refused."""
    for attempt in range(40):
        answer = await ask(fleet, kind, f"{request_id}-{attempt}")
        if answer.ran:
            return answer
        assert answer.status == 503, answer
        await asyncio.sleep(0.1)
    raise AssertionError(f"{request_id}: no target ran it")


async def check_request(fleet, kind, request_id):
    """The request has failed, as it may have run; not at its deadline."""
    answer = await ask_until_run(fleet, kind, request_id)
    if answer.status != 502 or answer.seconds > ANSWER_S:
        return [f"status {answer.status} after {answer.seconds:.3f} s"]
    return []


async def check_part(fleet, request_id):
    """The other parts are served; the checks of the fleet apply."""
    answer = await ask(fleet, "all", request_id)
    try:
        fleet.check_reply("all", request_id, answer[:3])
    except (KeyError, ValueError) as error:
        return [f"parts that no target sent: {error!r}"]
    missing = answer.headers.get("missing-parts")
    if answer.status != 200 or missing != "1" or answer.seconds > ANSWER_S:
        return [f"status {answer.status} after {answer.seconds:.3f} s, "
                f"{missing} parts missing"]
    return []


async def check_no_answer(fleet, name, form):
    """All targets of the service "single" and of one shard send the form."""
    faulty = [t for t in fleet.targets if t.service in ("single", "s0")]
    found = []
    for byte_by_byte in (False, True):
        send_form(faulty, form, byte_by_byte)
        for kind in KINDS:
            request_id = f"r{len(fleet.requests)}"
            texts = (await check_part(fleet, request_id) if kind == "all"
                     else await check_request(fleet, kind, request_id))
            found += [f"{name!r}, {kind}, by bytes: {byte_by_byte}: {text}"
                      for text in texts]
    return found


def check_forms(port, forms):
    async def scenario(fleet):
        failed = []
        for name, form in forms.items():
            failed += await check_no_answer(fleet, name, form)
        assert not failed, "\n".join(failed)
    run_scenario(port, scenario)


def test_broken_status_is_no_answer(port):
    """An answer of status 000 was passed on to the caller as it was."""
    check_forms(port, BROKEN_STATUS_LINES)


def test_broken_field_is_no_answer(port):
    """A field whose name has a blank was passed on to the caller."""
    check_forms(port, BROKEN_FIELDS)


def test_ambiguous_answer_is_none(port):
    """An answer with two ids or signatures was passed on to the caller."""
    check_forms(port, AMBIGUOUS)


def test_broken_framing_is_no_answer(port):
    """A body that is still encoded was passed on, or the caller was held."""
    check_forms(port, FRAMING)


def test_broken_answer_of_one_target(port):
    """One target that sends broken answers costs no read: they run again at
    another one, and nothing of the broken answer reaches the caller."""
    async def scenario(fleet):
        await asyncio.sleep(BUDGET_ACCRUES_S)
        single = [t for t in fleet.targets if t.service == "single"]
        send_form(single[:1], BROKEN_STATUS_LINES["HTTP/1.1 000 OK"])
        for i in range(40):
            answer = await ask(fleet, "one", f"read-{i}")
            assert answer.status == 200 and len(answer.body) == 48, answer
    run_scenario(port, scenario)


def test_broken_answers_of_all_shards(port):
    """A question of which no shard can be had any more fails at once."""
    async def scenario(fleet):
        await asyncio.sleep(BUDGET_ACCRUES_S)
        failed = []
        forms = {**BROKEN_STATUS_LINES, **BROKEN_FIELDS, **FRAMING}
        for name, form in forms.items():
            send_form(fleet.targets, form)
            answer = await ask(fleet, "all", f"q{len(fleet.requests)}")
            if answer.status != 502 or answer.seconds > ANSWER_S:
                failed.append(f"{name!r}: {answer.status} after "
                              f"{answer.seconds:.3f} s")
            send_form(fleet.targets, None)
            for _ in range(RECOVERING_REQUESTS):
                await ask(fleet, "all", f"q{len(fleet.requests)}")
        assert not failed, "\n".join(failed)
    run_scenario(port, scenario)


def test_sound_answers_served(port):
    """A rule for broken answers must not refuse sound ones."""
    async def scenario(fleet):
        failed = []
        for name, form in SOUND.items():
            for kind in KINDS:
                for byte_by_byte in (False, True):
                    send_form(fleet.targets, form, byte_by_byte)
                    answer = await ask(
                        fleet, kind,
                        f"s{len(fleet.requests)}")
                    if answer.status != 200 or not answer.body:
                        failed.append(f"{name}, {kind}, by bytes: "
                                      f"{byte_by_byte}: {answer}")
        assert not failed, "\n".join(failed)
    run_scenario(port, scenario)


async def wait_until(condition):
    for _ in range(100):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the store was not read")


async def check_limit(fleet, limit):
    """Whether the node follows the configuration with this limit."""
    answer = await fleet.send_request(0, "one", f"l{len(fleet.requests)}",
                                      headers="X: " + "x" * limit + "\r\n")
    return answer[0] == 431


def test_broken_answers_of_store(port):
    """What the store sends that is no answer is not taken from it, and does
    not end the reading."""
    async def scenario(fleet):
        failed = []
        forms = {**BROKEN_STATUS_LINES, **BROKEN_FIELDS, **FRAMING}
        limit = 16000
        for name, form in forms.items():
            limit -= LIMIT_STEP
            sent = []

            def make_reply(headers, body, form=form, sent=sent):
                sent.append(body)
                return form.bytes(headers, body)
            fleet.store.make_reply = make_reply
            fleet.limits["max_header_bytes"] = limit
            fleet.version += 1
            fleet.configure()
            await wait_until(lambda: len(sent) > 2)
            await asyncio.sleep(0.2)
            if await check_limit(fleet, limit):
                failed.append(f"{name!r}: taken")
        fleet.store.make_reply = None
        await asyncio.sleep(1.5)
        assert await check_limit(fleet, limit), "the store is not followed"
        assert not failed, "\n".join(failed)
    run_scenario(port, scenario)


def status_from(reply):
    """The command that shows a node's state, and a node that answers so."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]

    def serve():
        conn = listener.accept()[0]
        with conn:
            conn.recv(4096)
            conn.sendall(reply)
    thread = threading.Thread(target=serve)
    thread.start()
    done = subprocess.run(
        [os.environ["BUILD"] + "/wasabimoor", "status", "--address",
         f"127.0.0.1:{port}"], capture_output=True, text=True, check=False)
    thread.join()
    listener.close()
    return done


def test_command_shows_no_broken_answer(_):
    """The command line showed what a faulty node sent as its state."""
    failed = []
    forms = {**BROKEN_STATUS_LINES, **BROKEN_FIELDS}
    for name, form in forms.items():
        done = status_from(form.bytes({}, b'{"state":"wrong"}'))
        if done.returncode != 1 or "wrong" in done.stdout:
            failed.append(f"{name!r}: {done}")
    assert not failed, "\n".join(failed)
    done = status_from(Form().bytes({}, b'{"state":"right"}'))
    assert done.returncode == 0 and "right" in done.stdout, done


TESTS = [test_broken_answers_of_store,
         test_command_shows_no_broken_answer,
         test_broken_status_is_no_answer, test_broken_field_is_no_answer,
         test_ambiguous_answer_is_none, test_broken_framing_is_no_answer,
         test_broken_answer_of_one_target,
         test_broken_answers_of_all_shards,
         test_sound_answers_served]
