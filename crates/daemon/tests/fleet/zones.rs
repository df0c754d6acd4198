//! What several processes find together of a zone that fails, and how they leave it and return.

use crate::fleet::{COLD_S, Fleet, Wanted};
use crate::world::{Client, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SENDERS: usize = 6;

fn fleet() -> Fleet {
    Fleet::with(&Wanted { notes: true, zones: true, ..Wanted::of(SENDERS, 0) })
}

/// Messages to all three destinations, at each of these senders, until it is dropped.
struct Load {
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn on(fleet: &Fleet, senders: impl Iterator<Item = usize>) -> Self {
        let over = Arc::<AtomicBool>::default();
        let client = |i: usize| {
            let (address, over) = (fleet.senders[i].address, over.clone());
            std::thread::spawn(move || {
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = 1_000_000 * (i as u64 + 1) + n;
                    // A sender may close a connection between two requests: each has its own.
                    Client::new(address).hand_in("update", id, 3 + n % 3, 5_000, b"hello");
                    std::thread::sleep(Duration::from_millis(15));
                }
            })
        };
        let clients = senders.map(client).collect();
        Self { over, clients }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|c| drop(c.join()));
    }
}

const FAILING: &str = "zones: b is failing";
const ALONE: &str = "zones: this sender is isolated";

fn all_say(fleet: &Fleet, what: &str) {
    (0..SENDERS).for_each(|i| fleet.says(i, what));
}

fn nobody_said(fleet: &Fleet, what: &str) {
    (0..SENDERS).for_each(|i| assert_eq!(fleet.said(i, what), 0, "n{i}: {what}"));
}

#[test]
fn a_zone_that_fails_is_found_failing_by_all_and_serving_again_once_it_is() {
    let fleet = fleet();
    let _load = Load::on(&fleet, 0..SENDERS);
    until("calls", || fleet.status_of(5, "zones").is_some_and(|z| z["found"]["b"]["standing"] == "serving"));
    fleet.down('b', true);
    all_say(&fleet, FAILING);
    nobody_said(&fleet, "zones: c is failing");
    let told = fleet.status_of(0, "zones").expect("a status");
    assert_eq!(told["found"]["b"]["standing"], "failing");
    fleet.down('b', false);
    all_say(&fleet, "zones: b is serving");
}

#[test]
fn on_one_senders_word_no_zone_is_found_failing() {
    let fleet = fleet();
    fleet.down('b', true);
    // Only one sender sees anything of it; the others hear what that one says.
    let _load = Load::on(&fleet, 0..1);
    all_say(&fleet, "zones: b is doubted");
    // And go on to hear it.
    let changes = |i| fleet.status_of(i, "zones").map(|z| z["found"]["b"]["failed"].as_f64());
    until("more of it", || (0..SENDERS).all(|i| changes(i).flatten().is_some_and(|n| n > 4.0)));
    nobody_said(&fleet, FAILING);
}

#[test]
fn a_sender_that_hears_no_other_finds_nothing_and_what_it_missed_once_it_does() {
    let fleet = fleet();
    (0..SENDERS).for_each(|i| fleet.cut_off(i));
    fleet.down('b', true);
    let _load = Load::on(&fleet, 0..SENDERS);
    all_say(&fleet, ALONE);
    nobody_said(&fleet, FAILING);
    fleet.heal();
    all_say(&fleet, FAILING);
}

/// Six senders, two in each zone, and three destinations with an endpoint in each: what is left has somewhere
/// else to go.
fn leaving() -> Fleet {
    leaving_with("")
}

fn leaving_with(more: &str) -> Fleet {
    Fleet::with(&Wanted { notes: true, leave: true, more, ..Wanted::of(SENDERS, 0) })
}

/// What a sender says of a zone: where it stands, its term, and its share.
fn of(fleet: &Fleet, i: usize, zone: &str) -> Option<(String, u64, f64)> {
    let told = fleet.status_of(i, "zones")?;
    let z = &told["found"][zone];
    Some((z["state"].as_str()?.to_owned(), z["term"].as_u64()?, z["share"].as_f64()?))
}

/// Whether it gives a zone its whole share; also where it knows nothing of it.
fn whole(fleet: &Fleet, i: usize, zone: &str) -> bool {
    of(fleet, i, zone).is_none_or(|z| z.2 >= 1.0)
}

fn all_left(fleet: &Fleet, zone: &str) {
    until(&format!("all leave {zone}"), || (0..SENDERS).all(|i| !whole(fleet, i, zone)));
}

fn all_returned(fleet: &Fleet, zone: &str) {
    until(&format!("all return to {zone}"), || (0..SENDERS).all(|i| whole(fleet, i, zone)));
}

/// Calls that a zone's endpoints saw since then.
fn called(fleet: &Fleet, zone: char, since: Instant) -> usize {
    let effects = fleet.effects.lock().expect("sound");
    effects.called.iter().filter(|c| c.0 >= since && c.1 == zone).count()
}

/// Waits for so many further calls anywhere: time that counts by what is done in it.
fn calls_pass(fleet: &Fleet, n: usize) {
    let all = || fleet.effects.lock().expect("sound").called.len();
    let before = all();
    until("calls", || all() >= before + n);
}

const LEFT: &str = "zones: b is left";

#[test]
fn a_zone_that_fails_is_left_by_all_and_returned_to_under_what_its_endpoints_bear() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_500);
    // What comes in for an endpoint there while all is well.
    let begun = Instant::now();
    calls_pass(&fleet, 1_500);
    let usual = called(&fleet, 'b', begun) as f64 / 3.0 / begun.elapsed().as_secs_f64();
    fleet.down('b', true);
    all_left(&fleet, "b");
    nobody_said(&fleet, "zones: a is left");
    nobody_said(&fleet, "zones: c is left");
    println!("{}", fleet.status_of(0, "zones").expect("a status"));
    // Nothing goes there but what few try.
    let left = Instant::now();
    calls_pass(&fleet, 1_500);
    let tried = called(&fleet, 'b', left);
    assert!(tried <= 150, "{tried} of some 1,500 calls go to a zone that is left");
    fleet.down('b', false);
    let back = Instant::now();
    all_returned(&fleet, "b");
    let effects = fleet.effects.lock().expect("sound");
    // Of the settings: what a cold endpoint bears, over so long.
    let (start, over, tip) = (0.17, 2.0, 2.0);
    for dest in 3..6 {
        let at: Vec<f64> = (effects.called.iter())
            .filter(|c| c.0 >= back && (c.1, c.2) == ('b', dest))
            .map(|c| (c.0 - back).as_secs_f64())
            .collect();
        for (n, &t) in at.iter().enumerate() {
            let within = at[n..].iter().take_while(|&&u| u < t + tip).count() as f64;
            let warm = ((t + tip) / COLD_S).min(1.0);
            let bears = usual.max(30.0) * tip * over * (start + (1.0 - start) * warm);
            let most = bears + 3.0 * bears.sqrt() + 3.0;
            assert!(within <= most, "{within} calls for {dest} from {t:.1} s on, of {most:.0}");
        }
    }
}

#[test]
fn one_destination_a_senders_own_way_or_notes_that_are_lost_leave_nothing() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    // One destination of three, for all.
    fleet.effects.lock().expect("sound").down_dests = Some([3].into());
    fleet.down('b', true);
    calls_pass(&fleet, 3_000);
    fleet.down('b', false);
    // One sender's way to all of a zone.
    fleet.cut_from(1, 'b', true);
    calls_pass(&fleet, 2_000);
    fleet.cut_from(1, 'b', false);
    // And nobody hears anybody.
    (0..SENDERS).for_each(|i| fleet.cut_off(i));
    fleet.effects.lock().expect("sound").down_dests = None;
    fleet.down('b', true);
    all_say(&fleet, ALONE);
    nobody_said(&fleet, LEFT);
}

#[test]
fn a_cut_between_two_zones_that_both_live_leaves_neither() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    for (i, j, zone) in [(0, 1, 'b'), (3, 4, 'b'), (0, 4, 'b'), (3, 1, 'b')] {
        fleet.cut_from(i, zone, true);
        fleet.cut_from(j, 'a', true);
        fleet.cut(i, j);
    }
    calls_pass(&fleet, 5_000);
    for zone in ["a", "b", "c"] {
        nobody_said(&fleet, &format!("zones: {zone} is left"));
    }
}

#[test]
fn a_third_of_senders_that_start_anew_while_a_zone_is_left_and_while_it_is_returned_to_follow() {
    let mut fleet = leaving();
    let load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    drop(load);
    fleet.down('b', true);
    let load = Load::on(&fleet, 0..SENDERS);
    fleet.somebody_says(LEFT);
    drop(load);
    for i in [0, 4] {
        fleet.kill(i);
        fleet.start(i);
    }
    let load = Load::on(&fleet, 0..SENDERS);
    all_left(&fleet, "b");
    fleet.down('b', false);
    fleet.somebody_says("zones: b is returned to");
    drop(load);
    for i in [2, 4] {
        fleet.kill(i);
        fleet.start(i);
    }
    let _load = Load::on(&fleet, 0..SENDERS);
    // Those too know by now which leaving this was, and none is in another.
    until("one term", || {
        let terms: Vec<_> = (0..SENDERS).filter_map(|i| of(&fleet, i, "b").map(|z| z.1)).collect();
        terms.len() == SENDERS && terms.iter().all(|t| *t == terms[0] && *t > 0)
    });
    all_returned(&fleet, "b");
}

#[test]
fn a_sender_that_is_stopped_while_the_others_leave_and_return_follows_once_it_goes_on() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.signal(5, "-STOP");
    fleet.down('b', true);
    until("the others leave", || (0..5).all(|i| !whole(&fleet, i, "b")));
    fleet.signal(5, "-CONT");
    all_left(&fleet, "b");
    fleet.signal(3, "-STOP");
    fleet.down('b', false);
    until("the others return", || [0, 1, 2, 4, 5].iter().all(|&i| whole(&fleet, i, "b")));
    fleet.signal(3, "-CONT");
    all_returned(&fleet, "b");
    let terms: Vec<u64> = (0..SENDERS).filter_map(|i| of(&fleet, i, "b").map(|z| z.1)).collect();
    assert!(terms.iter().all(|t| *t == terms[0]), "{terms:?}");
}

#[test]
fn a_sender_that_hears_nobody_while_the_others_leave_keeps_still_and_follows_once_it_hears() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.cut_off(3);
    fleet.says(3, ALONE);
    fleet.down('b', true);
    until("the others leave", || [0, 1, 2, 4, 5].iter().all(|&i| !whole(&fleet, i, "b")));
    assert!(whole(&fleet, 3, "b"), "on its own word");
    fleet.heal();
    all_left(&fleet, "b");
    fleet.says(3, "enough other senders have the same state");
}

#[test]
fn two_zones_that_fail_are_left_and_the_last_one_never() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.down('b', true);
    std::thread::sleep(Duration::from_secs(2));
    fleet.down('c', true);
    all_left(&fleet, "b");
    all_left(&fleet, "c");
    fleet.down('a', true);
    // Failed calls there, and no answer anywhere.
    calls_pass(&fleet, 200);
    nobody_said(&fleet, "zones: a is left");
    assert!((0..SENDERS).all(|i| whole(&fleet, i, "a")));
    ['a', 'b', 'c'].into_iter().for_each(|z| fleet.down(z, false));
    all_returned(&fleet, "b");
    all_returned(&fleet, "c");
}

#[test]
fn a_zone_that_is_back_for_a_moment_again_and_again_is_left_alone_for_longer() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.down('b', true);
    all_left(&fleet, "b");
    let failed = |n: u64| {
        let row = |i| fleet.status_of(i, "zones").and_then(|z| z["found"]["b"]["failed_in_a_row"].as_u64());
        (0..SENDERS).all(|i| row(i).is_some_and(|f| f >= n))
    };
    for n in 2..4 {
        fleet.down('b', false);
        until("it is returned to", || (0..SENDERS).any(|i| of(&fleet, i, "b").is_some_and(|z| z.2 > 0.0)));
        fleet.down('b', true);
        until("it is left again", || failed(n));
    }
    let since = Instant::now();
    calls_pass(&fleet, 2_000);
    let tried = called(&fleet, 'b', since);
    assert!(tried <= 60, "{tried} of 2,000 calls go to a zone that fails again and again");
}

#[test]
fn operators_pin_a_zone_out_and_in_with_sighup_and_a_mistake_changes_nothing() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    let write = |text: &str| {
        for i in 0..SENDERS {
            let file = fleet.senders[i].folder.path().join("operator.toml");
            std::fs::write(file, text).expect("a file");
            fleet.signal(i, "-HUP");
        }
    };
    write("[zones]\nleave = true\nout = [\"b\"]\n");
    all_left(&fleet, "b");
    let since = Instant::now();
    calls_pass(&fleet, 500);
    assert!(called(&fleet, 'b', since) <= 60, "what was under way");
    write("[zones]\nleave = true\nout = [\"b\"]\nstay = [\"b\"]\n");
    all_say(&fleet, "operator's file not reloaded");
    assert!((0..SENDERS).all(|i| !whole(&fleet, i, "b")));
    write("[zones]\nleave = true\nstay = [\"b\"]\n");
    all_returned(&fleet, "b");
    fleet.down('b', true);
    until("it is seen", || fleet.status_of(1, "zones").is_some_and(|z| z["found"]["b"]["failed"] != 0.0));
    calls_pass(&fleet, 2_000);
    assert!((0..SENDERS).all(|i| whole(&fleet, i, "b")));
}

#[test]
fn senders_in_a_zone_that_is_left_send_their_clients_elsewhere_and_serve_those_that_come() {
    let fleet = leaving_with("give_way = true");
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    let up = |i: usize| Client::new(fleet.senders[i].address).ask("GET /up", &[], b"").status() == 200;
    assert!((0..SENDERS).all(up));
    fleet.down('b', true);
    all_left(&fleet, "b");
    until("those of b give way", || !up(1) && !up(4));
    assert!([0, 2, 3, 5].into_iter().all(up));
    // Who comes all the same is served, elsewhere.
    assert_eq!(fleet.hand_in(1, "update", 77, 5_000).status(), 202);
    until("it is delivered", || fleet.was_answered(77));
    fleet.down('b', false);
    until("they take clients again", || up(1) && up(4));
}

#[test]
fn notes_that_are_late_by_seconds_or_go_one_way_only_delay_leaving_and_returning_and_split_nothing() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    for i in 0..SENDERS {
        (0..SENDERS).filter(|&j| j != i).for_each(|j| fleet.delay(i, j, Duration::from_millis(1_500)));
    }
    // And nobody hears the third one, which hears all.
    (0..SENDERS).filter(|&j| j != 2).for_each(|j| fleet.cut_one_way(2, j));
    fleet.down('b', true);
    all_left(&fleet, "b");
    fleet.down('b', false);
    all_returned(&fleet, "b");
    let terms: Vec<_> = (0..SENDERS).filter_map(|i| of(&fleet, i, "b").map(|z| z.1)).collect();
    assert!(terms.len() == SENDERS && terms.iter().all(|t| *t == terms[0]), "{terms:?}");
}

#[test]
fn what_serves_in_a_zone_that_fails_for_most_is_called_there_as_before() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_500);
    fleet.effects.lock().expect("sound").down_dests = Some([3, 4].into());
    fleet.down('b', true);
    all_left(&fleet, "b");
    let since = Instant::now();
    calls_pass(&fleet, 3_000);
    let effects = fleet.effects.lock().expect("sound");
    let of = |dest| effects.called.iter().filter(|c| c.0 >= since && (c.1, c.2) == ('b', dest)).count();
    let (three, four, five) = (of(3), of(4), of(5));
    assert!(five > 100 && three + four < five / 2, "{three}, {four} and {five} calls of 3,000");
}

#[test]
fn a_destination_with_endpoints_only_in_the_zone_that_is_left_is_still_called_there() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.platform.tell(50, &[fleet.line('a', 5, "s", "removed"), fleet.line('c', 5, "s", "removed")]);
    calls_pass(&fleet, 500);
    fleet.down('b', true);
    all_left(&fleet, "b");
    // Messages for it wait for the zone, and are delivered in it, whoever holds them.
    let ids: Vec<u64> = (0..SENDERS as u64).map(|i| 7_000 + i).collect();
    for (i, &id) in ids.iter().enumerate() {
        let heard = Client::new(fleet.senders[i].address).hand_in("update", id, 5, 50_000, b"hello");
        assert_eq!(heard.status(), 202);
    }
    calls_pass(&fleet, 300);
    fleet.down('b', false);
    until("all are delivered", || ids.iter().all(|&id| fleet.was_answered(id)));
}

#[test]
fn a_zone_taken_off_the_list_while_it_is_left_and_back_under_new_ids_is_returned_to_step_by_step() {
    let fleet = leaving();
    let _load = Load::on(&fleet, 0..SENDERS);
    calls_pass(&fleet, 1_000);
    fleet.down('b', true);
    all_left(&fleet, "b");
    let lines = |name, phase| -> Vec<String> { (3..6).map(|d| fleet.line('b', d, name, phase)).collect() };
    fleet.platform.tell(50, &lines("s", "removed"));
    calls_pass(&fleet, 500);
    fleet.down('b', false);
    let back = Instant::now();
    fleet.platform.tell(51, &lines("t", "up"));
    // New names are no news of the zone: it is tried, and not called by all at once.
    calls_pass(&fleet, 300);
    let called = called(&fleet, 'b', back);
    assert!(called <= 60, "{called} of 300 calls");
    all_returned(&fleet, "b");
    let since = Instant::now();
    calls_pass(&fleet, 1_500);
    assert!(self::called(&fleet, 'b', since) > 200);
}
