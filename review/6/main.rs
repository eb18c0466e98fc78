//! A write that is longer than `transport.max_transfer` but within the limit that the volume itself states.

#[path = "../standins-2/iscsi.rs"]
mod iscsi;

use iscsi::*;
use std::time::Duration;

const BLOCK: usize = 4096;
/// The documented default of `transport.max_transfer`.
const MAX_TRANSFER: usize = 1 << 20;

fn main() {
    main_with(|root, record| {
        let folder = TempFolder::new("case6")?;
        let (address, directory) = (free_address()?, free_address()?);
        // The quickstart with blocks of 4 KiB: nothing else that matters here is changed.
        let text = std::fs::read_to_string(root.join("examples/quickstart.toml"))?;
        let text = text
            .replace("127.0.0.1:3260", &address.to_string())
            .replace("http = \"127.0.0.1:9180\"\n", "")
            .replace("127.0.0.1:9300", &directory.to_string())
            .replace("block = \"512B\"", "block = \"4KiB\"");
        let config = folder.0.join("host.toml");
        std::fs::write(&config, text)?;
        let _gateway = Gateway::serve(root, &config, address, &folder.0.join("log"))?;
        let name = "iqn.2026-12.org.pearfork:reviewer";
        let mut client = Initiator::login(address, name, TARGET, Duration::from_secs(10))?;

        // What the volume says of itself: Block Limits, maximum transfer length in blocks.
        let limits = client.command(inquiry(0xb0, 64), 64, &[])?;
        let stated = u32::from_be_bytes([limits.data[8], limits.data[9], limits.data[10], limits.data[11]]) as usize;
        record.line(format!("Block Limits: at most {stated} blocks of {BLOCK} bytes, {} KiB a command", stated * BLOCK / 1024));

        let bytes = if trouble() { 2 * MAX_TRANSFER } else { MAX_TRANSFER };
        let blocks = bytes / BLOCK;
        if blocks > stated {
            record.line("the volume states a smaller limit, which a client keeps to: nothing to try");
            return Ok(HELD);
        }
        // Known contents first, in commands of 64 KiB.
        for at in (0..blocks).step_by(16) {
            let answer = client.patient(write16(at as u64, 16), 0, &[0xaa; 16 * BLOCK])?;
            if !answer.is_good() {
                record.line(format!("a write of 64 KiB ended with status {:#x}", answer.status));
                return Ok(NOT_RUN);
            }
        }
        record.line(format!("blocks 0 to {blocks} hold 0xaa"));

        let answer = client.patient(write16(0, blocks as u32), 0, &vec![0xbb; bytes])?;
        record.line(format!(
            "WRITE of {bytes} bytes of 0xbb at block 0: status {:#x}, residual {}",
            answer.status, answer.residual
        ));
        let mut old = 0;
        for at in (0..blocks).step_by(16) {
            let read = client.patient(read16(at as u64, 16), 16 * BLOCK as u32, &[])?;
            if !read.is_good() || read.data.len() != 16 * BLOCK {
                record.line(format!("READ of blocks {at} to {}: status {:#x}", at + 16, read.status));
                return Ok(NOT_RUN);
            }
            old += read.data.chunks(BLOCK).filter(|b| b.iter().any(|v| *v != 0xbb)).count();
        }
        record.line(format!("read back: {} of {blocks} blocks hold what was written, {old} hold the old data", blocks - old));
        // GOOD with no residual says that all bytes were transferred. Any other end promises nothing.
        let acknowledged = answer.is_good() && answer.residual == 0;
        Ok(if acknowledged && old > 0 { BROKEN } else { HELD })
    })
}
