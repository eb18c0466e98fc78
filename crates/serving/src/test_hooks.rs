//! Named points at which a test holds a host, so that two events cross in a given order. They exist in tests only: without
//! the feature `pauses`, which nothing but tests turns on, there is nothing to be held.

use std::net::TcpStream;

/// Where a host can be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The engine is about to take its next message.
    EngineTakes,
    /// The reader of client connections is about to look at what came.
    ReaderLooks,
    /// It has found nothing unread on a connection, and is about to end it.
    ReaderEnds,
}

/// What is called at each point, in the thread that comes by.
#[cfg(feature = "pauses")]
pub type Hold = std::sync::Arc<dyn Fn(Point) + Send + Sync>;

/// What is called with each connection to a node before it carries anything, so that a test can make its buffers small.
#[cfg(feature = "pauses")]
pub type Prepare = std::sync::Arc<dyn Fn(&TcpStream) + Send + Sync>;

/// What holds a host, if anything.
#[derive(Clone, Default)]
pub(crate) struct Pauses {
    #[cfg(feature = "pauses")]
    pub(crate) hold: Option<Hold>,
    #[cfg(feature = "pauses")]
    pub(crate) prepare: Option<Prepare>,
}

impl Pauses {
    #[inline]
    pub(crate) fn at(&self, _point: Point) {
        #[cfg(feature = "pauses")]
        if let Some(hold) = &self.hold {
            hold(_point);
        }
    }

    /// A connection to a node is begun.
    #[inline]
    pub(crate) fn connects(&self, _stream: &TcpStream) {
        #[cfg(feature = "pauses")]
        if let Some(prepare) = &self.prepare {
            prepare(_stream);
        }
    }
}
