"""A second, strict parser of requests, and inputs on which parsers differ.

The parser follows RFC 9112 and refuses whatever the RFC lets a recipient
repair. The server for callers is compared with it (test_ingress).
"""

_LINE_END = b"\r\n"
_TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
# Framings that parsers agree on.
_CLEAR_FRAMINGS = (
    b"",
    b"Content-Length: %d\r\n",
    b"Transfer-Encoding: chunked\r\n",
)
# Framings by which two parsers may find different ends of a request.
_UNCLEAR_FRAMINGS = (
    b"Content-Length: %d\r\nContent-Length: %d\r\n",
    b"Content-Length: +%d\r\n",
    b"Content-Length: %d, %d\r\n",
    b"Content-Length : %d\r\n",
    b"Content-Length:\r\n %d\r\n",
    b"X: y\r\n Content-Length: %d\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
)
_FRAMINGS = _CLEAR_FRAMINGS * 12 + _UNCLEAR_FRAMINGS
_HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
_CHUNKED = b"%x\r\n" % len(_HIDDEN) + _HIDDEN + b"\r\n0\r\n\r\n"
_BODIES = (
    b"",
    _HIDDEN,
    _CHUNKED,
    _CHUNKED,
    b"5;x=y\r\nhello\r\n0\r\n\r\n",
    b'5;x="\\";"\r\nhello\r\n0\r\nTrailer: x\r\n\r\n',
    b"00000005\r\nhello\r\n0\r\nContent-Length: 3\r\n\r\n",
    b"100000005\r\nhello\r\n0\r\n\r\n",
)
_LINES = (b"POST /r HTTP/1.1\r\n",) * 12 + (
    b"POST /r HTTP/1.0\r\n",
    b"CONNECT /r HTTP/1.1\r\n",
)
_INSERTS = (
    *(b"\r", b"\n", b"\r\n", b" ", b"\t", b"\x00", b":", b";", b",", b'"'),
    *(b"+", b"-", b"0", b"1", b"a", b"_", b"\x0b", b"\x80", b"#", b"="),
)


def make_input(random):
    """Return bytes that are one to three requests with a few faults."""
    data = b""
    for _ in range(random.randint(1, 3)):
        framing, body = random.choice(_FRAMINGS), random.choice(_BODIES)
        if b"chunked" in framing:
            body = random.choice(_BODIES[2:])
        elif not framing:
            body = random.choice((b"", b"", b"", _HIDDEN))
        off = random.choice((0,) * 9 + (-3, -1, 1, 2))
        size = max(0, len(body) + off)
        fields = framing % ((size,) * framing.count(b"%d"))
        data += random.choice(_LINES) + b"Host: h\r\n" + fields
        data += _LINE_END + body
    for _ in range(random.choice((0, 0, 1, 1, 2, 3))):
        at = random.randrange(len(data) + 1)
        if random.random() < 0.5:
            # Faults at the ends of lines are the most ambiguous ones.
            at = data.find(_LINE_END, at) + random.randint(0, 2)
        cut = random.choice((0, 0, 1, 2, len(data)))
        data = data[:at] + random.choice(_INSERTS) + data[at + cut :]
    return data


def read_strictly(data):
    """Return the requests in some bytes, and whether what follows is bad.

    Each request is a pair of target and body. Nothing follows a request
    that closes the connection.
    """
    parsed = []
    while data:
        data = data.removeprefix(_LINE_END)
        if not data:
            break
        head, end, rest = data.partition(_LINE_END * 2)
        first, *lines = head.split(_LINE_END)
        fields = read_fields(lines)
        words = first.split(b" ")
        if not end or fields is None or not is_request_line(words):
            return parsed, True
        split = split_body(fields, words[2], rest)
        if split is None:
            return parsed, True
        parsed.append((words[1].decode(), split[0]))
        data = split[1]
        if words[2] == b"HTTP/1.0" or (b"connection", b"close") in fields:
            break
    return parsed, False


def is_request_line(words):
    return (
        len(words) == 3
        and is_token(words[0])
        and words[0] != b"CONNECT"
        and words[1].startswith(b"/")
        and all(33 <= c <= 126 and c != ord("#") for c in words[1])
        and words[2] in (b"HTTP/1.0", b"HTTP/1.1")
    )


def is_token(text):
    return bool(text) and _TOKEN_CHARACTERS.issuperset(text)


def is_printable(text):
    return all(c == 9 or (c >= 32 and c != 127) for c in text)


def read_fields(lines):
    """Return lower-case names and values; None if a line is invalid."""
    fields = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not is_token(name) or not is_printable(value):
            return None
        fields.append((name.lower(), value.strip(b" \t")))
    return fields


def split_body(fields, version, data):
    """Return a body and what follows it; None if its end is ambiguous."""
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    hosts = [value for name, value in fields if name == b"host"]
    if len(hosts) != 1 or len(lengths) + len(codings) > 1:
        return None
    if lengths:
        if lengths[0].strip(b"0123456789") or not 0 < len(lengths[0]) < 19:
            return None
        size = int(lengths[0])
        return (data[:size], data[size:]) if size <= len(data) else None
    if not codings:
        return b"", data
    if codings[0].lower() != b"chunked" or version == b"HTTP/1.0":
        return None
    return split_chunks(data)


def split_chunks(data):
    """Return a chunked body and what follows it; None if it is invalid."""
    body = b""
    while True:
        line, end, data = data.partition(_LINE_END)
        extension = line.lstrip(b"0123456789abcdefABCDEF")
        digits = line[: len(line) - len(extension)]
        if not end or not 0 < len(digits) < 9 or not is_extension(extension):
            return None
        size = int(digits, 16)
        if not size:
            break
        if data[size : size + 2] != _LINE_END:
            return None
        body, data = body + data[:size], data[size + 2 :]
    if data.startswith(_LINE_END):
        return body, data[2:]
    trailer, end, data = data.partition(_LINE_END * 2)
    fields = read_fields(trailer.split(_LINE_END))
    if not end or fields is None:
        return None
    names = {name for name, _ in fields}
    if names & {b"content-length", b"transfer-encoding", b"host"}:
        return None
    return body, data


def is_extension(text):
    """Return whether some bytes are extensions of a chunk (RFC 9112, 7.1)."""
    if not is_printable(text):
        return False
    while text:
        text = text.lstrip(b" \t")
        if not text.startswith(b";"):
            return False
        text = skip_token(text[1:].lstrip(b" \t"))
        if text is not None and text.lstrip(b" \t").startswith(b"="):
            text = text.lstrip(b" \t")[1:].lstrip(b" \t")
            is_quoted = text.startswith(b'"')
            text = skip_quoted(text) if is_quoted else skip_token(text)
        if text is None:
            return False
    return True


def skip_token(text):
    """Return what follows a token; None if there is none."""
    size = 0
    while size < len(text) and text[size] in _TOKEN_CHARACTERS:
        size += 1
    return text[size:] if size else None


def skip_quoted(text):
    """Return what follows a quoted string; None if it does not end."""
    at = 1
    while at < len(text) and text[at] != ord('"'):
        at += 2 if text[at] == ord("\\") else 1
    return text[at + 1 :] if at < len(text) else None
