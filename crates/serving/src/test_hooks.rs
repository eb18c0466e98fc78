//! Hooks by which tests force an order of events. They exist only with the feature `pauses`, which only tests
//! enable.

use std::net::TcpStream;

/// Points at which a hook is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The engine is about to take its next message.
    EngineReceive,
    /// The client reader is about to handle the connections that are ready.
    ReaderPoll,
    /// The client reader has found no unread data on a connection and is about to close it.
    ReaderClose,
}

/// Hook called at each point, in the thread that reaches it. It may block.
#[cfg(feature = "pauses")]
pub type PointHook = std::sync::Arc<dyn Fn(Point) + Send + Sync>;

/// Hook called with each new connection to a node before any data is sent, so that a test can shrink its
/// buffers.
#[cfg(feature = "pauses")]
pub type ConnectHook = std::sync::Arc<dyn Fn(&TcpStream) + Send + Sync>;

/// The hooks of a host, if any.
#[derive(Clone, Default)]
pub(crate) struct TestHooks {
    #[cfg(feature = "pauses")]
    pub(crate) point_hook: Option<PointHook>,
    #[cfg(feature = "pauses")]
    pub(crate) connect_hook: Option<ConnectHook>,
}

impl TestHooks {
    #[inline]
    pub(crate) fn reach(&self, _point: Point) {
        #[cfg(feature = "pauses")]
        if let Some(hook) = &self.point_hook {
            hook(_point);
        }
    }

    /// Calls the hook for a new connection to a node.
    #[inline]
    pub(crate) fn connecting(&self, _stream: &TcpStream) {
        #[cfg(feature = "pauses")]
        if let Some(hook) = &self.connect_hook {
            hook(_stream);
        }
    }
}
