//! A new configuration replaces classes while the requests of some payments are arriving. Payments must not be
//! repeated once they may have run, and messages under way keep their class.

#[path = "../standins/mod.rs"]
mod standins;
use standins::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

const PAYMENTS: usize = 4;
/// A class that the new configuration has in place of order-payment.
const ORDER_NOTE: &str = r#"{"name":"order-note","effect":"idempotent","sloS":2.0,"deadlineS":24.0,"worth":1.0,"lateShare":0.3,"memorySpanS":5.0,"group":"all","streaming":false}"#;

fn main() {
    let record = Record::create();
    let platform = Platform::start(&record);
    let folder = work_folder().join("n0");
    // How often each message ran, by its id.
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let mut members = Vec::new();
    for n in 0..2 {
        let (runs, recorded) = (runs.clone(), record.clone());
        // A partner that carries out what arrives. Its answer to the first call of a message that starts with
        // "error" is 500: the protocol says that such a message may have run.
        let address = endpoint(&record, &format!("s-{n}"), move |called, request| {
            let first = &called[0];
            let count = {
                let mut runs = runs.lock().unwrap();
                let count = runs.entry(first.id.clone()).or_default();
                *count += 1;
                *count
            };
            let fails = first.body.starts_with(b"error") && count == 1;
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            recorded.line(&format!("endpoint s-{n}: {} {} runs, time {count}, answered {status}", request.line, first.id));
            Reply::After(ms(80), answer(status, "", ""))
        });
        members.push(member(&format!("s-{n}"), address, 3, "small-shop", "up"));
    }
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
    let mut sender = SenderProcess::start(&folder, &deployment, &[]);
    if !wait_until(ms(10_000), || is_up(deployment.listen)) {
        fail("the sender is not ready within 10 s");
    }
    thread::sleep(ms(1_500));
    // Ordinary traffic of both classes first.
    for n in 0..6u64 {
        let class = if n % 2 == 0 { "status-update" } else { "order-payment" };
        let status = hand_in(deployment.listen, &format!("{:016x}", 0x100 + n), class, 3, ms(5_000), b"ok");
        record.line(&format!("client: {class} {:016x} handed in, answer {status:?}", 0x100 + n));
        thread::sleep(ms(200));
    }
    thread::sleep(ms(500));
    // The requests of some payments arrive in pieces over 1.2 s; the new configuration comes in between.
    let body = b"error: order 4711, 120.00 EUR, to be paid once";
    let clients: Vec<_> = (0..PAYMENTS as u64)
        .map(|n| {
            let (record, address) = (record.clone(), deployment.listen);
            thread::spawn(move || {
                let id = format!("{:016x}", 0xabc0 + n);
                let Ok(stream) = TcpStream::connect(address) else { return (id, None) };
                let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(ms(400))));
                let head = head(&id, "order-payment", 3, ms(15_000), body.len());
                let _ = (&stream).write_all(head.as_bytes());
                record.line(&format!("client: head of order-payment {id} sent"));
                thread::sleep(ms(1_200));
                let _ = (&stream).write_all(body);
                let status = read_http(&mut BufReader::new(&stream)).and_then(|r| r.line.parse::<u16>().ok());
                record.line(&format!("client: body of order-payment {id} sent, answer {status:?}"));
                (id, status)
            })
        })
        .collect();
    thread::sleep(ms(600));
    if has_trouble() {
        let new = Deployment { classes: vec![STATUS_UPDATE.into(), ORDER_NOTE.into()], ..deployment.clone() };
        write_config(&folder, &new.text());
        sender.signal(SIGHUP);
        record.line("platform: new configuration, SIGHUP: order-payment vanishes, order-note appears");
    }
    let answers: Vec<(String, Option<u16>)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    thread::sleep(ms(20_000));
    if sender.has_ended() {
        record.line("the sender has ended");
        fail("the sender has ended");
    }
    let mut broken = false;
    for (id, status) in &answers {
        let count = runs.lock().unwrap().get(id).copied().unwrap_or(0);
        record.line(&format!(
            "result: order-payment {id}, answer {status:?}, ran {count} times, notices {:?}",
            platform.notices_for(id)
        ));
        broken |= count > 1;
    }
    let taken = answers.iter().filter(|a| a.1 == Some(202)).count();
    record.line(&format!("result: {taken} of {PAYMENTS} payments taken on"));
    drop(sender);
    if !has_trouble() && taken < PAYMENTS {
        fail("not all payments were taken on");
    }
    println!("{}", if broken { "broken: a payment ran twice" } else { "held" });
    std::process::exit(if broken { BROKEN } else { HELD });
}
