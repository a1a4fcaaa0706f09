//! Which software versions a request may be sent to.

use comfreyhall_domain::Name;

use crate::Software;

/// Which software versions a request may be sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum SoftwareRule {
    /// Any version, also an unknown one.
    #[default]
    Any,
    /// Any but these.
    Except(Vec<Software>),
    /// Only this one, because it began the stream.
    Only(Name),
}

impl SoftwareRule {
    /// Whether a target that runs `software` may receive the request.
    pub fn allows(&self, software: &Software) -> bool {
        match self {
            SoftwareRule::Any => true,
            SoftwareRule::Except(held) => !held.contains(software),
            SoftwareRule::Only(only) => software.as_ref() == Some(only),
        }
    }
}
