//! Reads a record; whatever the bytes are, it ends in a record or in an error that names the line.

use crate::{Line, Recording, FORMAT, MAX_EVENTS, MAX_LINE};
use std::io::{self, BufRead, Read};

/// A record that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The reader failed.
    #[error("line {line}: {source}")]
    Io {
        /// Line, from 1.
        line: u64,
        /// Why.
        source: io::Error,
    },
    /// A line that is none of this form.
    #[error("line {line}: {what}")]
    Line {
        /// Line, from 1.
        line: u64,
        /// What is wrong.
        what: String,
    },
}

/// Reads a record. One that was cut off is read as far as it goes and is not `whole`; a line that is broken in the middle
/// is an error.
///
/// # Errors
/// The line, and what is wrong with it.
pub fn read(mut from: impl BufRead) -> Result<Recording, ReadError> {
    let mut out = Recording::default();
    let (mut number, mut crc) = (0u64, 0u32);
    let mut text = Vec::new();
    loop {
        let line = number + 1;
        let bad = |what: String| ReadError::Line { line, what };
        text.clear();
        let got = from
            .by_ref()
            .take(MAX_LINE as u64 + 1)
            .read_until(b'\n', &mut text)
            .map_err(|source| ReadError::Io { line, source })?;
        if got == 0 {
            return if number == 0 { Err(bad("the file is empty".to_owned())) } else { Ok(out) };
        }
        if text.len() > MAX_LINE {
            return Err(bad(format!("is longer than {MAX_LINE} bytes")));
        }
        // A writer that was killed leaves half a line: that is a record cut off, not a broken one.
        let ended = text.last() == Some(&b'\n');
        let parsed = match serde_json::from_slice::<Line>(&text) {
            Ok(parsed) if ended => parsed,
            _ if !ended && number > 0 => return Ok(out),
            Ok(_) => return Err(bad("the head has no end".to_owned())),
            Err(e) => return Err(bad(format!("is no line of a record: {e}"))),
        };
        match parsed {
            Line::Header(head) if number == 0 => {
                if head.pearfork_record != FORMAT {
                    let other = head.pearfork_record;
                    return Err(bad(format!("is of format {other}; this program reads {FORMAT}")));
                }
                out.header = head;
            }
            _ if number == 0 => return Err(bad("a record begins with its head".to_owned())),
            Line::Header(_) => return Err(bad("a second head".to_owned())),
            Line::ScenarioEvent(said) => out.scenario_events.push(said),
            Line::Event(note) => {
                if out.events.last().is_some_and(|last| last.at_us > note.at_us) {
                    return Err(bad("notes are in the order of their times, and this is earlier".to_owned()));
                }
                if out.events.len() >= MAX_EVENTS {
                    return Err(bad(format!("more than {MAX_EVENTS} notes")));
                }
                out.events.push(note);
            }
            Line::HostClassCounts(counted) => out.host_counts.push(counted),
            Line::Trailer(end) => {
                if end.lines != number {
                    return Err(bad(format!("tells of {} lines, and {number} are here", end.lines)));
                }
                if end.crc32c != crc {
                    return Err(bad(
                        "the checksum is another: lines were changed after they were written".to_owned()
                    ));
                }
                let mut more = [0; 1];
                if from.read(&mut more).map_err(|source| ReadError::Io { line: line + 1, source })? > 0 {
                    return Err(ReadError::Line { line: line + 1, what: "stands after the end".to_owned() });
                }
                out.complete = true;
                return Ok(out);
            }
        }
        crc = crc32c::crc32c_append(crc, &text);
        number += 1;
    }
}
