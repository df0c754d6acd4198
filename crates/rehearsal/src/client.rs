//! Clients, as the protocol has them: they hand messages in at their own pace, whatever becomes of them, wait
//! 400 ms for an answer, and come again after a refusal. And some that send what nobody should.

use crate::book::{Bad, Book, Message};
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

/// A client waits so long for an answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// After a refusal that tells nothing of when to come back.
const COME_BACK: Micros = 500_000;
/// After an answer that never came.
const AGAIN: Micros = 100_000;
/// With less time left nobody hands anything in.
const LEAST: Micros = 50_000;
/// Connections that stand idle to one sender at most.
const IDLE: usize = 64;
/// What is owed an error or a close gets one in this time.
const OWED: Duration = Duration::from_secs(3);

/// What came of a hand-in.
enum Answer {
    Taken,
    Refused(Micros),
    Failed,
    /// No answer; whether it was taken on nobody knows.
    Nothing,
}

/// All clients.
pub struct Clients {
    net: Rc<dyn Network>,
    senders: Vec<SocketAddr>,
    scenario: Rc<Scenario>,
    seed: u64,
    book: Rc<Book>,
    idle: RefCell<Vec<Vec<Wire>>>,
    /// What has been taken on: its order, and how often that was handed in.
    taken: RefCell<BTreeMap<u64, (usize, u32, usize)>>,
}

/// A number that looks like chance, from two (splitmix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Clients {
    /// Clients of these senders.
    pub fn new(
        net: Rc<dyn Network>,
        senders: Vec<SocketAddr>,
        scenario: Rc<Scenario>,
        seed: u64,
        book: Rc<Book>,
    ) -> Rc<Self> {
        let idle = RefCell::new(senders.iter().map(|_| Vec::new()).collect());
        Rc::new(Self { net, senders, scenario, seed, book, idle, taken: RefCell::default() })
    }

    /// An order from when it is asked for, over all its hand-ins, until it is taken on or its client gives
    /// up.
    pub async fn ask(self: Rc<Self>, order: usize, body: usize) {
        self.hand_in_from(order, 0, body, "0").await;
    }

    /// A notice said that a message was turned away after all.
    pub fn bounced(self: &Rc<Self>, id: u64, wait: Micros) {
        let Some((order, tries, body)) = self.taken.borrow_mut().remove(&id) else { return };
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            let wait = if wait > 0 { wait } else { COME_BACK };
            sleep(Duration::from_micros(wait)).await;
            clients.hand_in_from(order, tries + 1, body, "1").await;
        });
    }

    async fn hand_in_from(&self, order: usize, mut tries: u32, body: usize, mut mark: &str) {
        let (class, asked) = {
            let o = &self.book.orders.borrow()[order];
            (o.class, o.asked)
        };
        let deadline = asked + (self.scenario.class[class].get_ref().deadline_s * 1e6) as Micros;
        while tries <= self.scenario.senders.client_retries && self.book.now() + LEAST < deadline {
            let id = mix(self.seed, mix(order as u64, u64::from(tries)));
            // The front deals connections out in turn.
            let sender = (mix(self.seed ^ 1, order as u64) as usize + tries as usize) % self.senders.len();
            let wait = match self.hand_in(id, order, sender, deadline, body, mark).await {
                Answer::Taken => {
                    self.taken.borrow_mut().insert(id, (order, tries, body));
                    return;
                }
                Answer::Failed => return,
                Answer::Refused(wait) => {
                    mark = "1";
                    wait
                }
                Answer::Nothing => {
                    mark = "again";
                    AGAIN
                }
            };
            sleep(Duration::from_micros(wait)).await;
            tries += 1;
        }
    }

    async fn hand_in(
        &self,
        id: u64,
        order: usize,
        sender: usize,
        deadline: Micros,
        body: usize,
        mark: &str,
    ) -> Answer {
        let until = tokio::time::Instant::now() + PATIENCE;
        loop {
            let kept = self.idle.borrow_mut()[sender].pop();
            let reused = kept.is_some();
            let mut wire = match kept {
                Some(wire) if !wire.is_quiet() => continue,
                Some(wire) => wire,
                None => match timeout_at(until, self.net.connect(self.senders[sender])).await {
                    Ok(Ok(stream)) => Wire::new(stream),
                    _ => return Answer::Nothing,
                },
            };
            let request = self.request(id, order, sender, deadline, body, mark);
            let exchange = async {
                wire.write(&request).await?;
                wire.answer().await
            };
            match timeout_at(until, exchange).await {
                Ok(Ok(answer)) => {
                    let now = self.book.now();
                    self.book.log(format_args!("status {id:016x} {}", answer.status));
                    if let Some(m) = self.book.messages.borrow_mut().get_mut(&id) {
                        m.answered.get_or_insert((now, answer.status));
                    }
                    let mut idle = self.idle.borrow_mut();
                    if !answer.closes() && idle[sender].len() < IDLE {
                        idle[sender].push(wire);
                    }
                    return match answer.status {
                        200 | 202 => Answer::Taken,
                        429 | 503 => {
                            let told = answer.header("retry-after").parse::<f64>().ok();
                            Answer::Refused(told.map_or(COME_BACK, |s| (s.clamp(0.0, 60.0) * 1e6) as Micros))
                        }
                        _ => Answer::Failed,
                    };
                }
                // Its end crossed the request: it goes out once more on a new connection.
                Ok(Err(_)) if reused => {}
                _ => {
                    self.book.log(format_args!("forsaken {id:016x}"));
                    if let Some(m) = self.book.messages.borrow_mut().get_mut(&id) {
                        m.forsaken = Some(self.book.now());
                    }
                    return Answer::Nothing;
                }
            }
        }
    }

    /// Writes a message down, and what is sent for it.
    fn request(
        &self,
        id: u64,
        order: usize,
        sender: usize,
        deadline: Micros,
        body: usize,
        mark: &str,
    ) -> Vec<u8> {
        let now = self.book.now();
        let mut orders = self.book.orders.borrow_mut();
        let o = &mut orders[order];
        let life = self.book.life(sender);
        let mut messages = self.book.messages.borrow_mut();
        if messages.get(&id).is_none() {
            o.handed += 1;
            self.book.log(format_args!("hand-in {id:016x} of order {order} to {sender}"));
        }
        messages.insert(
            id,
            Message {
                order,
                sender,
                life,
                handed: now,
                deadline,
                answered: None,
                forsaken: None,
                delivered: None,
                crossed: false,
                notices: Vec::new(),
            },
        );
        let s = &self.scenario;
        let class = &s.class[o.class].get_ref().name;
        let tenant = s.tenant.get(o.tenant).map_or("", |t| t.get_ref().name.as_str());
        let (dest, ms) = (o.destination + 1, deadline.saturating_sub(now) / 1_000);
        let mut text = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout-Ms: {ms}\r\n\
             X-Retried: {mark}\r\nX-Envelope: dest={dest}\r\nContent-Length: {body}\r\n\r\n"
        )
        .into_bytes();
        text.resize(text.len() + body, b'.');
        text
    }

    /// Waits until a sender answers that it is up; false if it never does.
    pub async fn up(&self, sender: usize, patience: Duration) -> bool {
        let ask = async {
            loop {
                if self.is_up(sender).await.is_ok_and(|status| status == 200) {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(patience, ask).await.is_ok()
    }

    async fn is_up(&self, sender: usize) -> io::Result<u16> {
        let mut wire = Wire::new(self.net.connect(self.senders[sender]).await?);
        wire.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").await?;
        Ok(wire.answer().await?.status)
    }

    /// One client that sends what nobody should.
    pub async fn misbehave(self: Rc<Self>, number: usize, at: Micros) {
        sleep_until(self.book.at(at)).await;
        let sender = number % self.senders.len();
        let (kind, bytes) = self.nonsense(number);
        let place = {
            let mut bad = self.book.bad.borrow_mut();
            bad.push(Bad { kind, sender, at: self.book.now(), got: None });
            bad.len() - 1
        };
        let talk = async {
            let Ok(stream) = self.net.connect(self.senders[sender]).await else { return 0 };
            let mut wire = Wire::new(stream);
            if wire.write(&bytes).await.is_err() {
                return 0;
            }
            wire.answer().await.map_or(0, |a| a.status)
        };
        let got = timeout(OWED + PATIENCE, talk).await.ok();
        self.book.log(format_args!("bad {kind} {got:?}"));
        self.book.bad.borrow_mut()[place].got = got.map(|status| (self.book.now(), status));
    }

    /// What the n-th such client sends.
    fn nonsense(&self, n: usize) -> (&'static str, Vec<u8>) {
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
                let h = full.replace("dest=1", "dest=99999999");
                head(&format!("{h}Content-Length: 0\r\n\r\n"))
            }),
        ];
        let n = n % kinds.len();
        kinds.into_iter().nth(n).unwrap_or_default()
    }
}
