//! How a copy describes the class of its message, so that another sender can take the message over. Tags and
//! indexes mean something within one sender only: senders may have different configurations in force, and
//! those with the same one may have assigned their tags differently. This module has no I/O.
//!
//! A message that must not be repeated at will is described by the name of its class and the definition. For
//! one that may be repeated the name is enough, together with the copy's own mark that it may be. Copies of
//! earlier builds have a tag in place of the name; without a definition only the mark counts.

use crate::settings::classes::{ClassTable, VERSION_SEPARATOR, definition_text, tag_name};
use notchpoint_policy::{Class, Effect};

/// The class of a message that this sender takes over.
#[derive(Clone, Debug, PartialEq)]
pub struct CopiedClass<'a> {
    /// The name of the class.
    pub name: &'a str,
    /// The definition, if the copy has it.
    pub definition: Option<Class>,
    /// Whether the message may be repeated at will.
    pub is_idempotent: bool,
}

/// Returns the description of the class with this tag for copies; the tag itself if the class is unknown.
pub fn describe(classes: &ClassTable, tag: &str) -> String {
    let name = tag_name(tag);
    match classes.definition(tag) {
        None => tag.to_owned(),
        Some(class) if class.effect == Effect::Idempotent => name.to_owned(),
        Some(class) => format!("{name}{VERSION_SEPARATOR}{}", definition_text(class)),
    }
}

impl<'a> CopiedClass<'a> {
    /// Reads the description of a class in a copy. `at_most_once` is the mark of the copy.
    pub fn read(description: &'a str, at_most_once: bool) -> Self {
        let definition = description
            .split_once(VERSION_SEPARATOR)
            .and_then(|(_, text)| serde_json::from_str::<Class>(text).ok())
            .filter(|class| (class.effect != Effect::Idempotent) == at_most_once);
        Self { name: tag_name(description), definition, is_idempotent: !at_most_once }
    }

    /// Returns the definition that the message has here: that of the copy, or else that of a similar class
    /// with the only effect that is safe. `None` if there is no class at all.
    pub fn definition(&self, classes: &ClassTable) -> Option<Class> {
        if self.definition.is_some() {
            return self.definition.clone();
        }
        let effect = if self.is_idempotent { Effect::Idempotent } else { Effect::AtMostOnce };
        classes.similar_definition(self.name, effect).map(|similar| Class { effect, ..similar.clone() })
    }
}

#[cfg(test)]
mod tests;
