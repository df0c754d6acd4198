//! Endpoints that write a second copy of an answer some time after it. A copy that the next request on the
//! connection crosses arrives when that request has been written, and looks like its answer.

use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The interval between two messages, and how many there are.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(10);
const MESSAGES: u64 = 600;
/// The time that each message has.
const MESSAGE_TIME: Duration = Duration::from_secs(3);
/// How long after its time a message may still be ended by a notice.
const NOTICE_DELAY: Duration = Duration::from_millis(350);
/// An endpoint answers a call after a time in this range, in milliseconds.
const CALL_MS: std::ops::Range<u64> = 10..30;
/// How much later than its time a copy may be written.
const SCHEDULING_DELAY: Duration = Duration::from_millis(5);
/// In percent, the calls that are answered 503 if not all are served; as many are answered 500.
const REFUSED_PERCENT: u64 = 15;

/// How the endpoints of a run behave.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// The kind of endpoint: `shop` takes one message in a call, `chain` several.
    kind: &'static str,
    destinations: u64,
    /// The time that a request takes to the endpoint.
    link: Duration,
    /// One answer in this many is followed by a copy, unless a request has arrived before that; 0 for none.
    answers_per_copy: u64,
    /// The most time between an answer and its copy, in milliseconds.
    max_copy_delay_ms: u64,
    /// How many copies are written at once.
    copies: usize,
    /// The endpoints close a connection after the answer to a request that asks for it, and announce that.
    heeds_close: bool,
    /// The endpoints answer no request that a copy has crossed.
    is_silent_after_crossing: bool,
    /// In percent, the calls that are answered 200.
    served_percent: u64,
    seed: u64,
}

/// What happened in a run.
#[derive(Clone, Debug, Default)]
struct Findings {
    calls: usize,
    connections: usize,
    copies: usize,
    /// The copies that were written while the next request was on its way.
    crossed: usize,
    /// Messages that were accepted and neither delivered nor ended in time.
    lost: Vec<u64>,
    /// At-most-once messages that were called again after an answer that says they may have run.
    repeated: Vec<u64>,
}

/// A generator of numbers that need only look random.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// What the endpoints of a run have seen.
#[derive(Default)]
struct EndpointLog {
    findings: Findings,
    delivered: BTreeSet<String>,
    /// Messages that may have run: answered 200 or 500.
    may_have_run: BTreeSet<String>,
    repeated: BTreeSet<String>,
}

/// A request, and when it arrives at the endpoint.
type Arrival = (Instant, HttpMessage);

/// The ids of the messages of a call.
fn called_ids(request: &HttpMessage) -> Vec<String> {
    match request.header("x-request-id") {
        "" => request.ids(),
        id => vec![id.to_owned()],
    }
}

/// Serves one connection until it ends.
fn serve(mut stream: &TcpStream, arrivals: &Receiver<Arrival>, scenario: Scenario, log: &Mutex<EndpointLog>) {
    let number = {
        let mut log = log.lock().expect("not poisoned");
        log.findings.connections += 1;
        log.findings.connections as u64
    };
    let mut numbers = Numbers(scenario.seed.wrapping_mul(1_000_003).wrapping_add(number));
    let mut next = None;
    while let Some((arrival, request)) = next.take().or_else(|| arrivals.recv().ok()) {
        thread::sleep(arrival.saturating_duration_since(Instant::now()));
        let ids = called_ids(&request);
        thread::sleep(Duration::from_millis(CALL_MS.start + numbers.below(CALL_MS.end - CALL_MS.start)));
        let (percent, has_copy) = (
            numbers.below(100),
            scenario.answers_per_copy > 0 && numbers.below(scenario.answers_per_copy) == 0,
        );
        let status = match percent {
            p if p < scenario.served_percent => "200 OK",
            p if p < scenario.served_percent + REFUSED_PERCENT => "503 Busy",
            _ => "500 Error",
        };
        let is_batch = request.line.ends_with(":batch");
        let lines: String = ids.iter().map(|id| format!("{id} done\r\n")).collect();
        let body = if is_batch && status == "200 OK" { lines } else { String::new() };
        let closes = scenario.heeds_close && request.header("connection") == "close";
        let option = if closes { "Connection: close\r\n" } else { "" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{option}\r\n{body}", body.len());
        {
            let mut log = log.lock().expect("not poisoned");
            log.findings.calls += 1;
            for id in ids {
                if log.may_have_run.contains(&id) {
                    log.repeated.insert(id.clone());
                }
                if status != "503 Busy" {
                    log.may_have_run.insert(id.clone());
                }
                if status == "200 OK" {
                    log.delivered.insert(id);
                }
            }
        }
        if closes {
            let _ = stream.write_all(answer.repeat(1 + usize::from(has_copy)).as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if has_copy {
            let last = Instant::now() + Duration::from_millis(scenario.max_copy_delay_ms) + SCHEDULING_DELAY;
            let copy_at = Instant::now() + Duration::from_millis(numbers.below(scenario.max_copy_delay_ms));
            let mut is_ended = false;
            match arrivals.recv_timeout(copy_at.saturating_duration_since(Instant::now())) {
                Ok(arrived) => next = Some(arrived),
                Err(why) => is_ended = why == RecvTimeoutError::Disconnected,
            }
            let is_read = next.as_ref().is_some_and(|(arrival, _)| *arrival <= copy_at);
            if !is_read && !is_ended {
                thread::sleep(copy_at.saturating_duration_since(Instant::now()));
                // A busy machine may delay this thread; then the copy would not be one of the scenario.
                if Instant::now() > last {
                    continue;
                }
                let log_of_run = log;
                let mut log = log.lock().expect("not poisoned");
                log.findings.copies += 1;
                log.findings.crossed += usize::from(next.is_some());
                drop(log);
                let _ = stream.write_all(answer.repeat(scenario.copies).as_bytes());
                if let Some((_, crossed)) = next.take_if(|_| scenario.is_silent_after_crossing) {
                    fall_silent(&called_ids(&crossed), arrivals, log_of_run);
                    return;
                }
            }
        }
    }
}

/// Takes a request with these messages, and all that follow it, and answers none.
fn fall_silent(ids: &[String], arrivals: &Receiver<Arrival>, log: &Mutex<EndpointLog>) {
    log.lock().expect("not poisoned").may_have_run.extend(ids.iter().cloned());
    while arrivals.recv().is_ok() {}
}

/// Starts an endpoint and returns its address.
fn start_endpoint(scenario: Scenario, log: &Arc<Mutex<EndpointLog>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket has an address");
    let log = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let (sender, arrivals) = channel();
            let (writing, log) = (stream.try_clone().expect("a descriptor"), log.clone());
            thread::spawn(move || serve(&writing, &arrivals, scenario, &log));
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(request) = read_message(&mut reader, 0) {
                    if sender.send((request.received_at + scenario.link, request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Hands in messages of both classes in turn, and judges what became of them.
fn run(scenario: Scenario) -> Findings {
    let log = Arc::<Mutex<EndpointLog>>::default();
    let members: Vec<String> = (0..scenario.destinations)
        .map(|dest| member(&format!("s-{dest}"), start_endpoint(scenario, &log), scenario.kind, dest, "up"))
        .collect();
    let node = Node::new(&members, |text| text.replace("\"slots\": 7", "\"slots\": 250"));
    let (mut client, begun) = (Client::new(node.address), Instant::now());
    let mut accepted = BTreeMap::new();
    for id in 0..MESSAGES {
        thread::sleep((SUBMIT_INTERVAL * id as u32).saturating_sub(begun.elapsed()));
        let class = if id % 2 == 0 { "update" } else { "payment" };
        let time_ms = MESSAGE_TIME.as_millis() as u64;
        let status = client.submit(class, id, id / 2 % scenario.destinations, time_ms, b"x").status();
        if status == 202 {
            accepted.insert(format!("{id:016x}"), class);
        }
    }
    thread::sleep(MESSAGE_TIME + NOTICE_DELAY);
    let log = log.lock().expect("not poisoned");
    let number = |id: &String| u64::from_str_radix(id, 16).expect("an id");
    let is_ended = |id: &String| log.delivered.contains(id) || node.platform.has_notice(number(id));
    let lost = accepted.keys().filter(|id| !is_ended(id)).map(number).collect();
    let payments = log.repeated.iter().filter(|id| accepted.get(*id) == Some(&"payment"));
    Findings { lost, repeated: payments.map(number).collect(), ..log.findings.clone() }
}

/// Only one test at a time has runs, so that they do not keep each other from being in time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs scenarios with several seeds each, all at once, and checks that no message is lost and no payment
/// repeated. Returns how many copies were written in each run.
fn check(scenarios: &[Scenario]) -> Vec<usize> {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let with_seeds = scenarios.iter().flat_map(|s| (0..SEEDS).map(move |seed| Scenario { seed, ..*s }));
    let runs: Vec<_> = with_seeds.map(|scenario| (scenario, thread::spawn(move || run(scenario)))).collect();
    let found: Vec<(Scenario, Findings)> =
        runs.into_iter().map(|(scenario, run)| (scenario, run.join().expect("it has run"))).collect();
    drop(running);
    found.iter().for_each(|(scenario, findings)| println!("{scenario:?}: {findings:?}"));
    let broken: Vec<_> = found.iter().filter(|(_, f)| !f.lost.is_empty() || !f.repeated.is_empty()).collect();
    assert!(broken.is_empty(), "lost or repeated messages: {broken:?}");
    found.iter().map(|(_, f)| f.copies).collect()
}

/// The same, and checks that each run has had copies.
fn check_with_copies(scenarios: &[Scenario]) {
    let copies = check(scenarios);
    assert!(copies.iter().all(|&count| count > 0), "no copy was written: {copies:?}");
}

/// How many runs of a scenario are made, each with a seed of its own.
const SEEDS: u64 = 4;
const SCENARIO: Scenario = Scenario {
    kind: "shop",
    destinations: 3,
    link: Duration::from_millis(10),
    answers_per_copy: 5,
    max_copy_delay_ms: 8,
    copies: 1,
    heeds_close: true,
    is_silent_after_crossing: false,
    served_percent: 70,
    seed: 0,
};

/// Both kinds of endpoint in the same scenario.
fn both_kinds(scenario: Scenario) -> [Scenario; 2] {
    ["shop", "chain"].map(|kind| Scenario { kind, ..scenario })
}

#[test]
fn copy_of_an_answer_that_crosses_the_next_request_loses_and_repeats_no_message() {
    // Guards against a message that counts as delivered, or as never run, by a copy of an earlier answer.
    check_with_copies(&[SCENARIO]);
}

#[test]
fn copy_of_an_answer_to_a_batch_that_crosses_the_next_one_loses_and_repeats_no_message() {
    // The same for calls with several messages, whose refusals and errors name no message.
    check_with_copies(&[Scenario { kind: "chain", ..SCENARIO }]);
}

#[test]
fn copies_over_a_slow_link_lose_and_repeat_no_message() {
    // The same where requests take long to the endpoint, and copies come later.
    check_with_copies(&[Scenario { link: Duration::from_millis(40), max_copy_delay_ms: 60, ..SCENARIO }]);
}

#[test]
fn copies_of_answers_lose_and_repeat_no_message_whatever_their_delay() {
    // Guards against a mend that holds only for copies that come soon, or for one of them at a time.
    for (link_ms, max_copy_delay_ms) in [(40, 60), (100, 1_000)] {
        let link = Duration::from_millis(link_ms);
        let scenario = Scenario { link, max_copy_delay_ms, ..SCENARIO };
        check_with_copies(&both_kinds(Scenario { copies: 2, answers_per_copy: 1, ..scenario }));
    }
}

#[test]
fn endpoint_that_is_silent_after_a_copy_loses_and_repeats_no_message() {
    // Guards against a message that counts as delivered since its own answer, which would correct that, never
    // comes.
    let scenario = Scenario { link: Duration::from_millis(40), max_copy_delay_ms: 60, ..SCENARIO };
    check_with_copies(&both_kinds(Scenario { is_silent_after_crossing: true, ..scenario }));
}

#[test]
fn endpoint_that_closes_no_connection_when_asked_loses_and_repeats_no_message() {
    // Its answers on used connections show nothing. Guards against one that counts all the same. Few copies
    // are written, since such an endpoint soon gets one call on each connection.
    let copies = check(&both_kinds(Scenario { heeds_close: false, ..SCENARIO }));
    assert!(copies.iter().sum::<usize>() > 0, "no copy was written: {copies:?}");
}
