//! State machine of a client connection, from accept to close. No I/O and no clock: the caller passes times
//! in milliseconds.
//!
//! Whatever the reason for which the host closes a connection (idle, no command, eviction, invalid commands,
//! shutdown), it does so by a lingering close: it sends the outstanding replies, shuts down the sending side,
//! and then reads and discards incoming data for a while. Closing a socket with unread data would reset the
//! connection and destroy replies in transit. A request that arrives after the sending side was shut down
//! must not be executed, because its client sends it again.

/// Time limit for emptying the write buffer, in milliseconds. A client that does not read is sent nothing
/// more.
const FLUSH_TIMEOUT_MS: f64 = 3_000.0;
/// Maximum number of bytes that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Commands are read.
    Reading,
    /// The maximum number of commands is open, so nothing is read.
    AtRequestLimit,
    /// Nothing is read until the given time, after an invalid command.
    Paused(f64),
    /// No further commands are accepted; replies are still outstanding.
    AwaitingReplies,
    /// All commands are answered, but part of the replies is in the write buffer. The connection is closed at
    /// the given time.
    Flushing(f64),
    /// The sending side is shut down; incoming data is discarded up to the given time and number of bytes.
    Lingering(f64, usize),
    /// Closed.
    Closed,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The maximum number of commands is open.
    LimitReached,
    /// Another command may be accepted.
    BelowLimit,
    /// An invalid command was received: read nothing until the given time.
    Pause(f64),
    /// The host closes the connection. Accepted commands are still answered.
    Close,
    /// No replies are outstanding.
    AllAnswered,
    /// The write buffer is empty.
    Flushed,
    /// The given number of bytes was read and discarded.
    Discarded(usize),
    /// The client shut down its sending side, or the connection failed.
    Disconnected,
    /// The descriptor of the connection is needed at once.
    Evicted,
    /// Time has passed.
    Tick,
}

/// Output of the state machine: what the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// Shut down the sending side.
    ShutdownWrite,
    /// Close the socket. Requests still open on the connection have lost their client.
    Close,
}

/// The lifecycle of one client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifecycle {
    state: State,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { state: State::Reading }
    }
}

impl Lifecycle {
    /// Current state.
    pub fn state(self) -> State {
        self.state
    }

    /// Whether commands are read and accepted.
    pub fn accepts_commands(self) -> bool {
        self.state == State::Reading
    }

    /// Whether bytes are read at all, including those that are discarded.
    pub fn reads(self) -> bool {
        matches!(self.state, State::Reading | State::Lingering(..))
    }

    /// Whether the host is closing the connection.
    pub fn is_closing(self) -> bool {
        matches!(self.state, State::AwaitingReplies | State::Flushing(_) | State::Lingering(..))
    }

    /// Time of the next [`Event::Tick`] that may change the state.
    pub fn next_due(self) -> Option<f64> {
        match self.state {
            State::Paused(at) | State::Flushing(at) | State::Lingering(at, _) => Some(at),
            State::Reading | State::AtRequestLimit | State::AwaitingReplies | State::Closed => None,
        }
    }

    /// Processes an event. Data that arrives after the sending side was shut down is read for `linger_ms`.
    pub fn handle(&mut self, now: f64, linger_ms: f64, event: Event) -> Effect {
        use {Event as E, State as S};
        let (state, effect) = match (self.state, event) {
            (S::Closed, _) => (S::Closed, Effect::None),
            (_, E::Disconnected | E::Evicted) => (S::Closed, Effect::Close),
            (S::Reading, E::LimitReached) => (S::AtRequestLimit, Effect::None),
            (S::AtRequestLimit, E::BelowLimit) => (S::Reading, Effect::None),
            (S::Reading, E::Pause(until)) => (S::Paused(until), Effect::None),
            (S::Paused(until), E::Tick) if now >= until => (S::Reading, Effect::None),
            (S::Reading | S::AtRequestLimit | S::Paused(_), E::Close) => (S::AwaitingReplies, Effect::None),
            (S::AwaitingReplies, E::AllAnswered) => (S::Flushing(now + FLUSH_TIMEOUT_MS), Effect::None),
            (S::Flushing(_), E::Flushed) => {
                (S::Lingering(now + linger_ms, MAX_DISCARDED_BYTES), Effect::ShutdownWrite)
            }
            (S::Flushing(until), E::Tick) if now >= until => (S::Closed, Effect::Close),
            (S::Lingering(until, remaining), E::Discarded(n)) if n < remaining => {
                (S::Lingering(until, remaining - n), Effect::None)
            }
            (S::Lingering(..), E::Discarded(_)) => (S::Closed, Effect::Close),
            (S::Lingering(until, _), E::Tick) if now >= until => (S::Closed, Effect::Close),
            // All other pairs leave the state unchanged. They are listed in full so that a new state or event
            // has to be considered here.
            (
                state @ (S::Reading | S::AtRequestLimit | S::Paused(_)),
                E::AllAnswered | E::Flushed | E::Discarded(_),
            ) => (state, Effect::None),
            (state @ S::Reading, E::BelowLimit | E::Tick) => (state, Effect::None),
            (state @ S::AtRequestLimit, E::LimitReached | E::Pause(_) | E::Tick) => (state, Effect::None),
            (state @ S::Paused(_), E::LimitReached | E::BelowLimit | E::Pause(_) | E::Tick) => {
                (state, Effect::None)
            }
            (
                state @ (S::AwaitingReplies | S::Flushing(_) | S::Lingering(..)),
                E::LimitReached
                | E::BelowLimit
                | E::Pause(_)
                | E::Close
                | E::AllAnswered
                | E::Flushed
                | E::Discarded(_)
                | E::Tick,
            ) => (state, Effect::None),
        };
        self.state = state;
        effect
    }
}
