//! Sizes, names and ports of a development deployment.

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;

/// Offset of the engines' ports from the base port; those below are for the platform's services.
const ENGINE_PORT_OFFSET: u16 = 10;
/// Offset of the plain services' ports from the base port.
const SERVICE_PORT_OFFSET: u16 = 200;
/// Offset of the entry nodes' ports from the base port.
const ENTRY_PORT_OFFSET: u16 = 220;
/// Ports of each entry node: callers, peers and operators.
const PORTS_PER_ENTRY: u16 = 3;
/// Number of ports to reserve for one deployment.
pub const PORTS: u16 = 300;

/// Sizes and ports of one development deployment, all on loopback.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Layout {
    /// First port of the deployment.
    pub base_port: u16,
    /// Number of entry nodes in the instance list.
    pub entries: u16,
    /// Number of engines.
    pub engines: u16,
    /// Number of engines per fabric domain.
    pub engines_per_domain: u16,
    /// Number of data centres; domains, services and entry nodes are assigned to them in turn.
    pub data_centres: u16,
    /// Number of instances of the plain service.
    pub services: u16,
    /// One engine in this many ignores fencing tokens; 0 for none.
    pub unfenced_every: u16,
    /// Duration of one step of an engine.
    pub step: Millis,
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// Maximum rate at which one engine reads from the weight store, in MiB per second.
    pub load_mib_per_s: u32,
    /// Total bandwidth of the weight store, in MiB per second.
    pub store_mib_per_s: u32,
    /// Rate limit of the log, in appends per second.
    pub appends_per_s: u32,
    /// Seed for random numbers.
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

/// Name of the plain service.
pub const SERVICE: &str = "gate";

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

impl Layout {
    /// Address of the log service.
    pub fn log(&self) -> String {
        address(self.base_port)
    }

    /// Address of the instance list.
    pub fn list(&self) -> String {
        address(self.base_port + 1)
    }

    /// Address at which faults are injected and counters are read.
    pub fn control(&self) -> String {
        address(self.base_port + 2)
    }

    /// Address of engine `i`.
    pub fn engine(&self, i: u16) -> String {
        address(self.base_port + ENGINE_PORT_OFFSET + i)
    }

    /// Address of instance `i` of the plain service.
    pub fn service(&self, i: u16) -> String {
        address(self.base_port + SERVICE_PORT_OFFSET + i)
    }

    /// Address at which entry node `i` serves callers.
    pub fn callers(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i)
    }

    /// Address at which entry node `i` serves other nodes.
    pub fn peers(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i + 1)
    }

    /// Address at which entry node `i` serves operators.
    pub fn operators(&self, i: u16) -> String {
        address(self.base_port + ENTRY_PORT_OFFSET + PORTS_PER_ENTRY * i + 2)
    }

    /// Data centre of entry node `i`.
    pub fn entry_data_centre(&self, i: u16) -> DataCentre {
        self.data_centre(i)
    }

    /// Id of engine `i`.
    pub fn engine_id(&self, i: u16) -> InstanceId {
        InstanceId::new(&format!("engine-{i}")).expect("a dash and digits make a name")
    }

    /// Fabric domain of engine `i`.
    pub fn engine_domain(&self, i: u16) -> FabricDomain {
        let domain = i / self.engines_per_domain.max(1);
        FabricDomain::new(&format!("fabric-{domain}")).expect("a dash and digits make a name")
    }

    /// Whether engine `i` refuses orders with an old fencing token.
    pub fn is_fenced(&self, i: u16) -> bool {
        self.unfenced_every == 0 || i % self.unfenced_every != self.unfenced_every - 1
    }

    /// Initial contents of the instance list.
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
