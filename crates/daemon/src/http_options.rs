//! Options of HTTP connections, as the `Connection` header lists them.

use hyper::header::{CONNECTION, HeaderMap};

/// Whether the value of a `Connection` header lists `close`.
pub fn lists_close(value: &str) -> bool {
    value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Whether the headers announce that the connection is closed after this message.
pub fn announces_close(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok()).any(lists_close)
}
