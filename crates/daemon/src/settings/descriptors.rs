//! Divides the file descriptors of the process among its parts, so that no part can exhaust those of another.

use crate::settings::config::Config;

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
/// With less than one in this many of all descriptors, clients' connections displace one another constantly.
const MIN_CLIENT_DIVISOR: usize = 8;

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
    /// Divides the descriptors that the configuration allows.
    pub fn new(config: &Config) -> Self {
        Self::split(config.max_descriptors, config.settings.slots as usize)
    }

    /// Splits the descriptors so that clients may use all of their part: the watch, notices, calls and the
    /// store have descriptors of their own.
    fn split(all: usize, slots: usize) -> Self {
        let operators = MAX_OPERATOR_CONNECTIONS.min(all / OPERATOR_DIVISOR).max(1);
        let left = all.saturating_sub(
            OWN_DESCRIPTORS
                + WATCH_CONNECTIONS
                + NOTICE_CONNECTIONS
                + HAND_OVER_DESCRIPTORS
                + operators
                + slots,
        );
        let clients = (all / 2).min(left * 2 / 3).max(1);
        let idle = (all / 4).min(left.saturating_sub(clients));
        Self {
            client_connections: clients,
            idle_connections: idle,
            operator_connections: operators,
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

#[cfg(test)]
mod tests;
