//! Ids of messages that clients use again as soon as the message has ended.

use crate::world::*;
use crate::{ok, start_with_endpoint};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const LONG: u64 = 60_000;
const CLIENTS: usize = 8;
const IDS: std::ops::Range<u64> = 0..40;
/// The endpoint is idle and answers at once.
const DELIVERY_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn message_with_the_id_of_one_that_has_just_ended_is_delivered() {
    // Guards against an acknowledged message that is never sent: its request arrives between the end of the
    // previous call under its id and the turn in which the decision loop learns of that end.
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    for id in IDS {
        let acknowledged = Mutex::new(0);
        // All submit the same id until it has been acknowledged twice.
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    let mut client = Client::new(node.address);
                    while *acknowledged.lock().expect("not poisoned") < 2 {
                        if client.submit("update", id, 3, LONG, b"").status() == 202 {
                            *acknowledged.lock().expect("not poisoned") += 1;
                        }
                    }
                });
            }
        });
        let acknowledged = acknowledged.into_inner().expect("not poisoned");
        let name = format!("{id:016x}");
        let calls = || {
            let requests = endpoint.requests.lock().expect("not poisoned");
            requests.iter().filter(|r| r.header("x-request-id") == name).count()
        };
        let acknowledged_at = Instant::now();
        while calls() < acknowledged {
            assert!(
                acknowledged_at.elapsed() < DELIVERY_LIMIT,
                "{} of {acknowledged} calls, id {id}",
                calls()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}
