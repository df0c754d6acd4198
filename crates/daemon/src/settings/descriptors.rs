//! Divides the file descriptors of a sender among its parts, so that no part can exhaust those of another.
//! The two processes of a hand-over share them.

use crate::settings::config::Config;
use serde::{Deserialize, Serialize};

/// Descriptors of the process itself: standard streams, the event loop, signals, listening sockets, datagram
/// sockets, the files and the lock of the store, and a recording that is being written.
const OWN_DESCRIPTORS: usize = 24;
/// A watch of the endpoint list, and the one that replaces it.
const WATCH_CONNECTIONS: usize = 2;
/// Connections that post notices, and the one that is kept alive.
const NOTICE_CONNECTIONS: usize = 7;
/// The socket for hand-overs, and the connection of one.
const HAND_OVER_DESCRIPTORS: usize = 2;
/// The maximum number of connections of operators and their tools. It is further limited to one in
/// `OPERATOR_DIVISOR` of all descriptors.
pub const MAX_OPERATOR_CONNECTIONS: usize = 24;
const OPERATOR_DIVISOR: usize = 16;
/// The same for a process that is starting or has handed over, and only refuses their requests. One more is
/// accepted while it waits.
pub const IDLE_OPERATOR_CONNECTIONS: usize = 2;
/// Descriptors of a process that has not taken over yet.
const STARTING_DESCRIPTORS: usize = 24;
/// What a process holds after it has handed over, besides connections of clients and operators and calls. It
/// still posts the notices that are under way.
const RETIRED_DESCRIPTORS: usize = OWN_DESCRIPTORS + NOTICE_CONNECTIONS;
/// A process takes over only if there are this many for connections of clients and idle ones to endpoints.
const MIN_SUCCESSOR_CONNECTIONS: usize = 12;
/// With less than one in this many of all descriptors, clients' connections displace one another constantly.
const MIN_CLIENT_DIVISOR: usize = 8;

/// The most descriptors that a process holds after it has handed over, or an earlier session of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldDescriptors {
    /// Calls in progress that the policy of the successor counts among its slots.
    pub calls: usize,
    /// All others.
    pub others: usize,
}

impl HeldDescriptors {
    /// Returns what a process holds that has handed over, with these calls and connections open.
    pub fn of_retired_process(calls: usize, clients: usize, operators: usize) -> Self {
        let operators = operators.max(IDLE_OPERATOR_CONNECTIONS) + 1;
        Self { calls, others: RETIRED_DESCRIPTORS + clients + operators }
    }
}

/// The descriptors of one sender, which its processes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedDescriptors {
    all: usize,
    /// The most calls in progress, in both processes of a hand-over together.
    slots: usize,
    /// Whether another process may start and take over.
    allows_handover: bool,
    /// Descriptors for replication.
    replication: usize,
}

impl SharedDescriptors {
    /// Returns the descriptors that the configuration allows. A process may take over from another one if
    /// they inherit the clients' socket.
    pub fn new(config: &Config, inherits_socket: bool) -> Self {
        let (all, slots) = (config.max_descriptors, config.settings.slots as usize);
        Self { all, slots, allows_handover: inherits_socket, replication: 0 }
    }

    /// Leaves this number of descriptors for replication. Only the process that owns the store has them.
    pub fn with_replication(self, descriptors: usize) -> Self {
        Self { replication: descriptors, ..self }
    }

    /// Divides the descriptors that a process has while its predecessor holds some. A third process does not
    /// start while there are two.
    pub fn budget(&self, predecessor: HeldDescriptors) -> DescriptorBudget {
        let starting = if self.allows_handover { STARTING_DESCRIPTORS } else { 0 };
        let left =
            self.left_beside(HeldDescriptors { others: predecessor.others.max(starting), ..predecessor });
        let budget = DescriptorBudget::divide(self.all, left);
        let clients = budget.client_connections.min(self.max_clients_for_handover().unwrap_or(usize::MAX));
        DescriptorBudget { client_connections: clients, ..budget }
    }

    /// Returns how many calls may be in progress if there are descriptors for fewer than the policy starts,
    /// as while an earlier session has calls that the policy does not count.
    pub fn reduced_calls(&self, predecessor: HeldDescriptors) -> Option<usize> {
        let own = fixed_descriptors(self.all) + self.replication;
        let left = self.all.saturating_sub(own + predecessor.others);
        (left < self.slots).then_some(left.max(1))
    }

    /// Whether a successor has enough descriptors beside a process that holds these after the hand-over.
    pub fn has_room_for_successor(&self, held: HeldDescriptors) -> bool {
        self.left_beside(held) >= MIN_SUCCESSOR_CONNECTIONS
    }

    /// Returns how many descriptors are left for connections of clients and idle ones to endpoints.
    fn left_beside(&self, predecessor: HeldDescriptors) -> usize {
        let calls = self.slots.max(predecessor.calls);
        let own = fixed_descriptors(self.all) + self.replication;
        self.all.saturating_sub(own + calls + predecessor.others)
    }

    /// Returns how many clients a process may have so that a hand-over is possible at any time; `None` if
    /// there are too few descriptors for that.
    fn max_clients_for_handover(&self) -> Option<usize> {
        let without_clients = self.left_beside(HeldDescriptors::of_retired_process(0, 0, 0));
        let clients = without_clients.checked_sub(MIN_SUCCESSOR_CONNECTIONS)?;
        Some(clients).filter(|&clients| self.allows_handover && clients >= MIN_SUCCESSOR_CONNECTIONS)
    }

    /// Describes, for operators, what a process has that another one may take over from.
    pub fn describe(&self) -> String {
        let DescriptorBudget { client_connections: clients, idle_connections: idle, .. } =
            self.budget(HeldDescriptors::default());
        format!(
            "with an inherited socket for clients (BALANCER_ACCEPT_FD): {clients} for clients' connections, \
             {idle} for idle connections to endpoints, {STARTING_DESCRIPTORS} for a process that is starting"
        )
    }

    /// Returns a warning if a hand-over is not possible at any time.
    pub fn warning(&self) -> Option<&'static str> {
        let is_impossible = self.allows_handover && self.max_clients_for_handover().is_none();
        is_impossible.then_some("limits.sockets is too small for two processes: hand-overs may be refused")
    }
}

/// The maximum numbers of connections that others open, or that stay open while idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Simultaneous connections of clients.
    pub client_connections: usize,
    /// Idle connections to endpoints.
    pub idle_connections: usize,
    /// Simultaneous connections of operators.
    pub operator_connections: usize,
    /// Whether all parts fit, with room for at least one client.
    pub is_sufficient: bool,
}

impl DescriptorBudget {
    /// Divides all descriptors that the configuration allows, for a process that never hands over.
    pub fn new(config: &Config) -> Self {
        Self::split(config.max_descriptors, config.settings.slots as usize)
    }

    /// Divides this number of descriptors in the same way, with this number of calls in progress.
    fn split(all: usize, slots: usize) -> Self {
        SharedDescriptors { all, slots, allows_handover: false, replication: 0 }
            .budget(HeldDescriptors::default())
    }

    /// Divides the descriptors that are left so that clients may use all of their part: the watch, notices,
    /// calls and the store have descriptors of their own.
    fn divide(all: usize, left: usize) -> Self {
        let clients = (all / 2).min(left * 2 / 3).max(1);
        let idle = (all / 4).min(left.saturating_sub(clients));
        Self {
            client_connections: clients,
            idle_connections: idle,
            operator_connections: operator_connections(all),
            is_sufficient: left > 0,
        }
    }

    /// Describes how the descriptors are divided, for operators.
    pub fn describe(&self, config: &Config) -> String {
        let Self {
            client_connections: clients, idle_connections: idle, operator_connections: operators, ..
        } = self;
        let own = OWN_DESCRIPTORS + WATCH_CONNECTIONS + NOTICE_CONNECTIONS + HAND_OVER_DESCRIPTORS;
        format!(
            "limits.sockets {}: {clients} for clients' connections, {} for calls, {idle} for idle \
             connections to endpoints, {operators} for operators, {own} for the process itself",
            config.max_descriptors, config.settings.slots
        )
    }

    /// Returns a warning if a part has too few descriptors.
    pub fn warning(&self, config: &Config) -> Option<String> {
        if !self.is_sufficient {
            return Some("limits.sockets is too small for all parts of the sender".into());
        }
        let has_few = self.client_connections * MIN_CLIENT_DIVISOR < config.max_descriptors;
        has_few.then(|| "calls (familyInfo.slots) leave clients few connections".into())
    }
}

/// Returns how many connections operators may have.
fn operator_connections(all: usize) -> usize {
    MAX_OPERATOR_CONNECTIONS.min(all / OPERATOR_DIVISOR).max(1)
}

/// Returns how many descriptors the parts of a process have that do not depend on clients and calls.
fn fixed_descriptors(all: usize) -> usize {
    let own = OWN_DESCRIPTORS + WATCH_CONNECTIONS + NOTICE_CONNECTIONS + HAND_OVER_DESCRIPTORS;
    own + operator_connections(all)
}

#[cfg(test)]
mod tests;
