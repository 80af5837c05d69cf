//! Rules that can be broken on purpose, to see that the checker notices.

use crate::checker::Promise;

macro_rules! mutations {
    ($($(#[$doc:meta])* $name:ident breaks $promise:ident;)*) => {
        /// One rule, broken.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Mutation {
            $($(#[$doc])* $name,)*
        }

        impl Mutation {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The promise that breaks with the rule.
            pub const fn breaks(self) -> Promise {
                match self { $(Self::$name => Promise::$promise,)* }
            }
        }
    };
}

mutations! {
    /// Reports are believed however old they are.
    BelieveOldReports breaks WholeGroups;
    /// Freshness counts from when the answer came in, not from when it was asked for.
    CountFromArrival breaks WholeGroups;
    /// A voucher from elsewhere counts from when it came in.
    CountVouchersFromArrival breaks WholeGroups;
    /// An instance that came back as another life counts as the same.
    IgnoreIncarnation breaks WholeGroups;
    /// An order's reply counts as the instance's report.
    TrustReplies breaks WholeGroups;
    /// A node serves a group by the log alone, without asking its members.
    GoByTheLogAlone breaks WholeGroups;
    /// A released instance is free at once.
    SkipReleaseWait breaks OneGroupEach;
    /// Instances obey orders whatever their fencing number.
    IgnoreFencing breaks OneGroupEach;
    /// What a superseded attempt says late is taken for the current one's.
    MergeAttempts breaks OwnWholeAnswer;
    /// An answer counts as whole when the stream ends, however many tokens came.
    TakeAnyEndForWhole breaks OwnWholeAnswer;
    /// A request that broke off after it was sent is called "not run".
    CallBrokenNotRun breaks NotRunMeansNotRun;
    /// A node runs a request after it told its caller that it was not run.
    RunAfterGivingUp breaks NotRunMeansNotRun;
    /// A node runs a request before the log gave it the key.
    RunBeforeRecord breaks AtMostOnce;
    /// A node that came back runs what its former life had the key for.
    RunForFormerLife breaks AtMostOnce;
    /// A request that broke off is sent again though it must not be repeated.
    RetryBroken breaks AtMostOnce;
    /// Keys are forgotten without being refused from then on.
    ForgetWithoutFloor breaks AtMostOnce;
    /// The instance list's word that an instance is leaving is ignored.
    IgnoreLeaving breaks LeavingGetsNothing;
    /// A group that must go is ended without draining.
    DissolveWithoutDrain breaks StopCutsNothing;
    /// A draining group is ended while its members still work.
    EndWhileBusy breaks StopCutsNothing;
    /// A sign-off counts whatever it names as its parent.
    AcceptAnyParent breaks BundlesOnlyForward;
    /// A node that starts while the log is away takes that for an empty log.
    TakeSilenceForEmpty breaks BundlesOnlyForward;
    /// A node that is cut off from everybody goes on serving.
    ServeWhileIsolated breaks BundlesOnlyForward;
}
