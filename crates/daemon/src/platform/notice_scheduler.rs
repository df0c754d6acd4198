//! Decides when notices are posted and reposted. This module uses no sockets and reads no clock.
//!
//! A notice must be delivered at most 300 ms after its message's time is up. A single connection that stops
//! answering must take only a part of that, so pending notices are posted again on a second connection well
//! before. A notice that is delivered twice does no harm.

use crate::holds::IdHold;
use crate::state::record::{RequestId, Verdict};
use notchpoint_policy::MessageId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The time without an answer after which the notices of a post are posted again, on another connection. The
/// platform answers at once. The time doubles with each consecutive post that is repeated.
const REPOST_DELAY_MIN: Duration = Duration::from_millis(40);
const REPOST_DELAY_MAX: Duration = Duration::from_millis(640);
/// For a distant platform the time before doubling is this multiple of the usual response time, up to a
/// limit.
const REPOST_RESPONSE_TIMES: u32 = 3;
const REPOST_DELAY_DISTANT_MAX: Duration = Duration::from_millis(120);
/// The delay before the retry of a failed post. It doubles with each consecutive failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(200);
/// The largest number of posts under way. A further one replaces the oldest. Since the time between posts
/// doubles, a post still has seconds for its answer.
const MAX_POSTS: usize = 6;
/// The largest number of notices in one post, which keeps it well under 64 KiB.
const MAX_NOTICES_PER_POST: usize = 500;

/// A time since the start of the process.
pub type Time = Duration;

/// A notice that the platform has not confirmed.
#[derive(Debug)]
struct PendingNotice {
    /// The id of its message, which stays in use.
    hold: IdHold,
    /// The id by which the platform knows the message.
    request_id: RequestId,
    verdict: Verdict,
    since: Time,
    /// The earliest time of its next post.
    due: Time,
}

/// A post under way.
#[derive(Debug)]
struct Post {
    /// The ids of the messages. They stay in use until the post is over, since its answer confirms the
    /// notices by these ids.
    holds: Vec<IdHold>,
    started: Time,
}

/// A post to be made now.
#[derive(Debug, PartialEq, Eq)]
pub struct PostRequest {
    pub post: u64,
    pub notices: Vec<(RequestId, Verdict)>,
    /// Whether the post needs a new connection, because the previous one may not answer any more.
    pub needs_new_connection: bool,
    /// The number of an earlier post that is abandoned for this one.
    pub abandoned: Option<u64>,
}

/// The pending notices, and the posts under way.
#[derive(Debug)]
pub struct NoticeScheduler {
    pending: VecDeque<PendingNotice>,
    posts: BTreeMap<u64, Post>,
    next_post: u64,
    /// The earliest time of the next post while others are under way or have failed.
    not_before: Time,
    consecutive_reposts: u32,
    consecutive_failures: u32,
    /// The response time, smoothed.
    response_time: Duration,
}

impl Default for NoticeScheduler {
    fn default() -> Self {
        let (pending, posts) = Default::default();
        Self {
            pending,
            posts,
            next_post: 0,
            not_before: Time::ZERO,
            consecutive_reposts: 0,
            consecutive_failures: 0,
            response_time: Duration::ZERO,
        }
    }
}

impl NoticeScheduler {
    /// Adds a notice, which is due at once.
    pub fn push(&mut self, hold: IdHold, request_id: RequestId, verdict: Verdict, now: Time) {
        self.pending.push_back(PendingNotice { hold, request_id, verdict, since: now, due: now });
    }

    /// The number of pending notices.
    #[cfg(test)]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether no notice is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the age of the oldest pending notice.
    pub fn oldest_age(&self, now: Time) -> Duration {
        self.pending.front().map_or(Duration::ZERO, |n| now.saturating_sub(n.since))
    }

    fn repost_delay(&self) -> Duration {
        let first =
            (self.response_time * REPOST_RESPONSE_TIMES).clamp(REPOST_DELAY_MIN, REPOST_DELAY_DISTANT_MAX);
        (first * (1 << self.consecutive_reposts.min(8))).min(REPOST_DELAY_MAX)
    }

    /// Returns the post to be made now, if any.
    pub fn next_post(&mut self, now: Time) -> Option<PostRequest> {
        if now < self.not_before || !self.pending.iter().any(|n| n.due <= now) {
            return None;
        }
        let needs_new_connection = !self.posts.is_empty();
        let abandoned =
            (self.posts.len() >= MAX_POSTS).then(|| self.posts.pop_first()).flatten().map(|p| p.0);
        // Notices of posts without an answer are due again, and so a part of this post.
        let delay = self.repost_delay();
        let batch = self.pending.iter_mut().filter(|n| n.due <= now).take(MAX_NOTICES_PER_POST);
        let (notices, holds): (Vec<_>, Vec<_>) = batch
            .map(|notice| {
                notice.due = now + delay;
                ((notice.request_id, notice.verdict), notice.hold.clone())
            })
            .unzip();
        self.consecutive_reposts = if needs_new_connection { self.consecutive_reposts + 1 } else { 0 };
        self.not_before = now + delay;
        let post = self.next_post;
        self.next_post += 1;
        self.posts.insert(post, Post { holds, started: now });
        Some(PostRequest { post, notices, needs_new_connection, abandoned })
    }

    /// Records that the platform confirmed a post. Returns the messages whose notices are now delivered.
    pub fn record_confirmed(&mut self, post: u64, now: Time) -> Vec<MessageId> {
        let Some(ended) = self.posts.remove(&post) else { return Vec::new() };
        let took = now.saturating_sub(ended.started);
        self.response_time =
            if self.response_time.is_zero() { took } else { (self.response_time * 7 + took) / 8 };
        (self.consecutive_reposts, self.consecutive_failures) = (0, 0);
        self.not_before = now;
        let ids: Vec<MessageId> = ended.holds.iter().map(IdHold::key).collect();
        self.pending.retain(|n| !ids.contains(&n.hold.key()));
        // Notices of earlier posts keep their due time, since this answer says nothing about those posts.
        ids
    }

    /// Records that a post failed. Its notices are due again soon, on another connection.
    pub fn record_failed(&mut self, post: u64, now: Time) {
        let Some(ended) = self.posts.remove(&post) else { return };
        let delay = (RETRY_DELAY_MIN * (1 << self.consecutive_failures.min(8))).min(RETRY_DELAY_MAX);
        self.consecutive_failures += 1;
        self.not_before = now + delay;
        let ids: Vec<MessageId> = ended.holds.iter().map(IdHold::key).collect();
        for notice in self.pending.iter_mut().filter(|n| ids.contains(&n.hold.key())) {
            notice.due = notice.due.min(now + delay);
        }
    }

    /// Makes all notices due at once, since the address of the platform has changed. Returns the posts that
    /// are abandoned.
    pub fn relocate(&mut self, now: Time) -> Vec<u64> {
        (self.consecutive_reposts, self.consecutive_failures, self.not_before, self.response_time) =
            (0, 0, now, Duration::ZERO);
        self.pending.iter_mut().for_each(|n| n.due = now);
        std::mem::take(&mut self.posts).into_keys().collect()
    }

    /// Returns when to call [`Self::next_post`] again if nothing else happens.
    pub fn wake(&self) -> Option<Time> {
        self.pending.iter().map(|n| n.due).min().map(|due| due.max(self.not_before))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::holds::IdHolds;

    fn hold(id: u64) -> IdHold {
        IdHolds::default().hold(MessageId(id))
    }

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Simulates `end` milliseconds, with a notice pushed at each time in `pushes`. A post gets no answer if
    /// `is_silent` is true for its number, and otherwise one after 2 ms. Returns when each notice was
    /// confirmed, and the largest number of posts at once.
    fn simulate(pushes: &[u64], end: u64, is_silent: impl Fn(u64) -> bool) -> (BTreeMap<u64, u64>, usize) {
        let (mut scheduler, mut confirmed, mut max_posts) = (NoticeScheduler::default(), BTreeMap::new(), 0);
        let mut under_way: Vec<(u64, u64, Vec<u64>)> = Vec::new();
        for t in 0..end {
            if pushes.contains(&t) {
                scheduler.push(hold(t), RequestId(t), Verdict::Dead, ms(t));
            }
            under_way.retain(|(post, at, ids)| {
                if is_silent(*post) || t < at + 2 {
                    return true;
                }
                scheduler.record_confirmed(*post, ms(t));
                ids.iter().for_each(|id| {
                    confirmed.entry(*id).or_insert(t);
                });
                false
            });
            while let Some(request) = scheduler.next_post(ms(t)) {
                under_way.retain(|u| Some(u.0) != request.abandoned);
                under_way.push((request.post, t, request.notices.iter().map(|(id, _)| id.0).collect()));
            }
            max_posts = max_posts.max(under_way.len());
        }
        (confirmed, max_posts)
    }

    #[test]
    fn a_connection_without_answers_makes_no_notice_late() {
        // Guards against a lost answer that takes too much of the 300 ms, as a repost delay of 200 ms would.
        let (confirmed, _) = simulate(&[0, 1, 30, 39], 400, |post| post == 0);
        assert_eq!(confirmed.len(), 4);
        assert!(confirmed.iter().all(|(pushed, at)| at - pushed <= 60), "{confirmed:?}");
        // Two connections in a row.
        let (confirmed, _) = simulate(&[0, 1, 30, 39], 400, |post| post < 2);
        assert!(
            confirmed.len() == 4 && confirmed.iter().all(|(pushed, at)| at - pushed <= 150),
            "{confirmed:?}"
        );
        // Three in a row, which is still in time.
        let (confirmed, _) = simulate(&[0, 1, 30, 39], 800, |post| post < 3);
        assert!(
            confirmed.len() == 4 && confirmed.iter().all(|(pushed, at)| at - pushed < 300),
            "{confirmed:?}"
        );
    }

    #[test]
    fn a_platform_without_answers_gets_a_bounded_number_of_posts() {
        let pushes: Vec<u64> = (0..5_000).step_by(5).collect();
        let (confirmed, max_posts) = simulate(&pushes, 5_000, |_| true);
        assert!(confirmed.is_empty());
        assert!(max_posts <= MAX_POSTS, "{max_posts} posts at once");
        let mut scheduler = NoticeScheduler::default();
        scheduler.push(hold(1), RequestId(1), Verdict::Dead, ms(0));
        let posts = (0..10_000).filter(|t| scheduler.next_post(ms(*t)).is_some()).count();
        assert!(posts <= 20, "{posts} posts in ten seconds");
    }

    #[test]
    fn a_working_platform_gets_each_notice_once() {
        let mut scheduler = NoticeScheduler::default();
        for t in 0..1_000u64 {
            scheduler.push(hold(t), RequestId(t), Verdict::Bounced(t), ms(t * 10));
            let request = scheduler.next_post(ms(t * 10)).expect("due at once");
            assert_eq!((request.notices.len(), request.needs_new_connection), (1, false));
            assert!(scheduler.next_post(ms(t * 10 + 5)).is_none());
            assert_eq!(scheduler.record_confirmed(request.post, ms(t * 10 + 6)), [MessageId(t)]);
        }
        assert!(scheduler.is_empty() && scheduler.wake().is_none());
    }

    #[test]
    fn a_failed_post_is_repeated_and_a_late_answer_has_no_effect() {
        let mut scheduler = NoticeScheduler::default();
        scheduler.push(hold(1), RequestId(1), Verdict::Dead, ms(0));
        let first = scheduler.next_post(ms(0)).expect("due");
        scheduler.record_failed(first.post, ms(1));
        assert_eq!(scheduler.wake(), Some(ms(11)));
        let second = scheduler.next_post(ms(11)).expect("again");
        assert_eq!(second.notices, first.notices);
        assert!(scheduler.record_confirmed(first.post, ms(12)).is_empty(), "that post is over");
        assert_eq!(scheduler.record_confirmed(second.post, ms(13)), [MessageId(1)]);
        scheduler.record_failed(second.post, ms(14));
        assert!(scheduler.is_empty() && scheduler.oldest_age(ms(20)).is_zero());
    }

    #[test]
    fn an_id_stays_in_use_until_each_post_with_its_notice_is_over() {
        // Guards against the answer to a repeated post that confirms the notice of a later message with the
        // same id, which is then never posted, and ends that message.
        let holds = IdHolds::default();
        let is_held = || holds.is_held(MessageId(1));
        let mut scheduler = NoticeScheduler::default();
        scheduler.push(holds.hold(MessageId(1)), RequestId(1), Verdict::Dead, ms(0));
        let first = scheduler.next_post(ms(0)).expect("due");
        let second = scheduler.next_post(ms(100)).expect("the first post has no answer");
        let third = scheduler.next_post(ms(1_000)).expect("the second post has none either");
        assert_eq!(scheduler.record_confirmed(second.post, ms(1_001)), [MessageId(1)]);
        assert!(scheduler.is_empty() && is_held(), "two posts are still under way");
        scheduler.record_failed(first.post, ms(1_002));
        assert!(is_held(), "one post is still under way");
        assert_eq!(scheduler.record_confirmed(third.post, ms(1_003)), [MessageId(1)]);
        assert!(!is_held());
    }

    #[test]
    fn after_a_change_of_address_all_notices_are_posted_at_once() {
        let mut scheduler = NoticeScheduler::default();
        scheduler.push(hold(1), RequestId(1), Verdict::Dead, ms(0));
        let first = scheduler.next_post(ms(0)).expect("due");
        assert!(scheduler.next_post(ms(3)).is_none());
        assert_eq!(scheduler.relocate(ms(3)), [first.post]);
        let second = scheduler.next_post(ms(3)).expect("at once");
        assert!(!second.needs_new_connection && second.notices == first.notices);
    }
}
