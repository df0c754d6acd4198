//! `notchpoint-soak`: runs seeds one after the other, and reduces the plan of the first seed that violates a
//! rule.

use clap::Parser;
use notchpoint_soak::plan::{RunSize, ScheduledFault, generate};
use notchpoint_soak::{Counts, RunResult, run};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::time::Duration;

/// Runs real senders under overlapping faults and checks rules from outside.
#[derive(Parser)]
struct Arguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of senders.
    #[arg(long, default_value_t = 24)]
    senders: usize,
    /// Number of destinations, each with two endpoints.
    #[arg(long = "dests", value_name = "DESTS", default_value_t = 6)]
    destinations: usize,
    /// Seconds for which messages are submitted.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Number of faults in that time.
    #[arg(long = "troubles", value_name = "TROUBLES", default_value_t = 18)]
    fault_count: usize,
    /// Replace half of the faults by hand-overs.
    #[arg(long = "hand-overs")]
    prefer_handovers: bool,
    /// Number of processes that keep a core busy during the run.
    #[arg(long = "busy", value_name = "BUSY", default_value_t = 0)]
    busy_processes: usize,
    /// Continue with the next seed after a violation, and list all failed seeds at the end.
    #[arg(long = "go-on")]
    continue_after_violation: bool,
    /// Do not search for a smaller plan that violates a rule.
    #[arg(long)]
    no_shrink: bool,
    /// Path of the sender program. Default: `notchpoint` in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> io::Result<ExitCode> {
    let arguments = Arguments::parse();
    let beside_this_program = || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("notchpoint"));
    let program = arguments.program.clone().map_or_else(beside_this_program, Ok)?;
    let duration = Duration::from_secs(arguments.seconds);
    let size = RunSize {
        senders: arguments.senders,
        destinations: arguments.destinations,
        duration,
        fault_count: arguments.fault_count,
        prefer_handovers: arguments.prefer_handovers,
    };
    let _busy: Vec<BusyProcess> =
        (0..arguments.busy_processes).map(|_| BusyProcess::start()).collect::<io::Result<_>>()?;
    let mut out = io::stdout();
    let mut failed_seeds = Vec::new();
    for seed in arguments.from..arguments.from + arguments.seeds {
        let plan = generate(seed, &size);
        let result = run(&program, seed, &size, &plan)?;
        let Counts { acknowledged, delivered, ended, handovers, max_wake_delay } = result.counts;
        writeln!(
            out,
            "seed {seed}: {acknowledged} acknowledged, {delivered} delivered, {ended} ended by notices, \
             {handovers} hand-overs, longest wake-up delay of a thread {} ms",
            max_wake_delay.as_millis()
        )?;
        if result.violations.is_empty() {
            continue;
        }
        print_result(&mut out, &plan, &result)?;
        failed_seeds.push(seed);
        if arguments.continue_after_violation {
            continue;
        }
        if !arguments.no_shrink {
            let (smaller, result) = shrink(&program, seed, &size, plan, result)?;
            writeln!(out, "smallest plan found that violates a rule:")?;
            print_result(&mut out, &smaller, &result)?;
        }
        break;
    }
    if failed_seeds.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    writeln!(out, "seeds with violations: {failed_seeds:?}")?;
    Ok(ExitCode::FAILURE)
}

/// A process that keeps a core busy.
struct BusyProcess(Child);

impl BusyProcess {
    fn start() -> io::Result<Self> {
        Command::new("sh").args(["-c", "while :; do :; done"]).spawn().map(Self)
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Prints a plan, its violations and the timeline of a message.
fn print_result(out: &mut impl Write, plan: &[ScheduledFault], result: &RunResult) -> io::Result<()> {
    plan.iter().try_for_each(|fault| writeln!(out, "  {fault}"))?;
    result.violations.iter().try_for_each(|violation| writeln!(out, "  broken: {violation}"))?;
    write!(out, "{}", result.timeline)
}

/// Removes faults from a plan as long as the smaller plan also violates a rule. Returns the smallest plan
/// found, and its result.
fn shrink(
    program: &Path,
    seed: u64,
    size: &RunSize,
    mut plan: Vec<ScheduledFault>,
    mut result: RunResult,
) -> io::Result<(Vec<ScheduledFault>, RunResult)> {
    let mut chunk = plan.len().div_ceil(2);
    while chunk > 0 {
        let mut index = 0;
        while index < plan.len() && plan.len() > 1 {
            let mut fewer = plan.clone();
            fewer.drain(index..(index + chunk).min(plan.len()));
            let smaller_result = run(program, seed, size, &fewer)?;
            if smaller_result.violations.is_empty() {
                index += chunk;
            } else {
                (plan, result) = (fewer, smaller_result);
            }
        }
        chunk /= 2;
    }
    Ok((plan, result))
}
