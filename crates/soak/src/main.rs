//! `notchpoint-soak`: plays seeds one after another, and shrinks the plan of the first that breaks a rule.

use clap::Parser;
use notchpoint_soak::plan::{RunSize, ScheduledFault, generate};
use notchpoint_soak::{Counts, RunReport, run};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::time::Duration;

/// Real senders under overlapping faults, judged from outside.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Sender processes.
    #[arg(long, default_value_t = 24)]
    senders: usize,
    /// Destinations of two endpoints each.
    #[arg(long, default_value_t = 6)]
    dests: usize,
    /// Seconds for which messages are handed in.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Troubles in that time.
    #[arg(long, default_value_t = 18)]
    troubles: usize,
    /// Hand-overs in place of half of the troubles.
    #[arg(long)]
    hand_overs: bool,
    /// Busy processes beside the play.
    #[arg(long, default_value_t = 0)]
    busy: usize,
    /// Go on with the next seed where a rule is broken, and tell at the end which seeds broke one.
    #[arg(long)]
    go_on: bool,
    /// Do not look for a smaller plan that breaks a rule.
    #[arg(long)]
    no_shrink: bool,
    /// The program; else the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> io::Result<ExitCode> {
    let arguments = Arguments::parse();
    let beside = || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("notchpoint"));
    let program = arguments.program.clone().map_or_else(beside, Ok)?;
    let duration = Duration::from_secs(arguments.seconds);
    let size = RunSize {
        senders: arguments.senders,
        destinations: arguments.dests,
        duration,
        fault_count: arguments.troubles,
        prefer_handovers: arguments.hand_overs,
    };
    let _busy: Vec<Busy> = (0..arguments.busy).map(|_| Busy::start()).collect::<io::Result<_>>()?;
    let mut out = io::stdout();
    let mut broken = Vec::new();
    for seed in arguments.from..arguments.from + arguments.seeds {
        let plan = generate(seed, &size);
        let outcome = run(&program, seed, &size, &plan)?;
        let Counts { acknowledged, delivered, ended, handovers, max_wake_delay } = outcome.counts;
        writeln!(
            out,
            "seed {seed}: {acknowledged} acknowledged, {delivered} delivered, {ended} ended by notices, \
             {handovers} hand-overs, threads woken {} ms late at most",
            max_wake_delay.as_millis()
        )?;
        if outcome.violations.is_empty() {
            continue;
        }
        tell(&mut out, &plan, &outcome)?;
        broken.push(seed);
        if arguments.go_on {
            continue;
        }
        if !arguments.no_shrink {
            let (smaller, outcome) = shrink(&program, seed, &size, plan, outcome)?;
            writeln!(out, "the smallest plan found:")?;
            tell(&mut out, &smaller, &outcome)?;
        }
        break;
    }
    if broken.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    writeln!(out, "rules were broken on seeds {broken:?}")?;
    Ok(ExitCode::FAILURE)
}

/// A process that does nothing and takes a core for it.
struct Busy(Child);

impl Busy {
    fn start() -> io::Result<Self> {
        Command::new("sh").args(["-c", "while :; do :; done"]).spawn().map(Self)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn tell(out: &mut impl Write, plan: &[ScheduledFault], outcome: &RunReport) -> io::Result<()> {
    plan.iter().try_for_each(|trouble| writeln!(out, "  {trouble}"))?;
    outcome.violations.iter().try_for_each(|violation| writeln!(out, "  broken: {violation}"))?;
    write!(out, "{}", outcome.timeline)
}

/// Takes troubles away for as long as a rule is broken without them.
fn shrink(
    program: &Path,
    seed: u64,
    size: &RunSize,
    mut plan: Vec<ScheduledFault>,
    mut outcome: RunReport,
) -> io::Result<(Vec<ScheduledFault>, RunReport)> {
    let mut part = plan.len().div_ceil(2);
    while part > 0 {
        let mut at = 0;
        while at < plan.len() && plan.len() > 1 {
            let mut fewer = plan.clone();
            fewer.drain(at..(at + part).min(plan.len()));
            let played = run(program, seed, size, &fewer)?;
            if played.violations.is_empty() {
                at += part;
            } else {
                (plan, outcome) = (fewer, played);
            }
        }
        part /= 2;
    }
    Ok((plan, outcome))
}
