//! `workshold events`: the catalogues of events and metrics.

use bpaf::Parser;
use serde::Serialize;
use workshold_node::events;
use workshold_node::metrics;

use crate::commands::Command;
use crate::output::Output;

/// Arguments of `events`.
#[derive(Debug, Clone)]
pub struct Args {}

/// Builds the parser for `events`.
pub fn parser() -> impl Parser<Command> {
    bpaf::construct!(Args {})
        .map(Command::Events)
        .to_options()
        .descr("Prints every event and metric of the nodes, with what to do about each.")
        .footer("Example: workshold events")
        .command("events")
        .help("Print the catalogue of events and metrics")
}

#[derive(Debug, Serialize)]
struct Catalogue {
    events: String,
    metrics: String,
}

/// Prints both catalogues as reference pages.
pub fn run(out: Output) {
    let reference_page =
        Catalogue { events: events::reference_page(), metrics: metrics::reference_page() };
    out.print_result(&reference_page, |c| vec![c.events.clone(), c.metrics.clone()]);
}
