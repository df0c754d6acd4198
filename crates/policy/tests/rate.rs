//! Limits by rate that a destination tells nobody of: they are learned from refusals, and paced under.

mod common;
use common::*;
use notchpoint_policy::*;

/// A destination behind one limit by rate, and one by concurrency, for several senders with all the work they
/// want.
struct World {
    rigs: Vec<Rig>,
    per_s: f64,
    depth: f64,
    tokens: f64,
    at_once: usize,
    /// Calls that are served: the sender, the message, when its answer comes.
    serving: Vec<(usize, u64, Micros, Outcome)>,
    served: u32,
    refused: u32,
}

impl World {
    fn new(senders: u32, per_s: f64, at_once: usize) -> Self {
        let set = Settings { max_attempts: 1_000, senders, ..settings() };
        let rigs = (0..u64::from(senders)).map(|n| Rig::seeded(set.clone(), 0, 1, n + 1)).collect();
        Self { rigs, per_s, depth: 2.0, tokens: 2.0, at_once, serving: Vec::new(), served: 0, refused: 0 }
    }

    /// Plays so long; gives the calls served a second, and the share refused.
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
                for o in rig.in_flight.clone() {
                    if self.serving.iter().any(|s| (s.0, s.1) == (n, o.id)) {
                        continue;
                    }
                    let busy = self.serving.iter().filter(|s| s.3 == Outcome::Served).count();
                    let room = self.tokens >= 1.0 && busy < self.at_once;
                    self.tokens -= f64::from(u8::from(room));
                    let full = Outcome::Full { wait: None };
                    let (takes, outcome) = if room { (100 * MS, Outcome::Served) } else { (20 * MS, full) };
                    self.serving.push((n, o.id, rig.now + takes, outcome));
                }
                let now = rig.now;
                for (_, id, _, outcome) in self.serving.extract_if(.., |s| s.0 == n && s.2 <= now) {
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
fn a_limit_by_rate_that_senders_share_is_not_asked_over_and_over() {
    // Guards against a rest of a quarter of a second, over and over, before a limit of one call a second for
    // each.
    let mut w = World::new(3, 3.0, 100);
    w.run(20 * SEC);
    let (served, refused) = w.run(60 * SEC);
    assert!(served > 2.0 && refused < 0.35, "{served:.2} a second, {refused:.2} refused");
    // It steps down, and up again.
    w.per_s = 1.5;
    w.run(15 * SEC);
    let (served, refused) = w.run(60 * SEC);
    assert!(served > 0.9 && refused < 0.45, "{served:.2} a second, {refused:.2} refused");
    w.per_s = 6.0;
    w.run(30 * SEC);
    let (served, _) = w.run(60 * SEC);
    assert!(served > 3.5, "{served:.2} a second");
}

#[test]
fn a_limit_by_concurrency_and_one_by_rate_at_once() {
    let mut w = World::new(2, 12.0, 1);
    w.run(20 * SEC);
    let (served, refused) = w.run(60 * SEC);
    // One call of a tenth of a second at once: ten a second at most, and less by chance.
    assert!(served > 4.0 && refused < 0.4, "{served:.2} a second, {refused:.2} refused");
}

#[test]
fn a_destination_without_a_limit_gets_all_there_is() {
    let mut w = World::new(1, 1e9, 1_000);
    w.depth = 1e9;
    let (served, refused) = w.run(20 * SEC);
    assert!(served > 40.0 && refused == 0.0, "{served:.2} a second, {refused:.2} refused");
}

#[test]
fn a_time_out_of_a_call_with_less_time_than_usual_answers_take_says_nothing() {
    // Guards against a window cut, an endpoint at rest and a breaker open since a message came with no time
    // left.
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
