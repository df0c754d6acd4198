//! Arbitrary valid sequences of events against an independent checker of the rules.

mod common;
#[path = "common/world.rs"]
mod world;
use common::{SEC, settings};
use notchpoint_policy::*;
use proptest::prelude::*;
use world::{Checker, step};

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_for_any_sequence_of_events(
        steps in prop::collection::vec(step(), 1..120),
        slots in 1..9u32,
        max_held in 4..40u32,
        zone_scope in any::<bool>(),
        may_cancel in any::<bool>(),
        may_send_notes in any::<bool>(),
    ) {
        let mut set = Settings { slots, max_held, may_cancel, may_send_notes, senders: 9, ..settings() };
        set.classes[1].dedup_scope = if zone_scope { DedupScope::Zone } else { DedupScope::All };
        let mut c = Checker::new(set, 3);
        steps.iter().for_each(|s| c.step(s));
        c.advance(60 * SEC);
        prop_assert!(c.messages.values().all(|m| m.done), "a message was lost");
    }

    #[test]
    fn equal_events_give_equal_actions_and_instances_are_independent(
        steps in prop::collection::vec(step(), 1..80),
        others in prop::collection::vec(step(), 1..80),
    ) {
        let (mut a, mut b, mut other) =
            (Checker::new(settings(), 3), Checker::new(settings(), 3), Checker::new(settings(), 3));
        steps.iter().for_each(|s| a.step(s));
        for (n, s) in steps.iter().enumerate() {
            if let Some(o) = others.get(n) {
                other.step(o);
            }
            b.step(s);
        }
        prop_assert_eq!(a.trace, b.trace);
    }
}
