//! Pages of the operators' interface.

use replica::ReplicaStatus;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{
    ClusterView, DocumentVersion, DomainName, EntryInfo, EntryName, HostName, ServerName,
    ServerStage, ServiceName, TeamDocument, ViewVersion,
};

/// Status of one process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusPage {
    /// Host name.
    pub process: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other processes.
    pub peer_address: SocketAddr,
    /// Bytes sent to other processes since the start.
    pub sent_bytes: u64,
    /// Bytes received from other processes since the start.
    pub received_bytes: u64,
    /// Status of the replica, if the process has that role.
    pub replica: Option<ReplicaStatus>,
    /// Status of the entry, if the process has that role.
    pub entry: Option<EntryPage>,
}

/// Status of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryPage {
    /// The entry accepts requests.
    pub is_open: bool,
    /// Version of its view.
    pub view: ViewVersion,
    /// Servers that the entry knows.
    pub servers: Vec<ServerRow>,
}

/// One server as an entry knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerRow {
    /// Name.
    pub server: ServerName,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Stage, which limits the load that the server may receive.
    pub stage: ServerStage,
    /// Shard owner of the server; the only entry that sends it requests while it is cold.
    pub owner: EntryName,
}

/// The configuration in a view: documents, drains and registered entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewPage {
    /// Version of the view.
    pub version: ViewVersion,
    /// All documents.
    pub documents: Vec<VersionedDocument>,
    /// Drain states of domains, including domains that are back in service.
    pub drains: Vec<VersionedDrain>,
    /// All registered entries.
    pub entries: Vec<EntryInfo>,
}

/// A document with its version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The document.
    pub document: TeamDocument,
    /// Its version.
    pub version: DocumentVersion,
}

/// The drain state of a failure domain with its version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedDrain {
    /// Failure domain.
    pub domain: DomainName,
    /// The domain is out of service.
    pub is_drained: bool,
    /// Version of the drain state.
    pub version: DocumentVersion,
}

impl ViewPage {
    /// Returns the page of a view.
    pub fn new(view: &ClusterView) -> Self {
        let documents = view
            .documents()
            .map(|(document, version)| VersionedDocument { document: document.clone(), version })
            .collect();
        let drains = view
            .drains()
            .map(|(domain, is_drained, version)| VersionedDrain {
                domain: domain.clone(),
                is_drained,
                version,
            })
            .collect();
        let entries = view.entries().cloned().collect();
        Self { version: view.version, documents, drains, entries }
    }
}
