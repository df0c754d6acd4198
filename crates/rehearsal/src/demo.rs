//! The first look: a real sender on loopback, emulated partners, both classes of traffic, and a hall that
//! goes silent.

use crate::checker::check;
use crate::live::Live;
use crate::run::{Play, run_live};
use crate::{report, scenario, score};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// What is played.
const SCENARIO: &str = include_str!("../../../rehearsals/demo.toml");

/// Plays it, shows what happens, and leaves report and configuration in `folder`. Gives whether all rules
/// were kept.
///
/// # Errors
/// What could not be built or written.
pub fn demo(command: Vec<PathBuf>, folder: &Path) -> Result<bool, String> {
    let scenario = scenario::parse(SCENARIO, "demo.toml", PathBuf::new()).map_err(|e| e.to_string())?;
    let scenario = Rc::new(scenario);
    let place = Live::new(scenario.senders.count, command, folder)?;
    let at = crate::hosts::Hosts::address(&place, crate::hosts::Who::Sender(0));
    println!("One real sender listens on {at}. Partners, clients and discovery are emulated on loopback.");
    println!("While this runs, hand in a message of your own:\n");
    println!(
        "  curl -i http://{at}/update -H 'X-Request-ID: 00000000000000aa' -H 'X-Priority-Class: update' \\"
    );
    println!("    -H 'X-Tenant-Id: acme' -H 'X-Timeout-Ms: 5000' -H 'X-Envelope: dest=1' -d 'hello'\n");
    println!(
        "{:>5}  {:<8} {:>6} {:>6} {:>9} {:>8} {:>8}",
        "s", "partner", "asked", "held", "delivered", "calls", "refused"
    );
    let outcome = run_live(&scenario, scenario.seed, place, true, look)?;
    let breaches = check(&outcome);
    let score = score::score(&outcome, breaches.len());
    let page = folder.join("report.html");
    let text = report::html(&outcome, &score, &breaches, None)?;
    std::fs::write(&page, text).map_err(|e| format!("{}: {e}", page.display()))?;
    println!("\n{}", report::text(&outcome, &score, &breaches));
    println!("report with plots:            {}", page.display());
    println!("the sender's configuration:   {}", folder.join("n0/config.json").display());
    println!("its log and its state folder: {}", folder.join("n0").display());
    Ok(breaches.is_empty())
}

/// Prints what each partner has had so far, every second second.
fn look(play: &Play) {
    let book = play.book();
    let second = book.now() / 1_000_000;
    if second % 2 == 1 {
        return;
    }
    let s = play.scenario();
    let destinations = s.destinations();
    // By partner: asked for, held, delivered.
    let mut counts: BTreeMap<usize, [usize; 3]> = BTreeMap::new();
    let orders = book.orders.borrow();
    for m in book.messages.borrow().values() {
        let partner = destinations[orders[m.order].destination].0;
        let c = counts.entry(partner).or_default();
        let taken = m.answered.is_some_and(|a| matches!(a.1, 200 | 202));
        c[0] += 1;
        c[1] += usize::from(taken && m.delivered.is_none() && m.notices.is_empty());
        c[2] += usize::from(m.delivered.is_some());
    }
    for e in s.event.iter().map(|e| e.get_ref()).filter(|e| (e.at_s as u64).abs_diff(second) < 2) {
        if e.at_s as u64 <= second {
            println!(
                "       -- {:?} {} --",
                e.what,
                e.hall.as_deref().or(e.partner.as_deref()).unwrap_or("")
            );
        }
    }
    for (n, p) in s.partner.iter().enumerate() {
        let [asked, held, delivered] = counts.get(&n).copied().unwrap_or_default();
        let (mut calls, mut refused) = (0, 0);
        for (shell, _) in play.shells().iter().zip(&destinations).filter(|(_, d)| d.0 == n) {
            let model = shell.model();
            let all = &model.ledger().calls;
            calls += all.len();
            refused += all.iter().filter(|c| matches!(c.answer, Some((_, 429 | 503)))).count();
        }
        let name = &p.get_ref().name;
        println!("{second:>5}  {name:<8} {asked:>6} {held:>6} {delivered:>9} {calls:>8} {refused:>8}");
    }
}
