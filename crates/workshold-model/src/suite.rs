//! The searches that the tests and `scripts/check-model` run, with their bounds.

use workshold_core::lifecycle::Repeatability;

use crate::bundles;
use crate::bundles::BundleWorld;
use crate::checker::Verdict;
use crate::checker::check;
use crate::groups;
use crate::groups::GroupWorld;
use crate::groups::OrderArrival;
use crate::groups::Scenario;
use crate::idempotency;
use crate::idempotency::IdempotencyWorld;
use crate::mutation::Mutation;
use crate::streams::StreamWorld;

/// How far the searches go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Bounds for the tests: all searches finish within two minutes on a small machine.
    Small,
    /// Larger bounds, used by `scripts/check-model`.
    Large,
}

/// One search: the world to explore and its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Search {
    /// One streamed answer ([`StreamWorld`]).
    Streams(Repeatability),
    /// One idempotency key ([`IdempotencyWorld`]).
    Idempotency(idempotency::Bounds),
    /// Publishing and signing off bundles ([`BundleWorld`]).
    Bundles(bundles::Bounds),
    /// Forming, serving and ending replica groups ([`GroupWorld`]).
    Groups(Scenario, groups::Bounds),
}

/// Limit on visited states; no search reaches it.
const MAX_STATES: usize = 20_000_000;

const fn group_bounds(ticks: u64) -> groups::Bounds {
    groups::Bounds {
        ticks,
        losses: 1,
        delayed_answers: 0,
        lost_replies: 0,
        requests: 0,
        order_arrival: OrderArrival::Immediate,
    }
}

impl Search {
    /// All searches of a size, each with the name that the program prints.
    pub fn all(size: Size) -> Vec<(&'static str, Self)> {
        let extra = u64::from(size == Size::Large);
        let extra_u8 = extra as u8;
        let idempotency =
            idempotency::Bounds { crashes: 1, lost_replies: 1, requests: 3 + extra_u8 };
        let bundles = bundles::Bounds { crashes: 1 + extra_u8, ..bundles::Bounds::default() };
        let checkpoints = bundles::Bounds { ticks: 1, checkpoints: 1, ..bundles };
        let base = group_bounds(7 + 2 * extra);
        let delayed = groups::Bounds { ticks: 4 + 2 * extra, delayed_answers: 1, ..base };
        let duplicated = groups::Bounds { order_arrival: OrderArrival::ImmediateAndLate, ..base };
        let late_orders = groups::Bounds { order_arrival: OrderArrival::Late, ..base };
        let retried = groups::Bounds { lost_replies: 1, ..base };
        let requests = groups::Bounds { requests: 1 + extra_u8, ticks: 6 + extra, ..base };
        vec![
            ("streams, repeatable", Self::Streams(Repeatability::Repeatable)),
            ("streams, at most once", Self::Streams(Repeatability::AtMostOnce)),
            ("one idempotency key", Self::Idempotency(idempotency)),
            ("bundles", Self::Bundles(bundles)),
            ("bundles, with a checkpoint", Self::Bundles(checkpoints)),
            ("groups, a member lost or hidden", Self::Groups(Scenario::Loss, base)),
            ("groups, answers under way", Self::Groups(Scenario::Loss, delayed)),
            ("groups, seen from elsewhere", Self::Groups(Scenario::RemoteNode, delayed)),
            ("groups, orders copied late", Self::Groups(Scenario::Loss, duplicated)),
            ("groups, orders late", Self::Groups(Scenario::Loss, late_orders)),
            ("groups, appends made twice", Self::Groups(Scenario::Loss, retried)),
            ("groups, a planned stop", Self::Groups(Scenario::Stop, requests)),
            ("groups, an instance leaving", Self::Groups(Scenario::Leave, requests)),
        ]
    }

    /// A small search that finds the promise broken by `mutation`.
    pub fn for_mutation(mutation: Mutation) -> Self {
        let base = group_bounds(5);
        let loss = |bounds| Self::Groups(Scenario::Loss, bounds);
        match mutation {
            Mutation::BelieveOldReports
            | Mutation::IgnoreIncarnation
            | Mutation::GoByTheLogAlone
            | Mutation::SkipReleaseWait => loss(base),
            Mutation::CountFromArrival => loss(groups::Bounds { delayed_answers: 1, ..base }),
            Mutation::CountVouchersFromArrival => {
                Self::Groups(Scenario::RemoteNode, groups::Bounds { delayed_answers: 1, ..base })
            }
            Mutation::TrustReplies => {
                loss(groups::Bounds { ticks: 8, order_arrival: OrderArrival::Late, ..base })
            }
            Mutation::IgnoreFencing => loss(groups::Bounds {
                ticks: 7,
                order_arrival: OrderArrival::ImmediateAndLate,
                ..base
            }),
            Mutation::MergeAttempts | Mutation::TakeAnyEndForWhole | Mutation::CallBrokenNotRun => {
                Self::Streams(Repeatability::Repeatable)
            }
            Mutation::RetryBroken => Self::Streams(Repeatability::AtMostOnce),
            Mutation::RunAfterGivingUp
            | Mutation::RunBeforeRecord
            | Mutation::RunForFormerLife
            | Mutation::ForgetWithoutFloor => Self::Idempotency(idempotency::Bounds::default()),
            Mutation::IgnoreLeaving => {
                Self::Groups(Scenario::Leave, groups::Bounds { requests: 1, ..base })
            }
            Mutation::DissolveWithoutDrain | Mutation::EndWhileBusy => {
                Self::Groups(Scenario::Stop, groups::Bounds { requests: 1, ..base })
            }
            Mutation::AcceptAnyParent
            | Mutation::TakeSilenceForEmpty
            | Mutation::ServeWhileIsolated => Self::Bundles(bundles::Bounds::default()),
        }
    }

    /// Runs the search, with the rule of `mutation` broken if it is given.
    pub fn run(self, mutation: Option<Mutation>) -> Verdict {
        match self {
            Self::Streams(repeatability) => {
                check(&StreamWorld::new(repeatability, mutation), MAX_STATES)
            }
            Self::Idempotency(bounds) => {
                check(&IdempotencyWorld::new(bounds, mutation), MAX_STATES)
            }
            Self::Bundles(bounds) => check(&BundleWorld::new(bounds, mutation), MAX_STATES),
            Self::Groups(scenario, bounds) => {
                check(&GroupWorld::new(scenario, bounds, mutation), MAX_STATES)
            }
        }
    }
}
