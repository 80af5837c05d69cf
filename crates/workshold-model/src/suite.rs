//! The searches that the tests and `scripts/check-model` run.

use workshold_core::lifecycle::Repeatability;

use crate::bundles;
use crate::bundles::BundleWorld;
use crate::checker::Verdict;
use crate::checker::check;
use crate::groups;
use crate::groups::Arrival;
use crate::groups::GroupWorld;
use crate::groups::Scenario;
use crate::mutation::Mutation;
use crate::once;
use crate::once::OnceWorld;
use crate::streams::StreamWorld;

/// How far the searches go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Within two minutes on a small machine.
    Small,
    /// For `scripts/check-model`.
    Large,
}

/// One search: a world with its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Search {
    /// A streamed answer.
    Streams(Repeatability),
    /// An idempotency key.
    Once(once::Bounds),
    /// Bundles.
    Bundles(bundles::Bounds),
    /// Groups.
    Groups(Scenario, groups::Bounds),
}

/// More states than any of the searches has.
const MAX_STATES: usize = 20_000_000;

const fn group_bounds(ticks: u64) -> groups::Bounds {
    groups::Bounds {
        ticks,
        losses: 1,
        holds: 0,
        lost_replies: 0,
        sends: 0,
        orders: Arrival::AtOnce,
    }
}

impl Search {
    /// All searches of a size, each with a name.
    pub fn all(size: Size) -> Vec<(&'static str, Self)> {
        let more = u64::from(size == Size::Large);
        let few = more as u8;
        let once = once::Bounds { crashes: 1, lost_replies: 1, asks: 3 + few };
        let bundles = bundles::Bounds { crashes: 1 + few, ..bundles::Bounds::default() };
        let checkpoints = bundles::Bounds { ticks: 1, checkpoints: 1, ..bundles };
        let base = group_bounds(7 + 2 * more);
        let held = groups::Bounds { ticks: 4 + 2 * more, holds: 1, ..base };
        let copies = groups::Bounds { orders: Arrival::AtOnceAndLate, ..base };
        let late = groups::Bounds { orders: Arrival::Late, ..base };
        let lost = groups::Bounds { lost_replies: 1, ..base };
        let sends = groups::Bounds { sends: 1 + few, ticks: 6 + more, ..base };
        vec![
            ("streams, repeatable", Self::Streams(Repeatability::Repeatable)),
            ("streams, at most once", Self::Streams(Repeatability::AtMostOnce)),
            ("one idempotency key", Self::Once(once)),
            ("bundles", Self::Bundles(bundles)),
            ("bundles, with a checkpoint", Self::Bundles(checkpoints)),
            ("groups, a member lost or hidden", Self::Groups(Scenario::Loss, base)),
            ("groups, answers under way", Self::Groups(Scenario::Loss, held)),
            ("groups, seen from elsewhere", Self::Groups(Scenario::Elsewhere, held)),
            ("groups, orders copied late", Self::Groups(Scenario::Loss, copies)),
            ("groups, orders late", Self::Groups(Scenario::Loss, late)),
            ("groups, appends made twice", Self::Groups(Scenario::Loss, lost)),
            ("groups, a planned stop", Self::Groups(Scenario::Stop, sends)),
            ("groups, an instance leaving", Self::Groups(Scenario::Leave, sends)),
        ]
    }

    /// The small search that finds what a mutation breaks.
    pub fn for_mutation(mutation: Mutation) -> Self {
        let base = group_bounds(5);
        let loss = |bounds| Self::Groups(Scenario::Loss, bounds);
        match mutation {
            Mutation::BelieveOldReports
            | Mutation::IgnoreIncarnation
            | Mutation::GoByTheLogAlone
            | Mutation::SkipReleaseWait => loss(base),
            Mutation::CountFromArrival => loss(groups::Bounds { holds: 1, ..base }),
            Mutation::CountVouchersFromArrival => {
                Self::Groups(Scenario::Elsewhere, groups::Bounds { holds: 1, ..base })
            }
            Mutation::TrustReplies => {
                loss(groups::Bounds { ticks: 8, orders: Arrival::Late, ..base })
            }
            Mutation::IgnoreFencing => {
                loss(groups::Bounds { ticks: 7, orders: Arrival::AtOnceAndLate, ..base })
            }
            Mutation::MergeAttempts | Mutation::TakeAnyEndForWhole | Mutation::CallBrokenNotRun => {
                Self::Streams(Repeatability::Repeatable)
            }
            Mutation::RetryBroken => Self::Streams(Repeatability::AtMostOnce),
            Mutation::RunAfterGivingUp
            | Mutation::RunBeforeRecord
            | Mutation::RunForFormerLife
            | Mutation::ForgetWithoutFloor => Self::Once(once::Bounds::default()),
            Mutation::IgnoreLeaving => {
                Self::Groups(Scenario::Leave, groups::Bounds { sends: 1, ..base })
            }
            Mutation::DissolveWithoutDrain | Mutation::EndWhileBusy => {
                Self::Groups(Scenario::Stop, groups::Bounds { sends: 1, ..base })
            }
            Mutation::AcceptAnyParent
            | Mutation::TakeSilenceForEmpty
            | Mutation::ServeWhileIsolated => Self::Bundles(bundles::Bounds::default()),
        }
    }

    /// Runs the search, with a rule broken if one is named.
    pub fn run(self, mutation: Option<Mutation>) -> Verdict {
        match self {
            Self::Streams(repeatability) => {
                check(&StreamWorld::new(repeatability, mutation), MAX_STATES)
            }
            Self::Once(bounds) => check(&OnceWorld::new(bounds, mutation), MAX_STATES),
            Self::Bundles(bounds) => check(&BundleWorld::new(bounds, mutation), MAX_STATES),
            Self::Groups(scenario, bounds) => {
                check(&GroupWorld::new(scenario, bounds, mutation), MAX_STATES)
            }
        }
    }
}
