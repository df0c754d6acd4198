//! Senders that leave a zone together, with the daemon's own code in virtual time.

use crate::{play, shipped};
use notchpoint_rehearsal::Options;

#[test]
fn a_zone_left_together_costs_fewer_calls_than_each_for_itself_and_breaks_no_rule() {
    let text = shipped("zone-left.toml");
    for seed in [1, 2] {
        let (_, with, breaches) = play(&text, seed, &Options::default());
        assert!(breaches.is_empty(), "{}", breaches[0]);
        let (_, without, _) = play(&text.replace("zones = true", "zones = false"), seed, &Options::default());
        // Calls that came to nothing: more than there were messages.
        let wasted = |c: usize, orders: usize| c.saturating_sub(orders);
        let (a, b) = (&with.counts, &without.counts);
        let (a, b) = (wasted(a.calls, a.orders), wasted(b.calls, b.orders));
        assert!(4 * a < 3 * b, "seed {seed}: {a} calls wasted, {b} alone");
    }
}

#[test]
fn a_return_is_borne_by_cold_endpoints_also_when_half_of_the_notes_are_lost_and_senders_die() {
    let text = shipped("zone-left.toml")
        .replace("latency_ms = 1", "latency_ms = 1\nnotes_lost = 0.5\nnotes_late_ms = 400");
    let kill = |at: f64, sender: usize| {
        format!("\n[[event]]\nat_s = {at}\ndo = \"kill\"\nsender = {sender}\nfor_s = 1.0\n")
    };
    // While it is left, and while it is returned to.
    let kills: String = (0..24).step_by(3).map(|n| kill(if n % 2 == 0 { 20.0 } else { 56.0 }, n)).collect();
    for seed in [3, 4] {
        let (_, _, breaches) = play(&format!("{text}{kills}"), seed, &Options::default());
        assert!(breaches.is_empty(), "{}", breaches[0]);
    }
}
