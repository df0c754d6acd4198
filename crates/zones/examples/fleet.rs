//! Fleets in virtual time through zones that fail, are cut, flap, or fail two seconds apart: who leaves, who
//! is left behind, what is pushed over, and what it costs, beside senders that each find out for themselves;
//! and what trials and notes come to by the fleet's size.
//!
//! `cargo run --release -p notchpoint-zones --example fleet -- FOLDER [SEEDS [SENDERS]]` writes
//! `zones-size.csv`, `zones-size.svg` and `zones-return.svg`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use plotters::prelude::*;
use sim::{Fails, Fleet, MS, S, nothing, z1};
use std::fmt::Write;
use std::path::PathBuf;

type Failure = Box<dyn std::error::Error>;

const ZONES: usize = 3;
/// Messages a second of the whole fleet, whatever its size.
const RATE: f64 = 600.0;
const SIZES: [usize; 5] = [10, 30, 100, 300, 1_000];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Fails,
    Cut,
    Flaps,
    Two,
    Most,
}

const TROUBLES: [Trouble; 5] = [Trouble::Fails, Trouble::Cut, Trouble::Flaps, Trouble::Two, Trouble::Most];

/// What one seed came to.
#[derive(Clone, Copy, Debug, Default)]
struct Came {
    /// Of the calls from the failure's begin until all is over, the share that failed.
    failed: f64,
    /// Calls to zones that fail, a second while they do.
    trials: f64,
    pushed_over: usize,
    /// Senders that at some moment had left all zones, and that had not returned in the end.
    none_whole: usize,
    behind: usize,
    /// Senders that left a zone that serves.
    wrongly: usize,
}

fn fleet(seed: u64, senders: usize, together: bool) -> Fleet {
    let mut fleet =
        if together { Fleet::new(seed, senders, ZONES) } else { Fleet::watching(seed, senders, ZONES) };
    fleet.rate = RATE / senders as f64;
    fleet.run(5 * S, &nothing);
    (fleet.calls, fleet.failed) = (0, 0);
    fleet
}

/// Runs so long, and looks at every half second whether somebody has left all zones.
fn run(fleet: &mut Fleet, came: &mut Came, span: u64, fails: &Fails) {
    let until = fleet.now + span;
    while fleet.now < until {
        fleet.run((S / 2).min(until - fleet.now), fails);
        let whole = |i: &usize| (0..ZONES).any(|z| fleet.share(*i, z) >= 1.0);
        came.none_whole += (0..fleet.senders.len()).filter(|i| !whole(i)).count();
    }
}

fn play(seed: u64, senders: usize, together: bool, trouble: Trouble) -> Came {
    let mut fleet = fleet(seed, senders, together);
    let mut came = Came::default();
    let long = (8 + seed % 12) * S;
    let (calls, failed) = (fleet.calls, fleet.failed);
    let begun = fleet.now;
    match trouble {
        Trouble::Fails => run(&mut fleet, &mut came, long, &z1),
        Trouble::Most => run(&mut fleet, &mut came, long, &|_, z, d| z == 1 && d < 4),
        Trouble::Two => {
            run(&mut fleet, &mut came, 2 * S, &z1);
            run(&mut fleet, &mut came, long, &|_, z, _| z > 0);
            fleet.come_back(2);
        }
        Trouble::Flaps => {
            for _ in 0..4 {
                run(&mut fleet, &mut came, 7 * S, &z1);
                run(&mut fleet, &mut came, 3 * S, &nothing);
            }
        }
        Trouble::Cut => {
            fleet.cut = Box::new(|a, b| (a % 3, b % 3) == (0, 1) || (a % 3, b % 3) == (1, 0));
            run(&mut fleet, &mut came, long, &|i, z, _| (i % 3, z) == (0, 1) || (i % 3, z) == (1, 0));
            came.wrongly = (0..ZONES).map(|z| fleet.left(z)).sum();
            fleet.cut = Box::new(|_, _| false);
        }
    }
    came.trials = (fleet.failed - failed) as f64 / ((fleet.now - begun) as f64 / S as f64);
    // A cut leaves nothing cold, and neither does a zone of which most was down: the rest took its calls.
    if matches!(trouble, Trouble::Fails | Trouble::Two) {
        fleet.come_back(1);
    }
    run(&mut fleet, &mut came, 30 * S, &nothing);
    came.failed = (fleet.failed - failed) as f64 / (fleet.calls - calls).max(1) as f64;
    came.pushed_over = fleet.pushed_over;
    run(&mut fleet, &mut came, 120 * S, &nothing);
    came.behind = (0..ZONES).map(|z| fleet.left(z)).sum();
    came
}

/// Mean and standard error.
fn mean(all: &[f64]) -> (f64, f64) {
    let n = all.len().max(1) as f64;
    let mean = all.iter().sum::<f64>() / n;
    let var = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, (var / n).sqrt())
}

fn seeds(seeds: u64, senders: usize) -> Result<(), Failure> {
    println!("{seeds} seeds of each trouble, {senders} senders, {RATE} messages a second");
    println!("trouble  calls failed %, together and each alone   pushed over   none whole  behind  wrongly");
    for trouble in TROUBLES {
        // Threads of their own: a seed takes a second.
        let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(4);
        let one = |t: u64, together| {
            std::thread::spawn(move || -> Vec<Came> {
                let mine = (0..seeds).filter(|s| s % threads == t);
                mine.map(|s| play(1_000 + s, senders, together, trouble)).collect()
            })
        };
        let all = |together| -> Result<Vec<Came>, Failure> {
            let running: Vec<_> = (0..threads).map(|t| one(t, together)).collect();
            let mut came = Vec::new();
            for thread in running {
                came.extend(thread.join().map_err(|_| "a seed broke a rule of the model")?);
            }
            Ok(came)
        };
        let (with, without) = (all(true)?, all(false)?);
        let failed = |came: &[Came]| mean(&came.iter().map(|c| 100.0 * c.failed).collect::<Vec<_>>());
        let sum = |came: &[Came], of: fn(&Came) -> usize| came.iter().map(of).sum::<usize>();
        let ((a, a_se), (b, b_se)) = (failed(&with), failed(&without));
        println!(
            "{:8} {a:6.2} +- {a_se:.2}   {b:6.2} +- {b_se:.2}   {:6} ({} alone) {:6} {:6} {:6}",
            format!("{trouble:?}"),
            sum(&with, |c| c.pushed_over),
            sum(&without, |c| c.pushed_over),
            sum(&with, |c| c.none_whole),
            sum(&with, |c| c.behind),
            sum(&with, |c| c.wrongly),
        );
    }
    Ok(())
}

struct Size {
    senders: usize,
    rest: f64,
    notes: f64,
    tries: f64,
    first: f64,
    last: f64,
}

/// A zone that fails for a minute, in fleets of different size with the same traffic.
fn size(senders: usize) -> Size {
    let mut fleet = fleet(7, senders, true);
    let before = fleet.notes;
    fleet.run(8 * S, &nothing);
    let rest = (fleet.notes - before) as f64 / senders as f64 / 8.0;
    let begun = fleet.now;
    let (mut first, mut last) = (None, None);
    while last.is_none() && fleet.now < begun + 30 * S {
        fleet.run(100 * MS, &z1);
        let since = (fleet.now - begun) as f64 / S as f64;
        let left = fleet.left(1);
        first = first.or((left > 0).then_some(since));
        last = (left == senders).then_some(since);
    }
    let (notes, tries) = (fleet.notes, fleet.tries);
    fleet.run(60 * S, &z1);
    Size {
        senders,
        rest,
        notes: (fleet.notes - notes) as f64 / senders as f64 / 60.0,
        tries: (fleet.tries - tries) as f64 / 60.0,
        first: first.unwrap_or(f64::NAN),
        last: last.unwrap_or(f64::NAN),
    }
}

fn sizes(folder: &std::path::Path) -> Result<(), Failure> {
    let rows: Vec<Size> = SIZES.into_iter().map(size).collect();
    let mut table = String::from(
        "senders,notes_a_second_of_one_at_rest,notes_a_second_of_one_in_trouble,trials_a_second_of_all,\
         first_left_s,last_left_s\n",
    );
    for r in &rows {
        writeln!(
            table,
            "{},{:.2},{:.2},{:.2},{:.1},{:.1}",
            r.senders, r.rest, r.notes, r.tries, r.first, r.last
        )?;
    }
    print!("{table}");
    std::fs::write(folder.join("zones-size.csv"), &table)?;
    let path = folder.join("zones-size.svg");
    let area = SVGBackend::new(&path, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("A zone that fails for a minute, 600 messages a second in all", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d((10f64..1_000f64).log_scale(), 0f64..8f64)?;
    chart.configure_mesh().x_desc("senders").y_desc("a second, or seconds").draw()?;
    type Line = (&'static str, RGBColor, fn(&Size) -> f64);
    let lines: [Line; 4] = [
        ("notes a second, each sender", BLUE, |r| r.notes),
        ("trials a second, whole fleet", RED, |r| r.tries),
        ("first has left, s", GREEN, |r| r.first),
        ("last has left, s", MAGENTA, |r| r.last),
    ];
    for (name, colour, of) in lines {
        chart
            .draw_series(LineSeries::new(rows.iter().map(|r| (r.senders as f64, of(r))), &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// A leave and a return: calls to the zone's endpoints each half second, and what of them failed.
fn picture(folder: &std::path::Path, senders: usize) -> Result<(), Failure> {
    let mut fleet = fleet(3, senders, true);
    let mut rows: Vec<(f64, f64, f64, f64)> = Vec::new();
    let begun = fleet.now;
    for step in 0..90 {
        let (there, failed) = (fleet.called[1], fleet.failed);
        // All is well for 5 s, the zone is down for 12 s, and back.
        if step == 34 {
            fleet.come_back(1);
        }
        fleet.run(S / 2, if (10..34).contains(&step) { &z1 } else { &nothing });
        let share = (0..senders).map(|i| fleet.share(i, 1)).sum::<f64>() / senders as f64;
        let at = (fleet.now - begun) as f64 / S as f64;
        rows.push((at, 2.0 * (fleet.called[1] - there) as f64, 2.0 * (fleet.failed - failed) as f64, share));
    }
    let path = folder.join("zones-return.svg");
    let area = SVGBackend::new(&path, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|r| r.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("A zone down from 5 to 17 s, {senders} senders"), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0f64..45f64, 0f64..1.1 * most)?;
    chart.configure_mesh().x_desc("seconds").y_desc("calls a second to the zone").draw()?;
    type Line = (&'static str, RGBColor, fn(&(f64, f64, f64, f64), f64) -> f64);
    let lines: [Line; 3] = [
        ("calls to the zone", BLUE, |r, _| r.1),
        ("calls that failed", RED, |r, _| r.2),
        ("mean share of the senders (top: the whole)", GREEN, |r, most| r.3 * most),
    ];
    for (name, colour, of) in lines {
        chart
            .draw_series(LineSeries::new(rows.iter().map(|r| (r.0, of(r, most))), &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Failure> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().ok_or("which folder?")?);
    let count = args.next().map_or(Ok(20), |n| n.parse())?;
    let senders = args.next().map_or(Ok(300), |n| n.parse())?;
    picture(&folder, 30)?;
    sizes(&folder)?;
    seeds(count, senders)
}
