//! Measures the cost of replicas side by side: processor time and bytes per message, and the time until 202.
//! MESSAGES is the number per sender (60 if it is not set), ROUNDS the number of repetitions (1 if it is not
//! set); PROGRAM is another build to measure.

use crate::fleet::{Fleet, FleetOptions};
use crate::world::Client;
use std::time::{Duration, Instant};

/// The cost per message.
struct Cost {
    cpu: Duration,
    /// Percentiles of the time until a client receives 202.
    p50: Duration,
    p99: Duration,
    link_bytes: u64,
    disk_bytes: u64,
    /// The number of accepted messages.
    accepted: u64,
}

/// Returns the processor time that a process has used (proc(5): fields 14 and 15, in ticks of 10 ms).
fn cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// Returns the bytes that a process has written to files; bytes sent to sockets are not counted (proc(5),
/// io).
fn written_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("wchar: "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn measure(senders: usize, copies: usize, messages: u64, direct_links: bool) -> Cost {
    let fleet = Fleet::with(&FleetOptions { direct_links, ..FleetOptions::of(senders, copies) });
    let pids: Vec<u32> =
        fleet.senders.iter().map(|s| s.child.as_ref().expect("the process runs").id()).collect();
    // Connections, windows and memory pages exist before the measurement starts.
    for sender in 0..senders {
        fleet.wait_until_all_ended(&fleet.submit_many(
            sender,
            1_000_000 * (sender as u64 + 1)..1_000_000 * (sender as u64 + 1) + 30,
            50_000,
        ));
    }
    let sum = |of: &dyn Fn(u32) -> u64| pids.iter().map(|&pid| of(pid)).sum::<u64>();
    let cpu_micros = |pid: u32| cpu_time(pid).as_micros() as u64;
    let (cpu_before, disk_before, links_before) =
        (sum(&cpu_micros), sum(&written_bytes), fleet.bytes_on_links());
    let clients: Vec<_> = (0..senders as u64)
        .map(|sender| {
            let address = fleet.senders[sender as usize].address;
            std::thread::spawn(move || {
                let (mut client, mut waits) = (Client::new(address), Vec::new());
                let mut accepted = Vec::new();
                for n in 0..messages {
                    let (id, class) = (sender * messages + n, if n % 5 < 3 { "update" } else { "payment" });
                    let begun = Instant::now();
                    if client.submit(class, id, 3 + n % 2, 50_000, &[7; 200]).status() == 202 {
                        waits.push(begun.elapsed());
                        accepted.push(id);
                    }
                }
                (waits, accepted)
            })
        })
        .collect();
    let (mut waits, mut accepted) = (Vec::new(), Vec::new());
    for client in clients {
        let (client_waits, client_accepted) = client.join().expect("the client has not panicked");
        waits.extend(client_waits);
        accepted.extend(client_accepted);
    }
    fleet.wait_until_all_ended(&accepted);
    waits.sort_unstable();
    let accepted = accepted.len() as u64;
    assert!(accepted > messages * senders as u64 / 2, "{accepted} accepted");
    Cost {
        cpu: Duration::from_micros((sum(&cpu_micros) - cpu_before) / accepted),
        p50: waits[waits.len() / 2],
        p99: waits[waits.len() * 99 / 100],
        link_bytes: (fleet.bytes_on_links() - links_before) / accepted,
        disk_bytes: (sum(&written_bytes) - disk_before) / accepted,
        accepted,
    }
}

#[test]
fn cost_of_replicas() {
    let messages = std::env::var("MESSAGES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let rounds: usize = std::env::var("ROUNDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let copy_counts: &[usize] = if std::env::var_os("PROGRAM").is_some() { &[0] } else { &[0, 1, 2] };
    println!("replicas | accepted | CPU per message | 202 at p50 | at p99 | bytes on links | bytes on disks");
    for _ in 0..rounds {
        for &copies in copy_counts {
            let cost = measure(4, copies, messages, true);
            // Bytes on links are counted in a second run through the test's relays, which cost time.
            let link_bytes = measure(4, copies, messages.min(500), false).link_bytes;
            let Cost { cpu, p50, p99, disk_bytes, accepted, .. } = cost;
            println!("{copies} | {accepted} | {cpu:?} | {p50:?} | {p99:?} | {link_bytes} | {disk_bytes}");
        }
    }
}
