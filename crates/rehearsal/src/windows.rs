//! What senders believed of partners while a run was played: windows, calls out and messages held, second by
//! second, from their flight recorders. The checker knows nothing of it.

use crate::scenario::Scenario;
use crate::virt::EPOCH;
use notchpoint_policy::Sender;
use notchpoint_recorder::format::{Header, Turn};
use notchpoint_recorder::replay::ReplayObserver;
use notchpoint_recorder::{Recording, replay, store};
use std::path::Path;

/// One partner's course, over all senders and all routes to it; a value for each second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Course {
    /// The sum of the windows.
    pub window: Vec<f64>,
    /// Calls out.
    pub out: Vec<f64>,
    /// Messages held with no call out.
    pub held: Vec<f64>,
}

/// Reads the recordings that senders left in `folder` in a run of so many seconds, whose zero lay `lead`
/// microseconds behind the start of the world. Gives a course for each partner, in the scenario's order.
///
/// # Errors
/// A recording cannot be read, or was made by another build.
pub fn read(folder: &Path, s: &Scenario, seconds: usize, lead: u64) -> Result<Vec<Course>, String> {
    let empty = || vec![0.0; seconds];
    let fresh = || Course { window: empty(), out: empty(), held: empty() };
    let mut courses: Vec<Course> = s.partner.iter().map(|_| fresh()).collect();
    let partners: Vec<usize> = s.destinations().into_iter().map(|d| d.0).collect();
    for sender in 0..s.senders.count {
        let path = folder.join(format!("n{sender}"));
        let bytes = store::load(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let recording = Recording::read(&bytes);
        let mut sampler = Sampler {
            zero: EPOCH + lead,
            partners: &partners,
            offset: 0,
            next: 0,
            last: vec![[0.0; 3]; courses.len()],
            courses: &mut courses,
        };
        let done = replay(&recording, &mut sampler);
        if let Some(d) = done.difference {
            return Err(format!("{}: {d}", path.display()));
        }
    }
    Ok(courses)
}

struct Sampler<'a> {
    /// Unix time of the run's zero.
    zero: u64,
    /// The partner of each destination.
    partners: &'a [usize],
    /// Unix time less the module's clock.
    offset: i128,
    /// The second that is entered next.
    next: usize,
    /// What was believed at the last turn, by partner: window, out, held.
    last: Vec<[f64; 3]>,
    courses: &'a mut [Course],
}

impl Sampler<'_> {
    /// Enters what was believed last for all seconds that began before this moment.
    fn advance(&mut self, at: u64) {
        let now = i128::from(at) + self.offset - i128::from(self.zero);
        while (self.next as i128) * 1_000_000 < now {
            for (course, last) in self.courses.iter_mut().zip(&self.last) {
                if let Some(x) = course.window.get_mut(self.next) {
                    *x += last[0];
                    course.out[self.next] += last[1];
                    course.held[self.next] += last[2];
                }
            }
            self.next += 1;
        }
    }

    fn look(&mut self, sender: &Sender) {
        self.last.iter_mut().for_each(|l| *l = [0.0; 3]);
        // Destinations are counted from 1 in the list that senders are told.
        let partner = |dest: u64| self.partners.get((dest as usize).checked_sub(1)?).copied();
        for v in sender.route_views(None) {
            if let Some(p) = partner(v.dest.0) {
                self.last[p][0] += v.window;
                self.last[p][1] += f64::from(v.in_flight);
            }
        }
        for (_, _, dest, out) in sender.open_messages() {
            if let Some(p) = partner(dest.0).filter(|_| !out) {
                self.last[p][2] += 1.0;
            }
        }
    }
}

impl ReplayObserver for Sampler<'_> {
    fn on_segment(&mut self, header: &Header, sender: &Sender, goes_on: bool) {
        if !goes_on {
            // Between two processes there is no window.
            self.last.iter_mut().for_each(|l| *l = [0.0; 3]);
            self.offset = i128::from(header.unix) - i128::from(header.at);
            self.advance(header.at);
        }
        self.look(sender);
    }

    fn on_turn(&mut self, turn: &Turn, sender: &Sender) {
        self.advance(turn.at);
        self.look(sender);
    }
}
