//! The settings that may change while the process runs, and how a new configuration changes them. This module
//! has no I/O.

use crate::settings::classes::{ClassChange, ClassTable};
use crate::settings::config::{Config, Names};
use crate::settings::copied_class::CopiedClass;
use notchpoint_policy::{Class, Effect, Settings};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The settings in force.
#[derive(Debug)]
pub struct ActiveSettings {
    /// The settings of the policy, with all classes that messages use, by index.
    pub settings: Settings,
    pub classes: ClassTable,
    /// The names of tenants, kinds and zones, which do not change while the process runs. The names of
    /// classes are those of the configuration at the start; [`Self::classes`] has the current ones.
    pub names: Names,
}

/// A class of another sender, for a message that is taken over.
#[derive(Clone, Debug)]
pub struct AddedClass {
    tag: String,
    class: Class,
    /// The change to make in the store first.
    pub change: ClassChange,
}

fn configured_classes(config: &Config) -> Vec<(String, Class)> {
    let classes = config.settings.classes.iter().cloned();
    config.names.classes.iter().cloned().zip(classes).collect()
}

impl ActiveSettings {
    /// Returns whether replication treats the class with this tag as at-most-once: it records which messages
    /// were acknowledged, and each attempt needs the replicas' consent. Deduplicated classes count too, since
    /// their repeats are dropped only for a time and only by some endpoints; so does an unknown class.
    pub fn counts_as_at_most_once(&self, tag: &str) -> bool {
        let class = self.classes.index_of(tag).and_then(|n| self.settings.classes.get(n));
        class.is_none_or(|c| c.effect != Effect::Idempotent)
    }

    /// Finds the class of a message that is taken over. Returns its tag here, and the change to make in the
    /// store before the definition is added with [`Self::add_class`]; `None` if the message cannot have a
    /// class here.
    pub fn class_of_copy(
        &self,
        description: &str,
        at_most_once: bool,
    ) -> Option<(String, Option<AddedClass>)> {
        let copied = CopiedClass::read(description, at_most_once);
        let class = copied.definition(&self.classes)?;
        let (tag, change) = self.classes.tag_of(copied.name, &class)?;
        let Some(change) = change else { return Some((tag, None)) };
        let settings = Settings { classes: vec![class.clone()], ..self.settings.clone() };
        settings.check().ok()?;
        Some((tag.clone(), Some(AddedClass { tag, class, change })))
    }

    /// Adds the definition of a class of another sender.
    pub fn add_class(&mut self, added: AddedClass) {
        self.classes.add(&added.tag, added.class);
        self.settings.classes = self.classes.definitions();
    }

    /// Creates the settings of a process that starts. `stored` has the class definitions in the store by tag,
    /// `used` the tags that its messages use. Returns also the changes to make in the store.
    pub fn new(
        config: &Config,
        stored: &BTreeMap<String, Class>,
        used: &BTreeSet<&str>,
    ) -> (Self, Vec<ClassChange>) {
        let (classes, changes) = ClassTable::new(&configured_classes(config), stored, used);
        let settings = Settings { classes: classes.definitions(), ..config.settings.clone() };
        (Self { settings, classes, names: config.names.clone() }, changes)
    }

    /// Creates the settings of a process that takes over from a predecessor, with the predecessor's settings
    /// and class table.
    pub fn from_predecessor(config: &Config, settings: &Settings, entries: &[(String, Class, bool)]) -> Self {
        let classes = ClassTable::from_entries(entries);
        // The policy may not have received the latest definition yet.
        let settings = Settings { classes: classes.definitions(), ..settings.clone() };
        Self { settings, classes, names: config.names.clone() }
    }

    /// Returns the settings under a new configuration, the changes to make in the store, and the changed keys
    /// that take effect only at the next start. Nothing is changed here: the caller adopts the new settings
    /// once the store has the changes.
    pub fn reconfigured(
        &self,
        config: &Config,
        in_use: &BTreeSet<usize>,
    ) -> (Self, Vec<ClassChange>, Vec<&'static str>) {
        let (old, new) = (&self.settings, &config.settings);
        let mut classes = self.classes.clone();
        let changes = classes.reconfigure(&configured_classes(config), in_use);
        let same_tenants = config.names.tenants == self.names.tenants;
        let settings = Settings {
            classes: classes.definitions(),
            max_held: new.max_held,
            max_attempts: new.max_attempts,
            max_retry_after: new.max_retry_after,
            over_share_worth: new.over_share_worth,
            tenant_allowances: if same_tenants {
                new.tenant_allowances.clone()
            } else {
                old.tenant_allowances.clone()
            },
            worth_decay: new.worth_decay,
            clients_mark_retries: new.clients_mark_retries,
            start_capacity: new.start_capacity,
            warm_up: new.warm_up,
            overload_factor: new.overload_factor,
            overload_after: new.overload_after,
            key_rest: new.key_rest,
            ..old.clone()
        };
        let unchanged = [
            ("settings.parties", same_tenants),
            ("settings.kinds", config.names.kinds == self.names.kinds && new.kinds == old.kinds),
            ("settings.zones", config.names.zones == self.names.zones && new.zone == old.zone),
            ("settings.familyInfo.slots", new.slots == old.slots),
            ("settings.siblings", new.senders == old.senders),
            ("settings.tickS", new.tick == old.tick),
            ("settings.discovery", new.list == old.list),
            ("settings.bounds.connIdleS", new.conn_idle == old.conn_idle),
            ("settings.bounds.connectTimeoutS", new.connect_timeout == old.connect_timeout),
            ("settings.bounds.multiplex", new.multiplex == old.multiplex),
            ("settings.bounds.cancelling", new.may_cancel == old.may_cancel),
            ("settings.bounds.parallelTries", new.parallel_attempts == old.parallel_attempts),
            ("settings.bounds.peerMessages", new.may_send_notes == old.may_send_notes),
        ];
        let needs_restart = unchanged.into_iter().filter(|u| !u.1).map(|u| u.0).collect();
        (Self { settings, classes, names: self.names.clone() }, changes, needs_restart)
    }
}

/// Reads the text of a configuration that is to replace the one in force.
///
/// # Errors
/// Returns all errors of the text, by key.
pub fn read_replacement(text: &str, in_force: &str) -> Result<Config, Vec<String>> {
    let mut errors = crate::settings::check::find_errors(text);
    if let (Ok(old), Ok(new)) = (serde_json::from_str(in_force), serde_json::from_str(text)) {
        find_missing_keys(&old, &new, "", &mut errors);
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    crate::settings::config::read(text).map_err(|e| vec![e.to_string()])
}

/// Finds the keys of objects that the old configuration has and the new one lacks. Members of lists may come
/// and go; each of them must have the keys that all old members have.
fn find_missing_keys(old: &Value, new: &Value, path: &str, errors: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, old_value) in old {
                let key_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                // The list of endpoints is optional, since discovery sends it too.
                if key_path == "known" {
                    continue;
                }
                match new.get(key) {
                    Some(new_value) => find_missing_keys(old_value, new_value, &key_path, errors),
                    None => {
                        let line = format!("{key_path}: is missing");
                        if !errors.contains(&line) {
                            errors.push(line + ", and the settings in force have it");
                        }
                    }
                }
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some((first, rest)) = old.split_first() else { return };
            let Value::Object(first) = first else { return };
            let is_in_all = |key: &&String| rest.iter().all(|m| m.get(key.as_str()).is_some());
            for key in first.keys().filter(is_in_all) {
                for (n, _) in new.iter().enumerate().filter(|(_, m)| m.get(key.as_str()).is_none()) {
                    let line = format!("{path}[{n}].{key}: is missing");
                    if !errors.contains(&line) {
                        errors.push(line + ", and the settings in force have it");
                    }
                }
            }
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::config::tests::TEXT;

    #[test]
    fn a_configuration_is_adopted_whole_or_rejected_whole_with_every_error_by_key() {
        assert!(read_replacement(TEXT, TEXT).is_ok());
        for (from, to, expected) in [
            ("\"maxAttempts\":8", "\"maxAttempts\":0", "settings.bounds.maxAttempts"),
            ("\"maxAttempts\":8", "\"maxAttempts\":-3", "settings.bounds.maxAttempts"),
            ("\"maxAttempts\":8", "\"maxAttempts\":\"8\"", "settings.bounds.maxAttempts"),
            ("\"maxAttempts\":8", "\"maxAttempts\":1e30", "settings.bounds.maxAttempts"),
            ("\"maxAttempts\":8", "\"maxAttempts\":null", "settings.bounds.maxAttempts"),
            ("\"deadlineS\":6.0", "\"deadlineS\":0", "settings.classes[0].deadlineS"),
            ("\"deadlineS\":6.0", "\"deadlineS\":-5", "settings.classes[0].deadlineS"),
            ("\"deadlineS\":24.0", "\"deadlineS\":\"soon\"", "settings.classes[1].deadlineS"),
            ("\"deadlineS\":24.0", "\"deadlineS\":1e300", "settings.classes[1].deadlineS"),
            ("\"deadlineS\":24.0,", "", "settings.classes[1].deadlineS: is missing"),
            ("\"cancelling\":true,", "", "settings.bounds.cancelling: is missing"),
            (
                "\"parties\":[{\"allowancePerS\":24.0,\"name\":\"acme\",\"share\":1.0}],",
                "",
                "settings.parties",
            ),
            ("\"novel\":1,", "", "novel: is missing"),
        ] {
            let text = TEXT.replace(from, to);
            assert_ne!(text, TEXT, "{from}");
            let errors = read_replacement(&text, TEXT).expect_err(to);
            assert!(errors.iter().any(|e| e.starts_with(expected)), "{to}: {errors:?}");
        }
        let two =
            TEXT.replace("\"maxAttempts\":8", "\"maxAttempts\":0").replace("\"sloS\":2.0", "\"sloS\":0");
        assert_eq!(read_replacement(&two, TEXT).expect_err("two errors").len(), 2);
    }

    #[test]
    fn a_configuration_truncated_at_any_byte_is_rejected() {
        for len in 0..TEXT.len() {
            assert!(read_replacement(&TEXT[..len], TEXT).is_err(), "truncated to {len} bytes");
        }
    }

    #[test]
    fn changes_that_need_a_restart_are_named_and_not_adopted() {
        let config = |text: &str| crate::settings::config::read(text).expect("a valid configuration");
        let (active, changes) = ActiveSettings::new(&config(TEXT), &BTreeMap::new(), &BTreeSet::new());
        assert_eq!(changes.len(), 2);
        let text = TEXT
            .replace("\"slots\":7", "\"slots\":9")
            .replace("\"maxAttempts\":8", "\"maxAttempts\":2")
            .replace("acme", "zenith")
            .replace("\"name\":\"update\"", "\"name\":\"refresh\"");
        let (new, changes, needs_restart) = active.reconfigured(&config(&text), &BTreeSet::from([0]));
        assert_eq!(needs_restart, ["settings.parties", "settings.familyInfo.slots"]);
        assert_eq!((new.settings.slots, new.settings.max_attempts), (7, 2));
        assert_eq!(
            (new.classes.current_index("refresh"), new.classes.current_index("update")),
            (Some(2), None)
        );
        assert_eq!((changes.len(), new.settings.classes.len()), (1, 3));
    }
}
