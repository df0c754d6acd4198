//! The senders there are, and who stands where for whom. All of it follows from the operators' files alone,
//! so that any two senders with the same view agree without a word.

use crate::names::{Epoch, Home, Id, Peer};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Senders that keep copies for one: enough for what a lost one held to spread, few enough for the links to
/// be kept by each of hundreds.
pub const PARTNERS: usize = 12;

/// A sender, as the operators' file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Where it stands, if that is known.
    pub zone: Option<String>,
}

/// What is wrong with a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Two senders of one name.
    Twice(String),
    /// Copies for so many senders need so many senders.
    TooFew {
        /// Copies wanted.
        count: usize,
        /// Senders that there are, this one included.
        senders: usize,
        /// And that are needed.
        needed: usize,
    },
}

/// The senders there are.
#[derive(Clone, Debug)]
pub struct View {
    me: Peer,
    count: usize,
    senders: BTreeMap<Peer, Sender>,
    /// Each sender's zone, as a number, where it is known.
    zones: BTreeMap<Peer, usize>,
    /// Asked for with each message, and the same for good: of the few senders of which it was ever asked.
    partners: RefCell<BTreeMap<Peer, Vec<Peer>>>,
}

fn weight(a: u64, b: u64) -> u64 {
    let mut both = [0; 16];
    both[..8].copy_from_slice(&a.to_le_bytes());
    both[8..].copy_from_slice(&b.to_le_bytes());
    xxh3_64(&both)
}

impl View {
    /// The view of the sender `me` among the `others`, with so many copies of each message.
    ///
    /// # Errors
    /// Names are not all different, or the senders are too few.
    pub fn new(me: Sender, others: Vec<Sender>, count: usize) -> Result<Self, Wrong> {
        let own = Peer::named(&me.name);
        let mut senders = BTreeMap::new();
        for s in std::iter::once(me).chain(others) {
            let name = s.name.clone();
            if senders.insert(Peer::named(&name), s).is_some() {
                return Err(Wrong::Twice(name));
            }
        }
        // With one fewer, two senders that each lack the other could both have all the grants that are left.
        let needed = (2 * count).max(2);
        if senders.len() < needed {
            return Err(Wrong::TooFew { count, senders: senders.len(), needed });
        }
        let mut names = BTreeMap::new();
        let mut zones = BTreeMap::new();
        for (&peer, sender) in &senders {
            let Some(zone) = &sender.zone else { continue };
            let next = names.len();
            zones.insert(peer, *names.entry(zone.clone()).or_insert(next));
        }
        Ok(Self { me: own, count, senders, zones, partners: RefCell::default() })
    }

    /// This sender.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Copies of each message.
    pub fn count(&self) -> usize {
        self.count
    }

    /// All senders.
    pub fn senders(&self) -> impl Iterator<Item = (Peer, &Sender)> {
        self.senders.iter().map(|(&p, s)| (p, s))
    }

    /// Whether it is one of them.
    pub fn knows(&self, peer: Peer) -> bool {
        self.senders.contains_key(&peer)
    }

    /// What a sender is called.
    pub fn name(&self, peer: Peer) -> &str {
        self.senders.get(&peer).map_or("a stranger", |s| &s.name)
    }

    /// Whether two are known to stand in one zone.
    pub fn together(&self, a: Peer, b: Peer) -> bool {
        let zone = |p| self.zones.get(&p);
        zone(a).is_some() && zone(a) == zone(b)
    }

    /// Who keeps copies for a sender: others in other zones first, each sender in an order of its own.
    pub fn partners(&self, of: Peer) -> Vec<Peer> {
        self.first_partners(of, usize::MAX)
    }

    fn first_partners(&self, of: Peer, most: usize) -> Vec<Peer> {
        let first = |all: &[Peer]| all[..most.min(all.len())].to_vec();
        if let Some(all) = self.partners.borrow().get(&of) {
            return first(all);
        }
        let all = self.nearest(of);
        let asked = first(&all);
        // One that the operators' files do not name any more may still be the home of messages; as many as
        // there ever were are not kept.
        if self.knows(of) {
            self.partners.borrow_mut().insert(of, all);
        }
        asked
    }

    fn nearest(&self, of: Peer) -> Vec<Peer> {
        let place = |p: Peer| (self.together(of, p), weight(of.0, p.0), p);
        let mut all: Vec<_> = self.senders.keys().filter(|&&p| p != of).map(|&p| place(p)).collect();
        // All witnesses are among them.
        let most = PARTNERS.max(2 * self.count);
        if all.len() > most {
            all.select_nth_unstable(most);
            all.truncate(most);
        }
        all.sort_unstable();
        all.into_iter().map(|(_, _, p)| p).collect()
    }

    /// Who witnesses for a home: those that its epoch names, or the first partners, twice as many as copies
    /// are wanted, fewer where there are no more.
    pub fn witnesses(&self, home: Home) -> Vec<Peer> {
        let of = home.holder.peer;
        let Some(chosen) = home.epoch.chosen() else { return self.first_partners(of, 2 * self.count) };
        let partners = self.first_partners(of, Epoch::CHOICES);
        chosen.filter_map(|place| partners.get(place).copied()).collect()
    }

    /// The epoch behind this one, with witnesses among the senders that stand, as far as there are enough:
    /// the first partners where all of them do.
    ///
    /// Any number of witnesses from `2 * count - 1` to `2 * count` does: any two sets of grants meet, and
    /// each meets any set of consents, within the one epoch whose witnesses they are. Sets of two epochs need
    /// not meet: a message is at home in one of them, and leaves it only by a record at so many witnesses
    /// there as no claim there can pass by.
    pub fn next_epoch(&self, home: Home, stands: impl Fn(Peer) -> bool) -> Option<Epoch> {
        let of = home.holder.peer;
        let first = self.first_partners(of, 2 * self.count);
        let partners = self.first_partners(of, Epoch::CHOICES);
        let (mut chosen, mut others) = (Vec::new(), Vec::new());
        for (place, peer) in partners.iter().enumerate() {
            if stands(*peer) { chosen.push(place) } else { others.push(place) }
        }
        let least = (2 * self.count).saturating_sub(1);
        let too_few = chosen.len() < self.count || partners.len() < least;
        if too_few || first.iter().all(|peer| stands(*peer)) {
            return home.epoch.next(&[]);
        }
        chosen.truncate(2 * self.count);
        let lacking = least.saturating_sub(chosen.len());
        chosen.extend(others.into_iter().take(lacking));
        home.epoch.next(&chosen)
    }

    /// Consents that an attempt needs while its owner is the one that took the message on.
    pub fn consents(&self) -> usize {
        self.count
    }

    /// Grants that a claim needs, and consents that an attempt needs after one. Any two sets of grants meet,
    /// and each meets any set of consents.
    pub fn grants(&self, home: Home) -> usize {
        self.witnesses(home).len().saturating_sub(self.count) + 1
    }

    /// A sender's place in the order for a message, of two that could have it the lower one. Room weighs in,
    /// by the logarithm that makes a rendezvous a weighted one.
    pub fn rank(&self, id: Id, peer: Peer, room: f64) -> f64 {
        let unit = (weight(id.0, peer.0) >> 11) as f64 / (1u64 << 53) as f64;
        -unit.max(f64::MIN_POSITIVE).ln() / room.max(1e-6)
    }

    /// Whether `a` goes before `b` where both claim a message.
    pub fn before(&self, id: Id, a: Peer, b: Peer) -> bool {
        (weight(id.0, a.0), a) < (weight(id.0, b.0), b)
    }

    /// Whether no partner of this sender stands in another zone.
    pub fn none_apart(&self) -> bool {
        self.zones.values().collect::<BTreeSet<_>>().len() < 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::{Holder, Reign};

    fn view(n: usize, zones: usize, count: usize) -> View {
        let all = (0..n).map(|i| Sender { name: format!("n{i}"), zone: Some(format!("z{}", i % zones)) });
        let mut all: Vec<Sender> = all.collect();
        let me = all.remove(0);
        View::new(me, all, count).expect("sound")
    }

    fn first_home(peer: Peer) -> Home {
        Home { holder: Holder { peer, reign: Reign(1) }, epoch: Epoch::FIRST }
    }

    /// The counts of a home's witnesses keep what they are for.
    fn counts_hold(view: &View, home: Home, count: usize) {
        let witnesses = view.witnesses(home).len();
        let (consents, grants) = (view.consents(), view.grants(home));
        assert!(consents + grants > witnesses, "an attempt and a claim: {home:?}, {count}");
        assert!(2 * grants > witnesses, "two claims: {home:?}, {count}");
        // The owner and count - 1 witnesses lost: a claim is still granted.
        assert!(grants <= witnesses + 1 - count, "{home:?}, {count}");
        assert!(consents <= witnesses, "{home:?}, {count}");
    }

    #[test]
    fn whoever_grants_a_claim_meets_whoever_consented_and_whoever_granted_another() {
        for count in 1..=3 {
            for n in (2 * count).max(2)..=40 {
                let view = view(n, 3, count);
                for (peer, _) in view.senders() {
                    counts_hold(&view, first_home(peer), count);
                }
            }
        }
    }

    #[test]
    fn the_same_holds_for_the_next_epoch_whoever_stands_and_it_can_be_promised_where_as_many_do_as_copies() {
        for count in 1..=3 {
            for n in (2 * count).max(2)..=9 {
                let view = view(n, 3, count);
                let me = view.me();
                let partners = view.partners(me);
                for away in 0..1_u32 << partners.len() {
                    let stands = |peer: Peer| {
                        partners.iter().position(|p| *p == peer).is_some_and(|n| away & 1 << n == 0)
                    };
                    let epoch = view.next_epoch(first_home(me), stands).expect("few epochs");
                    let home = Home { epoch, ..first_home(me) };
                    counts_hold(&view, home, count);
                    let witnesses = view.witnesses(home);
                    let standing = witnesses.iter().filter(|w| stands(**w)).count();
                    let all = partners.iter().filter(|w| stands(**w)).count();
                    assert!(!witnesses.contains(&me), "{home:?}");
                    assert!(all < count || standing >= view.grants(home), "{home:?} of {all} that stand");
                    if away == 0 {
                        assert_eq!(witnesses, partners[..witnesses.len()], "the first ones where all stand");
                    }
                }
            }
        }
    }

    #[test]
    fn epochs_follow_one_another_and_say_who_their_witnesses_are() {
        let mut epoch = Epoch::FIRST;
        for (number, chosen) in [(1, vec![]), (2, vec![0, 11]), (3, vec![4])] {
            epoch = epoch.next(&chosen).expect("few epochs");
            assert_eq!(epoch.number(), number);
            assert_eq!(epoch.chosen().map(Iterator::collect::<Vec<_>>).unwrap_or_default(), chosen);
        }
        assert_eq!(epoch.to_string(), "3 (witnesses: partners 5)");
        assert_eq!(Epoch((1 << 20) - 1).next(&[]), None, "no number is used twice");
    }

    #[test]
    fn partners_stand_in_other_zones_first_and_are_the_same_for_all_and_spread() {
        let (one, many) = (view(300, 3, 1), view(300, 3, 1));
        let mut served: BTreeMap<Peer, usize> = BTreeMap::new();
        for (peer, _) in one.senders() {
            let partners = one.partners(peer);
            assert_eq!(partners, many.partners(peer));
            assert_eq!(partners.len(), PARTNERS);
            assert!(partners.iter().all(|&p| p != peer && !one.together(p, peer)));
            partners.into_iter().for_each(|p| *served.entry(p).or_default() += 1);
        }
        // What one serves for is near the mean: nobody keeps copies for a third of the fleet.
        assert!(served.len() == 300 && served.values().all(|&n| (1..=40).contains(&n)), "{served:?}");
    }

    #[test]
    fn partners_are_the_first_of_all_in_order_also_of_a_sender_that_is_no_more() {
        let view = view(60, 3, 1);
        let stranger = Peer::named("gone");
        for of in view.senders().map(|(p, _)| p).chain([stranger]) {
            let mut all: Vec<Peer> = view.senders().map(|(p, _)| p).filter(|&p| p != of).collect();
            all.sort_by_key(|&p| (view.together(of, p), weight(of.0, p.0), p));
            assert_eq!(view.partners(of), all[..PARTNERS]);
            assert_eq!(view.witnesses(first_home(of)), all[..2]);
        }
    }

    #[test]
    fn what_a_message_is_placed_by_spreads_and_follows_room() {
        let view = view(13, 3, 1);
        let partners = view.partners(view.me());
        let chosen = |room: &dyn Fn(Peer) -> f64| {
            let mut counts: BTreeMap<Peer, usize> = BTreeMap::new();
            for id in (0..12_000).map(Id) {
                let first = partners
                    .iter()
                    .copied()
                    .min_by(|&a, &b| view.rank(id, a, room(a)).total_cmp(&view.rank(id, b, room(b))));
                *counts.entry(first.expect("some")).or_default() += 1;
            }
            counts
        };
        assert!(chosen(&|_| 1.0).values().all(|n| (850..1_150).contains(n)));
        let poor = partners[0];
        let counts = chosen(&|p| if p == poor { 0.5 } else { 1.0 });
        assert!((400..650).contains(&counts[&poor]), "half of the room, half of the copies: {counts:?}");
    }

    #[test]
    fn what_no_fleet_can_do_is_turned_down() {
        let sender = |name: &str| Sender { name: name.into(), zone: None };
        assert_eq!(
            View::new(sender("a"), vec![sender("b"), sender("a")], 1).expect_err("twice"),
            Wrong::Twice("a".into())
        );
        assert!(matches!(View::new(sender("a"), vec![], 1), Err(Wrong::TooFew { needed: 2, .. })));
        let three = vec![sender("b"), sender("c")];
        assert!(matches!(View::new(sender("a"), three, 2), Err(Wrong::TooFew { needed: 4, .. })));
    }
}
