use super::*;

const COMPACT: &str = concat!(
    r#"{"revision":42,"complete":false,"members":"#,
    r#"[{"id":"s-1 \"}{\\","host_port":"127.0.0.1:9","cell":3,"phase":"up"}]}"#
);

/// Summarizes items: revision and number of members of a list, `-` for a heartbeat, `!` for malformed bytes.
fn summary(items: &[WatchItem]) -> String {
    let summarize = |item: &WatchItem| match item {
        WatchItem::List(list) => format!("{}:{}", list.revision, list.members.len()),
        WatchItem::Heartbeat => "-".into(),
        WatchItem::Malformed(_) => "!".into(),
    };
    items.iter().map(summarize).collect::<Vec<_>>().join(" ")
}

fn parse(chunks: &[&[u8]]) -> String {
    let (mut parser, mut items) = (WatchParser::default(), Vec::new());
    chunks.iter().for_each(|c| parser.push(c, &mut items).expect("short"));
    summary(&items)
}

fn indented(step: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(COMPACT).expect("sound");
    let text = serde_json::to_string_pretty(&value).expect("text");
    text.lines()
        .map(|l| step.repeat((l.len() - l.trim_start().len()) / 2) + l.trim_start() + "\r\n")
        .collect()
}

#[test]
fn compact_and_indented_lists_are_parsed_wherever_the_stream_is_split() {
    for list in [format!("{COMPACT}\n"), indented("  "), indented("\t"), indented("")] {
        let stream = format!("\n{list}\r\n{list}{list}\n\n");
        let expected = "- 42:1 - 42:1 42:1 - -";
        assert_eq!(parse(&[stream.as_bytes()]), expected, "{list}");
        for at in 0..stream.len() {
            let (a, b) = stream.as_bytes().split_at(at);
            assert_eq!(parse(&[a, b]), expected, "split at {at}: {list}");
        }
        let bytes: Vec<&[u8]> = stream.as_bytes().chunks(1).collect();
        assert_eq!(parse(&bytes), expected, "byte by byte: {list}");
    }
}

#[test]
fn a_value_without_an_end_of_line_is_returned_at_once() {
    assert_eq!(parse(&[COMPACT.as_bytes()]), "42:1");
    // Two values on one line.
    assert_eq!(parse(&[COMPACT.as_bytes(), COMPACT.as_bytes()]), "42:1 42:1");
}

#[test]
fn lists_after_malformed_bytes_are_parsed() {
    let malformed = [
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
    for bytes in malformed {
        let items = parse(&[bytes.as_bytes(), b"\n", COMPACT.as_bytes(), b"\n\n", COMPACT.as_bytes(), b"\n"]);
        let lists = items.replace("! ", "");
        assert_eq!(lists, "42:1 - 42:1", "{bytes}: {items}");
        assert!(items.starts_with('!'), "{bytes} is reported: {items}");
    }
}

#[test]
fn empty_lines_within_an_incomplete_value_are_not_heartbeats() {
    assert_eq!(parse(&[b"{\"revision\":43\n\n\n \n"]), "");
}

#[test]
fn a_value_without_end_takes_bounded_memory() {
    let (mut parser, mut items) = (WatchParser::default(), Vec::new());
    let block = vec![b'['; 1 << 20];
    let mut push = || parser.push(&[b"{".as_slice(), &block].concat(), &mut items);
    assert!((0..4).map(|_| push()).any(|r| r.is_err()));
    // Bytes between values take no memory.
    let (mut parser, mut items) = (WatchParser::default(), Vec::new());
    (0..8).for_each(|_| parser.push(&block, &mut items).expect("nothing is kept"));
    assert_eq!(summary(&items), "!");
}
