//! Space management: refusals, the reserve, deferred writes, damage during compaction and foreign files.

mod sim;

use notchpoint_seam::Disk;
use notchpoint_store::{Batch, Durability, Error, Options, Store, Table, WriteKind};
use sim::{Fault, ProcessDisk, SimDisk};
use std::io::ErrorKind;
use std::rc::Rc;

const TABLE: Table = Table(1);

fn put(key: u64, len: usize) -> Batch {
    let mut batch = Batch::default();
    batch.put(TABLE, &key.to_be_bytes(), &vec![7; len]);
    batch
}

fn end(key: u64) -> Batch {
    let mut batch = Batch::default();
    batch.delete_prefix(TABLE, &key.to_be_bytes());
    batch
}

#[test]
fn folder_of_three_megabytes_under_triple_load_never_exceeds_its_limit() {
    // Bodies of up to 64 KiB, three times as many as fit: new items are refused, ends never are, and space is
    // freed again.
    let sim = SimDisk::new(1, None);
    let options = Options { reserve_bytes: 40_000, ..Options::new(5, 3_000_000) };
    let (mut store, _) = Store::open(Rc::new(ProcessDisk(sim.clone())), options).expect("a store");
    let (mut open, mut refused) = (std::collections::VecDeque::new(), 0);
    for n in 0..2_000u64 {
        let len = [200, 3_000, 20_000, 65_536][n as usize % 4];
        match store.apply(&put(n, len), WriteKind::New) {
            Ok(_) => open.push_back(n),
            Err(Error::Full) => refused += 1,
            Err(e) => panic!("{e}"),
        }
        store.set_expected_end_bytes(open.len() as u64 * 96);
        // An item is ended for every third one submitted.
        if n % 3 == 0
            && let Some(first) = open.pop_front()
        {
            store.apply(&end(first), WriteKind::End).expect("space for an end");
        }
        assert!(sim.max_used_bytes.get() <= 3_000_000, "{}", sim.max_used_bytes.get());
    }
    assert!(refused > 400, "{refused}");
    let live = store.stats().live_bytes;
    assert!(live > 1_000_000, "most of the space is used: {live}");
    for n in open {
        store.apply(&end(n), WriteKind::End).expect("space for an end");
    }
    store.apply(&put(9_999, 65_536), WriteKind::New).expect("space is freed");
}

#[test]
fn on_a_full_disk_ends_use_the_reserve() {
    let sim = SimDisk::new(1, None);
    let options = Options { reserve_bytes: 8_000, ..Options::new(5, 3_000_000) };
    let (mut store, _) = Store::open(Rc::new(ProcessDisk(sim.clone())), options).expect("a store");
    for n in 0..20 {
        store.apply(&put(n, 100), WriteKind::New).expect("space");
    }
    assert!(sim.files().contains_key("reserve"));
    sim.inject(1, Fault::Once(ErrorKind::StorageFull));
    assert!(matches!(store.apply(&put(50, 100), WriteKind::New), Err(Error::Io(_))), "new items are refused");
    sim.inject(1, Fault::Once(ErrorKind::StorageFull));
    store.apply(&end(1), WriteKind::End).expect("an end is written");
    assert!(!sim.files().contains_key("reserve"), "the reserve was removed");
    // The reserve is created again after a number of writes with enough space, and the store keeps working.
    for n in 100..600 {
        store.apply(&put(n, 10), WriteKind::New).expect("space");
    }
    assert!(sim.files().contains_key("reserve"));
    assert!(
        !store.contains_key(TABLE, &1u64.to_be_bytes()) && !store.contains_key(TABLE, &50u64.to_be_bytes())
    );
}

#[test]
fn deferred_write_is_readable_at_once_and_written_with_the_next_record() {
    let sim = SimDisk::new(1, None);
    let (mut store, _) =
        Store::open(Rc::new(ProcessDisk(sim.clone())), Options::new(5, 3_000_000)).expect("a store");
    let before = sim.files()["0000000001.log"].len();
    store.apply(&put(1, 50), WriteKind::Deferred).expect("buffered");
    assert_eq!(sim.files()["0000000001.log"].len(), before);
    assert_eq!(store.get(TABLE, &1u64.to_be_bytes()).expect("read"), Some(vec![7; 50]));
    store.apply(&put(2, 50), WriteKind::Update).expect("written");
    assert!(sim.files()["0000000001.log"].len() > before + 150);
    store.apply(&put(3, 50), WriteKind::Deferred).expect("buffered");
    store.flush().expect("written");
    drop(store);
    let (store, _) = Store::open(Rc::new(ProcessDisk(sim)), Options::new(5, 3_000_000)).expect("a store");
    assert_eq!(store.stats().key_count, 3);
}

#[test]
fn damage_found_by_compaction_is_reported_and_loses_nothing() {
    let sim = SimDisk::new(1, None);
    let options = || Options { segment_len: Some(4_000), ..Options::new(5, 100_000) };
    let (mut store, _) = Store::open(Rc::new(ProcessDisk(sim.clone())), options()).expect("a store");
    for n in 0..30 {
        store.apply(&put(n, 400), WriteKind::Update).expect("space");
    }
    sim.corrupt("0000000001.log", 200);
    for n in 0..400 {
        let _ = store.apply(&put(n % 30 + 30, 400), WriteKind::New);
    }
    let damage = store.compaction_error().expect("compaction found the damage").to_string();
    assert!(damage.starts_with("0000000001.log, byte 64"), "{damage}");
    assert!(sim.files().contains_key("0000000001.log"), "the damaged segment is kept");
    assert!(store.get(TABLE, &0u64.to_be_bytes()).is_err(), "and its damaged frame is not read");
    assert!(store.get(TABLE, &29u64.to_be_bytes()).is_ok_and(|v| v.is_some()));
}

#[test]
fn batch_too_long_for_a_frame_is_refused() {
    let (mut store, _) =
        Store::open(Rc::new(ProcessDisk(SimDisk::new(1, None))), Options::new(5, 1 << 30)).expect("a store");
    assert!(matches!(store.apply(&put(1, 2 << 20), WriteKind::New), Err(Error::TooLong)));
    let mut long = Batch::default();
    long.put(TABLE, &[1; 300], &[]);
    assert!(matches!(store.apply(&long, WriteKind::New), Err(Error::TooLong)));
    assert_eq!(store.stats().key_count, 0);
}

#[test]
fn only_power_durability_waits_for_a_sync() {
    for (durability, is_durable) in [(Durability::Process, true), (Durability::Power, false)] {
        let options = Options { durability, ..Options::new(5, 3_000_000) };
        let (mut store, _) =
            Store::open(Rc::new(ProcessDisk(SimDisk::new(1, None))), options).expect("a store");
        let position = store.apply(&put(1, 10), WriteKind::New).expect("written");
        assert_eq!(store.is_durable(&position), is_durable);
        store.sync_now().expect("synced");
        assert!(store.is_durable(&position));
    }
}

#[test]
fn foreign_files_count_against_the_limit() {
    // Guards against a limit that only counts live records: 1.5 MB of the folder belong to another program.
    let sim = SimDisk::new(1, None);
    let mut foreign = ProcessDisk(sim.clone()).append("foreign").expect("a file");
    foreign.write_all(&vec![0; 1_500_000]).expect("written");
    let (mut store, _) =
        Store::open(Rc::new(ProcessDisk(sim.clone())), Options::new(5, 3_000_000)).expect("a store");
    let accepted = (0..500).filter(|n| store.apply(&put(*n, 10_000), WriteKind::New).is_ok()).count();
    assert!(
        accepted > 50 && sim.max_used_bytes.get() <= 3_000_000,
        "{accepted} accepted, {} used",
        sim.max_used_bytes.get()
    );
}
