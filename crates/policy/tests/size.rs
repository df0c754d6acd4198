//! The decision module stays short enough to be read and signed.

#[test]
fn the_module_keeps_its_size() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines that are not blank, 1200 allowed");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
}
