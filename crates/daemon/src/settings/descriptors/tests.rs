use super::*;

#[test]
fn the_parts_fit_together_under_any_limit() {
    for all in 40..5_000 {
        for slots in [1, 3, 7, 24] {
            let budget = DescriptorBudget::split(all, slots);
            let sum = OWN_DESCRIPTORS
                + WATCH_CONNECTIONS
                + NOTICE_CONNECTIONS
                + HAND_OVER_DESCRIPTORS
                + slots
                + budget.operator_connections
                + budget.idle_connections
                + budget.client_connections;
            assert!(sum <= all || !budget.is_sufficient, "{all} descriptors, {slots} slots: {budget:?}");
            assert!(budget.client_connections > 0 && budget.operator_connections > 0, "{budget:?}");
        }
    }
    // With many descriptors, clients have half of them.
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
fn a_configuration_that_leaves_clients_few_connections_gives_a_warning_with_the_numbers() {
    let text = crate::settings::config::tests::TEXT;
    let mut config = crate::settings::config::read(text).expect("a valid configuration");
    (config.max_descriptors, config.settings.slots) = (256, 200);
    let budget = DescriptorBudget::new(&config);
    assert!(budget.warning(&config).is_some_and(|warning| warning.contains("few connections")));
    let description = budget.describe(&config);
    for part in ["256: 3 for clients", "200 for calls", "16 for operators", "35 for the process"] {
        assert!(description.contains(part), "{part}: {description}");
    }
    config.settings.slots = 40;
    assert_eq!(DescriptorBudget::new(&config).warning(&config), None);
}
