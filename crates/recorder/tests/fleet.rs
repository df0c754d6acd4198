//! The counts over the recordings of a fleet: sums over senders, and truncated or invalid recordings.

#[path = "../../policy/tests/common/mod.rs"]
mod common;

use common::{IDEMPOTENT, MS, Rig, SEC, settings};
use notchpoint_policy::*;
use notchpoint_recorder::fleet::{DestinationCounts, FleetCounts};
use notchpoint_recorder::store::MemoryStore;
use notchpoint_recorder::{Damage, Options, Recorder};

const UNIX: u64 = 1_700_000_000_000_000;

/// Returns the recording of a sender whose Unix clock is this much ahead: three messages served, one refused
/// as full, one that failed to connect, a note, a failed watch and changes of a zone's share.
fn recording(name: &str, clock_offset: Micros) -> Vec<u8> {
    let settings = Settings { may_send_notes: true, senders: 3, ..settings() };
    let options = Options {
        limit_bytes: 1 << 20,
        sender: name.into(),
        classes: vec![],
        settings: settings.clone(),
        seed: 7,
    };
    let mut recorder =
        Recorder::start(options, Box::new(MemoryStore::default()), &[], 100 * SEC, UNIX + clock_offset)
            .expect("the recorder starts");
    let mut sender = Sender::new(settings, 7).expect("the settings are valid");
    let mut now = 100 * SEC;
    let mut turn = |at: Micros, events: Vec<Event>| {
        let mut actions = Vec::new();
        sender.handle(at, &events, &mut actions);
        recorder
            .record_turn(at, UNIX + clock_offset + at - 100 * SEC, &events, &actions, &sender)
            .expect("the turn is recorded");
    };
    let live = |n| common::entry(n, 1, 0, Phase::Live);
    turn(now, vec![Event::List(ListUpdate::Whole(vec![live(0), live(1)]))]);
    let outcomes = [
        Outcome::Served,
        Outcome::Served,
        Outcome::Served,
        Outcome::Full { wait: None },
        Outcome::ConnectFailed,
    ];
    for (n, outcome) in outcomes.into_iter().enumerate() {
        let id = MessageId(n as u64);
        let message = Message {
            id,
            class: IDEMPOTENT,
            tenant: None,
            key: None,
            dest: DestinationId(1),
            is_retry: false,
            expires_in: 200 * MS,
        };
        turn(now, vec![Event::Taken(message)]);
        now += 50 * MS;
        turn(now, vec![Event::Ended { id, attempt: 0, outcome, is_final: false, allowance: None }]);
        now += SEC;
        turn(now, vec![Event::Wake]);
    }
    turn(now, vec![Event::Note { from: 2, body: vec![0xd1, 0, 1, 0, 0, 0, 0, 0, 0, 0] }]);
    turn(now, vec![Event::List(ListUpdate::Unavailable)]);
    for (share, probe) in [(0.0, false), (0.0, true), (0.25, false), (1.0, false)] {
        turn(now, vec![Event::Zone { zone: 3, share, probe, exempt: vec![DestinationId(1)] }]);
    }
    let mut bytes = Vec::new();
    recorder.dump(&mut bytes).expect("the dump is written");
    bytes
}

/// Returns the counts of destination 1, summed over all seconds.
fn sums(fleet: &FleetCounts) -> DestinationCounts {
    fleet.by_destination().fold(DestinationCounts::default(), |mut sum, (_, dest, c)| {
        assert_eq!(dest, DestinationId(1));
        sum.accepted += c.accepted;
        sum.calls += c.calls;
        sum.messages += c.messages;
        sum.served += c.served;
        sum.full += c.full;
        sum.unconnected += c.unconnected;
        sum.ended += c.ended;
        sum.senders.extend(&c.senders);
        sum
    })
}

#[test]
fn counts_are_summed_over_senders_by_second() {
    let mut fleet = FleetCounts::default();
    assert_eq!(fleet.add_recording(&recording("a", 0)), []);
    let one = sums(&fleet);
    assert_eq!((one.accepted, one.served), (5, 3));
    assert!(one.full >= 1 && one.unconnected >= 1, "{one:?}");
    assert_eq!(one.ended, 2, "the refused message and the one that failed to connect have ended");
    // Another sender with a Unix clock half a second ahead: the counts fall into the same seconds.
    assert_eq!(fleet.add_recording(&recording("b", SEC / 2)), []);
    let both = sums(&fleet);
    assert_eq!((both.accepted, both.calls, both.served, both.ended), (10, 2 * one.calls, 6, 4));
    assert_eq!((fleet.senders(), both.senders.len()), (2, 2));
    let zones: Vec<_> = fleet
        .by_zone()
        .map(|(_, zone, counts)| (zone, counts.evacuated, counts.partial, counts.full, counts.probes))
        .collect();
    let senders = u64::from(fleet.senders());
    assert_eq!(zones, [(3, senders, senders, senders, senders)]);
    let notes_received: u64 = fleet.shared().map(|(_, c)| c.notes_received).sum();
    let failed: u64 = fleet.shared().map(|(_, c)| c.unavailable).sum();
    let entries: u64 = fleet.shared().map(|(_, c)| c.entries).sum();
    assert_eq!((notes_received, failed, entries), (2, 2, 4));
    let first = fleet.by_destination().next().expect("a second with counts");
    assert_eq!(
        (first.0, first.2.accepted),
        (UNIX / 1_000_000, 2),
        "both senders accept a message in the first second"
    );
    assert!(fleet.text(None).starts_with("2 senders, from Unix second 1700000000 on\n"));
    assert!(!fleet.text(Some(DestinationId(9))).contains("    1      2"), "only the selected destination");
}

#[test]
fn truncated_recording_is_counted_up_to_the_damage_which_is_reported() {
    let complete = recording("a", 0);
    for len in (1..complete.len()).step_by(7) {
        let mut fleet = FleetCounts::default();
        let damage = fleet.add_recording(&complete[..len]);
        if fleet.senders() == 0 {
            assert!(
                matches!(damage[..], [Damage::Truncated { .. } | Damage::NoSegment { .. }]),
                "{len}: {damage:?}"
            );
        }
        assert_eq!(fleet.add_recording(&recording("b", 0)), [], "other recordings are still read");
        assert!(sums(&fleet).served >= 3);
    }
    let mut fleet = FleetCounts::default();
    assert_eq!(fleet.add_recording(&complete[..complete.len() - 3]).len(), 1, "the position is reported");
    assert_eq!(fleet.add_recording(b"no recording at all"), [Damage::NoSegment { offset: 0 }]);
    assert_eq!(fleet.senders(), 1);
}

#[test]
fn bundle_counts_as_one_call() {
    let module_settings = settings();
    let mut rig = Rig::new(module_settings.clone(), 2, 1);
    rig.submit_many(8);
    let first_action = rig.actions.len();
    rig.end_all(Outcome::Served);
    let new_actions: Vec<Action> = rig.actions[first_action..].iter().map(|(_, a)| a.clone()).collect();
    let options = Options {
        limit_bytes: 1 << 20,
        sender: "a".into(),
        classes: vec![],
        settings: module_settings,
        seed: 7,
    };
    let mut recorder = Recorder::start(options, Box::new(MemoryStore::default()), &[], rig.now, UNIX)
        .expect("the recorder starts");
    let list = Event::List(ListUpdate::Whole(vec![common::entry(0, 1, 2, Phase::Live)]));
    recorder.record_turn(rig.now, UNIX, &[list], &[], &rig.sender).expect("the turn is recorded");
    let sends: Vec<Action> = new_actions.into_iter().filter(|a| matches!(a, Action::Send { .. })).collect();
    let messages = sends.len() as u64;
    recorder.record_turn(rig.now, UNIX, &[], &sends, &rig.sender).expect("the turn is recorded");
    let mut bytes = Vec::new();
    recorder.dump(&mut bytes).expect("the dump is written");
    let mut fleet = FleetCounts::default();
    fleet.add_recording(&bytes);
    let sum = sums(&fleet);
    assert!(messages > 1, "{messages}");
    assert_eq!((sum.calls, sum.messages), (1, messages));
}
