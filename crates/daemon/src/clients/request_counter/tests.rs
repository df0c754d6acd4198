use super::*;

const POST: &[u8] =
    b"POST /update HTTP/1.1\r\nX-A: content-length: 9\r\nContent-Length: 12\r\n\r\nGET / HTTP/1";
const GET: &[u8] = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

#[test]
fn requests_are_counted_from_their_first_byte_however_the_bytes_are_split() {
    let all = [POST, b"\r\n", GET, GET, POST].concat();
    for piece in 1..all.len() {
        let mut requests = RequestCounter::default();
        all.chunks(piece).for_each(|bytes| requests.read(bytes));
        for served in 0..4 {
            assert!(requests.has_unserved(), "pieces of {piece}, {served} served");
            requests.record_served();
        }
        assert!(!requests.has_unserved(), "pieces of {piece}: a body is no request");
        requests.read(b"G");
        assert!(requests.has_unserved(), "the beginning of a request");
    }
}

#[test]
fn an_incomplete_body_is_not_counted_as_a_request() {
    let mut requests = RequestCounter::default();
    requests.read(&POST[..POST.len() - 1]);
    requests.record_served();
    assert!(!requests.has_unserved());
    requests.read(&POST[POST.len() - 1..]);
    assert!(!requests.has_unserved());
    requests.read(b"\r\n");
    assert!(!requests.has_unserved());
}
