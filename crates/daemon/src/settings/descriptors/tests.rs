use super::*;

#[test]
fn what_all_may_hold_together_fits_under_any_limit() {
    for all in 40..5_000 {
        for slots in [1, 3, 7, 24] {
            let d = Descriptors::of(all, slots);
            let sum = OWN + WATCHES + POSTS + HAND_OVER + slots + d.operators + d.idle + d.clients;
            assert!(sum <= all || !d.fit, "{all} descriptors, {slots} slots: {d:?}");
            assert!(d.clients > 0 && d.operators > 0, "{d:?}");
        }
    }
    // Where there are many, clients have half of them.
    assert_eq!(Descriptors::of(512, 7), Descriptors { clients: 256, idle: 128, operators: 24, fit: true });
    assert!(!Descriptors::of(40, 7).fit);
}

#[test]
fn a_configuration_that_leaves_clients_few_places_is_doubted_with_the_figures() {
    let text = crate::settings::config::tests::TEXT;
    let mut config = crate::settings::config::read(text).expect("sound");
    (config.sockets, config.settings.slots) = (256, 200);
    let descriptors = Descriptors::new(&config);
    assert!(descriptors.doubt(&config).is_some_and(|doubt| doubt.contains("few places")));
    let shares = descriptors.shares(&config);
    for part in ["256: 3 for clients", "200 for calls", "16 for operators", "35 for the process"] {
        assert!(shares.contains(part), "{part}: {shares}");
    }
    config.settings.slots = 40;
    assert_eq!(Descriptors::new(&config).doubt(&config), None);
}
