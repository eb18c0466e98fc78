//! The record of a run: bytes of sockets cut to headers as they pass, and what stand-ins know of themselves.

use pearfork_net::{Direction, Tap};
use pearfork_rulecheck::wire::{Cutter, Header};
use pearfork_rulecheck::{Note, Place, What};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Inner {
    notes: Vec<Note>,
    cutters: HashMap<(u64, bool), Cutter>,
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
    pub fn off() -> Recorder {
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
    pub fn note(&self, what: What) {
        if self.on {
            let mut inner = self.lock();
            let at_us = self.began.elapsed().as_micros() as u64;
            inner.notes.push(Note { at_us, what });
        }
    }

    /// A tap for the sockets of a place. `watch` sees each header after it was noted.
    pub fn tap(
        &self,
        place: Place,
        watch: impl Fn(u64, bool, &Header) + Send + Sync + 'static,
    ) -> Option<Arc<dyn Tap>> {
        let (recorder, watch): (_, Watch) = (self.clone(), Box::new(watch));
        let tap = || Arc::new(PlaceTap { recorder, place, streams: Mutex::default(), watch }) as Arc<dyn Tap>;
        self.on.then(tap)
    }

    /// All notes so far.
    pub fn notes(&self) -> Vec<Note> {
        self.lock().notes.clone()
    }
}

type Watch = Box<dyn Fn(u64, bool, &Header) + Send + Sync>;

struct PlaceTap {
    recorder: Recorder,
    place: Place,
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
            let mut cutter = inner.cutters.remove(&(stream, sent)).unwrap_or_default();
            cutter.feed(bytes, |header| headers.push(header));
            inner.cutters.insert((stream, sent), cutter);
            for header in &headers {
                let what = What::Pdu { place: self.place, stream, sent, header: header.clone() };
                inner.notes.push(Note { at_us, what });
            }
        }
        headers.iter().for_each(|h| (self.watch)(own, sent, h));
    }

    fn closed(&self, own: u64) {
        let stream = self.stream(own);
        let mut inner = self.recorder.lock();
        let at_us = self.recorder.began.elapsed().as_micros() as u64;
        inner.cutters.retain(|(s, _), _| *s != stream);
        inner.notes.push(Note { at_us, what: What::Closed { stream } });
    }
}
