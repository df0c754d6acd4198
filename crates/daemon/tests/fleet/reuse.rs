//! Ids of messages that clients use again as soon as the message has ended, with replicas.

use crate::LONG;
use crate::fleet::{Behavior, Fleet};
use crate::world::{Client, wait_until};

#[test]
fn message_with_the_id_of_an_ended_one_survives_the_loss_of_its_owner() {
    // Guards against the end of an earlier message that deletes the copies of a later one with its id.
    const IDS: std::ops::Range<u64> = 0..20;
    let mut fleet = Fleet::new(3, 1);
    let address = fleet.senders[0].address;
    let submit = |client: &mut Client, id: u64| {
        let class = if id.is_multiple_of(2) { "payment" } else { "update" };
        client.submit(class, id, 3, LONG, b"hello").status()
    };
    for id in IDS {
        let mut client = Client::new(address);
        fleet.set_behavior(Behavior::Serve);
        wait_until("the first message is acknowledged", || submit(&mut client, id) == 202);
        wait_until("the first message has run", || fleet.runs(id) == 1);
        // What is submitted from here on does not run before the owner is lost.
        fleet.set_behavior(Behavior::Refuse);
        wait_until("the second message is acknowledged", || submit(&mut client, id) == 202);
    }
    fleet.lose_machine(0);
    fleet.set_behavior(Behavior::Serve);
    for id in IDS {
        wait_until("the second message is delivered or ended", || {
            fleet.runs(id) + usize::from(fleet.platform.has_notice(id)) >= 2
        });
        assert!(fleet.runs(id) <= 2, "id {id} ran {} times", fleet.runs(id));
    }
    let delivered = IDS.filter(|&id| fleet.runs(id) == 2).count();
    assert!(
        delivered > IDS.count() / 2,
        "messages that never ran are delivered by the new owner: {delivered}"
    );
}
