//! Reads records from the log, or from a peer, and builds the first state from what the
//! log still retains.

use workshold_core::replay::Replay;
use workshold_core::replay::ReplayStart;
use workshold_core::replay::checkpoints_of;
use workshold_protocol::Millis;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::ReadRecord;
use workshold_protocol::log_api::ReadReply;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::peer::PeerResponseBody;
use workshold_protocol::record;
use workshold_protocol::record::Checkpoint;
use workshold_protocol::record::Envelope;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::tail::Tail;

/// Where records were read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// The log service.
    Log,
    /// A peer, which sends them with their original seals.
    Peer,
}

/// Reads records from offset `from` on, from the log or, if it doesn't answer, from the peer
/// that has read furthest. `wait` is how long the log may wait for new records; `None` if
/// nobody answers.
pub async fn read_records(
    node: &Node,
    from: Offset,
    wait: Millis,
) -> Option<(ReadReply, RecordSource)> {
    match node.log.read(from, wait).await {
        Ok(reply) => {
            let len: usize = reply.records.iter().map(|record| record.data.len()).sum();
            node.counters.control_received.add(len as u64);
            Some((reply, RecordSource::Log))
        }
        Err(_) => read_from_peers(node, from).await.map(|reply| (reply, RecordSource::Peer)),
    }
}

/// Asks all known nodes, one after another; takes the answer that reaches furthest.
async fn read_from_peers(node: &Node, from: Offset) -> Option<ReadReply> {
    let within = node.settings.times.probe_every.to_duration();
    let mut best: Option<ReadReply> = None;
    for (peer, address) in node.known_peers() {
        let link = node.link(&peer, &address);
        let query = PeerQuery::Records { from };
        let key = &node.checked.cluster_key;
        let response = link.query(node.name(), query, key, &node.counters, within).await;
        // The records of a node without authority may lack the bundle in force.
        let Ok(PeerResponseBody::Records { records, next, custody: true }) = response else {
            continue;
        };
        let reply = to_read_reply(records, next);
        if best.as_ref().is_none_or(|best| best.end < reply.end) {
            best = Some(reply);
        }
    }
    best
}

fn to_read_reply(records: Vec<(Offset, String)>, next: Offset) -> ReadReply {
    let first = records.first().map_or(next, |(offset, _)| *offset);
    let records = records.into_iter().map(|(offset, data)| ReadRecord { offset, data });
    ReadReply { first, end: next, records: records.collect() }
}

/// Records that a node without a state collects, until it has read to the log's end.
#[derive(Debug, Default)]
pub struct RecordCollector {
    first: Option<Offset>,
    records: Vec<ReadRecord>,
}

/// The first state and the records that it was replayed from.
#[derive(Debug)]
pub struct InitialState {
    /// The replay, up to the last record read.
    pub replay: Replay,
    /// The sealed records, for peers.
    pub tail: Tail,
}

/// Result of adding the records of one read.
#[derive(Debug)]
pub enum Collected {
    /// There are more records, from this offset on.
    More(Offset),
    /// All records were read, and the state is complete.
    Complete(Box<InitialState>),
    /// The log's beginning is no longer retained, and no usable checkpoint replaces it.
    NoCheckpoint,
    /// The log has no records, so there is nothing to serve.
    Empty,
}

impl RecordCollector {
    /// Offset to read from next.
    pub fn next(&self) -> Offset {
        self.records.last().map_or(Offset(0), |record| record.offset.next())
    }

    /// Adds the records of one read. If they don't follow the previous ones, because the
    /// log dropped some meanwhile, it starts over with them.
    pub fn add(&mut self, node: &Node, reply: ReadReply) -> Collected {
        let follows = reply.records.first().is_none_or(|record| record.offset == self.next());
        if !follows || self.first.is_none() {
            self.records.clear();
            self.first = Some(reply.records.first().map_or(reply.end, |record| record.offset));
        }
        let is_last = reply.records.is_empty() || self.end_of(&reply) == reply.end;
        self.records.extend(reply.records);
        if !is_last {
            return Collected::More(self.next());
        }
        if self.records.is_empty() && reply.end == Offset(0) {
            return Collected::Empty;
        }
        self.build_state(node)
    }

    fn end_of(&self, reply: &ReadReply) -> Offset {
        reply.records.last().map_or(self.next(), |record| record.offset.next())
    }

    /// Replays the collected records, from the newest checkpoint that they allow.
    fn build_state(&self, node: &Node) -> Collected {
        let first = self.first.unwrap_or_default();
        let opened: Vec<_> =
            self.records.iter().map(|record| (record, open_record(node, &record.data))).collect();
        let checkpoints: Vec<Checkpoint> = opened
            .iter()
            .filter_map(|(_, envelope)| envelope.as_ref())
            .flat_map(|envelope| checkpoints_of(envelope).cloned())
            .collect();
        let ReplayStart::From(mut replay) = Replay::start(first, &checkpoints) else {
            return Collected::NoCheckpoint;
        };
        let mut tail = Tail::starting_at(first);
        for (record, envelope) in opened {
            tail.push(record.offset, &record.data);
            // Fails only on a gap, which `add` has ruled out.
            if replay.take(record.offset, envelope.as_ref()).is_err() {
                return Collected::NoCheckpoint;
            }
        }
        Collected::Complete(Box::new(InitialState { replay: *replay, tail }))
    }
}

/// Verifies and decodes a record. One with an invalid seal or content is counted, logged
/// and skipped: `None`.
pub fn open_record(node: &Node, text: &str) -> Option<Envelope> {
    let (key, operators) = (&node.checked.cluster_key, &node.checked.operators);
    match record::open(text, key, operators) {
        Ok((envelope, _)) => Some(envelope),
        Err(err) => {
            node.counters.records_passed_over.add(1);
            emit(Event::RecordPassedOver, &[("why", &err.to_string())]);
            None
        }
    }
}
