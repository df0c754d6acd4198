//! Tests of zones that the fleet has evacuated, probes, or returns to. The sender and endpoint 0 are in zone
//! 0, endpoint 1 is in zone 1.

mod common;
use common::*;
use notchpoint_policy::*;

fn set_zone(rig: &mut Rig, zone: u32, share: f64, probe: bool) {
    rig.feed(&[Event::Zone { zone, share, probe, exempt: Vec::new() }]);
}

/// Submits messages one after another and returns how many of them are sent to `endpoint`.
fn count_sent(rig: &mut Rig, endpoint: u32, messages: usize) -> usize {
    let submit_one = |rig: &mut Rig| {
        rig.submit(IDEMPOTENT);
        rig.advance(50 * MS);
        let attempt = rig.in_flight.first().copied().expect("it is in flight");
        rig.end(attempt.id, Outcome::Served);
        usize::from(attempt.endpoint == endpoint)
    };
    (0..messages).map(|_| submit_one(rig)).sum()
}

#[test]
fn an_evacuated_zone_gets_nothing_while_the_destination_has_endpoints_elsewhere() {
    let mut rig = Rig::new(settings(), 0, 2);
    assert_eq!(count_sent(&mut rig, 0, 20), 20, "its own zone comes first");
    set_zone(&mut rig, 0, 0.0, false);
    assert_eq!(count_sent(&mut rig, 0, 20), 0);
    set_zone(&mut rig, 0, 1.0, false);
    assert_eq!(count_sent(&mut rig, 0, 20), 20);
}

#[test]
fn a_destination_without_live_endpoints_in_other_zones_is_not_affected() {
    let mut rig = Rig::new(settings(), 0, 1);
    set_zone(&mut rig, 0, 0.0, false);
    assert_eq!(count_sent(&mut rig, 0, 5), 5);
    let mut rig = Rig::new(settings(), 0, 2);
    set_zone(&mut rig, 0, 0.0, false);
    rig.list(vec![entry(1, 1, 0, Phase::Draining)]);
    assert_eq!(count_sent(&mut rig, 0, 5), 5);
    // If all zones are evacuated, their endpoints are used as if none were: the fleet may be wrong.
    let mut rig = Rig::new(settings(), 0, 2);
    set_zone(&mut rig, 0, 0.0, false);
    set_zone(&mut rig, 1, 0.0, false);
    assert_eq!(count_sent(&mut rig, 0, 5), 5);
}

#[test]
fn an_exempt_destination_is_not_affected() {
    let mut rig = Rig::new(settings(), 0, 2);
    let exempt = vec![DestinationId(1)];
    rig.feed(&[Event::Zone { zone: 0, share: 0.0, probe: false, exempt }]);
    assert_eq!(count_sent(&mut rig, 0, 20), 20);
    set_zone(&mut rig, 0, 0.0, false);
    assert_eq!(count_sent(&mut rig, 0, 20), 0);
}

#[test]
fn an_endpoint_in_backoff_is_used_if_the_other_one_is_in_an_evacuated_zone() {
    let mut rig = Rig::new(settings(), 0, 2);
    set_zone(&mut rig, 0, 0.0, false);
    let id = rig.submit(IDEMPOTENT);
    assert_eq!(rig.in_flight[0].endpoint, 1);
    rig.end(id, Outcome::Reset);
    rig.advance(300 * MS);
    assert_eq!(rig.in_flight.first().map(|o| o.endpoint), Some(1), "a backoff is a preference");
}

#[test]
fn a_zone_in_return_gets_its_share_before_others() {
    for (share, least, most) in [(0.1, 10, 30), (0.25, 35, 65), (0.5, 80, 120)] {
        // Zone 1 is not the sender's zone: without the share nothing would be sent there.
        let mut rig = Rig::new(settings(), 0, 2);
        set_zone(&mut rig, 1, share, false);
        let in_zone = count_sent(&mut rig, 1, 400);
        assert!((least..=most).contains(&in_zone), "{in_zone} of 400 at {share} of a half");
    }
}

#[test]
fn few_of_many_returning_senders_send_their_first_call_at_once() {
    let first_calls = |seed| {
        let mut rig = Rig::seeded(settings(), 0, 2, seed);
        set_zone(&mut rig, 1, 0.0, false);
        set_zone(&mut rig, 1, 0.2, false);
        count_sent(&mut rig, 1, 1)
    };
    let at_once: usize = (0..300).map(first_calls).sum();
    assert!((10..=50).contains(&at_once), "{at_once} of 300 at a tenth");
}

#[test]
fn a_probe_sends_one_idempotent_message_to_each_destination() {
    let mut rig = Rig::new(settings(), 0, 2);
    set_zone(&mut rig, 0, 0.0, false);
    rig.feed(&[Event::List(ListUpdate::Changes(vec![
        entry(2, 2, 0, Phase::Live),
        entry(3, 2, 0, Phase::Live),
    ]))]);
    // Of the messages that wait for the window, an idempotent one is preferred as the probe of a zone.
    let first = rig.submit(AT_MOST_ONCE);
    let at_most_once = rig.submit(AT_MOST_ONCE);
    let idempotent = rig.submit(IDEMPOTENT);
    set_zone(&mut rig, 0, 0.0, true);
    rig.end(first, Outcome::Served);
    let probes: Vec<InFlight> = rig.in_flight.iter().filter(|o| o.endpoint == 0).copied().collect();
    assert_eq!(probes.iter().map(|o| o.id).collect::<Vec<_>>(), [idempotent], "{:?}", rig.in_flight);
    rig.end(idempotent, Outcome::Served);
    assert!(rig.is_in_flight(at_most_once));
    rig.end(at_most_once, Outcome::Served);
    assert_eq!(count_sent(&mut rig, 0, 10), 0, "probed once");
    let other = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    assert_eq!(
        rig.in_flight.iter().find(|o| o.id == other).map(|o| o.endpoint),
        Some(2),
        "the other destination is probed, too"
    );
    // A probe of a zone that keeps its whole share.
    let mut rig = Rig::new(settings(), 0, 2);
    count_sent(&mut rig, 0, 2);
    set_zone(&mut rig, 1, 1.0, true);
    assert_eq!(count_sent(&mut rig, 1, 10), 1);
}

#[test]
fn invalid_shares_count_as_nothing_or_as_the_whole() {
    let mut rig = Rig::new(settings(), 0, 2);
    set_zone(&mut rig, 0, f64::NAN, false);
    assert_eq!(count_sent(&mut rig, 0, 5), 5);
    set_zone(&mut rig, 0, -1.0, false);
    assert_eq!(count_sent(&mut rig, 0, 5), 0);
    set_zone(&mut rig, 7, 0.0, true);
    set_zone(&mut rig, 0, 9.0, false);
    assert_eq!(count_sent(&mut rig, 0, 5), 5);
}
