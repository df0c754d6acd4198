//! Compares the behaviour of the model with its parameters.

use notchpoint_emulator::partner::IncomingMessage;
use notchpoint_emulator::probe::{self, AnsweredCall, message};
use notchpoint_emulator::*;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

fn spec(slots: u32, queue: u32, ms: f64) -> PartnerSpec {
    let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: ms, cv: 0.0 })]);
    PartnerSpec { slots, queue, service, ..PartnerSpec::default() }
}

/// Offers calls to the first endpoint.
fn offer(partner: &mut Partner, from: Micros, seconds: f64, rate: f64) -> BTreeMap<CallId, AnsweredCall> {
    probe::offer(partner, &[0], from, seconds, rate)
}

fn served(answers: &BTreeMap<CallId, AnsweredCall>) -> usize {
    answers.values().filter(|answer| answer.is_served()).count()
}

#[test]
fn throughput_and_latency_follow_slots_queue_and_service_time() {
    // 4 slots of 50 ms: 80 calls a second and no more.
    for (rate, least, most) in [(40.0, 400, 400), (80.0, 795, 800), (200.0, 800, 815)] {
        let mut partner = Partner::new(spec(4, 8, 50.0), 1, 1);
        let answers = offer(&mut partner, 0, 10.0, rate);
        assert!((least..=most).contains(&served(&answers)), "{rate}: {}", served(&answers));
        let longest = answers.values().map(|answer| answer.answered_at - answer.sent_at).max().unwrap_or(0);
        // The service time, and the wait in the queue before it.
        assert!(longest <= 50_000 * 3, "{rate}: {longest}");
        assert_eq!(partner.ledger().effects.len(), served(&answers));
    }
}

#[test]
fn rate_limit_holds_over_all_endpoints_and_refusals_state_the_wait() {
    let mut partner =
        Partner::new(PartnerSpec { rate_per_s: Some(10.0), burst: 5.0, ..spec(50, 0, 1.0) }, 2, 1);
    let answers = offer(&mut partner, 0, 10.0, 100.0);
    assert!((100..=106).contains(&served(&answers)), "{}", served(&answers));
    let waits: Vec<Micros> = answers
        .values()
        .filter_map(
            |answer| if let Reply::Status(429, Some(wait)) = answer.reply { Some(wait) } else { None },
        )
        .collect();
    assert!(waits.len() > 800 && waits.iter().all(|w| (1..=100_000).contains(w)));
    // Without hints a refusal has no wait.
    let mut partner =
        Partner::new(PartnerSpec { rate_per_s: Some(10.0), hint: false, ..spec(50, 0, 1.0) }, 1, 1);
    let answers = offer(&mut partner, 0, 1.0, 100.0);
    assert!(answers.values().any(|answer| answer.reply == Reply::Status(503, None)));
}

const COLD: ColdStart =
    ColdStart { start_share: 0.2, warm_s: 10.0, fall_multiple: 2.0, fall_after_s: 1.0, down_s: 3.0 };

#[test]
fn after_an_outage_capacity_grows_from_the_start_share_to_full() {
    let mut partner = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 0, 50.0) }, 1, 1);
    let mut out = Vec::new();
    partner.apply_change(0, 0, Change::Die, &mut out);
    partner.apply_change(SECOND, 0, Change::Return, &mut out);
    for (at, share) in [(1.0, 0.2), (6.0, 0.6), (11.0, 1.0), (60.0, 1.0)] {
        assert!((partner.capacity_share(0, (at * 1e6) as Micros) - share).abs() < 1e-9, "{at}");
    }
    // The capacity is 16 calls a second at first. 5 a second are served, the first in 250 ms and each
    // further one in less.
    let answers = offer(&mut partner, SECOND, 1.0, 5.0);
    assert_eq!(served(&answers), 5);
    assert!(
        answers.values().all(|answer| (185_000..=250_000).contains(&(answer.answered_at - answer.sent_at))),
        "{answers:?}"
    );
}

#[test]
fn a_cold_endpoint_fails_under_overload_and_recovers_after_the_stated_time() {
    let mut partner = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 8, 50.0) }, 1, 1);
    let mut out = Vec::new();
    partner.apply_change(0, 0, Change::Die, &mut out);
    partner.apply_change(SECOND, 0, Change::Return, &mut out);
    // Its capacity in the first second is 16 to 22 calls: 30 is within twice that, 60 is not.
    let answers = offer(&mut partner, SECOND, 1.5, 30.0);
    assert!(partner.ledger().overload_failures.is_empty() && served(&answers) > 10);
    let mut partner = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 8, 50.0) }, 1, 1);
    partner.apply_change(0, 0, Change::Die, &mut out);
    partner.apply_change(SECOND, 0, Change::Return, &mut out);
    offer(&mut partner, SECOND, 2.5, 60.0);
    let (at, _) = partner.ledger().overload_failures[0];
    assert!((2 * SECOND..2 * SECOND + 200_000).contains(&at), "{at}");
    // Its calls are lost, and it recovers by itself, cold again.
    partner.poll(at + 3 * SECOND, &mut out);
    assert!(partner.is_up(0) && partner.capacity_share(0, at + 3 * SECOND) < 0.21);
}

#[test]
fn an_abandoned_call_completes_in_service_and_is_removed_from_the_queue() {
    for (runs_abandoned, effects) in [(false, 1), (true, 2)] {
        let mut partner = Partner::new(PartnerSpec { runs_abandoned, ..spec(1, 4, 50.0) }, 1, 1);
        let mut out = Vec::new();
        let first = partner.receive_call(0, 0, 0, 0, message(1), &mut out);
        let second = partner.receive_call(0, 0, 0, 0, message(2), &mut out);
        partner.abandon_call(10_000, first);
        partner.abandon_call(10_000, second);
        while let Some(wake) = partner.next_wake() {
            partner.poll(wake, &mut out);
        }
        assert!(out.is_empty(), "an abandoned call was answered: {out:?}");
        assert_eq!(partner.ledger().effects.len(), effects);
        assert!(partner.ledger().effects.iter().all(|e| e.abandoned));
    }
}

#[test]
fn duplicates_are_dropped_only_within_the_deduplication_window() {
    let mut partner = Partner::new(spec(1, 4, 1.0), 1, 1);
    let mut out = Vec::new();
    for (at, id) in [(0, 1), (SECOND, 2), (4 * SECOND, 3)] {
        let call =
            vec![IncomingMessage { id, class: "order".into(), dedup_window: Some(3 * SECOND), dedup_key: 7 }];
        partner.receive_call(at, at, 0, 0, call, &mut out);
        partner.poll(at + 2_000, &mut out);
    }
    let dropped: Vec<bool> = partner.ledger().effects.iter().map(|e| e.is_duplicate).collect();
    assert_eq!(dropped, [false, true, false]);
    assert_eq!(out.len(), 3);
}

#[test]
fn a_pause_delays_calls_in_service_and_thrash_lengthens_service_times() {
    let mut partner = Partner::new(spec(1, 4, 50.0), 1, 1);
    let mut out = Vec::new();
    partner.receive_call(0, 0, 0, 0, message(1), &mut out);
    partner.apply_change(10_000, 0, Change::Pause(SECOND), &mut out);
    partner.receive_call(20_000, 20_000, 0, 0, message(2), &mut out);
    partner.poll(SECOND, &mut out);
    assert!(out.is_empty());
    partner.poll(SECOND + 50_000, &mut out);
    assert_eq!(out.len(), 1);
    let thrash = Some(Thrash { from_load: 1.0, slowdown: 1.0 });
    let mut partner = Partner::new(PartnerSpec { thrash, ..spec(2, 100, 50.0) }, 1, 1);
    let calm = Partner::new(spec(2, 100, 50.0), 1, 1);
    let mut slow =
        offer(&mut partner, 0, 2.0, 60.0).values().map(|answer| answer.answered_at).collect::<Vec<_>>();
    slow.sort_unstable();
    let mut calm = calm;
    let quick = offer(&mut calm, 0, 2.0, 60.0).values().map(|answer| answer.answered_at).max();
    assert!(slow.last().copied() > quick.map(|t| t * 2), "{slow:?} {quick:?}");
}

#[test]
fn answers_are_equal_for_equal_seeds_and_differ_for_different_ones() {
    let answers_with = |seed| {
        let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: 50.0, cv: 0.8 })]);
        let mut partner = Partner::new(PartnerSpec { service, error_share: 0.2, ..spec(4, 8, 0.0) }, 1, seed);
        let faults = Faults { silent: 0.1, reset: 0.1, spoilt: 0.1, half: 0.1, trickle: 0.1 };
        partner.apply_change(0, 0, Change::Faults(faults), &mut Vec::new());
        format!("{:?}", offer(&mut partner, 0, 5.0, 50.0))
    };
    assert_eq!(answers_with(1), answers_with(1));
    assert_ne!(answers_with(1), answers_with(2));
    for kind in ["Silent", "Reset", "Spoilt", "Half", "Trickle", "Status(500"] {
        assert!(answers_with(1).contains(kind), "{kind}");
    }
}
