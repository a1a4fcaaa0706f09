//! The causes for which an answer may end before it is complete.
//!
//! The list is closed. A target that sends nothing is no cause: a process that is paused,
//! or a path that holds its bytes back, looks like one that has ended, and goes on later.

/// Why the answer of a target ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndCause {
    /// The target closed its connection.
    ConnectionClosed,
    /// The connection failed on the way, or the target sent something that is no answer.
    Broken,
    /// The target is proven to have ended.
    TargetEnded,
    /// The target sent more bytes than an answer may have.
    TooLarge,
    /// The answers that this process holds take all the memory that they may, and this one
    /// most of it.
    OutOfMemory,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// Another answer to the same request went on.
    Superseded,
    /// The caller closed its connection.
    CallerLeft,
    /// The grace of a planned stop of this process has ended.
    GraceEnded,
}

impl EndCause {
    /// Every cause.
    pub const ALL: [EndCause; 9] = [
        EndCause::ConnectionClosed,
        EndCause::Broken,
        EndCause::TargetEnded,
        EndCause::TooLarge,
        EndCause::OutOfMemory,
        EndCause::DeadlinePassed,
        EndCause::Superseded,
        EndCause::CallerLeft,
        EndCause::GraceEnded,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndCause::ConnectionClosed => "connection_closed",
            EndCause::Broken => "broken",
            EndCause::TargetEnded => "target_ended",
            EndCause::TooLarge => "too_large",
            EndCause::OutOfMemory => "out_of_memory",
            EndCause::DeadlinePassed => "deadline_passed",
            EndCause::Superseded => "superseded",
            EndCause::CallerLeft => "caller_left",
            EndCause::GraceEnded => "grace_ended",
        }
    }

    /// Whether it counts against the target.
    pub fn is_target_failure(self) -> bool {
        !matches!(
            self,
            EndCause::OutOfMemory | EndCause::CallerLeft | EndCause::GraceEnded
        )
    }

    /// Whether it is evidence that the target may have ended under its request.
    pub fn may_be_target_end(self) -> bool {
        matches!(self, EndCause::ConnectionClosed | EndCause::TargetEnded)
    }
}
