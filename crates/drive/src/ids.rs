//! Allocation of request ids.

/// Allocates ids that no open request and no attempt in flight has.
///
/// The scheduler requires unique ids, but it forgets an id when the request and its last attempt are over.
/// After 2^32 requests (five days at 10,000 per second) the count starts again at 0 and skips ids that are
/// still in use, so nothing of an id is left when it is allocated again.
#[derive(Debug, Default)]
pub struct RequestIds {
    next: u32,
}

impl RequestIds {
    /// Starts at a given id.
    pub fn starting_at(next: u32) -> Self {
        RequestIds { next }
    }

    /// Returns the next id that is not in use. The search ends, since bounded windows and queues keep far
    /// fewer than 2^32 ids in use.
    pub fn allocate(&mut self, is_in_use: impl Fn(u32) -> bool) -> u32 {
        loop {
            let id = self.next;
            self.next = self.next.wrapping_add(1);
            if !is_in_use(id) {
                return id;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn allocation_wraps_around_and_skips_ids_in_use() {
        let mut ids = RequestIds::starting_at(u32::MAX);
        assert_eq!(ids.allocate(|_| false), u32::MAX);
        assert_eq!(ids.allocate(|id| id < 3), 3);
        assert_eq!(ids.allocate(|_| false), 4);
    }
}
