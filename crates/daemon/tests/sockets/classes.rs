//! New configurations that replace a class while requests of it are being read.

use crate::world::*;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
const PAYMENT_EFFECT: &str = "\"name\": \"payment\", \"effect\": \"at_most_once\"";
const BODY: &[u8] = b"body";

/// How a new configuration replaces the class `payment`. Each also has a class `note` that is new.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// The class is gone, and `note` may get its index.
    Gone,
    /// The class may be repeated from now on, and may get the old one's tag.
    Idempotent,
}

/// Returns the configuration with the replacement.
fn replaced(config: &str, replacement: Replacement) -> String {
    let note = "\"name\": \"note\", \"effect\": \"idempotent\"";
    let class = |head: &str| format!("{{{head}, \"sloS\": 2.0, \"deadlineS\": 60.0, \"worth\": 3.0}}, {{");
    match replacement {
        Replacement::Gone => config.replace(PAYMENT_EFFECT, note),
        Replacement::Idempotent => {
            let payment = PAYMENT_EFFECT.replace("at_most_once", "idempotent");
            config.replace(&format!("{{{PAYMENT_EFFECT}"), &format!("{}{payment}", class(note)))
        }
    }
}

/// Sends the head of a payment's request, and returns once the sender waits for the body.
fn begin_payment(node: &Node, id: u64) -> Client {
    let mut client = Client::new(node.address);
    let (id, ms) = (format!("{id:016x}"), LONG.to_string());
    let lines: String =
        headers(&id, "payment", &ms, "dest=3").iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let length = BODY.len();
    let head = format!("POST /payment HTTP/1.1\r\nHost: api\r\nContent-Length: {length}\r\n{lines}");
    // With this header the server says when it begins to read the body.
    client.write_raw(format!("{head}Expect: 100-continue\r\n\r\n").as_bytes());
    assert_eq!(client.read_response().status(), 100);
    client
}

/// Replaces the class at the running process, and waits until the new configuration is in force.
fn replace_class(node: &Node, replacement: Replacement) {
    node.reload(&replaced(&node.config(), replacement));
    wait_until("the new configuration", || node.request("POST /note", &[], b"").status() != 404);
}

/// Sends the body, and checks that the payment is called once, although the answer is an error.
fn finish_payment(node: &Node, endpoint: &Endpoint, mut client: Client, id: u64, what: &str) {
    client.write_raw(BODY);
    assert_eq!(client.read_response().status(), 202, "{what}");
    wait_until("the notice, or a second call", || node.platform.has_notice(id) || endpoint.calls() > 1);
    assert_eq!(endpoint.calls(), 1, "{what}: the payment is called again after an error");
    assert!(node.platform.notice(id).contains("dead"), "{what}");
}

fn error_response() -> Reply {
    response("500 Internal Server Error", "", "")
}

#[test]
fn payment_that_is_being_read_keeps_its_class_when_a_configuration_replaces_it() {
    // Guards against a payment that runs twice, since it was decided on as a message of another class.
    for replacement in [Replacement::Gone, Replacement::Idempotent] {
        let endpoint = Endpoint::new(|_| error_response());
        let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
        let client = begin_payment(&node, 1);
        replace_class(&node, replacement);
        finish_payment(&node, &endpoint, client, 1, &format!("{replacement:?}"));
    }
}

#[test]
fn payment_that_the_predecessor_reads_keeps_its_class_when_the_successor_replaces_it() {
    // Guards against a payment that runs twice, since the successor gave its class's tag to another class.
    for replacement in [Replacement::Gone, Replacement::Idempotent] {
        let endpoint = Endpoint::new(|_| error_response());
        let members = [member("s-1", endpoint.address, "shop", 3, "up")];
        let mut node = Node::with_inherited_socket(&members);
        let client = begin_payment(&node, 1);
        let _predecessor = node.hand_over();
        replace_class(&node, replacement);
        finish_payment(&node, &endpoint, client, 1, &format!("{replacement:?}"));
    }
}
