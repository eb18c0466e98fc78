//! Writes a record line by line.

use crate::{Counted, End, Head, Line, Recording, Said, FORMAT};
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
    pub fn begin(to: W, head: &Head) -> io::Result<Self> {
        let mut writer = Writer { to, lines: 0, crc: 0 };
        writer.line(&Line::Head(Head { pearfork_record: FORMAT, ..head.clone() }))?;
        Ok(writer)
    }

    /// Something the script did.
    ///
    /// # Errors
    /// As the writer's.
    pub fn said(&mut self, said: &Said) -> io::Result<()> {
        self.line(&Line::Said(said.clone()))
    }

    /// A note.
    ///
    /// # Errors
    /// As the writer's.
    pub fn note(&mut self, note: &TraceEvent) -> io::Result<()> {
        self.line(&Line::Note(note.clone()))
    }

    /// What a host counted.
    ///
    /// # Errors
    /// As the writer's.
    pub fn counted(&mut self, counted: &Counted) -> io::Result<()> {
        self.line(&Line::Counted(counted.clone()))
    }

    /// Writes the last line, flushes, and gives the writer back.
    ///
    /// # Errors
    /// As the writer's.
    pub fn end(mut self) -> io::Result<W> {
        let end = End { lines: self.lines, crc32c: self.crc };
        self.line(&Line::End(end))?;
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
    let mut writer = Writer::begin(to, &recording.head)?;
    recording.said.iter().try_for_each(|s| writer.said(s))?;
    recording.notes.iter().try_for_each(|n| writer.note(n))?;
    recording.counted.iter().try_for_each(|c| writer.counted(c))?;
    writer.end()
}
