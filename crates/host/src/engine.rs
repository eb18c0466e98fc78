//! The one thread that owns a host's dispatcher.

use crate::dispatcher::{
    AttemptEnd, AttemptId, CommandId, Dispatcher, FinalAnswer, Input, LimitShare, Output,
};
use crate::links::Links;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use pearfork_iscsi::node_extension::LoadReport;
use pearfork_net::Clock;
use std::sync::Arc;
use std::time::Duration;

/// A message to the engine's thread.
pub(crate) enum Message {
    Input(Input),
    /// This host's shares of the volumes' limits from now on. The sender is notified once everything that is
    /// sent from then on goes by these shares.
    LimitShares(Vec<LimitShare>, Sender<()>),
    /// Runs a function on the dispatcher's state.
    Inspect(Box<Inspection>),
    /// Blocks the engine for this long, as if the process were suspended; for tests of that fault.
    Stall(Duration),
    /// Ends the thread at once.
    Stop,
}

impl Message {
    pub(crate) fn attempt_ended(id: AttemptId, outcome: AttemptEnd, report: Option<LoadReport>) -> Message {
        Message::Input(Input::AttemptEnded(id, outcome, report))
    }
}

/// A function that reads the dispatcher's state at a time of the engine's clock. It runs on the engine's
/// thread and must return quickly.
pub(crate) type Inspection = dyn FnOnce(&Dispatcher, f64) + Send;

/// Runs `read` on the dispatcher's state; `None` if the engine's queue is full or it does not answer within 2
/// s. The caller selects what it needs, so that the engine copies nothing else.
pub(crate) fn inspect<T: Send + 'static>(
    engine: &Sender<Message>,
    read: impl FnOnce(&Dispatcher, f64) -> T + Send + 'static,
) -> Option<T> {
    let (to, from) = bounded(1);
    let inspection = move |d: &Dispatcher, now| drop(to.try_send(read(d, now)));
    engine.try_send(Message::Inspect(Box::new(inspection))).ok()?;
    from.recv_timeout(Duration::from_secs(2)).ok()
}

/// Receives the outputs that do not go to storage nodes. No method may block.
pub(crate) trait OutputHandler: Send {
    fn answer(&self, id: CommandId, answer: FinalAnswer);
    fn watch(&self, on: bool);
    fn fetch_node_list(&self);
}

/// Maximum number of messages handled before timers are checked again.
const BATCH: usize = 256;

/// Runs until it receives [`Message::Stop`] or every sender is gone.
pub(crate) fn run(
    mut dispatcher: Dispatcher,
    clock: Clock,
    messages: &Receiver<Message>,
    links: &Arc<Links>,
    handler: &dyn OutputHandler,
) {
    let mut outputs = Vec::new();
    loop {
        let first = match dispatcher.next_timer() {
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
                Message::Input(input) => dispatcher.handle(clock.now_ms(), input, &mut outputs),
                Message::LimitShares(shares, applied) => {
                    dispatcher.handle(clock.now_ms(), Input::LimitShares(shares), &mut outputs);
                    // A sender that timed out has dropped its receiver and treats the shares as not applied.
                    let _ = applied.try_send(());
                }
                Message::Inspect(inspection) => inspection(&dispatcher, clock.now_ms()),
                Message::Stall(span) => std::thread::sleep(span),
                Message::Stop => return,
            }
            carry_out(&mut outputs, links, handler);
        }
        dispatcher.run_timers(clock.now_ms(), &mut outputs);
        carry_out(&mut outputs, links, handler);
    }
}

fn carry_out(outputs: &mut Vec<Output>, links: &Arc<Links>, handler: &dyn OutputHandler) {
    for output in outputs.drain(..) {
        match output {
            Output::Send(node, attempt) => links.send(node, *attempt),
            Output::Abort(node, id) => links.abort(node, id),
            Output::Withdraw(node, id) => links.withdraw(node, id),
            Output::Answer(id, answer) => handler.answer(id, answer),
            Output::Watch(on) => handler.watch(on),
            Output::FetchNodeList => handler.fetch_node_list(),
            Output::CloseIdleConnections(node) => links.close_idle(node),
            Output::Log(text) => tracing::info!(target: "pearfork::module", "{text}"),
        }
    }
}
