//! What an upstream states of itself with a response, whatever became of the request.
//!
//! Every statement has a field here, and [`Steering::record_statements`] applies all of them as soon as
//! the head of a response is read: the request may be canceled, or its body be truncated, later.
//!
//! [`Steering::record_statements`]: super::Steering::record_statements

/// The rate limit that an upstream states with a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedRateLimit {
    /// The response states no limit.
    None,
    /// The limit in requests per second, from all VMs together.
    PerSecond(f64),
    /// The value is not a decimal number.
    Invalid,
}

/// What an upstream states of its planned end with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedLeaving {
    /// The response states nothing of it.
    No,
    /// The upstream is about to stop.
    Yes,
    /// The value is unknown.
    Invalid,
}

/// The time for which an upstream asks a VM for no more requests, with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedPause {
    /// The response asks for no pause.
    None,
    /// The time from the response on, in milliseconds.
    ForMs(u64),
    /// The value is not a decimal number of seconds.
    Invalid,
}

/// What an upstream states of itself with a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statements {
    /// The upstream's rate limit; `None` if the response doesn't tell whether there is one.
    pub rate_limit: Option<StatedRateLimit>,
    /// Whether the upstream is about to stop.
    pub leaving: StatedLeaving,
    /// The pause that the upstream asks for.
    pub pause: StatedPause,
}

/// Which of an upstream's statements are news to the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementNews {
    /// The rate limit is new, has changed or has ended.
    pub rate_limit: bool,
    /// The upstream is about to stop, which it hasn't stated before.
    pub leaving: bool,
    /// The upstream asks for a pause, or for a longer one.
    pub pause: bool,
}
