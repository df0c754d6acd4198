use super::*;

const COMPACT: &str = concat!(
    r#"{"revision":42,"complete":false,"members":"#,
    r#"[{"id":"s-1 \"}{\\","host_port":"127.0.0.1:9","cell":3,"phase":"up"}]}"#
);

/// What pieces say: the revision of a list and its members, `-` for a heartbeat, `!` for what is spoilt.
fn said(pieces: &[WatchItem]) -> String {
    let say = |p: &WatchItem| match p {
        WatchItem::List(list) => format!("{}:{}", list.revision, list.members.len()),
        WatchItem::Heartbeat => "-".into(),
        WatchItem::Spoilt(_) => "!".into(),
    };
    pieces.iter().map(say).collect::<Vec<_>>().join(" ")
}

fn read(chunks: &[&[u8]]) -> String {
    let (mut values, mut pieces) = (WatchParser::default(), Vec::new());
    chunks.iter().for_each(|c| values.push(c, &mut pieces).expect("short"));
    said(&pieces)
}

fn indented(step: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(COMPACT).expect("sound");
    let text = serde_json::to_string_pretty(&value).expect("text");
    text.lines()
        .map(|l| step.repeat((l.len() - l.trim_start().len()) / 2) + l.trim_start() + "\r\n")
        .collect()
}

#[test]
fn lists_are_read_compact_and_indented_wherever_they_are_cut() {
    for list in [format!("{COMPACT}\n"), indented("  "), indented("\t"), indented("")] {
        let stream = format!("\n{list}\r\n{list}{list}\n\n");
        let all = "- 42:1 - 42:1 42:1 - -";
        assert_eq!(read(&[stream.as_bytes()]), all, "{list}");
        for at in 0..stream.len() {
            let (a, b) = stream.as_bytes().split_at(at);
            assert_eq!(read(&[a, b]), all, "cut at {at}: {list}");
        }
        let bytes: Vec<&[u8]> = stream.as_bytes().chunks(1).collect();
        assert_eq!(read(&bytes), all, "byte by byte: {list}");
    }
}

#[test]
fn a_value_without_an_end_of_line_is_told_at_once() {
    assert_eq!(read(&[COMPACT.as_bytes()]), "42:1");
    // Two on one line.
    assert_eq!(read(&[COMPACT.as_bytes(), COMPACT.as_bytes()]), "42:1 42:1");
}

#[test]
fn what_is_spoilt_costs_none_of_the_lists_behind_it() {
    let wrong = [
        "garbage",
        "}",
        "]]",
        "\"",
        "{}",
        "{\"revision\":\"x\"}",
        "{\"revision\":43",
        "null {\"a\":1}",
        "{\"a\":\"b",
        "{\"revision\":43,\"members\":[{\"id\":",
        "{\"revision\":43,\"members\":[\"\\",
        "{]",
        "\u{fffd}\u{0}",
    ];
    for spoilt in wrong {
        let said = read(&[spoilt.as_bytes(), b"\n", COMPACT.as_bytes(), b"\n\n", COMPACT.as_bytes(), b"\n"]);
        let lists = said.replace("! ", "");
        assert_eq!(lists, "42:1 - 42:1", "{spoilt}: {said}");
        assert!(said.starts_with('!'), "{spoilt} is told of: {said}");
    }
}

#[test]
fn heartbeats_within_a_value_that_does_not_end_are_none() {
    assert_eq!(read(&[b"{\"revision\":43\n\n\n \n"]), "");
}

#[test]
fn what_never_ends_is_bounded() {
    let (mut values, mut pieces) = (WatchParser::default(), Vec::new());
    let block = vec![b'['; 1 << 20];
    let mut push = || values.push(&[b"{".as_slice(), &block].concat(), &mut pieces);
    assert!((0..4).map(|_| push()).any(|r| r.is_err()));
    // What stands between values takes no room at all.
    let (mut values, mut pieces) = (WatchParser::default(), Vec::new());
    (0..8).for_each(|_| values.push(&block, &mut pieces).expect("nothing is kept"));
    assert_eq!(said(&pieces), "!");
}
