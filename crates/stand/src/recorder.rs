//! The record of a run: bytes of sockets cut to headers as they pass, and what stand-ins know of themselves.

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

/// Takes notes, in order.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    on: bool,
    inner: Arc<Mutex<Inner>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { began: Instant::now(), on: true, inner: Arc::default() }
    }
}

impl Recorder {
    /// One that keeps nothing, for stand-ins that run without end.
    pub fn disabled() -> Recorder {
        Recorder { on: false, ..Default::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since the record began.
    pub fn elapsed_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Notes a thing now.
    pub fn record(&self, kind: TraceEventKind) {
        if self.on {
            let mut inner = self.lock();
            let at_us = self.began.elapsed().as_micros() as u64;
            inner.events.push(TraceEvent { at_us, kind });
        }
    }

    /// A tap for the sockets of a place. `watch` sees each header after it was noted.
    pub fn tap(
        &self,
        place: Endpoint,
        watch: impl Fn(u64, bool, &Header) + Send + Sync + 'static,
    ) -> Option<Arc<dyn Tap>> {
        let (recorder, watch): (_, Watch) = (self.clone(), Box::new(watch));
        let tap = || Arc::new(PlaceTap { recorder, place, streams: Mutex::default(), watch }) as Arc<dyn Tap>;
        self.on.then(tap)
    }

    /// All notes so far.
    pub fn events(&self) -> Vec<TraceEvent> {
        self.lock().events.clone()
    }
}

type Watch = Box<dyn Fn(u64, bool, &Header) + Send + Sync>;

struct PlaceTap {
    recorder: Recorder,
    place: Endpoint,
    /// The owner's numbers of streams, to those of the record.
    streams: Mutex<HashMap<u64, u64>>,
    watch: Watch,
}

impl PlaceTap {
    fn stream(&self, own: u64) -> u64 {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        *streams.entry(own).or_insert_with(|| {
            let mut inner = self.recorder.lock();
            inner.next_stream += 1;
            inner.next_stream
        })
    }
}

impl Tap for PlaceTap {
    fn bytes(&self, own: u64, direction: Direction, bytes: &[u8]) {
        let stream = self.stream(own);
        let sent = direction == Direction::Out;
        let mut headers = Vec::new();
        {
            let mut inner = self.recorder.lock();
            let at_us = self.recorder.began.elapsed().as_micros() as u64;
            let mut parser = inner.parsers.remove(&(stream, sent)).unwrap_or_default();
            parser.feed(bytes, |header| headers.push(header));
            inner.parsers.insert((stream, sent), parser);
            for header in &headers {
                let kind = TraceEventKind::Pdu { endpoint: self.place, stream, sent, header: header.clone() };
                inner.events.push(TraceEvent { at_us, kind });
            }
        }
        headers.iter().for_each(|h| (self.watch)(own, sent, h));
    }

    fn closed(&self, own: u64) {
        let stream = self.stream(own);
        let mut inner = self.recorder.lock();
        let at_us = self.recorder.began.elapsed().as_micros() as u64;
        inner.parsers.retain(|(s, _), _| *s != stream);
        inner.events.push(TraceEvent { at_us, kind: TraceEventKind::Closed { stream } });
    }
}
