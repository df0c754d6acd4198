//! The table of message classes. A message keeps the class definition with which it arrived, whatever the
//! configuration makes of the class later. This module has no I/O.
//!
//! A definition has a tag, by which the store's records refer to it, and an index, by which the policy does.
//! A class that is changed gets a new tag and a new index. Neither means anything outside of this sender; see
//! `copied_class.rs` for what other senders receive. The old ones are freed once no message uses them
//! and nothing holds them: a request that is being read has no message yet, and keeps a [`ClassHold`].

use crate::holds::{Hold, Holds};
use notchpoint_policy::{Class, Effect};
use std::collections::{BTreeMap, BTreeSet};

/// Separates the name of a class from its version in a tag. It cannot occur in the path of a request.
pub(super) const VERSION_SEPARATOR: char = '\0';

/// A change of the definitions that the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClassChange {
    Put { tag: String, text: String },
    Delete { tag: String },
}

/// The limit of definitions, beyond which none of other senders is added.
const MAX_DEFINITIONS: usize = 256;

#[derive(Clone, Debug)]
struct Entry {
    /// Empty if the entry is free.
    tag: String,
    class: Class,
    /// Whether the configuration has this definition.
    is_current: bool,
}

/// Keeps the index and the tag of a class definition in use until it is dropped.
pub type ClassHold = Hold<usize>;

/// The definitions that the configuration has or messages use, by index.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    entries: Vec<Entry>,
    /// The indexes that are in use besides those of messages. Clones of the table share them.
    holds: Holds<usize>,
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

    /// Adopts the classes of a new configuration. `in_use` has the indexes that messages use; those that are
    /// held are kept as well. Returns the changes to make in the store.
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
            let is_used = entry.is_current || in_use.contains(&n) || self.holds.is_held(n);
            if !is_used && !entry.tag.is_empty() {
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

    /// Holds the class that clients may use under this name, so that it stays the same definition whatever a
    /// new configuration makes of the class.
    pub fn hold_current(&self, name: &str) -> Option<ClassHold> {
        self.current_index(name).map(|index| self.holds.hold(index))
    }

    /// Holds all definitions that the table has.
    pub fn hold_all(&self) -> Vec<ClassHold> {
        let used = self.entries.iter().enumerate().filter(|(_, e)| !e.tag.is_empty());
        used.map(|(index, _)| self.holds.hold(index)).collect()
    }

    /// Returns the definition with this tag.
    pub fn definition(&self, tag: &str) -> Option<&Class> {
        self.index_of(tag).and_then(|n| self.entries.get(n)).map(|e| &e.class)
    }

    /// Returns the definition that is most like that of an unknown class with this name: one of the same
    /// name, if possible with this effect and one that clients may use, or else the one with the latest
    /// deadline.
    pub fn similar_definition(&self, name: &str, effect: Effect) -> Option<&Class> {
        let used = self.entries.iter().filter(|e| !e.tag.is_empty());
        let rank =
            |e: &&Entry| (tag_name(&e.tag) == name, e.class.effect == effect, e.is_current, e.class.deadline);
        used.max_by_key(rank).map(|e| &e.class)
    }

    /// Returns the tag of a definition under this name. If the table does not have it, returns also the
    /// change to make in the store, before [`Self::add`]; `None` if there are too many definitions.
    pub fn tag_of(&self, name: &str, class: &Class) -> Option<(String, Option<ClassChange>)> {
        let text = definition_text(class);
        let is_same = |e: &&Entry| tag_name(&e.tag) == name && definition_text(&e.class) == text;
        if let Some(entry) = self.entries.iter().find(is_same) {
            return Some((entry.tag.clone(), None));
        }
        let tag = free_tag(name, |tag| self.index_of(tag).is_some());
        let change = ClassChange::Put { tag: tag.clone(), text };
        (self.entries.len() < MAX_DEFINITIONS).then_some((tag, Some(change)))
    }

    /// Adds a definition of another sender. Clients cannot use it.
    pub fn add(&mut self, tag: &str, class: Class) {
        self.entries.push(Entry { tag: tag.to_owned(), class, is_current: false });
    }

    /// Returns the index of the definition with the tag of a stored record.
    pub fn index_of(&self, tag: &str) -> Option<usize> {
        self.entries.iter().position(|e| e.tag == tag && !tag.is_empty())
    }

    /// Returns the tag of the definition at this index.
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
        Self { entries: entries.iter().map(entry).collect(), holds: Holds::default() }
    }

    /// Returns the definitions by index, for the policy.
    pub fn definitions(&self) -> Vec<Class> {
        self.entries.iter().map(|e| e.class.clone()).collect()
    }
}

fn free_tag(name: &str, is_taken: impl Fn(&str) -> bool) -> String {
    let tags = (1..).map(|n: u32| format!("{name}{VERSION_SEPARATOR}{n}"));
    std::iter::once(name.to_owned()).chain(tags).find(|tag| !is_taken(tag)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
