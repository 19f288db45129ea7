//! Key files: a certificate authority for hosts, one for operators, and the keys and certificates
//! that they issue.

use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};
use std::{
    fs, io,
    path::{Path, PathBuf},
};
use thiserror::Error;
use time::{Duration, OffsetDateTime};

// File names in a key folder. The authorities' private keys exist only in the operators' folder.
const HOST_AUTHORITY: &str = "host-authority.pem";
const HOST_AUTHORITY_KEY: &str = "host-authority.key";
const OPERATOR_AUTHORITY: &str = "operator-authority.pem";
const OPERATOR_AUTHORITY_KEY: &str = "operator-authority.key";
const CERTIFICATE: &str = "certificate.pem";
const PRIVATE_KEY: &str = "private.key";

/// Validity of an authority's certificate in days.
const AUTHORITY_DAYS: i64 = 3650;

/// Errors of key files.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file contains no usable key or certificate.
    #[error("{path}: {reason}")]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// Description of the problem.
        reason: String,
    },
    /// A key or certificate could not be generated.
    #[error("cannot issue a certificate: {0}")]
    Issue(#[from] rcgen::Error),
}

/// Paths of the key files of a process or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate of the host authority.
    pub host_authority: PathBuf,
    /// Certificate of the operator authority.
    pub operator_authority: PathBuf,
    /// Certificate of the process or operator.
    pub certificate: PathBuf,
    /// Private key of the process or operator.
    pub private_key: PathBuf,
}

impl KeyFiles {
    /// Returns the paths of the files in a key folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            host_authority: folder.join(HOST_AUTHORITY),
            operator_authority: folder.join(OPERATOR_AUTHORITY),
            certificate: folder.join(CERTIFICATE),
            private_key: folder.join(PRIVATE_KEY),
        }
    }
}

/// Issues keys and certificates. The authorities' private keys stay in the operators' folder.
#[derive(Debug)]
pub struct KeyIssuer {
    folder: PathBuf,
}

impl KeyIssuer {
    /// Opens the operators' folder, and creates each of the two authorities if it is missing.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or a certificate cannot be generated.
    pub fn open(folder: &Path) -> Result<Self, KeyError> {
        create_folder(folder)?;
        let issuer = Self { folder: folder.to_owned() };
        issuer.ensure_authority(HOST_AUTHORITY, HOST_AUTHORITY_KEY, "hawthornhill hosts")?;
        issuer.ensure_authority(
            OPERATOR_AUTHORITY,
            OPERATOR_AUTHORITY_KEY,
            "hawthornhill operators",
        )?;
        Ok(issuer)
    }

    /// Writes the key folder of a host to `target`. The certificate expires after `days`.
    pub fn issue_host(&self, host: &str, days: i64, target: &Path) -> Result<(), KeyError> {
        let mut params = leaf_params(host, days)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        self.issue(params, HOST_AUTHORITY, HOST_AUTHORITY_KEY, target)
    }

    /// Writes the key folder of an operator to `target`. The certificate expires after `days`.
    pub fn issue_operator(&self, name: &str, days: i64, target: &Path) -> Result<(), KeyError> {
        let mut params = leaf_params(name, days)?;
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
        self.issue(params, OPERATOR_AUTHORITY, OPERATOR_AUTHORITY_KEY, target)
    }

    fn ensure_authority(&self, certificate: &str, key: &str, name: &str) -> Result<(), KeyError> {
        let (certificate_path, key_path) = (self.folder.join(certificate), self.folder.join(key));
        if certificate_path.exists() && key_path.exists() {
            return Ok(());
        }
        let pair = KeyPair::generate()?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name = distinguished_name(name);
        set_validity(&mut params, AUTHORITY_DAYS);
        let issued = params.self_signed(&pair)?;
        write_secret(&key_path, &pair.serialize_pem())?;
        write_file(&certificate_path, &issued.pem())
    }

    fn issue(
        &self,
        params: CertificateParams,
        authority: &str,
        authority_key: &str,
        target: &Path,
    ) -> Result<(), KeyError> {
        let authority_pem = read_file(&self.folder.join(authority))?;
        let key_path = self.folder.join(authority_key);
        let authority_pair = KeyPair::from_pem(&read_file(&key_path)?)?;
        let issuer = Issuer::from_ca_cert_pem(&authority_pem, &authority_pair)?;
        let pair = KeyPair::generate()?;
        let issued = params.signed_by(&pair, &issuer)?;
        create_folder(target)?;
        let files = KeyFiles::in_folder(target);
        write_secret(&files.private_key, &pair.serialize_pem())?;
        write_file(&files.certificate, &issued.pem())?;
        let copy = |name: &str, to: &Path| write_file(to, &read_file(&self.folder.join(name))?);
        copy(HOST_AUTHORITY, &files.host_authority)?;
        copy(OPERATOR_AUTHORITY, &files.operator_authority)
    }
}

fn leaf_params(name: &str, days: i64) -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name = distinguished_name(name);
    set_validity(&mut params, days);
    Ok(params)
}

fn distinguished_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

/// Makes a certificate valid from two days ago, so that hosts with slow clocks accept it, until
/// `days` from now.
fn set_validity(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - Duration::days(2);
    params.not_after = now + Duration::days(days);
}

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> KeyError + '_ {
    |source| KeyError::File { path: path.to_owned(), source }
}

fn create_folder(path: &Path) -> Result<(), KeyError> {
    fs::create_dir_all(path).map_err(file_error(path))
}

fn read_file(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(file_error(path))
}

fn write_file(path: &Path, text: &str) -> Result<(), KeyError> {
    fs::write(path, text).map_err(file_error(path))
}

/// Writes a file that is readable only by its owner.
fn write_secret(path: &Path, text: &str) -> Result<(), KeyError> {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};
    let mut options = fs::OpenOptions::new();
    let options = options.write(true).create(true).truncate(true).mode(0o600);
    let mut file = options.open(path).map_err(file_error(path))?;
    file.write_all(text.as_bytes()).map_err(file_error(path))
}
