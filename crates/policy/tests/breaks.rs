//! What broken connections and rests do to a destination: chance is no congestion, one moment is one event,
//! and there is always a next trial.

mod common;
use common::*;
use notchpoint_policy::*;
use proptest::prelude::*;

/// Calls that fill the window, each served after 100 ms, but each `every`-th broken; gives the calls out on
/// average over the last ten seconds.
fn load(every: u32, seconds: u32) -> f64 {
    let mut rig = Rig::new(settings(), 0, 2);
    let (mut ended, mut sum, mut looks) = (0, 0.0, 0.0);
    for step in 0..seconds * 10 {
        while rig.sender.waiting_count() < 20 {
            rig.submit(IDEMPOTENT);
        }
        for o in rig.in_flight.clone() {
            ended += 1;
            rig.end(o.id, if ended % every == 0 { Outcome::Reset } else { Outcome::Served });
        }
        rig.advance(100 * MS);
        if step + 100 >= seconds * 10 {
            (sum, looks) = (sum + rig.in_flight.len() as f64, looks + 1.0);
        }
    }
    sum / looks
}

#[test]
fn two_per_cent_random_resets_at_full_load_leave_the_window() {
    // Guards against a window at its floor because the network resets a connection now and then.
    let out = load(50, 60);
    assert!(out > 9.0, "{out} calls out of twelve");
}

#[test]
fn an_endpoint_that_resets_every_third_request_is_eased() {
    let out = load(3, 60);
    assert!(out < 4.0, "{out} calls out");
}

#[test]
fn ten_calls_that_one_crash_resets_are_one_event() {
    let mut rig = Rig::new(Settings { slots: 24, ..settings() }, 0, 2);
    rig.submit_many(80);
    rig.serve(24);
    rig.advance(50 * MS);
    let out = rig.in_flight.len();
    assert!(out >= 10, "{out}");
    for o in rig.in_flight.clone() {
        rig.end(o.id, Outcome::Reset);
    }
    let window = rig.sender.route_views(None)[0].window;
    assert!(window >= out as f64 / 2.0, "{window} after {out} calls out, {:?}", rig.sender.route_views(None));
}

#[test]
fn a_lost_answer_at_the_floor_renews_nothing() {
    // Guards against a window at one call for good: one lost answer every few seconds renewed the cooldown.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(2);
    rig.serve(2);
    assert_eq!(rig.sender.route_views(None)[0].window, 2.0);
    let cut = rig.submit(IDEMPOTENT);
    rig.advance(400 * MS);
    rig.end(cut, Outcome::TimedOut);
    assert_eq!(rig.sender.route_views(None)[0].window, 1.0);
    let from = rig.now;
    // For eight seconds every other call times out. Then the first ones served count.
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
    // Its failures were an outage, so it is in slow start, and calls are some way apart.
    for _ in 0..3 {
        rig.advance_until_sent();
        rig.serve(1);
    }
    assert!(rig.sender.route_views(None)[0].window > 1.0);
}

#[test]
fn both_endpoints_die_in_one_moment_and_one_is_back_after_half_a_second() {
    // Guards against both resting for eight seconds, since each broken call doubled a rest.
    let mut rig = Rig::new(settings(), 0, 2);
    rig.submit_many(60);
    rig.serve(20);
    for o in rig.in_flight.clone() {
        rig.end(o.id, Outcome::Reset);
    }
    rig.advance(500 * MS);
    let (back, from) = (1, rig.now);
    while rig.now < from + 4 * SEC {
        for o in rig.in_flight.clone() {
            let sound = o.endpoint == back;
            rig.end(o.id, if sound { Outcome::Served } else { Outcome::ConnectFailed });
        }
        rig.advance(50 * MS);
    }
    let served = rig.sender.route_views(None)[0].hold.is_none();
    assert!(served && rig.sender.waiting_count() < 40, "{} wait", rig.sender.waiting_count());
}

#[test]
fn where_all_endpoints_rest_trials_go_on() {
    // Guards against a destination that nobody tries for the eight seconds that both of its endpoints rest.
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
    assert!(longest < 3 * SEC, "nothing was tried for {} ms", longest / MS);
}

#[test]
fn an_endpoint_that_fails_one_class_is_tried_ever_more_rarely_with_it() {
    // Guards against its rest being cut to one second: a message has few attempts, and each trial costs one.
    let mut rig = Rig::new(Settings { max_attempts: 100, ..settings() }, 0, 1);
    let failing = rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
    for _ in 0..150 {
        rig.submit_to(AT_MOST_ONCE, 1, None, 1_000 * SEC);
        for o in rig.in_flight.clone() {
            rig.end(o.id, if o.id == failing { Outcome::Failed } else { Outcome::Served });
        }
        rig.advance(100 * MS);
    }
    let tries = rig.attempts[&failing];
    assert!((4..=8).contains(&tries), "{tries} tries in 15 s");
}

/// A trial comes so soon, whatever happened: the longest wait for a breaker's trial, for a rest after
/// refusals and for credit, one behind the other.
const BOUND: Micros = 9 * SEC;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// The randomised search: after any course of outcomes, a destination with a live endpoint and a safe
    /// message that may be sent gets a call within the bound.
    #[test]
    fn there_is_always_a_next_trial(
        steps in prop::collection::vec((0u8..8, 0u64..700), 1..120),
        endpoints in 1u32..4,
        per_endpoint in any::<bool>(),
    ) {
        let set = Settings { max_attempts: 1_000, ..settings() };
        let mut rig = Rig::new(set, u32::from(per_endpoint), endpoints);
        for (what, ms) in steps {
            rig.advance(ms * MS);
            if rig.sender.waiting_count() < 8 {
                rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
            }
            let outcome = match what {
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
            if let Some(o) = rig.in_flight.first() {
                let id = o.id;
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
