//! Tests of the rate estimator against simulated limits that it has to detect.

use notchpoint_limits::{AdaptiveRate, Micros};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const STEP: Micros = 5 * MS;

/// A rate limit with a token bucket.
struct Limit {
    per_s: f64,
    depth: f64,
    tokens: f64,
    /// Refused calls take a token, too.
    counts_refused: bool,
}

impl Limit {
    fn new(per_s: f64, counts_refused: bool) -> Self {
        Self { per_s, depth: 2.0, tokens: 2.0, counts_refused }
    }

    fn advance(&mut self, span: Micros) {
        self.tokens = (self.tokens + self.per_s * span as f64 / 1e6).min(self.depth);
    }

    fn admit(&mut self) -> bool {
        let is_admitted = self.tokens >= 1.0;
        if is_admitted || self.counts_refused {
            self.tokens = (self.tokens - 1.0).max(-self.depth);
        }
        is_admitted
    }
}

/// The result of a run: admitted calls per second, and the share of refused calls.
#[derive(Debug)]
struct Totals {
    admitted: f64,
    refused: f64,
}

/// Several senders that always have a call to send, behind one limit.
struct World {
    limit: Limit,
    rates: Vec<AdaptiveRate>,
    /// The calls in flight: the sender, when it was sent, when its answer arrives, whether it is a refusal.
    in_flight: Vec<(usize, Micros, Micros, bool)>,
    random: Pcg64Mcg,
    now: Micros,
}

impl World {
    fn new(senders: usize, limit: Limit, seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { limit, rates: vec![AdaptiveRate::default(); senders], in_flight: Vec::new(), random, now: SEC }
    }

    fn run(&mut self, seconds: u64) -> Totals {
        let (mut admitted, mut refused) = (0.0, 0.0);
        for _ in 0..seconds * SEC / STEP {
            self.now += STEP;
            self.limit.advance(STEP);
            let now = self.now;
            for (n, sent, _, refused) in self.in_flight.extract_if(.., |c| c.2 <= now) {
                self.rates[n].record_answer(now, sent, refused);
            }
            let first = self.random.random_range(0..self.rates.len());
            for k in 0..self.rates.len() {
                let n = (first + k) % self.rates.len();
                let in_flight = self.in_flight.iter().filter(|c| c.0 == n).count();
                if in_flight >= 2 || self.rates[n].next_call_at(now) > now {
                    continue;
                }
                self.rates[n].record_sent(now);
                let is_admitted = self.limit.admit();
                let duration = if is_admitted { self.random.random_range(50..150) * MS } else { 20 * MS };
                self.in_flight.push((n, now, now + duration, !is_admitted));
                *(if is_admitted { &mut admitted } else { &mut refused }) += 1.0;
            }
        }
        Totals { admitted: admitted / seconds as f64, refused: refused / (admitted + refused) }
    }
}

#[test]
fn three_senders_use_a_shared_limit_that_is_halved_and_doubled() {
    // In the mean over the seeds most of the limit is used and few calls are refused.
    let (mut steady, mut halved, mut doubled) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..12 {
        let mut world = World::new(3, Limit::new(3.0, false), seed);
        world.run(10);
        steady.push(world.run(60));
        world.limit.per_s = 1.5;
        world.run(10);
        halved.push(world.run(60));
        world.limit.per_s = 3.0;
        world.run(20);
        doubled.push(world.run(60));
    }
    let mean =
        |all: &[Totals], value: fn(&Totals) -> f64| all.iter().map(value).sum::<f64>() / all.len() as f64;
    for (name, totals, limit) in
        [("steady", &steady, 3.0), ("halved", &halved, 1.5), ("doubled", &doubled, 3.0)]
    {
        let (used, refused) = (mean(totals, |t| t.admitted) / limit, mean(totals, |t| t.refused));
        assert!(used > 0.75 && refused < 0.3, "{name}: {used:.2} used, {refused:.2} refused");
    }
}

#[test]
fn a_limit_that_counts_refused_calls_is_not_exhausted_by_retries() {
    // Retries every 250 ms kept such a limit exhausted: a fifth of it was used (examples/curve.rs).
    for (per_s, used_least) in [(4.0, 0.5), (12.0, 0.75)] {
        let totals = (0..8).map(|seed| {
            let mut world = World::new(3, Limit::new(per_s, true), seed);
            world.run(10);
            world.run(60).admitted / per_s
        });
        let used = totals.sum::<f64>() / 8.0;
        assert!(used > used_least, "{used:.2} of {per_s}");
    }
}

#[test]
fn a_destination_without_a_limit_is_never_paced() {
    let mut world = World::new(1, Limit::new(1e6, false), 1);
    world.limit.depth = 1e6;
    world.limit.tokens = 1e6;
    world.run(20);
    assert_eq!((world.rates[0].estimate(), world.rates[0].next_call_at(world.now)), (None, world.now));
}

#[test]
fn refusals_of_calls_sent_before_a_cut_do_not_cut_again() {
    let mut rate = AdaptiveRate::default();
    (0..50).for_each(|n| rate.record_admitted(n * 100 * MS));
    for sent in 0..10 {
        rate.record_answer(6 * SEC, 5 * SEC + sent * MS, true);
    }
    let estimate = rate.estimate().expect("a limit");
    assert!(estimate > 5.0, "cut once, not ten times: {estimate}");
    // The refusal of a call that was sent after the cut cuts again.
    rate.record_answer(6 * SEC + 200 * MS, 6 * SEC + 100 * MS, true);
    assert!(rate.estimate().expect("a limit") < estimate);
}

#[test]
fn an_unused_rate_is_not_raised_and_a_limit_without_refusals_is_forgotten() {
    let mut rate = AdaptiveRate::default();
    (0..50).for_each(|n| rate.record_admitted(n * 100 * MS));
    rate.record_answer(5 * SEC, 5 * SEC, true);
    // One call per second where five or more are allowed: the rate returns to its former value and no higher.
    let mut now = 5 * SEC;
    for _ in 0..50 {
        now += SEC;
        rate.record_sent(now);
        rate.record_admitted(now + 50 * MS);
    }
    let estimate = rate.estimate().expect("a limit");
    assert!((5.0..12.0).contains(&estimate), "{estimate}");
    now += 20 * SEC;
    rate.record_admitted(now);
    assert_eq!(rate.estimate(), None);
}

#[test]
fn calls_go_on_during_an_outage_of_refusals_and_recover_quickly() {
    let mut world = World::new(1, Limit::new(10.0, false), 1);
    world.run(20);
    let before = world.rates[0].estimate().expect("a limit");
    world.limit.per_s = 0.0;
    world.limit.tokens = 0.0;
    let outage = world.run(30);
    assert_eq!(outage.admitted, 0.0);
    let due = world.rates[0].next_call_at(world.now) - world.now;
    assert!(due <= 2 * SEC, "the next call is sent in {due}");
    world.limit.per_s = 10.0;
    world.run(15);
    let after = world.run(20);
    assert!(after.admitted > 6.0, "{after:?}, {before} before");
}

#[test]
fn a_sender_that_starts_during_an_outage_of_refusals_soon_reaches_the_limit() {
    // After a restart only refusals are known, and they do not show where the limit is.
    let mut world = World::new(1, Limit::new(0.0, false), 1);
    world.limit.tokens = 0.0;
    world.run(5);
    (world.limit.per_s, world.limit.depth) = (20.0, 10.0);
    world.run(6);
    let totals = world.run(4);
    assert!(totals.admitted > 12.0, "{totals:?}");
}

proptest! {
    /// After any events in any order, also with a clock that does not advance, the rate is finite, the next
    /// call is possible within the stated bound, and the bucket holds no more than its depth.
    #[test]
    fn the_next_call_is_always_possible(events in prop::collection::vec((0u8..4, 0u64..3_000), 1..200)) {
        let (mut rate, mut now) = (AdaptiveRate::default(), SEC);
        for (event, ms) in events {
            now += ms * MS;
            match event {
                0 => rate.record_sent(now),
                1 => rate.record_admitted(now),
                2 => rate.record_answer(now, now.saturating_sub(ms * MS), true),
                // A call whose time of sending lies in the future.
                _ => rate.record_answer(now, now + ms, ms % 2 == 0),
            }
            prop_assert!(rate.admitted_rate(now).is_finite());
            prop_assert!(rate.estimate().is_none_or(|e| e.is_finite() && e >= 0.5));
        }
        // Calls that were sent ahead of the pace may take long to pay off. After that the next call has to
        // wait for one token only.
        while rate.next_call_at(now) > now {
            let due = rate.next_call_at(now);
            prop_assert!(due - now < 1_000 * SEC);
            now = due;
        }
        rate.record_sent(now);
        prop_assert!(rate.next_call_at(now) - now <= 2 * SEC + 1);
    }
}
