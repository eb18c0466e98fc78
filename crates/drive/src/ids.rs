//! Ids of requests toward the module.

/// Gives ids that no live request or attempt has.
///
/// The module takes an id as never repeated; it forgets one when the request and its last attempt are over, and
/// the timer of a request rings before its deadline. After 2^32 requests (five days at 10,000 a second) counting
/// begins again at 0, and what is still alive is passed over: nothing of an id is left when it comes again.
#[derive(Debug, Default)]
pub struct RequestIds {
    next: u32,
}

impl RequestIds {
    /// Begins at a given id.
    pub fn starting_at(next: u32) -> Self {
        RequestIds { next }
    }

    /// The next id that is not alive. Far fewer than 2^32 are: windows and queues are bounded.
    pub fn allocate(&mut self, alive: impl Fn(u32) -> bool) -> u32 {
        loop {
            let id = self.next;
            self.next = self.next.wrapping_add(1);
            if !alive(id) {
                return id;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counting_goes_on_past_the_last_id_around_what_is_alive() {
        let mut ids = RequestIds::starting_at(u32::MAX);
        assert_eq!(ids.allocate(|_| false), u32::MAX);
        assert_eq!(ids.allocate(|id| id < 3), 3);
        assert_eq!(ids.allocate(|_| false), 4);
    }
}
