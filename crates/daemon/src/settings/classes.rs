//! The table of message classes. A message keeps the class definition with which it arrived, whatever the
//! configuration makes of the class later. This module has no I/O.
//!
//! A definition has a tag, by which the store's records refer to it, and an index, by which the decision
//! module does. A class that is changed gets a new tag and a new index. The old ones are freed once no
//! message uses them.

use notchpoint_policy::Class;
use std::collections::{BTreeMap, BTreeSet};

/// Separates the name of a class from its version in a tag. It cannot occur in the path of a request.
const VERSION_SEPARATOR: char = '\0';

/// A change of the definitions that the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClassChange {
    Put { tag: String, text: String },
    Delete { tag: String },
}

#[derive(Clone, Debug)]
struct Entry {
    /// Empty if the entry is free.
    tag: String,
    class: Class,
    /// Whether the configuration has this definition.
    is_current: bool,
}

#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    entries: Vec<Entry>,
}

/// Returns a definition as it is stored. Two definitions are equal if their texts are.
pub fn definition_text(class: &Class) -> String {
    serde_json::to_string(class).unwrap_or_default()
}

/// Returns the name of the class with this tag.
pub fn tag_name(tag: &str) -> &str {
    tag.split_once(VERSION_SEPARATOR).map_or(tag, |t| t.0)
}

impl ClassTable {
    /// Creates a table with the classes of the configuration, first and in its order, and those that stored
    /// messages use. `stored` has the stored definitions by tag, `used` the tags that messages use. Returns
    /// also the changes to make in the store.
    pub fn new(
        configured: &[(String, Class)],
        stored: &BTreeMap<String, Class>,
        used: &BTreeSet<&str>,
    ) -> (Self, Vec<ClassChange>) {
        let mut classes = Self::default();
        let mut changes = Vec::new();
        for (name, class) in configured {
            let text = definition_text(class);
            let same = stored.iter().find(|(tag, c)| tag_name(tag) == name && definition_text(c) == text);
            let tag = same.map(|(tag, _)| tag.clone()).unwrap_or_else(|| {
                let tag = free_tag(name, |tag| stored.contains_key(tag));
                changes.push(ClassChange::Put { tag: tag.clone(), text });
                tag
            });
            classes.entries.push(Entry { tag, class: class.clone(), is_current: true });
        }
        for (tag, class) in stored {
            if classes.index_of(tag).is_some() {
                continue;
            }
            if used.contains(tag.as_str()) {
                classes.entries.push(Entry { tag: tag.clone(), class: class.clone(), is_current: false });
            } else {
                changes.push(ClassChange::Delete { tag: tag.clone() });
            }
        }
        (classes, changes)
    }

    /// Adopts the classes of a new configuration. `in_use` has the indexes that messages use. Returns the
    /// changes to make in the store.
    pub fn reconfigure(
        &mut self,
        configured: &[(String, Class)],
        in_use: &BTreeSet<usize>,
    ) -> Vec<ClassChange> {
        let mut changes = Vec::new();
        let mut current = BTreeSet::new();
        let mut new = Vec::new();
        for (name, class) in configured {
            let text = definition_text(class);
            let is_same = |e: &Entry| tag_name(&e.tag) == name && definition_text(&e.class) == text;
            match self.entries.iter().position(is_same) {
                Some(n) => drop(current.insert(n)),
                None => new.push((name, class, text)),
            }
        }
        for (n, entry) in self.entries.iter_mut().enumerate() {
            entry.is_current = current.contains(&n);
            if !entry.is_current && !in_use.contains(&n) && !entry.tag.is_empty() {
                changes.push(ClassChange::Delete { tag: std::mem::take(&mut entry.tag) });
            }
        }
        for (name, class, text) in new {
            let tag = free_tag(name, |tag| self.index_of(tag).is_some());
            let entry = Entry { tag: tag.clone(), class: class.clone(), is_current: true };
            match self.entries.iter_mut().find(|e| e.tag.is_empty()) {
                Some(free) => *free = entry,
                None => self.entries.push(entry),
            }
            // A tag that is deleted and assigned again by the same configuration is only put.
            changes.retain(|c| !matches!(c, ClassChange::Delete { tag: deleted } if *deleted == tag));
            changes.push(ClassChange::Put { tag, text });
        }
        changes
    }

    /// Returns the index of the class that clients may use under this name.
    pub fn current_index(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|e| e.is_current && tag_name(&e.tag) == name)
    }

    /// Returns the index of the definition with the tag of a stored record.
    pub fn index_of(&self, tag: &str) -> Option<usize> {
        self.entries.iter().position(|e| e.tag == tag && !tag.is_empty())
    }

    pub fn tag_at(&self, index: usize) -> &str {
        self.entries.get(index).map_or("", |e| &e.tag)
    }

    /// Returns all entries, for a successor process: tag, definition, and whether clients may use it.
    pub fn entries(&self) -> Vec<(String, Class, bool)> {
        self.entries.iter().map(|e| (e.tag.clone(), e.class.clone(), e.is_current)).collect()
    }

    /// Creates the table from the entries of a predecessor process.
    pub fn from_entries(entries: &[(String, Class, bool)]) -> Self {
        let entry = |(tag, class, is_current): &(String, Class, bool)| Entry {
            tag: tag.clone(),
            class: class.clone(),
            is_current: *is_current,
        };
        Self { entries: entries.iter().map(entry).collect() }
    }

    /// Returns the definitions by index, for the decision module.
    pub fn definitions(&self) -> Vec<Class> {
        self.entries.iter().map(|e| e.class.clone()).collect()
    }
}

fn free_tag(name: &str, is_taken: impl Fn(&str) -> bool) -> String {
    let tags = (1..).map(|n: u32| format!("{name}{VERSION_SEPARATOR}{n}"));
    std::iter::once(name.to_owned()).chain(tags).find(|tag| !is_taken(tag)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
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
        classes
            .reconfigure(&configured(&[("a", AtMostOnce, 5), ("b", AtMostOnce, 9)]), &BTreeSet::from([0, 2]));
        assert_eq!((classes.current_index("a"), classes.current_index("c")), (Some(3), None));
        assert_eq!(
            (classes.index_of("a"), classes.tag_at(3), tag_name(classes.tag_at(3))),
            (Some(0), "a\u{0}1", "a")
        );
        assert_eq!(
            (classes.definitions()[0].effect, classes.definitions()[3].effect),
            (Idempotent, AtMostOnce)
        );
        // Once no message uses them, their entries are free for others.
        let changes =
            classes.reconfigure(&configured(&[("a", AtMostOnce, 5), ("d", Idempotent, 1)]), &BTreeSet::new());
        assert_eq!(changes.iter().filter(|c| matches!(c, ClassChange::Delete { .. })).count(), 3);
        assert!(classes.current_index("d").is_some_and(|n| n < 3) && classes.definitions().len() == 4);
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
}
