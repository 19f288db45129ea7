//! What operators are shown.

use replica::ReplicaStatus;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{
    ClusterView, DocumentVersion, DomainName, EntryInfo, EntryName, HostName, ServerName,
    ServerStage, ServiceName, TeamDocument, ViewVersion,
};

/// One process at a glance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusPage {
    /// Host name.
    pub process: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Where other processes reach it.
    pub peer_address: SocketAddr,
    /// Bytes sent to other processes so far.
    pub sent_bytes: u64,
    /// Bytes received from other processes so far.
    pub received_bytes: u64,
    /// Its replica, if it has that role.
    pub replica: Option<ReplicaStatus>,
    /// Its entry, if it has that role.
    pub entry: Option<EntryPage>,
}

/// An entry at a glance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryPage {
    /// It takes new work.
    pub is_open: bool,
    /// Version of its view.
    pub view: ViewVersion,
    /// Its servers.
    pub servers: Vec<ServerRow>,
}

/// One server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerRow {
    /// Name.
    pub server: ServerName,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// How much work it may be given.
    pub stage: ServerStage,
    /// The entry that looks after it.
    pub owner: EntryName,
}

/// The configuration in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewPage {
    /// Version of the view.
    pub version: ViewVersion,
    /// All documents.
    pub documents: Vec<VersionedDocument>,
    /// All drains.
    pub drains: Vec<VersionedDrain>,
    /// All entries.
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

/// A drain with its version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedDrain {
    /// Failure domain.
    pub domain: DomainName,
    /// It is out of service.
    pub is_drained: bool,
    /// Version of the drain.
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
