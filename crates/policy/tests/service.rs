//! Tests of endpoints that operators take out of service and return.

mod common;
use common::*;
use notchpoint_policy::*;

fn service(rig: &mut Rig, endpoint: u64, out_of_service: bool) {
    rig.feed(&[Event::Service { endpoint: EndpointId(endpoint), out_of_service }]);
}

#[test]
fn an_endpoint_out_of_service_gets_nothing_whatever_the_list_says() {
    let mut rig = Rig::new(settings(), 0, 1);
    service(&mut rig, 0, true);
    let id = rig.submit(IDEMPOTENT);
    let live = || vec![entry(0, 1, 0, Phase::Live)];
    let lists = [
        ListUpdate::Changes(live()),
        ListUpdate::Changes(vec![entry(0, 1, 0, Phase::Gone)]),
        ListUpdate::Changes(live()),
        ListUpdate::Whole(vec![]),
        ListUpdate::Whole(live()),
        ListUpdate::Unavailable,
    ];
    for update in lists {
        rig.feed(&[Event::List(update)]);
        rig.advance(SEC);
        assert!(!rig.is_in_flight(id) && rig.answer_count(id) == 0);
    }
    // A second mark changes nothing.
    service(&mut rig, 0, true);
    service(&mut rig, 0, false);
    rig.advance(SEC);
    assert!(rig.is_in_flight(id));
}

#[test]
fn a_returned_endpoint_that_the_list_has_as_draining_waits_for_the_list() {
    let mut rig = Rig::new(settings(), 0, 1);
    service(&mut rig, 0, true);
    rig.list(vec![entry(0, 1, 0, Phase::Draining)]);
    service(&mut rig, 0, false);
    let id = rig.submit(IDEMPOTENT);
    rig.advance(SEC);
    assert!(!rig.is_in_flight(id));
    rig.list(vec![entry(0, 1, 0, Phase::Live)]);
    rig.advance(SEC);
    assert!(rig.is_in_flight(id));
}

#[test]
fn a_mark_set_before_the_list_arrives_applies_to_its_endpoints() {
    // After a restart the marks are loaded from the store before the list arrives.
    let mut rig = Rig::new(settings(), 0, 0);
    service(&mut rig, 0, true);
    rig.feed(&[Event::List(ListUpdate::Restored(vec![entry(0, 1, 0, Phase::Live)]))]);
    let id = rig.submit(IDEMPOTENT);
    rig.advance(SEC);
    assert!(!rig.is_in_flight(id));
}

/// Submits 10 messages in a second and returns how many attempts are made meanwhile.
fn sent_in_a_second(rig: &mut Rig) -> usize {
    let before = rig.attempts.values().sum::<u32>();
    for _ in 0..10 {
        rig.submit(IDEMPOTENT);
        rig.advance(100 * MS);
        rig.end_all(Outcome::Served);
    }
    (rig.attempts.values().sum::<u32>() - before) as usize
}

#[test]
fn a_destination_whose_endpoint_returns_is_in_slow_start() {
    for kind in [0, 1] {
        let mut rig = Rig::new(settings(), kind, 1);
        for _ in 0..20 {
            sent_in_a_second(&mut rig);
        }
        assert!(sent_in_a_second(&mut rig) >= 9, "all messages are sent before");
        service(&mut rig, 0, true);
        rig.advance(SEC);
        service(&mut rig, 0, false);
        let first = sent_in_a_second(&mut rig);
        assert!((1..=5).contains(&first), "kind {kind}: {first} in the first second after the return");
        for _ in 0..12 {
            sent_in_a_second(&mut rig);
        }
        assert!(sent_in_a_second(&mut rig) >= 9, "all messages are sent after the slow start");
    }
}

#[test]
fn a_returning_endpoint_beside_others_gets_one_call_at_a_time_until_it_is_warm() {
    let mut rig = Rig::new(settings(), 0, 2);
    for _ in 0..20 {
        sent_in_a_second(&mut rig);
    }
    service(&mut rig, 0, true);
    rig.submit_many(4);
    assert!(rig.in_flight.iter().all(|o| o.endpoint == 1) && rig.in_flight.len() == 4);
    rig.end_all(Outcome::Served);
    service(&mut rig, 0, false);
    rig.submit_many(8);
    let to = |rig: &Rig, e| rig.in_flight.iter().filter(|o| o.endpoint == e).count();
    assert_eq!((to(&rig, 0), to(&rig, 1)), (1, 7));
    rig.end_all(Outcome::Served);
    rig.advance(11 * SEC);
    rig.submit_many(8);
    assert_eq!((to(&rig, 0), to(&rig, 1)), (4, 4));
}
