//! Reads the senders' view of partners from their flight recordings: windows, calls in flight and messages
//! held in each second of a run. The checker does not use it.

use crate::scenario::Scenario;
use crate::virt::EPOCH;
use notchpoint_policy::Sender;
use notchpoint_recorder::format::{Header, Turn};
use notchpoint_recorder::replay::ReplayObserver;
use notchpoint_recorder::{Recording, replay, store};
use std::path::Path;

/// The senders' view of one partner, summed over all senders and routes; one value for each second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SenderViewSeries {
    /// Sum of the windows.
    pub window: Vec<f64>,
    /// Calls in flight.
    pub in_flight: Vec<f64>,
    /// Messages held without a call in flight.
    pub held: Vec<f64>,
}

/// Reads the recordings that senders left in `folder` during a run of `seconds` seconds, whose time zero was
/// `startup_micros` after the start of the environment. Returns a series for each partner in the
/// scenario's order.
///
/// # Errors
/// Fails if a recording cannot be read or was made by another build.
pub fn read(
    folder: &Path,
    scenario: &Scenario,
    seconds: usize,
    startup_micros: u64,
) -> Result<Vec<SenderViewSeries>, String> {
    let empty = || vec![0.0; seconds];
    let new_series = || SenderViewSeries { window: empty(), in_flight: empty(), held: empty() };
    let mut series: Vec<SenderViewSeries> = scenario.partner.iter().map(|_| new_series()).collect();
    let partners: Vec<usize> = scenario.destinations().into_iter().map(|destination| destination.0).collect();
    for sender in 0..scenario.senders.count {
        let path = folder.join(format!("n{sender}"));
        let bytes = store::load(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let recording = Recording::read(&bytes);
        let mut sampler = Sampler {
            zero: EPOCH + startup_micros,
            partners: &partners,
            offset: 0,
            next: 0,
            last: vec![[0.0; 3]; series.len()],
            series: &mut series,
        };
        let done = replay(&recording, &mut sampler);
        if let Some(difference) = done.difference {
            return Err(format!("{}: {difference}", path.display()));
        }
    }
    Ok(series)
}

struct Sampler<'a> {
    /// Unix time of the run's time zero.
    zero: u64,
    /// The partner of each destination.
    partners: &'a [usize],
    /// Unix time minus the clock of the decision module.
    offset: i128,
    /// The second that is written next.
    next: usize,
    /// Values at the last tick, by partner: window, calls in flight, messages held.
    last: Vec<[f64; 3]>,
    series: &'a mut [SenderViewSeries],
}

impl Sampler<'_> {
    /// Writes the last values for all seconds that began before `at`.
    fn advance(&mut self, at: u64) {
        let now = i128::from(at) + self.offset - i128::from(self.zero);
        while (self.next as i128) * 1_000_000 < now {
            for (series_of_partner, last) in self.series.iter_mut().zip(&self.last) {
                if let Some(window) = series_of_partner.window.get_mut(self.next) {
                    *window += last[0];
                    series_of_partner.in_flight[self.next] += last[1];
                    series_of_partner.held[self.next] += last[2];
                }
            }
            self.next += 1;
        }
    }

    fn sample(&mut self, sender: &Sender) {
        self.last.iter_mut().for_each(|sample| *sample = [0.0; 3]);
        // Destinations are counted from 1 in the senders' endpoint list.
        let partner = |dest: u64| self.partners.get((dest as usize).checked_sub(1)?).copied();
        for view in sender.route_views(None) {
            if let Some(partner_index) = partner(view.dest.0) {
                self.last[partner_index][0] += view.window;
                self.last[partner_index][1] += f64::from(view.in_flight);
            }
        }
        for (_, _, dest, in_flight) in sender.open_messages() {
            if let Some(partner_index) = partner(dest.0).filter(|_| !in_flight) {
                self.last[partner_index][2] += 1.0;
            }
        }
    }
}

impl ReplayObserver for Sampler<'_> {
    fn on_segment(&mut self, header: &Header, sender: &Sender, goes_on: bool) {
        if !goes_on {
            // There are no windows between two processes.
            self.last.iter_mut().for_each(|sample| *sample = [0.0; 3]);
            self.offset = i128::from(header.unix) - i128::from(header.at);
            self.advance(header.at);
        }
        self.sample(sender);
    }

    fn on_turn(&mut self, turn: &Turn, sender: &Sender) {
        self.advance(turn.at);
        self.sample(sender);
    }
}
