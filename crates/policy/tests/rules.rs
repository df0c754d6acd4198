//! The six rules, one by one.

mod common;
use common::*;
use notchpoint_policy::*;

#[test]
fn every_message_is_answered_before_its_time_is_up() {
    let mut rig = Rig::new(settings(), 0, 1);
    let ids: Vec<u64> = (0..3)
        .flat_map(|c| [rig.submit_to(c, 1, None, 3 * SEC), rig.submit_to(c, 9, None, 3 * SEC)])
        .collect();
    let start = rig.now;
    // Whatever is sent gets no answer but its time-out; destination 9 has no endpoint.
    for _ in 0..700 {
        rig.advance(5 * MS);
        let due: Vec<u64> =
            rig.in_flight.iter().filter(|o| rig.now >= o.at + o.timeout).map(|o| o.id).collect();
        due.into_iter().for_each(|id| drop(rig.end(id, Outcome::TimedOut)));
    }
    for id in ids {
        assert_eq!(rig.answer_count(id), 1, "message {id}");
    }
    assert!(
        rig.actions
            .iter()
            .all(|(at, a)| !matches!(a, Action::Fail { .. }) || *at <= start + 3 * SEC + 5 * MS)
    );
}

#[test]
fn nothing_is_owed_for_what_the_client_withdrew() {
    let mut rig = Rig::new(settings(), 0, 1);
    let (a, b) = (rig.submit(IDEMPOTENT), rig.submit(IDEMPOTENT));
    rig.feed(&[Event::Withdrawn(MessageId(a)), Event::Withdrawn(MessageId(b))]);
    rig.end(a, Outcome::Full { wait: None });
    rig.advance(30 * SEC);
    assert_eq!((rig.answer_count(a), rig.answer_count(b), rig.in_flight.len()), (0, 0, 0));
}

#[test]
fn an_unsafe_message_that_may_have_run_is_neither_sent_nor_refused() {
    for outcome in [Outcome::TimedOut, Outcome::Failed, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), 0, 1);
        let id = rig.submit(AT_MOST_ONCE);
        rig.end(id, outcome);
        rig.advance(30 * SEC);
        assert!(rig.failed(id) && !rig.refused(id) && rig.attempts[&id] == 1, "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_that_never_ran_is_sent_again() {
    for outcome in [Outcome::Full { wait: None }, Outcome::ConnectFailed, Outcome::Moot, Outcome::NotSent] {
        let mut rig = Rig::new(settings(), 0, 1);
        let id = rig.submit(AT_MOST_ONCE);
        rig.end(id, outcome);
        rig.advance(5 * SEC);
        assert!(rig.attempts[&id] == 2, "{outcome:?}");
    }
}

#[test]
fn a_keyed_message_goes_again_only_within_the_memory_of_its_first_run() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(DEDUPLICATED);
    rig.advance(2 * SEC);
    rig.end(id, Outcome::Reset);
    rig.advance(500 * MS);
    assert_eq!(rig.attempts[&id], 2);
    // Refused now: the memory still runs from the first attempt, which may have run.
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    rig.advance(30 * SEC);
    assert_eq!(rig.attempts[&id], 2);
    assert_eq!(rig.answer_count(id), 1);
}

#[test]
fn a_narrow_group_binds_the_repeat_to_its_zone_and_bars_refusal() {
    let mut set = settings();
    set.classes[1].dedup_scope = DedupScope::Zone;
    // Endpoints 0 and 2 share a zone, 1 is in the other.
    let mut rig = Rig::new(set, 0, 3);
    let id = rig.submit(DEDUPLICATED);
    let first = rig.in_flight[0].endpoint;
    rig.end(id, Outcome::Failed);
    rig.advance(2 * SEC);
    assert_eq!(rig.in_flight.first().map(|o| o.endpoint % 2), Some(first % 2));
    rig.list((0..3).map(|e| entry(e, 1, 0, Phase::Gone)).collect());
    rig.end(id, Outcome::Full { wait: None });
    rig.advance(30 * SEC);
    assert!(rig.failed(id) && !rig.refused(id));
}

#[test]
fn a_moot_send_counts_as_an_attempt() {
    let mut rig = Rig::new(Settings { max_attempts: 2, ..settings() }, 0, 1);
    let id = rig.submit(IDEMPOTENT);
    rig.end(id, Outcome::Moot);
    rig.advance(SEC);
    rig.end(id, Outcome::Moot);
    rig.advance(SEC);
    assert!(rig.attempts[&id] == 2 && rig.refused(id));
}

#[test]
fn a_draining_endpoint_gets_nothing_new_and_its_messages_wait() {
    for phase in [Phase::Draining, Phase::Gone] {
        let mut rig = Rig::new(settings(), 0, 1);
        rig.list(vec![entry(0, 1, 0, phase)]);
        let id = rig.submit(IDEMPOTENT);
        rig.advance(SEC);
        assert!(!rig.is_in_flight(id) && rig.answer_count(id) == 0, "{phase:?}");
        rig.list(vec![entry(5, 1, 0, Phase::Live)]);
        assert_eq!(rig.in_flight.first().map(|o| o.endpoint), Some(5));
    }
}

#[test]
fn what_a_whole_list_leaves_out_is_gone() {
    let mut rig = Rig::new(settings(), 0, 2);
    rig.feed(&[Event::List(ListUpdate::Whole(vec![entry(1, 1, 0, Phase::Live)]))]);
    let id = rig.submit(IDEMPOTENT);
    assert_eq!(rig.in_flight[0].endpoint, 1);
    rig.end(id, Outcome::Served);
    rig.feed(&[Event::List(ListUpdate::Whole(vec![]))]);
    let id = rig.submit(IDEMPOTENT);
    assert!(!rig.is_in_flight(id));
}

#[test]
fn a_told_wait_binds_the_destination_for_all_messages() {
    let mut rig = Rig::new(settings(), 0, 2);
    let id = rig.submit(IDEMPOTENT);
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    let told = rig.now;
    rig.submit_many(3);
    rig.advance(10 * SEC);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.at >= told + 3 * SEC));
}

#[test]
fn a_told_wait_binds_only_the_route_where_routes_are_apart() {
    let mut rig = Rig::new(settings(), 1, 2);
    let id = rig.submit(IDEMPOTENT);
    let route = rig.in_flight[0].endpoint;
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    assert!(rig.in_flight.iter().all(|o| o.endpoint != route) && rig.is_in_flight(id));
}

#[test]
fn a_wait_told_behind_a_time_out_in_the_same_bundle_counts() {
    let mut rig = Rig::new(settings(), 2, 1);
    let (a, b) = (rig.message(IDEMPOTENT, 1, None, 20 * SEC), rig.message(IDEMPOTENT, 1, None, 20 * SEC));
    rig.feed(&[a.1, b.1]);
    rig.end(a.0, Outcome::TimedOut);
    rig.end(b.0, Outcome::Full { wait: Some(4 * SEC) });
    let told = rig.now;
    rig.advance(15 * SEC);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.at >= told + 4 * SEC));
}

#[test]
fn messages_of_one_key_go_one_at_a_time_in_order() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(8);
    rig.serve(8);
    let (a, b) =
        (rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC), rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC));
    let other = rig.submit_to(ORDERED, 1, Some("x"), 20 * SEC);
    assert!(rig.is_in_flight(a) && !rig.is_in_flight(b) && rig.is_in_flight(other));
    rig.end(a, Outcome::Served);
    assert!(rig.is_in_flight(b));
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run_even_if_its_message_is_over() {
    let mut rig = Rig::new(settings(), 0, 1);
    let a = rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC);
    let b = rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC);
    rig.feed(&[Event::Withdrawn(MessageId(a))]);
    rig.advance(100 * MS);
    assert!(!rig.is_in_flight(b), "an attempt of the first is still out");
    rig.end(a, Outcome::TimedOut);
    let ended = rig.now;
    rig.advance(4 * SEC);
    assert!(rig.in_flight.iter().any(|o| o.id == b && o.at >= ended + SEC));
}

#[test]
fn after_an_outage_the_backlog_comes_back_slowly() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(40);
    rig.serve(40);
    rig.submit_many(60);
    // Down for eight seconds: each call fails at once.
    let down = rig.now;
    let mut tries = 0;
    while rig.now < down + 8 * SEC {
        rig.advance(50 * MS);
        for o in rig.in_flight.clone() {
            tries += 1;
            rig.end(o.id, Outcome::ConnectFailed);
        }
    }
    assert!(tries < 30, "{tries} calls at a dead destination");
    // Back: in the next two seconds far less than the rate served before.
    let back = rig.now;
    let mut sent = 0;
    while rig.now < back + 4 * SEC {
        rig.advance(50 * MS);
        for o in rig.in_flight.clone() {
            sent += 1;
            rig.end(o.id, Outcome::Served);
        }
    }
    assert!((1..=8).contains(&sent), "{sent} calls in the first four seconds");
}

#[test]
fn what_an_earlier_process_may_have_run_binds_the_next() {
    let earlier = |class: u32, attempts: u32, ran_ago: Option<(Micros, EndpointId)>| {
        let mut rig = Rig::new(settings(), 0, 1);
        let (id, event) = rig.message(class, 1, None, 20 * SEC);
        let Event::Taken(message) = event else { panic!("{event:?}") };
        rig.feed(&[Event::Resumed { message, attempts, ran_ago }]);
        (rig, id)
    };
    let ran_ago = Some((SEC, EndpointId(0)));
    // An unsafe one that may have run is given up at once; one that never ran goes again, as safe ones do.
    let (rig, id) = earlier(AT_MOST_ONCE, 1, ran_ago);
    assert!(rig.failed(id) && rig.in_flight.is_empty());
    for (class, ran_ago) in [(AT_MOST_ONCE, None), (IDEMPOTENT, ran_ago)] {
        let (mut rig, id) = earlier(class, 1, ran_ago);
        assert!(rig.is_in_flight(id));
        rig.feed(&[Event::Ended {
            id: MessageId(id),
            attempt: 1,
            outcome: Outcome::Served,
            is_final: true,
            allowance: None,
        }]);
        rig.advance(30 * SEC);
        assert_eq!(rig.answer_count(id), 0);
    }
    // A keyed one goes again only while its first attempt is remembered.
    let (rig, id) = earlier(DEDUPLICATED, 1, ran_ago);
    assert!(rig.is_in_flight(id));
    let (rig, id) = earlier(DEDUPLICATED, 1, Some((6 * SEC, EndpointId(0))));
    assert!(rig.in_flight.is_empty() && rig.answer_count(id) == 1);
    // Attempts count over the whole life.
    let (rig, id) = earlier(IDEMPOTENT, settings().max_attempts, ran_ago);
    assert!(rig.in_flight.is_empty() && rig.answer_count(id) == 1);
}

#[test]
fn a_repeat_may_begin_only_as_long_as_it_arrives_while_its_first_run_is_known() {
    // Between the decision and the first byte may lie a connection that comes up late, with a window of 1 s.
    let mut set = settings();
    set.classes[DEDUPLICATED as usize].dedup_window = SEC;
    let mut rig = Rig::new(set, 0, 1);
    let within = |rig: &Rig| {
        let sends = rig.actions.iter().filter_map(|(at, a)| match a {
            Action::Send { start_within, .. } => Some((*at, *start_within)),
            _ => None,
        });
        sends.collect::<Vec<_>>()
    };
    let id = rig.submit_to(DEDUPLICATED, 1, None, 20 * SEC);
    let first = within(&rig)[0];
    assert_eq!(first.1, 20 * SEC, "the first one for as long as its message lives");
    rig.end(id, Outcome::Reset);
    rig.advance(400 * MS);
    let all = within(&rig);
    assert_eq!(all.len(), 2, "it is tried again");
    let (at, most) = all[1];
    // The sender may be held up for 150 ms between its look at the clock and the first byte.
    let begins = at + most + 150 * MS;
    assert!(begins < first.0 + SEC, "{} after the first", begins - first.0);
    assert!(most > 0);
}
