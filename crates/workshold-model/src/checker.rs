//! Breadth-first search over all reachable states.

use std::fmt::Debug;
use std::hash::Hash;
use std::hash::Hasher;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// What must always hold, in the order of the users' list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No replica group serves while any of its members is missing.
    WholeGroups,
    /// No instance belongs to two groups at once.
    OneGroupEach,
    /// A caller gets the whole answer to its own request and nobody else's.
    OwnWholeAnswer,
    /// What was told "not run" was not run.
    NotRunMeansNotRun,
    /// What must not be repeated runs at most once.
    AtMostOnce,
    /// An upstream that is leaving gets no new work after a few seconds.
    LeavingGetsNothing,
    /// A planned stop cuts off no request in flight.
    StopCutsNothing,
    /// A signed-off bundle is in force everywhere within seconds and never reverts.
    BundlesOnlyForward,
}

/// A small deployment whose parts may act in any order.
pub trait World: Clone + Eq + Hash {
    /// One move of one part.
    type Move: Clone + Debug;

    /// All moves that are possible, each with the state it leads to.
    fn moves(&self) -> Vec<(Self::Move, Self)>;

    /// The promise that does not hold in this state, if one does not.
    fn breach(&self) -> Option<Promise>;
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// States that were reached.
    pub states: usize,
    /// Moves from the start to the farthest of them.
    pub depth: usize,
    /// The breach and the shortest way to it, if there is one.
    pub breach: Option<Breach>,
}

/// A promise that does not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// The shortest way to a state where it does not.
    pub trace: Vec<String>,
}

/// A state and how many moves it is from the start; two are equal by state.
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

/// Searches all states that can be reached from `start`, up to `max_states`.
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
    let breach = promise.map(|promise| Breach { promise, trace: shortest_trace(start, promise) });
    Verdict { states, depth, breach }
}

fn shortest_trace<W: World>(start: &W, promise: Promise) -> Vec<String> {
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
