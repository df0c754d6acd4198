//! Tests of failed connections and backoffs: random failures are no congestion, simultaneous failures count
//! once, and there is always a next call.

mod common;
use common::*;
use notchpoint_policy::*;
use proptest::prelude::*;

/// Keeps the window full with calls that are served after 100 ms, of which every `every`-th is reset, and
/// returns the mean number of calls in flight over the last ten seconds.
fn mean_in_flight(every: u32, seconds: u32) -> f64 {
    let mut rig = Rig::new(settings(), 0, 2);
    let (mut ended, mut sum, mut samples) = (0, 0.0, 0.0);
    for step in 0..seconds * 10 {
        while rig.sender.waiting_count() < 20 {
            rig.submit(IDEMPOTENT);
        }
        for attempt in rig.in_flight.clone() {
            ended += 1;
            rig.end(attempt.id, if ended % every == 0 { Outcome::Reset } else { Outcome::Served });
        }
        rig.advance(100 * MS);
        if step + 100 >= seconds * 10 {
            (sum, samples) = (sum + rig.in_flight.len() as f64, samples + 1.0);
        }
    }
    sum / samples
}

#[test]
fn two_per_cent_random_resets_at_full_load_keep_the_window_open() {
    // Guards against a window at its floor because the network resets a connection occasionally.
    let in_flight = mean_in_flight(50, 60);
    assert!(in_flight > 9.0, "{in_flight} of twelve calls in flight");
}

#[test]
fn resets_of_every_third_call_reduce_the_window() {
    let in_flight = mean_in_flight(3, 60);
    assert!(in_flight < 4.0, "{in_flight} calls in flight");
}

#[test]
fn calls_that_one_crash_resets_cut_the_window_once() {
    let mut rig = Rig::new(Settings { slots: 24, ..settings() }, 0, 2);
    rig.submit_many(80);
    rig.serve(24);
    rig.advance(50 * MS);
    let in_flight = rig.in_flight.len();
    assert!(in_flight >= 10, "{in_flight}");
    for attempt in rig.in_flight.clone() {
        rig.end(attempt.id, Outcome::Reset);
    }
    let window = rig.sender.route_views(None)[0].window;
    assert!(
        window >= in_flight as f64 / 2.0,
        "{window} after {in_flight} calls in flight, {:?}",
        rig.sender.route_views(None)
    );
}

#[test]
fn a_lost_answer_at_the_least_window_does_not_restart_the_cooldown() {
    // Guards against a window that stays at one call because lost answers every few seconds restart the
    // cooldown.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(2);
    rig.serve(2);
    assert_eq!(rig.sender.route_views(None)[0].window, 2.0);
    let cut = rig.submit(IDEMPOTENT);
    rig.advance(400 * MS);
    rig.end(cut, Outcome::TimedOut);
    assert_eq!(rig.sender.route_views(None)[0].window, 1.0);
    let from = rig.now;
    // For eight seconds every other call times out. After that served calls raise the window.
    while rig.now < from + 8 * SEC {
        for outcome in [Outcome::TimedOut, Outcome::Served] {
            rig.advance(500 * MS);
            if rig.in_flight.is_empty() {
                rig.submit(IDEMPOTENT);
                rig.advance(2 * SEC);
            }
            rig.end_all(outcome);
        }
    }
    rig.submit_many(4);
    rig.advance(2 * SEC);
    // The failures count as an outage, so the destination is in slow start and calls are sparse.
    for _ in 0..3 {
        rig.advance_until_sent();
        rig.serve(1);
    }
    assert!(rig.sender.route_views(None)[0].window > 1.0);
}

#[test]
fn one_of_two_failed_endpoints_is_used_soon_after_its_return() {
    // Guards against backoffs of eight seconds at both endpoints because each failed call doubled them.
    let mut rig = Rig::new(settings(), 0, 2);
    rig.submit_many(60);
    rig.serve(20);
    for attempt in rig.in_flight.clone() {
        rig.end(attempt.id, Outcome::Reset);
    }
    rig.advance(500 * MS);
    let (returned, from) = (1, rig.now);
    while rig.now < from + 4 * SEC {
        for attempt in rig.in_flight.clone() {
            let serves = attempt.endpoint == returned;
            rig.end(attempt.id, if serves { Outcome::Served } else { Outcome::ConnectFailed });
        }
        rig.advance(50 * MS);
    }
    let is_free = rig.sender.route_views(None)[0].hold.is_none();
    assert!(is_free && rig.sender.waiting_count() < 40, "{} wait", rig.sender.waiting_count());
}

#[test]
fn probes_continue_while_all_endpoints_are_in_backoff() {
    // Guards against a destination that receives no call for the eight seconds in which both endpoints are
    // in backoff.
    let mut rig = Rig::new(Settings { max_attempts: 1_000, ..settings() }, 0, 2);
    for _ in 0..8 {
        rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
    }
    let (mut last, mut longest) = (rig.now, 0);
    for _ in 0..400 {
        rig.end_all(Outcome::ConnectFailed);
        rig.advance(50 * MS);
        if !rig.in_flight.is_empty() {
            (longest, last) = (longest.max(rig.now - last), rig.now);
        }
    }
    assert!(longest < 3 * SEC, "no call for {} ms", longest / MS);
}

#[test]
fn an_endpoint_that_fails_one_class_gets_fewer_and_fewer_calls_of_that_class() {
    // Guards against a constant backoff of one second: a message has few attempts, and each retry costs one.
    let mut rig = Rig::new(Settings { max_attempts: 100, ..settings() }, 0, 1);
    let failing = rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
    for _ in 0..150 {
        rig.submit_to(AT_MOST_ONCE, 1, None, 1_000 * SEC);
        for attempt in rig.in_flight.clone() {
            rig.end(attempt.id, if attempt.id == failing { Outcome::Failed } else { Outcome::Served });
        }
        rig.advance(100 * MS);
    }
    let attempts = rig.attempts[&failing];
    assert!((4..=8).contains(&attempts), "{attempts} attempts in 15 s");
}

/// The longest time without a call: the longest waits for a breaker's probe, for the backoff after refusals
/// and for credit, one after the other.
const BOUND: Micros = 9 * SEC;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// After any sequence of outcomes, a destination with a live endpoint and an idempotent message that may
    /// be sent receives a call within the bound.
    #[test]
    fn there_is_always_a_next_call(
        steps in prop::collection::vec((0u8..8, 0u64..700), 1..120),
        endpoints in 1u32..4,
        per_endpoint in any::<bool>(),
    ) {
        let set = Settings { max_attempts: 1_000, ..settings() };
        let mut rig = Rig::new(set, u32::from(per_endpoint), endpoints);
        for (event, ms) in steps {
            rig.advance(ms * MS);
            if rig.sender.waiting_count() < 8 {
                rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
            }
            let outcome = match event {
                0 | 1 => Outcome::Served,
                2 => Outcome::Reset,
                3 => Outcome::ConnectFailed,
                4 => Outcome::TimedOut,
                5 => Outcome::Full { wait: None },
                6 => Outcome::Failed,
                _ => {
                    rig.end_all(Outcome::Reset);
                    continue;
                }
            };
            if let Some(attempt) = rig.in_flight.first() {
                let id = attempt.id;
                rig.end(id, outcome);
            }
        }
        rig.end_all(Outcome::Served);
        rig.end_all(Outcome::ConnectFailed);
        rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
        prop_assert!(!rig.in_flight.is_empty() || rig.sender.waiting_count() > 0);
        let until = rig.now + BOUND;
        while rig.in_flight.is_empty() && rig.now < until {
            rig.advance(100 * MS);
        }
        prop_assert!(
            !rig.in_flight.is_empty(),
            "no call in {} s: {:?}",
            BOUND / SEC,
            rig.sender.holds().first()
        );
    }
}
