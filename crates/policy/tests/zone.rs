//! Zones that the fleet has left, tries, or comes back to. Endpoint 0 stands in zone 0, as the sender does,
//! endpoint 1 in zone 1.

mod common;
use common::*;
use notchpoint_policy::*;

fn zone(rig: &mut Rig, zone: u32, share: f64, probe: bool) {
    rig.feed(&[Event::Zone { zone, share, probe, exempt: Vec::new() }]);
}

/// How many of so many messages, one after another, go to this endpoint.
fn sent(rig: &mut Rig, endpoint: u32, messages: usize) -> usize {
    let one = |rig: &mut Rig| {
        rig.submit(IDEMPOTENT);
        rig.advance(50 * MS);
        let out = rig.in_flight.first().copied().expect("it is out");
        rig.end(out.id, Outcome::Served);
        usize::from(out.endpoint == endpoint)
    };
    (0..messages).map(|_| one(rig)).sum()
}

#[test]
fn nothing_goes_to_a_zone_that_is_left_while_the_destination_has_endpoints_elsewhere() {
    let mut rig = Rig::new(settings(), 0, 2);
    assert_eq!(sent(&mut rig, 0, 20), 20, "its own zone comes first");
    zone(&mut rig, 0, 0.0, false);
    assert_eq!(sent(&mut rig, 0, 20), 0);
    zone(&mut rig, 0, 1.0, false);
    assert_eq!(sent(&mut rig, 0, 20), 20);
}

#[test]
fn a_destination_with_endpoints_nowhere_else_or_none_that_lives_is_not_concerned() {
    let mut rig = Rig::new(settings(), 0, 1);
    zone(&mut rig, 0, 0.0, false);
    assert_eq!(sent(&mut rig, 0, 5), 5);
    let mut rig = Rig::new(settings(), 0, 2);
    zone(&mut rig, 0, 0.0, false);
    rig.list(vec![entry(1, 1, 0, Phase::Draining)]);
    assert_eq!(sent(&mut rig, 0, 5), 5);
    // And with all zones left, as if none were: somebody may know better than the fleet.
    let mut rig = Rig::new(settings(), 0, 2);
    zone(&mut rig, 0, 0.0, false);
    zone(&mut rig, 1, 0.0, false);
    assert_eq!(sent(&mut rig, 0, 5), 5);
}

#[test]
fn a_destination_that_serves_there_all_the_same_is_not_concerned() {
    let mut rig = Rig::new(settings(), 0, 2);
    let exempt = vec![DestinationId(1)];
    rig.feed(&[Event::Zone { zone: 0, share: 0.0, probe: false, exempt }]);
    assert_eq!(sent(&mut rig, 0, 20), 20);
    zone(&mut rig, 0, 0.0, false);
    assert_eq!(sent(&mut rig, 0, 20), 0);
}

#[test]
fn an_endpoint_that_rests_is_used_where_only_a_zone_that_is_left_has_another() {
    let mut rig = Rig::new(settings(), 0, 2);
    zone(&mut rig, 0, 0.0, false);
    let id = rig.submit(IDEMPOTENT);
    assert_eq!(rig.in_flight[0].endpoint, 1);
    rig.end(id, Outcome::Reset);
    rig.advance(300 * MS);
    assert_eq!(rig.in_flight.first().map(|o| o.endpoint), Some(1), "its rest is a preference");
}

#[test]
fn a_zone_that_is_returned_to_gets_its_share_and_is_the_first_choice_for_that() {
    for (share, least, most) in [(0.1, 10, 30), (0.25, 35, 65), (0.5, 80, 120)] {
        // Zone 1 is not this sender's own: without the share nothing would go there.
        let mut rig = Rig::new(settings(), 0, 2);
        zone(&mut rig, 1, share, false);
        let there = sent(&mut rig, 1, 400);
        assert!((least..=most).contains(&there), "{there} of 400 at {share} of a half");
    }
}

#[test]
fn of_many_senders_that_come_back_at_once_few_begin_at_once() {
    let begin = |seed| {
        let mut rig = Rig::seeded(settings(), 0, 2, seed);
        zone(&mut rig, 1, 0.0, false);
        zone(&mut rig, 1, 0.2, false);
        sent(&mut rig, 1, 1)
    };
    let at_once: usize = (0..300).map(begin).sum();
    assert!((10..=50).contains(&at_once), "{at_once} of 300 at a tenth");
}

#[test]
fn who_tries_sends_one_message_that_may_be_repeated_to_each_destination_and_no_more() {
    let mut rig = Rig::new(settings(), 0, 2);
    zone(&mut rig, 0, 0.0, false);
    rig.feed(&[Event::List(ListUpdate::Changes(vec![
        entry(2, 2, 0, Phase::Live),
        entry(3, 2, 0, Phase::Live),
    ]))]);
    // Messages that wait for the window: what may be repeated goes first where a zone is tried.
    let first = rig.submit(AT_MOST_ONCE);
    let unsafe_one = rig.submit(AT_MOST_ONCE);
    let safe = rig.submit(IDEMPOTENT);
    zone(&mut rig, 0, 0.0, true);
    rig.end(first, Outcome::Served);
    let tried: Vec<InFlight> = rig.in_flight.iter().filter(|o| o.endpoint == 0).copied().collect();
    assert_eq!(tried.iter().map(|o| o.id).collect::<Vec<_>>(), [safe], "{:?}", rig.in_flight);
    rig.end(safe, Outcome::Served);
    assert!(rig.is_in_flight(unsafe_one));
    rig.end(unsafe_one, Outcome::Served);
    assert_eq!(sent(&mut rig, 0, 10), 0, "once");
    let other = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    assert_eq!(
        rig.in_flight.iter().find(|o| o.id == other).map(|o| o.endpoint),
        Some(2),
        "the other destination"
    );
    // Doubted by others, and tried from here: its share stays whole.
    let mut rig = Rig::new(settings(), 0, 2);
    sent(&mut rig, 0, 2);
    zone(&mut rig, 1, 1.0, true);
    assert_eq!(sent(&mut rig, 1, 10), 1);
}

#[test]
fn shares_that_make_no_sense_are_taken_as_none_at_all_or_the_whole() {
    let mut rig = Rig::new(settings(), 0, 2);
    zone(&mut rig, 0, f64::NAN, false);
    assert_eq!(sent(&mut rig, 0, 5), 5);
    zone(&mut rig, 0, -1.0, false);
    assert_eq!(sent(&mut rig, 0, 5), 0);
    zone(&mut rig, 7, 0.0, true);
    zone(&mut rig, 0, 9.0, false);
    assert_eq!(sent(&mut rig, 0, 5), 5);
}
