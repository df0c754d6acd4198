//! Which classes there are, by name and for good: a message keeps the class it came with, whatever becomes of
//! its name in the configuration. Free of I/O.
//!
//! A definition has a tag, which records use, and a place, which the decision module uses. A class that is
//! changed gets a new tag and a new place. Both are given up once no message uses them any more.

use notchpoint_policy::Class;
use std::collections::{BTreeMap, BTreeSet};

/// Stands between a class's name and its version in a tag. No request's path brings it.
const VERSION: char = '\0';

/// What the store is to hold of definitions from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClassChange {
    Put { tag: String, text: String },
    Delete { tag: String },
}

#[derive(Clone, Debug)]
struct Entry {
    /// Empty where the place is free.
    tag: String,
    class: Class,
    /// The configuration has it.
    is_current: bool,
}

#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    entries: Vec<Entry>,
}

/// A definition as it is written. Definitions are the same if this is.
pub fn definition_text(class: &Class) -> String {
    serde_json::to_string(class).unwrap_or_default()
}

/// The name in a tag.
pub fn tag_name(tag: &str) -> &str {
    tag.split_once(VERSION).map_or(tag, |t| t.0)
}

impl ClassTable {
    /// Those that the configuration has, first and in its order, and those that messages in the store use.
    /// `stored` are the definitions there, by tag.
    pub fn new(
        told: &[(String, Class)],
        stored: &BTreeMap<String, Class>,
        used: &BTreeSet<&str>,
    ) -> (Self, Vec<ClassChange>) {
        let mut classes = Self::default();
        let mut changes = Vec::new();
        for (name, class) in told {
            let wanted = definition_text(class);
            let same = stored.iter().find(|(tag, c)| tag_name(tag) == name && definition_text(c) == wanted);
            let tag = same.map(|(tag, _)| tag.clone()).unwrap_or_else(|| {
                let tag = free_tag(name, |tag| stored.contains_key(tag));
                changes.push(ClassChange::Put { tag: tag.clone(), text: wanted });
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

    /// Takes the classes of a new configuration. `in_use` are the places that messages use.
    pub fn reconfigure(&mut self, told: &[(String, Class)], in_use: &BTreeSet<usize>) -> Vec<ClassChange> {
        let mut changes = Vec::new();
        let mut current = BTreeSet::new();
        let mut new = Vec::new();
        for (name, class) in told {
            let wanted = definition_text(class);
            let same = |p: &Entry| tag_name(&p.tag) == name && definition_text(&p.class) == wanted;
            match self.entries.iter().position(same) {
                Some(n) => drop(current.insert(n)),
                None => new.push((name, class, wanted)),
            }
        }
        for (n, p) in self.entries.iter_mut().enumerate() {
            p.is_current = current.contains(&n);
            if !p.is_current && !in_use.contains(&n) && !p.tag.is_empty() {
                changes.push(ClassChange::Delete { tag: std::mem::take(&mut p.tag) });
            }
        }
        for (name, class, text) in new {
            let tag = free_tag(name, |tag| self.index_of(tag).is_some());
            let place = Entry { tag: tag.clone(), class: class.clone(), is_current: true };
            match self.entries.iter_mut().find(|p| p.tag.is_empty()) {
                Some(free) => *free = place,
                None => self.entries.push(place),
            }
            // A tag that is dropped and given again in one step is kept.
            changes.retain(|c| !matches!(c, ClassChange::Delete { tag: dropped } if *dropped == tag));
            changes.push(ClassChange::Put { tag, text });
        }
        changes
    }

    /// The place of a class that clients may use now.
    pub fn current_index(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|p| p.is_current && tag_name(&p.tag) == name)
    }

    /// The place of a tag that a record has.
    pub fn index_of(&self, tag: &str) -> Option<usize> {
        self.entries.iter().position(|p| p.tag == tag && !tag.is_empty())
    }

    pub fn tag_at(&self, place: usize) -> &str {
        self.entries.get(place).map_or("", |p| &p.tag)
    }

    /// All places, for another process that takes over: tag, definition, and whether clients may use it.
    pub fn entries(&self) -> Vec<(String, Class, bool)> {
        self.entries.iter().map(|p| (p.tag.clone(), p.class.clone(), p.is_current)).collect()
    }

    /// The same places as another process had.
    pub fn from_entries(places: &[(String, Class, bool)]) -> Self {
        let place = |(tag, class, current): &(String, Class, bool)| Entry {
            tag: tag.clone(),
            class: class.clone(),
            is_current: *current,
        };
        Self { entries: places.iter().map(place).collect() }
    }

    /// The definitions by place, for the decision module.
    pub fn definitions(&self) -> Vec<Class> {
        self.entries.iter().map(|p| p.class.clone()).collect()
    }
}

fn free_tag(name: &str, taken: impl Fn(&str) -> bool) -> String {
    let tags = (1..).map(|n: u32| format!("{name}{VERSION}{n}"));
    std::iter::once(name.to_owned()).chain(tags).find(|tag| !taken(tag)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use notchpoint_policy::{DedupScope, Effect};

    fn class(effect: Effect, deadline: u64) -> Class {
        let (group, memory, wanted, worth, late_share) = (DedupScope::All, 0, 1, 0.1, 0.3);
        Class {
            effect,
            dedup_scope: group,
            dedup_window: memory,
            target_time: wanted,
            deadline,
            worth,
            late_share,
            in_order: false,
        }
    }

    fn told(classes: &[(&str, Effect, u64)]) -> Vec<(String, Class)> {
        classes.iter().map(|&(name, effect, deadline)| (name.to_owned(), class(effect, deadline))).collect()
    }

    use Effect::{AtMostOnce, Idempotent};

    #[test]
    fn a_class_that_is_reordered_stays_and_one_that_is_changed_is_another() {
        let (mut classes, kept) = ClassTable::new(
            &told(&[("a", Idempotent, 5), ("b", AtMostOnce, 9)]),
            &BTreeMap::new(),
            &BTreeSet::new(),
        );
        assert_eq!(
            (classes.current_index("a"), classes.current_index("b"), kept.len()),
            (Some(0), Some(1), 2)
        );
        // Reordered, with one more: nothing that is known moves.
        classes.reconfigure(
            &told(&[("c", Idempotent, 1), ("b", AtMostOnce, 9), ("a", Idempotent, 5)]),
            &BTreeSet::new(),
        );
        assert_eq!(["a", "b", "c"].map(|n| classes.current_index(n)), [Some(0), Some(1), Some(2)]);
        // A stricter effect under the same name: messages under way keep the old one.
        classes.reconfigure(&told(&[("a", AtMostOnce, 5), ("b", AtMostOnce, 9)]), &BTreeSet::from([0, 2]));
        assert_eq!((classes.current_index("a"), classes.current_index("c")), (Some(3), None));
        assert_eq!(
            (classes.index_of("a"), classes.tag_at(3), tag_name(classes.tag_at(3))),
            (Some(0), "a\u{0}1", "a")
        );
        assert_eq!(
            (classes.definitions()[0].effect, classes.definitions()[3].effect),
            (Idempotent, AtMostOnce)
        );
        // Once nothing uses them their places are free for others.
        let changes =
            classes.reconfigure(&told(&[("a", AtMostOnce, 5), ("d", Idempotent, 1)]), &BTreeSet::new());
        assert_eq!(changes.iter().filter(|c| matches!(c, ClassChange::Delete { .. })).count(), 3);
        assert!(classes.current_index("d").is_some_and(|n| n < 3) && classes.definitions().len() == 4);
    }

    #[test]
    fn places_are_bounded_by_what_is_in_use_however_often_settings_change() {
        let (mut classes, _) =
            ClassTable::new(&told(&[("a", Idempotent, 5)]), &BTreeMap::new(), &BTreeSet::new());
        let mut stored = BTreeSet::from(["a".to_owned()]);
        for n in 0..1_000 {
            for change in classes.reconfigure(&told(&[("a", Idempotent, 6 + n)]), &BTreeSet::new()) {
                match change {
                    ClassChange::Put { tag, .. } => drop(stored.insert(tag)),
                    ClassChange::Delete { tag } => assert!(stored.remove(&tag)),
                }
            }
        }
        assert!(classes.definitions().len() <= 2 && stored.len() == 1, "{stored:?}");
    }

    #[test]
    fn what_the_store_holds_is_found_again_by_name_and_definition() {
        let old = told(&[("a", Idempotent, 5), ("gone", Idempotent, 7), ("unused", Idempotent, 8)]);
        let mut stored: BTreeMap<String, Class> = old.into_iter().collect();
        stored.insert("a\u{0}1".into(), class(AtMostOnce, 5));
        let used = BTreeSet::from(["a", "gone"]);
        let now = told(&[("new", Idempotent, 1), ("a", AtMostOnce, 5)]);
        let (classes, changes) = ClassTable::new(&now, &stored, &used);
        assert_eq!(
            (classes.current_index("new"), classes.current_index("a"), classes.tag_at(1)),
            (Some(0), Some(1), "a\u{0}1")
        );
        let place = classes.index_of("gone").expect("a message has it");
        assert_eq!((classes.current_index("gone"), classes.definitions()[place].deadline), (None, 7));
        assert_eq!(classes.definitions()[classes.index_of("a").expect("in use")].effect, Idempotent);
        assert!(changes.contains(&ClassChange::Delete { tag: "unused".into() }));
        assert_eq!(changes.len(), 2, "{changes:?}");
    }
}
