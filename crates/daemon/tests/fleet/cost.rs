//! What copies cost, side by side: processor time and bytes a message, and how long clients wait for 202.
//! MESSAGES a sender (60 if it is not set); PROGRAM is another build to measure.

use crate::fleet::{Fleet, Wanted};
use crate::world::Client;
use std::time::{Duration, Instant};

struct Cost {
    cpu: Duration,
    p50: Duration,
    p99: Duration,
    links: u64,
    disk: u64,
    taken: u64,
}

/// Processor time that a process has used (proc(5): fields 14 and 15, in ticks of 10 ms).
fn cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// Bytes that a process has written to files: what goes to sockets is not counted there (proc(5), io).
fn written(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("wchar: "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn measure(senders: usize, count: usize, messages: u64, direct: bool) -> Cost {
    let fleet = Fleet::with(&Wanted { direct, ..Wanted::of(senders, count) });
    let pids: Vec<u32> = fleet.senders.iter().map(|s| s.child.as_ref().expect("it runs").id()).collect();
    // Connections, windows and pages are there before anything counts.
    for i in 0..senders {
        fleet.all_end(&fleet.hand_in_many(
            i,
            1_000_000 * (i as u64 + 1)..1_000_000 * (i as u64 + 1) + 30,
            50_000,
        ));
    }
    let sum = |of: &dyn Fn(u32) -> u64| pids.iter().map(|&p| of(p)).sum::<u64>();
    let micros = |p: u32| cpu(p).as_micros() as u64;
    let (cpu_before, disk_before, links_before) = (sum(&micros), sum(&written), fleet.passed());
    let clients: Vec<_> = (0..senders as u64)
        .map(|i| {
            let address = fleet.senders[i as usize].address;
            std::thread::spawn(move || {
                let (mut client, mut waits) = (Client::new(address), Vec::new());
                let mut taken = Vec::new();
                for n in 0..messages {
                    let (id, class) = (i * messages + n, if n % 5 < 3 { "update" } else { "payment" });
                    let begun = Instant::now();
                    if client.hand_in(class, id, 3 + n % 2, 50_000, &[7; 200]).status() == 202 {
                        waits.push(begun.elapsed());
                        taken.push(id);
                    }
                }
                (waits, taken)
            })
        })
        .collect();
    let (mut waits, mut taken) = (Vec::new(), Vec::new());
    for client in clients {
        let (w, t) = client.join().expect("a client");
        waits.extend(w);
        taken.extend(t);
    }
    fleet.all_end(&taken);
    waits.sort_unstable();
    let n = taken.len() as u64;
    assert!(n > messages * senders as u64 / 2, "{n} taken on");
    Cost {
        cpu: Duration::from_micros((sum(&micros) - cpu_before) / n),
        p50: waits[waits.len() / 2],
        p99: waits[waits.len() * 99 / 100],
        links: (fleet.passed() - links_before) / n,
        disk: (sum(&written) - disk_before) / n,
        taken: n,
    }
}

#[test]
fn what_copies_cost() {
    let messages = std::env::var("MESSAGES").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let rounds: usize = std::env::var("ROUNDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let counts: &[usize] = if std::env::var_os("PROGRAM").is_some() { &[0] } else { &[0, 1, 2] };
    println!("copies | taken on | CPU a message | 202 at p50 | at p99 | bytes on links | bytes on disks");
    for _ in 0..rounds {
        for &count in counts {
            let cost = measure(4, count, messages, true);
            // The links' own bytes are counted where the test stands between; that costs time.
            let links = measure(4, count, messages.min(500), false).links;
            let Cost { cpu, p50, p99, disk, taken, .. } = cost;
            println!("{count} | {taken} | {cpu:?} | {p50:?} | {p99:?} | {links} | {disk}");
        }
    }
}
