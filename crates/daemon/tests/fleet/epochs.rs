//! Witnesses that go before they have answered a new epoch, and what becomes of promises then: one loss is to
//! be borne for each copy, whoever it is.

use crate::fleet::{Does, Fleet};
use crate::world::until;
use std::time::Duration;

const LONG: u64 = 50_000;
const REPLACED: &str = "a new epoch begins without it";

/// A fleet of three in which a new epoch of n1 waits for n0, which comes back with an empty folder and
/// answers late.
fn undecided() -> Fleet {
    let mut fleet = Fleet::new(3, 1);
    fleet.lose(0);
    fleet.delay(1, 0, Duration::from_millis(150));
    fleet.start(0);
    fleet.says(1, "n0 has lost its folder; a new epoch begins");
    fleet
}

fn promises(fleet: &Fleet, i: usize, first: u64) -> Vec<u64> {
    until("it promises", || fleet.hand_in(i, "update", first + 50, LONG).status() == 202);
    let ids = fleet.hand_in_many(i, first..first + 10, LONG);
    assert_eq!(ids.len(), 10, "n{i} promises");
    ids
}

#[test]
fn a_witness_that_is_stopped_and_replaced_harms_nothing_when_it_goes_on() {
    let fleet = undecided();
    fleet.signal(0, "-STOP");
    fleet.says(1, REPLACED);
    fleet.do_all(Does::Busy);
    let ids = promises(&fleet, 1, 100);
    fleet.signal(0, "-CONT");
    let more = promises(&fleet, 0, 300);
    fleet.do_all(Does::Serve);
    fleet.all_end(&ids);
    fleet.all_end(&more);
    fleet.nothing_twice(&[ids, more].concat());
}

#[test]
fn an_owner_that_restarts_between_two_epochs_promises_beside_a_witness_that_is_away() {
    let mut fleet = undecided();
    fleet.kill(0);
    fleet.kill(1);
    fleet.start(1);
    let ids = promises(&fleet, 1, 100);
    fleet.all_end(&ids);
    fleet.nothing_twice(&ids);
}

#[test]
fn an_owner_that_is_lost_behind_a_replacement_loses_nothing_that_it_promised() {
    let mut fleet = undecided();
    fleet.kill(0);
    fleet.says(1, REPLACED);
    fleet.do_all(Does::Busy);
    let ids = promises(&fleet, 1, 100);
    fleet.lose(1);
    fleet.do_all(Does::Serve);
    fleet.all_end(&ids);
    fleet.nothing_twice(&ids);
    assert!(fleet.said(2, "took over") > 0, "who is left goes on with them");
}

#[test]
fn two_of_five_that_go_one_after_the_other_stop_nobody_with_two_copies() {
    let mut fleet = Fleet::new(5, 2);
    fleet.lose(0);
    (1..5).for_each(|i| fleet.delay(i, 0, Duration::from_millis(150)));
    fleet.start(0);
    fleet.somebody_says("n0 has lost its folder; a new epoch begins");
    fleet.kill(0);
    fleet.kill(1);
    for i in 2..5 {
        let ids = promises(&fleet, i, 100 * i as u64);
        fleet.all_end(&ids);
        fleet.nothing_twice(&ids);
    }
}
