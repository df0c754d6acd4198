//! The settings in force, as far as they may change while the process runs, and what a new configuration
//! makes of them. Free of I/O.

use crate::settings::classes::{ClassChange, ClassTable};
use crate::settings::config::{Config, Names};
use notchpoint_policy::{Class, Effect, Settings};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub struct ActiveSettings {
    /// With all classes that messages use, by place.
    pub settings: Settings,
    pub classes: ClassTable,
    /// Those of classes are the configuration's; the rest does not change.
    pub names: Names,
}

fn told(config: &Config) -> Vec<(String, Class)> {
    let classes = config.settings.classes.iter().cloned();
    config.names.classes.iter().cloned().zip(classes).collect()
}

impl ActiveSettings {
    /// Whether messages of the class with this tag must not be repeated, as far as is known.
    pub fn is_unsafe_to_repeat(&self, tag: &str) -> bool {
        let class = self.classes.index_of(tag).and_then(|n| self.settings.classes.get(n));
        class.is_none_or(|c| c.effect != Effect::Idempotent)
    }

    /// Those of a process that starts; `stored` are the classes that the store knows by tag, `used` the tags
    /// of its messages.
    pub fn new(
        config: &Config,
        stored: &BTreeMap<String, Class>,
        used: &BTreeSet<&str>,
    ) -> (Self, Vec<ClassChange>) {
        let (classes, changes) = ClassTable::new(&told(config), stored, used);
        let set = Settings { classes: classes.definitions(), ..config.settings.clone() };
        (Self { settings: set, classes, names: config.names.clone() }, changes)
    }

    /// Those of another process that this one takes over from.
    pub fn from_predecessor(config: &Config, set: &Settings, places: &[(String, Class, bool)]) -> Self {
        Self { settings: set.clone(), classes: ClassTable::from_entries(places), names: config.names.clone() }
    }

    /// What a new configuration makes of them, what the store is to hold, and which keys of it have to wait
    /// for the next start. Nothing is changed: that is done once the store has it.
    pub fn reconfigured(
        &self,
        config: &Config,
        in_use: &BTreeSet<usize>,
    ) -> (Self, Vec<ClassChange>, Vec<&'static str>) {
        let (old, new) = (&self.settings, &config.settings);
        let mut classes = self.classes.clone();
        let changes = classes.reconfigure(&told(config), in_use);
        let tenants = config.names.tenants == self.names.tenants;
        let set = Settings {
            classes: classes.definitions(),
            max_held: new.max_held,
            max_attempts: new.max_attempts,
            max_retry_after: new.max_retry_after,
            over_share_worth: new.over_share_worth,
            tenant_allowances: if tenants {
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
        let waits = [
            ("settings.parties", tenants),
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
        let waits = waits.into_iter().filter(|w| !w.1).map(|w| w.0).collect();
        (Self { settings: set, classes, names: self.names.clone() }, changes, waits)
    }
}

/// Reads a file that is to take the place of the configuration whose text is in force.
///
/// # Errors
/// All that is wrong with it, by key.
pub fn read_replacement(text: &str, in_force: &str) -> Result<Config, Vec<String>> {
    let mut wrong = crate::settings::check::find_errors(text);
    if let (Ok(old), Ok(new)) = (serde_json::from_str(in_force), serde_json::from_str(text)) {
        lacks(&old, &new, "", &mut wrong);
    }
    if !wrong.is_empty() {
        return Err(wrong);
    }
    crate::settings::config::read(text).map_err(|e| vec![e.to_string()])
}

/// The keys of objects that the one has and the other lacks. Members of lists are no keys; of their own keys
/// those count that all old members have.
fn lacks(old: &Value, new: &Value, at: &str, wrong: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, was) in old {
                let key_at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                // The list comes and goes with discovery's own.
                if key_at == "known" {
                    continue;
                }
                match new.get(key) {
                    Some(is) => lacks(was, is, &key_at, wrong),
                    None => {
                        let line = format!("{key_at}: is missing");
                        if !wrong.contains(&line) {
                            wrong.push(line + ", and the settings in force have it");
                        }
                    }
                }
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some((first, rest)) = old.split_first() else { return };
            let Value::Object(first) = first else { return };
            let all = |key: &&String| rest.iter().all(|m| m.get(key.as_str()).is_some());
            for key in first.keys().filter(all) {
                for (n, _) in new.iter().enumerate().filter(|(_, m)| m.get(key.as_str()).is_none()) {
                    let line = format!("{at}[{n}].{key}: is missing");
                    if !wrong.contains(&line) {
                        wrong.push(line + ", and the settings in force have it");
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
    fn a_file_is_taken_whole_or_turned_down_whole_with_every_mistake_by_key() {
        assert!(read_replacement(TEXT, TEXT).is_ok());
        for (from, to, said) in [
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
            let wrong = read_replacement(&text, TEXT).expect_err(to);
            assert!(wrong.iter().any(|w| w.starts_with(said)), "{to}: {wrong:?}");
        }
        let two =
            TEXT.replace("\"maxAttempts\":8", "\"maxAttempts\":0").replace("\"sloS\":2.0", "\"sloS\":0");
        assert_eq!(read_replacement(&two, TEXT).expect_err("two mistakes").len(), 2);
    }

    #[test]
    fn a_file_that_is_cut_at_any_byte_is_turned_down() {
        for cut in 0..TEXT.len() {
            assert!(read_replacement(&TEXT[..cut], TEXT).is_err(), "cut at byte {cut}");
        }
    }

    #[test]
    fn what_has_to_wait_for_the_next_start_is_named_and_left() {
        let config = |text: &str| crate::settings::config::read(text).expect("sound");
        let (terms, kept) = ActiveSettings::new(&config(TEXT), &BTreeMap::new(), &BTreeSet::new());
        assert_eq!(kept.len(), 2);
        let text = TEXT
            .replace("\"slots\":7", "\"slots\":9")
            .replace("\"maxAttempts\":8", "\"maxAttempts\":2")
            .replace("acme", "zenith")
            .replace("\"name\":\"update\"", "\"name\":\"refresh\"");
        let (new, changes, waits) = terms.reconfigured(&config(&text), &BTreeSet::from([0]));
        assert_eq!(waits, ["settings.parties", "settings.familyInfo.slots"]);
        assert_eq!((new.settings.slots, new.settings.max_attempts), (7, 2));
        assert_eq!(
            (new.classes.current_index("refresh"), new.classes.current_index("update")),
            (Some(2), None)
        );
        assert_eq!((changes.len(), new.settings.classes.len()), (1, 3));
    }
}
