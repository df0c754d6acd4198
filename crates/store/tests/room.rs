//! Room: refusals, reserves, relaxed writes, and the cost of a step.

mod sim;

use notchpoint_seam::Disk;
use notchpoint_store::{Batch, Durability, Error, Options, Store, Table, WriteKind};
use sim::{Fault, Hands, Sim};
use std::io::ErrorKind;
use std::rc::Rc;

const T: Table = Table(1);

fn put(key: u64, len: usize) -> Batch {
    let mut batch = Batch::default();
    batch.put(T, &key.to_be_bytes(), &vec![7; len]);
    batch
}

fn end(key: u64) -> Batch {
    let mut batch = Batch::default();
    batch.delete_prefix(T, &key.to_be_bytes());
    batch
}

#[test]
fn a_folder_of_three_megabytes_under_triple_load_is_never_over() {
    // Bodies of up to 64 KiB, three times what fits: new work is refused, ends never are, and room comes
    // back.
    let sim = Sim::new(1, None);
    let set = Options { reserve_bytes: 40_000, ..Options::new(5, 3_000_000) };
    let (mut store, _) = Store::open(Rc::new(Hands(sim.clone())), set).expect("a store");
    let (mut open, mut refused) = (std::collections::VecDeque::new(), 0);
    for n in 0..2_000u64 {
        let len = [200, 3_000, 20_000, 65_536][n as usize % 4];
        match store.apply(&put(n, len), WriteKind::New) {
            Ok(_) => open.push_back(n),
            Err(Error::Full) => refused += 1,
            Err(e) => panic!("{e}"),
        }
        store.set_expected_end_bytes(open.len() as u64 * 96);
        // A third of what comes in ends.
        if n % 3 == 0
            && let Some(first) = open.pop_front()
        {
            store.apply(&end(first), WriteKind::End).expect("an end finds room");
        }
        assert!(sim.most.get() <= 3_000_000, "{}", sim.most.get());
    }
    assert!(refused > 400, "{refused}");
    let live = store.stats().live_bytes;
    assert!(live > 1_000_000, "much of the room is used: {live}");
    for n in open {
        store.apply(&end(n), WriteKind::End).expect("an end finds room");
    }
    store.apply(&put(9_999, 65_536), WriteKind::New).expect("room is back");
}

#[test]
fn when_the_disk_itself_is_full_ends_use_what_was_kept_for_them() {
    let sim = Sim::new(1, None);
    let set = Options { reserve_bytes: 8_000, ..Options::new(5, 3_000_000) };
    let (mut store, _) = Store::open(Rc::new(Hands(sim.clone())), set).expect("a store");
    for n in 0..20 {
        store.apply(&put(n, 100), WriteKind::New).expect("room");
    }
    assert!(sim.files().contains_key("reserve"));
    sim.inject(1, Fault::Once(ErrorKind::StorageFull));
    assert!(matches!(store.apply(&put(50, 100), WriteKind::New), Err(Error::Io(_))), "new work is refused");
    sim.inject(1, Fault::Once(ErrorKind::StorageFull));
    store.apply(&end(1), WriteKind::End).expect("an end is written");
    assert!(!sim.files().contains_key("reserve"), "its room was given up");
    // It is made again once there is room for a while, and the store never stopped.
    for n in 100..600 {
        store.apply(&put(n, 10), WriteKind::New).expect("room");
    }
    assert!(sim.files().contains_key("reserve"));
    assert!(!store.contains_key(T, &1u64.to_be_bytes()) && !store.contains_key(T, &50u64.to_be_bytes()));
}

#[test]
fn what_may_be_lost_is_written_with_the_next_record_and_read_before() {
    let sim = Sim::new(1, None);
    let (mut store, _) =
        Store::open(Rc::new(Hands(sim.clone())), Options::new(5, 3_000_000)).expect("a store");
    let before = sim.files()["0000000001.log"].len();
    store.apply(&put(1, 50), WriteKind::Deferred).expect("kept");
    assert_eq!(sim.files()["0000000001.log"].len(), before);
    assert_eq!(store.get(T, &1u64.to_be_bytes()).expect("read"), Some(vec![7; 50]));
    store.apply(&put(2, 50), WriteKind::Update).expect("written");
    assert!(sim.files()["0000000001.log"].len() > before + 150);
    store.apply(&put(3, 50), WriteKind::Deferred).expect("kept");
    store.flush().expect("written");
    drop(store);
    let (store, _) = Store::open(Rc::new(Hands(sim)), Options::new(5, 3_000_000)).expect("a store");
    assert_eq!(store.stats().key_count, 3);
}

#[test]
fn damage_that_compaction_meets_loses_nothing_and_is_said() {
    let sim = Sim::new(1, None);
    let set = || Options { segment_len: Some(4_000), ..Options::new(5, 100_000) };
    let (mut store, _) = Store::open(Rc::new(Hands(sim.clone())), set()).expect("a store");
    for n in 0..30 {
        store.apply(&put(n, 400), WriteKind::Update).expect("room");
    }
    sim.spoil("0000000001.log", 200);
    for n in 0..400 {
        let _ = store.apply(&put(n % 30 + 30, 400), WriteKind::New);
    }
    let damage = store.compaction_error().expect("it was met").to_string();
    assert!(damage.starts_with("0000000001.log, byte 64"), "{damage}");
    assert!(sim.files().contains_key("0000000001.log"), "what is damaged is kept");
    assert!(store.get(T, &0u64.to_be_bytes()).is_err(), "and not taken for sound");
    assert!(store.get(T, &29u64.to_be_bytes()).is_ok_and(|v| v.is_some()));
}

#[test]
fn a_batch_that_no_frame_holds_is_refused() {
    let (mut store, _) =
        Store::open(Rc::new(Hands(Sim::new(1, None))), Options::new(5, 1 << 30)).expect("a store");
    assert!(matches!(store.apply(&put(1, 2 << 20), WriteKind::New), Err(Error::TooLong)));
    let mut long = Batch::default();
    long.put(T, &[1; 300], &[]);
    assert!(matches!(store.apply(&long, WriteKind::New), Err(Error::TooLong)));
    assert_eq!(store.stats().key_count, 0);
}

#[test]
fn power_waits_for_a_sync_and_process_does_not() {
    for (durability, firm) in [(Durability::Process, true), (Durability::Power, false)] {
        let set = Options { durability, ..Options::new(5, 3_000_000) };
        let (mut store, _) = Store::open(Rc::new(Hands(Sim::new(1, None))), set).expect("a store");
        let mark = store.apply(&put(1, 10), WriteKind::New).expect("written");
        assert_eq!(store.is_durable(&mark), firm);
        store.sync_now().expect("synced");
        assert!(store.is_durable(&mark));
    }
}

#[test]
fn what_others_have_in_the_folder_counts() {
    // Guards against a limit that is only kept by what is in force: 1.5 MB are not the store's.
    let sim = Sim::new(1, None);
    let mut foreign = Hands(sim.clone()).append("foreign").expect("a file");
    foreign.write_all(&vec![0; 1_500_000]).expect("written");
    let (mut store, _) =
        Store::open(Rc::new(Hands(sim.clone())), Options::new(5, 3_000_000)).expect("a store");
    let taken = (0..500).filter(|n| store.apply(&put(*n, 10_000), WriteKind::New).is_ok()).count();
    assert!(taken > 50 && sim.most.get() <= 3_000_000, "{taken} taken, {} used", sim.most.get());
}
