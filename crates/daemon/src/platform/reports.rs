//! Posts notices to the platform. `notice_scheduler.rs` decides when.

use crate::abort_on_drop::AbortOnDrop;
use crate::io::ObservedStream;
use crate::platform::notice_scheduler::{NoticeScheduler, PostRequest};
use crate::state::journal::{Journal, Verdict};
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
        let hold = self.journal.borrow().hold(id);
        self.scheduler.borrow_mut().push(hold, verdict, self.started.elapsed());
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
        let (results, mut ended_posts) = unbounded_channel::<(u64, Result<Connection, String>)>();
        let mut idle_connection: Option<Connection> = None;
        let mut posts: BTreeMap<u64, AbortOnDrop> = BTreeMap::new();
        loop {
            let request = self.scheduler.borrow_mut().next_post(self.started.elapsed());
            if let Some(request) = request {
                request.abandoned.and_then(|abandoned| posts.remove(&abandoned));
                let connection = if request.needs_new_connection { None } else { idle_connection.take() };
                let post = request.post;
                let task =
                    tokio::task::spawn_local(self.clone().run_post(request, connection, results.clone()));
                posts.insert(post, AbortOnDrop(task.abort_handle()));
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
                    idle_connection = None;
                    for post in self.scheduler.borrow_mut().relocate(self.started.elapsed()) {
                        posts.remove(&post);
                    }
                }
                Some((post, result)) = ended_posts.recv() => {
                    if posts.remove(&post).is_none() {
                        continue;
                    }
                    let now = self.started.elapsed();
                    let age = self.scheduler.borrow().oldest_age(now);
                    match result {
                        Ok(connection) => {
                            idle_connection = Some(connection);
                            let confirmed = self.scheduler.borrow_mut().record_confirmed(post, now);
                            let mut journal = self.journal.borrow_mut();
                            confirmed.into_iter().for_each(|id| _ = journal.record_end(id));
                            if age > LOGGED_AGE {
                                tracing::warn!("reports: notice confirmed after {} ms", age.as_millis());
                            }
                        }
                        Err(error) => {
                            let ms = age.as_millis();
                            tracing::warn!("reports: post failed: {error}; oldest notice waits for {ms} ms");
                            self.scheduler.borrow_mut().record_failed(post, now);
                        }
                    }
                }
                () = self.notice_added.notified() => {}
                () = alarm => {}
            }
        }
    }

    /// Makes a post and sends its result.
    async fn run_post(
        self: Rc<Self>,
        request: PostRequest,
        connection: Option<Connection>,
        results: UnboundedSender<(u64, Result<Connection, String>)>,
    ) {
        let result = match timeout(POST_TIMEOUT, self.post(connection, &request.notices)).await {
            Ok(result) => result.map_err(|e| e.to_string()),
            Err(_) => Err(format!("no answer within {} ms", POST_TIMEOUT.as_millis())),
        };
        let _ = results.send((request.post, result));
    }

    /// Posts notices, and returns the connection for the next post.
    async fn post(
        &self,
        connection: Option<Connection>,
        notices: &[(MessageId, Verdict)],
    ) -> Result<Connection, Failure> {
        let mut sender = match connection {
            Some(connection) if !connection.is_closed() => connection,
            _ => {
                let stream = self.net.connect(self.address.get()).await?;
                let _ = stream.set_nodelay(); // If it fails, small writes are delayed, but still arrive.
                let (sender, driver) = http1::handshake(ObservedStream::new(stream, ())).await?;
                tokio::task::spawn_local(driver);
                sender
            }
        };
        sender.ready().await?;
        let lines: String = notices.iter().map(|(id, v)| notice_line(*id, *v)).collect();
        let request = Request::post("/reports")
            .header(HOST, self.address.get().to_string())
            .header(CONTENT_TYPE, "application/x-ndjson")
            .body(Full::from(lines))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let _ = Limited::new(response.into_body(), 1 << 16).collect().await;
        if status == 204 { Ok(sender) } else { Err(format!("the platform answered {status}").into()) }
    }
}

fn notice_line(id: MessageId, verdict: Verdict) -> String {
    let id = id.0;
    match verdict {
        Verdict::Dead => format!("{{\"ref\":\"{id:016x}\",\"result\":\"dead\"}}\n"),
        Verdict::Bounced(0) => format!("{{\"ref\":\"{id:016x}\",\"result\":\"bounced\"}}\n"),
        Verdict::Bounced(ms) => {
            format!("{{\"ref\":\"{id:016x}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n")
        }
    }
}

#[cfg(test)]
mod tests;
