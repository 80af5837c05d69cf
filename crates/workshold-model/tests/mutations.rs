//! The checker detects every mutation by the promise that it breaks.

use std::collections::BTreeSet;

use workshold_model::Mutation;
use workshold_model::Promise;
use workshold_model::suite::Search;

#[test]
fn every_mutation_is_detected_by_the_promise_it_breaks() {
    for mutation in Mutation::ALL {
        let verdict = Search::for_mutation(*mutation).run(Some(*mutation));
        let found = verdict.breach.as_ref().map(|breach| breach.promise);
        assert_eq!(found, Some(mutation.breaks()), "{mutation:?}: {verdict:?}");
    }
}

#[test]
fn every_promise_has_a_mutation() {
    let broken: BTreeSet<_> = Mutation::ALL.iter().map(|mutation| mutation.breaks()).collect();
    let all = BTreeSet::from([
        Promise::WholeGroups,
        Promise::OneGroupEach,
        Promise::OwnWholeAnswer,
        Promise::NotRunMeansNotRun,
        Promise::AtMostOnce,
        Promise::LeavingGetsNothing,
        Promise::StopCutsNothing,
        Promise::BundlesOnlyForward,
    ]);
    assert_eq!(broken, all);
}
