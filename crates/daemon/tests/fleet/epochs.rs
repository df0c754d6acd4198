//! Witnesses that fail before they have registered a new epoch, and the acknowledged messages then: with each
//! replica one more loss must be borne, whichever sender is lost.

use crate::fleet::{Behavior, Fleet};
use crate::world::{Client, wait_until};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// The log line of a sender that begins a new epoch because a witness has failed.
const WITNESS_REPLACED: &str = "a new epoch begins without it";

/// Returns a fleet of three in which a new epoch of n1 waits for n0, which has restarted with an empty folder
/// and responds late.
fn fleet_with_unregistered_epoch() -> Fleet {
    let mut fleet = Fleet::new(3, 1);
    fleet.lose_machine(0);
    fleet.delay(1, 0, Duration::from_millis(150));
    fleet.start(0);
    fleet.wait_for_log(1, "n0 has lost its folder; a new epoch begins");
    fleet
}

/// Waits until a sender acknowledges a message, then submits ten more and returns their ids.
fn submit_ten(fleet: &Fleet, sender: usize, first: u64) -> Vec<u64> {
    wait_until("the sender acknowledges a message", || {
        fleet.submit(sender, "update", first + 50, LONG).status() == 202
    });
    let ids = fleet.submit_many(sender, first..first + 10, LONG);
    assert_eq!(ids.len(), 10, "n{sender} acknowledges");
    ids
}

#[test]
fn witness_stopped_and_replaced_affects_nothing_when_it_continues() {
    let fleet = fleet_with_unregistered_epoch();
    fleet.signal(0, "-STOP");
    fleet.wait_for_log(1, WITNESS_REPLACED);
    fleet.set_behavior(Behavior::Refuse);
    let ids = submit_ten(&fleet, 1, 100);
    fleet.signal(0, "-CONT");
    let more = submit_ten(&fleet, 0, 300);
    fleet.set_behavior(Behavior::Serve);
    fleet.wait_until_all_ended(&ids);
    fleet.wait_until_all_ended(&more);
    fleet.assert_payments_ran_at_most_once(&[ids, more].concat());
}

#[test]
fn owner_restarted_between_two_epochs_acknowledges_while_a_witness_is_missing() {
    let mut fleet = fleet_with_unregistered_epoch();
    fleet.kill(0);
    fleet.kill(1);
    fleet.start(1);
    let ids = submit_ten(&fleet, 1, 100);
    fleet.wait_until_all_ended(&ids);
    fleet.assert_payments_ran_at_most_once(&ids);
}

#[test]
fn loss_of_an_owner_after_a_witness_was_replaced_loses_no_acknowledged_message() {
    let mut fleet = fleet_with_unregistered_epoch();
    fleet.kill(0);
    fleet.wait_for_log(1, WITNESS_REPLACED);
    fleet.set_behavior(Behavior::Refuse);
    let ids = submit_ten(&fleet, 1, 100);
    fleet.lose_machine(1);
    fleet.set_behavior(Behavior::Serve);
    fleet.wait_until_all_ended(&ids);
    fleet.assert_payments_ran_at_most_once(&ids);
    assert!(fleet.log_count(2, "took over") > 0, "the remaining sender takes them over");
}

#[test]
fn successive_failures_of_two_of_five_block_no_sender_with_two_replicas() {
    let mut fleet = Fleet::new(5, 2);
    fleet.lose_machine(0);
    (1..5).for_each(|sender| fleet.delay(sender, 0, Duration::from_millis(150)));
    fleet.start(0);
    fleet.wait_for_log_of_any("n0 has lost its folder; a new epoch begins");
    fleet.kill(0);
    fleet.kill(1);
    for sender in 2..5 {
        let ids = submit_ten(&fleet, sender, 100 * sender as u64);
        fleet.wait_until_all_ended(&ids);
        fleet.assert_payments_ran_at_most_once(&ids);
    }
}

#[test]
fn messages_in_flight_when_an_epoch_begins_are_acknowledged() {
    // Guards against a 503 for each message that waits for its replicas when its sender begins an epoch, here
    // since n0 returned with an empty folder: n1 is up all the time and can store the copies.
    const CLIENTS: u64 = 8;
    /// So slow that messages are in flight at any time, and much less than the 300 ms that a copy may take.
    const LINK_DELAY: Duration = Duration::from_millis(5);
    let mut fleet = Fleet::new(3, 1);
    fleet.lose_machine(0);
    let address = fleet.senders[2].address;
    let submit = |client: &mut Client, id: u64| {
        let class = if id.is_multiple_of(2) { "payment" } else { "update" };
        client.submit(class, id, 3, LONG, b"hello").status()
    };
    wait_until("n2 acknowledges without n0", || submit(&mut Client::new(address), 1) == 202);
    fleet.delay(2, 1, LINK_DELAY);
    let epoch_has_begun = AtomicBool::new(false);
    let submit_until_epoch_has_begun = |first: u64| {
        let (mut client, mut refused) = (Client::new(address), Vec::new());
        for id in first.. {
            if submit(&mut client, id) != 202 {
                refused.push(id);
            }
            if epoch_has_begun.load(Ordering::Relaxed) {
                break;
            }
        }
        refused
    };
    let refused: Vec<u64> = thread::scope(|scope| {
        let start_client = |n| scope.spawn(move || submit_until_epoch_has_begun(n * 1_000_000));
        let clients: Vec<_> = (1..=CLIENTS).map(start_client).collect();
        fleet.start(0);
        fleet.wait_for_log(2, "n0 has lost its folder; a new epoch begins");
        epoch_has_begun.store(true, Ordering::Relaxed);
        clients.into_iter().flat_map(|client| client.join().expect("no client failed")).collect()
    });
    assert!(refused.is_empty(), "refused while n1 was up all the time: {refused:?}");
}

/// Submits messages to n2 while it begins `epochs` new epochs, since n0 returns each time with an empty
/// folder. No call runs meanwhile. Returns the ids that were acknowledged.
fn submit_while_epochs_begin(fleet: &mut Fleet, epochs: usize) -> Vec<u64> {
    const CLIENTS: u64 = 8;
    const LINK_DELAY: Duration = Duration::from_millis(5);
    fleet.set_behavior(Behavior::Refuse);
    fleet.delay(2, 1, LINK_DELAY);
    let (address, are_begun) = (fleet.senders[2].address, AtomicBool::new(false));
    let submit_until_begun = |first: u64| {
        let (mut client, mut acknowledged) = (Client::new(address), Vec::new());
        for id in first.. {
            let class = if id.is_multiple_of(2) { "payment" } else { "update" };
            if client.submit(class, id, 3, LONG, b"hello").status() == 202 {
                acknowledged.push(id);
            }
            if are_begun.load(Ordering::Relaxed) {
                break;
            }
        }
        acknowledged
    };
    thread::scope(|scope| {
        let start_client = |n| scope.spawn(move || submit_until_begun(n * 1_000_000));
        let clients: Vec<_> = (1..=CLIENTS).map(start_client).collect();
        for epoch in 1..=epochs {
            fleet.lose_machine(0);
            fleet.start(0);
            wait_until("n2 begins an epoch", || {
                fleet.log_count(2, "n0 has lost its folder; a new epoch begins") >= epoch
            });
        }
        are_begun.store(true, Ordering::Relaxed);
        clients.into_iter().flat_map(|client| client.join().expect("no client failed")).collect()
    })
}

#[test]
fn messages_acknowledged_when_epochs_begin_survive_the_loss_of_their_owner() {
    // Guards against a copy of the earlier epoch that is claimed beside the one of the new epoch: the message
    // would run twice, or be ended though it never ran.
    let mut fleet = Fleet::new(3, 1);
    let ids = submit_while_epochs_begin(&mut fleet, 2);
    // One loss is borne at a time.
    fleet.wait_until_redundant();
    fleet.lose_machine(2);
    fleet.set_behavior(Behavior::Serve);
    fleet.wait_until_all_ended(&ids);
    fleet.assert_payments_ran_at_most_once(&ids);
    let delivered = ids.iter().filter(|id| fleet.was_answered(**id)).count();
    assert!(delivered > ids.len() * 9 / 10, "messages that never ran: {delivered} of {} sent", ids.len());
}
