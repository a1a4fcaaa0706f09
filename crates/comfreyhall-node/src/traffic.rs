//! Bytes sent to other daemons, by kind of content.
//!
//! The sender counts each message once, by its encoded length, without the frames of
//! the transport. Gossip holds several kinds of content, and each part counts as its own.

use comfreyhall_protocol::News;
use prost::{
    Message,
    encoding::{message, string},
};

/// A kind of content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Live daemons, as a holder reports them.
    Roster,
    /// Addresses of daemons and of holders.
    Peers,
    /// Work of all daemons at the targets of a holder.
    Totals,
    /// Own work at targets.
    Work,
    Settings,
    /// Rows of targets.
    Targets,
    /// Evidence on requests that end targets.
    Evidence,
    /// What targets say of themselves.
    Notices,
    Paces,
    /// Loaded adapters and the demand for them.
    Adapters,
    /// Software versions, and streams that began at them.
    Versions,
    Leases,
    /// The rest of gossip: its sender, versions and ages.
    Head,
    /// Reports on the progress of runs.
    Progress,
    /// Requests for engines.
    Bind,
    Quotas,
    /// Questions whether a target is reached.
    Reach,
    /// Requests that are passed on, and their answers.
    Forwarded,
}

impl Kind {
    /// Label in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Kind::Roster => "roster",
            Kind::Peers => "peers",
            Kind::Totals => "totals",
            Kind::Work => "work",
            Kind::Settings => "settings",
            Kind::Targets => "targets",
            Kind::Evidence => "evidence",
            Kind::Notices => "notices",
            Kind::Paces => "paces",
            Kind::Adapters => "adapters",
            Kind::Versions => "versions",
            Kind::Leases => "leases",
            Kind::Head => "head",
            Kind::Progress => "progress",
            Kind::Bind => "bind",
            Kind::Quotas => "quotas",
            Kind::Reach => "reach",
            Kind::Forwarded => "forwarded",
        }
    }
}

/// Bytes of each kind of content in `gossip`; their sum is its encoded length.
pub(crate) fn parts(gossip: &News) -> [(Kind, usize); 13] {
    let g = gossip;
    let rows = message::encoded_len_repeated::<comfreyhall_protocol::Fact>;
    let proof = g.targets_proof.as_ref();
    let columns = g.total_columns.as_ref();
    let mut parts = [
        (
            Kind::Roster,
            message::encoded_len_repeated(17, &g.roster)
                + string::encoded_len_repeated(41, &g.roster_removed),
        ),
        (
            Kind::Peers,
            string::encoded_len_repeated(12, &g.peers)
                + string::encoded_len_repeated(14, &g.holders),
        ),
        (
            Kind::Totals,
            message::encoded_len_repeated(15, &g.totals)
                + columns.map_or(0, |c| message::encoded_len(42, c))
                + message::encoded_len_repeated(43, &g.target_numbers),
        ),
        (
            Kind::Work,
            message::encoded_len_repeated(2, &g.work)
                + message::encoded_len_repeated(20, &g.runs)
                + message::encoded_len_repeated(30, &g.slot_use),
        ),
        (Kind::Settings, rows(10, &g.settings)),
        (
            Kind::Targets,
            rows(11, &g.targets) + proof.map_or(0, |p| message::encoded_len(35, p)),
        ),
        (
            Kind::Evidence,
            message::encoded_len_repeated(21, &g.evidence),
        ),
        (Kind::Notices, message::encoded_len_repeated(26, &g.words)),
        (Kind::Paces, message::encoded_len_repeated(31, &g.paces)),
        (
            Kind::Adapters,
            message::encoded_len_repeated(4, &g.demands)
                + message::encoded_len_repeated(5, &g.placed)
                + message::encoded_len_repeated(34, &g.load_histories),
        ),
        (
            Kind::Versions,
            message::encoded_len_repeated(36, &g.versions),
        ),
        (
            Kind::Leases,
            message::encoded_len_repeated(3, &g.holdings)
                + message::encoded_len_repeated(13, &g.cessions),
        ),
        (Kind::Head, 0),
    ];
    let known: usize = parts.iter().map(|(_, bytes)| bytes).sum();
    parts[12].1 = g.encoded_len() - known;
    parts
}

#[cfg(test)]
mod tests;
