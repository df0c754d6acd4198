//! Tests of the window through the number of calls in flight.

mod common;
use common::*;
use notchpoint_policy::*;

/// Returns a rig with more messages than the window admits.
fn rig_with_backlog(slots: u32) -> Rig {
    let mut rig = Rig::new(Settings { slots, ..settings() }, 0, 1);
    rig.submit_many(60);
    rig
}

#[test]
fn the_window_starts_at_one_and_grows_by_half_a_call() {
    let mut rig = rig_with_backlog(16);
    assert_eq!(rig.in_flight.len(), 1);
    rig.serve(1);
    assert_eq!(rig.in_flight.len(), 1, "1.5 rounds down to one");
    rig.serve(1);
    assert_eq!(rig.in_flight.len(), 2);
    rig.serve(4);
    assert_eq!(rig.in_flight.len(), 4);
}

#[test]
fn the_window_is_limited_to_three_quarters_of_the_slots_and_at_least_one_call() {
    for (slots, max) in [(16, 12), (4, 3), (2, 1), (1, 1)] {
        let mut rig = rig_with_backlog(slots);
        rig.submit_many(100);
        for _ in 0..10 {
            rig.advance(100 * MS);
            rig.in_flight.clone().iter().for_each(|o| drop(rig.end(o.id, Outcome::Served)));
        }
        assert_eq!(rig.in_flight.len(), max, "{slots} slots");
    }
}

#[test]
fn a_refusal_halves_the_window_and_the_cooldown_stops_growth() {
    let mut rig = rig_with_backlog(16);
    rig.serve(14);
    assert_eq!(rig.in_flight.len(), 8);
    let id = rig.in_flight[0].id;
    rig.end(id, Outcome::Full { wait: None });
    assert_eq!(rig.in_flight.len(), 7, "a cut does not stop calls in flight");
    rig.serve(10);
    assert_eq!(rig.in_flight.len(), 4, "no growth within the cooldown");
    for _ in 0..17 {
        rig.submit_many(4);
        rig.serve(4);
        assert_eq!(rig.in_flight.len(), 4, "no growth within the cooldown");
    }
    rig.serve(3);
    assert_eq!(rig.in_flight.len(), 5);
}

#[test]
fn only_the_first_congestion_of_a_message_cuts_the_window() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(14);
    rig.serve(14);
    // The only message is refused repeatedly: one cut, from 8 to 4.
    let id = rig.submit(IDEMPOTENT);
    for _ in 0..3 {
        rig.end(id, Outcome::Full { wait: Some(100 * MS) });
        rig.advance(SEC);
        assert!(rig.is_in_flight(id));
    }
    rig.end(id, Outcome::Served);
    assert_eq!(rig.sender.route_views(None)[0].window, 4.0);
}

#[test]
fn plain_errors_do_not_cut_the_window() {
    let mut rig = rig_with_backlog(16);
    rig.serve(6);
    assert_eq!(rig.in_flight.len(), 4);
    let id = rig.in_flight[0].id;
    rig.end(id, Outcome::Failed);
    assert_eq!(rig.in_flight.len(), 4);
}

#[test]
fn spoilt_answers_neither_cut_the_window_nor_open_the_breaker() {
    // Guards against treating unreadable answers as a sign of load or of an outage: the calls ran.
    let mut rig = rig_with_backlog(16);
    rig.serve(6);
    for _ in 0..8 {
        let id = rig.in_flight[0].id;
        rig.end(id, Outcome::Spoilt);
        assert_eq!(rig.in_flight.len(), 4);
    }
}

#[test]
fn a_low_remaining_allowance_stops_growth_unless_there_is_no_limit() {
    for (limit, calls) in [(5.0, 1), (0.0, 3)] {
        let mut rig = rig_with_backlog(16);
        for _ in 0..4 {
            rig.advance(100 * MS);
            let id = rig.in_flight[0].id;
            rig.end_with_allowance(id, Outcome::Served, Some(Allowance { left: 0.05, limit }));
        }
        assert_eq!(rig.in_flight.len(), calls, "limit {limit}");
    }
}

#[test]
fn endpoint_routes_have_their_own_windows_under_one_limit() {
    let mut rig = Rig::new(Settings { slots: 4, ..settings() }, 1, 4);
    rig.submit_many(20);
    assert_eq!(rig.in_flight.len(), 3);
    let mut used: Vec<u32> = rig.in_flight.iter().map(|o| o.endpoint).collect();
    used.dedup();
    assert_eq!(used.len(), 3, "one call per route");
}

#[test]
fn nothing_is_sent_with_all_slots_busy() {
    let mut rig = Rig::new(Settings { slots: 3, ..settings() }, 0, 1);
    rig.list((1..6).map(|e| entry(e, u64::from(e) + 1, 0, Phase::Live)).collect());
    for dest in 1..7 {
        rig.submit_to(IDEMPOTENT, dest, None, 20 * SEC);
    }
    assert_eq!(rig.in_flight.len(), 3);
}

#[test]
fn a_bundle_is_one_call() {
    let mut rig = Rig::new(settings(), 2, 1);
    let mut events = Vec::new();
    (0..9).for_each(|_| events.push(rig.message(IDEMPOTENT, 1, None, 20 * SEC).1));
    rig.feed(&events);
    assert_eq!(rig.in_flight.len(), 5, "one call carries five, and the window is one");
}
