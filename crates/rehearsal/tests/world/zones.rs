//! Evacuation of a zone by all senders, with the daemon's own code in virtual time.

use crate::{run_text, shipped};
use notchpoint_rehearsal::Options;

#[test]
fn evacuating_together_wastes_fewer_calls_and_violates_no_rule() {
    let text = shipped("zone-left.toml");
    for seed in [1, 2] {
        let (_, with, violations) = run_text(&text, seed, &Options::default());
        assert!(violations.is_empty(), "{}", violations[0]);
        let (_, without, _) =
            run_text(&text.replace("zones = true", "zones = false"), seed, &Options::default());
        // Wasted calls: those in excess of the number of orders.
        let wasted = |calls: usize, orders: usize| calls.saturating_sub(orders);
        let (together, alone) = (&with.counts, &without.counts);
        let (together, alone) = (wasted(together.calls, together.orders), wasted(alone.calls, alone.orders));
        assert!(4 * together < 3 * alone, "seed {seed}: {together} calls wasted, {alone} alone");
    }
}

#[test]
fn return_does_not_overload_cold_endpoints_with_half_of_the_notes_lost_and_senders_killed() {
    let text = shipped("zone-left.toml")
        .replace("latency_ms = 1", "latency_ms = 1\nnotes_lost = 0.5\nnotes_late_ms = 400");
    let kill = |at: f64, sender: usize| {
        format!("\n[[event]]\nat_s = {at}\ndo = \"kill\"\nsender = {sender}\nfor_s = 1.0\n")
    };
    // Senders are killed during the evacuation and during the return.
    let kills: String = (0..24).step_by(3).map(|n| kill(if n % 2 == 0 { 20.0 } else { 56.0 }, n)).collect();
    for seed in [3, 4] {
        let (_, _, violations) = run_text(&format!("{text}{kills}"), seed, &Options::default());
        assert!(violations.is_empty(), "{}", violations[0]);
    }
}
