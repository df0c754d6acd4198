//! The decision module stays short enough to be read and signed.

#[test]
fn the_module_keeps_its_size() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let listed = deploy.lines().find(|l| l.starts_with("policy")).expect("the deploy file names the files");
    let files = [
        ("choice.rs", include_str!("../src/choice.rs")),
        ("choice/guard.rs", include_str!("../src/choice/guard.rs")),
        ("choice/slots.rs", include_str!("../src/choice/slots.rs")),
    ];
    assert_eq!(listed.matches(".rs\"").count(), files.len(), "{listed}");
    let mut lines = 0;
    for (name, text) in files {
        assert!(listed.contains(&format!("\"crates/policy/src/{name}\"")), "{name} is not in {listed}");
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}:{} is too long", n + 1);
        }
    }
    assert!(lines <= 1200, "{lines} lines that are not blank, 1200 allowed");
}
