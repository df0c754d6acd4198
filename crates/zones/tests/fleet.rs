//! Runs a fleet in virtual time and checks what each sender finds, and how far it evacuates zones, while
//! zones fail, senders lose their links, and notes are lost, late, duplicated, or false.

mod sim;

use notchpoint_zones::*;
use sim::{Fails, Fleet, MS, S, none_fails, zone, zone_1_fails};
use std::collections::BTreeSet;

#[test]
fn a_failing_zone_is_found_failing_by_all_senders_and_serving_again_after_it_recovers() {
    for (seed, n) in [(1, 6), (2, 12), (3, 40), (4, 120)] {
        let mut fleet = Fleet::watching(seed, n, 3);
        fleet.run(5 * S, &none_fails);
        assert_eq!(
            (fleet.found_failing_by(0), fleet.found_failing_by(1), fleet.found_failing_by(2)),
            (0, 0, 0)
        );
        fleet.run(6 * S, &zone_1_fails);
        assert_eq!(
            (fleet.found_failing_by(0), fleet.found_failing_by(1), fleet.found_failing_by(2)),
            (0, n, 0),
            "{n} senders"
        );
        fleet.run(12 * S, &none_fails);
        assert_eq!(fleet.found_failing_by(1), 0, "{n} senders");
    }
}

#[test]
fn the_failure_of_one_link_one_destination_or_all_zones_evacuates_nothing() {
    let max_evacuations = |fails: &Fails| {
        let mut fleet = Fleet::new(5, 9, 3);
        fleet.run(5 * S, &none_fails);
        let mut max = 0;
        for _ in 0..20 {
            fleet.run(S / 2, fails);
            max = max.max((0..3).map(|z| fleet.evacuated_by(z)).sum());
        }
        max
    };
    assert_eq!(max_evacuations(&|i, _, _| i == 0), 0, "all calls of one sender fail");
    assert_eq!(max_evacuations(&|i, z, _| i == 0 && z == 1), 0, "the path from one sender to a zone");
    assert_eq!(max_evacuations(&|_, z, d| z == 1 && d == 2), 0, "one destination");
    assert_eq!(max_evacuations(&|_, _, _| true), 0, "all calls of all senders fail");
    assert_eq!(
        max_evacuations(&|i, z, d| z == 1 && d < 2 && i < 4),
        0,
        "two of six destinations, for some senders"
    );
}

#[test]
fn a_zone_is_evacuated_if_most_of_its_destinations_fail_and_not_if_half_of_them_do() {
    let evacuated_by = |fails: &Fails| {
        let mut fleet = Fleet::new(21, 12, 3);
        fleet.run(5 * S, &none_fails);
        fleet.run(10 * S, fails);
        fleet.evacuated_by(1)
    };
    assert_eq!(evacuated_by(&|_, z, d| z == 1 && d < 4), 12, "four of six destinations");
    assert_eq!(evacuated_by(&|_, z, d| z == 1 && d < 3), 0, "half of them: their circuit breakers handle it");
}

#[test]
fn destinations_that_serve_in_a_zone_where_most_fail_are_exempt_from_its_evacuation() {
    let mut fleet = Fleet::new(22, 30, 3);
    fleet.run(5 * S, &none_fails);
    let most_fail = |_: usize, z: usize, d: u32| z == 1 && d < 4;
    fleet.run(10 * S, &most_fail);
    assert_eq!(fleet.evacuated_by(1), 30);
    let exempt = |fleet: &Fleet| -> Vec<usize> {
        (0..30).map(|i| fleet.senders[i].statuses()[&zone(1)].exempt.len()).collect()
    };
    assert!(exempt(&fleet).iter().all(|&n| n == 2), "{:?}", exempt(&fleet));
    // An exempt destination that fails later is evacuated with the rest.
    fleet.run(10 * S, &zone_1_fails);
    assert!(exempt(&fleet).iter().all(|&n| n == 0), "{:?}", exempt(&fleet));
    fleet.run(60 * S, &none_fails);
    assert_eq!(fleet.evacuated_by(1), 0);
}

#[test]
fn a_network_cut_between_two_serving_zones_evacuates_neither() {
    // z0 and z1 cannot reach each other; z2 reaches both.
    let cut = |i: usize, z: usize, _: u32| (i % 3, z) == (0, 1) || (i % 3, z) == (1, 0);
    let mut fleet = Fleet::new(6, 12, 3);
    fleet.is_cut = Box::new(|a, b| (a % 3, b % 3) == (0, 1) || (a % 3, b % 3) == (1, 0));
    fleet.run(5 * S, &none_fails);
    for _ in 0..20 {
        fleet.run(S / 2, &cut);
        assert_eq!((fleet.evacuated_by(0), fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 0, 0));
    }
}

#[test]
fn if_all_notes_are_lost_nothing_is_evacuated_and_each_sender_considers_itself_isolated() {
    let mut fleet = Fleet::new(7, 9, 3);
    fleet.loss = 1.0;
    fleet.run(20 * S, &zone_1_fails);
    assert_eq!(fleet.evacuated_by(1), 0);
    assert!(fleet.senders.iter().all(ZoneStateMachine::is_isolated));
    assert!(fleet.events.iter().all(|e| matches!(e.2, Event::Isolated(_) | Event::HealthChanged { .. })));
}

#[test]
fn an_isolated_sender_keeps_its_shares_and_follows_the_fleet_once_notes_arrive() {
    let mut fleet = Fleet::new(12, 9, 3);
    fleet.run(5 * S, &none_fails);
    fleet.run(6 * S, &zone_1_fails);
    assert_eq!(fleet.evacuated_by(1), 9);
    fleet.is_cut = Box::new(|a, b| a == 0 || b == 0);
    // The zone has recovered, and all calls and notes of sender 0 fail.
    fleet.run(30 * S, &|i, _, _| i == 0);
    assert!(fleet.senders[0].is_isolated());
    assert_eq!((fleet.share(0, 1), fleet.evacuated_by(1)), (0.0, 1), "it keeps its share");
    fleet.is_cut = Box::new(|_, _| false);
    fleet.run(10 * S, &none_fails);
    assert_eq!(fleet.evacuated_by(1), 0);
    assert_eq!(fleet.terms(1), BTreeSet::from([1]));
}

#[test]
fn late_notes_and_restarts_of_a_third_of_the_senders_do_not_prevent_an_evacuation() {
    let mut fleet = Fleet::new(8, 30, 3);
    (fleet.loss, fleet.max_latency) = (0.4, 1_500 * MS);
    fleet.run(5 * S, &none_fails);
    fleet.run(1_500 * MS, &zone_1_fails);
    (0..30).step_by(3).for_each(|i| fleet.restart(i));
    fleet.run(10 * S, &zone_1_fails);
    assert_eq!((fleet.evacuated_by(0), fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 30, 0));
}

#[test]
fn senders_that_restart_during_a_return_catch_up_with_the_others() {
    let mut fleet = Fleet::new(23, 30, 3);
    fleet.run(5 * S, &none_fails);
    fleet.run(6 * S, &zone_1_fails);
    while !(0..30).any(|i| fleet.evacuation(i, 1).level == 2) {
        fleet.run(100 * MS, &none_fails);
    }
    (0..30).step_by(3).for_each(|i| fleet.restart(i));
    fleet.run(4 * S, &none_fails);
    assert_eq!(fleet.terms(1), BTreeSet::from([1]), "restarted senders included");
    fleet.run(20 * S, &none_fails);
    assert_eq!((fleet.evacuated_by(1), fleet.terms(1)), (0, BTreeSet::from([1])));
}

#[test]
fn a_sender_that_is_behind_in_a_large_fleet_at_rest_receives_enough_notes_to_catch_up() {
    for n in [30, 300] {
        let mut fleet = Fleet::new(24, n, 3);
        fleet.rate = 600.0 / n as f64;
        fleet.run(5 * S, &none_fails);
        fleet.run(10 * S, &zone_1_fails);
        fleet.is_cut = Box::new(|a, b| a == 7 || b == 7);
        fleet.run(60 * S, &|i, _, _| i == 7);
        assert_eq!((fleet.evacuated_by(1), fleet.share(7, 1)), (1, 0.0), "of {n}");
        fleet.is_cut = Box::new(|_, _| false);
        fleet.run(20 * S, &none_fails);
        assert_eq!(fleet.evacuated_by(1), 0, "of {n}");
    }
}

#[test]
fn a_sender_that_lies_replays_or_contradicts_itself_evacuates_nothing_and_is_logged_once() {
    let mut fleet = Fleet::new(9, 9, 3);
    fleet.run(5 * S, &none_fails);
    let observations = |failed| -> Vec<Observation> {
        (0..6)
            .map(|d| Observation { zone: zone(1), destination: DestinationHash(d), answered: 1, failed })
            .collect()
    };
    let lie = |sequence, failed| {
        let evacuations = (0..3)
            .map(|z| ZoneEvacuation {
                zone: zone(z),
                state: EvacuationState { term: u32::MAX, level: 0 },
                consecutive_failures: 255,
            })
            .collect();
        encode(&Report {
            sender_zone: zone(2),
            incarnation: 1,
            sequence,
            evacuations,
            observations: observations(failed),
        })
    };
    for n in 0..100 {
        for to in 0..8 {
            // New reports, reports with the same sequence number and other counts, and old reports.
            for body in [lie(n, 255), lie(n, 254), lie(n / 2, 255)] {
                fleet.receive_note(to, 8, &body);
            }
        }
        fleet.run(100 * MS, &none_fails);
    }
    assert_eq!((0..8).map(|i| fleet.share(i, 1)).fold(1.0, f64::min), 1.0, "one sender is not a quorum");
    let logged_by: Vec<usize> =
        fleet.events.iter().filter(|e| e.2 == Event::ContradictoryReport(SenderId(8))).map(|e| e.1).collect();
    assert!(!logged_by.is_empty());
    assert_eq!(logged_by.len(), logged_by.iter().collect::<BTreeSet<_>>().len(), "logged once by each");
}

#[test]
fn the_note_rate_of_a_sender_and_the_probe_rate_of_the_fleet_do_not_grow_with_its_size() {
    let rates = |n: usize| {
        let mut fleet = Fleet::new(10, n, 3);
        fleet.rate = 60.0 / n as f64;
        fleet.run(8 * S, &none_fails);
        let notes_at_rest = fleet.notes as f64 / (n * 8) as f64;
        fleet.run(30 * S, &zone_1_fails);
        assert_eq!(fleet.evacuated_by(1), n, "of {n}");
        (fleet.notes, fleet.probes) = (0, 0);
        fleet.run(60 * S, &zone_1_fails);
        (notes_at_rest, fleet.notes as f64 / (n * 60) as f64, fleet.probes as f64 / 60.0)
    };
    for n in [6, 30, 150] {
        let (notes_at_rest, notes, probes) = rates(n);
        assert!((0.3..0.7).contains(&notes_at_rest), "{notes_at_rest} notes a second at rest of {n}");
        // Six a second while states change, one in two seconds while the evacuated zone is not probed.
        assert!((0.5..=6.0).contains(&notes), "{notes} notes a second during an evacuation of {n}");
        assert!((0.05..3.0).contains(&probes), "{probes} probes a second of {n}");
    }
}

#[test]
fn a_single_zone_is_never_evacuated_nor_any_zone_by_a_single_sender() {
    for n in [1, 2] {
        let mut fleet = Fleet::new(11, n, 1);
        fleet.run(10 * S, &|_, _, _| true);
        assert_eq!(fleet.evacuated_by(0), 0, "{n}");
        let mut fleet = Fleet::new(11, n, 3);
        fleet.run(5 * S, &none_fails);
        fleet.run(10 * S, &zone_1_fails);
        assert_eq!(fleet.evacuated_by(1), if n == 2 { 2 } else { 0 }, "{n}");
        fleet.run(40 * S, &none_fails);
        assert_eq!(fleet.evacuated_by(1), 0, "{n}");
    }
}

#[test]
fn the_return_to_a_zone_goes_step_by_step_and_never_overloads_it() {
    for (seed, n) in [(31, 6), (32, 30), (33, 150)] {
        let mut fleet = Fleet::new(seed, n, 3);
        fleet.run(5 * S, &none_fails);
        fleet.run(6 * S, &zone_1_fails);
        assert_eq!(fleet.evacuated_by(1), n);
        fleet.recover_cold(1);
        fleet.run(40 * S, &none_fails);
        assert_eq!((fleet.evacuated_by(1), fleet.terms(1)), (0, BTreeSet::from([1])), "{n} senders");
        assert_eq!(fleet.overloads, 0, "{n} senders");
    }
}

#[test]
fn a_zone_that_recovers_for_three_seconds_at_a_time_stays_evacuated_for_longer_and_longer() {
    let mut fleet = Fleet::new(41, 30, 3);
    fleet.run(5 * S, &none_fails);
    let mut probes = Vec::new();
    for _ in 0..24 {
        fleet.probes = 0;
        fleet.run(7 * S, &zone_1_fails);
        fleet.run(3 * S, &none_fails);
        probes.push(fleet.probes);
    }
    let (first, last) = (probes[1..9].iter().sum::<usize>(), probes[15..23].iter().sum::<usize>());
    assert!(2 * last <= first, "{probes:?}");
    // Each term costs failed calls. Without an evacuation some 6,000 calls would go to the zone in 10 s.
    assert!(fleet.terms(1).into_iter().all(|t| t <= 8), "{:?}", fleet.terms(1));
    fleet.run(120 * S, &none_fails);
    assert_eq!(fleet.evacuated_by(1), 0, "the return succeeds in the end");
}

#[test]
fn two_zones_that_fail_two_seconds_apart_are_evacuated_and_the_last_zone_never_is() {
    let mut fleet = Fleet::new(51, 12, 3);
    fleet.run(5 * S, &none_fails);
    fleet.run(2 * S, &zone_1_fails);
    fleet.run(10 * S, &|_, z, _| z > 0);
    assert_eq!((fleet.evacuated_by(0), fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 12, 12));
    fleet.run(10 * S, &|_, _, _| true);
    assert_eq!(fleet.evacuated_by(0), 0, "the last zone");
    fleet.run(60 * S, &none_fails);
    assert_eq!((fleet.evacuated_by(0), fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 0, 0));
}

#[test]
fn a_zone_that_only_its_own_senders_call_is_probed_by_a_few_others_before_its_evacuation() {
    let mut fleet = Fleet::new(61, 30, 3);
    fleet.own_zone_only = true;
    fleet.run(5 * S, &none_fails);
    assert_eq!(fleet.probes, 0);
    fleet.run(10 * S, &zone_1_fails);
    assert_eq!(fleet.evacuated_by(1), 30);
    assert!((1..60).contains(&fleet.probes), "{}", fleet.probes);
    // If only the network path of the zone's own senders fails, the probes of the others succeed.
    let mut fleet = Fleet::new(62, 30, 3);
    fleet.own_zone_only = true;
    fleet.run(5 * S, &none_fails);
    fleet.run(10 * S, &|i, z, _| z == 1 && i % 3 == 1);
    assert_eq!(fleet.evacuated_by(1), 0);
    assert!(fleet.probes >= 1);
}

#[test]
fn senders_in_an_evacuated_zone_redirect_their_clients_while_senders_in_other_zones_are_known() {
    let mut fleet = Fleet::new(65, 12, 3);
    fleet.run(5 * S, &none_fails);
    fleet.run(8 * S, &zone_1_fails);
    let redirecting: Vec<usize> = (0..12).filter(|&i| fleet.redirects_clients[i]).collect();
    assert_eq!(redirecting, [1, 4, 7, 10]);
    fleet.run(40 * S, &none_fails);
    assert!(!fleet.redirects_clients.contains(&true));
}

#[test]
fn a_sender_without_others_in_other_zones_does_not_redirect_its_clients() {
    let config = ZonesConfig {
        sender: SenderId(0),
        fleet_size: 1,
        own_zone: zone(1),
        can_send: false,
        thresholds: FailureThresholds::default(),
        return_schedule: Some(sim::return_schedule()),
        pinned: [(zone(1), false)].into(),
    };
    let mut machine = ZoneStateMachine::new(config, 1, 0);
    machine.set_listed_zones([zone(0), zone(1)].into());
    let mut out = Vec::new();
    for now in (0..10 * S).step_by(500 * MS as usize) {
        machine.tick(now, &mut out);
    }
    assert!(out.iter().any(|o| matches!(o, Output::SetShare { share: 0.0, .. })));
    assert!(!out.iter().any(|o| matches!(o, Output::RedirectClients(_))));
}

#[test]
fn pinned_zones_are_evacuated_or_kept_regardless_of_findings() {
    let mut fleet = Fleet::new(71, 9, 3);
    fleet.run(5 * S, &none_fails);
    let pins = |z, stays| [(zone(z), stays)].into();
    for sender in &mut fleet.senders {
        sender.reconfigure(FailureThresholds::default(), Some(sim::return_schedule()), pins(2, false));
    }
    fleet.run(10 * S, &none_fails);
    assert_eq!((fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 9));
    for sender in &mut fleet.senders {
        sender.reconfigure(FailureThresholds::default(), Some(sim::return_schedule()), pins(1, true));
    }
    fleet.run(10 * S, &zone_1_fails);
    assert_eq!((fleet.evacuated_by(1), fleet.evacuated_by(2)), (0, 0));
    // A zone that is no longer pinned is called again, also by senders without any evidence about it.
    let before = fleet.calls_by_zone[2];
    fleet.run(5 * S, &none_fails);
    assert!(fleet.calls_by_zone[2] > before + 100, "{} calls", fleet.calls_by_zone[2] - before);
}

#[test]
fn a_zone_that_leaves_the_endpoint_list_and_comes_back_keeps_its_evacuation() {
    let mut fleet = Fleet::new(81, 12, 3);
    fleet.run(5 * S, &none_fails);
    fleet.run(5 * S, &zone_1_fails);
    assert_eq!(fleet.evacuated_by(1), 12);
    fleet.set_listed_zones(&[0, 2]);
    fleet.run(20 * S, &none_fails);
    fleet.set_listed_zones(&[0, 1, 2]);
    assert_eq!(fleet.evacuated_by(1), 12, "no sender could probe it");
    fleet.run(40 * S, &none_fails);
    assert_eq!((fleet.evacuated_by(1), fleet.terms(1)), (0, BTreeSet::from([1])));
}
