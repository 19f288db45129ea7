//! TLS configuration built from key files.

use crate::{KeyError, KeyFiles};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use std::{path::Path, sync::Arc};
use types::HostName;

/// ALPN protocol name, which both ends of a link must offer.
const LINK_PROTOCOL: &[u8] = b"hawthornhill/1";

/// The loaded keys and certificates of a process or an operator.
#[derive(Debug)]
pub struct TlsMaterial {
    host_authority: Arc<RootCertStore>,
    operator_authority: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl TlsMaterial {
    /// Loads the files of a key folder.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or contains no usable key or certificate.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let files = KeyFiles::in_folder(folder);
        Ok(Self {
            host_authority: load_authority(&files.host_authority)?,
            operator_authority: load_authority(&files.operator_authority)?,
            chain: load_certificates(&files.certificate)?,
            key: PrivateKeyDer::from_pem_file(&files.private_key)
                .map_err(|error| content_error(&files.private_key, &error.to_string()))?,
        })
    }

    /// Returns the server configuration of links, which accepts clients of the host authority.
    pub(crate) fn link_server_config(&self) -> Result<ServerConfig, KeyError> {
        let mut config = self.server_config(self.host_authority.clone())?;
        config.alpn_protocols = vec![LINK_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Returns the client configuration of links.
    pub(crate) fn link_client_config(&self) -> Result<ClientConfig, KeyError> {
        let mut config = self.client_config()?;
        config.alpn_protocols = vec![LINK_PROTOCOL.to_vec()];
        Ok(config)
    }

    fn server_config(&self, clients: Arc<RootCertStore>) -> Result<ServerConfig, KeyError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(clients, provider.clone())
            .build()
            .map_err(|error| config_error(&error))?;
        ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .and_then(|builder| {
                builder
                    .with_client_cert_verifier(verifier)
                    .with_single_cert(self.chain.clone(), self.key.clone_key())
            })
            .map_err(|error| config_error(&error))
    }

    fn client_config(&self) -> Result<ClientConfig, KeyError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .and_then(|builder| {
                builder
                    .with_root_certificates(self.host_authority.clone())
                    .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            })
            .map_err(|error| config_error(&error))
    }
}

/// Returns the server configuration for operators' connections, which accepts clients of the
/// operator authority.
pub fn operator_server_config(material: &TlsMaterial) -> Result<ServerConfig, KeyError> {
    material.server_config(material.operator_authority.clone())
}

/// Returns the client configuration with which an operator's tool connects to a process.
pub fn operator_client_config(folder: &Path) -> Result<ClientConfig, KeyError> {
    TlsMaterial::load(folder)?.client_config()
}

/// Returns the host name from a verified certificate.
pub(crate) fn certified_host(chain: &[CertificateDer<'_>]) -> Option<HostName> {
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let name = certificate.valid_dns_names().next()?;
    name.parse().ok()
}

fn load_authority(path: &Path) -> Result<Arc<RootCertStore>, KeyError> {
    let mut store = RootCertStore::empty();
    for certificate in load_certificates(path)? {
        store.add(certificate).map_err(|error| content_error(path, &error.to_string()))?;
    }
    Ok(Arc::new(store))
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let certificates: Vec<_> = found.map_err(|error| content_error(path, &error.to_string()))?;
    if certificates.is_empty() {
        return Err(content_error(path, "the file contains no certificate"));
    }
    Ok(certificates)
}

fn content_error(path: &Path, reason: &str) -> KeyError {
    KeyError::Content { path: path.to_owned(), reason: reason.to_owned() }
}

fn config_error(error: &dyn std::error::Error) -> KeyError {
    content_error(Path::new("certificate.pem"), &error.to_string())
}
