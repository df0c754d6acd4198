//! A network cut begins while a call with several payments is being written. One payment of the call has a long
//! time left, the time of the others ends during the cut. 'bounced' tells a client that handing its message in
//! again is harmless: the old one must not run any more, also once the cut is over.

#[path = "../standins/mod.rs"]
mod standins;
use standins::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How long the cut lasts: on the days with a split, a zone is partitioned for 6 s.
const CUT: u64 = 6_000;
/// Bodies hold at most 64 KiB.
const BODY: usize = 48 << 10;
/// The payments whose time ends during the cut, and their time in milliseconds.
const SHORT: u64 = 12;
const TIME: u64 = 2_500;

/// The network between the sender and the endpoint. While it is cut, nothing passes in either direction on open
/// connections, and new ones never come up: what arrives waits and passes once the cut is over.
fn network(to: SocketAddr, is_cut: Arc<Mutex<Option<Instant>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    like_ethernet(&listener);
    let address = listener.local_addr().unwrap();
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        loop {
            if is_cut.lock().unwrap().is_some_and(|until| Instant::now() < until) {
                let filling = stop_connects(&listener);
                wait_while_cut(&is_cut);
                drop(filling);
                resume_connects(&listener);
            }
            let Ok((near, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let is_cut = is_cut.clone();
            thread::spawn(move || {
                let Ok(far) = TcpStream::connect(to) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near2, far2, cut2) = (near.try_clone().unwrap(), far.try_clone().unwrap(), is_cut.clone());
                thread::spawn(move || pass(far2, near2, cut2));
                pass(near, far, is_cut);
            });
        }
    });
    address
}

fn wait_while_cut(is_cut: &Mutex<Option<Instant>>) {
    while is_cut.lock().unwrap().is_some_and(|until| Instant::now() < until) {
        thread::sleep(ms(2));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: Arc<Mutex<Option<Instant>>>) {
    let mut block = [0; 4096];
    loop {
        wait_while_cut(&is_cut);
        match from.read(&mut block) {
            Ok(n) if n > 0 => {
                wait_while_cut(&is_cut);
                if to.write_all(&block[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

fn main() {
    let record = Record::create();
    let platform = Platform::start(&record);
    let folder = work_folder().join("n0");
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let is_cut: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (counted, recorded, cut) = (runs.clone(), record.clone(), is_cut.clone());
    // The cut begins right behind the answer to the message "last before the cut".
    let partner = endpoint(&record, "s-0", move |called, request| {
        for message in called {
            *counted.lock().unwrap().entry(message.id.clone()).or_default() += 1;
        }
        let ids: Vec<&str> = called.iter().map(|m| m.id.as_str()).collect();
        let waits = request.header("x-timeout-ms");
        recorded.line(&format!("endpoint s-0: {}, X-Timeout-Ms {waits}, runs {}", request.line, ids.join(" ")));
        if called[0].body.starts_with(b"last before the cut") {
            let (cut, recorded) = (cut.clone(), recorded.clone());
            thread::spawn(move || {
                thread::sleep(ms(301));
                if has_trouble() {
                    *cut.lock().unwrap() = Some(Instant::now() + ms(CUT));
                    recorded.line("network: cut begins");
                    thread::sleep(ms(CUT));
                    recorded.line("network: cut is over");
                }
            });
            return Reply::After(ms(300), done(called));
        }
        Reply::After(ms(80), done(called))
    });
    let address = network(partner, is_cut);
    let members = vec![member("s-0", address, 7, "chain-partner", "up")];
    platform.set_members(&members);
    let deployment = Deployment {
        name: "n0".into(),
        listen: free_address(),
        admin: free_address(),
        discovery: platform.address,
        members,
        classes: vec![STATUS_UPDATE.into(), ORDER_PAYMENT.into()],
        sockets: 1_024,
        slots: 7,
        extra: String::new(),
    };
    write_config(&folder, &deployment.text());
    let sender = SenderProcess::start(&folder, &deployment, &[]);
    if !wait_until(ms(10_000), || is_up(deployment.listen)) {
        fail("the sender is not ready within 10 s");
    }
    thread::sleep(ms(1_500));
    let hand = |id: &str, timeout: u64, body: &[u8]| {
        let status = hand_in(deployment.listen, id, "order-payment", 7, ms(timeout), body);
        record.line(&format!("client: order-payment {id} handed in, {timeout} ms, answer {status:?}"));
        status
    };
    hand("0000000000000100", 20_000, b"first");
    thread::sleep(ms(500));
    hand("0000000000000101", 20_000, b"last before the cut");
    thread::sleep(ms(100));
    // While that call is out, further payments arrive. They go out in one call.
    let mut body = b"order 4711".to_vec();
    body.resize(BODY, b'.');
    hand("0000000000000200", 20_000, &body);
    let ids: Vec<String> = (0..SHORT).map(|n| format!("{:016x}", 0x300 + n)).collect();
    // These have come again after a refusal, so that little of their time is left.
    let hand_again = |id: &str, timeout: u64, body: &[u8]| {
        let status = hand_in_again(deployment.listen, id, "order-payment", 7, ms(timeout), body);
        record.line(&format!("client: order-payment {id} handed in again, {timeout} ms, answer {status:?}"));
        status
    };
    for id in &ids {
        if hand_again(id, TIME, &body) != Some(202) {
            fail("a payment was not taken on");
        }
    }
    // Clients whose message was bounced hand the order in again once, after the wait, under a new id.
    let mut again = BTreeMap::new();
    let end = Instant::now() + ms(CUT + 12_000);
    while Instant::now() < end {
        for id in &ids {
            let notices = platform.notices.lock().unwrap().clone();
            let is_due = |n: &Notice| n.id == *id && n.result == "bounced" && n.at.elapsed() >= ms(500);
            if !again.contains_key(id) && notices.iter().any(is_due) {
                let new = format!("1{}", &id[1..]);
                let status = hand_again(&new, 15_000, &body);
                record.line(&format!("client: {id} was bounced, its order is handed in again as {new}: {status:?}"));
                again.insert(id.clone(), new);
            }
        }
        thread::sleep(ms(20));
    }
    let mut broken = false;
    for id in &ids {
        let count = |id: &String| runs.lock().unwrap().get(id).copied().unwrap_or(0);
        let (first, notices) = (count(id), platform.notices_for(id));
        let Some(new) = again.get(id) else {
            record.line(&format!("result: order-payment {id} ran {first} times, notices {notices:?}"));
            broken |= first > 1;
            continue;
        };
        let second = count(new);
        record.line(&format!(
            "result: order-payment {id} ran {first} times, notices {notices:?}; again as {new}, ran {second} times, \
             notices {:?}",
            platform.notices_for(new)
        ));
        broken |= first + second > 1;
    }
    drop(sender);
    println!("{}", if broken { "broken: an order that was bounced and handed in again ran twice" } else { "held" });
    std::process::exit(if broken { BROKEN } else { HELD });
}
