//! Who may hold how many of the process's descriptors: one sum, so that no part can take another's.

use crate::settings::config::Config;

/// The process's own: standard streams, the event loop, signals, listening sockets, datagrams, the store's
/// files and lock, a recording that is written.
const OWN: usize = 24;
/// A watch, and the one that takes its place.
const WATCHES: usize = 2;
/// Posts of notices under way, and the connection that is kept.
const POSTS: usize = 7;
/// The socket for hand-overs, and the connection of one.
const HAND_OVER: usize = 2;
/// Operators' connections: a few of them and their tools. They are one of the second at most.
pub const MAX_OPERATOR_CONNECTIONS: usize = 24;
const OPERATORS_PART: usize = 16;
/// With less than this part of all, clients' connections give way to one another all the time.
const CLIENTS_PART: usize = 8;

/// What connections that others open, or that may wait, are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Clients' connections at once.
    pub client_connections: usize,
    /// Connections to endpoints that stand idle.
    pub idle_connections: usize,
    /// Operators' connections at once.
    pub operator_connections: usize,
    /// All of it fits, with room for a client.
    pub is_sufficient: bool,
}

impl DescriptorBudget {
    pub fn new(config: &Config) -> Self {
        Self::split(config.max_descriptors, config.settings.slots as usize)
    }

    /// Clients may fill their part: the watch, notices, calls, the store and operators have theirs beside it.
    fn split(all: usize, slots: usize) -> Self {
        let operators = MAX_OPERATOR_CONNECTIONS.min(all / OPERATORS_PART).max(1);
        let left = all.saturating_sub(OWN + WATCHES + POSTS + HAND_OVER + operators + slots);
        let clients = (all / 2).min(left * 2 / 3).max(1);
        let idle = (all / 4).min(left.saturating_sub(clients));
        Self {
            client_connections: clients,
            idle_connections: idle,
            operator_connections: operators,
            is_sufficient: left > 0,
        }
    }

    /// Who may hold how many, in words.
    pub fn describe(&self, config: &Config) -> String {
        let Self {
            client_connections: clients, idle_connections: idle, operator_connections: operators, ..
        } = self;
        let own = OWN + WATCHES + POSTS + HAND_OVER;
        format!(
            "limits.sockets {}: {clients} for clients' connections, {} for calls, {idle} for idle \
             connections to endpoints, {operators} for operators, {own} for the process itself",
            config.max_descriptors, config.settings.slots
        )
    }

    /// What is too few, where anything is.
    pub fn warning(&self, config: &Config) -> Option<String> {
        if !self.is_sufficient {
            return Some("too few for all parts to work".into());
        }
        let few = self.client_connections * CLIENTS_PART < config.max_descriptors;
        few.then(|| "calls (familyInfo.slots) leave clients few places".into())
    }
}

#[cfg(test)]
mod tests;
