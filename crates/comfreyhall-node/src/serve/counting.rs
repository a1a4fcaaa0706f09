//! What a request counts for: the retry budget and the demand for its adapter.

use comfreyhall_routing::RetryBudget;

use super::ActiveRequest;
use crate::adapter_key::adapter_key;

impl ActiveRequest {
    /// Counts the request for the retry budget and the demand for its adapter.
    pub(super) fn record_request(&self) {
        let now = self.node.now();
        let bounds = self.node.settings().bounds.clone();
        let mut view = self.node.view();
        let budget = view.budgets.entry(self.service.clone()).or_insert_with(|| {
            let window_ms = (bounds.retry_s * 1_000.0) as u64;
            let started_ms = self.node.started_ms();
            RetryBudget::new(
                window_ms,
                bounds.retry_ratio,
                bounds.retry_allowance,
                started_ms,
            )
        });
        budget.record_request(now);
        if let Some(adapter) = self
            .client_request
            .adapter
            .as_ref()
            .filter(|a| a.adapter.is_some())
        {
            let key = adapter_key(adapter);
            view.count_demand(&key, 1, now);
            if let Some(tokens) = self.client_request.tokens {
                view.observe_prompt(tokens.prompt);
            }
            drop(view);
            self.node.fleet.record_demand(&key);
        }
    }

    /// Takes one retry out of the service's budget, if there is one.
    pub(super) fn take_retry(&self) -> bool {
        let now = self.node.now();
        let members = self.node.fleet.members(now);
        let mut view = self.node.view();
        let budget = view.budgets.get_mut(&self.service);
        let granted = budget.is_some_and(|b| b.try_retry(now, members));
        drop(view);
        self.node.metrics.retry(granted);
        granted
    }
}
