//! Notices to the platform. When they are told is decided in `notice_scheduler.rs`; here they are posted.

use crate::io::ObservedStream;
use crate::platform::notice_scheduler::{NoticeScheduler, Start};
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
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// After so long a post has failed; what it tells was told again elsewhere long before.
const PATIENCE: Duration = Duration::from_secs(2);
/// A notice owed for longer than this is worth a line in the log: 300 ms are allowed.
const LONG: Duration = Duration::from_millis(150);

type Failure = Box<dyn std::error::Error>;
type Connection = SendRequest<Full<Bytes>>;

pub struct Reports {
    net: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    relocated: Notify,
    notices: RefCell<NoticeScheduler>,
    news: Notify,
    journal: Rc<RefCell<Journal>>,
    started: Instant,
}

impl Reports {
    pub fn new(address: SocketAddr, net: Rc<dyn Network>, journal: Rc<RefCell<Journal>>) -> Rc<Self> {
        let (address, relocated, news) = (Cell::new(address), Notify::new(), Notify::new());
        let (notices, started) = (RefCell::default(), Instant::now());
        let reports = Rc::new(Self { net, address, relocated, notices, news, journal, started });
        let task = reports.clone();
        tokio::task::spawn_local(async move { task.run().await });
        reports
    }

    pub fn push(&self, id: MessageId, verdict: Verdict) {
        self.notices.borrow_mut().push(id, verdict, self.started.elapsed());
        self.news.notify_one();
    }

    /// Notices go elsewhere from now on, also those that are under way: told twice they do no harm.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.relocated.notify_one();
        }
    }

    /// Nothing is left to be told.
    pub fn is_empty(&self) -> bool {
        self.notices.borrow().is_empty()
    }

    async fn run(self: Rc<Self>) {
        let (ended, mut ends) = unbounded_channel::<(u64, Result<Connection, String>)>();
        let mut kept: Option<Connection> = None;
        let mut posts: BTreeMap<u64, AbortHandle> = BTreeMap::new();
        loop {
            let start = self.notices.borrow_mut().start(self.started.elapsed());
            if let Some(start) = start {
                if let Some(old) = start.drop.and_then(|p| posts.remove(&p)) {
                    old.abort();
                }
                let connection = if start.fresh { None } else { kept.take() };
                let post = start.post;
                let task = tokio::task::spawn_local(self.clone().tell(start, connection, ended.clone()));
                posts.insert(post, task.abort_handle());
                continue;
            }
            let wake = self.notices.borrow().wake().map(|w| self.started + w);
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.relocated.notified() => {
                    kept = None;
                    for post in self.notices.borrow_mut().relocated(self.started.elapsed()) {
                        posts.remove(&post).inspect(AbortHandle::abort);
                    }
                }
                Some((post, result)) = ends.recv() => {
                    if posts.remove(&post).is_none() {
                        continue;
                    }
                    let now = self.started.elapsed();
                    let age = self.notices.borrow().age(now);
                    match result {
                        Ok(connection) => {
                            kept = Some(connection);
                            let told = self.notices.borrow_mut().answered(post, now);
                            let mut journal = self.journal.borrow_mut();
                            told.into_iter().for_each(|id| _ = journal.record_end(id));
                            if age > LONG {
                                tracing::warn!("reports: a notice was told after {} ms", age.as_millis());
                            }
                        }
                        Err(why) => {
                            let ms = age.as_millis();
                            tracing::warn!("reports: {why}; the oldest notice waits for {ms} ms");
                            self.notices.borrow_mut().failed(post, now);
                        }
                    }
                }
                () = self.news.notified() => {}
                () = alarm => {}
            }
        }
    }

    async fn tell(
        self: Rc<Self>,
        start: Start,
        connection: Option<Connection>,
        ended: UnboundedSender<(u64, Result<Connection, String>)>,
    ) {
        let posted = match timeout(PATIENCE, self.post(connection, &start.notices)).await {
            Ok(posted) => posted.map_err(|e| e.to_string()),
            Err(_) => Err(format!("no answer in {} ms", PATIENCE.as_millis())),
        };
        let _ = ended.send((start.post, posted));
    }

    async fn post(
        &self,
        connection: Option<Connection>,
        batch: &[(MessageId, Verdict)],
    ) -> Result<Connection, Failure> {
        let mut sender = match connection {
            Some(c) if !c.is_closed() => c,
            _ => {
                let stream = self.net.connect(self.address.get()).await?;
                let _ = stream.set_nodelay(); // Without it small writes wait, and still arrive.
                let (sender, driver) = http1::handshake(ObservedStream::new(stream, ())).await?;
                tokio::task::spawn_local(driver);
                sender
            }
        };
        sender.ready().await?;
        let lines: String = batch.iter().map(|(id, v)| line(*id, *v)).collect();
        let request = Request::post("/reports")
            .header(HOST, self.address.get().to_string())
            .header(CONTENT_TYPE, "application/x-ndjson")
            .body(Full::from(lines))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let _ = Limited::new(response.into_body(), 1 << 16).collect().await;
        if status == 204 { Ok(sender) } else { Err(format!("notices were answered {status}").into()) }
    }
}

fn line(id: MessageId, verdict: Verdict) -> String {
    let id = id.0;
    match verdict {
        Verdict::Dead => format!("{{\"ref\":\"{id:016x}\",\"result\":\"dead\"}}\n"),
        Verdict::Bounced(0) => format!("{{\"ref\":\"{id:016x}\",\"result\":\"bounced\"}}\n"),
        Verdict::Bounced(ms) => {
            format!("{{\"ref\":\"{id:016x}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n")
        }
    }
}
