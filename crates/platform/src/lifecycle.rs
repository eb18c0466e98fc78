//! The life of a client connection, from its arrival to its last byte. No I/O, no clock: times are the caller's.
//!
//! Every end that the host chooses (idle, silent, for room, after nonsense, at its own end) is one lingering close: the
//! answers that are owed go out first, then the sending side is ended, and what still arrives is read and thrown away for
//! a while. Danger: a close over bytes that nobody read resets the connection, and takes answers with it that are still
//! on their way; and a request that is read after the end and sent on is lost, since its client sends it once more.

/// Time for what was answered to leave the write buffer, milliseconds: a client that reads nothing gets no more.
const FLUSH_MS: f64 = 3_000.0;
/// Most bytes that are read and thrown away.
const DISCARDED: usize = 256 * 1024;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Its commands are read.
    Reading,
    /// As many of its commands are open as may be; nothing is read.
    Full,
    /// What made no sense is followed by a pause, up to this moment.
    Paused(f64),
    /// No command is taken any more; answers are still owed.
    Ending,
    /// All is answered, and some of it has not left the write buffer; it is given up at this moment.
    Flushing(f64),
    /// The sending side is ended; what comes is thrown away, up to this moment and so many bytes.
    Lingering(f64, usize),
    /// Over.
    Closed,
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// As many commands are open as may be.
    Full,
    /// There is room for commands again.
    Room,
    /// A command made no sense: nothing is read before this moment.
    Pause(f64),
    /// The host ends it. What was taken is still answered.
    End,
    /// Nothing is owed any more.
    Answered,
    /// Nothing waits in the write buffer.
    Flushed,
    /// So many bytes were thrown away.
    Discarded(usize),
    /// The client ended its side, or the connection broke: the client has gone.
    Gone,
    /// Its descriptor is needed at once.
    Evicted,
    /// Time passes.
    Tick,
}

/// What is to be done about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// End the sending side.
    EndSending,
    /// Close it; whatever of it is open has lost its client.
    Close,
}

/// One connection's life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Life {
    state: State,
}

impl Default for Life {
    fn default() -> Self {
        Life { state: State::Reading }
    }
}

impl Life {
    /// Where it stands.
    pub fn state(self) -> State {
        self.state
    }

    /// Whether commands are read and taken.
    pub fn takes_commands(self) -> bool {
        self.state == State::Reading
    }

    /// Whether bytes are read at all, be it to throw them away.
    pub fn reads(self) -> bool {
        matches!(self.state, State::Reading | State::Lingering(..))
    }

    /// Whether it is on its way out by the host's own choice.
    pub fn is_ending(self) -> bool {
        matches!(self.state, State::Ending | State::Flushing(_) | State::Lingering(..))
    }

    /// When it has to be looked at again, whatever else happens.
    pub fn due(self) -> Option<f64> {
        match self.state {
            State::Paused(at) | State::Flushing(at) | State::Lingering(at, _) => Some(at),
            State::Reading | State::Full | State::Ending | State::Closed => None,
        }
    }

    /// Something happens. `linger_ms`: how long what arrives after the end is read.
    pub fn on(&mut self, now: f64, linger_ms: f64, event: Event) -> Effect {
        use {Event as E, State as S};
        let (state, effect) = match (self.state, event) {
            (S::Closed, _) => (S::Closed, Effect::None),
            (_, E::Gone | E::Evicted) => (S::Closed, Effect::Close),
            (S::Reading, E::Full) => (S::Full, Effect::None),
            (S::Full, E::Room) => (S::Reading, Effect::None),
            (S::Reading, E::Pause(until)) => (S::Paused(until), Effect::None),
            (S::Paused(until), E::Tick) if now >= until => (S::Reading, Effect::None),
            (S::Reading | S::Full | S::Paused(_), E::End) => (S::Ending, Effect::None),
            (S::Ending, E::Answered) => (S::Flushing(now + FLUSH_MS), Effect::None),
            (S::Flushing(_), E::Flushed) => (S::Lingering(now + linger_ms, DISCARDED), Effect::EndSending),
            (S::Flushing(until), E::Tick) if now >= until => (S::Closed, Effect::Close),
            (S::Lingering(until, left), E::Discarded(n)) if n < left => {
                (S::Lingering(until, left - n), Effect::None)
            }
            (S::Lingering(..), E::Discarded(_)) => (S::Closed, Effect::Close),
            (S::Lingering(until, _), E::Tick) if now >= until => (S::Closed, Effect::Close),
            // The rest changes nothing. Each pair stands here, so that a new state or event has to be thought about.
            (state @ (S::Reading | S::Full | S::Paused(_)), E::Answered | E::Flushed | E::Discarded(_)) => {
                (state, Effect::None)
            }
            (state @ S::Reading, E::Room | E::Tick) => (state, Effect::None),
            (state @ S::Full, E::Full | E::Pause(_) | E::Tick) => (state, Effect::None),
            (state @ S::Paused(_), E::Full | E::Room | E::Pause(_) | E::Tick) => (state, Effect::None),
            (
                state @ (S::Ending | S::Flushing(_) | S::Lingering(..)),
                E::Full
                | E::Room
                | E::Pause(_)
                | E::End
                | E::Answered
                | E::Flushed
                | E::Discarded(_)
                | E::Tick,
            ) => (state, Effect::None),
        };
        self.state = state;
        effect
    }
}
