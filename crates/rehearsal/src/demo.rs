//! The demo: a real sender on loopback sockets, emulated partners, two classes of traffic, and a zone that
//! stops responding.

use crate::checker::check;
use crate::live::Live;
use crate::run::{Runner, run_live};
use crate::{report, scenario, score};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Text of the demo scenario.
const SCENARIO: &str = include_str!("../../../rehearsals/demo.toml");

/// Runs the demo, prints its progress, and leaves report and configuration in `folder`. Returns whether all
/// rules were kept.
///
/// # Errors
/// Returns a description of what could not be set up or written.
pub fn demo(command: Vec<PathBuf>, folder: &Path) -> Result<bool, String> {
    let scenario = scenario::parse(SCENARIO, "demo.toml", PathBuf::new()).map_err(|e| e.to_string())?;
    let scenario = Rc::new(scenario);
    let hosts = Live::new(scenario.senders.count, command, folder)?;
    let at = crate::hosts::Hosts::address(&hosts, crate::hosts::Role::Sender(0));
    println!("One real sender listens on {at}. Partners, clients and discovery are emulated on loopback.");
    println!("While this runs, you can submit a message of your own:\n");
    println!(
        "  curl -i http://{at}/update -H 'X-Request-ID: 00000000000000aa' -H 'X-Priority-Class: update' \\"
    );
    println!("    -H 'X-Tenant-Id: acme' -H 'X-Timeout-Ms: 5000' -H 'X-Envelope: dest=1' -d 'hello'\n");
    println!(
        "{:>5}  {:<8} {:>6} {:>6} {:>9} {:>8} {:>8}",
        "s", "partner", "asked", "held", "delivered", "calls", "refused"
    );
    let result = run_live(&scenario, scenario.seed, hosts, true, print_progress)?;
    let violations = check(&result);
    let score = score::score(&result, violations.len());
    let page = folder.join("report.html");
    let text = report::html(&result, &score, &violations, None)?;
    std::fs::write(&page, text).map_err(|e| format!("{}: {e}", page.display()))?;
    println!("\n{}", report::text(&result, &score, &violations));
    println!("report with plots:            {}", page.display());
    println!("the sender's configuration:   {}", folder.join("n0/config.json").display());
    println!("its log and its state folder: {}", folder.join("n0").display());
    Ok(violations.is_empty())
}

/// Prints the counts of each partner every two seconds.
fn print_progress(runner: &Runner) {
    let observations = runner.observations();
    let second = observations.now() / 1_000_000;
    if second % 2 == 1 {
        return;
    }
    let scenario = runner.scenario();
    let destinations = scenario.destinations();
    // Messages by partner: submitted, held (accepted, but neither delivered nor ended by a notice), and
    // delivered.
    let mut counts: BTreeMap<usize, [usize; 3]> = BTreeMap::new();
    let orders = observations.orders.borrow();
    for message in observations.messages.borrow().values() {
        let partner = destinations[orders[message.order].destination].0;
        let partner_counts = counts.entry(partner).or_default();
        let is_accepted = message.answer.is_some_and(|answer| matches!(answer.1, 200 | 202));
        partner_counts[0] += 1;
        partner_counts[1] +=
            usize::from(is_accepted && message.delivered.is_none() && message.notices.is_empty());
        partner_counts[2] += usize::from(message.delivered.is_some());
    }
    for event in scenario
        .event
        .iter()
        .map(|event| event.get_ref())
        .filter(|event| (event.at_s as u64).abs_diff(second) < 2)
    {
        if event.at_s as u64 <= second {
            println!(
                "       -- {:?} {} --",
                event.kind,
                event.zone.as_deref().or(event.partner.as_deref()).unwrap_or("")
            );
        }
    }
    for (n, partner_spec) in scenario.partner.iter().enumerate() {
        let [submitted, held, delivered] = counts.get(&n).copied().unwrap_or_default();
        let (mut calls, mut refused) = (0, 0);
        for (emulated, _) in
            runner.emulated_destinations().iter().zip(&destinations).filter(|(_, d)| d.0 == n)
        {
            let model = emulated.model();
            let all = &model.ledger().calls;
            calls += all.len();
            refused += all.iter().filter(|call| matches!(call.answer, Some((_, 429 | 503)))).count();
        }
        let name = &partner_spec.get_ref().name;
        println!("{second:>5}  {name:<8} {submitted:>6} {held:>6} {delivered:>9} {calls:>8} {refused:>8}");
    }
}
