//! Accepts connections and serves their requests within the limits.

use {
    crate::{
        Connection, HeldBody, HttpLimits, Limit, LimitObserver,
        budget::{Admission, Budget, record_read},
        stream::CountedStream,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, header},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        future::Future,
        net::{IpAddr, SocketAddr},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Interval at which connections are checked for limits in time and rate. One check for all of them takes the
/// place of a timer for each request.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Pause after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Part of the budget that a response to a GET request reserves at most before it is made, so that 32 of them are
/// handled at a time even if all are long.
const READ_PART: usize = 32;

/// Handles the requests of one server.
pub trait HttpService: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Send + Unpin + 'static;

    /// Handles one request. The future is dropped if the client disconnects.
    fn call(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Creates the answer to a request that is refused for a limit before anything of it has run.
    fn refuse(&self, limit: Limit) -> Response<Self::Body>;
}

/// A running HTTP server.
pub struct HttpServer {
    stop: watch::Sender<Option<Duration>>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts to serve requests on a bound listener. Must be called in a tokio runtime.
    pub fn start(
        listener: TcpListener,
        limits: HttpLimits,
        observer: Arc<dyn LimitObserver>,
        service: Arc<impl HttpService>,
    ) -> Self {
        let (stop, stopped) = watch::channel(None);
        let budget = Arc::new(Budget::new(limits, observer));
        let task = tokio::spawn(accept(listener, budget, service, stopped));
        Self { stop, task }
    }

    /// Stops accepting connections, and closes open ones once their responses are sent or `limit` has passed.
    pub async fn stop(self, limit: Duration) {
        self.stop.send_replace(Some(limit));
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    budget: Arc<Budget>,
    service: Arc<impl HttpService>,
    mut stopped: watch::Receiver<Option<Duration>>,
) {
    let mut connections = JoinSet::new();
    let mut check = interval(CHECK_PERIOD);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = stopped.clone();
    loop {
        tokio::select! {
            changed = stop.changed() => match changed {
                Ok(()) => break,
                // The handle was dropped without a stop, which closes the connections.
                Err(_) => return,
            },
            _ = check.tick() => budget.close_slow(),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => {
                    if let Some(admission) = budget.admit(remote.ip()) {
                        let serve = serve(stream, remote, admission, service.clone(), stopped.clone());
                        connections.spawn(serve);
                    }
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
    drop(listener);
    let limit = stopped.borrow_and_update().unwrap_or_default();
    let _ = timeout(limit, async { while connections.join_next().await.is_some() {} }).await;
}

/// Ends the account of a connection, also if its task is aborted.
struct Open {
    address: IpAddr,
    connection: Arc<Connection>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connection.budget.remove(self.connection.id, self.address);
    }
}

async fn serve(
    stream: TcpStream,
    remote: SocketAddr,
    admission: Admission,
    service: Arc<impl HttpService>,
    mut stopped: watch::Receiver<Option<Duration>>,
) {
    let (Admission::Accepted(connection) | Admission::Refused(connection)) = admission;
    let _open = Open {
        address: remote.ip(),
        connection: connection.clone(),
    };
    let _ = stream.set_nodelay(true);
    let limits = &connection.budget.limits;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.max_head_bytes).half_close(false);
    if limits.has_own_max_headers() {
        builder.max_headers(limits.max_headers);
    }
    let stream = CountedStream {
        connection: connection.clone(),
        stream,
    };
    let respond = service_fn(|request| {
        let (connection, service) = (connection.clone(), service.clone());
        async move { Ok::<_, Infallible>(respond(request, &connection, remote, &*service).await) }
    });
    let mut http = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), respond));
    let ended = tokio::select! {
        ended = http.as_mut() => ended,
        () = connection.closed() => return,
        _ = stopped.changed() => {
            http.as_mut().graceful_shutdown();
            tokio::select! {
                ended = http.as_mut() => ended,
                () = connection.closed() => return,
            }
        }
    };
    if ended.is_err_and(|error| error.is_parse_too_large()) {
        connection.reached(Limit::Head);
    }
}

async fn respond<S: HttpService>(
    request: Request<Incoming>,
    connection: &Arc<Connection>,
    remote: SocketAddr,
    service: &S,
) -> Response<HeldBody<S::Body>> {
    let budget = &connection.budget;
    let is_pipelined = connection.begin_request().await;
    if is_pipelined {
        connection.reached(Limit::Pipelined);
    }
    if is_pipelined {
        return refused(service, connection, Limit::Pipelined);
    }
    if connection.is_refused() {
        return refused(service, connection, Limit::Connections);
    }
    let is_read = request.method() == Method::GET;
    let read_bytes = match is_read {
        true => budget
            .recent_read_bytes
            .load(Ordering::Acquire)
            .min(budget.limits.max_held_bytes / READ_PART),
        false => 0,
    };
    let Some(expected) = connection.reserve(read_bytes) else {
        return refused(service, connection, Limit::HeldBytes);
    };
    let response = service.call(request, connection, remote).await;
    let bytes = response.body().size_hint().lower() as usize;
    if is_read {
        record_read(budget, bytes);
    }
    drop(expected);
    let reservation = (bytes > 0).then(|| connection.reserve_anyway(bytes));
    response.map(|body| HeldBody::new(body, connection.clone(), reservation))
}

/// Refuses a request and closes its connection after the answer.
fn refused<S: HttpService>(
    service: &S,
    connection: &Arc<Connection>,
    limit: Limit,
) -> Response<HeldBody<S::Body>> {
    let mut response = service.refuse(limit);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response.map(|body| HeldBody::new(body, connection.clone(), None))
}
