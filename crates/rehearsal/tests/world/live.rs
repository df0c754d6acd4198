//! The environment on loopback sockets, before its senders start.

use notchpoint_rehearsal::hosts::{Hosts, Role};
use notchpoint_rehearsal::live::Live;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::TcpListener;

#[test]
fn address_of_a_sender_belongs_to_no_other_socket_before_the_sender_starts() {
    // Guards against a demo that fails by chance: another socket gets the port that was chosen for a sender
    // and freed, and the sender finds its address in use.
    const SENDERS: usize = 3;
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = Live::new(SENDERS, Vec::new(), folder.path()).expect("ports are free");
    for sender in 0..SENDERS {
        let address = hosts.address(Role::Sender(sender));
        let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let error = other.bind(&address.into()).expect_err("the address is taken");
        assert_eq!(error.kind(), ErrorKind::AddrInUse, "sender {sender}");
        // A sender's listener shares the address.
        TcpListener::bind(address).expect("a sender can listen");
    }
}
