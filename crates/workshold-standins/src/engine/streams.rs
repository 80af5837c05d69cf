//! Buffers the events of one request, so that readers can disconnect and resume.

use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream;
use parking_lot::Mutex;
use tokio::sync::watch;
use workshold_protocol::engine::TokenEvent;

/// The events of one stream so far, and their count for readers that wait.
#[derive(Debug)]
pub(super) struct StreamBuffer {
    events: Mutex<Vec<TokenEvent>>,
    count: watch::Sender<usize>,
}

/// Whether no event may follow this one.
fn is_final(event: &TokenEvent) -> bool {
    matches!(event, TokenEvent::Done { .. } | TokenEvent::Failed { .. })
}

impl StreamBuffer {
    pub(super) fn new() -> Arc<Self> {
        let (count, _) = watch::channel(0);
        Arc::new(Self { events: Mutex::default(), count })
    }

    pub(super) fn push(&self, event: TokenEvent) {
        let mut events = self.events.lock();
        if events.last().is_some_and(is_final) {
            return;
        }
        events.push(event);
        self.count.send_replace(events.len());
    }

    pub(super) fn fail(&self, why: &str) {
        self.push(TokenEvent::Failed { why: why.to_owned() });
    }

    pub(super) fn is_finished(&self) -> bool {
        self.events.lock().last().is_some_and(is_final)
    }

    /// Streams the events from token `from` on, as they are generated.
    pub(super) fn events(self: Arc<Self>, from: u32) -> impl Stream<Item = TokenEvent> + Sync {
        let rx = self.count.subscribe();
        stream::unfold((self, rx, 0, false), move |(buffer, mut rx, mut next, over)| async move {
            if over {
                return None;
            }
            loop {
                rx.wait_for(|count| *count > next).await.ok()?;
                let event = buffer.events.lock()[next].clone();
                next += 1;
                let is_wanted = match &event {
                    TokenEvent::Token { index, .. } => *index >= from,
                    _ => true,
                };
                if is_wanted {
                    let over = is_final(&event);
                    return Some((event, (buffer, rx, next, over)));
                }
            }
        })
    }
}
