use super::*;
use crate::input::CLOCK_START;
use crate::state::journal::Journal;
use crate::state::record::OpenMessage;
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_seam::Clock;
use notchpoint_seam::system::Folder;
use notchpoint_store::Options;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

const HOUR: u64 = 3_600_000_000;
const SECOND: u64 = 1_000_000;

struct FakeClock(Cell<ClockReading>);

impl Clock for FakeClock {
    fn unix_now(&self) -> u64 {
        self.0.get().wall
    }

    fn monotonic_now(&self) -> u64 {
        self.0.get().monotonic
    }

    fn boot_id(&self) -> std::io::Result<Option<BootId>> {
        Ok(self.0.get().boot)
    }
}

fn reading(boot: u8, monotonic: u64, wall: u64) -> ClockReading {
    ClockReading { boot: Some(BootId([boot; 16])), monotonic, wall }
}

fn open(folder: &Path, now: ClockReading) -> (Journal, Rc<FakeClock>) {
    let clock = Rc::new(FakeClock(Cell::new(now)));
    let disk = Rc::new(Folder(folder.to_owned()));
    (Journal::open(disk, clock.clone(), Options::new(1, 600_000)).expect("a journal").0, clock)
}

fn message(deadline: u64) -> OpenMessage {
    OpenMessage::new("payment", "acme", 3, deadline, vec![7; 5].into())
}

#[test]
fn within_one_boot_the_timeline_follows_the_monotonic_clock_across_steps_and_restarts() {
    let folder = tempfile::tempdir().expect("a folder");
    let (journal, clock) = open(folder.path(), reading(1, 5 * HOUR, 100 * HOUR));
    assert_eq!(journal.unix_now(), 100 * HOUR);
    clock.0.set(reading(1, 5 * HOUR + SECOND, 99 * HOUR));
    assert_eq!(journal.unix_now(), 100 * HOUR + SECOND);
    drop(journal);
    for wall in [0, 100 * HOUR, 900 * HOUR] {
        let (journal, _) = open(folder.path(), reading(1, 6 * HOUR, wall));
        assert_eq!(journal.unix_now(), 101 * HOUR);
    }
}

#[test]
fn after_a_reboot_attempts_are_older_than_any_window_and_deadlines_are_limited_by_their_class() {
    // The same boot id with an earlier monotonic time counts as another boot, since the clock differs.
    for (after, wall) in
        [(reading(2, SECOND, 90 * HOUR), 90 * HOUR), (reading(1, SECOND, 90 * HOUR), 90 * HOUR)]
    {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut journal, _) = open(folder.path(), reading(1, 5 * HOUR, 100 * HOUR));
        for id in [1, 2] {
            journal.accept(MessageId(id), message(100 * HOUR + 60 * SECOND)).expect("room");
            journal.record_attempt(MessageId(id), 0, EndpointId(9)).expect("room");
        }
        journal.record_never_ran(MessageId(2), 0);
        drop(journal);
        for _ in 0..2 {
            let (mut journal, _) = open(folder.path(), after);
            assert_eq!(journal.unix_now(), wall, "the timeline starts at the wall clock's time");
            journal.bound_deadlines(|tag| (tag == "payment").then_some(24 * SECOND));
            for (_, open) in journal.iter() {
                assert_eq!(open.deadline, wall + 24 * SECOND);
            }
            let started_at = |id| journal.get(MessageId(id)).expect("open").attempts[0].started_at;
            // The policy's clock starts at least as far from its zero as the longest window.
            assert!(journal.unix_now() - started_at(1) >= 24 * HOUR, "{}", started_at(1));
            assert_eq!(started_at(2), 100 * HOUR, "it never ran");
        }
    }
}

#[test]
fn a_folder_of_an_earlier_build_keeps_its_timestamps() {
    let (timeline, continuity) = Timeline::resume(None, reading(1, 5, 7 * HOUR));
    assert_eq!((timeline.time_at(6), continuity), (7 * HOUR + 1, Continuity::FirstUse));
}

#[test]
fn the_longest_allowed_span_does_not_reach_before_the_policys_zero() {
    // Settings with spans of more than 2^50 us are rejected.
    const { assert!(CLOCK_START >= 1 << 50) };
}
