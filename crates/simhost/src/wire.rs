//! The simulator's protocol: parsing lines and formatting replies. Waits are rounded up, deadlines down.

use notchpoint_policy::*;
use std::collections::BTreeMap;

/// The reason why a line could not be parsed or does not fit the state.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// The result of parsing.
pub type Parsed<T> = Result<T, Malformed>;

fn malformed<T>(reason: impl Into<String>) -> Parsed<T> {
    Err(Malformed(reason.into()))
}

/// The parts of one line after its name.
pub struct Parts<'a> {
    name: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    /// Splits a line at its tabs.
    pub fn new(line: &'a str) -> Self {
        let mut rest = line.split('\t');
        let name = rest.next().unwrap_or("");
        Self { name, rest }
    }

    /// Returns the name of the line, its first part.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Returns the remaining parts.
    pub fn rest(self) -> impl Iterator<Item = &'a str> {
        self.rest
    }

    /// Returns the next part, or `None` if it is absent (`-`). `field` names it in errors.
    pub fn optional(&mut self, field: &str) -> Parsed<Option<&'a str>> {
        match self.rest.next() {
            None => malformed(format!("{}: '{field}' is missing", self.name)),
            Some("-") => Ok(None),
            Some(part) => Ok(Some(part)),
        }
    }

    /// Returns the next part, which must be present.
    pub fn text(&mut self, field: &str) -> Parsed<&'a str> {
        match self.optional(field)? {
            Some(part) if !part.is_empty() => Ok(part),
            _ => malformed(format!("{}: '{field}' is absent", self.name)),
        }
    }

    /// Parses the next part as a number.
    pub fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        let (name, part) = (self.name, self.text(field)?);
        part.parse().or_else(|_| malformed(format!("{name}: '{field}' is not a number in range: {part}")))
    }

    /// Parses the next part as a time in seconds.
    pub fn seconds(&mut self, field: &str, round: Round) -> Parsed<Micros> {
        let part = self.text(field)?;
        seconds(part, round).or_else(|Malformed(e)| malformed(format!("{}: '{field}': {e}", self.name)))
    }

    /// Parses the next part as 1 or 0.
    pub fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => malformed(format!("{}: '{field}' is neither 1 nor 0: {other}", self.name)),
        }
    }

    /// Parses the next part as a message id of 16 hex digits.
    pub fn id(&mut self, field: &str) -> Parsed<MessageId> {
        let part = self.text(field)?;
        match u64::from_str_radix(part, 16) {
            Ok(n) if part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit()) => Ok(MessageId(n)),
            _ => malformed(format!("{}: '{field}' is not 16 hex digits: {part}", self.name)),
        }
    }
}

/// How a time that is not a whole number of microseconds is rounded.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Round {
    Up,
    Down,
    Nearest,
}

/// Converts seconds to microseconds. Times longer than a century are out of range.
pub fn seconds(part: &str, round: Round) -> Parsed<Micros> {
    let seconds: f64 = part.parse().or_else(|_| malformed(format!("not a time: {part}")))?;
    if !seconds.is_finite() || !(0.0..=3.2e9).contains(&seconds) {
        return malformed(format!("time out of range: {part}"));
    }
    let nearest = (seconds * 1e6).round();
    // A difference below the precision of the text counts as a whole number.
    if round == Round::Nearest || (seconds * 1e6 - nearest).abs() < 1e-3 {
        return Ok(nearest as Micros);
    }
    Ok(if round == Round::Up { (seconds * 1e6).ceil() } else { (seconds * 1e6).floor() } as Micros)
}

/// Formats microseconds as seconds, without loss.
pub fn format_seconds(time: Micros) -> String {
    format!("{}.{:06}", time / 1_000_000, time % 1_000_000)
}

/// Encodes bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hex digits.
pub fn unhex(part: &str) -> Parsed<Vec<u8>> {
    if !part.len().is_multiple_of(2) || !part.is_ascii() {
        return malformed("hex with an odd number of digits");
    }
    (0..part.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&part[i..i + 2], 16).or_else(|_| malformed(format!("not hex: {part}"))))
        .collect()
}

/// Parses an outcome; `wait_ms` is the requested wait in milliseconds.
pub fn outcome(code: &str, wait_ms: Option<&str>) -> Parsed<Outcome> {
    Ok(match code {
        "completed" => Outcome::Served,
        "errored" => Outcome::Failed,
        "saturated" => {
            let ms: u64 = match wait_ms {
                None => 0,
                Some(text) => {
                    text.parse().or_else(|_| malformed(format!("'holdMs' is not a whole number: {text}")))?
                }
            };
            Outcome::Full { wait: (ms > 0).then(|| ms.saturating_mul(1000)) }
        }
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::Moot,
        other => return malformed(format!("unknown outcome {other}")),
    })
}

/// Parses the rate limit in a report, if the report has one.
pub fn allowance(part: Option<&str>) -> Parsed<Option<Allowance>> {
    let Some(part) = part else { return Ok(None) };
    let (mut left, mut limit) = (None, None);
    for pair in part.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return malformed(format!("not a pair in a report: {pair}"));
        };
        let value: f64 = value.parse().or_else(|_| malformed(format!("not a value in a report: {pair}")))?;
        match name {
            "x0" => left = Some(value),
            "x1" => limit = Some(value),
            _ => {}
        }
    }
    Ok(left.zip(limit).map(|(left, limit)| Allowance { left, limit }))
}

/// The names that the protocol uses where the library uses positions.
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// Returns the position of a name in a list; `kind` describes the name in errors.
pub fn position(list: &[String], name: &str, kind: &str) -> Parsed<u32> {
    match list.iter().position(|n| n == name) {
        Some(i) => Ok(i as u32),
        None => malformed(format!("unknown {kind}: {name}")),
    }
}

/// The settings of a `BEGIN` line by key.
struct Config<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Config<'a> {
    fn text(&self, key: &str) -> Parsed<&'a str> {
        self.0.get(key).copied().map_or_else(|| malformed(format!("missing setting {key}")), Ok)
    }

    fn number<T: std::str::FromStr>(&self, key: &str) -> Parsed<T> {
        let text = self.text(key)?;
        text.parse().or_else(|_| malformed(format!("setting {key} is not a number in range: {text}")))
    }

    fn number_or<T: std::str::FromStr>(&self, key: &str, default: T) -> Parsed<T> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(default) }
    }

    fn duration(&self, key: &str, round: Round) -> Parsed<Micros> {
        seconds(self.text(key)?, round).or_else(|Malformed(e)| malformed(format!("setting {key}: {e}")))
    }

    fn duration_or_zero(&self, key: &str, round: Round) -> Parsed<Micros> {
        if self.0.contains_key(key) { self.duration(key, round) } else { Ok(0) }
    }

    fn flag(&self, key: &str, default: bool) -> Parsed<bool> {
        match self.0.get(key) {
            None => Ok(default),
            Some(&("true" | "1")) => Ok(true),
            Some(&("false" | "0")) => Ok(false),
            Some(other) => malformed(format!("setting {key} is neither true nor false: {other}")),
        }
    }

    fn list(&self, key: &str) -> Vec<String> {
        let text = self.0.get(key).copied().unwrap_or("");
        text.split(',').filter(|s| !s.is_empty()).map(str::to_owned).collect()
    }
}

/// Parses the settings of a `BEGIN` line. Unknown keys are ignored.
pub fn settings<'a>(pairs: impl Iterator<Item = &'a str>) -> Parsed<(Settings, Names)> {
    let mut values = BTreeMap::new();
    for pair in pairs {
        match pair.split_once('=') {
            Some((key, value)) => drop(values.insert(key, value)),
            None if pair.is_empty() || pair == "-" => {}
            None => return malformed(format!("not a setting: {pair}")),
        }
    }
    let config = Config(values);
    let mut names =
        Names { classes: vec![], tenants: vec![], kinds: config.list("kinds"), zones: config.list("zones") };
    let mut classes = Vec::new();
    for i in 0..config.number::<u16>("classes.count")? {
        let key = |field: &str| format!("classes.{i}.{field}");
        names.classes.push(config.text(&key("name"))?.to_owned());
        classes.push(Class {
            effect: match config.text(&key("effect"))? {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                "at_most_once" => Effect::AtMostOnce,
                other => return malformed(format!("setting {}: {other}", key("effect"))),
            },
            dedup_scope: match config.0.get(key("group").as_str()) {
                None | Some(&"all") => DedupScope::All,
                Some(&"zone") => DedupScope::Zone,
                Some(_) => DedupScope::Endpoint,
            },
            dedup_window: config.duration_or_zero(&key("memorySpanS"), Round::Down)?,
            target_time: config.duration(&key("sloS"), Round::Down)?,
            deadline: config.duration(&key("deadlineS"), Round::Down)?,
            worth: config.number_or(&key("worth"), 1.0)?,
            late_share: config.number_or(&key("lateShare"), 0.0)?,
            in_order: config.flag(&key("sequential"), false)?,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..config.number_or::<u16>("parties.count", 0)? {
        names.tenants.push(config.text(&format!("parties.{i}.name"))?.to_owned());
        tenants.push(config.number_or(&format!("parties.{i}.allowancePerS"), f64::MAX)?);
    }
    let (per_endpoint, bundles) = (config.list("familyInfo.kindApart"), config.list("familyInfo.bundleMax"));
    if names.kinds.is_empty() {
        names.kinds.push(String::new());
    }
    let kinds = (0..names.kinds.len()).map(|i| {
        let max_bundle = bundles.get(i).map_or(Ok(1), |b| {
            b.parse()
                .or_else(|_| malformed(format!("setting familyInfo.bundleMax is not a list of numbers: {b}")))
        });
        Ok(Kind {
            per_endpoint: per_endpoint.get(i).is_some_and(|text| text == "true" || text == "1"),
            max_bundle: max_bundle?.max(1),
        })
    });
    let zone = config.0.get("locality").and_then(|z| names.zones.iter().position(|n| n == z));
    let max_retry_after = if config.flag("bounds.retryAfter", false)? {
        config.duration_or_zero("bounds.maxRetryAfterS", Round::Down)?
    } else {
        0
    };
    let settings = Settings {
        slots: config.number("familyInfo.slots")?,
        max_held: config.number("bounds.mostHeld")?,
        max_attempts: config.number("bounds.maxAttempts")?,
        senders: config.number_or("siblings", 1)?,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        parallel_attempts: config.flag("bounds.parallelTries", false)?,
        may_cancel: config.flag("bounds.cancelling", false)?,
        may_probe: config.flag("bounds.mayProbe", false)?,
        may_send_notes: config.flag("bounds.peerMessages", false)?,
        list: match config.text("discovery")? {
            "push" => ListMode::Push,
            "ask" => ListMode::Ask,
            other => return malformed(format!("setting discovery: {other}")),
        },
        classes,
        tenant_allowances: tenants,
        over_share_worth: config.number_or("overShareWorth", 1.0)?,
        kinds: kinds.collect::<Parsed<_>>()?,
        worth_decay: match config.0.get("familyInfo.fades") {
            None | Some(&"even") => WorthDecay::Linear,
            Some(&"by_half") => WorthDecay::Halving,
            Some(other) => return malformed(format!("setting familyInfo.fades: {other}")),
        },
        clients_mark_retries: config.flag("clients.marksRetry", false)?,
        start_capacity: config.number_or("safety.startCapacity", 1.0)?,
        warm_up: config.duration_or_zero("safety.coldS", Round::Up)?,
        overload_factor: config.number_or("safety.overloadFactor", 1.0)?,
        overload_after: config.duration_or_zero("safety.tipAfterS", Round::Down)?,
        key_rest: config.duration_or_zero("safety.keyRestS", Round::Up)?,
        connect_timeout: config.duration_or_zero("bounds.connectTimeoutS", Round::Up)?,
        conn_idle: config.duration_or_zero("bounds.connIdleS", Round::Down)?,
        multiplex: config.number_or("bounds.multiplex", 1)?,
        connections_reported: false,
        tick: config.duration_or_zero("tickS", Round::Up)?,
        max_retry_after,
    };
    settings.check().map_err(|e| Malformed(e.to_string()))?;
    Ok((settings, names))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_round_up_and_deadlines_round_down() {
        assert_eq!(seconds("0.0000015", Round::Up), Ok(2));
        assert_eq!(seconds("0.0000015", Round::Down), Ok(1));
        assert_eq!(seconds("8.41225", Round::Up), Ok(8_412_250));
        assert_eq!(seconds("8.41225", Round::Down), Ok(8_412_250));
        for invalid in ["-1", "nan", "inf", "x", "", "1e300"] {
            assert!(seconds(invalid, Round::Nearest).is_err(), "{invalid}");
        }
    }

    #[test]
    fn times_and_bytes_survive_a_round_trip() {
        for t in [0, 1, 999_999, 1_000_000, 8_412_250, 123_456_789_012] {
            assert_eq!(seconds(&format_seconds(t), Round::Nearest), Ok(t));
        }
        assert_eq!(unhex(&hex(b"hi \xff")), Ok(b"hi \xff".to_vec()));
        assert!(unhex("abc").is_err() && unhex("zz").is_err() && unhex("éa").is_err());
    }

    #[test]
    fn every_outcome_is_parsed() {
        for code in ["completed", "errored", "overdue", "refused_conn", "severed", "recalled", "superseded"] {
            assert!(outcome(code, None).is_ok(), "{code}");
        }
        assert_eq!(outcome("saturated", Some("250")), Ok(Outcome::Full { wait: Some(250_000) }));
        assert_eq!(outcome("saturated", Some("0")), Ok(Outcome::Full { wait: None }));
        assert!(outcome("saturated", Some("-3")).is_err() && outcome("lost", None).is_err());
    }

    #[test]
    fn required_settings_are_checked_and_unknown_keys_ignored() {
        let valid = "bounds.maxAttempts=8\tbounds.mostHeld=230\tclasses.count=1\tclasses.0.deadlineS=6.0\t\
            classes.0.effect=idempotent\tclasses.0.name=a\tclasses.0.sloS=1.0\tdiscovery=ask\t\
            familyInfo.slots=7\tkinds=k\tnew.key=3";
        assert!(settings(valid.split('\t')).is_ok());
        for (from, to) in [("slots=7", "slots=0"), ("slots=7", "slots=-1"), ("deadlineS=6.0", "deadlineS=-6")]
        {
            assert!(settings(valid.replace(from, to).split('\t')).is_err(), "{to}");
        }
        for missing in ["familyInfo.slots", "bounds.mostHeld", "discovery", "classes.0.sloS"] {
            let pairs = valid.split('\t').filter(|p| !p.trim().starts_with(missing));
            assert!(settings(pairs).is_err(), "{missing}");
        }
    }
}
