//! The flight recorder of a running process, and the commands that read recordings.

use crate::world::*;
use crate::{LONG, draining_entry, ok, unchanged};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Operator's files, in which FOLDER stands for the folder of the recording.
const IN_FOLDER: &str = "[recorder]\nstore = \"folder\"\nfolder = \"FOLDER\"\nlimit_mb = 4.0\n";
const IN_MEMORY: &str = "[recorder]\nstore = \"memory\"\nfolder = \"FOLDER\"\nlimit_mb = 4.0\n";

/// Runs a command of the program and returns its output.
pub fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_notchpoint")).args(args).output().expect("the program runs")
}

/// Returns the standard output and the standard error of a command.
pub fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

/// Returns a path as text.
pub fn path_text(path: &Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}

/// Starts a sender with this operator's file. Returns the sender, its endpoint, and the recording's folder.
fn start_recorded(operator: &str) -> (Node, Endpoint, PathBuf) {
    let endpoint = Endpoint::new(|_| ok());
    let members = [member("s-1", endpoint.address, "shop", 3, "up"), draining_entry(endpoint.address)];
    let node = Node::with_operator(&members, unchanged, Some(operator));
    let recording = node.folder.path().join("recording");
    (node, endpoint, recording)
}

#[test]
fn recording_of_a_killed_process_can_be_replayed_and_explained() {
    let (mut node, endpoint, recording) = start_recorded(IN_FOLDER);
    let secret = b"the body of an order";
    for id in 1..=5 {
        assert_eq!(node.submit("payment", id, 3, LONG, secret).status(), 202);
        endpoint.call(id as usize - 1);
    }
    // Destination 9 only drains: the message is held as long as the process runs.
    assert_eq!(node.submit("update", 0xabc, 9, LONG, secret).status(), 202);
    let folder = path_text(&recording).to_owned();
    wait_until("the turn that accepts the message is recorded", || {
        output_text(&command(&["explain", &folder, "--message", "0000000000000abc"])).contains("Drained")
    });
    node.restart();
    assert_eq!(node.submit("payment", 6, 3, LONG, secret).status(), 202);
    endpoint.call(5);
    node.kill();
    let replayed = command(&["replay", &folder]);
    assert!(replayed.status.success(), "{}", output_text(&replayed));
    assert!(output_text(&replayed).contains("of 2 processes"), "{}", output_text(&replayed));
    let explained = output_text(&command(&["explain", &folder, "--message", "0000000000000abc"]));
    assert!(explained.contains("Drained") && explained.contains("update"), "{explained}");
    // The next process resumed the message: its timeline continues there.
    assert!(explained.contains("taken up after a restart"), "{explained}");
    for file in std::fs::read_dir(&recording).expect("the folder is readable").flatten() {
        let bytes = std::fs::read(file.path()).expect("the file is readable");
        assert!(!bytes.windows(secret.len()).any(|w| w == secret), "a body is in the recording");
    }
}

#[test]
fn dump_is_written_on_sigusr1_and_only_four_are_kept() {
    let (node, endpoint, recording) = start_recorded(IN_MEMORY);
    node.submit("update", 1, 3, LONG, b"");
    endpoint.call(0);
    let dumps = || {
        let all = std::fs::read_dir(&recording).expect("the folder is readable").flatten().map(|e| e.path());
        let mut all: Vec<PathBuf> = all.filter(|p| path_text(p).ends_with(".nptrec")).collect();
        all.sort();
        all
    };
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let before = seen.len();
        node.signal("-USR1");
        wait_until("a dump", || {
            seen.extend(dumps());
            seen.len() > before
        });
        assert!(dumps().len() <= 4);
    }
    let last = dumps().pop().expect("a dump");
    let replayed = command(&["replay", path_text(&last)]);
    assert!(replayed.status.success(), "{}", output_text(&replayed));
    let svg = node.folder.path().join("picture.svg");
    let explained =
        command(&["explain", path_text(&last), "--dest", "3", "--json", "--svg", path_text(&svg)]);
    assert!(explained.status.success(), "{}", output_text(&explained));
    assert!(std::fs::read_to_string(svg).expect("the drawing is readable").contains("destination 3"));
    assert!(output_text(&explained).contains("\"end\":\"delivered\""), "{}", output_text(&explained));
}

#[test]
fn recording_continues_across_a_reload() {
    let (node, endpoint, recording) = start_recorded(IN_FOLDER);
    assert_eq!(node.submit("update", 1, 3, LONG, b"").status(), 202);
    endpoint.call(0);
    let other = Platform::new();
    node.reload(&node.config().replace(&node.platform.address.to_string(), &other.address.to_string()));
    wait_until("a watch at the new address", || !other.watches.lock().expect("not poisoned").is_empty());
    assert_eq!(node.submit("update", 2, 3, LONG, b"").status(), 202);
    endpoint.call(1);
    let folder = path_text(&recording);
    wait_until("both messages are in the recording", || {
        let explained = output_text(&command(&["explain", folder, "--from", "0.000001"]));
        explained.contains("0000000000000001") && explained.contains("0000000000000002")
    });
    let replayed = command(&["replay", folder]);
    assert!(
        replayed.status.success() && output_text(&replayed).contains("of 1 processes"),
        "{}",
        output_text(&replayed)
    );
}

#[test]
fn without_an_operators_file_nothing_is_recorded_and_a_dump_is_refused() {
    let endpoint = Endpoint::new(|_| ok());
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], unchanged);
    node.signal("-USR1");
    // The sender continues.
    assert_eq!(node.submit("update", 1, 3, LONG, b"").status(), 202);
    endpoint.call(0);
    assert!(!node.folder.path().join("recording").exists());
}

#[test]
fn commands_print_their_help_and_describe_errors() {
    for (args, expected) in [
        (vec!["--help"], "BALANCER_CONFIG"),
        (vec!["replay", "--help"], "bit for bit"),
        (vec!["explain", "--help"], "--svg"),
        (vec!["check", "--help"], "operator"),
    ] {
        let output = command(&args);
        assert!(
            output.status.success() && output_text(&output).contains(expected),
            "{args:?}: {}",
            output_text(&output)
        );
    }
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (invalid_file, truncated) = (folder.path().join("bad.toml"), folder.path().join("none"));
    std::fs::write(&invalid_file, "[recorder]\nstore = \"tape\"\n").expect("the file is written");
    std::fs::write(&truncated, b"NPTREC").expect("the file is written");
    for (args, expected) in [
        (vec!["check", path_text(&invalid_file)], "line 2"),
        (vec!["--operator", path_text(&invalid_file)], "line 2"),
        (vec!["replay", "/nowhere"], "/nowhere"),
        (vec!["replay", path_text(&truncated)], "byte 0"),
        (vec!["explain", path_text(&truncated), "--message", "12"], "16 hex digits"),
        (vec!["explain", path_text(&truncated), "--svg", "x"], "--dest"),
    ] {
        let output = command(&args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", output_text(&output));
        assert!(output_text(&output).contains(expected), "{args:?}: {}", output_text(&output));
    }
    let valid_file = folder.path().join("good.toml");
    std::fs::write(&valid_file, "[recorder]\nstore = \"memory\"\nfolder = \"/x\"\n")
        .expect("the file is written");
    assert!(output_text(&command(&["check", path_text(&valid_file)])).contains("recorder in memory, 16 MB"));
}

#[test]
fn message_that_is_not_in_a_recording_is_reported() {
    let (node, endpoint, recording) = start_recorded(IN_FOLDER);
    node.submit("update", 1, 3, LONG, b"");
    endpoint.call(0);
    let output = command(&["explain", path_text(&recording), "--message", "00000000000000ff"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("00000000000000ff is not in the recording"),
        "{}",
        output_text(&output)
    );
}
