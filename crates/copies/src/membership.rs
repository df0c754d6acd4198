//! The senders of the installation, and which of them are replicas and witnesses for which. Everything is
//! derived from the operators' files, so that two senders with the same files agree without communication.

use crate::ids::{Epoch, Id, Peer, WitnessGroup};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// The number of senders that may store copies for one sender: enough to spread what a lost one held, and few
/// enough that in a fleet of hundreds each sender keeps few links.
pub const REPLICA_CANDIDATES: usize = 12;

/// A sender as the operators' file lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Its zone, if known.
    pub zone: Option<String>,
}

/// Why a membership is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// Two senders have the same name.
    DuplicateName(String),
    /// There are too few senders for this number of copies.
    TooFewSenders {
        /// The configured number of copies.
        count: usize,
        /// The number of senders, including this one.
        senders: usize,
        /// The number of senders that is required.
        needed: usize,
    },
}

/// The senders of the installation.
#[derive(Clone, Debug)]
pub struct Membership {
    local_peer: Peer,
    count: usize,
    senders: BTreeMap<Peer, Sender>,
    /// The number of each sender's zone, where it is known.
    zones: BTreeMap<Peer, usize>,
    /// Cached candidates, which never change: they are needed for each message, and only for a few senders.
    candidates: RefCell<BTreeMap<Peer, Vec<Peer>>>,
}

fn rendezvous_hash(a: u64, b: u64) -> u64 {
    let mut both = [0; 16];
    both[..8].copy_from_slice(&a.to_le_bytes());
    both[8..].copy_from_slice(&b.to_le_bytes());
    xxh3_64(&both)
}

impl Membership {
    /// Creates the membership of the sender `me` with the senders in `others`, for `count` copies of each
    /// message.
    ///
    /// # Errors
    /// Names are not unique, or there are too few senders.
    pub fn new(me: Sender, others: Vec<Sender>, count: usize) -> Result<Self, MembershipError> {
        let local_peer = Peer::from_name(&me.name);
        let mut senders = BTreeMap::new();
        for sender in std::iter::once(me).chain(others) {
            let name = sender.name.clone();
            if senders.insert(Peer::from_name(&name), sender).is_some() {
                return Err(MembershipError::DuplicateName(name));
            }
        }
        // With one fewer, two senders without a link to each other could each get a quorum of the remaining
        // grants.
        let needed = (2 * count).max(2);
        if senders.len() < needed {
            return Err(MembershipError::TooFewSenders { count, senders: senders.len(), needed });
        }
        let mut zone_numbers = BTreeMap::new();
        let mut zones = BTreeMap::new();
        for (&peer, sender) in &senders {
            let Some(zone) = &sender.zone else { continue };
            let next = zone_numbers.len();
            zones.insert(peer, *zone_numbers.entry(zone.clone()).or_insert(next));
        }
        Ok(Self { local_peer, count, senders, zones, candidates: RefCell::default() })
    }

    /// Returns the local sender.
    pub fn local_peer(&self) -> Peer {
        self.local_peer
    }

    /// Returns the number of copies of each message.
    pub fn copy_count(&self) -> usize {
        self.count
    }

    /// Returns all senders.
    pub fn senders(&self) -> impl Iterator<Item = (Peer, &Sender)> {
        self.senders.iter().map(|(&p, s)| (p, s))
    }

    /// Returns whether a sender is a member.
    pub fn contains(&self, peer: Peer) -> bool {
        self.senders.contains_key(&peer)
    }

    /// Returns the name of a sender.
    pub fn name(&self, peer: Peer) -> &str {
        self.senders.get(&peer).map_or("an unknown sender", |s| &s.name)
    }

    /// Returns whether two senders are known to be in the same zone.
    pub fn same_zone(&self, a: Peer, b: Peer) -> bool {
        let zone = |p| self.zones.get(&p);
        zone(a).is_some() && zone(a) == zone(b)
    }

    /// Returns the senders that may store copies for a sender: those in other zones first, and in an order of
    /// its own for each sender.
    pub fn candidates(&self, of: Peer) -> Vec<Peer> {
        self.first_candidates(of, usize::MAX)
    }

    fn first_candidates(&self, of: Peer, limit: usize) -> Vec<Peer> {
        let first = |all: &[Peer]| all[..limit.min(all.len())].to_vec();
        if let Some(all) = self.candidates.borrow().get(&of) {
            return first(all);
        }
        let all = self.rank_candidates(of);
        let requested = first(&all);
        // A sender that is no longer in the operators' files may still own groups of messages. Such senders
        // are not cached, since their number has no bound.
        if self.contains(of) {
            self.candidates.borrow_mut().insert(of, all);
        }
        requested
    }

    fn rank_candidates(&self, of: Peer) -> Vec<Peer> {
        let rank = |p: Peer| (self.same_zone(of, p), rendezvous_hash(of.0, p.0), p);
        let mut all: Vec<_> = self.senders.keys().filter(|&&p| p != of).map(|&p| rank(p)).collect();
        // The candidates include all witnesses.
        let limit = REPLICA_CANDIDATES.max(2 * self.count);
        if all.len() > limit {
            all.select_nth_unstable(limit);
            all.truncate(limit);
        }
        all.sort_unstable();
        all.into_iter().map(|(_, _, p)| p).collect()
    }

    /// Returns the witnesses of a group: those that its epoch names, or the first candidates. There are twice
    /// as many witnesses as copies, or fewer if there are not enough candidates.
    pub fn witnesses(&self, group: WitnessGroup) -> Vec<Peer> {
        let of = group.owner.peer;
        let Some(chosen) = group.epoch.chosen() else { return self.first_candidates(of, 2 * self.count) };
        let candidates = self.first_candidates(of, Epoch::MAX_SELECTABLE);
        chosen.filter_map(|position| candidates.get(position).copied()).collect()
    }

    /// Returns the next epoch. Its witnesses are senders that are reachable, as far as there are enough of
    /// them, and the first candidates if all of those are reachable.
    ///
    /// Any number of witnesses from `2 * count - 1` to `2 * count` is sufficient: within an epoch, any two
    /// claim quorums intersect, and each intersects any attempt quorum. Quorums of two epochs need not
    /// intersect: a message belongs to one epoch at a time, and leaves it only through a record at so many of
    /// its witnesses that no claim there can miss it.
    pub fn next_epoch(&self, group: WitnessGroup, is_reachable: impl Fn(Peer) -> bool) -> Option<Epoch> {
        let of = group.owner.peer;
        let first = self.first_candidates(of, 2 * self.count);
        let candidates = self.first_candidates(of, Epoch::MAX_SELECTABLE);
        let (mut chosen, mut unreachable) = (Vec::new(), Vec::new());
        for (position, peer) in candidates.iter().enumerate() {
            if is_reachable(*peer) { chosen.push(position) } else { unreachable.push(position) }
        }
        let min_witnesses = (2 * self.count).saturating_sub(1);
        let too_few = chosen.len() < self.count || candidates.len() < min_witnesses;
        if too_few || first.iter().all(|peer| is_reachable(*peer)) {
            return group.epoch.next(&[]);
        }
        chosen.truncate(2 * self.count);
        let missing = min_witnesses.saturating_sub(chosen.len());
        chosen.extend(unreachable.into_iter().take(missing));
        group.epoch.next(&chosen)
    }

    /// Returns the number of witnesses that must record an attempt while the message has its first owner.
    pub fn attempt_quorum(&self) -> usize {
        self.count
    }

    /// Returns the number of witnesses that must grant a claim, and that must record an attempt of a later
    /// owner. Any two such sets intersect, and each intersects any attempt quorum.
    pub fn claim_quorum(&self, group: WitnessGroup) -> usize {
        self.witnesses(group).len().saturating_sub(self.count) + 1
    }

    /// Returns the rank of a sender as a replica for a message; the lowest rank is preferred. This is
    /// weighted rendezvous hashing: the logarithm weights the hash by free space.
    pub fn rank(&self, id: Id, peer: Peer, free_space: f64) -> f64 {
        let unit = (rendezvous_hash(id.0, peer.0) >> 11) as f64 / (1u64 << 53) as f64;
        -unit.max(f64::MIN_POSITIVE).ln() / free_space.max(1e-6)
    }

    /// Returns whether `a` takes precedence over `b` if both claim a message.
    pub fn takes_precedence(&self, id: Id, a: Peer, b: Peer) -> bool {
        (rendezvous_hash(id.0, a.0), a) < (rendezvous_hash(id.0, b.0), b)
    }

    /// Returns whether no two senders are known to be in different zones.
    pub fn is_single_zone(&self) -> bool {
        self.zones.values().collect::<BTreeSet<_>>().len() < 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Incarnation, Instance};

    fn membership(n: usize, zones: usize, count: usize) -> Membership {
        let all = (0..n).map(|i| Sender { name: format!("n{i}"), zone: Some(format!("z{}", i % zones)) });
        let mut all: Vec<Sender> = all.collect();
        let me = all.remove(0);
        Membership::new(me, all, count).expect("sound")
    }

    fn first_group(peer: Peer) -> WitnessGroup {
        WitnessGroup { owner: Instance { peer, incarnation: Incarnation(1) }, epoch: Epoch::FIRST }
    }

    /// Asserts that the quorums of a group intersect, and that a claim can still succeed after losses.
    fn assert_quorums_intersect(membership: &Membership, group: WitnessGroup, count: usize) {
        let witnesses = membership.witnesses(group).len();
        let (consents, grants) = (membership.attempt_quorum(), membership.claim_quorum(group));
        assert!(consents + grants > witnesses, "an attempt and a claim: {group:?}, {count}");
        assert!(2 * grants > witnesses, "two claims: {group:?}, {count}");
        // With the owner and count - 1 witnesses lost, a claim is still granted.
        assert!(grants <= witnesses + 1 - count, "{group:?}, {count}");
        assert!(consents <= witnesses, "{group:?}, {count}");
    }

    #[test]
    fn a_claim_quorum_intersects_every_attempt_quorum_and_every_other_claim_quorum() {
        for count in 1..=3 {
            for n in (2 * count).max(2)..=40 {
                let membership = membership(n, 3, count);
                for (peer, _) in membership.senders() {
                    assert_quorums_intersect(&membership, first_group(peer), count);
                }
            }
        }
    }

    #[test]
    fn quorums_of_the_next_epoch_intersect_and_it_can_commit_with_as_many_reachable_senders_as_copies() {
        for count in 1..=3 {
            for n in (2 * count).max(2)..=9 {
                let membership = membership(n, 3, count);
                let me = membership.local_peer();
                let candidates = membership.candidates(me);
                for away in 0..1_u32 << candidates.len() {
                    let is_reachable = |peer: Peer| {
                        candidates.iter().position(|p| *p == peer).is_some_and(|n| away & 1 << n == 0)
                    };
                    let epoch = membership.next_epoch(first_group(me), is_reachable).expect("few epochs");
                    let group = WitnessGroup { epoch, ..first_group(me) };
                    assert_quorums_intersect(&membership, group, count);
                    let witnesses = membership.witnesses(group);
                    let reachable = witnesses.iter().filter(|w| is_reachable(**w)).count();
                    let all_reachable = candidates.iter().filter(|w| is_reachable(**w)).count();
                    assert!(!witnesses.contains(&me), "{group:?}");
                    assert!(
                        all_reachable < count || reachable >= membership.claim_quorum(group),
                        "{group:?} {all_reachable} reachable"
                    );
                    if away == 0 {
                        assert_eq!(
                            witnesses,
                            candidates[..witnesses.len()],
                            "the first candidates if all are reachable"
                        );
                    }
                }
            }
        }
    }

    #[test]
    fn epochs_are_numbered_in_sequence_and_name_their_witnesses() {
        let mut epoch = Epoch::FIRST;
        for (number, chosen) in [(1, vec![]), (2, vec![0, 11]), (3, vec![4])] {
            epoch = epoch.next(&chosen).expect("few epochs");
            assert_eq!(epoch.number(), number);
            assert_eq!(epoch.chosen().map(Iterator::collect::<Vec<_>>).unwrap_or_default(), chosen);
        }
        assert_eq!(epoch.to_string(), "3 (witnesses: candidates 5)");
        assert_eq!(Epoch((1 << 20) - 1).next(&[]), None, "no number is used twice");
    }

    #[test]
    fn candidates_are_in_other_zones_first_equal_for_all_senders_and_evenly_spread() {
        let (first, second) = (membership(300, 3, 1), membership(300, 3, 1));
        let mut served: BTreeMap<Peer, usize> = BTreeMap::new();
        for (peer, _) in first.senders() {
            let candidates = first.candidates(peer);
            assert_eq!(candidates, second.candidates(peer));
            assert_eq!(candidates.len(), REPLICA_CANDIDATES);
            assert!(candidates.iter().all(|&p| p != peer && !first.same_zone(p, peer)));
            candidates.into_iter().for_each(|p| *served.entry(p).or_default() += 1);
        }
        // The number of senders that one serves stays near the mean: no sender stores copies for a third of
        // the fleet.
        assert!(served.len() == 300 && served.values().all(|&n| (1..=40).contains(&n)), "{served:?}");
    }

    #[test]
    fn candidates_are_the_lowest_ranked_senders_also_for_a_removed_sender() {
        let membership = membership(60, 3, 1);
        let removed = Peer::from_name("gone");
        for of in membership.senders().map(|(p, _)| p).chain([removed]) {
            let mut all: Vec<Peer> = membership.senders().map(|(p, _)| p).filter(|&p| p != of).collect();
            all.sort_by_key(|&p| (membership.same_zone(of, p), rendezvous_hash(of.0, p.0), p));
            assert_eq!(membership.candidates(of), all[..REPLICA_CANDIDATES]);
            assert_eq!(membership.witnesses(first_group(of)), all[..2]);
        }
    }

    #[test]
    fn replicas_spread_evenly_and_in_proportion_to_free_space() {
        let membership = membership(13, 3, 1);
        let candidates = membership.candidates(membership.local_peer());
        let chosen = |free_space: &dyn Fn(Peer) -> f64| {
            let mut counts: BTreeMap<Peer, usize> = BTreeMap::new();
            for id in (0..12_000).map(Id) {
                let first = candidates.iter().copied().min_by(|&a, &b| {
                    membership.rank(id, a, free_space(a)).total_cmp(&membership.rank(id, b, free_space(b)))
                });
                *counts.entry(first.expect("some")).or_default() += 1;
            }
            counts
        };
        assert!(chosen(&|_| 1.0).values().all(|n| (850..1_150).contains(n)));
        let half_free = candidates[0];
        let counts = chosen(&|p| if p == half_free { 0.5 } else { 1.0 });
        assert!(
            (400..650).contains(&counts[&half_free]),
            "half of the space, half of the copies: {counts:?}"
        );
    }

    #[test]
    fn an_invalid_membership_is_rejected() {
        let sender = |name: &str| Sender { name: name.into(), zone: None };
        assert_eq!(
            Membership::new(sender("a"), vec![sender("b"), sender("a")], 1).expect_err("twice"),
            MembershipError::DuplicateName("a".into())
        );
        assert!(matches!(
            Membership::new(sender("a"), vec![], 1),
            Err(MembershipError::TooFewSenders { needed: 2, .. })
        ));
        let three = vec![sender("b"), sender("c")];
        assert!(matches!(
            Membership::new(sender("a"), three, 2),
            Err(MembershipError::TooFewSenders { needed: 4, .. })
        ));
    }
}
