use super::*;
use notchpoint_policy::{DedupScope, Effect};

fn class(effect: Effect, deadline: u64) -> Class {
    let (dedup_scope, dedup_window, target_time, worth, late_share) = (DedupScope::All, 0, 1, 0.1, 0.3);
    Class { effect, dedup_scope, dedup_window, target_time, deadline, worth, late_share, in_order: false }
}

fn configured(classes: &[(&str, Effect, u64)]) -> Vec<(String, Class)> {
    classes.iter().map(|&(name, effect, deadline)| (name.to_owned(), class(effect, deadline))).collect()
}

use Effect::{AtMostOnce, Idempotent};

#[test]
fn a_reordered_class_keeps_its_index_and_a_changed_class_gets_a_new_one() {
    let (mut classes, changes) = ClassTable::new(
        &configured(&[("a", Idempotent, 5), ("b", AtMostOnce, 9)]),
        &BTreeMap::new(),
        &BTreeSet::new(),
    );
    assert_eq!(
        (classes.current_index("a"), classes.current_index("b"), changes.len()),
        (Some(0), Some(1), 2)
    );
    // Reordered, with a further class: the known classes keep their indexes.
    classes.reconfigure(
        &configured(&[("c", Idempotent, 1), ("b", AtMostOnce, 9), ("a", Idempotent, 5)]),
        &BTreeSet::new(),
    );
    assert_eq!(["a", "b", "c"].map(|n| classes.current_index(n)), [Some(0), Some(1), Some(2)]);
    // A stricter effect under the same name: messages in progress keep the old definition.
    classes.reconfigure(&configured(&[("a", AtMostOnce, 5), ("b", AtMostOnce, 9)]), &BTreeSet::from([0, 2]));
    assert_eq!((classes.current_index("a"), classes.current_index("c")), (Some(3), None));
    assert_eq!(
        (classes.index_of("a"), classes.tag_at(3), tag_name(classes.tag_at(3))),
        (Some(0), "a\u{0}1", "a")
    );
    assert_eq!((classes.definitions()[0].effect, classes.definitions()[3].effect), (Idempotent, AtMostOnce));
    // Once no message uses them, their entries are free for others.
    let changes =
        classes.reconfigure(&configured(&[("a", AtMostOnce, 5), ("d", Idempotent, 1)]), &BTreeSet::new());
    assert_eq!(changes.iter().filter(|c| matches!(c, ClassChange::Delete { .. })).count(), 3);
    assert!(classes.current_index("d").is_some_and(|n| n < 3) && classes.definitions().len() == 4);
}

#[test]
fn a_class_that_is_held_keeps_its_index_its_tag_and_its_definition() {
    // Guards against a request that is read under one class and decided on under another, since a new
    // configuration gave the class's index, or its tag, to another definition meanwhile.
    let (mut classes, _) =
        ClassTable::new(&configured(&[("a", AtMostOnce, 5)]), &BTreeMap::new(), &BTreeSet::new());
    let hold = classes.hold_current("a").expect("a class");
    for new in [[("b", Idempotent, 1)], [("a", Idempotent, 5)]] {
        // A new configuration changes a clone of the table first.
        let mut clone = classes.clone();
        clone.reconfigure(&configured(&new), &BTreeSet::new());
        classes = clone;
        assert_eq!((classes.tag_at(hold.key()), classes.index_of("a")), ("a", Some(hold.key())));
        assert_eq!(classes.definitions()[hold.key()].effect, AtMostOnce);
    }
    drop(hold);
    let changes = classes.reconfigure(&configured(&[("a", Idempotent, 5)]), &BTreeSet::new());
    assert!(changes.contains(&ClassChange::Delete { tag: "a".into() }), "nothing is kept: {changes:?}");
}

#[test]
fn the_table_is_bounded_by_the_classes_in_use_however_often_settings_change() {
    let (mut classes, _) =
        ClassTable::new(&configured(&[("a", Idempotent, 5)]), &BTreeMap::new(), &BTreeSet::new());
    let mut stored = BTreeSet::from(["a".to_owned()]);
    for n in 0..1_000 {
        for change in classes.reconfigure(&configured(&[("a", Idempotent, 6 + n)]), &BTreeSet::new()) {
            match change {
                ClassChange::Put { tag, .. } => drop(stored.insert(tag)),
                ClassChange::Delete { tag } => assert!(stored.remove(&tag)),
            }
        }
    }
    assert!(classes.definitions().len() <= 2 && stored.len() == 1, "{stored:?}");
}

#[test]
fn stored_definitions_are_found_by_name_and_definition() {
    let old = configured(&[("a", Idempotent, 5), ("gone", Idempotent, 7), ("unused", Idempotent, 8)]);
    let mut stored: BTreeMap<String, Class> = old.into_iter().collect();
    stored.insert("a\u{0}1".into(), class(AtMostOnce, 5));
    let used = BTreeSet::from(["a", "gone"]);
    let now = configured(&[("new", Idempotent, 1), ("a", AtMostOnce, 5)]);
    let (classes, changes) = ClassTable::new(&now, &stored, &used);
    assert_eq!(
        (classes.current_index("new"), classes.current_index("a"), classes.tag_at(1)),
        (Some(0), Some(1), "a\u{0}1")
    );
    let index = classes.index_of("gone").expect("a message uses it");
    assert_eq!((classes.current_index("gone"), classes.definitions()[index].deadline), (None, 7));
    assert_eq!(classes.definitions()[classes.index_of("a").expect("in use")].effect, Idempotent);
    assert!(changes.contains(&ClassChange::Delete { tag: "unused".into() }));
    assert_eq!(changes.len(), 2, "{changes:?}");
}

#[test]
fn a_stored_definition_has_the_same_text_as_in_earlier_builds() {
    // Guards against a folder of an earlier build that cannot be opened: the store keeps these texts, so the
    // names in them must not change together with names in the code.
    let definition = |effect, dedup_scope| Class {
        effect,
        dedup_scope,
        dedup_window: 5_000_000,
        target_time: 1_500_000,
        deadline: 6_000_000,
        worth: 2.5,
        late_share: 0.25,
        in_order: true,
    };
    for (class, text) in [
        (
            definition(Idempotent, DedupScope::All),
            concat!(
                r#"{"effect":"Safe","group":"All","memory":5000000,"wanted":1500000,"#,
                r#""deadline":6000000,"worth":2.5,"late_share":0.25,"in_order":true}"#
            ),
        ),
        (
            definition(Effect::Deduplicated, DedupScope::Zone),
            concat!(
                r#"{"effect":"Keyed","group":"Zone","memory":5000000,"wanted":1500000,"#,
                r#""deadline":6000000,"worth":2.5,"late_share":0.25,"in_order":true}"#
            ),
        ),
        (
            definition(AtMostOnce, DedupScope::Endpoint),
            concat!(
                r#"{"effect":"Unsafe","group":"Endpoint","memory":5000000,"wanted":1500000,"#,
                r#""deadline":6000000,"worth":2.5,"late_share":0.25,"in_order":true}"#
            ),
        ),
    ] {
        assert_eq!(definition_text(&class), text);
        assert_eq!(serde_json::from_str::<Class>(text).expect("a definition"), class);
    }
}
