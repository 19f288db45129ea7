//! A group of real daemon processes on loopback, for tests that kill or suspend processes.

use peer::KeyIssuer;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

/// Programs, folder and size of a process group.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Path of the `hawthornhill` program.
    pub program: PathBuf,
    /// Path of the `hawthornctl` program; needed for [`ProcessGroup::run_ctl`] only.
    pub ctl_program: Option<PathBuf>,
    /// Folder for the keys, data, settings and logs of all processes.
    pub folder: PathBuf,
    /// Number of processes with the replica role.
    pub replicas: usize,
    /// Number of processes with the entry role. Roles are assigned from the first process on, so
    /// the first processes have both roles.
    pub entries: usize,
    /// Failure domains, assigned to the processes in round-robin order.
    pub domains: Vec<String>,
}

/// Addresses and state of one process in a group.
#[derive(Debug)]
pub struct GroupProcess {
    /// Host name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for connections from other processes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for servers.
    pub server: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    child: Option<Child>,
}

/// A group of running processes, which are killed on drop.
pub struct ProcessGroup {
    settings: GroupSettings,
    /// All processes, running or not.
    pub processes: Vec<GroupProcess>,
}

impl ProcessGroup {
    /// Creates keys and settings and starts all processes. Does not bootstrap the replica group.
    ///
    /// # Errors
    ///
    /// Fails if the keys or settings cannot be written, no ports are free, or a process cannot
    /// start.
    pub fn start(settings: GroupSettings) -> io::Result<Self> {
        let count = settings.replicas.max(settings.entries);
        let authority = settings.folder.join("authority");
        let issuer = KeyIssuer::open(&authority).map_err(io::Error::other)?;
        let operator = settings.folder.join("operator");
        issuer.issue_operator("operator", 30, &operator).map_err(io::Error::other)?;
        let mut processes = Vec::with_capacity(count);
        for index in 0..count {
            let name = format!("host-{}", index + 1);
            let keys = settings.folder.join("keys").join(&name);
            issuer.issue_host(&name, 30, &keys).map_err(io::Error::other)?;
            let [peer, caller, server, operator] = free_addresses()?;
            let domain = settings.domains[index % settings.domains.len()].clone();
            let child = None;
            processes.push(GroupProcess { name, domain, peer, caller, server, operator, child });
        }
        let mut group = Self { settings, processes };
        for index in 0..count {
            group.write_settings(index)?;
            group.spawn(index)?;
        }
        Ok(group)
    }

    /// Starts a process with its existing settings and appends its log output to its log file.
    pub fn spawn(&mut self, index: usize) -> io::Result<()> {
        let path = self.settings_path(index);
        let log = fs::File::options().create(true).append(true).open(path.with_extension("log"))?;
        let child = Command::new(&self.settings.program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.processes[index].child = Some(child);
        Ok(())
    }

    /// Returns a process's operating system id, or `None` after [`Self::kill`] or
    /// [`Self::wait`].
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Returns a process's log, or an empty string if it cannot be read.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.settings_path(index).with_extension("log")).unwrap_or_default()
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) -> io::Result<()> {
        if let Some(mut child) = self.processes[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a process a signal, given by name, such as `STOP`, `CONT` or `TERM`. Does nothing if
    /// the process is not running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, index: usize, name: &str) -> io::Result<()> {
        let Some(child) = &self.processes[index].child else {
            return Ok(());
        };
        let pid = child.id();
        let status = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{name} {pid} failed: {status}")))
        }
    }

    /// Waits for the end of a process that was told to stop. Returns whether its exit status was 0,
    /// or `true` if it was not running.
    pub fn wait(&mut self, index: usize) -> io::Result<bool> {
        match self.processes[index].child.take() {
            Some(mut child) => Ok(child.wait()?.success()),
            None => Ok(true),
        }
    }

    /// Deletes the data folder of a stopped process.
    pub fn delete_data(&self, index: usize) -> io::Result<()> {
        fs::remove_dir_all(self.settings.folder.join(format!("data-{}", index + 1)))
    }

    /// Returns the operator's key folder.
    pub fn operator_keys(&self) -> PathBuf {
        self.settings.folder.join("operator")
    }

    /// Runs `hawthornctl` with all processes as endpoints.
    ///
    /// Returns its exit code, -1 if a signal ended it, and its output followed by its error output.
    ///
    /// # Errors
    ///
    /// Fails if the group has no `ctl_program` or the program cannot be run.
    pub fn run_ctl(&self, arguments: &[&str]) -> io::Result<(i32, String)> {
        let program = self.settings.ctl_program.as_ref().ok_or_else(|| {
            io::Error::other("the group's settings do not name a hawthornctl program")
        })?;
        let mut command = Command::new(program);
        command.arg("--key-folder").arg(self.operator_keys());
        for process in &self.processes {
            command.arg("--endpoint").arg(format!("{}={}", process.name, process.operator));
        }
        let output = command.args(arguments).stdin(Stdio::null()).output()?;
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        Ok((output.status.code().unwrap_or(-1), text))
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.settings.folder.join(format!("host-{}.toml", index + 1))
    }

    fn write_settings(&self, index: usize) -> io::Result<()> {
        let process = &self.processes[index];
        let mut roles = Vec::new();
        if index < self.settings.entries {
            roles.push("\"entry\"");
        }
        if index < self.settings.replicas {
            roles.push("\"replica\"");
        }
        let folder: &Path = &self.settings.folder;
        let mut text = format!(
            "name = \"{}\"\nfailure_domain = \"{}\"\nroles = [{}]\ndata_folder = {:?}\n\
             key_folder = {:?}\npeer_address = \"{}\"\ncaller_address = \"{}\"\n\
             server_address = \"{}\"\noperator_address = \"{}\"\ndirectory_max_age_s = 1\nthreads = 2\n",
            process.name,
            process.domain,
            roles.join(", "),
            folder.join(format!("data-{}", index + 1)),
            folder.join("keys").join(&process.name),
            process.peer,
            process.caller,
            process.server,
            process.operator,
        );
        for replica in &self.processes[..self.settings.replicas] {
            text += &format!(
                "\n[[replicas]]\nhost = \"{}\"\naddress = \"{}\"\n",
                replica.name, replica.peer
            );
        }
        fs::write(self.settings_path(index), text)
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                // Errors mean that the process has already ended; there is nothing left to do.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// First port to try. All ports tried lie below the ephemeral range, from which operating systems
/// assign ports to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Number of ports to try.
const PORT_COUNT: u16 = 20_000;

/// Returns four loopback addresses whose ports are free for TCP and UDP.
///
/// The ports lie below the ephemeral range, so no outgoing connection takes one before it is bound.
///
/// # Errors
///
/// Fails with `AddrNotAvailable` if fewer than four ports are free.
pub fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process_offset = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    let mut found = Vec::with_capacity(4);
    for _ in 0..PORT_COUNT {
        let port_offset =
            NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(process_offset) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + port_offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
        if let Ok(addresses) = <[SocketAddr; 4]>::try_from(found.as_slice()) {
            return Ok(addresses);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
