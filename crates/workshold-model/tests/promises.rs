//! No reachable state of the worlds with small bounds breaks a promise.

use workshold_model::suite::Search;
use workshold_model::suite::Size;

#[test]
fn every_promise_holds_in_every_reachable_state() {
    let searches = Search::all(Size::Small);
    let broken: Vec<_> = searches
        .into_iter()
        .map(|(name, search)| (name, search.run(None)))
        .filter(|(_, verdict)| verdict.breach.is_some())
        .collect();
    assert_eq!(broken, Vec::new());
}
