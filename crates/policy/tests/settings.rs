//! Tests of settings that change while messages are held.

mod common;
use common::*;
use notchpoint_policy::*;

fn change_settings(rig: &mut Rig, change: impl Fn(&mut Settings)) {
    let mut set = settings();
    change(&mut set);
    rig.feed(&[Event::Settings(Box::new(set))]);
}

#[test]
fn fewer_attempts_apply_at_once_and_messages_without_one_left_are_ended() {
    let mut rig = Rig::new(settings(), 0, 1);
    let (spent, sent, unsent) =
        (rig.submit(IDEMPOTENT), rig.submit(AT_MOST_ONCE), rig.submit_to(IDEMPOTENT, 9, None, 20 * SEC));
    rig.advance(SEC);
    for _ in 0..2 {
        rig.end(spent, Outcome::Full { wait: None });
        rig.advance(3 * SEC);
    }
    assert!(rig.attempts[&spent] == 3 && rig.is_in_flight(spent));
    rig.end(spent, Outcome::Full { wait: Some(3 * SEC) });
    change_settings(&mut rig, |set| set.max_attempts = 2);
    assert!(rig.refused(spent), "it has had three attempts");
    // A message in flight continues; one that was never sent has two attempts.
    assert_eq!((rig.answer_count(sent), rig.answer_count(unsent)), (0, 0));
    if rig.is_in_flight(sent) {
        rig.end(sent, Outcome::Served);
    }
    rig.list(vec![entry(5, 9, 0, Phase::Live)]);
    for _ in 0..2 {
        rig.advance(4 * SEC);
        rig.end(unsent, Outcome::Full { wait: None });
    }
    assert!(rig.attempts[&unsent] == 2 && rig.answer_count(unsent) == 1);
}

#[test]
fn a_message_keeps_its_class_when_classes_are_added() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.feed(&[Event::Service { endpoint: EndpointId(0), out_of_service: true }]);
    let id = rig.submit(AT_MOST_ONCE);
    // The caller keeps positions that are in use and appends new classes.
    change_settings(&mut rig, |set| set.classes.push(class(Effect::AtMostOnce, false)));
    rig.feed(&[Event::Service { endpoint: EndpointId(0), out_of_service: false }]);
    rig.advance(3 * SEC);
    rig.end(id, Outcome::Reset);
    rig.advance(20 * SEC);
    assert!(rig.failed(id) && rig.attempts[&id] == 1);
    let new = rig.submit(4);
    rig.advance(SEC);
    assert!(rig.is_in_flight(new));
}

#[test]
fn settings_that_do_not_fit_the_held_messages_are_ignored() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(ORDERED);
    change_settings(&mut rig, |set| {
        set.classes.truncate(2);
        set.max_attempts = 1;
    });
    change_settings(&mut rig, |set| (set.max_attempts, set.slots) = (1, 0));
    change_settings(&mut rig, |set| {
        set.kinds.truncate(1);
        set.max_attempts = 1;
    });
    rig.end(id, Outcome::Full { wait: None });
    rig.advance(3 * SEC);
    assert_eq!(rig.attempts[&id], 2, "the old limit applies");
}
