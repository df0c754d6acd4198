//! What can only be seen from inside.

use super::*;

#[test]
fn destinations_that_come_and_go_leave_nothing_behind() {
    // Guards against memory that grows for as long as the process runs.
    let kinds = vec![Kind { apart: false, bundle: 1 }, Kind { apart: true, bundle: 2 }];
    let class = Class {
        effect: Effect::Safe,
        group: Group::All,
        memory: 0,
        wanted: SEC,
        deadline: 6 * SEC,
        worth: 1.0,
        late_share: 0.0,
        in_order: false,
    };
    let set = Settings {
        slots: 4,
        max_held: 9,
        max_attempts: 8,
        senders: 1,
        zone: 0,
        second_copies: false,
        may_cancel: true,
        may_probe: false,
        may_note: false,
        list: ListMode::Push,
        classes: vec![class],
        tenants: vec![],
        over_share_worth: 1.0,
        kinds,
        fade: Fade::Even,
        clients_mark: true,
        start_share: 0.2,
        cold: SEC,
        fall_multiple: 2.0,
        fall_after: SEC,
        key_rest: 0,
        connect_timeout: SEC,
        conn_idle: SEC,
        multiplex: 1,
        conns_told: false,
        tick: 5 * MS,
        max_advice: SEC,
    };
    let mut sender = Sender::new(set, 1).expect("sound");
    let (mut now, mut out) = (0, Vec::new());
    for n in 0..200u64 {
        now += SEC;
        let (endpoint, dest) = (EndpointId(n), DestinationId(n));
        let entry = Entry { endpoint, dest, zone: 0, kind: (n % 2) as u32, phase: Phase::Live };
        let id = MessageId(n);
        let message = Message { id, class: 0, tenant: None, key: None, dest, again: false, expires_in: SEC };
        let gone = Entry { phase: Phase::Gone, ..entry.clone() };
        let list = |e| Event::List(ListNews::Changes(vec![e]));
        sender.handle(now, &[list(entry), Event::Taken(message)], &mut out);
        let ended = Event::Ended { id, attempt: 0, outcome: Served, over: true, allowance: None };
        sender.handle(now + MS, &[ended, list(gone)], &mut out);
    }
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 200);
    let most = (FORGET / SEC) as usize + 2;
    let kept = [sender.dests.len(), sender.routes.len(), sender.endpoints.len(), sender.held.len()];
    assert!(kept.iter().all(|&n| n <= most), "{kept:?}");
}
