//! State that survives the restart of a node: the blocks of its shard and the idempotency keys seen in its
//! rack.

use pearfork_iscsi::node_extension::IdempotencyKey;
use pearfork_iscsi::Payload;
use pearfork_scsi::{MediaCommand, MediaOp, Sense};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Page size of the store, in bytes.
const PAGE_BYTES: usize = 64 * 1024;

/// Pages by volume and page number.
type Pages = HashMap<(u32, u64), Box<[u8]>>;

/// The blocks of all volumes in one shard. Blocks that were never written read as zeroes.
#[derive(Default)]
pub struct ShardStore {
    pages: Mutex<Pages>,
}

impl ShardStore {
    /// Executes a command whose data was received completely.
    ///
    /// # Errors
    /// Sense data with the offset of the first difference, for a comparison that failed.
    pub fn execute(
        &self,
        volume: u32,
        media: &MediaCommand,
        block_bytes: u32,
        data: &Payload,
    ) -> Result<Payload, Sense> {
        let mut pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        let (offset, len) =
            (media.lba * u64::from(block_bytes), media.blocks as usize * block_bytes as usize);
        match media.op {
            MediaOp::Read => Ok(read(&pages, volume, offset, len).into()),
            MediaOp::Write => {
                write(&mut pages, volume, offset, data);
                Ok(Payload::new())
            }
            MediaOp::Verify { compare: false } | MediaOp::Flush => Ok(Payload::new()),
            MediaOp::Verify { compare: true } | MediaOp::CompareAndWrite => {
                let stored = read(&pages, volume, offset, len);
                let expected = data.slice(0, len).to_bytes();
                if let Some(difference) = stored.iter().zip(&expected).position(|(a, b)| a != b) {
                    return Err(Sense::miscompare(difference as u32));
                }
                if media.op == MediaOp::CompareAndWrite {
                    write(&mut pages, volume, offset, &data.slice(len, len));
                }
                Ok(Payload::new())
            }
        }
    }
}

/// Splits a range of bytes at page boundaries. Yields the page number, the offset in the page and the length.
fn split_by_page(start: u64, len: usize) -> impl Iterator<Item = (u64, usize, usize)> {
    let mut done = 0;
    std::iter::from_fn(move || {
        let (page, offset) =
            ((start + done as u64) / PAGE_BYTES as u64, ((start + done as u64) % PAGE_BYTES as u64) as usize);
        let n = (len - done).min(PAGE_BYTES - offset);
        done += n;
        (n > 0).then_some((page, offset, n))
    })
}

fn read(pages: &Pages, volume: u32, start: u64, len: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(len);
    for (page, offset, n) in split_by_page(start, len) {
        match pages.get(&(volume, page)) {
            Some(p) => out.extend_from_slice(&p[offset..offset + n]),
            None => out.resize(out.len() + n, 0),
        }
    }
    out
}

fn write(pages: &mut Pages, volume: u32, start: u64, data: &Payload) {
    let mut written = 0;
    for chunk in data.chunks() {
        let mut copied = 0;
        for (page, offset, n) in split_by_page(start + written as u64, chunk.len()) {
            let p = pages.entry((volume, page)).or_insert_with(|| vec![0; PAGE_BYTES].into());
            p[offset..offset + n].copy_from_slice(&chunk[copied..copied + n]);
            copied += n;
        }
        written += copied;
    }
}

/// The idempotency keys of writes that the nodes of one rack have applied, kept for a window after each key's
/// first write. Expired keys stay in memory until the cache holds more than 65,536 keys.
pub struct RackKeyCache {
    window: Duration,
    first_applied: Mutex<HashMap<IdempotencyKey, Instant>>,
}

impl RackKeyCache {
    /// Creates a cache that recognises a key for `window` after its first write. Repeats do not extend the
    /// window.
    pub fn new(window: Duration) -> Self {
        RackKeyCache { window, first_applied: Mutex::default() }
    }

    /// Returns whether a write with this key is to be applied. False if one was applied within the window.
    pub(crate) fn admit(&self, key: IdempotencyKey) -> bool {
        let mut first_applied = self.first_applied.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if first_applied.len() > 65_536 {
            first_applied.retain(|_, at| now.duration_since(*at) < self.window);
        }
        match first_applied.get(&key) {
            Some(at) if now.duration_since(*at) < self.window => false,
            _ => {
                first_applied.insert(key, now);
                true
            }
        }
    }
}
