//! Deliberate faults in the protocol's rules, which verify that the checker detects them.

use crate::checker::Promise;

macro_rules! mutations {
    ($($(#[$doc:meta])* $name:ident breaks $promise:ident;)*) => {
        /// A rule of the protocol that is broken on purpose.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Mutation {
            $($(#[$doc])* $name,)*
        }

        impl Mutation {
            /// All mutations.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The promise that the checker must find broken.
            pub const fn breaks(self) -> Promise {
                match self { $(Self::$name => Promise::$promise,)* }
            }
        }
    };
}

mutations! {
    /// Reports never expire.
    BelieveOldReports breaks WholeGroups;
    /// The age of a report counts from when the answer arrived, not from when the probe was sent.
    CountFromArrival breaks WholeGroups;
    /// The age of a group observation from another data centre counts from when it arrived.
    CountVouchersFromArrival breaks WholeGroups;
    /// A restarted instance with a new incarnation counts as the group member it was before.
    IgnoreIncarnation breaks WholeGroups;
    /// The reply to an order counts as a report of the instance.
    TrustReplies breaks WholeGroups;
    /// A node sends work to a group that the log shows as active, without probing its members.
    GoByTheLogAlone breaks WholeGroups;
    /// A released instance may join another group at once, without the release wait.
    SkipReleaseWait breaks OneGroupEach;
    /// Instances execute orders with outdated fencing tokens.
    IgnoreFencing breaks OneGroupEach;
    /// Late events of a superseded attempt count as events of the current one.
    MergeAttempts breaks OwnWholeAnswer;
    /// An answer counts as complete when its stream ends, however many tokens arrived.
    TakeAnyEndForWhole breaks OwnWholeAnswer;
    /// A request whose connection broke after it was sent is reported as "not run".
    CallBrokenNotRun breaks NotRunMeansNotRun;
    /// A node runs a request after it reported "not run" to the caller.
    RunAfterGivingUp breaks NotRunMeansNotRun;
    /// A node runs a request before the log shows that it owns the idempotency key.
    RunBeforeRecord breaks AtMostOnce;
    /// A restarted node runs a request whose key its previous incarnation owns.
    RunForFormerLife breaks AtMostOnce;
    /// A request that must not be repeated is retried after its connection broke.
    RetryBroken breaks AtMostOnce;
    /// Expired keys are dropped, but requests with such keys are not refused afterwards.
    ForgetWithoutFloor breaks AtMostOnce;
    /// The leaving flag in the instance list is ignored.
    IgnoreLeaving breaks LeavingGetsNothing;
    /// A group is dissolved without being drained first.
    DissolveWithoutDrain breaks StopCutsNothing;
    /// A draining group is dissolved while its members still run requests.
    EndWhileBusy breaks StopCutsNothing;
    /// A sign-off is accepted whatever parent bundle it names.
    AcceptAnyParent breaks BundlesOnlyForward;
    /// A node that starts while the log is unreachable treats the log as empty.
    TakeSilenceForEmpty breaks BundlesOnlyForward;
    /// A node that is isolated from the log and all peers keeps serving.
    ServeWhileIsolated breaks BundlesOnlyForward;
}
