//! Says every mistake in a configuration at once, by key. The sender itself stops at the first
//! ([`crate::settings::config::read`]); whoever writes one by hand wants to know all of them.

use serde_json::Value;
use std::net::SocketAddr;

/// What a key may hold.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Text,
    Flag,
    Address,
    /// Hex digits or a whole number.
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

/// Must it be there?
const MUST: bool = true;
const MAY: bool = false;
/// Seconds that a clock in microseconds bears, see `config.rs`.
const LONG: f64 = 3.2e9;
const MANY: u64 = u32::MAX as u64;

/// Every key that the sender reads; `[]` stands for each member of a list. Others are passed over, since
/// settings may gain some.
const KEYS: &[(&str, Kind, bool)] = &[
    ("name", Text, MAY),
    ("listen", Address, MUST),
    ("admin_addr", Address, MAY),
    ("discovery", Address, MUST),
    ("peer_listen", Address, MAY),
    ("peers", List, MAY),
    ("peers[]", Address, MAY),
    ("peers_all", Address, MAY),
    ("seed", Seed, MUST),
    ("limits", Object, MUST),
    ("limits.sockets", Whole(1, MANY), MUST),
    ("limits.memory_mb", Number(0.0, 1e9), MUST),
    ("limits.disk_mb", Number(0.0, 1e6), MUST),
    ("known", Object, MAY),
    ("known.revision", Whole(0, u64::MAX), MUST),
    ("known.complete", Flag, MAY),
    ("known.members", List, MAY),
    ("known.members[].id", Text, MUST),
    ("known.members[].host_port", Address, MUST),
    ("known.members[].cell", Whole(0, u64::MAX), MUST),
    ("known.members[].phase", OneOf(&["up", "draining", "removed"]), MUST),
    ("known.members[].locality", Text, MAY),
    ("known.members[].flavor", Text, MAY),
    ("settings", Object, MUST),
    ("settings.bounds", Object, MUST),
    ("settings.bounds.cancelling", Flag, MAY),
    ("settings.bounds.connIdleS", Number(0.0, LONG), MUST),
    ("settings.bounds.connectTimeoutS", Number(0.0, LONG), MUST),
    ("settings.bounds.maxAttempts", Whole(1, MANY), MUST),
    ("settings.bounds.maxRetryAfterS", Number(0.0, LONG), MAY),
    ("settings.bounds.mostHeld", Whole(1, MANY), MUST),
    ("settings.bounds.multiplex", Whole(1, MANY), MAY),
    ("settings.bounds.parallelTries", Flag, MAY),
    ("settings.bounds.peerMessages", Flag, MAY),
    ("settings.bounds.retryAfter", Flag, MAY),
    ("settings.classes", List, MUST),
    ("settings.classes[].name", Text, MUST),
    ("settings.classes[].effect", OneOf(&["idempotent", "deduplicated", "at_most_once"]), MUST),
    ("settings.classes[].group", Text, MAY),
    ("settings.classes[].memorySpanS", Number(0.0, LONG), MAY),
    ("settings.classes[].sloS", Number(1e-6, LONG), MUST),
    ("settings.classes[].deadlineS", Number(1e-6, LONG), MUST),
    ("settings.classes[].worth", Number(0.0, f64::MAX), MAY),
    ("settings.classes[].lateShare", Number(0.0, 1.0), MAY),
    ("settings.clients", Object, MAY),
    ("settings.clients.marksRetry", Flag, MAY),
    ("settings.discovery", OneOf(&["push", "ask"]), MUST),
    ("settings.familyInfo", Object, MUST),
    ("settings.familyInfo.slots", Whole(1, MANY), MUST),
    ("settings.familyInfo.bundleMax", List, MAY),
    ("settings.familyInfo.bundleMax[]", Whole(0, MANY), MAY),
    ("settings.familyInfo.kindApart", List, MAY),
    ("settings.familyInfo.kindApart[]", Flag, MAY),
    ("settings.familyInfo.fades", OneOf(&["even", "by_half"]), MAY),
    ("settings.kinds", List, MAY),
    ("settings.kinds[]", Text, MAY),
    ("settings.locality", Text, MAY),
    ("settings.me", Whole(0, MANY), MAY),
    ("settings.overShareWorth", Number(0.0, 1.0), MAY),
    ("settings.parties", List, MAY),
    ("settings.parties[].name", Text, MUST),
    ("settings.parties[].allowancePerS", Number(0.0, f64::MAX), MAY),
    ("settings.safety", Object, MAY),
    ("settings.safety.startCapacity", Number(0.0, 1.0), MAY),
    ("settings.safety.coldS", Number(0.0, LONG), MAY),
    ("settings.safety.overloadFactor", Number(0.0, f64::MAX), MAY),
    ("settings.safety.tipAfterS", Number(0.0, LONG), MAY),
    ("settings.safety.keyRestS", Number(0.0, LONG), MAY),
    ("settings.siblings", Whole(1, MANY), MAY),
    ("settings.tickS", Number(0.0, LONG), MAY),
    ("settings.zones", List, MAY),
    ("settings.zones[]", Text, MAY),
];

/// All that is wrong with the text of a `config.json`; nothing where the sender would start with it.
pub fn find_errors(text: &str) -> Vec<String> {
    let config: Value = match serde_json::from_str(text) {
        Ok(config) => config,
        Err(e) => return vec![format!("line {}, column {}: {e}", e.line(), e.column())],
    };
    if !config.is_object() {
        return vec!["a configuration is a JSON object".into()];
    }
    let mut wrong = Vec::new();
    for &(path, kind, must) in KEYS {
        let parts: Vec<&str> = path.split('.').collect();
        look(&config, "", &parts, kind, must, &mut wrong);
    }
    // What no key shows by itself, such as a deadline before the wanted time.
    if wrong.is_empty()
        && let Err(e) = crate::settings::config::read(text)
    {
        wrong.push(e.to_string());
    }
    wrong
}

fn look(at: &Value, so_far: &str, path: &[&str], kind: Kind, must: bool, wrong: &mut Vec<String>) {
    let Some((&part, rest)) = path.split_first() else { return };
    let (name, each) = part.strip_suffix("[]").map_or((part, false), |name| (name, true));
    let key = if so_far.is_empty() { name.to_owned() } else { format!("{so_far}.{name}") };
    let found = match at.get(name) {
        Some(found) if !found.is_null() => found,
        // Where the object or list itself is missing, its own line says so.
        _ if rest.is_empty() && !each && must => return wrong.push(format!("{key}: is missing")),
        _ => return,
    };
    if !each {
        return if rest.is_empty() {
            value(found, &key, kind, wrong)
        } else {
            look(found, &key, rest, kind, must, wrong)
        };
    }
    for (n, member) in found.as_array().into_iter().flatten().enumerate() {
        let key = format!("{key}[{n}]");
        if rest.is_empty() {
            value(member, &key, kind, wrong);
        } else {
            look(member, &key, rest, kind, must, wrong);
        }
    }
}

fn value(found: &Value, key: &str, kind: Kind, wrong: &mut Vec<String>) {
    let number = found.as_f64();
    let whole = found.as_u64();
    let text = found.as_str();
    let (fits, wanted) = match kind {
        Text => (text.is_some(), "a text".to_owned()),
        Flag => (found.is_boolean(), "true or false".to_owned()),
        List => (found.is_array(), "a list".to_owned()),
        Object => (found.is_object(), "an object".to_owned()),
        Address => {
            let fits = text.is_some_and(|t| t.parse::<SocketAddr>().is_ok());
            (fits, "an address with its port, such as \"10.0.0.4:8081\"".to_owned())
        }
        Seed => {
            let hex = text.is_some_and(|t| u64::from_str_radix(t, 16).is_ok());
            (hex || whole.is_some(), "up to 16 hex digits, or a whole number".to_owned())
        }
        Number(least, most) => {
            let wanted = if most >= 1e12 {
                format!("a number, {least} or more")
            } else {
                format!("a number within {least} to {most}")
            };
            (number.is_some_and(|x| (least..=most).contains(&x)), wanted)
        }
        Whole(least, most) => {
            let fits = whole.is_some_and(|x| (least..=most).contains(&x));
            (fits, format!("a whole number within {least} to {most}"))
        }
        OneOf(words) => (text.is_some_and(|t| words.contains(&t)), format!("one of {}", words.join(", "))),
    };
    if !fits {
        wrong.push(format!("{key}: {found} is not {wanted}"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::config::tests::TEXT;

    #[test]
    fn every_mistake_is_said_at_once_by_its_key() {
        assert!(find_errors(TEXT).is_empty(), "{:?}", find_errors(TEXT));
        let text = TEXT
            .replace("\"slots\":7", "\"slots\":0")
            .replace("127.0.0.1:4", "nowhere")
            .replace("at_most_once", "odd")
            .replace("\"mostHeld\":230,", "")
            .replace("\"lateShare\":0.3", "\"lateShare\":1.5");
        let wrong = find_errors(&text);
        for key in [
            "settings.familyInfo.slots: 0 is not",
            "known.members[0].host_port: \"nowhere\" is not",
            "settings.classes[1].effect: \"odd\" is not one of",
            "settings.bounds.mostHeld: is missing",
            "settings.classes[1].lateShare: 1.5 is not",
        ] {
            assert!(wrong.iter().any(|w| w.starts_with(key)), "{key}: {wrong:?}");
        }
        assert_eq!(wrong.len(), 5, "{wrong:?}");
    }

    #[test]
    fn what_the_sender_would_not_start_with_is_never_sound() {
        // Every text that the sender turns down has a mistake, also where no key by itself shows it.
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
        assert!(find_errors("{}").iter().any(|w| w == "settings: is missing"));
    }
}
