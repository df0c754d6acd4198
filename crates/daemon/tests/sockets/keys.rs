//! Idempotency keys: a destination recognizes a resend by its key, so keys are forwarded unchanged in all
//! cases.

use crate::world::*;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// A deduplicated class, as an entry of the configuration's `classes`.
const LEDGER_CLASS: &str =
    "{\"name\": \"ledger\", \"effect\": \"deduplicated\", \"group\": \"all\", \"memorySpanS\": 1.0,
    \"sloS\": 1.0, \"deadlineS\": 60.0, \"worth\": 1.0},";

/// Adds the class `ledger` to a configuration.
fn with_ledger_class(text: String) -> String {
    text.replace("\"classes\": [", &format!("\"classes\": [{LEDGER_CLASS}"))
}

/// Submits a message with these idempotency keys and returns the status.
fn submit(node: &Node, id: u64, dest: u64, keys: &[&str]) -> u16 {
    let (id, timeout, dest) = (format!("{id:016x}"), LONG.to_string(), format!("dest={dest}"));
    let mut all = headers(&id, "ledger", &timeout, &dest).to_vec();
    all.extend(keys.iter().map(|key| ("Idempotency-Key", *key)));
    node.request("POST /ledger", &all, b"hello").status()
}

fn ok() -> Reply {
    response("200 OK", "", "")
}

/// Starts a sender whose only destination, 9, drains. Also returns the list update that makes it serve.
fn start_with_draining_destination(kind: &str) -> (Node, Endpoint, Vec<String>) {
    let endpoint = Endpoint::new(|_| ok());
    let node = Node::new(&[member("s-8", endpoint.address, kind, 9, "draining")], with_ledger_class);
    let up = vec![member("s-8", endpoint.address, kind, 9, "up")];
    (node, endpoint, up)
}

#[test]
fn key_is_forwarded_with_its_message_also_after_a_restart() {
    for restarts in [false, true] {
        let (mut node, endpoint, up) = start_with_draining_destination("shop");
        assert_eq!(submit(&node, 1, 9, &["18681cbbda42/+=~"]), 202);
        assert_eq!(submit(&node, 2, 9, &[]), 202);
        if restarts {
            // Waits for the watch, so that no watch of the killed process arrives after the restart and gets
            // the update instead.
            wait_until("a watch", || !node.platform.watches.lock().expect("not poisoned").is_empty());
            node.restart();
        }
        node.platform.publish(42, &up);
        wait_until("both calls", || endpoint.calls() == 2);
        for call in [endpoint.call(0), endpoint.call(1)] {
            let key = if call.header("x-request-id").ends_with('1') { "18681cbbda42/+=~" } else { "" };
            assert_eq!(call.header("idempotency-key"), key, "restarts: {restarts}");
        }
    }
}

#[test]
fn each_message_of_a_batch_has_its_key_in_its_line() {
    let (node, endpoint, up) = start_with_draining_destination("chain");
    assert_eq!(submit(&node, 1, 9, &["k-1"]), 202);
    assert_eq!(submit(&node, 2, 9, &[]), 202);
    node.platform.publish(42, &up);
    let call = endpoint.call(0);
    assert_eq!(call.line, "POST /v1/messages:batch");
    let text = String::from_utf8(call.body).expect("the text is UTF-8");
    assert!(text.contains("0000000000000001 k-1 5\r\nhello\r\n"), "{text}");
    assert!(text.contains("0000000000000002 - 5\r\nhello\r\n"), "{text}");
}

#[test]
fn key_that_cannot_be_forwarded_unchanged_is_refused() {
    // In a batch's line such a key would break the format or mean "no key".
    let (node, _endpoint, _) = start_with_draining_destination("chain");
    let long = "k".repeat(256);
    for keys in [&["-"][..], &["two words"], &["a\tb"], &["a", "a"], &["k\u{e9}y"], &[&long]] {
        assert_eq!(submit(&node, 1, 9, keys), 400, "{keys:?}");
    }
    assert_eq!(submit(&node, 1, 9, &[&long[1..]]), 202);
}
