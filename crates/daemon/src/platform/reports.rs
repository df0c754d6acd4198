//! Posts notices to the platform. `notice_scheduler.rs` decides when.
//!
//! All answers to posts are alike, so a second copy of one could confirm the next post on its connection.
//! Therefore each connection carries one post, and the one for the next post is opened in advance.

use crate::abort_on_drop::AbortOnDrop;
use crate::io::ObservedStream;
use crate::platform::notice_scheduler::{NoticeScheduler, PostRequest};
use crate::state::journal::{Journal, RequestId, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use notchpoint_policy::MessageId;
use notchpoint_seam::Network;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until, timeout};

/// The time-out of a post. Its notices have been posted again on another connection long before.
const POST_TIMEOUT: Duration = Duration::from_secs(2);
/// A notice that is confirmed later than this is logged. 300 ms are allowed.
const LOGGED_AGE: Duration = Duration::from_millis(150);

type Failure = Box<dyn std::error::Error>;
type Connection = SendRequest<Full<Bytes>>;

/// What a task of the reports has done.
enum Done {
    /// A post has ended.
    Post(u64, Result<(), String>),
    /// A connection to this address is open, unless that failed.
    Connect(SocketAddr, Option<Connection>),
}

/// The connection for the next post, which has carried none yet.
#[derive(Default)]
enum SpareConnection {
    #[default]
    None,
    Opening {
        _task: AbortOnDrop,
    },
    Open(Connection),
}

impl SpareConnection {
    /// Takes the connection if it is open.
    fn take_open(&mut self) -> Option<Connection> {
        match std::mem::take(self) {
            Self::Open(connection) => Some(connection).filter(|c| !c.is_closed()),
            other => {
                *self = other;
                None
            }
        }
    }
}

/// Posts notices to the platform until each is confirmed, and then records the end of its message.
pub struct Reports {
    net: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    address_changed: Notify,
    scheduler: RefCell<NoticeScheduler>,
    notice_added: Notify,
    journal: Rc<RefCell<Journal>>,
    started: Instant,
    task: RefCell<Option<AbortOnDrop>>,
}

impl Reports {
    /// Creates the queue of notices and starts its task. It has to be called within a `LocalSet`.
    pub fn new(address: SocketAddr, net: Rc<dyn Network>, journal: Rc<RefCell<Journal>>) -> Rc<Self> {
        let (address, address_changed, notice_added) = (Cell::new(address), Notify::new(), Notify::new());
        let (scheduler, started, task) = (RefCell::default(), Instant::now(), RefCell::default());
        let reports =
            Rc::new(Self { net, address, address_changed, scheduler, notice_added, journal, started, task });
        let running = reports.clone();
        let task = tokio::task::spawn_local(async move { running.run().await });
        *reports.task.borrow_mut() = Some(AbortOnDrop(task.abort_handle()));
        reports
    }

    /// Stops posting and closes all connections, since another session posts the same notices.
    pub fn stop(&self) {
        self.task.borrow_mut().take();
    }

    /// Adds a notice.
    pub fn push(&self, id: MessageId, verdict: Verdict) {
        let (hold, request_id) = {
            let journal = self.journal.borrow();
            (journal.hold(id), journal.request_id(id))
        };
        self.scheduler.borrow_mut().push(hold, request_id, verdict, self.started.elapsed());
        self.notice_added.notify_one();
    }

    /// Changes the address of the platform. Notices that are under way are posted there as well, since a
    /// notice that is delivered twice does no harm.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    /// The number of notices that are not confirmed.
    #[cfg(test)]
    pub fn pending_count(&self) -> usize {
        self.scheduler.borrow().pending_count()
    }

    /// Whether all notices are confirmed.
    pub fn is_empty(&self) -> bool {
        self.scheduler.borrow().is_empty()
    }

    async fn run(self: Rc<Self>) {
        let (done, mut all_done) = unbounded_channel();
        let mut spare = SpareConnection::default();
        let mut posts: BTreeMap<u64, AbortOnDrop> = BTreeMap::new();
        loop {
            let request = self.scheduler.borrow_mut().next_post(self.started.elapsed());
            if let Some(request) = request {
                request.abandoned.and_then(|abandoned| posts.remove(&abandoned));
                let connection = if request.needs_new_connection { None } else { spare.take_open() };
                let post = request.post;
                let task = tokio::task::spawn_local(self.clone().run_post(request, connection, done.clone()));
                posts.insert(post, AbortOnDrop(task.abort_handle()));
                if matches!(spare, SpareConnection::None) {
                    let opening = tokio::task::spawn_local(self.clone().open_spare(done.clone()));
                    spare = SpareConnection::Opening { _task: AbortOnDrop(opening.abort_handle()) };
                }
                continue;
            }
            let wake = self.scheduler.borrow().wake().map(|w| self.started + w);
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.address_changed.notified() => {
                    spare = SpareConnection::None;
                    for post in self.scheduler.borrow_mut().relocate(self.started.elapsed()) {
                        posts.remove(&post);
                    }
                }
                Some(done) = all_done.recv() => match done {
                    Done::Connect(address, opened) => {
                        if address == self.address.get() {
                            spare = opened.map_or(SpareConnection::None, SpareConnection::Open);
                        }
                    }
                    Done::Post(post, result) => {
                        if posts.remove(&post).is_some() {
                            self.record_result(post, result);
                        }
                    }
                },
                () = self.notice_added.notified() => {}
                () = alarm => {}
            }
        }
    }

    /// Records how a post ended.
    fn record_result(&self, post: u64, result: Result<(), String>) {
        let now = self.started.elapsed();
        let mut scheduler = self.scheduler.borrow_mut();
        let age = scheduler.oldest_age(now);
        if let Err(error) = result {
            let ms = age.as_millis();
            tracing::warn!("reports: post failed: {error}; oldest notice waits for {ms} ms");
            return scheduler.record_failed(post, now);
        }
        let mut journal = self.journal.borrow_mut();
        for id in scheduler.record_confirmed(post, now) {
            let _ = journal.record_end(id);
        }
        if age > LOGGED_AGE {
            tracing::warn!("reports: notice confirmed after {} ms", age.as_millis());
        }
    }

    /// Makes a post and sends its result.
    async fn run_post(
        self: Rc<Self>,
        request: PostRequest,
        connection: Option<Connection>,
        done: UnboundedSender<Done>,
    ) {
        let result = match timeout(POST_TIMEOUT, self.post(connection, &request.notices)).await {
            Ok(result) => result.map_err(|e| e.to_string()),
            Err(_) => Err(format!("no answer within {} ms", POST_TIMEOUT.as_millis())),
        };
        let _ = done.send(Done::Post(request.post, result));
    }

    /// Opens a connection and sends it. If that fails, the next post opens its own and reports why.
    async fn open_spare(self: Rc<Self>, done: UnboundedSender<Done>) {
        let address = self.address.get();
        let opened = timeout(POST_TIMEOUT, self.connect()).await;
        let _ = done.send(Done::Connect(address, opened.ok().and_then(Result::ok)));
    }

    /// Opens a connection to the platform.
    async fn connect(&self) -> Result<Connection, Failure> {
        let stream = self.net.connect(self.address.get()).await?;
        let _ = stream.set_nodelay(); // If it fails, small writes are delayed, but still arrive.
        let (connection, driver) = http1::handshake(ObservedStream::new(stream, ())).await?;
        tokio::task::spawn_local(driver);
        Ok(connection)
    }

    /// Posts notices on a connection that has carried no post before.
    async fn post(
        &self,
        connection: Option<Connection>,
        notices: &[(RequestId, Verdict)],
    ) -> Result<(), Failure> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.ready().await?;
        let lines: String = notices.iter().map(|(id, v)| notice_line(*id, *v)).collect();
        let request = Request::post("/reports")
            .header(HOST, self.address.get().to_string())
            .header(CONTENT_TYPE, "application/x-ndjson")
            .body(Full::from(lines))?;
        let response = connection.send_request(request).await?;
        let status = response.status();
        let _ = Limited::new(response.into_body(), 1 << 16).collect().await;
        if status == 204 { Ok(()) } else { Err(format!("the platform answered {status}").into()) }
    }
}

fn notice_line(id: RequestId, verdict: Verdict) -> String {
    match verdict {
        Verdict::Dead => format!("{{\"ref\":\"{id}\",\"result\":\"dead\"}}\n"),
        Verdict::Bounced(0) => format!("{{\"ref\":\"{id}\",\"result\":\"bounced\"}}\n"),
        Verdict::Bounced(ms) => {
            format!("{{\"ref\":\"{id}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n")
        }
    }
}

#[cfg(test)]
mod tests;
