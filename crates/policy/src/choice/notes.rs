//! What senders tell one another of a route, and what is made of it.

use super::*;

impl Sender {
    /// Writes to the other senders what befell a route: one among hundreds sees too little of a destination.
    /// Notes are rare, since what was told or heard just now is not told again.
    pub(super) fn tell(&mut self, route: RouteId, what: Word) {
        let Some(r) = self.routes.get_mut(&route) else { return };
        let told = if matches!(what, Word::Full | Word::Scarce) { &mut r.full_told } else { &mut r.told };
        let timed = matches!(what, Word::Wait(_)); // told only where it is news
        if !self.set.may_send_notes || self.set.senders < 2 || !timed && self.now < *told + NOTE_LEAST {
            return;
        }
        *told = if timed { *told } else { self.now.max(1) };
        self.out.push(Action::Note { to: None, body: note::write(what, route) });
    }

    /// A note from another sender. Two who saw a route fail, with none served since, count as own failures;
    /// one who was served ends an outage. What cannot be read is passed over; lost notes cost only time.
    pub(super) fn note(&mut self, from: u32, body: &[u8]) {
        let now = self.now;
        let Some((word, route)) = note::read(body).filter(|_| self.set.may_send_notes) else { return };
        let spread = self.rest_span(route) as f64 / 2.0;
        let Some(r) = self.routes.get_mut(&route) else { return };
        match word {
            Word::Down => {
                let other =
                    r.heard.replace((from, now)).is_some_and(|h| h.0 != from && now < h.1 + NOTE_SPAN);
                if (other || r.fails > 0) && !matches!(r.health, Health::Open { .. }) {
                    r.told = now;
                    r.open(now, true, 0);
                }
            }
            Word::Up => {
                let begun = r.outage_begun();
                (r.heard, r.fails, r.told) = (None, 0, now);
                if let Some(begun) = begun {
                    let long = now >= begun + OUTAGE_LEAST;
                    r.health = if long { Health::Ramp { since: now, gap: 0 } } else { r.health.resumed() };
                    // What turned connections away was the outage.
                    let of = |id, e: &Endpoint| e.dest == route.0 && route.1.is_none_or(|only| only == id);
                    let ends = self.endpoints.iter_mut().filter(|(id, e)| of(**id, e));
                    ends.for_each(|(_, e)| e.no_room = 0);
                }
            }
            Word::Full => {
                r.full_told = now;
                if now >= r.last_ok + OUTAGE_LEAST {
                    r.slow_down(now, PACE_HEARD);
                }
            }
            Word::Wait(ms) => {
                // Believed for a while only, and not drawn out by the same sender: one that is wrong must not
                // shut a destination for all. All begin again apart.
                let end = now + (Micros::from(ms) * MS).min(NOTE_SPAN);
                let drawn_out = now < r.rest_until && r.wait_from == Some(from);
                if end > r.wait_known && !drawn_out {
                    (r.wait_known, r.wait_from) = (end, Some(from));
                    r.rest_until = r.rest_until.max(end + (spread * self.rng.f64()) as Micros);
                }
            }
            Word::Scarce => {
                r.full_told = now;
                let kind = self.dests.get(&route.0).map_or(0, |d| d.kind);
                self.scarce[kind] = now + FORGET;
                for (&endpoint, e) in self.endpoints.iter_mut().filter(|(_, e)| e.kind == kind) {
                    if !std::mem::take(&mut e.idle).is_empty() {
                        self.out.push(Action::CloseIdle { endpoint });
                    }
                }
            }
        }
    }
}
