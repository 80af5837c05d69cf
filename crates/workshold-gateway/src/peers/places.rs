//! The order of nodes for one instance.

use workshold_core::hosted::probe_plan::Place;
use workshold_protocol::Millis;

use crate::peers::Peers;
use crate::peers::order_for_instance;
use crate::peers::rank;

impl Peers {
    /// The place of this node, named `name`, in the order of all nodes for an instance.
    pub fn place(&self, name: &str, instance: u32, now: Millis) -> Place {
        let own_order = order_for_instance(instance, rank(name, self.class));
        let orders =
            self.heard(now).map(|(_, peer)| order_for_instance(instance, peer.rank) < own_order);
        orders.fold(Place { rank: 0, nodes: 1 }, |place, is_before| Place {
            rank: place.rank + usize::from(is_before),
            nodes: place.nodes + 1,
        })
    }
}
