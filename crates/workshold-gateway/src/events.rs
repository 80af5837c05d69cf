//! Numbered events of a node on the platform.
//!
//! `docs/EVENTS-PLATFORM.md` is generated from this list; a test checks that it is up to date.

use workshold_telemetry::events::reference_page as page;

workshold_telemetry::events! {
    Started = 1001, Info, "the node has started", "Nothing.";
    Ready = 1002, Info, "the node serves callers", "Nothing.";
    NotReady = 1003, Warn, "the node does not serve callers", "Read the reason; the node recovers by itself once the store or a peer answers.";
    Leaving = 1004, Info, "a planned stop has begun", "Nothing.";
    Stopped = 1005, Info, "the node has stopped", "Nothing.";
    SettingsTaken = 1006, Info, "changed settings are in force", "Nothing.";
    SettingsRefused = 1007, Error, "changed settings are not valid; the old ones stay in force", "Fix the file; the event names the error.";
    TaskEnded = 1008, Error, "a background task has ended unexpectedly; the node finishes its requests and ends", "Report it as a bug, with the reason and what the node printed before.";
    StoreLost = 1101, Warn, "the store does not answer", "Serving continues. Check the store, unless later_questions were answered: then only this request was lost.";
    StoreBack = 1102, Info, "the store answers again", "Nothing.";
    ConfigTaken = 1103, Info, "a configuration is in force", "Nothing.";
    ConfigUnreadable = 1104, Error, "a configuration cannot be read and is passed over", "The old one stays in force; fix the new one.";
    EntryUnreadable = 1105, Warn, "an instance's entry cannot be read and is passed over", "Check the version of the instance.";
    ConfigFromPeer = 1106, Info, "a configuration came from another node", "Nothing; this node cannot reach the store.";
    StoreReturned = 1107, Warn, "the store has come back from a copy: what it acknowledged last is gone", "Repeat what you wrote in the last seconds; groups are repaired after a few seconds.";
    ReadingLate = 1108, Warn, "the store's answer is late; it is asked again beside the question that is on its way", "Nothing; if it happens often, check the network path to the store.";
    ListFetched = 1109, Info, "list records were requested from another node", "Nothing, unless outcome is a failure; then check the network between the nodes.";
    ListReadAgain = 1110, Info, "the store has answered a read of the list after a failure", "Nothing; asked is how long ago the answered question was sent.";
    EvacuationsChanged = 1111, Info, "other data centres than before are evacuated", "Nothing; evacuated names all whose instances get no requests now.";
    LeaseTaken = 1201, Info, "this node stewards other parts than before", "Nothing.";
    LeaseLost = 1202, Warn, "this node's right to give orders has ended", "Nothing; another node holds the lease.";
    Ordered = 1203, Info, "an instance was given an order", "Nothing.";
    DomainSeen = 1204, Info, "what a steward sees in a domain", "Compare groups, the count by model, with least, the fewest that keep up with demand; intends lists the planned changes.";
    InstanceInDoubt = 1301, Warn, "an instance cannot be reached", "Nothing; its groups get no new requests.";
    InstanceBack = 1302, Info, "an instance in doubt answers", "Nothing.";
    InstanceBeganAnew = 1303, Warn, "an instance has begun anew at its id", "Requests of its earlier incarnation continue elsewhere. Find out why it ended.";
    InstanceLimited = 1304, Info, "an instance says how many requests a second it takes", "Find out which resource it lacks; limit is empty once it names none.";
    InstanceRests = 1305, Info, "an instance has refused a request and wants none of this node for a while", "Find out which resource it lacks; rest_ms is for how long it wants no requests.";
    InstanceLeaves = 1306, Info, "an instance says in its answers that it leaves", "Nothing; it finishes its requests, and others replace it.";
    EarlierIncarnationAccepted = 1307, Warn, "an entry of an earlier incarnation is accepted, since none has replaced it", "Check the clock of the instance's machine; if the store failed within waited_ms, report it as a bug.";
    InstanceWithdrawn = 1308, Info, "an instance's entry says that it leaves, or is gone", "Nothing; asked is how long ago the question was sent that brought this.";
    InstanceCold = 1309, Info, "an instance is cold and gets few requests for a while", "Nothing; left_ms is for how long.";
    PathsLost = 1310, Warn, "peers reach instances that this node cannot reach", "Check the network between this node and the instances; lost counts those that only peers reach, of all that are listed.";
    PathLost = 1312, Info, "a peer reaches an instance that this node cannot reach", "Nothing; connections to it go through peers until W1311 or its path is back.";
    PathsBack = 1311, Info, "this node reaches all instances again that peers reach", "Nothing.";
    RequestEnded = 1401, Info, "a request was answered", "Nothing.";
    RequestNotRun = 1402, Warn, "a request was refused and has not run", "Read the reason; the caller was told when to retry.";
    RequestUnknown = 1403, Warn, "a request ended and nobody knows whether it ran", "Read the reason and the attempts.";
    AttemptFailed = 1404, Warn, "an attempt failed", "Read the reason; next says what follows.";
    StreamMoved = 1405, Warn, "a stream goes on at another instance", "Nothing.";
    StreamCut = 1406, Warn, "a stream was cut before its end", "Read the reason; the caller may resume it.";
    CallerGone = 1407, Info, "a caller left before the answer was complete", "Nothing; the upstream was told.";
    AttemptInDoubt = 1408, Warn, "an attempt is in doubt; another one begins beside it if there is a place and budget", "Nothing; in_doubt names the member that cannot be reached, lacks what another attempt would need.";
    AttemptNotNeeded = 1409, Info, "an attempt was ended because another one spoke first", "Nothing.";
    RepeatRefused = 1410, Warn, "a request is not repeated: its upstream's budget is used up", "Find out why its attempts fail; requests, repeats and allowed count this node's in the last window, nodes is how many share the slack.";
    RequestHeld = 1411, Error, "requests with this content or prompt part are kept from all instances: whoever began to run one has ended", "Find the caller and the cause by the failed attempts with this fingerprint, or the part by the refusals (W1402) that name it as held; DELETE /quarantine/FINGERPRINT releases it.";
    RequestReleased = 1412, Info, "requests with this content or prompt part were let go by an operator", "Nothing.";
    QuarantineNotKept = 1413, Warn, "what is known of held requests cannot be read from or written to the store", "Serving continues by what other nodes report; check the store.";
    RequestSuspected = 1414, Warn, "one more end of an instance quarantines requests with this content or prompt part", "Find the caller and the cause by the failed attempts with this fingerprint; source says who noticed the last end, peers how many nodes were heard then, age_ms how long ago it was.";
    SlowCallerEnded = 1415, Warn, "a caller was disconnected because it did not read its answer", "Read the reason; if it happens often, check the network path to the callers, or limits.memory_mb.";
    BodyNotTaken = 1416, Warn, "an attempt ends because its instance did not take the request's body", "Read the reason, and check the instance.";
    UnframedEnd = 1417, Info, "a response without a length or chunks has ended with its connection", "Nothing if believed is complete; otherwise read evidence, which came evidence_ms after the end, and W1404.";
}

/// The text of `docs/EVENTS-PLATFORM.md`: the events as a Markdown table.
pub fn reference_page() -> String {
    page("Events of a node on the platform", rows())
}
