//! The check that no open message of the journal is forgotten, and what the policy is told of a message.

use super::*;
use crate::descriptor_limits::DescriptorLimits;
use crate::reasons::ReasonCounts;
use crate::settings::descriptors::SharedDescriptors;
use crate::settings::operator::RecorderSettings;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::tests::journal;
use notchpoint_seam::system::{SystemClock, SystemSockets};
use std::path::Path;
use tokio::sync::mpsc::unbounded_channel;

/// Returns a decision loop without endpoints, and the parts that a test observes.
fn decision_loop(folder: &Path) -> (DecisionLoop, Rc<RefCell<Journal>>, Rc<ReasonCounts>) {
    let text = crate::settings::config::tests::TEXT;
    let config = crate::settings::config::read(text).expect("sound");
    let journal = Rc::new(RefCell::new(journal(folder)));
    let (input_sender, inputs) = unbounded_channel();
    let (net, durability) = (Rc::new(SystemSockets::default()), DurabilityTracker::new(journal.clone()));
    let descriptors =
        Rc::new(DescriptorLimits::new(SharedDescriptors::new(&config, false), HeldDescriptors::default()));
    let (calls_net, calls_inputs) = (net.clone(), input_sender.clone());
    let calls = Calls::new(&config, descriptors, calls_net, journal.clone(), durability, None, calls_inputs);
    let active_settings = ActiveSettings::new(&config, &BTreeMap::new(), &BTreeSet::new()).0;
    let reasons = calls.reasons.clone();
    let components = Components {
        journal: journal.clone(),
        active_settings: Rc::new(RefCell::new(active_settings)),
        calls,
        copies: None,
        reports: Reports::new(config.discovery_addr, net.clone(), journal.clone()),
        discovery: Rc::new(Discovery::new(config.discovery_addr, 0, net, input_sender)),
        peers: None,
        zone_monitor: None,
        flight: FlightRecorder::open(&RecorderSettings::default(), &config, Rc::new(SystemClock))
            .expect("it is off"),
        admission: Rc::default(),
        inputs,
    };
    let created = DecisionLoop::new(&config, text, PredecessorMessages::default(), components);
    (created.expect("the settings are sound"), journal, reasons)
}

fn forgotten_messages(reasons: &ReasonCounts) -> u64 {
    reasons.to_json()["forgotten_messages"].as_u64().expect("a number")
}

#[test]
fn a_message_that_cannot_be_resumed_is_ended_once_while_the_platform_does_not_answer() {
    // Guards against a check that takes a message for forgotten whose notice is not delivered yet, and posts
    // it again each time.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let open = OpenMessage::new("class-that-left", "acme", 3, u64::MAX, Vec::new().into());
        journal(folder.path()).accept(MessageId(1), open).expect("room");
        let (mut decision_loop, journal, reasons) = decision_loop(folder.path());
        let _ = tokio::time::timeout(5 * AUDIT_INTERVAL, decision_loop.run()).await;
        assert_eq!(forgotten_messages(&reasons), 0);
        assert_eq!(decision_loop.reports.pending_count(), 1);
        let verdict = journal.borrow().get(MessageId(1)).expect("its notice is not delivered").verdict;
        assert_eq!(verdict, Some(Verdict::Dead), "also for the next process");
    });
}

#[test]
fn a_message_that_no_part_holds_is_counted_and_resumed() {
    // Guards against an acknowledged message that stays in the journal unsent as long as the process lives.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut decision_loop, journal, reasons) = decision_loop(folder.path());
        let accept = |id: u64| {
            let open = OpenMessage::new("update", "acme", 3, u64::MAX, Vec::new().into());
            journal.borrow_mut().accept(MessageId(id), open).expect("room");
        };
        // One message waits for its acknowledgement, and two are forgotten, one of them with a verdict.
        (1..=3).for_each(accept);
        let hold = journal.borrow().hold(MessageId(1));
        journal.borrow_mut().record_verdict(MessageId(3), Verdict::Dead);
        let _ = tokio::time::timeout(10 * AUDIT_INTERVAL, decision_loop.run()).await;
        assert_eq!(forgotten_messages(&reasons), 2, "each is counted once");
        let held: Vec<u64> = decision_loop.sender.open_messages().iter().map(|open| open.0.0).collect();
        assert_eq!(held, [2], "the policy has the one that can be sent");
        assert!(!decision_loop.reports.is_empty(), "the other one's notice is posted");
        drop(hold);
    });
}

#[test]
fn an_acknowledged_message_has_the_class_of_its_record_and_not_of_an_index() {
    // Guards against a payment that is repeated: an earlier session that accepted it had its classes in
    // another order, so that its index of the class meant a class that may be repeated.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut decision_loop, journal, _) = decision_loop(folder.path());
        let index_of = |name: &str| {
            let index = decision_loop.active_settings.borrow().classes.current_index(name);
            index.expect("a class") as u32
        };
        let (update, payment) = (index_of("update"), index_of("payment"));
        let open = OpenMessage::new("payment", "acme", 3, u64::MAX, Vec::new().into());
        journal.borrow_mut().accept(MessageId(1), open).expect("room");
        let dest = DestinationId(3);
        let accepted =
            AcceptedMessage { id: MessageId(1), class: update, tenant: None, dest, is_retry: false };
        decision_loop.events.clear();
        decision_loop.process_input(Input::Acknowledged(accepted));
        let [Event::Taken(message)] = &decision_loop.events[..] else { panic!("one message is taken") };
        assert_eq!((message.class, message.tenant), (payment, Some(0)));
    });
}
