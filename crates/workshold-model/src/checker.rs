//! Breadth-first search over all reachable states.

use std::fmt::Debug;
use std::hash::Hash;
use std::hash::Hasher;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A safety property that every reachable state must have, in the order of the list given to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No replica group serves while any of its members is missing.
    WholeGroups,
    /// No instance belongs to two groups at once.
    OneGroupEach,
    /// A caller gets the whole answer to its own request and nobody else's.
    OwnWholeAnswer,
    /// A request that was reported as "not run" was not run.
    NotRunMeansNotRun,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// An upstream that is leaving gets no new work after a few seconds.
    LeavingGetsNothing,
    /// A planned stop cuts off no request in flight.
    StopCutsNothing,
    /// A signed-off bundle is in force everywhere within seconds and never reverts.
    BundlesOnlyForward,
}

/// One state of a small deployment whose parts may act in any order.
pub trait World: Clone + Eq + Hash {
    /// One atomic action of one part; its `Debug` text appears in printed traces.
    type Move: Clone + Debug;

    /// All moves that are possible in this state, each with the state it leads to.
    fn moves(&self) -> Vec<(Self::Move, Self)>;

    /// The promise that this state breaks; `None` if all hold.
    fn breach(&self) -> Option<Promise>;
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of moves from the start to the farthest visited state.
    pub depth: usize,
    /// The first broken promise; `None` if all hold in all visited states.
    pub breach: Option<Breach>,
}

/// A broken promise and how to reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise that is broken.
    pub promise: Promise,
    /// The moves of a shortest path to a state that breaks it.
    pub trace: Vec<String>,
}

/// A visited state and its distance from the start in moves. Equality and hash ignore the distance.
#[derive(Clone)]
struct Reached<W> {
    world: W,
    depth: usize,
}

impl<W: PartialEq> PartialEq for Reached<W> {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl<W: Eq> Eq for Reached<W> {}

impl<W: Hash> Hash for Reached<W> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.world.hash(hasher);
    }
}

/// Searches the states reachable from `start` breadth first, until the first broken promise or
/// `max_states` states.
pub fn check<W: World>(start: &W, max_states: usize) -> Verdict {
    let successors = |reached: &Reached<W>| {
        let depth = reached.depth + 1;
        let next = reached.world.moves().into_iter().map(|(_, next)| next);
        next.map(|world| Reached { world, depth }).collect::<Vec<_>>()
    };
    let (mut states, mut depth, mut promise) = (0, 0, None);
    let first = Reached { world: start.clone(), depth: 0 };
    for reached in bfs_reach(first, successors).take(max_states) {
        states += 1;
        depth = depth.max(reached.depth);
        promise = reached.world.breach();
        if promise.is_some() {
            break;
        }
    }
    let breach =
        promise.map(|promise| Breach { promise, trace: shortest_counterexample(start, promise) });
    Verdict { states, depth, breach }
}

/// Searches again to find the path, because `bfs_reach` yields states without their predecessors.
fn shortest_counterexample<W: World>(start: &W, promise: Promise) -> Vec<String> {
    let successors =
        |world: &W| world.moves().into_iter().map(|(_, next)| next).collect::<Vec<_>>();
    let path = bfs(start, successors, |world| world.breach() == Some(promise));
    let path = path.unwrap_or_default();
    let step = |pair: &[W]| {
        let moves = pair[0].moves();
        let made = moves.iter().find(|(_, next)| next == &pair[1]);
        made.map(|(made, _)| format!("{made:?}")).unwrap_or_default()
    };
    path.windows(2).map(step).collect()
}
