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

struct Clocks(Cell<Reading>);

impl Clock for Clocks {
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

fn reading(boot: u8, monotonic: u64, wall: u64) -> Reading {
    Reading { boot: Some(BootId([boot; 16])), monotonic, wall }
}

fn open(folder: &Path, now: Reading) -> (Journal, Rc<Clocks>) {
    let clocks = Rc::new(Clocks(Cell::new(now)));
    let disk = Rc::new(Folder(folder.to_owned()));
    (Journal::open(disk, clocks.clone(), Options::new(1, 600_000)).expect("a journal").0, clocks)
}

fn message(deadline: u64) -> OpenMessage {
    OpenMessage::new("payment", "acme", 3, deadline, vec![7; 5].into())
}

#[test]
fn on_one_boot_it_advances_with_the_monotonic_clock_over_steps_and_restarts() {
    let folder = tempfile::tempdir().expect("a folder");
    let (journal, clocks) = open(folder.path(), reading(1, 5 * HOUR, 100 * HOUR));
    assert_eq!(journal.unix_now(), 100 * HOUR);
    clocks.0.set(reading(1, 5 * HOUR + SECOND, 99 * HOUR));
    assert_eq!(journal.unix_now(), 100 * HOUR + SECOND);
    drop(journal);
    for wall in [0, 100 * HOUR, 900 * HOUR] {
        let (journal, _) = open(folder.path(), reading(1, 6 * HOUR, wall));
        assert_eq!(journal.unix_now(), 101 * HOUR);
    }
}

#[test]
fn after_a_boot_what_may_have_run_is_older_than_any_window_and_no_deadline_is_beyond_its_class() {
    // The same boot with an earlier monotonic time is none: a clock of another kind.
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
            assert_eq!(journal.unix_now(), wall, "it begins at the wall clock's time");
            journal.bound_deadlines(|tag| (tag == "payment").then_some(24 * SECOND));
            for (_, open) in journal.iter() {
                assert_eq!(open.deadline, wall + 24 * SECOND);
            }
            let at = |id| journal.get(MessageId(id)).expect("open").attempts[0].started_at;
            // The module's clock begins at least as far from its zero as the longest window.
            assert!(journal.unix_now() - at(1) >= 24 * HOUR, "{}", at(1));
            assert_eq!(at(2), 100 * HOUR, "it never ran");
        }
    }
}

#[test]
fn a_folder_of_an_earlier_build_keeps_its_dates() {
    let (timeline, continuity) = Timeline::resume(None, reading(1, 5, 7 * HOUR));
    assert_eq!((timeline.at(6), continuity), (7 * HOUR + 1, Continuity::FirstUse));
}

#[test]
fn the_longest_span_that_settings_allow_does_not_look_back_beyond_the_modules_zero() {
    // Spans of over 2^50 us are turned down.
    const { assert!(CLOCK_START >= 1 << 50) };
}
