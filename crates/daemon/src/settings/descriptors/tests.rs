use super::*;

#[test]
fn what_all_may_hold_together_fits_under_any_limit() {
    for all in 40..5_000 {
        for slots in [1, 3, 7, 24] {
            let d = DescriptorBudget::split(all, slots);
            let sum = OWN
                + WATCHES
                + POSTS
                + HAND_OVER
                + slots
                + d.operator_connections
                + d.idle_connections
                + d.client_connections;
            assert!(sum <= all || !d.is_sufficient, "{all} descriptors, {slots} slots: {d:?}");
            assert!(d.client_connections > 0 && d.operator_connections > 0, "{d:?}");
        }
    }
    // Where there are many, clients have half of them.
    assert_eq!(
        DescriptorBudget::split(512, 7),
        DescriptorBudget {
            client_connections: 256,
            idle_connections: 128,
            operator_connections: 24,
            is_sufficient: true
        }
    );
    assert!(!DescriptorBudget::split(40, 7).is_sufficient);
}

#[test]
fn a_configuration_that_leaves_clients_few_places_is_doubted_with_the_figures() {
    let text = crate::settings::config::tests::TEXT;
    let mut config = crate::settings::config::read(text).expect("sound");
    (config.max_descriptors, config.settings.slots) = (256, 200);
    let descriptors = DescriptorBudget::new(&config);
    assert!(descriptors.warning(&config).is_some_and(|doubt| doubt.contains("few places")));
    let shares = descriptors.describe(&config);
    for part in ["256: 3 for clients", "200 for calls", "16 for operators", "35 for the process"] {
        assert!(shares.contains(part), "{part}: {shares}");
    }
    config.settings.slots = 40;
    assert_eq!(DescriptorBudget::new(&config).warning(&config), None);
}
