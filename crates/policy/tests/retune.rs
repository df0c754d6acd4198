//! Settings that change while messages are held.

mod common;
use common::*;
use notchpoint_policy::*;

fn retune(rig: &mut Rig, change: impl Fn(&mut Settings)) {
    let mut set = settings();
    change(&mut set);
    rig.feed(&[Event::Settings(Box::new(set))]);
}

#[test]
fn fewer_attempts_bind_at_once_and_what_has_none_left_is_ended() {
    let mut rig = Rig::new(settings(), 0, 1);
    let (spent, out, fresh) =
        (rig.submit(IDEMPOTENT), rig.submit(AT_MOST_ONCE), rig.submit_to(IDEMPOTENT, 9, None, 20 * SEC));
    rig.advance(SEC);
    for _ in 0..2 {
        rig.end(spent, Outcome::Full { wait: None });
        rig.advance(3 * SEC);
    }
    assert!(rig.attempts[&spent] == 3 && rig.is_in_flight(spent));
    rig.end(spent, Outcome::Full { wait: Some(3 * SEC) });
    retune(&mut rig, |set| set.max_attempts = 2);
    assert!(rig.refused(spent), "it has had three");
    // One that is out goes on; one that was never sent has both.
    assert_eq!((rig.answer_count(out), rig.answer_count(fresh)), (0, 0));
    if rig.is_in_flight(out) {
        rig.end(out, Outcome::Served);
    }
    rig.list(vec![entry(5, 9, 0, Phase::Live)]);
    for _ in 0..2 {
        rig.advance(4 * SEC);
        rig.end(fresh, Outcome::Full { wait: None });
    }
    assert!(rig.attempts[&fresh] == 2 && rig.answer_count(fresh) == 1);
}

#[test]
fn a_message_keeps_its_class_when_others_come_and_its_own_is_given_up() {
    let mut rig = Rig::new(settings(), 0, 1);
    rig.feed(&[Event::Service { endpoint: EndpointId(0), out_of_service: true }]);
    let id = rig.submit(AT_MOST_ONCE);
    // The caller keeps places that are in use, and adds behind them.
    retune(&mut rig, |set| set.classes.push(class(Effect::AtMostOnce, false)));
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
fn settings_that_do_not_fit_what_is_held_change_nothing() {
    let mut rig = Rig::new(settings(), 0, 1);
    let id = rig.submit(ORDERED);
    retune(&mut rig, |set| {
        set.classes.truncate(2);
        set.max_attempts = 1;
    });
    retune(&mut rig, |set| (set.max_attempts, set.slots) = (1, 0));
    retune(&mut rig, |set| {
        set.kinds.truncate(1);
        set.max_attempts = 1;
    });
    rig.end(id, Outcome::Full { wait: None });
    rig.advance(3 * SEC);
    assert_eq!(rig.attempts[&id], 2, "the old limit is in force");
}
