//! Each estimator against a plain model of what it estimates.

use notchpoint_limits::{Breaks, Latency, Says};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The share of broken calls that are blamed on the partner, where each call breaks by chance alone.
fn blamed(share: f64) -> f64 {
    let (mut b, mut r) = (Breaks::default(), Pcg64Mcg::seed_from_u64(1));
    let (mut broke, mut said) = (0, 0);
    for _ in 0..200_000 {
        if r.random_bool(share) {
            broke += 1;
            said += u32::from(b.broke() == Says::Partner);
        } else {
            b.answered();
        }
    }
    f64::from(said) / f64::from(broke)
}

#[test]
fn random_resets_at_full_load_are_chance() {
    // The hard case: 2 % of the calls are reset by the network.
    assert!(blamed(0.02) < 0.04, "{}", blamed(0.02));
    assert!(blamed(0.1) < 0.4, "{}", blamed(0.1));
    // Where every third breaks it is the partner, most times.
    assert!(blamed(0.33) > 0.75, "{}", blamed(0.33));
}

#[test]
fn an_endpoint_that_resets_each_request_is_blamed_from_its_second_call_on() {
    let mut b = Breaks::default();
    (0..100).for_each(|_| b.answered());
    let says: Vec<Says> = (0..10).map(|_| b.broke()).collect();
    assert_eq!(says[0], Says::Chance);
    assert!(says[1..].iter().all(|s| *s == Says::Partner));
    // Once it answers again, a lone reset is chance again, though not at once: many of the last broke.
    b.answered();
    assert_eq!((b.broke(), b.run()), (Says::Partner, 1));
    (0..24).for_each(|_| b.answered());
    assert_eq!(b.broke(), Says::Chance);
}

#[test]
fn one_in_two_is_the_partner_though_never_two_in_a_row() {
    let mut b = Breaks::default();
    let says: Vec<Says> = (0..100)
        .map(|_| {
            b.answered();
            b.broke()
        })
        .collect();
    assert!(says[20..].iter().all(|s| *s == Says::Partner));
}

proptest! {
    #[test]
    fn the_share_is_one_of_the_calls(ends in prop::collection::vec(any::<bool>(), 0..300)) {
        // The plain model: weights written out, and a count of the last run.
        let mut b = Breaks::default();
        for (n, broke) in ends.iter().enumerate() {
            if *broke { b.broke(); } else { b.answered(); }
            let weighed = |k: usize| (15.0f64 / 16.0).powi((n - k) as i32) / 16.0;
            let share: f64 = (0..=n).filter(|&k| ends[k]).map(weighed).sum();
            prop_assert!((b.share() - share).abs() < 1e-9);
            let run = ends[..=n].iter().rev().take_while(|e| **e).count();
            prop_assert_eq!(b.run() as usize, run);
        }
    }

    #[test]
    fn what_is_usual_covers_what_was_steady(took in 1_000u64..10_000_000, jitter in 0u64..50) {
        let mut l = Latency::default();
        for n in 0..200 {
            l.observe(took + took * jitter / 100 * (n % 2));
        }
        let slowest = (took + took * jitter / 100) as f64;
        prop_assert!(l.upper_bound(1) >= slowest * 0.999, "{} of {slowest}", l.upper_bound(1));
        prop_assert!(l.best() <= l.mean(1) && l.mean(1) <= slowest);
        prop_assert!(!l.is_slow(3.0));
        // Four times as slow for a while: that shows, and is not forgotten at once.
        (0..30).for_each(|_| l.observe(took * 8));
        prop_assert!(l.is_slow(3.0));
    }
}
