//! The resources that one sender uses with sixteen times as many endpoints and the same traffic, bounded by
//! its use at the usual size.

use crate::world::*;
use std::thread;
use std::time::Duration;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// The number of endpoints at the usual size. The large size has `SIZE_FACTOR` times as many.
const USUAL_ENDPOINTS: usize = 200;
const SIZE_FACTOR: usize = 16;
/// The number of messages, and the interval between them. The list changes with each message.
const MESSAGES: u64 = 200;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(40);
/// The number of endpoints replaced with each change, at the usual size.
const REPLACED_PER_CHANGE: usize = 1;

/// The resources that a process has used.
#[derive(Debug)]
pub struct ResourceUse {
    pub cpu_seconds: f64,
    memory_mb: f64,
    descriptors: usize,
}

/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

impl ResourceUse {
    pub fn of_process(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        // The name ends with a bracket. User and system time are the fields 14 and 15 of the line.
        let fields: Vec<&str> =
            stat.rsplit_once(')').expect("the line has the process name").1.split_whitespace().collect();
        let ticks: f64 =
            fields[11].parse::<f64>().expect("a number") + fields[12].parse::<f64>().expect("a number");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("the status has the peak memory");
        let kilobytes: f64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the process runs").count();
        Self { cpu_seconds: ticks / TICKS_PER_SECOND, memory_mb: kilobytes / 1_024.0, descriptors }
    }
}

/// Runs the same traffic with this number of endpoints, some of which are replaced with each message.
fn measure(endpoints: usize) -> ResourceUse {
    let partner = Endpoint::new(|_| response("200 OK", "", ""));
    let (destinations, replaced) = (endpoints / 2, REPLACED_PER_CHANGE * endpoints / USUAL_ENDPOINTS);
    let entry = |number: usize, dest: usize, phase: &str| {
        member(&format!("s-{number}"), partner.address, "shop", dest as u64, phase)
    };
    let members: Vec<String> = (0..endpoints).map(|n| entry(n, n / 2, "up")).collect();
    let node = Node::new(&members, |text| text);
    let (mut oldest, mut next) = (0, endpoints);
    for id in 1..=MESSAGES {
        let changes: Vec<String> = (0..replaced)
            .flat_map(|_| {
                let dest = oldest / 2 % destinations;
                (oldest, next) = (oldest + 1, next + 1);
                [entry(next - 1, dest, "up"), entry(oldest - 1, dest, "removed")]
            })
            .collect();
        node.platform.publish(41 + id, &changes);
        // Both sizes use the same destinations, so that the number of connections is the same.
        let dest = id % (USUAL_ENDPOINTS / 2) as u64;
        assert_eq!(node.submit("update", id, dest, LONG, b"x").status(), 202);
        thread::sleep(SUBMIT_INTERVAL);
    }
    wait_until("all calls", || partner.calls() >= MESSAGES as usize);
    ResourceUse::of_process(node.pid())
}

/// Other load on the machine affects processor time, so one run within the bound is enough: a real cost would
/// show in each run.
const RUNS: usize = 3;

#[test]
fn sixteen_times_the_endpoints_cost_a_sender_little_more() {
    let thousands = (USUAL_ENDPOINTS * SIZE_FACTOR) as f64 / 1_000.0;
    let mut results = Vec::new();
    let is_within_bound = (0..RUNS).any(|_| {
        let (usual, large) = (measure(USUAL_ENDPOINTS), measure(USUAL_ENDPOINTS * SIZE_FACTOR));
        results.push(format!("{usual:?} at the usual size, {large:?}"));
        assert!(large.memory_mb <= 1.5 * usual.memory_mb + 8.0 + 4.0 * thousands, "memory: {results:?}");
        assert!(large.descriptors <= 2 * usual.descriptors + 40, "descriptors: {results:?}");
        large.cpu_seconds <= 1.4 * usual.cpu_seconds + 0.02 + 0.03 * thousands
    });
    assert!(is_within_bound, "processor time: {results:#?}");
}
