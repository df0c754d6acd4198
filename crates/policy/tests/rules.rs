//! Tests of the six rules, one by one.

mod common;
use common::*;
use notchpoint_policy::*;

#[test]
fn every_message_gets_a_final_status_before_its_deadline() {
    let mut rig = Rig::new(settings(), 0, 1);
    let ids: Vec<u64> = (0..3)
        .flat_map(|c| [rig.submit_to(c, 1, None, 3 * SEC), rig.submit_to(c, 9, None, 3 * SEC)])
        .collect();
    let start = rig.now;
    // All attempts time out; destination 9 has no endpoint.
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
fn a_withdrawn_message_gets_no_final_status() {
    let mut rig = Rig::new(settings(), 0, 1);
    let (a, b) = (rig.submit(IDEMPOTENT), rig.submit(IDEMPOTENT));
    rig.feed(&[Event::Withdrawn(MessageId(a)), Event::Withdrawn(MessageId(b))]);
    rig.end(a, Outcome::Full { wait: None });
    rig.advance(30 * SEC);
    assert_eq!((rig.answer_count(a), rig.answer_count(b), rig.in_flight.len()), (0, 0, 0));
}

#[test]
fn an_at_most_once_message_that_may_have_run_is_neither_sent_nor_refused() {
    for outcome in [Outcome::TimedOut, Outcome::Failed, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), 0, 1);
        let id = rig.submit(AT_MOST_ONCE);
        rig.end(id, outcome);
        rig.advance(30 * SEC);
        assert!(rig.failed(id) && !rig.refused(id) && rig.attempts[&id] == 1, "{outcome:?}");
    }
}

#[test]
fn an_at_most_once_message_that_never_ran_is_sent_again() {
    for outcome in [Outcome::Full { wait: None }, Outcome::ConnectFailed, Outcome::Moot, Outcome::NotSent] {
        let mut rig = Rig::new(settings(), 0, 1);
        let id = rig.submit(AT_MOST_ONCE);
        rig.end(id, outcome);
        rig.advance(5 * SEC);
        assert!(rig.attempts[&id] == 2, "{outcome:?}");
    }
}

#[test]
fn a_deduplicated_message_is_repeated_only_within_the_window_of_its_first_attempt() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(DEDUPLICATED);
    rig.advance(2 * SEC);
    rig.end(id, Outcome::Reset);
    rig.advance(500 * MS);
    assert_eq!(rig.attempts[&id], 2);
    // The second attempt is refused: the window still starts at the first one, which may have run.
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    rig.advance(30 * SEC);
    assert_eq!(rig.attempts[&id], 2);
    assert_eq!(rig.answer_count(id), 1);
}

#[test]
fn a_zone_wide_deduplication_scope_restricts_repeats_to_the_zone_and_prevents_refusal() {
    let mut set = settings();
    set.classes[1].dedup_scope = DedupScope::Zone;
    // Endpoints 0 and 2 are in one zone, endpoint 1 is in the other.
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
fn a_draining_or_removed_endpoint_gets_no_new_call_and_its_messages_wait() {
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
fn endpoints_missing_from_a_whole_list_are_removed() {
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
fn a_requested_wait_applies_to_all_messages_for_the_destination() {
    let mut rig = Rig::new(settings(), 0, 2);
    let id = rig.submit(IDEMPOTENT);
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    let refused_at = rig.now;
    rig.submit_many(3);
    rig.advance(10 * SEC);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.at >= refused_at + 3 * SEC));
}

#[test]
fn a_requested_wait_applies_to_one_endpoint_if_each_is_a_route() {
    let mut rig = Rig::new(settings(), 1, 2);
    let id = rig.submit(IDEMPOTENT);
    let route = rig.in_flight[0].endpoint;
    rig.end(id, Outcome::Full { wait: Some(3 * SEC) });
    assert!(rig.in_flight.iter().all(|o| o.endpoint != route) && rig.is_in_flight(id));
}

#[test]
fn a_wait_counts_after_a_time_out_in_the_same_bundle() {
    let mut rig = Rig::new(settings(), 2, 1);
    let (first, second) =
        (rig.message(IDEMPOTENT, 1, None, 20 * SEC), rig.message(IDEMPOTENT, 1, None, 20 * SEC));
    rig.feed(&[first.1, second.1]);
    rig.end(first.0, Outcome::TimedOut);
    rig.end(second.0, Outcome::Full { wait: Some(4 * SEC) });
    let refused_at = rig.now;
    rig.advance(15 * SEC);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.at >= refused_at + 4 * SEC));
}

#[test]
fn messages_with_one_key_are_sent_one_at_a_time_in_order() {
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
fn a_key_is_blocked_after_an_attempt_that_may_still_run_even_if_its_message_is_done() {
    let mut rig = Rig::new(settings(), 0, 1);
    let a = rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC);
    let b = rig.submit_to(ORDERED, 1, Some("k"), 20 * SEC);
    rig.feed(&[Event::Withdrawn(MessageId(a))]);
    rig.advance(100 * MS);
    assert!(!rig.is_in_flight(b), "an attempt of the first message is still in flight");
    rig.end(a, Outcome::TimedOut);
    let ended = rig.now;
    rig.advance(4 * SEC);
    assert!(rig.in_flight.iter().any(|o| o.id == b && o.at >= ended + SEC));
}

#[test]
fn after_an_outage_the_backlog_is_sent_slowly() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(40);
    rig.serve(40);
    rig.submit_many(60);
    // The destination is down for eight seconds: each call fails at once.
    let down = rig.now;
    let mut calls = 0;
    while rig.now < down + 8 * SEC {
        rig.advance(50 * MS);
        for attempt in rig.in_flight.clone() {
            calls += 1;
            rig.end(attempt.id, Outcome::ConnectFailed);
        }
    }
    assert!(calls < 30, "{calls} calls to a destination that is down");
    // After its return it gets far fewer calls in the next four seconds than it served before.
    let returned = rig.now;
    let mut sent = 0;
    while rig.now < returned + 4 * SEC {
        rig.advance(50 * MS);
        for attempt in rig.in_flight.clone() {
            sent += 1;
            rig.end(attempt.id, Outcome::Served);
        }
    }
    assert!((1..=8).contains(&sent), "{sent} calls in the first four seconds");
}

#[test]
fn attempts_of_an_earlier_process_restrict_the_next() {
    let resume = |class: u32, attempts: u32, ran_ago: Option<(Micros, EndpointId)>| {
        let mut rig = Rig::new(settings(), 0, 1);
        let (id, event) = rig.message(class, 1, None, 20 * SEC);
        let Event::Taken(message) = event else { panic!("{event:?}") };
        rig.feed(&[Event::Resumed { message, attempts, ran_ago }]);
        (rig, id)
    };
    let ran_ago = Some((SEC, EndpointId(0)));
    // An at-most-once message that may have run is given up at once. One that never ran is sent again, as are
    // idempotent messages.
    let (rig, id) = resume(AT_MOST_ONCE, 1, ran_ago);
    assert!(rig.failed(id) && rig.in_flight.is_empty());
    for (class, ran_ago) in [(AT_MOST_ONCE, None), (IDEMPOTENT, ran_ago)] {
        let (mut rig, id) = resume(class, 1, ran_ago);
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
    // A deduplicated message is sent again only within the window of its first attempt.
    let (rig, id) = resume(DEDUPLICATED, 1, ran_ago);
    assert!(rig.is_in_flight(id));
    let (rig, id) = resume(DEDUPLICATED, 1, Some((6 * SEC, EndpointId(0))));
    assert!(rig.in_flight.is_empty() && rig.answer_count(id) == 1);
    // Attempts of all processes count.
    let (rig, id) = resume(IDEMPOTENT, settings().max_attempts, ran_ago);
    assert!(rig.in_flight.is_empty() && rig.answer_count(id) == 1);
}

#[test]
fn a_repeat_may_start_only_if_it_arrives_within_the_deduplication_window() {
    // A connection that is established late may delay the first byte; the window is 1 s.
    let mut set = settings();
    set.classes[DEDUPLICATED as usize].dedup_window = SEC;
    let mut rig = Rig::new(set, 0, 1);
    let sends = |rig: &Rig| {
        let all = rig.actions.iter().filter_map(|(at, a)| match a {
            Action::Send { start_within, .. } => Some((*at, *start_within)),
            _ => None,
        });
        all.collect::<Vec<_>>()
    };
    let id = rig.submit_to(DEDUPLICATED, 1, None, 20 * SEC);
    let first = sends(&rig)[0];
    assert_eq!(first.1, 20 * SEC, "the first attempt may start until the message expires");
    rig.end(id, Outcome::Reset);
    rig.advance(400 * MS);
    let all = sends(&rig);
    assert_eq!(all.len(), 2, "it is sent again");
    let (at, start_within) = all[1];
    // The sender may stall for 150 ms between reading the clock and writing the first byte.
    let start = at + start_within + 150 * MS;
    assert!(start < first.0 + SEC, "{} after the first", start - first.0);
    assert!(start_within > 0);
}
