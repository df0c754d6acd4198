//! Hosts one sender per instance and turns each batch of events into one turn. It decides nothing.

use crate::wire::*;
use notchpoint_policy::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// An entry of an endpoint list, with the names of the protocol.
struct NamedEntry {
    zone: String,
    kind: String,
    phase: Phase,
    dest: u64,
    endpoint: String,
}

/// A sender and what is needed to translate its events and actions.
struct Instance {
    sender: Sender,
    names: Names,
    addresses: BTreeMap<EndpointId, String>,
    /// The events of the current batch.
    events: Vec<Event>,
    /// The current batch names the instance.
    touched: bool,
}

impl Instance {
    /// Returns the id of an address, its FNV-1a hash, which is the same at every sender unless two hashes
    /// collide.
    fn endpoint(&mut self, address: &str) -> EndpointId {
        let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        let mut id = EndpointId(address.bytes().fold(0xcbf2_9ce4_8422_2325, step));
        while self.addresses.entry(id).or_insert_with(|| address.to_owned()) != address {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    /// Translates the entries of a list.
    fn entries(&mut self, list: &[NamedEntry]) -> Parsed<Vec<ListEntry>> {
        let translate = |entry: &NamedEntry| {
            Ok(ListEntry {
                endpoint: self.endpoint(&entry.endpoint),
                dest: DestinationId(entry.dest),
                zone: position(&self.names.zones, &entry.zone, "zone").unwrap_or(u32::MAX),
                kind: position(&self.names.kinds, &entry.kind, "kind")?,
                phase: entry.phase,
            })
        };
        list.iter().map(translate).collect()
    }
}

/// All instances of this process and the state of the protocol.
#[derive(Default)]
pub struct Host {
    clock: Micros,
    /// The number of the batch that is being read.
    batch: Option<u64>,
    instances: BTreeMap<u32, Instance>,
    /// The endpoint lists that the simulator has defined, by number.
    lists: BTreeMap<u8, Vec<NamedEntry>>,
    /// The list that is being read, and the number of its missing entries.
    incomplete_list: Option<(u8, usize)>,
}

impl Host {
    /// Processes one line and returns the reply if the line ends a batch.
    pub fn process_line(&mut self, line: &str) -> Parsed<Option<String>> {
        let mut parts = Parts::new(line);
        if let Some((list, left)) = self.incomplete_list {
            if parts.name() != "ENTRY" {
                return Err(Malformed(format!("expected an ENTRY line, found {}", parts.name())));
            }
            let entry = entry(&mut parts)?;
            self.lists.entry(list).or_default().push(entry);
            self.incomplete_list = (left > 1).then_some((list, left - 1));
            return Ok(None);
        }
        match (parts.name(), self.batch) {
            ("TURN", None) => {
                let clock = parts.seconds("clock", Round::Nearest)?;
                if clock < self.clock {
                    return Err(Malformed("the clock went backwards".into()));
                }
                self.clock = clock;
                self.batch = Some(parts.number("batch")?);
                Ok(None)
            }
            ("TURN", Some(_)) => Err(Malformed("TURN within a batch".into())),
            (name, None) => Err(Malformed(format!("{name:?} outside a batch"))),
            ("YOUR_TURN", Some(batch)) => {
                self.batch = None;
                Ok(Some(self.reply(batch)))
            }
            ("DEFINE_LIST", _) => {
                let list = parts.number("buffer")?;
                if list > 15 {
                    return Err(Malformed(format!("list number out of range: {list}")));
                }
                let count: usize = parts.number("items")?;
                self.lists.insert(list, Vec::new());
                self.incomplete_list = (count > 0).then_some((list, count));
                Ok(None)
            }
            _ => self.event(parts).map(|()| None),
        }
    }

    /// Processes a line that is addressed to an instance: adds an event, or starts or removes the instance.
    fn event(&mut self, mut parts: Parts) -> Parsed<()> {
        let name = parts.name();
        if !INSTANCE_LINES.contains(&name) {
            return Err(Malformed(format!("unknown message {name:?}")));
        }
        let number: u32 = parts.number("i")?;
        if name == "BEGIN" {
            let seed = parts.number("rngSeed")?;
            let (settings, names) = settings(parts.rest())?;
            let sender = Sender::new(settings, seed).map_err(|e| Malformed(e.to_string()))?;
            let addresses = BTreeMap::new();
            let instance = Instance { sender, names, addresses, events: vec![], touched: true };
            self.instances.insert(number, instance);
            return Ok(());
        }
        if name == "KILL" {
            self.instances.remove(&number);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(Malformed(format!("{name} for instance {number}, which has not started")));
        };
        instance.touched = true;
        let event = match name {
            "WORK_ITEM" => {
                let id = parts.id("corr")?;
                let class = position(&instance.names.classes, parts.text("type")?, "class")?;
                let tenant =
                    parts.optional("userGroup")?.filter(|t| !instance.names.tenants.is_empty() && *t != "0");
                let tenant = tenant.map(|t| position(&instance.names.tenants, t, "tenant")).transpose()?;
                let key = parts.optional("key")?.map(Box::from);
                let expires_in = parts.seconds("expiresInS", Round::Down)?;
                parts.optional("workHintS")?;
                let dest = DestinationId(parts.number("addresseeNo")?);
                let flags: u32 = parts.number("bitmap")?;
                // Either flag marks a message that was submitted before.
                let is_retry = flags & (2 | 16) != 0;
                Event::Taken(Message { id, class, tenant, key, dest, is_retry, expires_in })
            }
            "REPORT_BACK" => {
                let (id, is_final, reason) =
                    (parts.id("corr")?, parts.flag("complete")?, parts.text("reason")?);
                parts.text("endpoint")?;
                let outcome = outcome(reason, parts.optional("holdMs")?)?;
                let attempt = parts.number("try")?;
                parts.optional("waitTimeS")?;
                let allowance = allowance(parts.optional("report")?)?;
                Event::Ended { id, attempt, outcome, is_final, allowance }
            }
            "GONE" => Event::Withdrawn(parts.id("corr")?),
            "FIRED" => {
                parts.number::<u64>("cookie")?;
                Event::Wake
            }
            "INBOX" => {
                let from = parts.number("sender")?;
                Event::Note { from, body: parts.optional("body")?.map_or(Ok(Vec::new()), unhex)? }
            }
            "CHECK_RESULT" => {
                let endpoint = parts.text("endpoint")?;
                let endpoint = instance.endpoint(endpoint);
                Event::Probed { endpoint, outcome: outcome(parts.text("reason")?, None)? }
            }
            "DIRECTORY_UPDATE" => {
                let scope = parts.text("scope")?;
                parts.optional("version")?;
                let buffer = parts.optional("buffer")?;
                let mut entries = || {
                    let known = buffer.and_then(|b| b.parse().ok()).and_then(|b: u8| self.lists.get(&b));
                    match known {
                        Some(list) => instance.entries(list),
                        None => Err(Malformed(format!("no list number {}", buffer.unwrap_or("-")))),
                    }
                };
                Event::List(match scope {
                    "update" => ListUpdate::Changes(entries()?),
                    "replace" => ListUpdate::Whole(entries()?),
                    "restored" => ListUpdate::Restored(entries()?),
                    "unavailable" => ListUpdate::Unavailable,
                    other => return Err(Malformed(format!("unknown scope {other}"))),
                })
            }
            // `STREAMING`: streams are not used here, so their start changes nothing.
            _ => return Ok(()),
        };
        instance.events.push(event);
        Ok(())
    }

    /// Runs one turn of each instance that the batch names, and returns their actions as text.
    fn reply(&mut self, batch: u64) -> String {
        let mut text = String::new();
        let mut actions = Vec::new();
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            instance.sender.handle(self.clock, &instance.events, &mut actions);
            instance.events.clear();
            actions.drain(..).for_each(|a| write_action(&mut text, *number, &a, &instance.addresses));
        }
        let _ = writeln!(text, "YIELD\t{batch}");
        text
    }
}

/// The names of the lines that are addressed to an instance.
const INSTANCE_LINES: [&str; 10] = [
    "BEGIN",
    "KILL",
    "WORK_ITEM",
    "REPORT_BACK",
    "GONE",
    "FIRED",
    "INBOX",
    "CHECK_RESULT",
    "DIRECTORY_UPDATE",
    "STREAMING",
];

/// Reads an entry of an endpoint list.
fn entry(parts: &mut Parts) -> Parsed<NamedEntry> {
    let zone = parts.optional("regionPart")?.unwrap_or("").to_owned();
    parts.optional("weight")?;
    let kind = parts.optional("sku")?.unwrap_or("").to_owned();
    let phase = match parts.text("phase")? {
        "live" => Phase::Live,
        "quiescing" => Phase::Draining,
        "dead" => Phase::Gone,
        other => return Err(Malformed(format!("unknown phase {other}"))),
    };
    Ok(NamedEntry {
        zone,
        kind,
        phase,
        dest: parts.number("ownerNo")?,
        endpoint: parts.text("endpoint")?.to_owned(),
    })
}

/// Appends an action to a reply.
fn write_action(text: &mut String, number: u32, action: &Action, addresses: &BTreeMap<EndpointId, String>) {
    let address = |id: &EndpointId| addresses.get(id).map_or("-", String::as_str);
    // Writes to a `String` never fail.
    let _ = match action {
        Action::Send { id, endpoint, timeout, .. } => {
            writeln!(
                text,
                "CALL_OUT\t{number}\t{:016x}\t{}\t{}",
                id.0,
                format_seconds(*timeout),
                address(endpoint)
            )
        }
        Action::Cancel { id, attempt } => writeln!(text, "RETRACT\t{number}\t{:016x}\t{attempt}", id.0),
        Action::Refuse { id, retry_after } => {
            writeln!(text, "OVERLOAD_REPLY\t{number}\t{:016x}\t{}", id.0, format_seconds(*retry_after))
        }
        Action::Fail { id } => writeln!(text, "LOSE\t{number}\t{:016x}", id.0),
        Action::WakeAt(at) => writeln!(text, "AFTER\t{number}\t0\t{}", format_seconds(*at)),
        Action::Watch => writeln!(text, "TRACK\t{number}\t1"),
        Action::Fetch => writeln!(text, "RESOLVE\t{number}"),
        Action::Probe { endpoint } => writeln!(text, "POLL\t{number}\t{}", address(endpoint)),
        Action::Note { to, body } => {
            let receiver = to.map_or("all".to_owned(), |n| n.to_string());
            writeln!(
                text,
                "POST\t{number}\t{receiver}\t{}",
                if body.is_empty() { "-".to_owned() } else { hex(body) }
            )
        }
        Action::CloseIdle { endpoint } => writeln!(text, "CLOSE_IDLE\t{number}\t{}", address(endpoint)),
        Action::Log(line) => writeln!(text, "DEBUG\t{number}\t{line}"),
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEGIN: &str = "BEGIN\t3\t7\tbounds.maxAttempts=8\tbounds.mostHeld=230\tclasses.count=1\t\
        classes.0.deadlineS=6.0\tclasses.0.effect=idempotent\tclasses.0.name=a\tclasses.0.sloS=1.0\t\
        discovery=push\tfamilyInfo.slots=7\tkinds=k\tzones=z";

    fn feed(host: &mut Host, lines: &[&str]) -> Vec<String> {
        lines.iter().filter_map(|l| host.process_line(l).unwrap_or_else(|e| panic!("{l}: {}", e.0))).collect()
    }

    #[test]
    fn a_message_is_sent_to_its_destination() {
        let mut host = Host::default();
        let list = ["DEFINE_LIST\t0\t1", "ENTRY\tz\t1\tk\tlive\t57\t10.0.0.1:80\t-"];
        feed(&mut host, &["TURN\t1.0\t1", BEGIN, list[0], list[1], "DIRECTORY_UPDATE\t3\trestored\t1\t0"]);
        assert!(feed(&mut host, &["YOUR_TURN"])[0].ends_with("YIELD\t1\n"));
        let work = "WORK_ITEM\t3\t65c853ac5d3a91c4\ta\t-\t-\t6.0\t-\t57\t0";
        let reply = feed(&mut host, &["TURN\t1.5\t2", work, "YOUR_TURN"]).remove(0);
        assert!(reply.contains("CALL_OUT\t3\t65c853ac5d3a91c4\t"), "{reply}");
        let done = "REPORT_BACK\t3\t65c853ac5d3a91c4\t1\tcompleted\t10.0.0.1:80\t-\t0\t0.1\t-";
        let reply = feed(&mut host, &["TURN\t1.6\t3", done, "YOUR_TURN"]).remove(0);
        assert!(!reply.contains("CALL_OUT") && !reply.contains("LOSE"), "{reply}");
    }

    #[test]
    fn a_killed_instance_takes_no_further_action() {
        let mut host = Host::default();
        feed(&mut host, &["TURN\t1\t1", BEGIN, "YOUR_TURN"]);
        let work = "WORK_ITEM\t3\t65c853ac5d3a91c4\ta\t-\t-\t6.0\t-\t57\t0";
        assert_eq!(feed(&mut host, &["TURN\t2\t2", work, "KILL\t3", "YOUR_TURN"]), ["YIELD\t2\n"]);
    }

    #[test]
    fn malformed_lines_are_reported_without_a_panic() {
        for malformed in [
            "WHAT\t3",
            "",
            "WORK_ITEM\t3\tnot-hex\ta\t-\t-\t6.0\t-\t57\t0",
            "WORK_ITEM\t3\t65c853ac5d3a91c4\tother\t-\t-\t6.0\t-\t57\t0",
            "WORK_ITEM\t3\t65c853ac5d3a91c4\ta\t-\t-\t-6\t-\t57\t0",
            "WORK_ITEM\t9\t65c853ac5d3a91c4\ta\t-\t-\t6.0\t-\t57\t0",
            "WORK_ITEM\t3",
            "REPORT_BACK\t3\t65c853ac5d3a91c4\t1\twhatever\tx\t-\t0\t0.1\t-",
            "DIRECTORY_UPDATE\t3\treplace\t1\t4",
            "DEFINE_LIST\t16\t0",
            "BEGIN\t3\t7",
            "TURN\t1\t2",
            "YIELD\t1",
        ] {
            let mut host = Host::default();
            feed(&mut host, &["TURN\t1\t1", BEGIN]);
            assert!(host.process_line(malformed).is_err(), "{malformed}");
        }
    }
}
