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
pub enum Change {
    Keep { tag: String, text: String },
    Drop { tag: String },
}

#[derive(Clone, Debug)]
struct Place {
    /// Empty where the place is free.
    tag: String,
    class: Class,
    /// The configuration has it.
    current: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Classes {
    places: Vec<Place>,
}

/// A definition as it is written. Definitions are the same if this is.
pub fn text(class: &Class) -> String {
    serde_json::to_string(class).unwrap_or_default()
}

/// The name in a tag.
pub fn name(tag: &str) -> &str {
    tag.split_once(VERSION).map_or(tag, |t| t.0)
}

impl Classes {
    /// Those that the configuration has, first and in its order, and those that messages in the store use.
    /// `stored` are the definitions there, by tag.
    pub fn new(
        told: &[(String, Class)],
        stored: &BTreeMap<String, Class>,
        used: &BTreeSet<&str>,
    ) -> (Self, Vec<Change>) {
        let mut classes = Self::default();
        let mut changes = Vec::new();
        for (name, class) in told {
            let wanted = text(class);
            let same = stored.iter().find(|(tag, c)| self::name(tag) == name && text(c) == wanted);
            let tag = same.map(|(tag, _)| tag.clone()).unwrap_or_else(|| {
                let tag = free_tag(name, |tag| stored.contains_key(tag));
                changes.push(Change::Keep { tag: tag.clone(), text: wanted });
                tag
            });
            classes.places.push(Place { tag, class: class.clone(), current: true });
        }
        for (tag, class) in stored {
            if classes.place(tag).is_some() {
                continue;
            }
            if used.contains(tag.as_str()) {
                classes.places.push(Place { tag: tag.clone(), class: class.clone(), current: false });
            } else {
                changes.push(Change::Drop { tag: tag.clone() });
            }
        }
        (classes, changes)
    }

    /// Takes the classes of a new configuration. `in_use` are the places that messages use.
    pub fn retune(&mut self, told: &[(String, Class)], in_use: &BTreeSet<usize>) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut current = BTreeSet::new();
        let mut new = Vec::new();
        for (name, class) in told {
            let wanted = text(class);
            let same = |p: &Place| self::name(&p.tag) == name && text(&p.class) == wanted;
            match self.places.iter().position(same) {
                Some(n) => drop(current.insert(n)),
                None => new.push((name, class, wanted)),
            }
        }
        for (n, p) in self.places.iter_mut().enumerate() {
            p.current = current.contains(&n);
            if !p.current && !in_use.contains(&n) && !p.tag.is_empty() {
                changes.push(Change::Drop { tag: std::mem::take(&mut p.tag) });
            }
        }
        for (name, class, text) in new {
            let tag = free_tag(name, |tag| self.place(tag).is_some());
            let place = Place { tag: tag.clone(), class: class.clone(), current: true };
            match self.places.iter_mut().find(|p| p.tag.is_empty()) {
                Some(free) => *free = place,
                None => self.places.push(place),
            }
            // A tag that is dropped and given again in one step is kept.
            changes.retain(|c| !matches!(c, Change::Drop { tag: dropped } if *dropped == tag));
            changes.push(Change::Keep { tag, text });
        }
        changes
    }

    /// The place of a class that clients may use now.
    pub fn open(&self, name: &str) -> Option<usize> {
        self.places.iter().position(|p| p.current && self::name(&p.tag) == name)
    }

    /// The place of a tag that a record has.
    pub fn place(&self, tag: &str) -> Option<usize> {
        self.places.iter().position(|p| p.tag == tag && !tag.is_empty())
    }

    pub fn tag(&self, place: usize) -> &str {
        self.places.get(place).map_or("", |p| &p.tag)
    }

    /// All places, for another process that takes over: tag, definition, and whether clients may use it.
    pub fn places(&self) -> Vec<(String, Class, bool)> {
        self.places.iter().map(|p| (p.tag.clone(), p.class.clone(), p.current)).collect()
    }

    /// The same places as another process had.
    pub fn from_places(places: &[(String, Class, bool)]) -> Self {
        let place = |(tag, class, current): &(String, Class, bool)| Place {
            tag: tag.clone(),
            class: class.clone(),
            current: *current,
        };
        Self { places: places.iter().map(place).collect() }
    }

    /// The definitions by place, for the decision module.
    pub fn list(&self) -> Vec<Class> {
        self.places.iter().map(|p| p.class.clone()).collect()
    }
}

fn free_tag(name: &str, taken: impl Fn(&str) -> bool) -> String {
    let tags = (1..).map(|n: u32| format!("{name}{VERSION}{n}"));
    std::iter::once(name.to_owned()).chain(tags).find(|tag| !taken(tag)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use notchpoint_policy::{Effect, Group};

    fn class(effect: Effect, deadline: u64) -> Class {
        let (group, memory, wanted, worth, late_share) = (Group::All, 0, 1, 0.1, 0.3);
        Class { effect, group, memory, wanted, deadline, worth, late_share, in_order: false }
    }

    fn told(classes: &[(&str, Effect, u64)]) -> Vec<(String, Class)> {
        classes.iter().map(|&(name, effect, deadline)| (name.to_owned(), class(effect, deadline))).collect()
    }

    use Effect::{Safe, Unsafe};

    #[test]
    fn a_class_that_is_reordered_stays_and_one_that_is_changed_is_another() {
        let (mut classes, kept) =
            Classes::new(&told(&[("a", Safe, 5), ("b", Unsafe, 9)]), &BTreeMap::new(), &BTreeSet::new());
        assert_eq!((classes.open("a"), classes.open("b"), kept.len()), (Some(0), Some(1), 2));
        // Reordered, with one more: nothing that is known moves.
        classes.retune(&told(&[("c", Safe, 1), ("b", Unsafe, 9), ("a", Safe, 5)]), &BTreeSet::new());
        assert_eq!(["a", "b", "c"].map(|n| classes.open(n)), [Some(0), Some(1), Some(2)]);
        // A stricter effect under the same name: messages under way keep the old one.
        classes.retune(&told(&[("a", Unsafe, 5), ("b", Unsafe, 9)]), &BTreeSet::from([0, 2]));
        assert_eq!((classes.open("a"), classes.open("c")), (Some(3), None));
        assert_eq!((classes.place("a"), classes.tag(3), name(classes.tag(3))), (Some(0), "a\u{0}1", "a"));
        assert_eq!((classes.list()[0].effect, classes.list()[3].effect), (Safe, Unsafe));
        // Once nothing uses them their places are free for others.
        let changes = classes.retune(&told(&[("a", Unsafe, 5), ("d", Safe, 1)]), &BTreeSet::new());
        assert_eq!(changes.iter().filter(|c| matches!(c, Change::Drop { .. })).count(), 3);
        assert!(classes.open("d").is_some_and(|n| n < 3) && classes.list().len() == 4);
    }

    #[test]
    fn places_are_bounded_by_what_is_in_use_however_often_settings_change() {
        let (mut classes, _) = Classes::new(&told(&[("a", Safe, 5)]), &BTreeMap::new(), &BTreeSet::new());
        let mut stored = BTreeSet::from(["a".to_owned()]);
        for n in 0..1_000 {
            for change in classes.retune(&told(&[("a", Safe, 6 + n)]), &BTreeSet::new()) {
                match change {
                    Change::Keep { tag, .. } => drop(stored.insert(tag)),
                    Change::Drop { tag } => assert!(stored.remove(&tag)),
                }
            }
        }
        assert!(classes.list().len() <= 2 && stored.len() == 1, "{stored:?}");
    }

    #[test]
    fn what_the_store_holds_is_found_again_by_name_and_definition() {
        let old = told(&[("a", Safe, 5), ("gone", Safe, 7), ("unused", Safe, 8)]);
        let mut stored: BTreeMap<String, Class> = old.into_iter().collect();
        stored.insert("a\u{0}1".into(), class(Unsafe, 5));
        let used = BTreeSet::from(["a", "gone"]);
        let now = told(&[("new", Safe, 1), ("a", Unsafe, 5)]);
        let (classes, changes) = Classes::new(&now, &stored, &used);
        assert_eq!((classes.open("new"), classes.open("a"), classes.tag(1)), (Some(0), Some(1), "a\u{0}1"));
        let place = classes.place("gone").expect("a message has it");
        assert_eq!((classes.open("gone"), classes.list()[place].deadline), (None, 7));
        assert_eq!(classes.list()[classes.place("a").expect("in use")].effect, Safe);
        assert!(changes.contains(&Change::Drop { tag: "unused".into() }));
        assert_eq!(changes.len(), 2, "{changes:?}");
    }
}
