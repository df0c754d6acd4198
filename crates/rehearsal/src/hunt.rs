//! Hunts for broken rules: random faults on a scenario, seed by seed, and the first breach shrunk to the
//! fewest events that still cause it.

use crate::checker::{Breach, Rule, check};
use crate::client::mix;
use crate::hosts::Options;
use crate::run::run;
use crate::scenario::{self, Scenario, Wrong};
use crate::score;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Faults that are thrown in for a seed.
const FAULTS: std::ops::RangeInclusive<usize> = 1..=6;

/// A scenario's text, to which faults are added.
#[derive(Clone, Debug)]
pub struct Ground {
    /// What the file holds.
    pub text: String,
    /// What it is called in errors.
    pub name: String,
    /// Where files beside it lie.
    pub folder: PathBuf,
}

impl Ground {
    /// Reads a file.
    ///
    /// # Errors
    /// As [`scenario::read`].
    pub fn read(path: &std::path::Path) -> Result<Self, Wrong> {
        scenario::read(path)?;
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Wrong(vec![format!("{name}: {e}")]))?;
        Ok(Self { text, name, folder: path.parent().unwrap_or(std::path::Path::new("")).to_owned() })
    }

    fn with(&self, faults: &[String]) -> String {
        self.text.clone() + &faults.concat()
    }

    fn parse(&self, faults: &[String]) -> Result<Rc<Scenario>, Wrong> {
        scenario::parse(&self.with(faults), &self.name, self.folder.clone()).map(Rc::new)
    }
}

/// What a hunt found.
#[derive(Debug, Default)]
pub struct Found {
    /// Seeds that were played.
    pub seeds: u64,
    /// Worth kept on average.
    pub kept: f64,
    /// How many seeds broke each rule.
    pub rules: BTreeMap<Rule, u64>,
    /// By seed, the first breach.
    pub breaches: BTreeMap<u64, Breach>,
    /// Seeds that could not be played, and why.
    pub failed: BTreeMap<u64, String>,
}

/// The faults of a seed, as text of a scenario.
pub fn faults(s: &Scenario, seed: u64) -> Vec<String> {
    let mut r = Pcg64Mcg::seed_from_u64(mix(seed, 99));
    let many = r.random_range(FAULTS);
    let mut all: Vec<String> = (0..many).map(|_| fault(s, &mut r)).collect();
    // Where copies are kept, faults among the senders as well, and as many machines lost as copies are for.
    let copies = s.senders.copies;
    if copies > 0 {
        let many = r.random_range(FAULTS);
        all.extend((0..many).map(|_| among(s, &mut r)));
        let losses = r.random_range(0..=copies);
        all.extend((0..losses).map(|_| {
            let (at, sender) = (r.random_range(0.0..s.duration_s), r.random_range(0..s.senders.count));
            let back = r.random_range(0.2..3.0);
            format!("\n[[event]]\nat_s = {at:.3}\ndo = \"lose\"\nsender = {sender}\nfor_s = {back:.3}\n")
        }));
    }
    all
}

/// Something that befalls senders, or what lies between them.
fn among(s: &Scenario, r: &mut Pcg64Mcg) -> String {
    let sender = r.random_range(0..s.senders.count);
    let other = (sender + r.random_range(1..s.senders.count)) % s.senders.count;
    let two = format!("sender = {sender}\nother = {other}\n");
    let (what, rest) = match r.random_range(0..6) {
        0 | 1 => ("part", two),
        2 => ("part", two + "one_way = true\n"),
        3 => ("slow_link", format!("{two}late_ms = {}\n", r.random_range(1..1_500))),
        4 => ("disk_full", format!("sender = {sender}\n")),
        _ => ("freeze", format!("sender = {sender}\n")),
    };
    let (at, span) = (r.random_range(0.0..s.duration_s), r.random_range(0.1..5.0));
    format!("\n[[event]]\nat_s = {at:.3}\ndo = {what:?}\n{rest}for_s = {span:.3}\n")
}

fn fault(s: &Scenario, r: &mut Pcg64Mcg) -> String {
    // Whole milliseconds: the grain of time.
    let ms = |r: &mut Pcg64Mcg, from: f64, to: f64| (r.random_range(from..to) * 1e3).round() / 1e3;
    let at = ms(r, 0.0, s.duration_s);
    let partner = s.partner[r.random_range(0..s.partner.len())].get_ref();
    let mut target = if r.random_bool(0.25) {
        format!("hall = {:?}\n", partner.hall)
    } else {
        let mut t = format!("partner = {:?}\n", partner.name);
        if r.random_bool(0.5) {
            let _ = writeln!(t, "destination = {}", r.random_range(0..partner.destinations));
        }
        t
    };
    if r.random_bool(0.4) {
        let _ = writeln!(target, "endpoint = {}", r.random_range(0..partner.endpoints));
    }
    let sender = format!("sender = {}\n", r.random_range(0..s.senders.count));
    let span = |r: &mut Pcg64Mcg, most: f64| format!("for_s = {:?}\n", ms(r, 0.1, most));
    let (what, rest) = match r.random_range(0..15) {
        0 | 1 => ("silent", target + &span(r, 12.0)),
        2 | 3 => ("die", target + &span(r, 12.0)),
        4 => ("pause", target + &span(r, 4.0)),
        5 => ("slow", format!("{target}times = {:.1}\n{}", r.random_range(1.5..8.0), span(r, 15.0))),
        6 => {
            let mut share = || r.random_range(0.0..0.15);
            let (a, b, c, d, e) = (share(), share(), share(), share(), share());
            let faults = format!(
                "faults = {{ silent = {a:.3}, reset = {b:.3}, spoilt = {c:.3}, half = {d:.3}, \
                 trickle = {e:.3} }}\n"
            );
            ("faults", format!("{target}{faults}{}", span(r, 15.0)))
        }
        7 => ("drain", format!("{target}{}", span(r, 6.0))),
        8 | 9 => ("replace", format!("{target}{}", span(r, 6.0))),
        10 => {
            let (mode, rest) = match r.random_range(0..4) {
                0 => ("down", span(r, 12.0)),
                1 => ("silent", span(r, 12.0)),
                2 => ("late", format!("late_ms = {}\n{}", r.random_range(1..3_000), span(r, 12.0))),
                _ => ("broken", String::new()),
            };
            ("discovery", format!("mode = {mode:?}\n{rest}"))
        }
        11 => ("move_discovery", String::new()),
        12 => ("kill", sender),
        13 => ("restart", sender),
        _ => {
            let whom = if r.random_bool(0.3) { sender } else { target };
            ("cut", whom + &span(r, 8.0))
        }
    };
    format!("\n[[event]]\nat_s = {at:?}\ndo = {what:?}\n{rest}")
}

/// Plays one seed with these faults.
fn play(ground: &Ground, faults: &[String], seed: u64) -> Result<(f64, Vec<Breach>), String> {
    let s = ground.parse(faults).map_err(|e| e.to_string())?;
    let outcome = run(&s, seed, &Options::default())?;
    let breaches = check(&outcome);
    Ok((score::score(&outcome, breaches.len()).kept, breaches))
}

/// Plays seeds `from..from + many` on so many threads; what it finds does not depend on their number. `told`
/// hears of each seed that is done.
///
/// # Errors
/// The scenario is not sound.
pub fn hunt(
    ground: &Ground,
    from: u64,
    many: u64,
    jobs: usize,
    told: impl Fn(u64, Option<&Breach>) + Sync,
) -> Result<Found, Wrong> {
    ground.parse(&[])?;
    let next = AtomicU64::new(from);
    let found = Mutex::new((Found::default(), BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= from + many {
                        return;
                    }
                    let Ok(s) = ground.parse(&[]) else { return };
                    let done = play(ground, &faults(&s, seed), seed);
                    let Ok(mut found) = found.lock() else { return };
                    let (found, kept) = &mut *found;
                    found.seeds += 1;
                    match done {
                        Ok((worth, breaches)) => {
                            kept.insert(seed, worth);
                            let rules: std::collections::BTreeSet<Rule> =
                                breaches.iter().map(|b| b.rule).collect();
                            rules.into_iter().for_each(|r| *found.rules.entry(r).or_default() += 1);
                            told(seed, breaches.first());
                            if let Some(first) = breaches.into_iter().next() {
                                found.breaches.insert(seed, first);
                            }
                        }
                        Err(why) => {
                            told(seed, None);
                            found.failed.insert(seed, why);
                        }
                    }
                }
            });
        }
    });
    let (mut found, kept) = found.into_inner().unwrap_or_default();
    // Added up in the order of seeds: the order of a sum changes its last digits.
    found.kept = kept.values().sum::<f64>() / kept.len().max(1) as f64;
    Ok(found)
}

/// The fewest of a seed's faults under which the same rule is broken, as a scenario.
///
/// # Errors
/// The seed breaks nothing, or cannot be played.
pub fn shrink(ground: &Ground, seed: u64) -> Result<(String, Breach), String> {
    let s = ground.parse(&[]).map_err(|e| e.to_string())?;
    let mut left = faults(&s, seed);
    let breaches = play(ground, &left, seed)?.1;
    let mut first = breaches.into_iter().next().ok_or("this seed breaks no rule")?;
    let mut at = 0;
    while at < left.len() {
        let mut fewer = left.clone();
        fewer.remove(at);
        match play(ground, &fewer, seed)?.1.into_iter().find(|b| b.rule == first.rule) {
            Some(b) => (left, first) = (fewer, b),
            None => at += 1,
        }
    }
    let text = ground.with(&left);
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    if let Some(line) = lines.iter_mut().find(|l| l.starts_with("seed =")) {
        *line = format!("seed = {seed}");
    } else {
        lines.insert(0, format!("seed = {seed}"));
    }
    Ok((format!("# Found by a hunt: {first}\n{}\n", lines.join("\n")), first))
}
