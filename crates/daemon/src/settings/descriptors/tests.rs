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

/// Returns what a process needs that has this budget, besides what another one holds.
fn sum(all: usize, slots: usize, budget: DescriptorBudget) -> usize {
    fixed_descriptors(all) + slots + budget.idle_connections + budget.client_connections
}

#[test]
fn both_processes_of_a_handover_fit_together_under_any_limit() {
    for all in 40..3_000 {
        for slots in [1, 7, 24, 100] {
            let shared = SharedDescriptors { all, slots, allows_handover: true, replication: 0 };
            let alone = shared.budget(HeldDescriptors::default());
            assert!(sum(all, slots, alone) + STARTING_DESCRIPTORS <= all || !alone.is_sufficient, "{all}");
            if shared.warning().is_some() {
                continue;
            }
            // Clients close their connections at the predecessor, until it has none.
            for clients in (0..=alone.client_connections).rev() {
                let retired = HeldDescriptors::of_retired_process(slots, clients, 0);
                assert!(shared.has_room_for_successor(retired), "{shared:?}, {clients} clients");
                let successor = shared.budget(retired);
                assert!(successor.client_connections >= MIN_SUCCESSOR_CONNECTIONS / 2, "{successor:?}");
                assert!(sum(all, slots, successor) + retired.others <= all, "{shared:?}, {clients} clients");
            }
        }
    }
}

#[test]
fn too_few_descriptors_for_a_second_process_are_reported() {
    let shared = |all| SharedDescriptors { all, slots: 60, allows_handover: true, replication: 0 };
    assert!(shared(140).warning().is_some_and(|warning| warning.contains("hand-overs may be refused")));
    assert!(!shared(140).has_room_for_successor(HeldDescriptors::of_retired_process(0, 0, 0)));
    assert_eq!(shared(256).warning(), None);
    assert_eq!(SharedDescriptors { allows_handover: false, ..shared(140) }.warning(), None);
}

#[test]
fn calls_that_the_policy_does_not_count_leave_fewer_for_others() {
    let shared = SharedDescriptors { all: 256, slots: 100, allows_handover: true, replication: 0 };
    assert_eq!(shared.reduced_calls(HeldDescriptors { calls: 100, others: 0 }), None);
    let uncounted = HeldDescriptors { calls: 0, others: 150 };
    assert_eq!(shared.reduced_calls(uncounted), Some(256 - fixed_descriptors(256) - 150));
    assert_eq!(shared.reduced_calls(HeldDescriptors { calls: 0, others: 256 }), Some(1));
}

#[test]
fn replication_has_descriptors_of_its_own() {
    let shared = SharedDescriptors { all: 256, slots: 7, allows_handover: true, replication: 0 };
    for replication in 0..=100 {
        let shared = shared.with_replication(replication);
        let budget = shared.budget(HeldDescriptors::default());
        assert!(sum(256, 7, budget) + STARTING_DESCRIPTORS + replication <= 256, "{replication}: {budget:?}");
    }
}
