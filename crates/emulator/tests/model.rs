//! The model against what its parameters say.

use notchpoint_emulator::partner::IncomingMessage;
use notchpoint_emulator::probe::{self, Answered, message};
use notchpoint_emulator::*;
use std::collections::BTreeMap;

const SEC: Micros = 1_000_000;

fn spec(slots: u32, queue: u32, ms: f64) -> PartnerSpec {
    let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: ms, cv: 0.0 })]);
    PartnerSpec { slots, queue, service, ..PartnerSpec::default() }
}

/// Offers calls to the first endpoint.
fn offer(p: &mut Partner, from: Micros, seconds: f64, rate: f64) -> BTreeMap<CallId, Answered> {
    probe::offer(p, &[0], from, seconds, rate)
}

fn served(answers: &BTreeMap<CallId, Answered>) -> usize {
    answers.values().filter(|a| a.served()).count()
}

#[test]
fn throughput_and_latency_follow_slots_queue_and_service_time() {
    // 4 slots of 50 ms: 80 calls a second and no more.
    for (rate, least, most) in [(40.0, 400, 400), (80.0, 795, 800), (200.0, 800, 815)] {
        let mut p = Partner::new(spec(4, 8, 50.0), 1, 1);
        let answers = offer(&mut p, 0, 10.0, rate);
        assert!((least..=most).contains(&served(&answers)), "{rate}: {}", served(&answers));
        let longest = answers.values().map(|a| a.answered - a.at).max().unwrap_or(0);
        // A slot, and the queue before it.
        assert!(longest <= 50_000 * 3, "{rate}: {longest}");
        assert_eq!(p.ledger().effects.len(), served(&answers));
    }
}

#[test]
fn a_plain_rate_is_kept_over_all_endpoints_and_tells_when() {
    let mut p = Partner::new(PartnerSpec { rate_per_s: Some(10.0), burst: 5.0, ..spec(50, 0, 1.0) }, 2, 1);
    let answers = offer(&mut p, 0, 10.0, 100.0);
    assert!((100..=106).contains(&served(&answers)), "{}", served(&answers));
    let waits: Vec<Micros> = answers
        .values()
        .filter_map(|a| if let Reply::Status(429, Some(w)) = a.reply { Some(w) } else { None })
        .collect();
    assert!(waits.len() > 800 && waits.iter().all(|w| (1..=100_000).contains(w)));
    // Without hints it says nothing of them.
    let mut p = Partner::new(PartnerSpec { rate_per_s: Some(10.0), hint: false, ..spec(50, 0, 1.0) }, 1, 1);
    let answers = offer(&mut p, 0, 1.0, 100.0);
    assert!(answers.values().any(|a| a.reply == Reply::Status(503, None)));
}

const COLD: ColdStart =
    ColdStart { start_share: 0.2, warm_s: 10.0, fall_multiple: 2.0, fall_after_s: 1.0, down_s: 3.0 };

#[test]
fn after_an_outage_it_is_slow_and_warms_up_as_stated() {
    let mut p = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 0, 50.0) }, 1, 1);
    let mut out = Vec::new();
    p.apply_change(0, 0, Change::Die, &mut out);
    p.apply_change(SEC, 0, Change::Return, &mut out);
    for (at, share) in [(1.0, 0.2), (6.0, 0.6), (11.0, 1.0), (60.0, 1.0)] {
        assert!((p.capacity_share(0, (at * 1e6) as Micros) - share).abs() < 1e-9, "{at}");
    }
    // 16 a second at first: 5 a second are served, each in 250 ms and less from call to call.
    let answers = offer(&mut p, SEC, 1.0, 5.0);
    assert_eq!(served(&answers), 5);
    assert!(answers.values().all(|a| (185_000..=250_000).contains(&(a.answered - a.at))), "{answers:?}");
}

#[test]
fn it_falls_over_under_too_much_and_stays_down_as_stated() {
    let mut p = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 8, 50.0) }, 1, 1);
    let mut out = Vec::new();
    p.apply_change(0, 0, Change::Die, &mut out);
    p.apply_change(SEC, 0, Change::Return, &mut out);
    // It can do 16 to 22 in its first second: 30 is within twice that, 60 is not.
    let answers = offer(&mut p, SEC, 1.5, 30.0);
    assert!(p.ledger().overload_failures.is_empty() && served(&answers) > 10);
    let mut p = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(4, 8, 50.0) }, 1, 1);
    p.apply_change(0, 0, Change::Die, &mut out);
    p.apply_change(SEC, 0, Change::Return, &mut out);
    offer(&mut p, SEC, 2.5, 60.0);
    let (at, _) = p.ledger().overload_failures[0];
    assert!((2 * SEC..2 * SEC + 200_000).contains(&at), "{at}");
    // What was in it is lost, and it comes back by itself, cold again.
    p.poll(at + 3 * SEC, &mut out);
    assert!(p.is_up(0) && p.capacity_share(0, at + 3 * SEC) < 0.21);
}

#[test]
fn a_call_whose_caller_has_gone_runs_on_in_service_and_leaves_the_queue() {
    for (runs, effects) in [(false, 1), (true, 2)] {
        let mut p = Partner::new(PartnerSpec { runs_abandoned: runs, ..spec(1, 4, 50.0) }, 1, 1);
        let mut out = Vec::new();
        let one = p.receive_call(0, 0, 0, 0, message(1), &mut out);
        let two = p.receive_call(0, 0, 0, 0, message(2), &mut out);
        p.abandon_call(10_000, one);
        p.abandon_call(10_000, two);
        while let Some(wake) = p.next_wake() {
            p.poll(wake, &mut out);
        }
        assert!(out.is_empty(), "nobody is there to be answered: {out:?}");
        assert_eq!(p.ledger().effects.len(), effects);
        assert!(p.ledger().effects.iter().all(|e| e.abandoned));
    }
}

#[test]
fn repeats_are_dropped_within_the_memory_and_not_beyond() {
    let mut p = Partner::new(spec(1, 4, 1.0), 1, 1);
    let mut out = Vec::new();
    for (at, id) in [(0, 1), (SEC, 2), (4 * SEC, 3)] {
        let m =
            vec![IncomingMessage { id, class: "order".into(), dedup_window: Some(3 * SEC), dedup_key: 7 }];
        p.receive_call(at, at, 0, 0, m, &mut out);
        p.poll(at + 2_000, &mut out);
    }
    let dropped: Vec<bool> = p.ledger().effects.iter().map(|e| e.is_duplicate).collect();
    assert_eq!(dropped, [false, true, false]);
    assert_eq!(out.len(), 3);
}

#[test]
fn a_pause_moves_what_is_under_way_and_thrash_makes_it_longer() {
    let mut p = Partner::new(spec(1, 4, 50.0), 1, 1);
    let mut out = Vec::new();
    p.receive_call(0, 0, 0, 0, message(1), &mut out);
    p.apply_change(10_000, 0, Change::Pause(SEC), &mut out);
    p.receive_call(20_000, 20_000, 0, 0, message(2), &mut out);
    p.poll(SEC, &mut out);
    assert!(out.is_empty());
    p.poll(SEC + 50_000, &mut out);
    assert_eq!(out.len(), 1);
    let thrash = Some(Thrash { from_load: 1.0, slowdown: 1.0 });
    let mut p = Partner::new(PartnerSpec { thrash, ..spec(2, 100, 50.0) }, 1, 1);
    let calm = Partner::new(spec(2, 100, 50.0), 1, 1);
    let mut slow = offer(&mut p, 0, 2.0, 60.0).values().map(|a| a.answered).collect::<Vec<_>>();
    slow.sort_unstable();
    let mut calm = calm;
    let quick = offer(&mut calm, 0, 2.0, 60.0).values().map(|a| a.answered).max();
    assert!(slow.last().copied() > quick.map(|t| t * 2), "{slow:?} {quick:?}");
}

#[test]
fn the_same_seed_gives_the_same_answers_and_another_one_others() {
    let play = |seed| {
        let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: 50.0, cv: 0.8 })]);
        let mut p = Partner::new(PartnerSpec { service, error_share: 0.2, ..spec(4, 8, 0.0) }, 1, seed);
        let faults = Faults { silent: 0.1, reset: 0.1, spoilt: 0.1, half: 0.1, trickle: 0.1 };
        p.apply_change(0, 0, Change::Faults(faults), &mut Vec::new());
        format!("{:?}", offer(&mut p, 0, 5.0, 50.0))
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
    for kind in ["Silent", "Reset", "Spoilt", "Half", "Trickle", "Status(500"] {
        assert!(play(1).contains(kind), "{kind}");
    }
}
