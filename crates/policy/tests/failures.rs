//! Tests of failures of destinations, endpoints and connections, of load shedding, and of the endpoint list.

mod common;
use common::*;
use notchpoint_policy::*;

/// Returns a rig whose destination has served some calls fast.
fn rig_after_served_calls(kind: u32, endpoints: u32) -> Rig {
    let mut rig = Rig::new(settings(), kind, endpoints);
    rig.submit_many(30);
    rig.serve(30);
    rig
}

#[test]
fn silence_opens_the_breaker_before_the_time_out() {
    let mut rig = rig_after_served_calls(0, 1);
    rig.submit_many(20);
    let in_flight = rig.in_flight.len();
    // No call is answered. Long before any time-out the breaker opens, and only probes are sent.
    rig.advance(5 * SEC);
    assert!(rig.log_has("silent"));
    assert!(
        rig.in_flight.len() <= in_flight + 5,
        "{} more calls to a hung destination",
        rig.in_flight.len() - in_flight
    );
}

#[test]
fn an_idempotent_message_is_preferred_for_a_probe() {
    let mut rig = rig_after_served_calls(0, 1);
    let (a, b) = (rig.submit(IDEMPOTENT), rig.submit(IDEMPOTENT));
    rig.end(a, Outcome::ConnectFailed);
    rig.end(b, Outcome::ConnectFailed);
    for _ in 0..3 {
        rig.submit(AT_MOST_ONCE);
    }
    rig.advance(3 * SEC);
    let probe: Vec<u64> = rig.in_flight.iter().map(|o| o.id).collect();
    assert!(probe.iter().all(|id| *id == a || *id == b), "{probe:?}");
}

#[test]
fn an_at_most_once_probe_in_flight_does_not_block_the_next_probe() {
    let mut rig = Rig::new(settings(), 0, 1);
    for _ in 0..2 {
        rig.submit(IDEMPOTENT);
        rig.serve(1);
    }
    for _ in 0..20 {
        rig.submit_to(AT_MOST_ONCE, 1, None, 200 * SEC);
    }
    let before = rig.in_flight.len();
    assert!(before <= 2, "limited by the window");
    // No call is answered or times out: the next probe is sent once the last one is overdue.
    rig.advance(60 * SEC);
    assert!(rig.log_has("silent"));
    assert!(rig.in_flight.len() >= before + 3, "{} in flight after {before}", rig.in_flight.len());
}

#[test]
fn a_few_lost_answers_are_no_outage() {
    let mut rig = rig_after_served_calls(0, 1);
    rig.submit_many(12);
    let (a, b) = (rig.in_flight[0].id, rig.in_flight[1].id);
    rig.end(a, Outcome::TimedOut);
    rig.end(b, Outcome::TimedOut);
    rig.advance(SEC);
    // The probe is served within the time that distinguishes a stall from an outage: no slow start follows.
    let probe = rig.in_flight.last().map(|o| o.id).expect("a probe");
    rig.end(probe, Outcome::Served);
    let start = rig.now;
    let mut served = 0;
    while rig.now < start + 2 * SEC {
        rig.advance(100 * MS);
        for attempt in rig.in_flight.clone() {
            served += 1;
            rig.end(attempt.id, Outcome::Served);
        }
    }
    assert!(served >= 8, "{served} served");
}

#[test]
fn overdue_calls_are_cancelled_for_other_messages_idempotent_ones_first() {
    let mut rig = Rig::new(Settings { slots: 4, ..settings() }, 0, 1);
    rig.list((1..6).map(|e| entry(e, u64::from(e) + 1, 0, Phase::Live)).collect());
    let at_most_once = rig.submit_to(AT_MOST_ONCE, 1, None, 20 * SEC);
    let idempotent =
        [rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC), rig.submit_to(IDEMPOTENT, 3, None, 20 * SEC)];
    rig.submit_to(AT_MOST_ONCE, 4, None, 20 * SEC);
    rig.submit_to(IDEMPOTENT, 5, None, 20 * SEC);
    assert_eq!(rig.in_flight.len(), 4);
    rig.advance(6 * SEC);
    let cancelled: Vec<u64> = rig
        .actions
        .iter()
        .filter_map(|(_, a)| matches!(a, Action::Cancel { .. }).then_some(a))
        .map(|a| match a {
            Action::Cancel { id, .. } => id.0,
            _ => 0,
        })
        .collect();
    assert!(cancelled.iter().any(|id| idempotent.contains(id)), "{cancelled:?}");
    assert!(!cancelled.contains(&at_most_once));
}

#[test]
fn nothing_is_cancelled_if_cancelling_is_not_allowed() {
    let mut rig = Rig::new(Settings { slots: 1, may_cancel: false, ..settings() }, 0, 1);
    rig.submit(AT_MOST_ONCE);
    rig.submit(IDEMPOTENT);
    rig.advance(15 * SEC);
    assert!(!rig.actions.iter().any(|(_, a)| matches!(a, Action::Cancel { .. })));
}

#[test]
fn refusals_without_a_wait_lengthen_the_backoff() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(IDEMPOTENT);
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        let from = rig.now;
        rig.end(id, Outcome::Full { wait: None });
        while !rig.is_in_flight(id) {
            rig.advance(5 * MS);
        }
        backoffs.push(rig.now - from);
    }
    assert!(
        backoffs[0] >= 150 * MS && backoffs[3] >= 2 * backoffs[0] && backoffs[3] <= 5 * SEC,
        "{backoffs:?}"
    );
}

#[test]
fn an_endpoint_that_fails_is_avoided() {
    let mut rig = rig_after_served_calls(0, 2);
    rig.submit_many(1);
    let (id, failed) = (rig.in_flight[0].id, rig.in_flight[0].endpoint);
    rig.end(id, Outcome::Reset);
    rig.advance(10 * MS);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.endpoint != failed));
}

#[test]
fn a_rush_to_one_destination_is_shed_before_other_messages() {
    let mut rig = Rig::new(Settings { max_held: 40, ..settings() }, 0, 1);
    rig.list(vec![entry(7, 2, 0, Phase::Live)]);
    let other = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    let waiting = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    rig.submit_many(80);
    assert!(!rig.refused(other) && !rig.refused(waiting));
    assert!(rig.actions.iter().filter(|(_, a)| matches!(a, Action::Refuse { .. })).count() >= 40);
}

#[test]
fn a_message_that_loses_worth_by_waiting_is_sent_first() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(3);
    let soon = rig.submit_to(IDEMPOTENT, 1, None, 700 * MS);
    rig.serve(1);
    assert!(rig.is_in_flight(soon));
}

#[test]
fn messages_over_a_tenants_allowance_are_sent_last() {
    let mut rig = Rig::new(Settings { tenant_allowances: vec![1.0, 100.0], ..settings() }, 0, 1);
    let dest = DestinationId(1);
    for (id, tenant) in [(100, 0), (101, 0), (102, 0), (103, 1)] {
        let (id, tenant) = (MessageId(id), Some(tenant));
        let message =
            Message { id, class: IDEMPOTENT, tenant, key: None, dest, is_retry: false, expires_in: 20 * SEC };
        rig.feed(&[Event::Taken(message)]);
    }
    rig.serve(1);
    assert!(rig.is_in_flight(103));
}

#[test]
fn a_failed_watch_is_renewed_with_backoff() {
    let mut rig = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 1);
    let watches = |rig: &Rig| rig.actions.iter().filter(|(_, a)| *a == Action::Watch).count();
    assert_eq!(watches(&rig), 1, "watched at the start, since the restored list may be stale");
    for n in 2..6 {
        rig.feed(&[Event::List(ListUpdate::Unavailable)]);
        rig.advance(1_490 * MS);
        assert_eq!(watches(&rig), n - 1, "not renewed too early");
        rig.advance(1_020 * MS);
        assert_eq!(watches(&rig), n, "renewed within seconds");
        rig.feed(&[Event::List(ListUpdate::Changes(vec![]))]);
        rig.advance(10 * SEC);
        assert_eq!(watches(&rig), n, "an answered watch stays");
    }
    rig.feed(&[Event::List(ListUpdate::Unavailable)]);
    rig.advance(2_510 * MS + 3 * SEC);
    assert_eq!(watches(&rig), 7, "an unanswered watch is given up");
    let mut pushed = Rig::new(settings(), 0, 1);
    pushed.advance(20 * SEC);
    assert_eq!(watches(&pushed), 0);
}

#[test]
fn events_about_unknown_items_are_ignored() {
    let mut rig = Rig::new(settings(), 0, 1);
    let ended = |id, attempt| Event::Ended {
        id: MessageId(id),
        attempt,
        outcome: Outcome::Served,
        is_final: true,
        allowance: None,
    };
    let id = rig.submit(IDEMPOTENT);
    rig.feed(&[ended(999, 0), ended(id, 5), Event::Withdrawn(MessageId(998))]);
    rig.feed(&[Event::Probed { endpoint: EndpointId(77), outcome: Outcome::Served }]);
    rig.list(vec![entry(3, 1, 99, Phase::Live), entry(78, 5, 0, Phase::Gone)]);
    rig.end(id, Outcome::Served);
    rig.feed(&[ended(id, 0)]);
    let far = rig.submit_to(IDEMPOTENT, 1, None, Micros::MAX);
    rig.end(far, Outcome::Full { wait: Some(Micros::MAX) });
    rig.now = Micros::MAX;
    rig.feed(&[Event::Wake]);
}

#[test]
fn invalid_settings_are_rejected() {
    let changes: [fn(&mut Settings); 8] = [
        |s| s.slots = 0,
        |s| s.max_attempts = 0,
        |s| s.max_held = 0,
        |s| s.classes.clear(),
        |s| s.kinds[0].max_bundle = 0,
        |s| s.classes[0].worth = f64::NAN,
        |s| s.classes[0].deadline = 0,
        |s| s.warm_up = Micros::MAX,
    ];
    for (n, change) in changes.into_iter().enumerate() {
        let mut set = settings();
        change(&mut set);
        assert!(Sender::new(set, 1).is_err(), "change {n}");
    }
    assert!(Sender::new(settings(), 1).is_ok());
}

#[test]
fn an_endpoint_with_errors_in_one_class_is_avoided_for_that_class_only() {
    let mut rig = rig_after_served_calls(0, 1);
    let (a, b) = (rig.submit(AT_MOST_ONCE), rig.submit(AT_MOST_ONCE));
    rig.end(a, Outcome::Failed);
    rig.end(b, Outcome::Failed);
    let (held, idempotent) = (rig.submit(AT_MOST_ONCE), rig.submit(IDEMPOTENT));
    rig.submit_many(1);
    rig.submit(AT_MOST_ONCE);
    assert!(!rig.is_in_flight(held) && rig.is_in_flight(idempotent));
    rig.end(idempotent, Outcome::Served);
    // After the backoff one message of the class is sent; its outcome decides about the others.
    rig.advance(1_100 * MS);
    assert_eq!(
        rig.in_flight.iter().filter(|o| o.id >= held && o.id != idempotent && o.id != idempotent + 1).count(),
        1
    );
}

#[test]
fn time_outs_follow_latency_but_an_at_most_once_message_gets_all_the_time_left() {
    let timeout = |class, latency: Micros, expires_in| {
        let mut rig = Rig::new(settings(), 0, 1);
        for _ in 0..20 {
            let id = rig.submit(IDEMPOTENT);
            rig.advance(latency);
            rig.end(id, Outcome::Served);
        }
        rig.submit_to(class, 1, None, expires_in);
        rig.in_flight[0].timeout
    };
    let (fast, slow) = (timeout(IDEMPOTENT, 100 * MS, 20 * SEC), timeout(IDEMPOTENT, 3 * SEC, 20 * SEC));
    assert_eq!(fast, 2 * SEC, "the target time is the minimum");
    assert!(slow > 3 * SEC && slow < 20 * SEC, "{slow}");
    assert_eq!(timeout(IDEMPOTENT, 3 * SEC, 4 * SEC), 4 * SEC, "the time left is the maximum");
    assert_eq!(timeout(AT_MOST_ONCE, 100 * MS, 20 * SEC), 20 * SEC);
}

#[test]
fn a_restarted_sender_starts_from_its_old_list_with_a_new_window() {
    let mut rig = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 2);
    rig.submit_many(20);
    rig.serve(10);
    assert!(rig.in_flight.len() > 1);
    let mut restarted = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 2);
    restarted.submit_many(20);
    assert_eq!(restarted.in_flight.len(), 1, "the window starts at one");
    assert!(restarted.actions.iter().any(|(_, a)| *a == Action::Watch), "the old list may be stale");
    // Outcomes of attempts before the restart are ignored.
    let (id, attempt, outcome) = (MessageId(500), 0, Outcome::Full { wait: None });
    restarted.feed(&[Event::Ended { id, attempt, outcome, is_final: false, allowance: None }]);
    assert_eq!(restarted.in_flight.len(), 1);
}

#[test]
fn a_call_with_a_lost_answer_takes_no_place_in_the_window() {
    // Guards against a silent connection that blocks a healthy destination: an at-most-once message on it,
    // whose answer is awaited until it expires, would fill a small window. Its time-out is no sign of
    // overload either.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(2);
    rig.serve(2);
    let lost = rig.submit(AT_MOST_ONCE);
    rig.submit_many(60);
    for _ in 0..10 {
        rig.advance(100 * MS);
        let id = rig.in_flight.iter().find(|o| o.id != lost).expect("another call is in flight").id;
        rig.end(id, Outcome::Served);
    }
    assert_eq!(rig.in_flight.len(), 1 + 7, "a window of seven, and the call with a lost answer");
    rig.end(lost, Outcome::TimedOut);
    assert_eq!(rig.in_flight.len(), 7);
}

#[test]
fn an_endpoint_with_a_lost_answer_is_avoided_until_it_answers() {
    // Guards against calls to a hung endpoint that continue because another endpoint's answers keep the
    // breaker closed.
    let mut rig = Rig::new(settings(), 0, 2);
    rig.submit_many(60);
    let hung = rig.in_flight[0].endpoint;
    for _ in 0..100 {
        rig.advance(50 * MS);
        for attempt in rig.in_flight.clone().iter().filter(|o| o.endpoint != hung) {
            rig.end(attempt.id, Outcome::Served);
        }
        rig.submit_many(12);
    }
    let hung_calls = rig.in_flight.iter().filter(|o| o.endpoint == hung).count();
    assert!(hung_calls <= 4, "{hung_calls} of {} calls hang", rig.in_flight.len());
}

#[test]
fn a_dropped_idle_connection_limits_idle_time_and_is_no_failure() {
    // An endpoint that silently drops idle connections resets the next call on one at once. Guards against
    // counting that as a failure, two of which opened the breaker, and against further calls on connections
    // of the same age.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(3);
    rig.serve(3);
    let mut dropped = 0;
    for _ in 0..6 {
        rig.advance(400 * MS);
        let before = rig.actions.len();
        let id = rig.submit(AT_MOST_ONCE);
        // Only a connection that the sender has not closed can be found dropped.
        if rig.actions[before..].iter().any(|(_, a)| matches!(a, Action::CloseIdle { .. })) {
            rig.advance(100 * MS);
            rig.end(id, Outcome::Served);
        } else {
            dropped += 1;
            rig.advance(2 * MS);
            rig.end(id, Outcome::Reset);
            rig.submit_many(1);
            rig.serve(1);
        }
    }
    assert_eq!(dropped, 1);
    assert!(!rig.log_has("held back"));
    rig.submit_many(20);
    assert!(rig.in_flight.len() >= 3, "the window was not cut");
}

#[test]
fn a_send_that_fails_on_this_side_is_no_attempt_and_no_failure_and_is_paced() {
    let mut rig = rig_after_served_calls(0, 1);
    let id = rig.submit(AT_MOST_ONCE);
    let before = rig.attempts[&id];
    for _ in 0..40 {
        rig.end(id, Outcome::NotSent);
        let sent = rig.attempts[&id];
        rig.advance(50 * MS);
        assert_eq!(rig.attempts[&id], sent, "sent again at once");
        rig.advance(100 * MS);
        assert_eq!(rig.attempts[&id], sent + 1, "sent again within 150 ms");
    }
    assert_eq!(rig.attempts[&id], before + 40);
    assert!(rig.answer_count(id) == 0 && !rig.log_has("held back"));
    rig.end(id, Outcome::Served);
    let next = rig.submit(AT_MOST_ONCE);
    assert!(rig.is_in_flight(next), "the next message is not held");
}
