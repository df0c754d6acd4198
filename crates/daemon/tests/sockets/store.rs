//! The folder that outlasts a real process, and the commands that look at one.

use crate::flight::{command, said, text};
use crate::world::*;
use crate::{LONG, drained, ok, one, same};
use std::process::Command;

#[test]
fn at_level_power_messages_are_taken_delivered_and_kept() {
    let endpoint = Endpoint::new(|_| ok());
    let members = [member("s-1", endpoint.address, "shop", 3, "up"), drained(endpoint.address)];
    let mut node = Node::with_operator(&members, same, Some("[store]\ndurability = \"power\"\n"));
    for id in 1..=20 {
        assert_eq!(node.hand_in("payment", id, 3, LONG, b"now").status(), 202);
        endpoint.call(id as usize - 1);
    }
    assert_eq!(node.hand_in("payment", 50, 9, LONG, b"later").status(), 202);
    node.kill();
    node.restart();
    let taker = Endpoint::new(|_| ok());
    node.platform.tell(42, &[member("s-9", taker.address, "shop", 9, "up")]);
    assert_eq!(taker.call(0).body, b"later");
    assert_eq!(endpoint.calls(), 20, "what was delivered is over");
}

#[test]
fn a_second_process_is_kept_out_of_the_folder() {
    let (node, _endpoint) = one("shop", |_| ok());
    let second = Command::new(env!("CARGO_BIN_EXE_notchpoint"))
        .env("BALANCER_CONFIG", node.folder.path().join("config.json"))
        .env("BALANCER_STATE", node.folder.path().join("state"))
        .output()
        .expect("the program");
    assert_eq!(second.status.code(), Some(2));
    assert!(said(&second).contains("another process has this folder"), "{}", said(&second));
    assert_eq!(node.hand_in("update", 1, 3, LONG, b"").status(), 202);
}

#[test]
fn a_damaged_folder_is_refused_checked_listed_and_saved() {
    let (mut node, _endpoint) = one("shop", |_| ok());
    for id in 1..=4 {
        node.hand_in("payment", id, 9, LONG, b"body");
    }
    node.kill();
    let state = node.folder.path().join("state");
    let sound = command(&["store", "check", text(&state)]);
    assert!(sound.status.success() && said(&sound).contains("messages: 4 keys"), "{}", said(&sound));
    let mut bytes = std::fs::read(node.journal()).expect("a segment");
    let second = bytes.windows(9).position(|w| w == b"\0\0\0\0\0\0\0\x02T").expect("the second's record");
    bytes[second] ^= 1;
    std::fs::write(node.journal(), &bytes).expect("written");
    let refused = Command::new(env!("CARGO_BIN_EXE_notchpoint"))
        .env("BALANCER_CONFIG", node.folder.path().join("config.json"))
        .env("BALANCER_STATE", &state)
        .output()
        .expect("the program");
    assert!(
        refused.status.code() == Some(2) && said(&refused).contains("store salvage"),
        "{}",
        said(&refused)
    );
    let checked = command(&["store", "check", text(&state)]);
    let words = said(&checked);
    assert!(checked.status.code() == Some(1) && words.contains("0000000001.log, byte"), "{words}");
    let listed = said(&command(&["store", "dump", text(&state)]));
    assert!(
        listed.contains("put messages 0000000000000001") && listed.contains("cannot be read"),
        "{listed}"
    );
    let new = node.folder.path().join("saved");
    let saved = command(&["store", "salvage", text(&state), "--to", text(&new)]);
    let words = said(&saved);
    assert!(
        saved.status.code() == Some(1) && words.contains("6 keys saved") && words.contains("in doubt"),
        "{words}"
    );
    assert_eq!(std::fs::read(node.journal()).expect("still there"), bytes, "the damaged one is only read");
    let again = command(&["store", "salvage", text(&state), "--to", text(&new)]);
    assert!(again.status.code() == Some(2) && said(&again).contains("must be empty"), "{}", said(&again));
    // A sender starts on it. The first message may have been tried in what is lost: it ends, and is not sent.
    std::fs::remove_dir_all(&state).expect("away");
    std::fs::rename(&new, &state).expect("in its place");
    node.restart();
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert!(!node.platform.has_notice(4));
}
