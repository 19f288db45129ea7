//! Links between entries and scripted servers that a test can cut.

use super::ScriptedServer;
use parking_lot::Mutex;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 128;

/// Period in which a link finds out whether its server has crashed.
const DOWN_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// The state of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Connections are forwarded.
    Open,
    /// Open connections are silent, and new ones get no answer.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections are forwarded, and new ones are refused.
    RefusesNew,
}

/// Forwards connections from one entry to one server.
pub struct ServerLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Changes when all connections that are open fall silent for good.
    silenced: watch::Sender<()>,
    open: Mutex<Vec<tokio::task::AbortHandle>>,
}

impl ServerLink {
    /// Opens a link to a server.
    pub async fn open(server: Arc<ScriptedServer>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = watch::Sender::new(LinkState::Open);
        let (silenced, open) = (watch::Sender::new(()), Mutex::default());
        let link = Arc::new(Self { address, state, silenced, open });
        tokio::spawn(link.clone().run(server, listener));
        link
    }

    /// Changes the state of the link.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
        if state == LinkState::Reset {
            self.open.lock().drain(..).for_each(|connection| connection.abort());
        }
    }

    /// Makes all open connections silent for good. New ones are forwarded.
    pub fn silence_open(&self) {
        self.silenced.send_replace(());
    }

    async fn run(self: Arc<Self>, server: Arc<ScriptedServer>, listener: TcpListener) {
        let mut state = self.state.subscribe();
        let mut listener = Some(listener);
        // Keeps the port while the link refuses connections, so that no other test gets it.
        let mut reserved = None;
        let mut connections = JoinSet::new();
        loop {
            let current = *state.borrow_and_update();
            let refuses =
                matches!(current, LinkState::Reset | LinkState::RefusesNew) || server.is_down();
            if refuses {
                drop(listener.take());
                reserved = reserved.or_else(|| Some(reserve(self.address)));
            } else if let Some(socket) = reserved.take() {
                listener = Some(socket.listen(BACKLOG).expect("a reserved port"));
            }
            let accepted = async {
                match (&listener, current) {
                    (Some(listener), LinkState::Open) => listener.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                Ok((stream, _)) = accepted => {
                    let forwarded = forward(stream, server.address, self.state.subscribe());
                    let mut silenced = self.silenced.subscribe();
                    let connection = async move {
                        tokio::pin!(forwarded);
                        tokio::select! {
                            () = &mut forwarded => {}
                            // Keeps the sockets open.
                            _ = silenced.changed() => std::future::pending().await,
                        }
                    };
                    self.open.lock().push(connections.spawn(connection));
                }
                changed = state.changed() => if changed.is_err() { return },
                () = sleep(DOWN_CHECK_PERIOD) => {}
            }
        }
    }
}

/// Returns a socket that has the address but does not listen, so that it refuses connections.
fn reserve(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("a socket option");
    socket.bind(address).expect("the port of the link");
    socket
}

/// Forwards a connection while the link is not silent. Dropping the future resets the connection.
async fn forward(mut stream: TcpStream, server: SocketAddr, mut state: watch::Receiver<LinkState>) {
    stream.set_zero_linger().expect("a socket option");
    let Ok(mut to_server) = TcpStream::connect(server).await else {
        return;
    };
    loop {
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut to_server) => return,
            silent = state.wait_for(|state| *state == LinkState::Silent) => drop(silent),
        }
        if state.wait_for(|state| *state != LinkState::Silent).await.is_err() {
            return;
        }
    }
}
