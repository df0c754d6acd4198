//! Why a message fared as it did: what those beside the senders saw, and what the sender's own recorder says.

use crate::hosts::Options;
use crate::run::{Outcome, run};
use crate::scenario::Scenario;
use notchpoint::cli;
use std::fmt::Write;
use std::path::Path;
use std::rc::Rc;

/// Plays a scenario again with the flight recorders on, and says all that is known of a message.
///
/// # Errors
/// It cannot be played, or the message is not in it.
pub fn explain(scenario: &Rc<Scenario>, seed: u64, id: u64, folder: &Path) -> Result<String, String> {
    let options = Options { record: Some(folder.to_owned()), ..Options::default() };
    let outcome = run(scenario, seed, &options)?;
    let (text, sender) = outside(&outcome, id)?;
    // The recorder's own words follow, on standard output as those of `notchpoint explain` always do.
    print!("{text}");
    let recording = folder.join(format!("n{sender}"));
    let words = ["notchpoint".into(), "explain".into(), recording.into_os_string()];
    let message = ["--message".into(), format!("{id:016x}").into()];
    cli::run(clap::Parser::parse_from(words.into_iter().chain(message)));
    Ok(text)
}

/// What client, partners and platform saw, and which sender had it.
fn outside(o: &Outcome, id: u64) -> Result<(String, usize), String> {
    let messages = o.book.messages.borrow();
    let m = messages.get(&id).ok_or_else(|| format!("message {id:016x} was not handed in with this seed"))?;
    let order = &o.book.orders.borrow()[m.order];
    let class = &o.scenario.class[order.class].get_ref().name;
    let s = |t: u64| format!("{:.3} s", t as f64 / 1e6);
    let mut t = format!(
        "message {id:016x} of class {class} to destination {}, order {} asked for at {}\n",
        order.destination,
        m.order,
        s(order.asked)
    );
    let _ = writeln!(
        t,
        "  client: handed to sender {} at {}, time up at {}",
        m.sender,
        s(m.handed),
        s(m.deadline)
    );
    if let Some((at, status)) = m.answered {
        let _ = writeln!(t, "  client: answered {status} at {}", s(at));
    }
    if let Some(at) = m.forsaken {
        let _ = writeln!(t, "  client: gave up waiting for an answer at {}", s(at));
    }
    for (d, ledger) in o.ledgers.iter().enumerate() {
        for c in ledger.calls.iter().filter(|c| c.messages.contains(&id)) {
            let answer = c.answer.map_or("none".into(), |(at, status)| format!("{status} at {}", s(at)));
            let gone = c.caller_gone_at.map(|at| format!(", caller gone at {}", s(at))).unwrap_or_default();
            let _ = writeln!(
                t,
                "  partner {d}/{}: call at {}, answer {answer}{gone}",
                c.endpoint,
                s(c.received_at)
            );
        }
        for e in ledger.effects.iter().filter(|e| e.message == id) {
            let what = if e.is_duplicate { "dropped as a repeat" } else { "took effect" };
            let _ = writeln!(t, "  partner {d}/{}: {what} at {}", e.endpoint, s(e.at));
        }
    }
    for n in &m.notices {
        let _ = writeln!(t, "  platform: notice {} at {}", n.verdict, s(n.at));
    }
    Ok((t, m.sender))
}
