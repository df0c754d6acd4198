//! Tests of the latency and connection failure estimators against plain models.

use notchpoint_limits::{ConnectionFailures, FailureCause, Latency};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Returns the share of failures that are attributed to the destination if each call fails at random.
fn share_attributed(share: f64) -> f64 {
    let (mut failures, mut random) = (ConnectionFailures::default(), Pcg64Mcg::seed_from_u64(1));
    let (mut failed, mut attributed) = (0, 0);
    for _ in 0..200_000 {
        if random.random_bool(share) {
            failed += 1;
            attributed += u32::from(failures.record_failure() == FailureCause::Destination);
        } else {
            failures.record_answer();
        }
    }
    f64::from(attributed) / f64::from(failed)
}

#[test]
fn random_resets_at_full_load_are_attributed_to_the_network() {
    // The network resets 2 % of the calls.
    assert!(share_attributed(0.02) < 0.04, "{}", share_attributed(0.02));
    assert!(share_attributed(0.1) < 0.4, "{}", share_attributed(0.1));
    // If one in three calls fails, the destination is the cause in most cases.
    assert!(share_attributed(0.33) > 0.75, "{}", share_attributed(0.33));
}

#[test]
fn an_endpoint_that_resets_every_call_is_detected_by_its_second_call() {
    let mut failures = ConnectionFailures::default();
    (0..100).for_each(|_| failures.record_answer());
    let causes: Vec<FailureCause> = (0..10).map(|_| failures.record_failure()).collect();
    assert_eq!(causes[0], FailureCause::Random);
    assert!(causes[1..].iter().all(|cause| *cause == FailureCause::Destination));
    // Once it answers again, a single reset counts as random again, but not at once, since many recent calls
    // failed.
    failures.record_answer();
    assert_eq!((failures.record_failure(), failures.consecutive_failures()), (FailureCause::Destination, 1));
    (0..24).for_each(|_| failures.record_answer());
    assert_eq!(failures.record_failure(), FailureCause::Random);
}

#[test]
fn failure_of_every_other_call_is_attributed_to_the_destination() {
    let mut failures = ConnectionFailures::default();
    let causes: Vec<FailureCause> = (0..100)
        .map(|_| {
            failures.record_answer();
            failures.record_failure()
        })
        .collect();
    assert!(causes[20..].iter().all(|cause| *cause == FailureCause::Destination));
}

proptest! {
    #[test]
    fn share_and_run_match_a_plain_model(ends in prop::collection::vec(any::<bool>(), 0..300)) {
        // The plain model has explicit weights and counts the last run.
        let mut failures = ConnectionFailures::default();
        for (n, failed) in ends.iter().enumerate() {
            if *failed { failures.record_failure(); } else { failures.record_answer(); }
            let weight = |k: usize| (15.0f64 / 16.0).powi((n - k) as i32) / 16.0;
            let share: f64 = (0..=n).filter(|&k| ends[k]).map(weight).sum();
            prop_assert!((failures.failure_share() - share).abs() < 1e-9);
            let run = ends[..=n].iter().rev().take_while(|e| **e).count();
            prop_assert_eq!(failures.consecutive_failures() as usize, run);
        }
    }

    #[test]
    fn upper_bound_covers_steady_latencies(base in 1_000u64..10_000_000, jitter in 0u64..50) {
        let mut latency = Latency::default();
        for n in 0..200 {
            latency.observe(base + base * jitter / 100 * (n % 2));
        }
        let slowest = (base + base * jitter / 100) as f64;
        prop_assert!(latency.upper_bound(1) >= slowest * 0.999, "{} of {slowest}", latency.upper_bound(1));
        prop_assert!(latency.best() <= latency.mean(1) && latency.mean(1) <= slowest);
        prop_assert!(!latency.is_slow(3.0));
        // Answers that take four times as long or more for a while count as slow, and not only for an
        // instant.
        (0..30).for_each(|_| latency.observe(base * 8));
        prop_assert!(latency.is_slow(3.0));
    }
}
