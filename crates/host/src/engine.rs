//! The one thread that owns a host's dispatcher, and the clock that it lives by.

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts};
use crate::dispatcher::{AttemptId, Dispatcher, Effect, Ended, Final, Input, Origin};
use crate::links::Links;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork::{NodeEntry, Reason};
use pearfork_iscsi::ext::Report;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds of the Unix epoch that only advance: read off the system's clock once, then monotonic.
///
/// Danger: the node list gives starts of nodes on this scale. A clock that began at 0 with the process would make
/// a node that started just before the host look as if it had been up for ever, and it would be sent full load cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    began: Instant,
    began_ms: f64,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { began: Instant::now(), began_ms: since.as_secs_f64() * 1_000.0 }
    }

    pub(crate) fn now_ms(&self) -> f64 {
        self.began_ms + self.began.elapsed().as_secs_f64() * 1_000.0
    }

    fn instant(&self, at_ms: f64) -> Instant {
        let after = ((at_ms - self.began_ms) / 1_000.0).clamp(0.0, 1e9);
        self.began + Duration::from_secs_f64(after)
    }
}

/// What the engine is told.
pub(crate) enum Message {
    Input(Input),
    /// Answers with the state of things; dropped where nobody waits any more.
    Snapshot(Sender<Snapshot>),
    /// Stand still for so long, as a suspended process does: for tests of that trouble.
    StandStill(Duration),
    /// Leave at once.
    Stop,
}

impl Message {
    pub(crate) fn ended(id: AttemptId, ended: Ended, report: Option<Report>) -> Message {
        Message::Input(Input::Ended(id, ended, report))
    }
}

/// Counts at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) classes: Vec<ClassCounts>,
    /// For each class, answer times at 50, 90, 99 and 99.9 percent, microseconds.
    pub(crate) times_us: Vec<[u64; 4]>,
    pub(crate) nodes: BTreeMap<u32, NodeCounts>,
    pub(crate) listed: BTreeMap<u32, NodeEntry>,
    pub(crate) open: usize,
    pub(crate) reasons: ReasonCounts,
    pub(crate) waiting: BTreeMap<Reason, u64>,
}

/// Whom effects go to. Neither call may block.
pub(crate) trait Outside: Send {
    fn answer(&self, origin: Origin, answer: Final);
    fn watch(&self, on: bool);
    fn read_list(&self);
}

/// Most messages taken before timers are looked at again.
const BATCH: usize = 256;

/// Runs until told to stop, or until nobody can tell it anything any more.
pub(crate) fn run(
    mut dispatcher: Dispatcher,
    clock: Clock,
    messages: &Receiver<Message>,
    links: &Arc<Links>,
    outside: &dyn Outside,
) {
    let mut effects = Vec::new();
    loop {
        let first = match dispatcher.next_due() {
            Some(at) => match messages.recv_deadline(clock.instant(at)) {
                Ok(m) => Some(m),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            },
            None => match messages.recv() {
                Ok(m) => Some(m),
                Err(_) => return,
            },
        };
        for message in first.into_iter().chain(messages.try_iter().take(BATCH)) {
            match message {
                Message::Input(input) => dispatcher.handle(clock.now_ms(), input, &mut effects),
                Message::Snapshot(to) => {
                    let _ = to.try_send(Snapshot {
                        classes: dispatcher.class_counts().to_vec(),
                        times_us: dispatcher
                            .times()
                            .iter()
                            .map(|t| [0.5, 0.9, 0.99, 0.999].map(|q| t.value_at_quantile(q)))
                            .collect(),
                        nodes: dispatcher.node_counts().clone(),
                        listed: dispatcher.listed().clone(),
                        open: dispatcher.open_commands(),
                        reasons: dispatcher.reason_counts().clone(),
                        waiting: dispatcher.waiting(clock.now_ms()),
                    });
                }
                Message::StandStill(span) => std::thread::sleep(span),
                Message::Stop => return,
            }
            carry_out(&mut effects, links, outside);
        }
        dispatcher.ring(clock.now_ms(), &mut effects);
        carry_out(&mut effects, links, outside);
    }
}

fn carry_out(effects: &mut Vec<Effect>, links: &Arc<Links>, outside: &dyn Outside) {
    for effect in effects.drain(..) {
        match effect {
            Effect::Send(node, order) => links.send(node, *order),
            Effect::Abort(node, id) => links.abort(node, id),
            Effect::Answer(origin, answer) => outside.answer(origin, answer),
            Effect::Watch(on) => outside.watch(on),
            Effect::ReadList => outside.read_list(),
            Effect::CloseIdle(node) => links.close_idle(node),
            Effect::Log(text) => tracing::info!(target: "pearfork::module", "{text}"),
        }
    }
}
