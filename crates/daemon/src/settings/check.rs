//! Finds all errors of a configuration at once, by key, for those who write one by hand. The sender itself
//! stops at the first error ([`crate::settings::config::read`]).

use serde_json::Value;
use std::net::SocketAddr;

/// The kind of value that a key has.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Text,
    Flag,
    Address,
    /// Hexadecimal digits or a whole number.
    Seed,
    /// A number within these bounds.
    Number(f64, f64),
    /// A whole number within these bounds.
    Whole(u64, u64),
    OneOf(&'static [&'static str]),
    List,
    Object,
}

use Kind::{Address, Flag, List, Number, Object, OneOf, Seed, Text, Whole};

/// Whether a key is required.
const REQUIRED: bool = true;
const OPTIONAL: bool = false;
/// The longest duration in seconds that `config.rs` accepts; it fits a clock in microseconds.
const MAX_SECONDS: f64 = 3.2e9;
const MAX_U32: u64 = u32::MAX as u64;

/// Every key that the sender reads; `[]` stands for each member of a list. Unknown keys are ignored, since
/// later versions of the platform may add some.
const KEYS: &[(&str, Kind, bool)] = &[
    ("name", Text, OPTIONAL),
    ("listen", Address, REQUIRED),
    ("admin_addr", Address, OPTIONAL),
    ("discovery", Address, REQUIRED),
    ("peer_listen", Address, OPTIONAL),
    ("peers", List, OPTIONAL),
    ("peers[]", Address, OPTIONAL),
    ("peers_all", Address, OPTIONAL),
    ("seed", Seed, REQUIRED),
    ("limits", Object, REQUIRED),
    ("limits.sockets", Whole(1, MAX_U32), REQUIRED),
    ("limits.memory_mb", Number(0.0, 1e9), REQUIRED),
    ("limits.disk_mb", Number(0.0, 1e6), REQUIRED),
    ("known", Object, OPTIONAL),
    ("known.revision", Whole(0, u64::MAX), REQUIRED),
    ("known.complete", Flag, OPTIONAL),
    ("known.members", List, OPTIONAL),
    ("known.members[].id", Text, REQUIRED),
    ("known.members[].host_port", Address, REQUIRED),
    ("known.members[].cell", Whole(0, u64::MAX), REQUIRED),
    ("known.members[].phase", OneOf(&["up", "draining", "removed"]), REQUIRED),
    ("known.members[].locality", Text, OPTIONAL),
    ("known.members[].flavor", Text, OPTIONAL),
    ("settings", Object, REQUIRED),
    ("settings.bounds", Object, REQUIRED),
    ("settings.bounds.cancelling", Flag, OPTIONAL),
    ("settings.bounds.connIdleS", Number(0.0, MAX_SECONDS), REQUIRED),
    ("settings.bounds.connectTimeoutS", Number(0.0, MAX_SECONDS), REQUIRED),
    ("settings.bounds.maxAttempts", Whole(1, MAX_U32), REQUIRED),
    ("settings.bounds.maxRetryAfterS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.bounds.mostHeld", Whole(1, MAX_U32), REQUIRED),
    ("settings.bounds.multiplex", Whole(1, MAX_U32), OPTIONAL),
    ("settings.bounds.parallelTries", Flag, OPTIONAL),
    ("settings.bounds.peerMessages", Flag, OPTIONAL),
    ("settings.bounds.retryAfter", Flag, OPTIONAL),
    ("settings.classes", List, REQUIRED),
    ("settings.classes[].name", Text, REQUIRED),
    ("settings.classes[].effect", OneOf(&["idempotent", "deduplicated", "at_most_once"]), REQUIRED),
    ("settings.classes[].group", Text, OPTIONAL),
    ("settings.classes[].memorySpanS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.classes[].sloS", Number(1e-6, MAX_SECONDS), REQUIRED),
    ("settings.classes[].deadlineS", Number(1e-6, MAX_SECONDS), REQUIRED),
    ("settings.classes[].worth", Number(0.0, f64::MAX), OPTIONAL),
    ("settings.classes[].lateShare", Number(0.0, 1.0), OPTIONAL),
    ("settings.clients", Object, OPTIONAL),
    ("settings.clients.marksRetry", Flag, OPTIONAL),
    ("settings.discovery", OneOf(&["push", "ask"]), REQUIRED),
    ("settings.familyInfo", Object, REQUIRED),
    ("settings.familyInfo.slots", Whole(1, MAX_U32), REQUIRED),
    ("settings.familyInfo.bundleMax", List, OPTIONAL),
    ("settings.familyInfo.bundleMax[]", Whole(0, MAX_U32), OPTIONAL),
    ("settings.familyInfo.kindApart", List, OPTIONAL),
    ("settings.familyInfo.kindApart[]", Flag, OPTIONAL),
    ("settings.familyInfo.fades", OneOf(&["even", "by_half"]), OPTIONAL),
    ("settings.kinds", List, OPTIONAL),
    ("settings.kinds[]", Text, OPTIONAL),
    ("settings.locality", Text, OPTIONAL),
    ("settings.me", Whole(0, MAX_U32), OPTIONAL),
    ("settings.overShareWorth", Number(0.0, 1.0), OPTIONAL),
    ("settings.parties", List, OPTIONAL),
    ("settings.parties[].name", Text, REQUIRED),
    ("settings.parties[].allowancePerS", Number(0.0, f64::MAX), OPTIONAL),
    ("settings.safety", Object, OPTIONAL),
    ("settings.safety.startCapacity", Number(0.0, 1.0), OPTIONAL),
    ("settings.safety.coldS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.safety.overloadFactor", Number(0.0, f64::MAX), OPTIONAL),
    ("settings.safety.tipAfterS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.safety.keyRestS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.siblings", Whole(1, MAX_U32), OPTIONAL),
    ("settings.tickS", Number(0.0, MAX_SECONDS), OPTIONAL),
    ("settings.zones", List, OPTIONAL),
    ("settings.zones[]", Text, OPTIONAL),
];

/// Returns all errors in the text of a `config.json`. There are none if the sender would start with it.
pub fn find_errors(text: &str) -> Vec<String> {
    let config: Value = match serde_json::from_str(text) {
        Ok(config) => config,
        Err(e) => return vec![format!("line {}, column {}: {e}", e.line(), e.column())],
    };
    if !config.is_object() {
        return vec!["a configuration is a JSON object".into()];
    }
    let mut errors = Vec::new();
    for &(path, kind, is_required) in KEYS {
        let parts: Vec<&str> = path.split('.').collect();
        check_path(&config, "", &parts, kind, is_required, &mut errors);
    }
    // Errors that no key shows by itself, such as a deadline before the wanted time.
    if errors.is_empty()
        && let Err(e) = crate::settings::config::read(text)
    {
        errors.push(e.to_string());
    }
    errors
}

/// Checks the values under a path. `parent_key` is the key of `parent`, from which the path leads on.
fn check_path(
    parent: &Value,
    parent_key: &str,
    path: &[&str],
    kind: Kind,
    is_required: bool,
    errors: &mut Vec<String>,
) {
    let Some((&part, rest)) = path.split_first() else { return };
    let (name, is_list) = part.strip_suffix("[]").map_or((part, false), |name| (name, true));
    let key = if parent_key.is_empty() { name.to_owned() } else { format!("{parent_key}.{name}") };
    let found = match parent.get(name) {
        Some(found) if !found.is_null() => found,
        // If the object or list itself is missing, its own entry in the table reports that.
        _ if rest.is_empty() && !is_list && is_required => return errors.push(format!("{key}: is missing")),
        _ => return,
    };
    if !is_list {
        return if rest.is_empty() {
            check_value(found, &key, kind, errors)
        } else {
            check_path(found, &key, rest, kind, is_required, errors)
        };
    }
    for (n, member) in found.as_array().into_iter().flatten().enumerate() {
        let key = format!("{key}[{n}]");
        if rest.is_empty() {
            check_value(member, &key, kind, errors);
        } else {
            check_path(member, &key, rest, kind, is_required, errors);
        }
    }
}

fn check_value(found: &Value, key: &str, kind: Kind, errors: &mut Vec<String>) {
    let number = found.as_f64();
    let whole = found.as_u64();
    let text = found.as_str();
    let (is_valid, expected) = match kind {
        Text => (text.is_some(), "a text".to_owned()),
        Flag => (found.is_boolean(), "true or false".to_owned()),
        List => (found.is_array(), "a list".to_owned()),
        Object => (found.is_object(), "an object".to_owned()),
        Address => {
            let is_valid = text.is_some_and(|t| t.parse::<SocketAddr>().is_ok());
            (is_valid, "an address with its port, such as \"10.0.0.4:8081\"".to_owned())
        }
        Seed => {
            let hex = text.is_some_and(|t| u64::from_str_radix(t, 16).is_ok());
            (hex || whole.is_some(), "up to 16 hex digits, or a whole number".to_owned())
        }
        Number(min, max) => {
            let expected = if max >= 1e12 {
                format!("a number, {min} or more")
            } else {
                format!("a number within {min} to {max}")
            };
            (number.is_some_and(|x| (min..=max).contains(&x)), expected)
        }
        Whole(min, max) => {
            let is_valid = whole.is_some_and(|x| (min..=max).contains(&x));
            (is_valid, format!("a whole number within {min} to {max}"))
        }
        OneOf(words) => (text.is_some_and(|t| words.contains(&t)), format!("one of {}", words.join(", "))),
    };
    if !is_valid {
        errors.push(format!("{key}: {found} is not {expected}"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::config::tests::TEXT;

    #[test]
    fn all_errors_are_reported_at_once_by_key() {
        assert!(find_errors(TEXT).is_empty(), "{:?}", find_errors(TEXT));
        let text = TEXT
            .replace("\"slots\":7", "\"slots\":0")
            .replace("127.0.0.1:4", "nowhere")
            .replace("at_most_once", "odd")
            .replace("\"mostHeld\":230,", "")
            .replace("\"lateShare\":0.3", "\"lateShare\":1.5");
        let errors = find_errors(&text);
        for key in [
            "settings.familyInfo.slots: 0 is not",
            "known.members[0].host_port: \"nowhere\" is not",
            "settings.classes[1].effect: \"odd\" is not one of",
            "settings.bounds.mostHeld: is missing",
            "settings.classes[1].lateShare: 1.5 is not",
        ] {
            assert!(errors.iter().any(|e| e.starts_with(key)), "{key}: {errors:?}");
        }
        assert_eq!(errors.len(), 5, "{errors:?}");
    }

    #[test]
    fn a_configuration_that_the_sender_rejects_has_an_error() {
        // Also if no key by itself shows the error.
        for (from, to) in
            [("\"sloS\":1.0", "\"sloS\":9.0"), ("{\"name\"", "[\"name\""), ("\"classes\"", "\"klasses\"")]
        {
            let text = TEXT.replacen(from, to, 1);
            assert!(crate::settings::config::read(&text).is_err(), "{to}");
            assert!(!find_errors(&text).is_empty(), "{to}");
        }
        assert!(
            find_errors("{\n  \"name\": }")[0].starts_with("line 2, column 11"),
            "{:?}",
            find_errors("{\n  \"name\": }")
        );
        assert_eq!(find_errors("[]"), ["a configuration is a JSON object"]);
        assert!(find_errors("{}").iter().any(|e| e == "settings: is missing"));
    }
}
