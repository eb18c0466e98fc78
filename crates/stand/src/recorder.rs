//! Records a run: the PDU headers on the sockets of the fakes, and the events that the fakes report
//! themselves.

use pearfork_net::{Direction, Tap};
use pearfork_rulecheck::wire::{Header, HeaderParser};
use pearfork_rulecheck::{Endpoint, TraceEvent, TraceEventKind};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Inner {
    events: Vec<TraceEvent>,
    parsers: HashMap<(u64, bool), HeaderParser>,
    next_stream: u64,
}

/// Collects events in order of time. Clones share one recording.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    enabled: bool,
    inner: Arc<Mutex<Inner>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), enabled: true, inner: Arc::default() }
    }
}

impl Recorder {
    /// A recorder that keeps nothing, for fakes that run without a time limit.
    pub fn disabled() -> Recorder {
        Recorder { enabled: false, ..Default::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since the recording began.
    pub fn elapsed_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Records an event with the present time.
    pub fn record(&self, kind: TraceEventKind) {
        if self.enabled {
            let mut inner = self.lock();
            let at_us = self.started.elapsed().as_micros() as u64;
            inner.events.push(TraceEvent { at_us, kind });
        }
    }

    /// Returns a tap that records the sockets of an endpoint, or `None` if the recorder is disabled.
    /// `on_header` is called for each header after it was recorded, with the owner's connection number and
    /// whether the owner sent it.
    pub fn tap(
        &self,
        endpoint: Endpoint,
        on_header: impl Fn(u64, bool, &Header) + Send + Sync + 'static,
    ) -> Option<Arc<dyn Tap>> {
        let (recorder, on_header): (_, OnHeader) = (self.clone(), Box::new(on_header));
        let tap = || {
            Arc::new(EndpointTap { recorder, endpoint, streams: Mutex::default(), on_header }) as Arc<dyn Tap>
        };
        self.enabled.then(tap)
    }

    /// All events recorded so far.
    pub fn events(&self) -> Vec<TraceEvent> {
        self.lock().events.clone()
    }
}

type OnHeader = Box<dyn Fn(u64, bool, &Header) + Send + Sync>;

struct EndpointTap {
    recorder: Recorder,
    endpoint: Endpoint,
    /// Maps the owner's connection numbers to those of the recording.
    streams: Mutex<HashMap<u64, u64>>,
    on_header: OnHeader,
}

impl EndpointTap {
    fn recorded_stream(&self, own_stream: u64) -> u64 {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        *streams.entry(own_stream).or_insert_with(|| {
            let mut inner = self.recorder.lock();
            inner.next_stream += 1;
            inner.next_stream
        })
    }
}

impl Tap for EndpointTap {
    fn bytes(&self, own_stream: u64, direction: Direction, bytes: &[u8]) {
        let stream = self.recorded_stream(own_stream);
        let sent = direction == Direction::Out;
        let mut headers = Vec::new();
        {
            let mut inner = self.recorder.lock();
            let at_us = self.recorder.started.elapsed().as_micros() as u64;
            let mut parser = inner.parsers.remove(&(stream, sent)).unwrap_or_default();
            parser.feed(bytes, |header| headers.push(header));
            inner.parsers.insert((stream, sent), parser);
            for header in &headers {
                let kind =
                    TraceEventKind::Pdu { endpoint: self.endpoint, stream, sent, header: header.clone() };
                inner.events.push(TraceEvent { at_us, kind });
            }
        }
        headers.iter().for_each(|h| (self.on_header)(own_stream, sent, h));
    }

    fn closed(&self, own_stream: u64) {
        let stream = self.recorded_stream(own_stream);
        let mut inner = self.recorder.lock();
        let at_us = self.recorder.started.elapsed().as_micros() as u64;
        inner.parsers.retain(|(s, _), _| *s != stream);
        inner.events.push(TraceEvent { at_us, kind: TraceEventKind::Closed { stream } });
    }
}
