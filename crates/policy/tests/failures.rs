//! What fails, and how the module meets it.

mod common;
use common::*;
use notchpoint_policy::*;

/// A destination that has served some calls fast.
fn warm(kind: u32, endpoints: u32) -> Rig {
    let mut rig = Rig::new(settings(), kind, endpoints);
    rig.submit_many(30);
    rig.serve(30);
    rig
}

#[test]
fn silence_counts_before_the_time_out() {
    let mut rig = warm(0, 1);
    rig.submit_many(20);
    let out = rig.in_flight.len();
    // Hung: nothing answers. Long before any time-out the destination is held back, and tried one by one.
    rig.advance(5 * SEC);
    assert!(rig.log_has("silent"));
    assert!(rig.in_flight.len() <= out + 5, "{} more calls into a hang", rig.in_flight.len() - out);
}

#[test]
fn a_trial_goes_with_a_safe_message_if_it_can() {
    let mut rig = warm(0, 1);
    let (a, b) = (rig.submit(IDEMPOTENT), rig.submit(IDEMPOTENT));
    rig.end(a, Outcome::ConnectFailed);
    rig.end(b, Outcome::ConnectFailed);
    for _ in 0..3 {
        rig.submit(AT_MOST_ONCE);
    }
    rig.advance(3 * SEC);
    let trial: Vec<u64> = rig.in_flight.iter().map(|o| o.id).collect();
    assert!(trial.iter().all(|id| *id == a || *id == b), "{trial:?}");
}

#[test]
fn an_unsafe_trial_that_stays_out_does_not_bar_the_next() {
    let mut rig = Rig::new(settings(), 0, 1);
    for _ in 0..2 {
        rig.submit(IDEMPOTENT);
        rig.serve(1);
    }
    for _ in 0..20 {
        rig.submit_to(AT_MOST_ONCE, 1, None, 200 * SEC);
    }
    let before = rig.in_flight.len();
    assert!(before <= 2, "the window");
    // Nothing is answered and nothing times out: each trial gives way to the next once it is overdue.
    rig.advance(60 * SEC);
    assert!(rig.log_has("silent"));
    assert!(rig.in_flight.len() >= before + 3, "{} out after {before}", rig.in_flight.len());
}

#[test]
fn answers_lost_here_and_there_are_no_outage() {
    let mut rig = warm(0, 1);
    rig.submit_many(12);
    let (a, b) = (rig.in_flight[0].id, rig.in_flight[1].id);
    rig.end(a, Outcome::TimedOut);
    rig.end(b, Outcome::TimedOut);
    rig.advance(SEC);
    // The trial is served within the time that tells a stall from an outage: no ramp follows.
    let trial = rig.in_flight.last().map(|o| o.id).expect("a trial");
    rig.end(trial, Outcome::Served);
    let start = rig.now;
    let mut served = 0;
    while rig.now < start + 2 * SEC {
        rig.advance(100 * MS);
        for o in rig.in_flight.clone() {
            served += 1;
            rig.end(o.id, Outcome::Served);
        }
    }
    assert!(served >= 8, "{served} served");
}

#[test]
fn overdue_calls_give_up_slots_that_others_need_safe_ones_first() {
    let mut rig = Rig::new(Settings { slots: 4, ..settings() }, 0, 1);
    rig.list((1..6).map(|e| entry(e, u64::from(e) + 1, 0, Phase::Live)).collect());
    let unsafe_one = rig.submit_to(AT_MOST_ONCE, 1, None, 20 * SEC);
    let safe = [rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC), rig.submit_to(IDEMPOTENT, 3, None, 20 * SEC)];
    rig.submit_to(AT_MOST_ONCE, 4, None, 20 * SEC);
    rig.submit_to(IDEMPOTENT, 5, None, 20 * SEC);
    assert_eq!(rig.in_flight.len(), 4);
    rig.advance(6 * SEC);
    let called_off: Vec<u64> = rig
        .actions
        .iter()
        .filter_map(|(_, a)| matches!(a, Action::Cancel { .. }).then_some(a))
        .map(|a| match a {
            Action::Cancel { id, .. } => id.0,
            _ => 0,
        })
        .collect();
    assert!(called_off.iter().any(|id| safe.contains(id)), "{called_off:?}");
    assert!(!called_off.contains(&unsafe_one));
}

#[test]
fn nothing_is_called_off_where_that_is_forbidden() {
    let mut rig = Rig::new(Settings { slots: 1, may_cancel: false, ..settings() }, 0, 1);
    rig.submit(AT_MOST_ONCE);
    rig.submit(IDEMPOTENT);
    rig.advance(15 * SEC);
    assert!(!rig.actions.iter().any(|(_, a)| matches!(a, Action::Cancel { .. })));
}

#[test]
fn untold_refusals_rest_the_destination_ever_longer_and_success_relaxes() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(IDEMPOTENT);
    let mut rests = Vec::new();
    for _ in 0..4 {
        let from = rig.now;
        rig.end(id, Outcome::Full { wait: None });
        while !rig.is_in_flight(id) {
            rig.advance(5 * MS);
        }
        rests.push(rig.now - from);
    }
    assert!(rests[0] >= 150 * MS && rests[3] >= 2 * rests[0] && rests[3] <= 5 * SEC, "{rests:?}");
}

#[test]
fn an_endpoint_that_fails_alone_is_passed_over() {
    let mut rig = warm(0, 2);
    rig.submit_many(1);
    let (id, bad) = (rig.in_flight[0].id, rig.in_flight[0].endpoint);
    rig.end(id, Outcome::Reset);
    rig.advance(10 * MS);
    assert!(!rig.in_flight.is_empty() && rig.in_flight.iter().all(|o| o.endpoint != bad));
}

#[test]
fn a_rush_to_one_destination_is_shed_before_the_rest() {
    let mut rig = Rig::new(Settings { max_held: 40, ..settings() }, 0, 1);
    rig.list(vec![entry(7, 2, 0, Phase::Live)]);
    let other = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    let waiting = rig.submit_to(IDEMPOTENT, 2, None, 20 * SEC);
    rig.submit_many(80);
    assert!(!rig.refused(other) && !rig.refused(waiting));
    assert!(rig.actions.iter().filter(|(_, a)| matches!(a, Action::Refuse { .. })).count() >= 40);
}

#[test]
fn what_waiting_would_lose_goes_first() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(3);
    let soon = rig.submit_to(IDEMPOTENT, 1, None, 700 * MS);
    rig.serve(1);
    assert!(rig.is_in_flight(soon));
}

#[test]
fn traffic_over_a_tenants_share_goes_last() {
    let mut rig = Rig::new(Settings { tenant_allowances: vec![1.0, 100.0], ..settings() }, 0, 1);
    let dest = DestinationId(1);
    for (id, tenant) in [(100, 0), (101, 0), (102, 0), (103, 1)] {
        let (id, tenant) = (MessageId(id), Some(tenant));
        let m =
            Message { id, class: IDEMPOTENT, tenant, key: None, dest, is_retry: false, expires_in: 20 * SEC };
        rig.feed(&[Event::Taken(m)]);
    }
    rig.serve(1);
    assert!(rig.is_in_flight(103));
}

#[test]
fn a_broken_watch_is_renewed_with_backoff() {
    let mut rig = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 1);
    let watches = |rig: &Rig| rig.actions.iter().filter(|(_, a)| *a == Action::Watch).count();
    assert_eq!(watches(&rig), 1, "asked for at the start: the restored list may be stale");
    for n in 2..6 {
        rig.feed(&[Event::List(ListUpdate::Unavailable)]);
        rig.advance(1_490 * MS);
        assert_eq!(watches(&rig), n - 1, "the service is spared");
        rig.advance(1_020 * MS);
        assert_eq!(watches(&rig), n, "a change is told within seconds");
        rig.feed(&[Event::List(ListUpdate::Changes(vec![]))]);
        rig.advance(10 * SEC);
        assert_eq!(watches(&rig), n, "one that is answered stands");
    }
    rig.feed(&[Event::List(ListUpdate::Unavailable)]);
    rig.advance(2_510 * MS + 3 * SEC);
    assert_eq!(watches(&rig), 7, "one without an answer is given up");
    let mut pushed = Rig::new(settings(), 0, 1);
    pushed.advance(20 * SEC);
    assert_eq!(watches(&pushed), 0);
}

#[test]
fn news_of_the_unknown_does_no_harm() {
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
fn settings_that_make_no_sense_are_turned_down() {
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
fn an_endpoint_that_errs_on_one_class_rests_for_that_class_alone() {
    let mut rig = warm(0, 1);
    let (a, b) = (rig.submit(AT_MOST_ONCE), rig.submit(AT_MOST_ONCE));
    rig.end(a, Outcome::Failed);
    rig.end(b, Outcome::Failed);
    let (held, safe) = (rig.submit(AT_MOST_ONCE), rig.submit(IDEMPOTENT));
    rig.submit_many(1);
    rig.submit(AT_MOST_ONCE);
    assert!(!rig.is_in_flight(held) && rig.is_in_flight(safe));
    rig.end(safe, Outcome::Served);
    // After the rest one of the class tries; what it finds decides for the others.
    rig.advance(1_100 * MS);
    assert_eq!(rig.in_flight.iter().filter(|o| o.id >= held && o.id != safe && o.id != safe + 1).count(), 1);
}

#[test]
fn time_outs_follow_latency_and_an_unsafe_message_gets_the_time_it_has() {
    let timeout = |class, took: Micros, expires_in| {
        let mut rig = Rig::new(settings(), 0, 1);
        for _ in 0..20 {
            let id = rig.submit(IDEMPOTENT);
            rig.advance(took);
            rig.end(id, Outcome::Served);
        }
        rig.submit_to(class, 1, None, expires_in);
        rig.in_flight[0].timeout
    };
    let (fast, slow) = (timeout(IDEMPOTENT, 100 * MS, 20 * SEC), timeout(IDEMPOTENT, 3 * SEC, 20 * SEC));
    assert_eq!(fast, 2 * SEC, "the wanted time is the floor");
    assert!(slow > 3 * SEC && slow < 20 * SEC, "{slow}");
    assert_eq!(timeout(IDEMPOTENT, 3 * SEC, 4 * SEC), 4 * SEC, "the time left is the cap");
    assert_eq!(timeout(AT_MOST_ONCE, 100 * MS, 20 * SEC), 20 * SEC);
}

#[test]
fn a_restarted_sender_starts_over_from_its_old_list() {
    let mut rig = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 2);
    rig.submit_many(20);
    rig.serve(10);
    assert!(rig.in_flight.len() > 1);
    let mut again = Rig::new(Settings { list: ListMode::Ask, ..settings() }, 0, 2);
    again.submit_many(20);
    assert_eq!(again.in_flight.len(), 1, "the window starts at one");
    assert!(again.actions.iter().any(|(_, a)| *a == Action::Watch), "the old list may be stale");
    // Outcomes of the life before mean nothing.
    let (id, attempt, outcome) = (MessageId(500), 0, Outcome::Full { wait: None });
    again.feed(&[Event::Ended { id, attempt, outcome, is_final: false, allowance: None }]);
    assert_eq!(again.in_flight.len(), 1);
}

#[test]
fn a_call_that_later_ones_overtook_holds_no_place_in_the_window() {
    // One connection that fell silent under an unsafe message, which is waited for as long as it lives, would
    // fill a small window and hold a healthy destination back until then. It is no overload either.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(2);
    rig.serve(2);
    let lost = rig.submit(AT_MOST_ONCE);
    rig.submit_many(60);
    for _ in 0..10 {
        rig.advance(100 * MS);
        let id = rig.in_flight.iter().find(|o| o.id != lost).expect("another is out").id;
        rig.end(id, Outcome::Served);
    }
    assert_eq!(rig.in_flight.len(), 1 + 7, "a window of seven, and the one that is lost");
    rig.end(lost, Outcome::TimedOut);
    assert_eq!(rig.in_flight.len(), 7);
}

#[test]
fn an_endpoint_that_lost_a_call_is_passed_over_until_it_answers() {
    // Guards against feeding a hung endpoint, call by call, while its neighbour's answers keep the route
    // open.
    let mut rig = Rig::new(settings(), 0, 2);
    rig.submit_many(60);
    let hung = rig.in_flight[0].endpoint;
    for _ in 0..100 {
        rig.advance(50 * MS);
        for o in rig.in_flight.clone().iter().filter(|o| o.endpoint != hung) {
            rig.end(o.id, Outcome::Served);
        }
        rig.submit_many(12);
    }
    let there = rig.in_flight.iter().filter(|o| o.endpoint == hung).count();
    assert!(there <= 4, "{there} of {} calls hang", rig.in_flight.len());
}

#[test]
fn a_connection_found_dropped_teaches_how_long_they_live_and_nothing_else() {
    // An endpoint that drops idle connections unseen resets the next call on one at once. Taken for trouble
    // of the destination, two of them held it back; and call after call went on connections as old.
    let mut rig = Rig::new(settings(), 0, 1);
    rig.submit_many(3);
    rig.serve(3);
    let mut stale = 0;
    for _ in 0..6 {
        rig.advance(400 * MS);
        let before = rig.actions.len();
        let id = rig.submit(AT_MOST_ONCE);
        // Only a connection that is not closed first can be found dropped.
        if rig.actions[before..].iter().any(|(_, a)| matches!(a, Action::CloseIdle { .. })) {
            rig.advance(100 * MS);
            rig.end(id, Outcome::Served);
        } else {
            stale += 1;
            rig.advance(2 * MS);
            rig.end(id, Outcome::Reset);
            rig.submit_many(1);
            rig.serve(1);
        }
    }
    assert_eq!(stale, 1);
    assert!(!rig.log_has("held back"));
    rig.submit_many(20);
    assert!(rig.in_flight.len() >= 3, "the window was not cut");
}

#[test]
fn what_this_side_could_not_send_is_no_attempt_and_no_failure_and_is_paced() {
    let mut rig = warm(0, 1);
    let id = rig.submit(AT_MOST_ONCE);
    let before = rig.attempts[&id];
    for _ in 0..40 {
        rig.end(id, Outcome::NotSent);
        let sent = rig.attempts[&id];
        rig.advance(50 * MS);
        assert_eq!(rig.attempts[&id], sent, "sent again at once");
        rig.advance(100 * MS);
        assert_eq!(rig.attempts[&id], sent + 1, "a try in 150 ms");
    }
    assert_eq!(rig.attempts[&id], before + 40);
    assert!(rig.answer_count(id) == 0 && !rig.log_has("held back"));
    rig.end(id, Outcome::Served);
    let next = rig.submit(AT_MOST_ONCE);
    assert!(rig.is_in_flight(next), "nothing holds the next one back");
}
