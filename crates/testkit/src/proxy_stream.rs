//! Forwards TCP connections through the proxy and applies the faults of their link.

use {
    crate::{
        proxy::{Route, Rules},
        socket_owner::Protocol,
    },
    bytes::Bytes,
    smol_str::SmolStr,
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp},
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Largest chunk of a stream that is forwarded at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks that are held for one direction. Beyond it, the sender's socket buffers
/// fill up.
const MAX_HELD_CHUNKS: usize = 64;

/// One item of a stream; data has the time of its arrival.
enum Item {
    Data(Instant, Bytes),
    End,
    Error(io::Error),
}

/// Accepts connections until the proxy ends.
pub(crate) async fn serve(listener: TcpListener, route: Route) {
    let mut connections = JoinSet::new();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(relay(stream, route.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(mut client: TcpStream, route: Route) {
    let Ok(address) = client.peer_addr() else { return };
    let from = route.sender(Protocol::Tcp, address).await;
    let mut rules = route.shared.rules.subscribe();
    let resets = rules.borrow().resets(&from, &route.to) + rules.borrow().resets(&route.to, &from);
    if wait_while_cut(&mut rules, &from, &route.to).await.is_err() {
        return;
    }
    let Ok(mut server) = TcpStream::connect(route.target).await else {
        reset(&client);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let is_clean = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let forward = relay_direction(
            &route,
            from.clone(),
            route.to.clone(),
            client_reader,
            server_writer,
        );
        let backward = relay_direction(
            &route,
            route.to.clone(),
            from.clone(),
            server_reader,
            client_writer,
        );
        tokio::select! {
            result = async { tokio::try_join!(forward, backward) } => result.is_ok(),
            _ = rules.wait_for(|rules| {
                rules.resets(&from, &route.to) + rules.resets(&route.to, &from) > resets
            }) => false,
        }
    };
    if !is_clean {
        reset(&client);
        reset(&server);
    }
}

/// Makes the next close of the connection send a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn relay_direction(
    route: &Route,
    from: SmolStr,
    to: SmolStr,
    mut reader: tcp::ReadHalf<'_>,
    mut writer: tcp::WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, mut held) = mpsc::channel(MAX_HELD_CHUNKS);
    let read = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let item = match reader.read(&mut buffer).await {
                Ok(0) => Item::End,
                Ok(length) => Item::Data(Instant::now(), Bytes::copy_from_slice(&buffer[..length])),
                Err(error) => Item::Error(error),
            };
            let is_last = !matches!(item, Item::Data(..));
            if sender.send(item).await.is_err() || is_last {
                return;
            }
        }
    };
    let write = async {
        let mut rules = route.shared.rules.subscribe();
        while let Some(item) = held.recv().await {
            wait_while_cut(&mut rules, &from, &to).await?;
            match item {
                Item::Data(arrived, data) => {
                    let delay = rules.borrow().faults(&from, &to).delay;
                    if !delay.is_zero() {
                        sleep_until(arrived + delay).await;
                        // A cut that began during the delay holds the bytes as well.
                        wait_while_cut(&mut rules, &from, &to).await?;
                    }
                    if let Err(error) = writer.write_all(&data).await {
                        // The error travels in the opposite direction, so a cut there delays it.
                        wait_while_cut(&mut rules, &to, &from).await?;
                        return Err(error);
                    }
                    route
                        .shared
                        .count(&from, &to, |traffic| traffic.bytes += data.len() as u64);
                }
                Item::End => return writer.shutdown().await,
                Item::Error(error) => return Err(error),
            }
        }
        Ok(())
    };
    let ((), result) = tokio::join!(read, write);
    result
}

async fn wait_while_cut(rules: &mut watch::Receiver<Rules>, from: &str, to: &str) -> io::Result<()> {
    rules
        .wait_for(|rules| !rules.faults(from, to).cut)
        .await
        .map(|_| ())
        .map_err(io::Error::other)
}
