//! What a target is chosen by.

use comfreyhall_domain::{
    AdapterRef, ClientRequest, EngineConfig, Name, PromptSegment, Target, TokenCounts,
};
use comfreyhall_streams::SoftwareRule;

/// What a request needs from an engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Requirements {
    /// The model and the adapter.
    pub(crate) adapter: Option<AdapterRef>,
    /// Prompt and output tokens.
    pub(crate) tokens: Option<TokenCounts>,
    /// Output tokens that the caller expects.
    pub(crate) expected_output: Option<u32>,
    /// Parts of the prompt in order.
    pub(crate) prompt_segments: Vec<PromptSegment>,
}

impl Requirements {
    /// The requirements of `request`.
    pub(crate) fn of(request: &ClientRequest) -> Self {
        Self {
            adapter: request.adapter.clone(),
            tokens: request.tokens,
            expected_output: request.expected_output,
            prompt_segments: request.prompt_segments.clone(),
        }
    }

    pub(crate) fn prompt(&self) -> u64 {
        self.tokens.map_or(0, |t| u64::from(t.prompt))
    }

    /// Prompt tokens that are not shared with other requests.
    pub(crate) fn own_tokens(&self) -> u64 {
        let shared = self.prompt_segments.iter().rev().skip(1);
        let shared: u64 = shared.map(|p| u64::from(p.tokens)).sum();
        self.prompt().saturating_sub(shared).max(1)
    }
}

/// The input of a choice.
pub(crate) struct Criteria<'a> {
    pub(crate) requirements: &'a Requirements,
    /// Latency objective of its route, in ms.
    pub(crate) objective_ms: u64,
    /// Name of its route.
    pub(crate) route: &'a Name,
    /// Longest gap of a stream of its route that is in time, in ms.
    pub(crate) gap_objective_ms: Option<u64>,
    /// Whether engines differ in pace.
    pub(crate) uses_paces: bool,
    pub(crate) service: &'a Name,
    /// Restricts the choice to the engines of this group, whose lease this daemon
    /// holds and of which it knows every run.
    pub(crate) group: Option<&'a str>,
    pub(crate) engine: Option<&'a EngineConfig>,
    /// Targets that have already received it.
    pub(crate) tried: &'a [Name],
    /// Targets that cannot take it now.
    pub(crate) unavailable: &'a [Name],
    /// Whether only targets in `tried` may be used.
    pub(crate) only_tried: bool,
    pub(crate) seed: u64,
    /// Software versions that may receive it.
    pub(crate) software: &'a SoftwareRule,
}

impl Criteria<'_> {
    pub(crate) fn allows(&self, target: &Target) -> bool {
        self.software.allows(&target.software)
            && self.group.is_none_or(|g| *target.failure_domain == *g)
            && !self.unavailable.contains(&target.id)
            && (!self.only_tried || self.tried.contains(&target.id))
    }
}
