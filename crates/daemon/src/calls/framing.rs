//! Finds where a response on a connection ends, so that one which answers no call can be discarded.

use crate::http_options::lists_close;
use httparse::{Header, Status, parse_chunk_size};

/// Most headers of a response; hyper has the same limit.
const MAX_HEADERS: usize = 100;
/// Longest response that is read without knowing which call it answers.
const MAX_RESPONSE_BYTES: usize = 96 << 10;

/// The bytes are no response, or one whose end cannot be found.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Unreadable;

/// The head of a response.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Head {
    pub(super) status: u16,
    /// The number of bytes up to the body.
    pub(super) length: usize,
    framing: BodyFraming,
}

/// How the end of a body is found.
#[derive(Debug, PartialEq, Eq)]
enum BodyFraming {
    Length(usize),
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// A complete response with the encoding of its body removed.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Response {
    pub(super) body: Vec<u8>,
    /// The number of bytes of the whole response.
    pub(super) length: usize,
}

/// What the complete lines of a head show before all of it has arrived.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct HeadStart {
    /// The status, once its line is complete.
    pub(super) status: Option<u16>,
    /// A line announces that the endpoint closes the connection after this response.
    pub(super) closes: bool,
}

impl HeadStart {
    /// Reads the lines at the start of `bytes`. The rest need not be readable.
    pub(super) fn read(bytes: &[u8]) -> Self {
        let text = bytes.trim_ascii_start();
        let mut lines = text.split_inclusive(|&b| b == b'\n').filter(|line| line.ends_with(b"\n"));
        let Some(status) = lines.next().and_then(parse_status) else { return Self::default() };
        let headers = lines.map(<[u8]>::trim_ascii).take_while(|line| !line.is_empty());
        let closes = headers.filter_map(|line| std::str::from_utf8(line).ok()).any(is_close_header);
        Self { status: Some(status), closes }
    }
}

/// Whether the status is that of an interim response, which another one to the same request follows.
pub(super) fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

impl Head {
    /// Parses the head at the start of `bytes`; returns `None` if it is incomplete.
    pub(super) fn parse(bytes: &[u8]) -> Result<Option<Self>, Unreadable> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(bytes) {
            Ok(Status::Complete(length)) => {
                let status = response.code.ok_or(Unreadable)?;
                let framing = BodyFraming::of(status, response.headers)?;
                Ok(Some(Self { status, length, framing }))
            }
            Ok(Status::Partial) if bytes.len() <= MAX_RESPONSE_BYTES => Ok(None),
            _ => Err(Unreadable),
        }
    }

    /// Reads the whole response, whose head this is, from the start of `bytes`; returns `None` if it is
    /// incomplete.
    pub(super) fn read_response(&self, bytes: &[u8]) -> Result<Option<Response>, Unreadable> {
        let rest = &bytes[self.length..];
        let found = match self.framing {
            BodyFraming::Length(length) if length > MAX_RESPONSE_BYTES => return Err(Unreadable),
            BodyFraming::Length(length) => rest.get(..length).map(|body| (body.to_vec(), length)),
            BodyFraming::Chunked => read_chunks(rest)?,
            BodyFraming::UntilClose => return Err(Unreadable),
        };
        match found {
            Some((body, length)) => Ok(Some(Response { body, length: self.length + length })),
            None if bytes.len() <= MAX_RESPONSE_BYTES => Ok(None),
            None => Err(Unreadable),
        }
    }
}

impl BodyFraming {
    fn of(status: u16, headers: &[Header<'_>]) -> Result<Self, Unreadable> {
        if is_interim(status) || matches!(status, 204 | 304) {
            return Ok(Self::Length(0));
        }
        if let Some(coding) = values(headers, "transfer-encoding").last() {
            let is_chunked =
                coding.rsplit(',').next().is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"));
            return Ok(if is_chunked { Self::Chunked } else { Self::UntilClose });
        }
        let mut lengths = values(headers, "content-length").map(|v| v.trim().parse::<usize>());
        let Some(first) = lengths.next() else { return Ok(Self::UntilClose) };
        let first = first.map_err(|_| Unreadable)?;
        if lengths.any(|other| other != Ok(first)) {
            return Err(Unreadable);
        }
        Ok(Self::Length(first))
    }
}

/// Returns the status code if a response's first line has one.
pub(super) fn parse_status(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.split_at_checked(9)?;
    let (digits, end) = rest.split_at_checked(3)?;
    let is_valid = version.starts_with(b"HTTP/1.") && version[7].is_ascii_digit() && version[8] == b' ';
    let is_valid = is_valid && digits.iter().all(u8::is_ascii_digit) && !end.first()?.is_ascii_digit();
    std::str::from_utf8(digits).ok()?.parse().ok().filter(|_| is_valid)
}

/// Whether a line of a head is a `Connection` header that lists `close`.
fn is_close_header(line: &str) -> bool {
    line.split_once(':')
        .is_some_and(|(name, value)| name.eq_ignore_ascii_case("connection") && lists_close(value))
}

/// Returns the values of a header that are text.
fn values<'a>(headers: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a str> {
    let named = headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    named.filter_map(|h| std::str::from_utf8(h.value).ok())
}

/// Reads a chunked body. Returns it and the number of its encoded bytes, or `None` if it is incomplete.
fn read_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Unreadable> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(rest) = bytes.get(at..) else { return Ok(None) };
        let (start, size) = match parse_chunk_size(rest) {
            Ok(Status::Complete(found)) => found,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(Unreadable),
        };
        at += start;
        if size == 0 {
            return Ok(trailers_length(&bytes[at..]).map(|length| (body, at + length)));
        }
        let size = usize::try_from(size).ok().filter(|&n| n <= MAX_RESPONSE_BYTES).ok_or(Unreadable)?;
        let Some(data) = bytes.get(at..at + size) else { return Ok(None) };
        body.extend_from_slice(data);
        at += size;
        match bytes.get(at..at + 2) {
            Some(b"\r\n") => at += 2,
            Some(_) => return Err(Unreadable),
            None => return Ok(None),
        }
    }
}

/// Returns the number of bytes of the trailers with the empty line that ends them.
fn trailers_length(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(b"\r\n") {
        return Some(2);
    }
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHUNKED: &str =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n";

    fn read(text: &str) -> Result<Option<Response>, Unreadable> {
        match Head::parse(text.as_bytes())? {
            Some(head) => head.read_response(text.as_bytes()),
            None => Ok(None),
        }
    }

    #[test]
    fn end_of_a_response_is_found_wherever_it_is_cut() {
        // Guards against a surplus response whose rest is taken for the next one.
        let with_length = "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nabcde";
        for (text, body) in [
            (CHUNKED, "abcde"),
            (with_length, "abcde"),
            ("HTTP/1.1 204 Fine\r\n\r\n", ""),
            ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""),
        ] {
            let (body, length) = (body.as_bytes().to_vec(), text.len());
            assert_eq!(read(&format!("{text}HTTP")), Ok(Some(Response { body, length })), "{text}");
            for cut in 0..text.len() {
                assert_eq!(read(&text[..cut]), Ok(None), "{text} cut at {cut}");
            }
        }
    }

    #[test]
    fn response_whose_end_cannot_be_found_is_unreadable() {
        for text in [
            "noise without end\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nuntil close",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        ] {
            assert_eq!(read(text), Err(Unreadable), "{text}");
        }
        let endless = format!("HTTP/1.1 200 OK\r\nA: {}", "b".repeat(MAX_RESPONSE_BYTES));
        assert_eq!(Head::parse(endless.as_bytes()), Err(Unreadable));
    }

    #[test]
    fn status_and_close_option_are_read_from_complete_lines_even_if_the_rest_is_spoilt() {
        // Guards against an answer that is not believed although the part that arrived shows whose it is.
        let start = |text: &str| HeadStart::read(text.as_bytes());
        let found = |status, closes| HeadStart { status: Some(status), closes };
        assert_eq!(start("HTTP/1.1 200 OK\r\nConnection: close\r\nno colon\r\nX-Tr"), found(200, true));
        assert_eq!(start("\r\nHTTP/1.1 503 Busy\r\nX: close\r\n"), found(503, false));
        assert_eq!(start("HTTP/1.1 200 OK\r\nConnection: close"), found(200, false), "half a line");
        assert_eq!(start("HTTP/1.1 200 OK\r\n\r\nConnection: close\r\n"), found(200, false), "a body");
        for option in
            ["Connection: a, Close", "connection:close", "A: b\r\nConnection: x\r\nCONNECTION: close"]
        {
            assert_eq!(start(&format!("HTTP/1.1 200 OK\r\n{option}\r\n")), found(200, true), "{option}");
        }
        for text in ["HTTP/1.1 200 OK", "noise\r\nConnection: close\r\n", ""] {
            assert_eq!(start(text), HeadStart::default(), "{text}");
        }
    }
}
