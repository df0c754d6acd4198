//! Compares the encoded form of a state, and of the events that are handed over with it, with stored bytes.

use super::*;

/// The content of `form.bin`, of which [`crate::STATE_FORM`] is the hash.
const STORED: &[u8] = include_bytes!("form.bin");
/// The number of the form in `form.bin`, which recordings and hand-overs carry.
const NUMBER: u64 = 0xc682_af35_e168_3869;

/// Returns one value of each variant. A variant without a value fails to compile.
macro_rules! each_variant {
    ($type:ty: $($variant:pat => $value:expr),+ $(,)?) => {{
        let _ = |value: $type| match value { $($variant => ()),+ };
        vec![$($value),+]
    }};
}

fn outcomes() -> Vec<Outcome> {
    each_variant!(Outcome:
        Outcome::Served => Outcome::Served,
        Outcome::Failed => Outcome::Failed,
        Outcome::Full { wait: _ } => Outcome::Full { wait: Some(301) },
        Outcome::TimedOut => Outcome::TimedOut,
        Outcome::ConnectFailed => Outcome::ConnectFailed,
        Outcome::Reset => Outcome::Reset,
        Outcome::Spoilt => Outcome::Spoilt,
        Outcome::Cancelled => Outcome::Cancelled,
        Outcome::Moot => Outcome::Moot,
        Outcome::NotSent => Outcome::NotSent,
    )
}

fn guards() -> Vec<Guard> {
    each_variant!(Guard:
        Guard::Order => Guard::Order,
        Guard::Slots => Guard::Slots,
        Guard::Share => Guard::Share,
        Guard::Window => Guard::Window,
        Guard::Wait => Guard::Wait,
        Guard::Rest => Guard::Rest,
        Guard::Pace => Guard::Pace,
        Guard::Cold => Guard::Cold,
        Guard::Breaker => Guard::Breaker,
        Guard::Drained => Guard::Drained,
        Guard::Endpoint => Guard::Endpoint,
        Guard::ClassRest => Guard::ClassRest,
        Guard::Again => Guard::Again,
        Guard::Key => Guard::Key,
        Guard::Repeat => Guard::Repeat,
        Guard::Spent => Guard::Spent,
        Guard::Zone => Guard::Zone,
        Guard::Unproven => Guard::Unproven,
    )
}

fn settings(list: ListMode, worth_decay: WorthDecay) -> Settings {
    let effects = each_variant!(Effect:
        Effect::Idempotent => Effect::Idempotent,
        Effect::Deduplicated => Effect::Deduplicated,
        Effect::AtMostOnce => Effect::AtMostOnce,
    );
    let scopes = each_variant!(DedupScope:
        DedupScope::All => DedupScope::All,
        DedupScope::Zone => DedupScope::Zone,
        DedupScope::Endpoint => DedupScope::Endpoint,
    );
    let class = |(effect, dedup_scope)| Class {
        effect,
        dedup_scope,
        dedup_window: 401,
        target_time: 402,
        deadline: 403,
        worth: 4.25,
        late_share: 0.375,
        in_order: true,
    };
    Settings {
        slots: 411,
        max_held: 412,
        max_attempts: 413,
        senders: 414,
        zone: 415,
        parallel_attempts: true,
        may_cancel: false,
        may_probe: true,
        may_send_notes: false,
        list,
        classes: effects.into_iter().zip(scopes).map(class).collect(),
        tenant_allowances: vec![416.5, 417.5],
        over_share_worth: 0.125,
        kinds: vec![
            Kind { per_endpoint: true, max_bundle: 418 },
            Kind { per_endpoint: false, max_bundle: 419 },
        ],
        worth_decay,
        clients_mark_retries: true,
        start_capacity: 0.25,
        warm_up: 421,
        overload_factor: 2.5,
        overload_after: 422,
        key_rest: 423,
        connect_timeout: 424,
        conn_idle: 425,
        multiplex: 426,
        connections_reported: true,
        tick: 427,
        max_retry_after: 428,
    }
}

fn message() -> Message {
    Message {
        id: MessageId(501),
        class: 502,
        tenant: Some(503),
        key: Some("key".into()),
        dest: DestinationId(504),
        is_retry: true,
        expires_in: 505,
    }
}

fn entries() -> Vec<ListEntry> {
    let phases = each_variant!(Phase:
        Phase::Live => Phase::Live,
        Phase::Draining => Phase::Draining,
        Phase::Gone => Phase::Gone,
    );
    let entry = |phase| ListEntry {
        endpoint: EndpointId(511),
        dest: DestinationId(512),
        zone: 513,
        kind: 514,
        phase,
    };
    phases.into_iter().map(entry).collect()
}

fn events() -> Vec<Event> {
    let lists = each_variant!(ListUpdate:
        ListUpdate::Changes(_) => ListUpdate::Changes(entries()),
        ListUpdate::Whole(_) => ListUpdate::Whole(entries()),
        ListUpdate::Restored(_) => ListUpdate::Restored(entries()),
        ListUpdate::Unavailable => ListUpdate::Unavailable,
    );
    let ended = |outcome| Event::Ended {
        id: MessageId(521),
        attempt: 522,
        outcome,
        is_final: true,
        allowance: Some(Allowance { left: 0.75, limit: 5.5 }),
    };
    let mut events = each_variant!(Event:
        Event::Taken(_) => Event::Taken(message()),
        Event::Resumed { message: _, attempts: _, ran_ago: _ } =>
            Event::Resumed { message: message(), attempts: 523, ran_ago: Some((524, EndpointId(525))) },
        Event::Ended { id: _, attempt: _, outcome: _, is_final: _, allowance: _ } => ended(Outcome::Served),
        Event::Withdrawn(_) => Event::Withdrawn(MessageId(526)),
        Event::Wake => Event::Wake,
        Event::List(_) => Event::List(ListUpdate::Unavailable),
        Event::Note { from: _, body: _ } => Event::Note { from: 527, body: vec![1, 2, 3] },
        Event::Unused(_) => Event::Unused(EndpointId(528)),
        Event::Closed(_) => Event::Closed(EndpointId(529)),
        Event::Probed { endpoint: _, outcome: _ } =>
            Event::Probed { endpoint: EndpointId(531), outcome: Outcome::Reset },
        Event::Service { endpoint: _, out_of_service: _ } =>
            Event::Service { endpoint: EndpointId(532), out_of_service: true },
        Event::Settings(_) => Event::Settings(Box::new(settings(ListMode::Push, WorthDecay::Linear))),
        Event::Zone { zone: _, share: _, probe: _, exempt: _ } =>
            Event::Zone { zone: 533, share: 0.625, probe: true, exempt: vec![DestinationId(534)] },
    );
    events.extend(lists.into_iter().map(Event::List));
    events.extend(outcomes().into_iter().map(ended));
    events
}

fn actions() -> Vec<Action> {
    each_variant!(Action:
        Action::Send { id: _, endpoint: _, timeout: _, start_within: _, proven_only: _ } => Action::Send {
            id: MessageId(541),
            endpoint: EndpointId(542),
            timeout: 543,
            start_within: 544,
            proven_only: true,
        },
        Action::Cancel { id: _, attempt: _ } => Action::Cancel { id: MessageId(545), attempt: 546 },
        Action::Refuse { id: _, retry_after: _ } => Action::Refuse { id: MessageId(547), retry_after: 548 },
        Action::Fail { id: _ } => Action::Fail { id: MessageId(549) },
        Action::WakeAt(_) => Action::WakeAt(551),
        Action::Watch => Action::Watch,
        Action::Fetch => Action::Fetch,
        Action::Probe { endpoint: _ } => Action::Probe { endpoint: EndpointId(552) },
        Action::Note { to: _, body: _ } => Action::Note { to: Some(553), body: vec![4, 5] },
        Action::CloseIdle { endpoint: _ } => Action::CloseIdle { endpoint: EndpointId(554) },
        Action::Log(_) => Action::Log("line".into()),
    )
}

fn held() -> Held {
    Held {
        class: 601,
        dest: DestinationId(602),
        key: Some("held".into()),
        over_share: true,
        due: 603,
        expires: 604,
        attempts: vec![605, 606],
        unsent: 607,
        in_flight: 608,
        ran_at: Some((609, EndpointId(611))),
        congested: true,
        done: false,
        not_before: 612,
    }
}

fn call() -> Call {
    Call {
        route: (DestinationId(621), Some(EndpointId(622))),
        endpoint: EndpointId(623),
        sent: 624,
        overdue_at: 625,
        timeout_at: 626,
        late_after: 627,
        late_stage: 628,
        idle: 629,
        open: 631,
        evaluated: true,
        has_cut: false,
        random_failure: true,
        cancelled: false,
        unproven: 632,
        lost: true,
    }
}

fn life_table(from: f64) -> LifeTable {
    let mut next = from;
    let mut count = || {
        next += 1.0;
        next
    };
    LifeTable(std::array::from_fn(|_| std::array::from_fn(|_| (count(), count()))))
}

fn route(breaker: Breaker, cut_by: Outcome) -> Route {
    let mut latency = Latency::default();
    latency.observe(70_000);
    latency.observe(20_000);
    let mut connection_failures = ConnectionFailures::default();
    connection_failures.record_failure();
    let mut rate = AdaptiveRate::default();
    for call in 0..5 {
        rate.record_admitted(1_000_000 + call * 200_000);
    }
    rate.record_refused(2_000_000, 1_900_000);
    rate.record_sent(2_100_000);
    Route {
        window: 7.5,
        last_cut: Some(701),
        cut_by: Some(cut_by),
        pace: 0.8125,
        refusal_note_at: 702,
        known_wait_until: 703,
        wait_reporter: Some(704),
        paused_until: 705,
        wait_until: 706,
        latency,
        connection_failures,
        rate,
        breaker,
        last_served: 707,
        failures: 708,
        last_failure: 709,
        errors: 711,
        refusals: 712,
        credit: 1.5,
        credit_updated: 713,
        outage_report: Some((714, 715)),
        last_note: 716,
        in_flight: 717,
        lost: 718,
        life_table: life_table(720.0),
    }
}

fn routes() -> BTreeMap<RouteId, Route> {
    let breakers = each_variant!(Breaker:
        Breaker::Closed => Breaker::Closed,
        Breaker::Open { since: _, until: _, failed: _, probe: _, slow_start: _ } =>
            Breaker::Open {
                since: 751,
                until: 752,
                failed: true,
                probe: Some(753),
                slow_start: Some((754, 755)),
            },
        Breaker::SlowStart { since: _, gap: _ } => Breaker::SlowStart { since: 756, gap: 757 },
    );
    let routes = breakers.into_iter().zip(outcomes().into_iter().cycle().skip(2));
    let ids = (761..).map(|n| (DestinationId(n), Some(EndpointId(n + 10))));
    ids.zip(routes.map(|(breaker, cut_by)| route(breaker, cut_by))).collect()
}

fn endpoint() -> Endpoint {
    Endpoint {
        dest: DestinationId(801),
        zone: 802,
        kind: 803,
        live: true,
        listed: false,
        warm_up_until: 804,
        in_flight: 805,
        unproven: 806,
        idle_since: vec![807, 808],
        last_used: 809,
        use_gap: 811,
        last_answer: 812,
        refused_at: 813,
        backoffs: BTreeMap::from([(None, (814, 815)), (Some(816), (817, 818))]),
    }
}

fn dest() -> Dest {
    Dest {
        per_endpoint: true,
        max_bundle: 821,
        kind: 822,
        endpoints: vec![EndpointId(823)],
        queue: vec![MessageId(824), MessageId(825)],
        trusted_idle: (826, 827),
        average_rate: 8.5,
        rate_updated: 828,
    }
}

fn zone_share() -> ZoneShare {
    let mut zone_share = ZoneShare::full();
    zone_share.change(0.5, &[DestinationId(831)]);
    zone_share.record_arrival(DestinationId(832), 0.5, || 0.25);
    zone_share.probe_all([DestinationId(833)].into_iter());
    zone_share
}

/// Returns a state with a distinct value in each field. A field that is not named here fails to compile.
fn sender(list: ListMode, worth_decay: WorthDecay) -> Sender {
    Sender {
        settings: settings(list, worth_decay),
        rng: fastrand::Rng::with_seed(901),
        now: 902,
        held: BTreeMap::from([(MessageId(903), held())]),
        open_count: 904,
        calls: BTreeMap::from([(905, call())]),
        next_call: 906,
        routes: routes(),
        endpoints: BTreeMap::from([(EndpointId(907), endpoint())]),
        dests: BTreeMap::from([(DestinationId(908), dest())]),
        out_of_service: BTreeSet::from([EndpointId(909)]),
        queued: BTreeSet::from([DestinationId(911)]),
        unlisted: Unlisted {
            endpoints: BTreeSet::from([EndpointId(912)]),
            dests: BTreeSet::from([DestinationId(913)]),
            routes: BTreeSet::from([(DestinationId(914), None)]),
        },
        keys: BTreeMap::from([("key".into(), (VecDeque::from([MessageId(915), MessageId(916)]), 917))]),
        trusted_idle: (918, 919),
        scarce_until: vec![921, 922],
        tenant_buckets: vec![(9.5, 923), (9.75, 924)],
        actions: actions(),
        watch_at: 925,
        wake_at: Some(926),
        life_table: life_table(930.0),
        sent_this_turn: BTreeSet::from([DestinationId(927)]),
        close_after_events: BTreeSet::new(),
        zone_shares: BTreeMap::from([(928, zone_share())]),
    }
}

/// Encodes two states, which cover each variant of the settings, and what is handed over or recorded with
/// them.
fn encoded() -> Vec<u8> {
    let lists = each_variant!(ListMode:
        ListMode::Push => ListMode::Push,
        ListMode::Ask => ListMode::Ask,
    );
    let decays = each_variant!(WorthDecay:
        WorthDecay::Linear => WorthDecay::Linear,
        WorthDecay::Halving => WorthDecay::Halving,
    );
    let states: Vec<Sender> =
        lists.into_iter().zip(decays).map(|(list, decay)| sender(list, decay)).collect();
    let holds: Vec<Hold> = guards().into_iter().map(|guard| Hold::until(guard, 941)).collect();
    postcard::to_allocvec(&(states, events(), holds)).expect("plain data")
}

/// A build reads the state of another one if both have the same number. A changed field, order of fields or
/// variant would be misread; it changes these bytes and thereby the number.
///
/// After an intended change, `STATE_FORM_FILE=src/state/form.bin` writes the new bytes, and the number that
/// the next run prints is copied to [`NUMBER`].
#[test]
fn the_encoded_form_of_a_state_matches_its_number() {
    let bytes = encoded();
    if let Ok(file) = std::env::var("STATE_FORM_FILE") {
        std::fs::write(file, &bytes).expect("a writable file");
    }
    let differs = bytes.iter().zip(STORED).position(|(now, stored)| now != stored);
    assert_eq!((bytes.len(), differs), (STORED.len(), None), "the form of the state has changed");
    assert_eq!(crate::STATE_FORM, NUMBER, "{:#018x}", crate::STATE_FORM);
}

#[test]
fn the_stored_state_survives_a_round_trip() {
    type Stored = (Vec<Sender>, Vec<Event>, Vec<Hold>);
    let all: Stored = postcard::from_bytes(STORED).expect("the stored form");
    assert!(all.1 == events() && all.2.len() == guards().len());
    assert_eq!(postcard::to_allocvec(&all).expect("plain data"), STORED);
}
