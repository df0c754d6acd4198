//! The rules over a fleet in virtual time: what was promised ends, and nothing that must not be repeated
//! takes effect twice, whatever falls out. Guards taken out are found.

mod sim;

use notchpoint_copies::Event;
use rand::Rng;
use sim::{Fleet, MS, Mutant, S};

/// A day of random faults: 5 to 9 senders, losses with the folder, kills, stops, cuts of one way or both,
/// slow links, disks that fill.
fn day(seed: u64, mutant: Mutant) -> (Result<(), String>, Fleet) {
    let count = 1 + (seed % 2) as usize;
    let n = 5 + (seed % 5) as usize;
    let mut fleet = Fleet::new(seed, n, count, mutant);
    fleet.run(S);
    for step in 0..350 {
        for _ in 0..3 {
            let (i, careful) = (fleet.rng.random_range(0..n), fleet.rng.random_bool(0.6));
            let time = fleet.rng.random_range(S / 2..8 * S);
            fleet.hand_in(i, careful, time);
        }
        fleet.run(100 * MS);
        // Faults for 4 s; 3 s to hear one another again and to copy what lacks copies; then as many machines
        // are lost as copies are for, and the next faults begin at once.
        let phase = step % 70;
        if phase == 40 {
            fleet.heal();
            (0..n).for_each(|x| fleet.fill_disk(x, false));
        }
        if phase == 69 {
            let first = fleet.rng.random_range(0..n);
            for k in 0..fleet.rng.random_range(1..=count) {
                let back = fleet.rng.random_range(200 * MS..2 * S);
                fleet.lose((first + k) % n, back);
            }
        }
        fleet.faults = phase < 40;
        if phase < 40 {
            fault(&mut fleet);
        }
    }
    fleet.faults = false;
    fleet.heal();
    (0..n).for_each(|x| fleet.fill_disk(x, false));
    fleet.run(20 * S);
    (fleet.check(), fleet)
}

/// Perhaps something fails.
fn fault(fleet: &mut Fleet) {
    let n = fleet.len();
    let (a, b) = (fleet.rng.random_range(0..n), fleet.rng.random_range(0..n));
    let how_long = fleet.rng.random_range(100 * MS..5 * S);
    match fleet.rng.random_range(0..24) {
        0 => fleet.kill(a, how_long / 3),
        1 => fleet.stop(a, how_long),
        2 | 3 if a != b => fleet.cut(a, b, how_long),
        4 if a != b => {
            fleet.cut(a, b, how_long);
            fleet.cut(b, a, how_long);
        }
        5 => (0..n).filter(|&x| x != a).for_each(|x| {
            fleet.cut(a, x, how_long);
            fleet.cut(x, a, how_long);
        }),
        6 if a != b => fleet.delay(a, b, how_long / 10, how_long),
        7 => fleet.fill_disk(a, true),
        8 | 9 => (0..n).for_each(|x| fleet.fill_disk(x, false)),
        _ => {}
    }
}

#[test]
fn whatever_falls_out_promises_are_kept_and_nothing_takes_effect_twice() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    let from: u64 = std::env::var("FROM").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let (mut took, mut lost, mut promised, mut delivered, mut careful_dead) = (0, 0, 0, 0, 0);
    for seed in from..from + seeds {
        let (kept, fleet) = day(seed, Mutant::None);
        if let Err(why) = kept {
            panic!("seed {seed}: {why}");
        }
        took += fleet.took;
        lost += fleet.lost;
        promised += fleet.facts.values().filter(|f| f.promised.is_some()).count();
        delivered += fleet.facts.values().filter(|f| f.promised.is_some() && f.delivered > 0).count();
        careful_dead +=
            fleet.facts.values().filter(|f| f.promised.is_some() && f.careful && f.dead > 0).count();
    }
    println!(
        "{seeds} seeds: {lost} machines lost, {took} messages taken over, {promised} promised, \
         {delivered} delivered, {careful_dead} careful ones dead"
    );
    // The day is one that tells something.
    assert!(took as u64 > 5 * seeds && lost as u64 > seeds && delivered * 10 > promised * 7);
}

/// A guard is out: some day among these must show it.
fn is_found(mutant: Mutant, shows: &str) {
    for seed in 1..=60 {
        if let (Err(why), _) = day(seed, mutant) {
            assert!(why.contains(shows), "{mutant:?}, seed {seed}: {why}");
            return;
        }
    }
    panic!("{mutant:?} is not found");
}

#[test]
fn attempts_without_a_word_to_anyone_are_found() {
    is_found(Mutant::NoIntent, "took effect");
}

#[test]
fn attempts_that_do_not_wait_for_consent_are_found() {
    is_found(Mutant::IntentNotAwaited, "took effect");
}

#[test]
fn a_witness_that_does_not_look_at_terms_is_found() {
    // An owner that was stopped, and goes on after the takeover where it was: whoever took over cannot tell
    // it so, and the other witness can.
    let stopped = |mutant| {
        let fleet = three(mutant, |fleet| {
            fleet.full = 100;
            for _ in 0..20 {
                fleet.hand_in(0, true, 9 * S);
            }
            fleet.run(100 * MS);
            fleet.stop(0, 4 * S);
            for (a, b) in [(0, 1), (1, 0)] {
                fleet.cut(a, b, 12 * S);
            }
            fleet.run(3 * S);
            fleet.full = 0;
        });
        assert!(fleet.took > 0);
        fleet.check()
    };
    assert_eq!(stopped(Mutant::None), Ok(()));
    let found = stopped(Mutant::TermNotChecked);
    assert!(found.is_err_and(|e| e.contains("took effect") || e.contains("more attempts")));
}

#[test]
fn a_promise_before_any_keeper_has_the_message_is_found() {
    let lost = |mutant| {
        let fleet = three(mutant, |fleet| {
            fleet.hand_in(0, true, 4 * S);
            fleet.lose(0, S);
        });
        fleet.check()
    };
    assert_eq!(lost(Mutant::None), Ok(()), "nobody was told anything");
    assert!(lost(Mutant::PromiseBeforeKeeper).is_err_and(|e| e.contains("never ended")));
}

#[test]
fn a_refusal_that_others_may_contradict_is_found() {
    // Cut off with what others deliver, until its time is up.
    let cut_off = |mutant| {
        let fleet = three(mutant, |fleet| {
            fleet.full = 100;
            for _ in 0..20 {
                fleet.hand_in(0, true, 5 * S);
            }
            fleet.run(100 * MS);
            for other in [1, 2] {
                fleet.cut(0, other, 8 * S);
                fleet.cut(other, 0, 8 * S);
            }
            fleet.run(2 * S);
            fleet.full = 0;
        });
        assert!(fleet.took > 0);
        fleet.check()
    };
    assert_eq!(cut_off(Mutant::None), Ok(()));
    assert!(cut_off(Mutant::BounceWithoutConsent).is_err_and(|e| e.contains("harmless to hand in again")));
}

/// Three senders, the first of which hears two messages; then what `fails` does, and time passes.
fn three(mutant: Mutant, fails: impl FnOnce(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new(7, 3, 1, mutant);
    fleet.run(S);
    (fleet.full, fleet.silent, fleet.takes) = (0, 0, 20 * MS);
    fails(&mut fleet);
    fleet.run(10 * S);
    fleet
}

#[test]
fn one_accusing_link_takes_nothing_over_where_others_still_hear_the_owner() {
    let accused = |mutant| {
        three(mutant, |fleet| {
            // Refused all the time, so that they are there to be taken over.
            fleet.full = 100;
            for n in 0..20 {
                fleet.hand_in(0, n % 2 == 0, 8 * S);
            }
            fleet.run(100 * MS);
            fleet.cut(0, 1, 6 * S);
        })
    };
    let fleet = accused(Mutant::None);
    assert_eq!((fleet.took, fleet.check()), (0, Ok(())));
    assert!(accused(Mutant::OneAccusingLink).took > 0, "a witness that grants all the same is found");
}

#[test]
fn who_returns_with_its_folder_asks_before_it_sends_anything() {
    // Taken over and delivered while it was away: what may be repeated would be sent once more.
    let effects = |mutant| {
        let fleet = three(mutant, |fleet| {
            fleet.full = 100;
            for _ in 0..10 {
                fleet.hand_in(0, false, 20 * S);
            }
            fleet.run(100 * MS);
            fleet.kill(0, 4 * S);
            fleet.full = 0;
        });
        assert_eq!(fleet.check(), Ok(()));
        assert!(fleet.took >= 10, "{}", fleet.took);
        fleet.facts.values().map(|f| f.effects).max()
    };
    assert_eq!(effects(Mutant::None), Some(1));
    assert_eq!(effects(Mutant::ReturnWithoutAsking), Some(2), "found");
}

#[test]
fn who_returns_sends_nothing_of_what_was_taken_over_and_has_ended_since() {
    // Whoever took it over has nothing of it any more, and its own word may come after the answer to a
    // question: that it owns nothing now must not be taken for a claim that it did not go on with.
    for seed in 1..=200 {
        let mut fleet = Fleet::new(seed, 3, 1, Mutant::None);
        fleet.run(S);
        (fleet.full, fleet.silent, fleet.takes) = (100, 0, 20 * MS);
        for _ in 0..10 {
            fleet.hand_in(0, false, 20 * S);
        }
        fleet.run(100 * MS);
        // Who dials whom first differs.
        fleet.kill(0, 4 * S + (seed % 50) * MS);
        fleet.full = 0;
        fleet.run(10 * S);
        assert_eq!(fleet.check(), Ok(()), "seed {seed}");
        assert!(fleet.took >= 10, "seed {seed}: {}", fleet.took);
        let most = fleet.facts.values().map(|f| f.effects).max();
        assert_eq!(most, Some(1), "seed {seed}: sent once more by who returned");
    }
}

#[test]
fn a_restart_within_the_silence_is_no_takeover() {
    let fleet = three(Mutant::None, |fleet| {
        fleet.full = 100;
        for n in 0..20 {
            fleet.hand_in(0, n % 2 == 0, 8 * S);
        }
        fleet.run(100 * MS);
        fleet.kill(0, 600 * MS);
    });
    assert_eq!((fleet.took, fleet.gave, fleet.check()), (0, 0, Ok(())));
}

#[test]
fn nothing_is_left_behind_anywhere_once_all_has_ended() {
    let left = |mutant| {
        let fleet = three(mutant, |fleet| {
            (fleet.full, fleet.silent) = (30, 10);
            for n in 0..200 {
                fleet.hand_in(n % 3, n % 2 == 0, 3 * S);
                fleet.run(10 * MS);
            }
        });
        assert_eq!(fleet.check(), Ok(()));
        fleet.left()
    };
    assert_eq!(left(Mutant::None), (0, 0, 0), "messages, copies, what witnesses remember");
    let (_, copies, seats) = left(Mutant::EndNotTold);
    assert!(copies + seats > 100, "an end that is not told is found: {copies}, {seats}");
}

#[test]
fn who_is_stopped_between_consent_and_first_byte_is_the_only_one_that_attempts() {
    let fleet = three(Mutant::None, |fleet| {
        // Every consent is followed by a stop of several seconds.
        fleet.faults = true;
        for _ in 0..200 {
            fleet.hand_in(0, true, 8 * S);
            fleet.run(20 * MS);
        }
        fleet.faults = false;
    });
    assert_eq!(fleet.check(), Ok(()));
    assert!(fleet.took > 0);
    let stopped = fleet.facts.values().filter(|f| f.careful && f.dead > 0 && f.effects == 1).count();
    assert!(stopped > 0, "one that may have run was ended by who took it over, and ran");
}

#[test]
fn both_sides_of_a_cut_live_and_only_one_sends_what_must_not_be_repeated() {
    let fleet = three(Mutant::None, |fleet| {
        fleet.full = 60;
        for n in 0..60 {
            fleet.hand_in(n % 3, n % 2 == 0, 8 * S);
            fleet.run(10 * MS);
        }
        for other in [1, 2] {
            fleet.cut(0, other, 5 * S);
            fleet.cut(other, 0, 5 * S);
        }
        fleet.run(2 * S);
        fleet.full = 0;
    });
    assert_eq!(fleet.check(), Ok(()));
    assert!(fleet.took > 0 && fleet.said.iter().any(|s| matches!(s.2, Event::GaveUp { .. })));
}

#[test]
fn two_of_four_lost_at_once_lose_nothing_with_two_copies() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(seed, 4, 2, Mutant::None);
        fleet.run(S);
        fleet.full = 60;
        for n in 0..80 {
            fleet.hand_in(n % 4, n % 2 == 0, 8 * S);
            fleet.run(10 * MS);
        }
        fleet.lose(0, 30 * S);
        fleet.run(500 * MS);
        fleet.lose(1, 30 * S);
        fleet.run(15 * S);
        assert_eq!(fleet.check(), Ok(()), "seed {seed}");
        assert!(fleet.took > 0);
    }
}

#[test]
fn what_a_witness_gives_up_for_want_of_room_is_never_attempted_on_its_word() {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(seed, 3, 1, Mutant::None);
        fleet.seats = 8;
        (0..3).for_each(|i| fleet.lose(i, 0));
        fleet.run(S);
        fleet.full = 50;
        for n in 0..200 {
            fleet.hand_in(n % 3, true, 4 * S);
            fleet.run(5 * MS);
            if n == 100 {
                fleet.kill(0, 3 * S);
            }
        }
        fleet.run(15 * S);
        assert_eq!(fleet.check(), Ok(()), "seed {seed}");
    }
}

/// Eight machines of five lost one after another with one copy, each so long after the one before, or once
/// all say that another loss can be borne. Gives the messages promised, those without an end, and how long it
/// took.
fn one_after_another(seed: u64, gap: Option<u64>) -> (usize, usize, u64) {
    let mut fleet = Fleet::new(seed, 5, 1, Mutant::None);
    fleet.run(S);
    let begun = fleet.now;
    for n in 0..8 {
        fleet.full = 80;
        for k in 0..50 {
            fleet.hand_in(k % 5, k % 2 == 0, 30 * S);
            fleet.run(2 * MS);
        }
        fleet.lose(n % 5, 100 * MS);
        fleet.full = 0;
        match gap {
            Some(gap) => fleet.run(gap.saturating_sub(100 * MS)),
            None => {
                fleet.run(200 * MS);
                assert!(fleet.run_until_mended(), "{:?}", fleet.stakes());
            }
        }
    }
    let took = fleet.now - begun;
    fleet.run(40 * S);
    let promised = || fleet.facts.values().filter(|f| f.promised.is_some());
    (promised().count(), promised().filter(|f| !f.ended()).count(), took / 8)
}

#[test]
fn a_loss_that_comes_before_the_one_before_is_mended_may_cost_and_none_that_waits_for_it_does() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(20);
    println!("a loss every | promised | without an end");
    let mut hasty = 0;
    for gap in [Some(250 * MS), Some(400 * MS), Some(700 * MS), Some(S), None] {
        let all: Vec<_> = (1..=seeds).map(|seed| one_after_another(seed, gap)).collect();
        let sum = |of: fn(&(usize, usize, u64)) -> usize| all.iter().map(of).sum::<usize>();
        let (promised, lost) = (sum(|a| a.0), sum(|a| a.1));
        let each = sum(|a| a.2 as usize) as u64 / seeds / MS;
        println!("{each} ms{} | {promised} | {lost}", if gap.is_none() { ", when whole" } else { "" });
        match gap {
            None => assert_eq!(lost, 0, "another loss could be borne, as all said"),
            Some(_) => hasty += lost,
        }
    }
    assert!(hasty > 0, "the day shows nothing");
}
