//! The one thread that owns a host's dispatcher.

use crate::dispatcher::{AttemptId, Dispatcher, Effect, Ended, Final, Input, LentPart, Origin};
use crate::links::Links;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use pearfork_iscsi::node_extension::LoadReport;
use pearfork_net::Clock;
use std::sync::Arc;
use std::time::Duration;

/// What the engine is told.
pub(crate) enum Message {
    Input(Input),
    /// This host's parts of volumes' limits from now on, and whom to tell that all that goes out from then on goes by them.
    Lent(Vec<LentPart>, Sender<()>),
    /// A look at the state of things, at a time of the engine's clock.
    Look(Box<Look>),
    /// Stand still for so long, as a suspended process does: for tests of that trouble.
    StandStill(Duration),
    /// Leave at once.
    Stop,
}

impl Message {
    pub(crate) fn ended(id: AttemptId, ended: Ended, report: Option<LoadReport>) -> Message {
        Message::Input(Input::Ended(id, ended, report))
    }
}

/// What a look does; it takes what it wants with it, and must not take long.
pub(crate) type Look = dyn FnOnce(&Dispatcher, f64) + Send;

/// Looks at the state of things; `None` where the engine does not answer in time. Each caller asks for what it wants alone: the
/// engine copies nothing for those who look at something else.
pub(crate) fn look<T: Send + 'static>(
    engine: &Sender<Message>,
    at: impl FnOnce(&Dispatcher, f64) -> T + Send + 'static,
) -> Option<T> {
    let (to, from) = bounded(1);
    let look = move |d: &Dispatcher, now| drop(to.try_send(at(d, now)));
    engine.try_send(Message::Look(Box::new(look))).ok()?;
    from.recv_timeout(Duration::from_secs(2)).ok()
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
                Message::Lent(parts, done) => {
                    dispatcher.handle(clock.now_ms(), Input::Lent(parts), &mut effects);
                    // Whoever waited too long for this has gone, and takes the parts as not applied.
                    let _ = done.try_send(());
                }
                Message::Look(look) => look(&dispatcher, clock.now_ms()),
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
