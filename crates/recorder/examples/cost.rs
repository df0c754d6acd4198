//! Measures the cost of recording: the same turns with the recorder off, in memory and in a folder,
//! alternating, so that all three run under the same conditions. `cargo run --release -p notchpoint-recorder
//! --example cost -- [TURNS] [FOLDER]`

use notchpoint_policy::*;
use notchpoint_recorder::store::{FolderStore, MemoryStore};
use notchpoint_recorder::{Options, Recorder};
use std::path::Path;
use std::time::{Duration, Instant};

const LIMIT_BYTES: u64 = 16_000_000;
const TICK_US: Micros = 5_000;
const DESTINATIONS: u64 = 20;
/// The number of turns with one sender before the next sender's turns.
const TURNS_PER_ROUND: u64 = 2_000;

fn settings() -> Settings {
    let class = |effect, worth, deadline| Class {
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        target_time: 1_000_000,
        deadline,
        worth,
        late_share: 0.0,
        in_order: false,
    };
    Settings {
        slots: 16,
        max_held: 400,
        max_attempts: 8,
        senders: 3,
        zone: 0,
        parallel_attempts: true,
        may_cancel: true,
        may_probe: false,
        may_send_notes: false,
        list: ListMode::Push,
        classes: vec![class(Effect::Idempotent, 1.0, 6_000_000), class(Effect::AtMostOnce, 3.0, 24_000_000)],
        tenant_allowances: vec![],
        over_share_worth: 0.2,
        kinds: vec![Kind { per_endpoint: false, max_bundle: 1 }],
        worth_decay: WorthDecay::Halving,
        clients_mark_retries: true,
        start_capacity: 0.2,
        warm_up: 9_000_000,
        overload_factor: 2.0,
        overload_after: 2_000_000,
        key_rest: 0,
        connect_timeout: 1_000_000,
        conn_idle: 5_000_000,
        multiplex: 1,
        connections_reported: false,
        tick: TICK_US,
        max_retry_after: 2_000_000,
    }
}

/// A sender whose calls take 100 ms, with a recorder or without.
struct MeasuredSender {
    name: &'static str,
    sender: Sender,
    recorder: Option<Recorder>,
    now: Micros,
    /// The calls in flight, with the time at which each was started.
    in_flight: Vec<(Micros, MessageId)>,
    messages: u64,
    /// The real time that all rounds took.
    elapsed: Duration,
}

impl MeasuredSender {
    fn new(name: &'static str, recorder: Option<Recorder>) -> Self {
        let sender = Sender::new(settings(), 1).expect("the settings are valid");
        let (now, in_flight, elapsed) = (100_000_000, Vec::new(), Duration::ZERO);
        let mut measured = Self { name, sender, recorder, now, in_flight, messages: 0, elapsed };
        let entries = (0..DESTINATIONS).map(|n| ListEntry {
            endpoint: EndpointId(n),
            dest: DestinationId(n),
            zone: 0,
            kind: 0,
            phase: Phase::Live,
        });
        measured.run_turn(vec![Event::List(ListUpdate::Whole(entries.collect()))]);
        measured
    }

    fn run_turn(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        if let Some(recorder) = &mut self.recorder {
            recorder
                .record_turn(self.now, self.now, &events, &actions, &self.sender)
                .expect("the turn is recorded");
        }
        for a in actions {
            if let Action::Send { id, .. } = a {
                self.in_flight.push((self.now, id));
            }
        }
    }

    fn run_round(&mut self) {
        let started = Instant::now();
        for n in 0..TURNS_PER_ROUND {
            self.now += TICK_US;
            let now = self.now;
            let ended = self.in_flight.extract_if(.., |call| now >= call.0 + 100_000);
            let end_event = |(_, id)| Event::Ended {
                id,
                attempt: 0,
                outcome: Outcome::Served,
                is_final: true,
                allowance: None,
            };
            let mut events: Vec<Event> = ended.map(end_event).collect();
            // 100 messages per second.
            if n % 2 == 0 {
                self.messages += 1;
                events.push(Event::Taken(Message {
                    id: MessageId(self.messages.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                    class: (self.messages % 2) as u32,
                    tenant: None,
                    key: None,
                    dest: DestinationId(self.messages % DESTINATIONS),
                    is_retry: false,
                    expires_in: 6_000_000,
                }));
            }
            self.run_turn(events);
        }
        self.elapsed += started.elapsed();
    }
}

fn start_recorder(store: Box<dyn notchpoint_recorder::store::SegmentStore>) -> Option<Recorder> {
    let (sender, classes) = ("n0".into(), vec!["status-update".into(), "order-payment".into()]);
    let options = Options { limit_bytes: LIMIT_BYTES, sender, classes, settings: settings(), seed: 1 };
    Recorder::start(options, store, &[], 100_000_000, 100_000_000).ok()
}

fn main() {
    let mut args = std::env::args().skip(1);
    let turns: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1_000_000);
    let folder = args.next().unwrap_or_else(|| "recording-cost".into());
    let (store, existing) = FolderStore::open(Path::new(&folder)).expect("the folder can be opened");
    assert!(existing.is_empty(), "{folder} contains a recording already");
    let mut senders = [
        MeasuredSender::new("off", None),
        MeasuredSender::new("memory", start_recorder(Box::new(MemoryStore::default()))),
        MeasuredSender::new("folder", start_recorder(Box::new(store))),
    ];
    for _ in 0..turns / TURNS_PER_ROUND {
        senders.iter_mut().for_each(MeasuredSender::run_round);
    }
    let off = senders[0].elapsed;
    println!("recorder  us a message  more than off  bytes kept");
    for measured in &senders {
        let per_message = |d: Duration| d.as_secs_f64() * 1e6 / measured.messages.max(1) as f64;
        let kept = measured.recorder.as_ref().map_or(0, Recorder::size);
        println!(
            "{:<8} {:>13.2} {:>14.2} {kept:>11}",
            measured.name,
            per_message(measured.elapsed),
            per_message(measured.elapsed.saturating_sub(off))
        );
    }
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
