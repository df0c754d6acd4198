//! Notices to the platform: sent at once, all that wait in one request, again until they are taken.

use crate::journal::{Journal, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use notchpoint_policy::MessageId;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Notices are answered at once: a longer silence is a lost connection. It is believed for longer each time,
/// so that a slow platform is not asked over and over.
const ANSWER_FIRST: Duration = Duration::from_millis(200);
const ANSWER_MOST: Duration = Duration::from_secs(2);
const AGAIN_FIRST: Duration = Duration::from_millis(10);
const AGAIN_MOST: Duration = Duration::from_millis(200);
/// Notices in one request: it stays well under 64 KiB.
const MOST: usize = 500;

type Failure = Box<dyn std::error::Error>;

pub struct Reports {
    address: Cell<SocketAddr>,
    relocated: Notify,
    waiting: RefCell<Vec<(MessageId, Verdict)>>,
    news: Notify,
    journal: Rc<RefCell<Journal>>,
}

impl Reports {
    pub fn new(address: SocketAddr, journal: Rc<RefCell<Journal>>) -> Rc<Self> {
        let (address, relocated, news) = (Cell::new(address), Notify::new(), Notify::new());
        let reports = Rc::new(Self { address, relocated, waiting: RefCell::default(), news, journal });
        let task = reports.clone();
        tokio::task::spawn_local(async move { task.run().await });
        reports
    }

    pub fn push(&self, id: MessageId, verdict: Verdict) {
        self.waiting.borrow_mut().push((id, verdict));
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
        self.waiting.borrow().is_empty()
    }

    async fn run(&self) {
        let mut connection = None;
        let (mut again, mut patience) = (AGAIN_FIRST, ANSWER_FIRST);
        loop {
            let batch: Vec<_> = self.waiting.borrow().iter().take(MOST).copied().collect();
            if batch.is_empty() {
                tokio::select! {
                    () = self.news.notified() => {}
                    () = self.relocated.notified() => connection = None,
                }
                continue;
            }
            let posted = tokio::select! {
                posted = timeout(patience, self.post(&mut connection, &batch)) => posted,
                () = self.relocated.notified() => {
                    connection = None;
                    (again, patience) = (AGAIN_FIRST, ANSWER_FIRST);
                    continue;
                }
            };
            match posted {
                Ok(Ok(())) => {
                    (again, patience) = (AGAIN_FIRST, ANSWER_FIRST);
                    self.waiting.borrow_mut().drain(..batch.len());
                    let mut journal = self.journal.borrow_mut();
                    batch.iter().for_each(|(id, _)| journal.end(*id));
                }
                failed => {
                    if let Ok(Err(why)) = failed {
                        eprintln!("reports: {why}");
                    }
                    connection = None;
                    tokio::select! {
                        () = sleep(again.mul_f64(0.5 + fastrand::f64())) => {}
                        // The new place has not failed yet.
                        () = self.relocated.notified() => {
                            (again, patience) = (AGAIN_FIRST, ANSWER_FIRST);
                            continue;
                        }
                    }
                    (again, patience) = ((2 * again).min(AGAIN_MOST), (2 * patience).min(ANSWER_MOST));
                }
            }
        }
    }

    async fn post(
        &self,
        connection: &mut Option<SendRequest<Full<Bytes>>>,
        batch: &[(MessageId, Verdict)],
    ) -> Result<(), Failure> {
        let sender = match connection.take() {
            Some(c) if !c.is_closed() => connection.insert(c),
            _ => {
                let stream = TcpStream::connect(self.address.get()).await?;
                stream.set_nodelay(true)?;
                let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
                tokio::task::spawn_local(driver);
                connection.insert(sender)
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
        if status == 204 { Ok(()) } else { Err(format!("notices were answered {status}").into()) }
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
