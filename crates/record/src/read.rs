//! Reads a record. Arbitrary input gives either a record or an error that names the line.

use crate::{Line, Recording, FORMAT, MAX_EVENTS, MAX_LINE};
use std::io::{self, BufRead, Read};

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// An error of the reader.
    #[error("line {line}: {source}")]
    Io {
        /// Number of the line, starting at 1.
        line: u64,
        /// Error of the reader.
        source: io::Error,
    },
    /// An invalid line.
    #[error("line {line}: {message}")]
    Line {
        /// Number of the line, starting at 1.
        line: u64,
        /// Description of the error.
        message: String,
    },
}

/// Reads a record. A truncated record is read up to its last whole line and is not `complete`; an invalid
/// line before the end is an error.
///
/// # Errors
/// The reader fails, or a line is invalid.
pub fn read(mut reader: impl BufRead) -> Result<Recording, ReadError> {
    let mut recording = Recording::default();
    let (mut number, mut crc) = (0u64, 0u32);
    let mut line_bytes = Vec::new();
    loop {
        let line = number + 1;
        let error = |message: String| ReadError::Line { line, message };
        line_bytes.clear();
        let read_len = reader
            .by_ref()
            .take(MAX_LINE as u64 + 1)
            .read_until(b'\n', &mut line_bytes)
            .map_err(|source| ReadError::Io { line, source })?;
        if read_len == 0 {
            return if number == 0 { Err(error("the file is empty".to_owned())) } else { Ok(recording) };
        }
        if line_bytes.len() > MAX_LINE {
            return Err(error(format!("longer than the maximum of {MAX_LINE} bytes")));
        }
        // A writer that is killed may leave an incomplete last line. The record is then truncated, not
        // invalid.
        let is_terminated = line_bytes.last() == Some(&b'\n');
        let parsed = match serde_json::from_slice::<Line>(&line_bytes) {
            Ok(parsed) if is_terminated => parsed,
            _ if !is_terminated && number > 0 => return Ok(recording),
            Ok(_) => return Err(error("the header has no line end".to_owned())),
            Err(e) => return Err(error(format!("not a line of a record: {e}"))),
        };
        match parsed {
            Line::Header(header) if number == 0 => {
                if header.pearfork_record != FORMAT {
                    let version = header.pearfork_record;
                    return Err(error(format!(
                        "unsupported format {version}; this program reads format {FORMAT}"
                    )));
                }
                recording.header = header;
            }
            _ if number == 0 => {
                return Err(error("the first line of a record must be its header".to_owned()))
            }
            Line::Header(_) => return Err(error("duplicate header".to_owned())),
            Line::ScenarioEvent(event) => recording.scenario_events.push(event),
            Line::Event(event) => {
                if recording.events.last().is_some_and(|last| last.at_us > event.at_us) {
                    return Err(error(
                        "events must be in the order of their times; this one is earlier than the one before"
                            .to_owned(),
                    ));
                }
                if recording.events.len() >= MAX_EVENTS {
                    return Err(error(format!("more than {MAX_EVENTS} events")));
                }
                recording.events.push(event);
            }
            Line::HostClassCounts(counts) => recording.host_counts.push(counts),
            Line::Trailer(trailer) => {
                if trailer.lines != number {
                    return Err(error(format!(
                        "the trailer counts {} lines, the record has {number}",
                        trailer.lines
                    )));
                }
                if trailer.crc32c != crc {
                    return Err(error(
                        "checksum mismatch: lines were changed after they were written".to_owned(),
                    ));
                }
                let mut extra = [0; 1];
                if reader.read(&mut extra).map_err(|source| ReadError::Io { line: line + 1, source })? > 0 {
                    return Err(ReadError::Line {
                        line: line + 1,
                        message: "data after the trailer".to_owned(),
                    });
                }
                recording.complete = true;
                return Ok(recording);
            }
        }
        crc = crc32c::crc32c_append(crc, &line_bytes);
        number += 1;
    }
}
