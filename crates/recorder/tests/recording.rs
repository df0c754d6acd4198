//! Random sequences of events that are recorded, replayed and explained, and recordings that are truncated,
//! damaged or from another build.

#[path = "../../policy/tests/common/mod.rs"]
mod common;
#[path = "../../policy/tests/common/world.rs"]
mod world;

use common::{MS, SEC, settings};
use notchpoint_policy::*;
use notchpoint_recorder::explain::{Explainer, Explanation, MessageState, MessageTimeline, Query};
use notchpoint_recorder::format::{self, MAGIC, Record, SegmentStart};
use notchpoint_recorder::replay::{NoObserver, ReplayObserver, SkipReason};
use notchpoint_recorder::store::{FolderStore, MemoryStore, SegmentStore, load};
use notchpoint_recorder::{Damage, Options, Recorder, Recording, plot, replay, text};
use proptest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use world::{Checker, Step, step};

const SEED: u64 = 3;
const UNIX: u64 = 1_700_000_000_000_000;

fn options(limit: u64, settings: Settings) -> Options {
    let classes = vec!["safe".into(), "keyed".into(), "unsafe".into(), "ordered".into()];
    Options { limit_bytes: limit, sender: "n0".into(), classes, settings, seed: SEED }
}

fn start_recorder(
    limit: u64,
    settings: &Settings,
    store: Box<dyn SegmentStore>,
    existing: &[(u64, u64)],
) -> Recorder {
    Recorder::start(options(limit, settings.clone()), store, existing, 50 * SEC, UNIX)
        .expect("the recorder starts")
}

/// Plays the steps and returns the recording.
fn record(steps: &[Step], settings: &Settings, limit: u64) -> Vec<u8> {
    let recorder =
        Rc::new(RefCell::new(start_recorder(limit, settings, Box::new(MemoryStore::default()), &[])));
    play(steps, settings, recorder.clone());
    let mut bytes = Vec::new();
    recorder.borrow().dump(&mut bytes).expect("the dump is written");
    assert!(bytes.len() as u64 <= limit, "{} of {limit}", bytes.len());
    bytes
}

fn play(steps: &[Step], settings: &Settings, recorder: Rc<RefCell<Recorder>>) -> Checker {
    let watch = move |at: Micros, events: &[Event], actions: &[Action], sender: &Sender| {
        recorder
            .borrow_mut()
            .record_turn(at, UNIX + at - 50 * SEC, events, actions, sender)
            .expect("the turn is recorded");
    };
    let mut world = Checker::observed(settings.clone(), SEED, Some(Box::new(watch)));
    steps.iter().for_each(|s| world.step(s));
    world.advance(60 * SEC);
    world
}

fn explain(bytes: &[u8], query: Query) -> Vec<Explanation> {
    let mut explainer = Explainer::new(query);
    let report = replay(&Recording::read(bytes), &mut explainer);
    assert!(report.is_equal(), "{report:?}");
    explainer.finish()
}

fn all_messages() -> Query {
    Query { from: Some(1), ..Query::default() }
}

/// Returns whether no span is empty and each begins where the previous one ends.
fn is_contiguous(timeline: &MessageTimeline) -> bool {
    timeline.spans.iter().all(|s| s.from < s.to) && timeline.spans.windows(2).all(|w| w[0].to == w[1].from)
}

/// Returns steps for a few hundred turns, the same each time.
fn long_steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for n in 0..120u64 {
        steps.push(Step::Submit {
            class: (n % 4) as u32,
            dest: 1 + n % 4,
            key: (n % 3) as u8,
            expires: 9_000,
        });
        steps.push(Step::End { pick: n as usize, outcome: (n % 8) as u8, wait: 300 * (n % 5) });
        steps.push(Step::Advance { ms: 10 + 90 * (n % 4) });
    }
    steps
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    #[test]
    fn replay_repeats_the_recorded_decisions_bit_for_bit(
        steps in prop::collection::vec(step(), 1..100),
        slots in 1..9u32,
        may_send_notes in any::<bool>(),
        limit in 60_000..400_000u64,
    ) {
        let settings = Settings { slots, may_send_notes, senders: 9, ..settings() };
        let bytes = record(&steps, &settings, limit);
        let report = replay(&Recording::read(&bytes), &mut NoObserver);
        prop_assert!(
            report.is_equal() && report.damage.is_empty() && report.other_builds.is_empty(),
            "{report:?}"
        );
        prop_assert!(report.turns > 0);
    }

    #[test]
    fn changed_decision_is_found_at_its_turn(
        steps in prop::collection::vec(step(), 10..60),
        pick in any::<prop::sample::Index>(),
    ) {
        let settings = settings();
        let bytes = record(&steps, &settings, 1 << 20);
        let recording = Recording::read(&bytes);
        // Changes one action of the recording.
        let mut records: Vec<Record> = recording.segments[0].records().collect();
        let turns_with_actions: Vec<usize> = (0..records.len())
            .filter(|n| matches!(&records[*n], Record::Turn(t) if !t.actions.is_empty()))
            .collect();
        prop_assume!(!turns_with_actions.is_empty());
        let at = turns_with_actions[pick.index(turns_with_actions.len())];
        let Record::Turn(turn) = &mut records[at] else { unreachable!() };
        let (number, index) = (turn.number, turn.actions.len() - 1);
        turn.actions[index] = Action::Log("changed action".into());
        let mut changed = MAGIC.to_vec();
        let header = Record::Header(Box::new(recording.segments[0].header.clone()));
        format::write_record(&header, &mut changed).expect("the record is not too long");
        records
            .iter()
            .for_each(|r| format::write_record(r, &mut changed).expect("the record is not too long"));
        let found = replay(&Recording::read(&changed), &mut NoObserver)
            .difference
            .expect("the change is found");
        prop_assert_eq!((found.turn, found.action_index), (number, index));
        prop_assert_eq!(found.recorded, Some(Action::Log("changed action".into())));
    }

    #[test]
    fn explain_accounts_for_all_held_time(
        steps in prop::collection::vec(step(), 1..100),
        slots in 1..5u32,
    ) {
        let settings = Settings { slots, ..settings() };
        let all = explain(&record(&steps, &settings, 4 << 20), all_messages());
        for e in &all {
            prop_assert_eq!(e.held_by_spans, e.held_by_count);
            prop_assert!(e.timelines.iter().all(is_contiguous));
            let held: Micros = e.timelines.iter().map(MessageTimeline::held).sum();
            prop_assert_eq!(held, e.held_by_spans);
            prop_assert!(e.timelines.iter().all(|t| t.end.is_some()), "all have ended");
        }
    }
}

#[test]
fn recording_truncated_at_any_byte_is_replayed_up_to_the_last_complete_record() {
    let bytes = record(&long_steps()[..60], &settings(), 1 << 20);
    let complete = replay(&Recording::read(&bytes), &mut NoObserver);
    assert!(complete.is_equal() && complete.damage.is_empty());
    let mut last_turns = 0;
    for len in 0..bytes.len() {
        let report = replay(&Recording::read(&bytes[..len]), &mut NoObserver);
        assert!(
            report.difference.is_none() && report.state_differs.is_none(),
            "truncated at {len}: {report:?}"
        );
        // All turns up to the last complete record are replayed: never fewer than from a shorter part, and
        // never more than were recorded.
        assert!(report.turns >= last_turns && report.turns <= complete.turns, "truncated at {len}");
        assert!(
            report.turns < complete.turns && (len == 0) == (report.segments == 0 && report.damage.is_empty())
                || len > 0
        );
        last_turns = report.turns;
    }
    assert_eq!(last_turns, complete.turns - 1, "all but the last record");
}

#[test]
fn damaged_byte_is_reported_and_the_segments_after_it_are_replayed() {
    let steps = long_steps();
    let steps: Vec<Step> = steps.iter().cycle().take(steps.len() * 3).cloned().collect();
    let bytes = record(&steps, &settings(), 120_000);
    let complete = replay(&Recording::read(&bytes), &mut NoObserver);
    assert!(complete.is_equal() && complete.segments >= 3, "{} segments", complete.segments);
    let mut damaged = bytes.clone();
    for at in (0..bytes.len()).step_by(211) {
        damaged[at] ^= 0x20;
        let report = replay(&Recording::read(&damaged), &mut NoObserver);
        assert!(!report.damage.is_empty(), "byte {at}: the damage is not detected");
        assert!(report.difference.is_none(), "byte {at}: {report:?}");
        // At most the segment with the damaged byte is lost.
        assert!(report.segments + 1 >= complete.segments, "byte {at}: {} segments", report.segments);
        damaged[at] ^= 0x20;
    }
}

#[test]
fn ring_keeps_the_newest_turns_and_each_segment_can_be_replayed_alone() {
    let (settings, steps) = (settings(), long_steps());
    let long: Vec<Step> = steps.iter().cycle().take(steps.len() * 6).cloned().collect();
    let bytes = record(&long, &settings, 60_000);
    let recording = Recording::read(&bytes);
    let first = &recording.segments[0].header;
    assert!(
        first.segment > 0 && matches!(first.start, SegmentStart::State(_)),
        "the first segments were removed"
    );
    let report = replay(&recording, &mut NoObserver);
    assert!(report.is_equal(), "{report:?}");
    assert_eq!((report.segments, report.states), (recording.segments.len(), recording.segments.len() - 1));
    for (n, s) in recording.segments.iter().enumerate() {
        let end = recording.segments.get(n + 1).map_or(bytes.len(), |s| s.offset);
        let alone = replay(&Recording::read(&bytes[s.offset..end]), &mut NoObserver);
        assert!(alone.is_equal() && alone.segments == 1, "segment {n}: {alone:?}");
    }
    let all = explain(&bytes, all_messages());
    assert!(all[0].timelines.iter().any(|t| t.from_before), "a message was held at the start");
    assert_eq!(all[0].held_by_spans, all[0].held_by_count);
}

#[test]
fn killed_process_leaves_complete_records_and_the_next_continues_after_them() {
    let (settings, folder) = (settings(), tempfile::tempdir().expect("a temporary folder"));
    let steps = long_steps();
    for run in 0..3 {
        let (store, existing) = FolderStore::open(folder.path()).expect("the folder can be opened");
        assert_eq!(existing.is_empty(), run == 0);
        let mut recorder = start_recorder(1 << 20, &settings, Box::new(store), &existing);
        recorder.record_name(EndpointId(1), "s-1").expect("the name is recorded");
        let recorder = Rc::new(RefCell::new(recorder));
        play(&steps[..90], &settings, recorder.clone());
        // A kill: the recorder is not closed, and the last record is incomplete.
        drop(recorder);
        let last = std::fs::read_dir(folder.path())
            .expect("the folder is readable")
            .flatten()
            .map(|e| e.path())
            .max();
        let last = last.expect("a segment");
        let bytes = std::fs::read(&last).expect("the segment is readable");
        std::fs::write(&last, &bytes[..bytes.len() - 3]).expect("the segment is written");
    }
    let bytes = load(folder.path()).expect("the recording is readable");
    let report = replay(&Recording::read(&bytes), &mut NoObserver);
    assert!(report.difference.is_none() && report.skipped.is_empty(), "{report:?}");
    assert_eq!((report.segments, report.damage.len()), (3, 3));
    assert!(
        report.damage.iter().all(|d| matches!(d, Damage::Truncated { .. } | Damage::ChecksumMismatch { .. }))
    );
}

#[test]
fn other_builds_are_reported_and_their_states_are_not_read() {
    let bytes = record(&long_steps(), &settings(), 120_000);
    let recording = Recording::read(&bytes);
    // Any build can replay a recording from the start of its process. A state in another format is skipped.
    let mut other = Vec::new();
    for s in &recording.segments {
        let mut header = s.header.clone();
        (header.fingerprint, header.state_form) = (1, 2);
        other.extend(MAGIC);
        format::write_record(&Record::Header(Box::new(header)), &mut other)
            .expect("the record is not too long");
        s.records().for_each(|r| format::write_record(&r, &mut other).expect("the record is not too long"));
    }
    let report = replay(&Recording::read(&other), &mut NoObserver);
    assert_eq!(report.other_builds, [1]);
    let has_fresh_start = matches!(recording.segments[0].header.start, SegmentStart::Fresh { .. });
    if has_fresh_start {
        assert!(report.is_equal(), "replayed from the start: {report:?}");
    }
    let second = Recording::read(&other).segments[1].offset;
    let report = replay(&Recording::read(&other[second..]), &mut NoObserver);
    assert!(report.skipped.iter().all(|s| s.2 == SkipReason::UnsupportedState));
    assert_eq!((report.skipped.len(), report.turns), (recording.segments.len() - 1, 0));
    let mut versions = bytes.clone();
    versions[7] = 9;
    let found = Recording::read(&versions).damage;
    assert_eq!(found[0], Damage::UnsupportedVersion { offset: 0, version: 9 });
}

#[test]
fn random_bytes_are_no_recording_and_cause_no_panic() {
    let mut rng = 1u64;
    for length in 0..400 {
        let mut bytes = if length % 3 == 0 { MAGIC.to_vec() } else { Vec::new() };
        for _ in 0..length {
            rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            bytes.push((rng >> 56) as u8);
        }
        let report = replay(&Recording::read(&bytes), &mut NoObserver);
        assert_eq!(report.turns, 0);
        assert!(bytes.is_empty() || !report.damage.is_empty());
    }
}

#[test]
fn state_that_does_not_fit_into_the_limit_is_refused_with_the_reason() {
    let started = Recorder::start(options(100, settings()), Box::new(MemoryStore::default()), &[], 0, UNIX);
    let reason = started.err().expect("the limit is too small").to_string();
    assert!(reason.contains("needs a limit"), "{reason}");
}

/// A recorded sender with one destination that has one endpoint.
struct RecordedSender {
    sender: Sender,
    recorder: Recorder,
    now: Micros,
    unix: u64,
    /// The id of the next message.
    next_id: u64,
}

impl RecordedSender {
    fn new(settings: Settings) -> Self {
        let recorder = start_recorder(8 << 20, &settings, Box::new(MemoryStore::default()), &[]);
        let sender = Sender::new(settings, SEED).expect("the settings are valid");
        let mut recorded = Self { sender, recorder, now: 50 * SEC, unix: UNIX, next_id: 1 };
        recorded.handle(vec![Event::List(ListUpdate::Restored(vec![common::entry(0, 1, 0, Phase::Live)]))]);
        recorded
    }

    fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        self.recorder
            .record_turn(self.now, self.unix, &events, &actions, &self.sender)
            .expect("the turn is recorded");
        actions
    }

    fn wait(&mut self, span: Micros) -> Vec<Action> {
        (self.now, self.unix) = (self.now + span, self.unix + span);
        self.handle(vec![Event::Wake])
    }

    fn accept(&mut self, class: u32) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let (dest, expires_in) = (DestinationId(1), 20 * SEC);
        let message =
            Message { id: MessageId(id), class, tenant: None, key: None, dest, is_retry: false, expires_in };
        self.handle(vec![Event::Taken(message)]);
        id
    }

    fn end(&mut self, id: u64, attempt: u32, outcome: Outcome) {
        let (id, is_final) = (MessageId(id), outcome == Outcome::Served);
        self.handle(vec![Event::Ended { id, attempt, outcome, is_final, allowance: None }]);
    }

    fn explain(&self, query: Query) -> Explanation {
        let mut bytes = Vec::new();
        self.recorder.dump(&mut bytes).expect("the dump is written");
        explain(&bytes, query).remove(0)
    }

    /// Returns the states of a message in order, each with its duration.
    fn spans(&self, id: u64) -> Vec<(MessageState, Micros)> {
        let explanation = self.explain(Query { message: Some(MessageId(id)), ..Query::default() });
        explanation.timelines[0].spans.iter().map(|s| (s.state, s.to - s.from)).collect()
    }
}

#[test]
fn full_window_and_then_requested_wait_are_reported_in_order() {
    let mut recorded = RecordedSender::new(settings());
    let (first, second) = (recorded.accept(common::IDEMPOTENT), recorded.accept(common::IDEMPOTENT));
    recorded.wait(200 * MS);
    recorded.end(first, 0, Outcome::Full { wait: Some(SEC) });
    recorded.wait(300 * MS);
    for _ in 0..20 {
        recorded.wait(100 * MS);
    }
    let spans = recorded.spans(second);
    assert_eq!(spans[0], (MessageState::Held(Guard::Window), 200 * MS), "{spans:?}");
    let states: Vec<MessageState> = spans.iter().map(|s| s.0).collect();
    assert!(states.contains(&MessageState::Held(Guard::Wait)), "{spans:?}");
    let waited: Micros = spans.iter().filter(|s| s.0 == MessageState::Held(Guard::Wait)).map(|s| s.1).sum();
    assert!((SEC..2 * SEC).contains(&waited), "{spans:?}");
}

#[test]
fn of_two_guards_that_hold_at_once_the_one_that_releases_last_is_reported() {
    let (earlier, later) = (Hold::until(Guard::Again, 5), Hold::until(Guard::Wait, 9));
    assert_eq!(earlier.later(later), later);
    assert_eq!(later.later(earlier), later);
    // A guard that waits for an event may never release.
    assert_eq!(later.later(Hold::until_event(Guard::Window)).guard, Guard::Window);
    let mut recorded = RecordedSender::new(settings());
    let id = recorded.accept(common::IDEMPOTENT);
    // The message is paused for 300 ms after a failed connection; the destination requests a wait of two
    // seconds.
    let other = recorded.accept(common::IDEMPOTENT);
    recorded.end(id, 0, Outcome::ConnectFailed);
    recorded.wait(SEC);
    let in_flight = recorded.sender.open_messages().into_iter().find(|o| o.3).map(|o| o.0.0);
    if let Some(in_flight) = in_flight {
        let attempt = u32::from(in_flight == id);
        recorded.end(in_flight, attempt, Outcome::Full { wait: Some(2 * SEC) });
        recorded.wait(10 * MS);
        let held: Vec<Guard> = recorded.sender.holds().iter().map(|h| h.2.guard).collect();
        assert!(held.iter().all(|g| *g == Guard::Wait), "{held:?} for {id} and {other}");
    }
}

#[test]
fn whole_time_of_a_message_that_is_never_sent_is_explained() {
    let mut recorded = RecordedSender::new(settings());
    // The destination leaves the endpoint list before the message is accepted.
    recorded.handle(vec![Event::List(ListUpdate::Changes(vec![common::entry(0, 1, 0, Phase::Gone)]))]);
    let id = recorded.accept(common::AT_MOST_ONCE);
    for _ in 0..250 {
        recorded.wait(100 * MS);
    }
    let explanation = recorded.explain(Query { message: Some(MessageId(id)), ..Query::default() });
    let timeline = &explanation.timelines[0];
    assert_eq!(timeline.end.as_deref(), Some("refused"));
    assert!(timeline.spans.iter().all(|s| s.state == MessageState::Held(Guard::Drained)), "{timeline:?}");
    assert!(timeline.held() >= 19 * SEC);
    assert_eq!((explanation.totals.len(), explanation.totals[0].guard), (1, Guard::Drained));
}

#[test]
fn destination_that_leaves_the_list_is_the_reported_guard_from_then_on() {
    let mut recorded = RecordedSender::new(settings());
    let (first, second) = (recorded.accept(common::IDEMPOTENT), recorded.accept(common::AT_MOST_ONCE));
    recorded.wait(200 * MS);
    recorded.handle(vec![Event::List(ListUpdate::Changes(vec![common::entry(0, 1, 0, Phase::Gone)]))]);
    recorded.wait(300 * MS);
    recorded.end(first, 0, Outcome::Served);
    for _ in 0..250 {
        recorded.wait(100 * MS);
    }
    let explanation = recorded.explain(Query { message: Some(MessageId(second)), ..Query::default() });
    let spans = &explanation.timelines[0].spans;
    assert_eq!(spans[0].state, MessageState::Held(Guard::Window), "{spans:?}");
    assert_eq!(spans[1].state, MessageState::Held(Guard::Drained), "{spans:?}");
    assert_eq!(spans[1].from - spans[0].from, 200 * MS);
    assert!(spans[0].ended.contains("the list of endpoints changed"), "{}", spans[0].ended);
    assert_eq!(explanation.timelines[0].end.as_deref(), Some("refused"));
}

#[test]
fn clock_step_is_reported_and_changes_no_span() {
    let mut recorded = RecordedSender::new(settings());
    let id = recorded.accept(common::IDEMPOTENT);
    recorded.wait(SEC);
    recorded.unix -= 3_600 * SEC;
    recorded.wait(SEC);
    recorded.end(id, 0, Outcome::Served);
    let explanation = recorded.explain(Query { message: Some(MessageId(id)), ..Query::default() });
    assert_eq!(explanation.clock_steps.len(), 1);
    assert_eq!(explanation.clock_steps[0].1, -3_600_000_000);
    assert_eq!(explanation.timelines[0].spans.iter().map(|s| s.to - s.from).sum::<Micros>(), 2 * SEC);
    assert!(text::render(&explanation).contains("stepped by -3600.000 s"));
}

#[test]
fn window_cuts_have_causes_and_are_drawn() {
    let mut recorded = RecordedSender::new(settings());
    for _ in 0..6 {
        let id = recorded.accept(common::IDEMPOTENT);
        recorded.wait(100 * MS);
        recorded.end(id, 0, Outcome::Served);
    }
    let id = recorded.accept(common::IDEMPOTENT);
    recorded.wait(100 * MS);
    recorded.end(id, 0, Outcome::Full { wait: None });
    recorded.wait(SEC);
    let explanation = recorded.explain(Query { dest: Some(DestinationId(1)), ..Query::default() });
    assert_eq!(explanation.cuts.len(), 1, "{:?}", explanation.cuts);
    assert!(
        explanation.cuts[0].cause.contains("without a wait time")
            && explanation.cuts[0].to < explanation.cuts[0].from
    );
    let svg = plot::draw(&explanation, 1);
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n") && svg.contains("without a wait time"));
    assert!(
        serde_json::to_string(&explanation).expect("an explanation can be serialized").contains("\"cuts\"")
    );
}

#[test]
fn ten_thousand_destinations_can_be_recorded_and_explained() {
    /// The numbers of waiting messages, summed over all turns.
    struct WaitingCount(u64);
    impl ReplayObserver for WaitingCount {
        fn on_segment(&mut self, _: &format::Header, _: &Sender, _: bool) {}
        fn on_turn(&mut self, _: &format::Turn, sender: &Sender) {
            self.0 += sender.waiting_count() as u64;
        }
    }
    let settings = Settings { slots: 64, max_held: 20_000, ..settings() };
    let mut recorded = RecordedSender::new(settings);
    let entries = (0..10_000).map(|n| common::entry(n, u64::from(n) + 1, 0, Phase::Live)).collect();
    recorded.handle(vec![Event::List(ListUpdate::Whole(entries))]);
    let accepted = (0..2_000u64).map(|n| {
        let (dest, expires_in) = (DestinationId(1 + n * 5), 20 * SEC);
        let id = MessageId(1_000 + n);
        Event::Taken(Message { id, class: 0, tenant: None, key: None, dest, is_retry: false, expires_in })
    });
    recorded.handle(accepted.collect());
    for _ in 0..5 {
        recorded.wait(100 * MS);
    }
    let mut bytes = Vec::new();
    recorded.recorder.dump(&mut bytes).expect("the dump is written");
    assert!(bytes.len() <= 8 << 20);
    let mut waiting = WaitingCount(0);
    assert!(replay(&Recording::read(&bytes), &mut waiting).is_equal());
    assert!(waiting.0 > 5_000);
    let explanation = recorded.explain(all_messages());
    assert_eq!(explanation.held_by_spans, explanation.held_by_count);
    assert!(
        explanation.totals.iter().any(|t| t.guard == Guard::Slots && t.messages > 1_900),
        "{:?}",
        explanation.totals
    );
}
