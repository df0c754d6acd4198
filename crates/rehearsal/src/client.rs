//! Emulated clients that follow the protocol: they submit messages at their own rate, regardless of the
//! results, wait 400 ms for an answer, and resubmit after a refusal. Some clients send malformed requests.

use crate::observations::{BadRequest, Message, Observations};
use crate::scenario::Scenario;
use crate::wire::Wire;
use notchpoint_emulator::Micros;
use notchpoint_seam::Network;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// Time that a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before resubmitting after a refusal without `Retry-After`.
const DEFAULT_RETRY_DELAY: Micros = 500_000;
/// Delay before resubmitting when no answer came.
const NO_ANSWER_RETRY_DELAY: Micros = 100_000;
/// Clients do not submit messages with less remaining time than this.
const MIN_REMAINING_TIME: Micros = 50_000;
/// Maximum number of idle connections to one sender.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time within which a malformed request must receive an error or a close.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of a submission.
enum SubmitResult {
    Accepted,
    Refused(Micros),
    Failed,
    /// No answer: it is unknown whether the message was accepted.
    NoAnswer,
}

/// All clients of a run.
pub struct Clients {
    net: Rc<dyn Network>,
    senders: Vec<SocketAddr>,
    scenario: Rc<Scenario>,
    seed: u64,
    observations: Rc<Observations>,
    idle: RefCell<Vec<Vec<Wire>>>,
    /// Accepted messages by ID: index of the order, number of the submission (counted from 0) and body size.
    /// They are submitted again if they are bounced.
    accepted: RefCell<BTreeMap<u64, (usize, u32, usize)>>,
}

/// Mixes two numbers into a pseudorandom one (splitmix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Clients {
    /// Creates clients of these senders.
    pub fn new(
        net: Rc<dyn Network>,
        senders: Vec<SocketAddr>,
        scenario: Rc<Scenario>,
        seed: u64,
        observations: Rc<Observations>,
    ) -> Rc<Self> {
        let idle = RefCell::new(senders.iter().map(|_| Vec::new()).collect());
        Rc::new(Self { net, senders, scenario, seed, observations, idle, accepted: RefCell::default() })
    }

    /// Submits an order, repeatedly if necessary, until it is accepted or the client gives up.
    pub async fn submit_order(self: Rc<Self>, order: usize, body: usize) {
        self.submit_until_accepted(order, 0, body, "0").await;
    }

    /// Handles a notice that an accepted message was bounced: resubmits it after the given delay.
    pub fn bounced(self: &Rc<Self>, id: u64, wait: Micros) {
        let Some((order, attempt, body)) = self.accepted.borrow_mut().remove(&id) else { return };
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            let wait = if wait > 0 { wait } else { DEFAULT_RETRY_DELAY };
            sleep(Duration::from_micros(wait)).await;
            clients.submit_until_accepted(order, attempt + 1, body, "1").await;
        });
    }

    async fn submit_until_accepted(&self, order: usize, mut attempt: u32, body: usize, mut retried: &str) {
        let (class, requested_at) = {
            let entry = &self.observations.orders.borrow()[order];
            (entry.class, entry.requested_at)
        };
        let deadline = requested_at + (self.scenario.class[class].get_ref().deadline_s * 1e6) as Micros;
        while attempt <= self.scenario.senders.client_retries
            && self.observations.now() + MIN_REMAINING_TIME < deadline
        {
            let id = mix(self.seed, mix(order as u64, u64::from(attempt)));
            // Senders are used in turn, as the platform's load balancer assigns connections.
            let sender = (mix(self.seed ^ 1, order as u64) as usize + attempt as usize) % self.senders.len();
            let wait = match self.submit(id, order, sender, deadline, body, retried).await {
                SubmitResult::Accepted => {
                    self.accepted.borrow_mut().insert(id, (order, attempt, body));
                    return;
                }
                SubmitResult::Failed => return,
                SubmitResult::Refused(wait) => {
                    retried = "1";
                    wait
                }
                SubmitResult::NoAnswer => {
                    retried = "again";
                    NO_ANSWER_RETRY_DELAY
                }
            };
            sleep(Duration::from_micros(wait)).await;
            attempt += 1;
        }
    }

    async fn submit(
        &self,
        id: u64,
        order: usize,
        sender: usize,
        deadline: Micros,
        body: usize,
        retried: &str,
    ) -> SubmitResult {
        let until = tokio::time::Instant::now() + ANSWER_TIMEOUT;
        loop {
            let reused_wire = self.idle.borrow_mut()[sender].pop();
            let reused = reused_wire.is_some();
            let mut wire = match reused_wire {
                Some(wire) if !wire.has_no_unread_data() => continue,
                Some(wire) => wire,
                None => match timeout_at(until, self.net.connect(self.senders[sender])).await {
                    Ok(Ok(stream)) => Wire::new(stream),
                    _ => return SubmitResult::NoAnswer,
                },
            };
            let request = self.request(id, order, sender, deadline, body, retried);
            let exchange = async {
                wire.write(&request).await?;
                wire.read_answer().await
            };
            match timeout_at(until, exchange).await {
                Ok(Ok(answer)) => {
                    let now = self.observations.now();
                    self.observations.log(format_args!("status {id:016x} {}", answer.status));
                    if let Some(message) = self.observations.messages.borrow_mut().get_mut(&id) {
                        message.answer.get_or_insert((now, answer.status));
                    }
                    let mut idle = self.idle.borrow_mut();
                    if !answer.closes() && idle[sender].len() < MAX_IDLE_CONNECTIONS {
                        idle[sender].push(wire);
                    }
                    return match answer.status {
                        200 | 202 => SubmitResult::Accepted,
                        429 | 503 => {
                            let retry_after = answer.header("retry-after").parse::<f64>().ok();
                            SubmitResult::Refused(
                                retry_after
                                    .map_or(DEFAULT_RETRY_DELAY, |s| (s.clamp(0.0, 60.0) * 1e6) as Micros),
                            )
                        }
                        _ => SubmitResult::Failed,
                    };
                }
                // The close of a reused connection crossed the request, which is sent again on a new one.
                Ok(Err(_)) if reused => {}
                _ => {
                    self.observations.log(format_args!("forsaken {id:016x}"));
                    if let Some(message) = self.observations.messages.borrow_mut().get_mut(&id) {
                        message.abandoned_at = Some(self.observations.now());
                    }
                    return SubmitResult::NoAnswer;
                }
            }
        }
    }

    /// Records a message and returns the bytes of its request.
    fn request(
        &self,
        id: u64,
        order: usize,
        sender: usize,
        deadline: Micros,
        body: usize,
        retried: &str,
    ) -> Vec<u8> {
        let now = self.observations.now();
        let mut orders = self.observations.orders.borrow_mut();
        let order_entry = &mut orders[order];
        let lifetime = self.observations.lifetime(sender);
        let mut messages = self.observations.messages.borrow_mut();
        if messages.get(&id).is_none() {
            order_entry.submissions += 1;
            self.observations.log(format_args!("hand-in {id:016x} of order {order} to {sender}"));
        }
        messages.insert(
            id,
            Message {
                order,
                sender,
                lifetime,
                submitted_at: now,
                deadline,
                answer: None,
                abandoned_at: None,
                delivered: None,
                is_answer_crossed: false,
                notices: Vec::new(),
            },
        );
        let scenario = &self.scenario;
        let class = &scenario.class[order_entry.class].get_ref().name;
        let tenant = scenario.tenant.get(order_entry.tenant).map_or("", |t| t.get_ref().name.as_str());
        let (dest, ms) = (order_entry.destination + 1, deadline.saturating_sub(now) / 1_000);
        let mut text = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout-Ms: {ms}\r\n\
             X-Retried: {retried}\r\nX-Envelope: dest={dest}\r\nContent-Length: {body}\r\n\r\n"
        )
        .into_bytes();
        text.resize(text.len() + body, b'.');
        text
    }

    /// Waits until a sender reports that it is up. Returns false after `max_wait`.
    pub async fn wait_until_ready(&self, sender: usize, max_wait: Duration) -> bool {
        let poll = async {
            loop {
                if self.fetch_up_status(sender).await.is_ok_and(|status| status == 200) {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(max_wait, poll).await.is_ok()
    }

    async fn fetch_up_status(&self, sender: usize) -> io::Result<u16> {
        let mut wire = Wire::new(self.net.connect(self.senders[sender]).await?);
        wire.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").await?;
        Ok(wire.read_answer().await?.status)
    }

    /// Sends one malformed request and records its answer.
    pub async fn send_bad_request(self: Rc<Self>, number: usize, at: Micros) {
        sleep_until(self.observations.instant_at(at)).await;
        let sender = number % self.senders.len();
        let (kind, bytes) = self.malformed_request(number);
        let index = {
            let mut bad = self.observations.bad_requests.borrow_mut();
            bad.push(BadRequest { kind, sender, at: self.observations.now(), response: None });
            bad.len() - 1
        };
        let exchange = async {
            let Ok(stream) = self.net.connect(self.senders[sender]).await else { return 0 };
            let mut wire = Wire::new(stream);
            if wire.write(&bytes).await.is_err() {
                return 0;
            }
            wire.read_answer().await.map_or(0, |a| a.status)
        };
        let response = timeout(BAD_CLIENT_TIMEOUT + ANSWER_TIMEOUT, exchange).await.ok();
        self.observations.log(format_args!("bad {kind} {response:?}"));
        self.observations.bad_requests.borrow_mut()[index].response =
            response.map(|status| (self.observations.now(), status));
    }

    /// Returns the kind and the bytes of the n-th malformed request.
    fn malformed_request(&self, number: usize) -> (&'static str, Vec<u8>) {
        let class = &self.scenario.class[0].get_ref().name;
        let head = |headers: &str| {
            format!("POST /{class} HTTP/1.1\r\nHost: x\r\nX-Priority-Class: {class}\r\n{headers}")
                .into_bytes()
        };
        let full = "X-Request-ID: 00000000000000ff\r\nX-Timeout-Ms: 1000\r\nX-Envelope: dest=1\r\n";
        let kinds: [(&'static str, Vec<u8>); 10] = [
            ("noise", b"\x00\x01\x02 what is this\r\n\r\n".to_vec()),
            ("silence", Vec::new()),
            ("a head without end", [head("").as_slice(), &vec![b'a'; 64 << 10]].concat()),
            ("a negative length", head(&format!("{full}Content-Length: -1\r\n\r\n"))),
            ("a huge length", head(&format!("{full}Content-Length: 99999999999\r\n\r\n"))),
            (
                "two lengths",
                head(&format!("{full}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
            ),
            ("no id", head("X-Timeout-Ms: 1000\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n")),
            ("no such class", b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".to_vec()),
            ("half a request", head(&format!("{full}Content-Length: 10\r\n\r\nhal"))),
            ("no such destination", {
                let headers = full.replace("dest=1", "dest=99999999");
                head(&format!("{headers}Content-Length: 0\r\n\r\n"))
            }),
        ];
        let number = number % kinds.len();
        kinds.into_iter().nth(number).unwrap_or_default()
    }
}
