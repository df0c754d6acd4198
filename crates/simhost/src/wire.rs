//! The simulator's wire: reading its lines, and writing replies. Waits are rounded up, deadlines down.

use notchpoint_policy::*;
use std::collections::BTreeMap;

/// Why a line could not be read.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

pub type Read<T> = Result<T, Malformed>;

fn bad<T>(what: impl Into<String>) -> Read<T> {
    Err(Malformed(what.into()))
}

/// The parts of one line behind its first.
pub struct Parts<'a> {
    name: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    pub fn new(line: &'a str) -> Self {
        let mut rest = line.split('\t');
        let name = rest.next().unwrap_or("");
        Self { name, rest }
    }

    pub fn name(&self) -> &'a str {
        self.name
    }

    pub fn rest(self) -> impl Iterator<Item = &'a str> {
        self.rest
    }

    /// The next part; `None` where it is absent (`-`).
    pub fn maybe(&mut self, what: &str) -> Read<Option<&'a str>> {
        match self.rest.next() {
            None => bad(format!("{}: '{what}' is missing", self.name)),
            Some("-") => Ok(None),
            Some(part) => Ok(Some(part)),
        }
    }

    pub fn text(&mut self, what: &str) -> Read<&'a str> {
        match self.maybe(what)? {
            Some(part) if !part.is_empty() => Ok(part),
            _ => bad(format!("{}: '{what}' is absent", self.name)),
        }
    }

    pub fn number<T: std::str::FromStr>(&mut self, what: &str) -> Read<T> {
        let (name, part) = (self.name, self.text(what)?);
        part.parse().or_else(|_| bad(format!("{name}: '{what}' is no number in range: {part}")))
    }

    pub fn seconds(&mut self, what: &str, round: Round) -> Read<Micros> {
        let part = self.text(what)?;
        seconds(part, round).or_else(|Malformed(e)| bad(format!("{}: '{what}': {e}", self.name)))
    }

    pub fn flag(&mut self, what: &str) -> Read<bool> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bad(format!("{}: '{what}' is neither 1 nor 0: {other}", self.name)),
        }
    }

    pub fn id(&mut self, what: &str) -> Read<MessageId> {
        let part = self.text(what)?;
        match u64::from_str_radix(part, 16) {
            Ok(n) if part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit()) => Ok(MessageId(n)),
            _ => bad(format!("{}: '{what}' is not 16 hex digits: {part}", self.name)),
        }
    }
}

/// Which way a time that is no whole number of microseconds goes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Round {
    Up,
    Down,
    Near,
}

/// Seconds to microseconds. Times longer than a century are out of range.
pub fn seconds(part: &str, round: Round) -> Read<Micros> {
    let x: f64 = part.parse().or_else(|_| bad(format!("no time: {part}")))?;
    if !x.is_finite() || !(0.0..=3.2e9).contains(&x) {
        return bad(format!("time out of range: {part}"));
    }
    let near = (x * 1e6).round();
    // What differs from a whole number by less than the text can tell is that number.
    if round == Round::Near || (x * 1e6 - near).abs() < 1e-3 {
        return Ok(near as Micros);
    }
    Ok(if round == Round::Up { (x * 1e6).ceil() } else { (x * 1e6).floor() } as Micros)
}

/// Microseconds to seconds, without loss.
pub fn stamp(t: Micros) -> String {
    format!("{}.{:06}", t / 1_000_000, t % 1_000_000)
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub fn unhex(part: &str) -> Read<Vec<u8>> {
    if !part.len().is_multiple_of(2) || !part.is_ascii() {
        return bad("odd hex");
    }
    (0..part.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&part[i..i + 2], 16).or_else(|_| bad(format!("no hex: {part}"))))
        .collect()
}

pub fn outcome(code: &str, hold: Option<&str>) -> Read<Outcome> {
    Ok(match code {
        "completed" => Outcome::Served,
        "errored" => Outcome::Failed,
        "saturated" => {
            let ms: u64 = match hold {
                None => 0,
                Some(h) => h.parse().or_else(|_| bad(format!("'holdMs' is no whole number: {h}")))?,
            };
            Outcome::Full { wait: (ms > 0).then(|| ms.saturating_mul(1000)) }
        }
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::Moot,
        other => return bad(format!("unknown outcome {other}")),
    })
}

/// The report's limit figures, where it has them.
pub fn allowance(part: Option<&str>) -> Read<Option<Allowance>> {
    let Some(part) = part else { return Ok(None) };
    let (mut left, mut limit) = (None, None);
    for pair in part.split(',') {
        let Some((name, value)) = pair.split_once(':') else { return bad(format!("no report pair: {pair}")) };
        let value: f64 = value.parse().or_else(|_| bad(format!("no report value: {pair}")))?;
        match name {
            "x0" => left = Some(value),
            "x1" => limit = Some(value),
            _ => {}
        }
    }
    Ok(left.zip(limit).map(|(left, limit)| Allowance { left, limit }))
}

/// The names that the wire uses and the library does not.
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

pub fn position(list: &[String], name: &str, what: &str) -> Read<u32> {
    match list.iter().position(|n| n == name) {
        Some(i) => Ok(i as u32),
        None => bad(format!("unknown {what}: {name}")),
    }
}

struct Config<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Config<'a> {
    fn text(&self, key: &str) -> Read<&'a str> {
        self.0.get(key).copied().map_or_else(|| bad(format!("missing setting {key}")), Ok)
    }

    fn number<T: std::str::FromStr>(&self, key: &str) -> Read<T> {
        let text = self.text(key)?;
        text.parse().or_else(|_| bad(format!("setting {key} is no number in range: {text}")))
    }

    fn or<T: std::str::FromStr>(&self, key: &str, without: T) -> Read<T> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(without) }
    }

    fn span(&self, key: &str, round: Round) -> Read<Micros> {
        seconds(self.text(key)?, round).or_else(|Malformed(e)| bad(format!("setting {key}: {e}")))
    }

    fn span_or(&self, key: &str, round: Round) -> Read<Micros> {
        if self.0.contains_key(key) { self.span(key, round) } else { Ok(0) }
    }

    fn flag(&self, key: &str, without: bool) -> Read<bool> {
        match self.0.get(key) {
            None => Ok(without),
            Some(&("true" | "1")) => Ok(true),
            Some(&("false" | "0")) => Ok(false),
            Some(other) => bad(format!("setting {key} is neither true nor false: {other}")),
        }
    }

    fn list(&self, key: &str) -> Vec<String> {
        let text = self.0.get(key).copied().unwrap_or("");
        text.split(',').filter(|s| !s.is_empty()).map(str::to_owned).collect()
    }
}

/// Reads the settings of a `BEGIN` line. Unknown keys are passed over.
pub fn settings<'a>(pairs: impl Iterator<Item = &'a str>) -> Read<(Settings, Names)> {
    let mut map = BTreeMap::new();
    for pair in pairs {
        match pair.split_once('=') {
            Some((k, v)) => drop(map.insert(k, v)),
            None if pair.is_empty() || pair == "-" => {}
            None => return bad(format!("no setting: {pair}")),
        }
    }
    let c = Config(map);
    let mut names =
        Names { classes: vec![], tenants: vec![], kinds: c.list("kinds"), zones: c.list("zones") };
    let mut classes = Vec::new();
    for i in 0..c.number::<u16>("classes.count")? {
        let k = |field: &str| format!("classes.{i}.{field}");
        names.classes.push(c.text(&k("name"))?.to_owned());
        classes.push(Class {
            effect: match c.text(&k("effect"))? {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                "at_most_once" => Effect::AtMostOnce,
                other => return bad(format!("setting {}: {other}", k("effect"))),
            },
            dedup_scope: match c.0.get(k("group").as_str()) {
                None | Some(&"all") => DedupScope::All,
                Some(&"zone") => DedupScope::Zone,
                Some(_) => DedupScope::Endpoint,
            },
            dedup_window: c.span_or(&k("memorySpanS"), Round::Down)?,
            target_time: c.span(&k("sloS"), Round::Down)?,
            deadline: c.span(&k("deadlineS"), Round::Down)?,
            worth: c.or(&k("worth"), 1.0)?,
            late_share: c.or(&k("lateShare"), 0.0)?,
            in_order: c.flag(&k("sequential"), false)?,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..c.or::<u16>("parties.count", 0)? {
        names.tenants.push(c.text(&format!("parties.{i}.name"))?.to_owned());
        tenants.push(c.or(&format!("parties.{i}.allowancePerS"), f64::MAX)?);
    }
    let (per_endpoint, bundles) = (c.list("familyInfo.kindApart"), c.list("familyInfo.bundleMax"));
    if names.kinds.is_empty() {
        names.kinds.push(String::new());
    }
    let kinds = (0..names.kinds.len()).map(|i| {
        let max_bundle = bundles.get(i).map_or(Ok(1), |b| {
            b.parse().or_else(|_| bad(format!("setting familyInfo.bundleMax is no list of numbers: {b}")))
        });
        Ok(Kind {
            per_endpoint: per_endpoint.get(i).is_some_and(|a| a == "true" || a == "1"),
            max_bundle: max_bundle?.max(1),
        })
    });
    let zone = c.0.get("locality").and_then(|z| names.zones.iter().position(|n| n == z));
    let max_retry_after = if c.flag("bounds.retryAfter", false)? {
        c.span_or("bounds.maxRetryAfterS", Round::Down)?
    } else {
        0
    };
    let settings = Settings {
        slots: c.number("familyInfo.slots")?,
        max_held: c.number("bounds.mostHeld")?,
        max_attempts: c.number("bounds.maxAttempts")?,
        senders: c.or("siblings", 1)?,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        parallel_attempts: c.flag("bounds.parallelTries", false)?,
        may_cancel: c.flag("bounds.cancelling", false)?,
        may_probe: c.flag("bounds.mayProbe", false)?,
        may_send_notes: c.flag("bounds.peerMessages", false)?,
        list: match c.text("discovery")? {
            "push" => ListMode::Push,
            "ask" => ListMode::Ask,
            other => return bad(format!("setting discovery: {other}")),
        },
        classes,
        tenant_allowances: tenants,
        over_share_worth: c.or("overShareWorth", 1.0)?,
        kinds: kinds.collect::<Read<_>>()?,
        worth_decay: match c.0.get("familyInfo.fades") {
            None | Some(&"even") => WorthDecay::Linear,
            Some(&"by_half") => WorthDecay::Halving,
            Some(other) => return bad(format!("setting familyInfo.fades: {other}")),
        },
        clients_mark_retries: c.flag("clients.marksRetry", false)?,
        start_capacity: c.or("safety.startCapacity", 1.0)?,
        warm_up: c.span_or("safety.coldS", Round::Up)?,
        overload_factor: c.or("safety.overloadFactor", 1.0)?,
        overload_after: c.span_or("safety.tipAfterS", Round::Down)?,
        key_rest: c.span_or("safety.keyRestS", Round::Up)?,
        connect_timeout: c.span_or("bounds.connectTimeoutS", Round::Up)?,
        conn_idle: c.span_or("bounds.connIdleS", Round::Down)?,
        multiplex: c.or("bounds.multiplex", 1)?,
        connections_reported: false,
        tick: c.span_or("tickS", Round::Up)?,
        max_retry_after,
    };
    settings.check().map_err(|e| Malformed(e.to_string()))?;
    Ok((settings, names))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_go_up_and_deadlines_down() {
        assert_eq!(seconds("0.0000015", Round::Up), Ok(2));
        assert_eq!(seconds("0.0000015", Round::Down), Ok(1));
        assert_eq!(seconds("8.41225", Round::Up), Ok(8_412_250));
        assert_eq!(seconds("8.41225", Round::Down), Ok(8_412_250));
        for wrong in ["-1", "nan", "inf", "x", "", "1e300"] {
            assert!(seconds(wrong, Round::Near).is_err(), "{wrong}");
        }
    }

    #[test]
    fn times_and_bytes_come_back_unaltered() {
        for t in [0, 1, 999_999, 1_000_000, 8_412_250, 123_456_789_012] {
            assert_eq!(seconds(&stamp(t), Round::Near), Ok(t));
        }
        assert_eq!(unhex(&hex(b"hi \xff")), Ok(b"hi \xff".to_vec()));
        assert!(unhex("abc").is_err() && unhex("zz").is_err() && unhex("éa").is_err());
    }

    #[test]
    fn every_outcome_is_known() {
        for code in ["completed", "errored", "overdue", "refused_conn", "severed", "recalled", "superseded"] {
            assert!(outcome(code, None).is_ok(), "{code}");
        }
        assert_eq!(outcome("saturated", Some("250")), Ok(Outcome::Full { wait: Some(250_000) }));
        assert_eq!(outcome("saturated", Some("0")), Ok(Outcome::Full { wait: None }));
        assert!(outcome("saturated", Some("-3")).is_err() && outcome("lost", None).is_err());
    }

    #[test]
    fn settings_need_their_figures_and_pass_over_the_rest() {
        let good = "bounds.maxAttempts=8\tbounds.mostHeld=230\tclasses.count=1\tclasses.0.deadlineS=6.0\t\
            classes.0.effect=idempotent\tclasses.0.name=a\tclasses.0.sloS=1.0\tdiscovery=ask\t\
            familyInfo.slots=7\tkinds=k\tnew.key=3";
        assert!(settings(good.split('\t')).is_ok());
        for (from, to) in [("slots=7", "slots=0"), ("slots=7", "slots=-1"), ("deadlineS=6.0", "deadlineS=-6")]
        {
            assert!(settings(good.replace(from, to).split('\t')).is_err(), "{to}");
        }
        for missing in ["familyInfo.slots", "bounds.mostHeld", "discovery", "classes.0.sloS"] {
            let pairs = good.split('\t').filter(|p| !p.trim().starts_with(missing));
            assert!(settings(pairs).is_err(), "{missing}");
        }
    }
}
