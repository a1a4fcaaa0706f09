//! Who held a lease before its present holder, as far as their commands may still matter.
//!
//! A command without an answer may be carried out at any later time. An instance that
//! gets a lease back can therefore not count from when it last sent one: until a later
//! holder has made sure that all earlier commands are decided, the lease's row names
//! every instance that held it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The holders of a lease, in its row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// The last holder; the present one while the lease is held.
    last: Arc<str>,
    /// Instances that held it before and may have commands in flight, or have had some less
    /// than a term ago; `None` if that is unknown.
    former: Option<Vec<Arc<str>>>,
}

impl Succession {
    /// A lease whose first holder is `holder`.
    pub fn first(holder: Arc<str>) -> Self {
        Self {
            last: holder,
            former: Some(Vec::new()),
        }
    }

    /// A lease that anybody may have held.
    pub fn unknown() -> Self {
        Self::default()
    }

    /// The succession once `holder` has acquired the lease.
    #[must_use]
    pub fn acquired_by(&self, holder: Arc<str>) -> Self {
        let mut former = self.former.clone();
        if let Some(former) = &mut former
            && self.last != holder
            && !former.contains(&self.last)
        {
            former.push(self.last.clone());
        }
        Self {
            last: holder,
            former,
        }
    }

    /// The succession once all before its last holder need not wait any more.
    #[must_use]
    pub fn settled(&self) -> Self {
        Self::first(self.last.clone())
    }

    /// Whether the last holder has held the lease before, with another one in between, and
    /// may have to wait for a turn.
    pub fn is_return(&self) -> bool {
        let former = self.former.as_ref();
        former.is_none_or(|former| former.contains(&self.last))
    }

    /// Whether `instance` is the last holder, or one before it that may have to wait.
    pub fn names(&self, instance: &str) -> bool {
        let former = self.former.as_ref();
        *self.last == *instance
            || former.is_none_or(|former| former.iter().any(|f| **f == *instance))
    }
}
