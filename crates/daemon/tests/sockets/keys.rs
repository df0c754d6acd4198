//! Idempotency keys: by them a destination knows a repeat, so they go on unchanged, whatever happens between.

use crate::world::*;

const LONG: u64 = 50_000;
const KEYED: &str =
    "{\"name\": \"ledger\", \"effect\": \"deduplicated\", \"group\": \"all\", \"memorySpanS\": 1.0,
    \"sloS\": 1.0, \"deadlineS\": 60.0, \"worth\": 1.0},";

fn keyed(text: String) -> String {
    text.replace("\"classes\": [", &format!("\"classes\": [{KEYED}"))
}

fn hand_in(node: &Node, id: u64, dest: u64, keys: &[&str]) -> u16 {
    let (id, ms, dest) = (format!("{id:016x}"), LONG.to_string(), format!("dest={dest}"));
    let mut all = headers(&id, "ledger", &ms, &dest).to_vec();
    all.extend(keys.iter().map(|key| ("Idempotency-Key", *key)));
    node.ask("POST /ledger", &all, b"hello").status()
}

fn ok() -> Reply {
    answer("200 OK", "", "")
}

/// A node whose destination 9 only drains, until it is told that it serves.
fn waiting(kind: &str) -> (Node, Endpoint, Vec<String>) {
    let endpoint = Endpoint::new(|_| ok());
    let node = Node::new(&[member("s-8", endpoint.address, kind, 9, "draining")], keyed);
    let up = vec![member("s-8", endpoint.address, kind, 9, "up")];
    (node, endpoint, up)
}

#[test]
fn a_key_goes_on_with_its_message_also_after_a_restart() {
    for restarts in [false, true] {
        let (mut node, endpoint, up) = waiting("shop");
        assert_eq!(hand_in(&node, 1, 9, &["18681cbbda42/+=~"]), 202);
        assert_eq!(hand_in(&node, 2, 9, &[]), 202);
        if restarts {
            // Once it stands, no watch of the old process comes after the restart and is told in its place.
            until("a watch", || !node.platform.watches.lock().expect("sound").is_empty());
            node.restart();
        }
        node.platform.tell(42, &up);
        until("both calls", || endpoint.calls() == 2);
        for call in [endpoint.call(0), endpoint.call(1)] {
            let key = if call.header("x-request-id").ends_with('1') { "18681cbbda42/+=~" } else { "" };
            assert_eq!(call.header("idempotency-key"), key, "restarts: {restarts}");
        }
    }
}

#[test]
fn in_a_call_of_several_each_message_has_its_key_in_its_line() {
    let (node, endpoint, up) = waiting("chain");
    assert_eq!(hand_in(&node, 1, 9, &["k-1"]), 202);
    assert_eq!(hand_in(&node, 2, 9, &[]), 202);
    node.platform.tell(42, &up);
    let call = endpoint.call(0);
    assert_eq!(call.line, "POST /v1/messages:batch");
    let text = String::from_utf8(call.body).expect("text");
    assert!(text.contains("0000000000000001 k-1 5\r\nhello\r\n"), "{text}");
    assert!(text.contains("0000000000000002 - 5\r\nhello\r\n"), "{text}");
}

#[test]
fn a_key_that_could_not_go_on_unchanged_is_not_taken() {
    // As one word of a batch's line it would end the line, or mean that there is none.
    let (node, _endpoint, _) = waiting("chain");
    let long = "k".repeat(256);
    for keys in [&["-"][..], &["two words"], &["a\tb"], &["a", "a"], &["k\u{e9}y"], &[&long]] {
        assert_eq!(hand_in(&node, 1, 9, keys), 400, "{keys:?}");
    }
    assert_eq!(hand_in(&node, 1, 9, &[&long[1..]]), 202);
}
