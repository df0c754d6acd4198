//! The endpoint list in the format of the list service (discovery).

use notchpoint_policy::EndpointId;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The whole endpoint list, or, where it is not `complete`, changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "RawList")]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Box<RawValue>>,
}

impl From<RawList> for EndpointList {
    /// Skips members that cannot be read. A list with such members counts as incomplete, since a member that
    /// cannot be read is not one that was removed.
    fn from(raw: RawList) -> Self {
        let all = raw.members.len();
        let read = |member: &RawValue| {
            let read = serde_json::from_str(member.get());
            read.inspect_err(|e| tracing::warn!("discovery: list member skipped: {e}")).ok()
        };
        let members: Vec<Member> = raw.members.iter().filter_map(|member| read(member)).collect();
        Self { revision: raw.revision, complete: raw.complete && members.len() == all, members }
    }
}

/// Returns the numeric id of an endpoint: the FNV-1a hash of its text id. It is the same at every sender,
/// since notes between senders carry it.
pub fn endpoint_id(id: &str) -> EndpointId {
    let fold = |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    EndpointId(id.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// One endpoint of the list. The serialized names are those of the list service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    pub id: String,
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    #[serde(default, rename = "locality")]
    pub zone: String,
    #[serde(default, rename = "flavor")]
    pub kind: String,
    #[serde(rename = "cell")]
    pub dest: u64,
    pub phase: MemberPhase,
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    Up,
    Draining,
    Removed,
}
