//! A weighted average whose samples expire.

/// How an [`Average`] forgets, and how far it trusts few samples.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    /// Time in which the weight of a sample halves, in ms.
    pub(crate) half_life_ms: f64,
    /// Number of samples that the assumed value counts for.
    pub(crate) prior: f64,
}

/// The samples of one span.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Average {
    sum: f64,
    weight: f64,
    at_ms: u64,
}

impl Average {
    /// Adds a sample of `value`.
    pub(crate) fn record(&mut self, span: Span, value: f64, now: u64) {
        self.record_sum(span, value, 1.0, now);
    }

    /// Adds `weight` samples whose sum is `sum`.
    pub(crate) fn record_sum(&mut self, span: Span, sum: f64, weight: f64, now: u64) {
        let remaining = self.remaining(span, now);
        self.sum = self.sum * remaining + sum;
        self.weight = self.weight * remaining + weight;
        self.at_ms = now.max(self.at_ms);
    }

    /// Replaces the samples by `weight` of them, so that the average is `value`
    /// where `assumed` is assumed.
    pub(crate) fn set(&mut self, span: Span, value: f64, assumed: f64, weight: f64, now: u64) {
        self.sum = value * (span.prior + weight) - assumed * span.prior;
        self.weight = weight;
        self.at_ms = now;
    }

    /// The average as of `now`; the fewer samples, the closer to `assumed`.
    pub(crate) fn value(&self, span: Span, assumed: f64, now: u64) -> f64 {
        let remaining = self.remaining(span, now);
        (self.sum * remaining + assumed * span.prior) / (self.weight * remaining + span.prior)
    }

    /// Number of samples that count as of `now`.
    pub(crate) fn weight(&self, span: Span, now: u64) -> f64 {
        self.weight * self.remaining(span, now)
    }

    /// Share of the samples that has not expired by `now`.
    fn remaining(&self, span: Span, now: u64) -> f64 {
        (-(now.saturating_sub(self.at_ms) as f64) / span.half_life_ms).exp2()
    }
}
