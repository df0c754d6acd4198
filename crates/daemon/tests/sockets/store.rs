//! The store of a running process, and the commands that inspect one.

use crate::flight::{command, output_text, path_text};
use crate::world::*;
use crate::{LONG, draining_entry, ok, start_with_endpoint, unchanged};
use std::process::Command;

#[test]
fn with_durability_power_messages_are_accepted_delivered_and_kept() {
    let endpoint = Endpoint::new(|_| ok());
    let members = [member("s-1", endpoint.address, "shop", 3, "up"), draining_entry(endpoint.address)];
    let mut node = Node::with_operator(&members, unchanged, Some("[store]\ndurability = \"power\"\n"));
    for id in 1..=20 {
        assert_eq!(node.submit("payment", id, 3, LONG, b"now").status(), 202);
        endpoint.call(id as usize - 1);
    }
    assert_eq!(node.submit("payment", 50, 9, LONG, b"later").status(), 202);
    node.kill();
    node.restart();
    let serving = Endpoint::new(|_| ok());
    node.platform.publish(42, &[member("s-9", serving.address, "shop", 9, "up")]);
    assert_eq!(serving.call(0).body, b"later");
    assert_eq!(endpoint.calls(), 20, "delivered messages are not resent");
}

#[test]
fn second_process_on_the_same_folder_is_refused() {
    let (node, _endpoint) = start_with_endpoint("shop", |_| ok());
    let second = Command::new(env!("CARGO_BIN_EXE_notchpoint"))
        .env("BALANCER_CONFIG", node.folder.path().join("config.json"))
        .env("BALANCER_STATE", node.folder.path().join("state"))
        .output()
        .expect("the program runs");
    assert_eq!(second.status.code(), Some(2));
    assert!(output_text(&second).contains("another process has this folder"), "{}", output_text(&second));
    assert_eq!(node.submit("update", 1, 3, LONG, b"").status(), 202);
}

#[test]
fn damaged_folder_is_refused_and_can_be_checked_dumped_and_salvaged() {
    let (mut node, _endpoint) = start_with_endpoint("shop", |_| ok());
    for id in 1..=4 {
        node.submit("payment", id, 9, LONG, b"body");
    }
    node.kill();
    let state = node.folder.path().join("state");
    let intact = command(&["store", "check", path_text(&state)]);
    assert!(
        intact.status.success() && output_text(&intact).contains("messages: 4 keys"),
        "{}",
        output_text(&intact)
    );
    let mut bytes = std::fs::read(node.log_path()).expect("the segment is readable");
    let second = bytes
        .windows(9)
        .position(|w| w == b"\0\0\0\0\0\0\0\x02T")
        .expect("the log has the second message's record");
    bytes[second] ^= 1;
    std::fs::write(node.log_path(), &bytes).expect("the file is written");
    let refused = Command::new(env!("CARGO_BIN_EXE_notchpoint"))
        .env("BALANCER_CONFIG", node.folder.path().join("config.json"))
        .env("BALANCER_STATE", &state)
        .output()
        .expect("the program runs");
    assert!(
        refused.status.code() == Some(2) && output_text(&refused).contains("store salvage"),
        "{}",
        output_text(&refused)
    );
    let checked = command(&["store", "check", path_text(&state)]);
    let report = output_text(&checked);
    assert!(checked.status.code() == Some(1) && report.contains("0000000001.log, byte"), "{report}");
    let listed = output_text(&command(&["store", "dump", path_text(&state)]));
    assert!(
        listed.contains("put messages 0000000000000001") && listed.contains("cannot be read"),
        "{listed}"
    );
    let new = node.folder.path().join("saved");
    let saved = command(&["store", "salvage", path_text(&state), "--to", path_text(&new)]);
    let report = output_text(&saved);
    assert!(
        saved.status.code() == Some(1) && report.contains("6 keys saved") && report.contains("in doubt"),
        "{report}"
    );
    assert_eq!(
        std::fs::read(node.log_path()).expect("the segment is still readable"),
        bytes,
        "the damaged one is only read"
    );
    let again = command(&["store", "salvage", path_text(&state), "--to", path_text(&new)]);
    assert!(
        again.status.code() == Some(2) && output_text(&again).contains("must be empty"),
        "{}",
        output_text(&again)
    );
    // A sender starts on the salvaged folder. The first message may have been attempted in the lost records:
    // it is ended and not sent.
    std::fs::remove_dir_all(&state).expect("the damaged folder is removed");
    std::fs::rename(&new, &state).expect("the salvaged folder is renamed");
    node.restart();
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert!(!node.platform.has_notice(4));
}
