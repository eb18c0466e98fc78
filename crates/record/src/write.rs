//! Writes a record line by line.

use crate::{HostClassCounts, Line, RecordHeader, Recording, ScenarioEvent, Trailer, FORMAT};
use pearfork_rulecheck::TraceEvent;
use std::io::{self, Write};

/// Writes a record as it comes about; [`Writer::end`] makes it whole.
#[derive(Debug)]
pub struct Writer<W> {
    to: W,
    lines: u64,
    crc: u32,
}

impl<W: Write> Writer<W> {
    /// Begins with the head.
    ///
    /// # Errors
    /// As the writer's.
    pub fn new(to: W, head: &RecordHeader) -> io::Result<Self> {
        let mut writer = Writer { to, lines: 0, crc: 0 };
        writer.line(&Line::Header(RecordHeader { pearfork_record: FORMAT, ..head.clone() }))?;
        Ok(writer)
    }

    /// Something the script did.
    ///
    /// # Errors
    /// As the writer's.
    pub fn scenario_event(&mut self, event: &ScenarioEvent) -> io::Result<()> {
        self.line(&Line::ScenarioEvent(event.clone()))
    }

    /// A note.
    ///
    /// # Errors
    /// As the writer's.
    pub fn event(&mut self, event: &TraceEvent) -> io::Result<()> {
        self.line(&Line::Event(event.clone()))
    }

    /// What a host counted.
    ///
    /// # Errors
    /// As the writer's.
    pub fn host_counts(&mut self, counts: &HostClassCounts) -> io::Result<()> {
        self.line(&Line::HostClassCounts(counts.clone()))
    }

    /// Writes the last line, flushes, and gives the writer back.
    ///
    /// # Errors
    /// As the writer's.
    pub fn finish(mut self) -> io::Result<W> {
        let end = Trailer { lines: self.lines, crc32c: self.crc };
        self.line(&Line::Trailer(end))?;
        self.to.flush()?;
        Ok(self.to)
    }

    fn line(&mut self, line: &Line) -> io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.crc = crc32c::crc32c_append(self.crc, &text);
        self.lines += 1;
        self.to.write_all(&text)
    }
}

/// Writes a record at once.
///
/// # Errors
/// As the writer's.
pub fn write<W: Write>(to: W, recording: &Recording) -> io::Result<W> {
    let mut writer = Writer::new(to, &recording.header)?;
    recording.scenario_events.iter().try_for_each(|s| writer.scenario_event(s))?;
    recording.events.iter().try_for_each(|n| writer.event(n))?;
    recording.host_counts.iter().try_for_each(|c| writer.host_counts(c))?;
    writer.finish()
}
