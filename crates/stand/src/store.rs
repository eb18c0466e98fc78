//! Blocks, which outlive a node's process, and a rack's memory of keys.

use pearfork_iscsi::node_extension::IdempotencyKey;
use pearfork_iscsi::Payload;
use pearfork_scsi::{MediaCommand, MediaOp, Sense};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Bytes in a page of the store.
const PAGE: usize = 64 * 1024;

/// Pages by volume and number.
type Pages = HashMap<(u32, u64), Box<[u8]>>;

/// The blocks of a shard, of all volumes; what was never written reads as zeroes.
#[derive(Default)]
pub struct ShardStore {
    pages: Mutex<Pages>,
}

impl ShardStore {
    /// Carries out a command whose data is whole.
    ///
    /// # Errors
    /// Sense data, for a comparison that failed.
    pub fn carry_out(
        &self,
        volume: u32,
        media: &MediaCommand,
        block: u32,
        data: &Payload,
    ) -> Result<Payload, Sense> {
        let mut pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        let (at, len) = (media.lba * u64::from(block), media.blocks as usize * block as usize);
        match media.op {
            MediaOp::Read => Ok(read(&pages, volume, at, len).into()),
            MediaOp::Write => {
                write(&mut pages, volume, at, data);
                Ok(Payload::new())
            }
            MediaOp::Verify { compare: false } | MediaOp::Flush => Ok(Payload::new()),
            MediaOp::Verify { compare: true } | MediaOp::CompareAndWrite => {
                let now = read(&pages, volume, at, len);
                let wanted = data.slice(0, len).to_bytes();
                if let Some(offset) = now.iter().zip(&wanted).position(|(a, b)| a != b) {
                    return Err(Sense::miscompare(offset as u32));
                }
                if media.op == MediaOp::CompareAndWrite {
                    write(&mut pages, volume, at, &data.slice(len, len));
                }
                Ok(Payload::new())
            }
        }
    }
}

/// Cuts a range of bytes at the borders of pages: page, offset in it, bytes.
fn pieces(at: u64, len: usize) -> impl Iterator<Item = (u64, usize, usize)> {
    let mut done = 0;
    std::iter::from_fn(move || {
        let (page, offset) = ((at + done as u64) / PAGE as u64, ((at + done as u64) % PAGE as u64) as usize);
        let n = (len - done).min(PAGE - offset);
        done += n;
        (n > 0).then_some((page, offset, n))
    })
}

fn read(pages: &Pages, volume: u32, at: u64, len: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(len);
    for (page, offset, n) in pieces(at, len) {
        match pages.get(&(volume, page)) {
            Some(p) => out.extend_from_slice(&p[offset..offset + n]),
            None => out.resize(out.len() + n, 0),
        }
    }
    out
}

fn write(pages: &mut Pages, volume: u32, at: u64, data: &Payload) {
    let mut done = 0;
    for piece in data.chunks() {
        let mut taken = 0;
        for (page, offset, n) in pieces(at + done as u64, piece.len()) {
            let p = pages.entry((volume, page)).or_insert_with(|| vec![0; PAGE].into());
            p[offset..offset + n].copy_from_slice(&piece[taken..taken + n]);
            taken += n;
        }
        done += taken;
    }
}

/// What the nodes of a rack remember together: keys of writes, for a window after the first of each.
pub struct Rack {
    window: Duration,
    seen: Mutex<HashMap<IdempotencyKey, Instant>>,
}

impl Rack {
    /// A rack that drops a repeat for so long.
    pub fn new(window: Duration) -> Self {
        Rack { window, seen: Mutex::default() }
    }

    /// Whether the effect of a key is to take place: not when it did within the window.
    pub(crate) fn admits(&self, key: IdempotencyKey) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if seen.len() > 65_536 {
            seen.retain(|_, at| now.duration_since(*at) < self.window);
        }
        match seen.get(&key) {
            Some(at) if now.duration_since(*at) < self.window => false,
            _ => {
                seen.insert(key, now);
                true
            }
        }
    }
}
