//! All events that the node logs: number, level, text, and advice for operators.
//!
//! `docs/EVENTS.md` is generated from this list; a test checks that they agree.

use workshold_telemetry::events::reference_page as page;

workshold_telemetry::events! {
    Started = 101, Info, "the node has started", "Nothing.";
    Ready = 102, Info, "the node serves callers", "Nothing.";
    NotReady = 103, Warn, "the node does not serve callers", "Read the reason; it goes away by itself once the log or a peer answers.";
    Leaving = 104, Info, "a planned stop has begun", "Nothing.";
    Stopped = 105, Info, "the node has stopped", "Nothing.";
    Cut = 106, Warn, "a second signal cut what was left", "Tell the callers; the count is in the event.";
    TaskEnded = 107, Error, "a part of the node has ended, and with it the node", "Report it as a bug; the node stops so that it can be restarted or replaced.";
    LogUnreachable = 201, Warn, "the log does not answer", "The node keeps serving; check the log service.";
    LogBack = 202, Info, "the log answers again", "Nothing.";
    LogWentBack = 203, Error, "the log ends before what this node has read", "The log was lost or replaced. Do not restart nodes before it is clear which.";
    NoCheckpoint = 204, Error, "the log's beginning is gone and nothing retained restates it", "Raise the log's retention; start from a node that still runs.";
    CaughtUp = 205, Info, "the node has caught up with the log", "Nothing.";
    RecordPassedOver = 206, Warn, "a record was passed over: its seal or content does not fit", "Compare cluster_key and operators in the settings of all nodes.";
    Diverged = 207, Error, "a checkpoint names another history than this node's: a broken invariant", "The node stops serving. Compare the operators' keys in the settings of all nodes, and report it as a bug.";
    FactRejected = 208, Debug, "a fact of this node came late and does not count", "Nothing.";
    CheckpointWritten = 209, Debug, "this node wrote a checkpoint", "Nothing.";
    FromPeers = 210, Info, "records come from a peer while the log is away", "Nothing.";
    BundleInForce = 301, Info, "a bundle is in force", "Nothing.";
    TeamsOpen = 302, Warn, "the bundle lists a team without keys: its name in the header is believed", "Give the team key hashes unless the network is closed.";
    GroupFormed = 401, Info, "a group was formed", "Nothing.";
    GroupDraining = 402, Info, "a group takes no new work", "Nothing.";
    GroupDissolved = 403, Warn, "a group has ended", "Nothing; see `workshold explain` for why.";
    GroupServes = 404, Info, "a group serves", "Nothing.";
    GroupClosed = 405, Warn, "a group gets no new work", "Read the reason; the steward of its domain acts on it.";
    Decided = 406, Info, "the steward decided about a group", "Nothing.";
    OrderFailed = 407, Debug, "an order got no good answer; reports will show what became of it", "Nothing.";
    StopRequested = 408, Info, "an operator wants an instance out of service", "Nothing.";
    PeerLost = 501, Warn, "a node does not answer", "Check the node and the network.";
    PeerBack = 502, Info, "a node answers", "Nothing.";
    BadSeal = 503, Warn, "a message between nodes was dropped: its seal does not fit", "Compare cluster_key in the settings of all nodes.";
    PeerSocketLost = 505, Warn, "the socket for other nodes broke and is opened anew", "Nothing; report it as a bug if it happens often.";
    ListUnreachable = 504, Warn, "the instance list does not answer", "The last list read stays in use; check the service.";
    RequestFailed = 601, Debug, "a request ended without an answer", "Nothing; the caller was told.";
    AttemptFailed = 602, Debug, "an attempt failed; another one follows", "Nothing.";
    CallerGone = 603, Debug, "a caller went away or stopped reading; its stream was cancelled", "Nothing.";
}

/// Returns the text of `docs/EVENTS.md`.
pub fn reference_page() -> String {
    page("Events", rows())
}
