//! Explains the course of a message from the observations outside the senders and from the sender's flight
//! recorder.

use crate::hosts::Options;
use crate::run::{RunResult, run};
use crate::scenario::Scenario;
use notchpoint::cli;
use std::fmt::Write;
use std::path::Path;
use std::rc::Rc;

/// Runs a scenario with flight recorders enabled and prints all that is known of a message.
///
/// # Errors
/// Fails if the scenario cannot be run or has no such message.
pub fn explain(scenario: &Rc<Scenario>, seed: u64, id: u64, folder: &Path) -> Result<String, String> {
    let options = Options { record: Some(folder.to_owned()), ..Options::default() };
    let result = run(scenario, seed, &options)?;
    let (text, sender) = describe_external_view(&result, id)?;
    // The recorder's explanation follows on standard output, where `notchpoint explain` prints it.
    print!("{text}");
    let recording = folder.join(format!("n{sender}"));
    let arguments = ["notchpoint".into(), "explain".into(), recording.into_os_string()];
    let message = ["--message".into(), format!("{id:016x}").into()];
    cli::run(clap::Parser::parse_from(arguments.into_iter().chain(message)));
    Ok(text)
}

/// Describes what client, partners and platform observed. Returns the text and the index of the sender.
fn describe_external_view(result: &RunResult, id: u64) -> Result<(String, usize), String> {
    let messages = result.observations.messages.borrow();
    let message =
        messages.get(&id).ok_or_else(|| format!("message {id:016x} was not submitted with this seed"))?;
    let order = &result.observations.orders.borrow()[message.order];
    let class = &result.scenario.class[order.class].get_ref().name;
    let seconds = |time: u64| format!("{:.3} s", time as f64 / 1e6);
    let mut text = format!(
        "message {id:016x} of class {class} to destination {}, order {} created at {}\n",
        order.destination,
        message.order,
        seconds(order.requested_at)
    );
    let _ = writeln!(
        text,
        "  client: submitted to sender {} at {}, deadline at {}",
        message.sender,
        seconds(message.submitted_at),
        seconds(message.deadline)
    );
    if let Some((at, status)) = message.answer {
        let _ = writeln!(text, "  client: answered {status} at {}", seconds(at));
    }
    if let Some(at) = message.abandoned_at {
        let _ = writeln!(text, "  client: gave up waiting for an answer at {}", seconds(at));
    }
    for (destination, ledger) in result.ledgers.iter().enumerate() {
        for call in ledger.calls.iter().filter(|call| call.messages.contains(&id)) {
            let answer =
                call.answer.map_or("none".into(), |(at, status)| format!("{status} at {}", seconds(at)));
            let gone = call
                .caller_gone_at
                .map(|at| format!(", caller closed at {}", seconds(at)))
                .unwrap_or_default();
            let _ = writeln!(
                text,
                "  partner {destination}/{}: call at {}, answer {answer}{gone}",
                call.endpoint,
                seconds(call.received_at)
            );
        }
        for effect in ledger.effects.iter().filter(|effect| effect.message == id) {
            let what = if effect.is_duplicate { "dropped as a repeat" } else { "took effect" };
            let _ = writeln!(
                text,
                "  partner {destination}/{}: {what} at {}",
                effect.endpoint,
                seconds(effect.at)
            );
        }
    }
    for notice in &message.notices {
        let _ = writeln!(text, "  platform: notice {} at {}", notice.verdict, seconds(notice.at));
    }
    Ok((text, message.sender))
}
