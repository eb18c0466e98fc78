//! Writes a record line by line.

use crate::{HostClassCounts, Line, RecordHeader, Recording, ScenarioEvent, Trailer, FORMAT};
use pearfork_rulecheck::TraceEvent;
use std::io::{self, Write};

/// Writes a record line by line. It is complete after [`Writer::finish`].
#[derive(Debug)]
pub struct Writer<W> {
    output: W,
    lines: u64,
    crc: u32,
}

impl<W: Write> Writer<W> {
    /// Starts a record by writing its header.
    ///
    /// # Errors
    /// An error of the output.
    pub fn new(output: W, header: &RecordHeader) -> io::Result<Self> {
        let mut writer = Writer { output, lines: 0, crc: 0 };
        writer.write_line(&Line::Header(RecordHeader { pearfork_record: FORMAT, ..header.clone() }))?;
        Ok(writer)
    }

    /// Writes an event of the scenario.
    ///
    /// # Errors
    /// An error of the output.
    pub fn scenario_event(&mut self, event: &ScenarioEvent) -> io::Result<()> {
        self.write_line(&Line::ScenarioEvent(event.clone()))
    }

    /// Writes a trace event.
    ///
    /// # Errors
    /// An error of the output.
    pub fn event(&mut self, event: &TraceEvent) -> io::Result<()> {
        self.write_line(&Line::Event(event.clone()))
    }

    /// Writes a host's counts of a class.
    ///
    /// # Errors
    /// An error of the output.
    pub fn host_counts(&mut self, counts: &HostClassCounts) -> io::Result<()> {
        self.write_line(&Line::HostClassCounts(counts.clone()))
    }

    /// Writes the trailer, flushes the output and returns it.
    ///
    /// # Errors
    /// An error of the output.
    pub fn finish(mut self) -> io::Result<W> {
        let trailer = Trailer { lines: self.lines, crc32c: self.crc };
        self.write_line(&Line::Trailer(trailer))?;
        self.output.flush()?;
        Ok(self.output)
    }

    fn write_line(&mut self, line: &Line) -> io::Result<()> {
        let mut line_bytes = serde_json::to_vec(line)?;
        line_bytes.push(b'\n');
        self.crc = crc32c::crc32c_append(self.crc, &line_bytes);
        self.lines += 1;
        self.output.write_all(&line_bytes)
    }
}

/// Writes a whole record.
///
/// # Errors
/// An error of the output.
pub fn write<W: Write>(output: W, recording: &Recording) -> io::Result<W> {
    let mut writer = Writer::new(output, &recording.header)?;
    recording.scenario_events.iter().try_for_each(|s| writer.scenario_event(s))?;
    recording.events.iter().try_for_each(|n| writer.event(n))?;
    recording.host_counts.iter().try_for_each(|c| writer.host_counts(c))?;
    writer.finish()
}
