//! Where everything listens in one development deployment.

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;

/// Ports kept for the platform before those of the engines.
const ENGINE_PORT_OFFSET: u16 = 10;
/// Ports from the engines to the plain services.
const SERVICE_PORT_OFFSET: u16 = 200;
/// Ports from the engines to the entry nodes.
const ENTRY_PORT_OFFSET: u16 = 220;
/// Ports that each entry node takes.
const PORTS_PER_ENTRY: u16 = 3;
/// Ports that a whole deployment takes.
pub const PORTS: u16 = 300;

/// The size and place of one development deployment, all on loopback.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Layout {
    /// The first of its ports.
    pub base_port: u16,
    /// Entry nodes that are to be listed.
    pub entries: u16,
    /// Engines.
    pub engines: u16,
    /// Engines in one fabric domain.
    pub engines_per_domain: u16,
    /// Data centres; domains and entry nodes go round them.
    pub data_centres: u16,
    /// Instances of the plain service.
    pub services: u16,
    /// Every how many engines one ignores fencing numbers; 0 for none.
    pub unfenced_every: u16,
    /// Time of one step of an engine.
    pub step: Millis,
    /// Requests that a group works on at once.
    pub slots: u32,
    /// What one engine reads from the weight store in a second, in MiB.
    pub load_mib_per_s: u32,
    /// What the weight store gives in a second to all, in MiB.
    pub store_mib_per_s: u32,
    /// Appends a second that the log takes.
    pub appends_per_s: u32,
    /// Seed of all chance.
    pub seed: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            base_port: 17_400,
            entries: 3,
            engines: 10,
            engines_per_domain: 5,
            data_centres: 1,
            services: 2,
            unfenced_every: 4,
            step: Millis(5),
            slots: 16,
            load_mib_per_s: 2_048,
            store_mib_per_s: 8_192,
            appends_per_s: 300,
            seed: 1,
        }
    }
}

/// The plain service that stands beside the engines.
pub const SERVICE: &str = "gate";

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

impl Layout {
    /// Where the log service listens.
    pub fn log(&self) -> String {
        address(self.base_port)
    }

    /// Where the instance list is.
    pub fn list(&self) -> String {
        address(self.base_port + 1)
    }

    /// Where faults are switched on, and what was seen is read.
    pub fn control(&self) -> String {
        address(self.base_port + 2)
    }

    /// Where an engine listens.
    pub fn engine(&self, i: u16) -> String {
        address(self.base_port + ENGINE_PORT_OFFSET + i)
    }

    /// Where an instance of the plain service listens.
    pub fn service(&self, i: u16) -> String {
        address(self.base_port + SERVICE_PORT_OFFSET + i)
    }

    /// Where an entry node listens for callers.
    pub fn callers(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i)
    }

    /// Where an entry node listens for other nodes.
    pub fn peers(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i + 1)
    }

    /// Where an entry node listens for operators.
    pub fn operators(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i + 2)
    }

    /// The data centre of an entry node.
    pub fn entry_data_centre(&self, i: u16) -> DataCentre {
        self.data_centre(i)
    }

    /// The name of an engine.
    pub fn engine_id(&self, i: u16) -> InstanceId {
        InstanceId::new(&format!("engine-{i}")).expect("a dash and digits make a name")
    }

    /// The fabric domain of an engine.
    pub fn engine_domain(&self, i: u16) -> FabricDomain {
        let domain = i / self.engines_per_domain.max(1);
        FabricDomain::new(&format!("fabric-{domain}")).expect("a dash and digits make a name")
    }

    /// Whether an engine refuses old fencing numbers.
    pub fn is_fenced(&self, i: u16) -> bool {
        self.unfenced_every == 0 || i % self.unfenced_every != self.unfenced_every - 1
    }

    /// The instance list at the start.
    pub fn instances(&self) -> Vec<ListedInstance> {
        let engines = (0..self.engines).map(|i| self.listed_engine(i));
        let services = (0..self.services).map(|i| self.listed_service(i));
        let entries = (0..self.entries).map(|i| self.listed_entry(i));
        engines.chain(services).chain(entries).collect()
    }

    fn data_centre(&self, i: u16) -> DataCentre {
        let nth = i % self.data_centres.max(1);
        DataCentre::new(&format!("dc-{nth}")).expect("a dash and digits make a name")
    }

    fn listed_engine(&self, i: u16) -> ListedInstance {
        ListedInstance {
            instance: self.engine_id(i),
            address: self.engine(i),
            data_centre: self.data_centre(i / self.engines_per_domain.max(1)),
            kind: InstanceKind::Engine {
                domain: self.engine_domain(i),
                accelerators: 8,
                fenced: self.is_fenced(i),
            },
            leaving: false,
        }
    }

    fn listed_service(&self, i: u16) -> ListedInstance {
        let service = ServiceName::new(SERVICE).expect("it is a name");
        ListedInstance {
            instance: InstanceId::new(&format!("{SERVICE}-{i}")).expect("it is a name"),
            address: self.service(i),
            data_centre: self.data_centre(i),
            kind: InstanceKind::Service { service },
            leaving: false,
        }
    }

    fn listed_entry(&self, i: u16) -> ListedInstance {
        ListedInstance {
            instance: InstanceId::new(&format!("entry-{i}")).expect("it is a name"),
            address: self.peers(i),
            data_centre: self.entry_data_centre(i),
            kind: InstanceKind::Entry { callers: self.callers(i) },
            leaving: false,
        }
    }
}
