//! The default settings, with the meaning, unit and range of each.

/// A settings file that sets every field to its default.
pub const SETTINGS_PAGE: &str = r#"# Host name, as in the certificate made by `hawthornctl keys host`.
name = "host-1"
# Failure domain of this host.
failure_domain = "domain-1"
# Roles: "entry" serves callers, "replica" keeps the replicated state.
roles = ["entry", "replica"]
# Folder with all files of the process; required for the replica role.
data_folder = "data"
# Folder made by `hawthornctl keys host`.
key_folder = "keys/host-1"
# Address for other processes (QUIC over UDP), IP:PORT.
peer_address = "127.0.0.1:7000"
# Address for callers (HTTP), IP:PORT.
caller_address = "127.0.0.1:8000"
# Address for announcements of servers (HTTP), IP:PORT.
server_address = "127.0.0.1:8100"
# Address for operators (HTTPS with client certificates), IP:PORT.
operator_address = "127.0.0.1:9000"
# Address of the metrics page (HTTP), IP:PORT.
metrics_address = "127.0.0.1:9100"
# Format of log lines: "terminal" or "json".
log_format = "terminal"
# Worker threads, 1 to 256.
threads = 4
# Maximum number of requests in flight and waiting at an entry, 1 to 1000000.
max_in_flight = 4096
# How long callers may cache a directory answer, in seconds, 1 to 600.
directory_max_age_s = 5
# Maximum wait for requests in flight at a planned stop, in seconds, 1 to 600.
stop_grace_s = 30
# Maximum size of a request body, in bytes, 1024 to 16777216.
max_body_bytes = 1048576

# Replicas that an entry contacts first; they name the others.
[[replicas]]
# Host name, as in the replica's certificate.
host = "host-1"
# IP:PORT.
address = "127.0.0.1:7000"
"#;
