//! Tests of rate limits that a destination does not announce: the sender learns them from refusals and paces
//! its calls under them.

mod common;
use common::*;
use notchpoint_policy::*;

/// A destination behind a rate limit and a concurrency limit, and several senders that always have messages
/// for it.
struct World {
    rigs: Vec<Rig>,
    per_s: f64,
    depth: f64,
    tokens: f64,
    max_concurrent: usize,
    /// The calls in flight: the sender, the message, when its answer arrives, and its outcome.
    calls: Vec<(usize, u64, Micros, Outcome)>,
    served: u32,
    refused: u32,
}

impl World {
    fn new(senders: u32, per_s: f64, max_concurrent: usize) -> Self {
        let set = Settings { max_attempts: 1_000, senders, ..settings() };
        let rigs = (0..u64::from(senders)).map(|n| Rig::seeded(set.clone(), 0, 1, n + 1)).collect();
        Self {
            rigs,
            per_s,
            depth: 2.0,
            tokens: 2.0,
            max_concurrent,
            calls: Vec::new(),
            served: 0,
            refused: 0,
        }
    }

    /// Runs for a time and returns the calls served per second and the share of refused calls.
    fn run(&mut self, span: Micros) -> (f64, f64) {
        (self.served, self.refused) = (0, 0);
        let step = 10 * MS;
        for _ in 0..span / step {
            self.tokens = (self.tokens + self.per_s * step as f64 / 1e6).min(self.depth);
            for (n, rig) in self.rigs.iter_mut().enumerate() {
                while rig.sender.waiting_count() < 8 {
                    rig.submit_to(IDEMPOTENT, 1, None, 1_000 * SEC);
                }
                rig.advance(step);
                for attempt in rig.in_flight.clone() {
                    if self.calls.iter().any(|s| (s.0, s.1) == (n, attempt.id)) {
                        continue;
                    }
                    let busy = self.calls.iter().filter(|s| s.3 == Outcome::Served).count();
                    let is_admitted = self.tokens >= 1.0 && busy < self.max_concurrent;
                    self.tokens -= f64::from(u8::from(is_admitted));
                    let refusal = Outcome::Full { wait: None };
                    let (duration, outcome) =
                        if is_admitted { (100 * MS, Outcome::Served) } else { (20 * MS, refusal) };
                    self.calls.push((n, attempt.id, rig.now + duration, outcome));
                }
                let now = rig.now;
                for (_, id, _, outcome) in self.calls.extract_if(.., |s| s.0 == n && s.2 <= now) {
                    *(if outcome == Outcome::Served { &mut self.served } else { &mut self.refused }) += 1;
                    rig.end(id, outcome);
                }
            }
        }
        let (served, refused) = (f64::from(self.served), f64::from(self.refused));
        (served / (span as f64 / 1e6), refused / (served + refused))
    }
}

#[test]
fn a_shared_rate_limit_is_used_with_few_refusals() {
    // Guards against retries every quarter of a second at a limit of one call per second for each sender.
    let mut world = World::new(3, 3.0, 100);
    world.run(20 * SEC);
    let (served, refused) = world.run(60 * SEC);
    assert!(served > 2.0 && refused < 0.35, "{served:.2} a second, {refused:.2} refused");
    // The limit is lowered and raised.
    world.per_s = 1.5;
    world.run(15 * SEC);
    let (served, refused) = world.run(60 * SEC);
    assert!(served > 0.9 && refused < 0.45, "{served:.2} a second, {refused:.2} refused");
    world.per_s = 6.0;
    world.run(30 * SEC);
    let (served, _) = world.run(60 * SEC);
    assert!(served > 3.5, "{served:.2} a second");
}

#[test]
fn a_concurrency_limit_and_a_rate_limit_are_used_together() {
    let mut world = World::new(2, 12.0, 1);
    world.run(20 * SEC);
    let (served, refused) = world.run(60 * SEC);
    // One concurrent call of a tenth of a second allows ten per second at most, and fewer on average.
    assert!(served > 4.0 && refused < 0.4, "{served:.2} a second, {refused:.2} refused");
}

#[test]
fn a_destination_without_a_limit_gets_all_messages() {
    let mut world = World::new(1, 1e9, 1_000);
    world.depth = 1e9;
    let (served, refused) = world.run(20 * SEC);
    assert!(served > 40.0 && refused == 0.0, "{served:.2} a second, {refused:.2} refused");
}

#[test]
fn a_time_out_shorter_than_the_usual_latency_is_no_sign_of_congestion() {
    // Guards against a cut window, an endpoint in backoff and an open breaker because a message had hardly
    // any time left.
    let mut rig = Rig::new(settings(), 0, 2);
    rig.submit_many(40);
    rig.serve(20);
    let before = rig.sender.route_views(None)[0].window;
    rig.end_all(Outcome::Served);
    for _ in 0..4 {
        let late = rig.submit_to(IDEMPOTENT, 1, None, 30 * MS);
        rig.advance(25 * MS);
        if rig.is_in_flight(late) {
            rig.end(late, Outcome::TimedOut);
        }
    }
    let view = &rig.sender.route_views(None)[0];
    assert!(view.window >= before, "{} of {before}", view.window);
    assert!(!rig.log_has("held back"));
}
