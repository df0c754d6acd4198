//! The list of endpoints in discovery's form.

use notchpoint_policy::EndpointId;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The list, or what changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Told")]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize)]
struct Told {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Box<RawValue>>,
}

impl From<Told> for EndpointList {
    /// Members that cannot be read are passed over. A list with some of them counts as incomplete: that a
    /// member could not be read does not mean that it has gone.
    fn from(told: Told) -> Self {
        let all = told.members.len();
        let read = |member: &RawValue| {
            let read = serde_json::from_str(member.get());
            read.inspect_err(|e| tracing::warn!("discovery: a member: {e}")).ok()
        };
        let members: Vec<Member> = told.members.iter().filter_map(|member| read(member)).collect();
        Self { revision: told.revision, complete: told.complete && members.len() == all, members }
    }
}

/// The number of an endpoint's id: the same at every sender, since notes name it (FNV-1a).
pub fn endpoint(id: &str) -> EndpointId {
    let fold = |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    EndpointId(id.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// An endpoint's line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    pub cell: u64,
    pub phase: State,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Up,
    Draining,
    Removed,
}
