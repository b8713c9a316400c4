//! Bodies of requests and responses, with the bytes that they reserve.

use {
    crate::{
        Connection, Limit, Reservation,
        blocks::{BLOCK_BYTES, Blocks},
    },
    bytes::Bytes,
    displaydoc::Display,
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum BodyError {
    /// the body ended early or is malformed
    Broken,
    /// the server holds as many bytes as it may
    NoRoom,
    /// the body is longer than the limit
    TooLong,
}

impl std::error::Error for BodyError {}

/// A complete body and its reserved bytes.
pub struct HeldBytes {
    /// The body.
    pub bytes: Bytes,
    /// Reservation that lasts as long as the body is held.
    pub reservation: Reservation,
}

/// Reads a body of at most `max_bytes` piece by piece, and reserves each piece before it is read. A body that
/// is declared longer is not read.
pub async fn read_body<B>(
    connection: &Arc<Connection>,
    body: B,
    max_bytes: usize,
) -> Result<HeldBytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let reservation = connection.reserve(0).ok_or(BodyError::NoRoom)?;
    let declared = body.size_hint();
    if declared.lower() > max_bytes as u64 {
        connection.reached(Limit::BodyBytes);
        return Err(BodyError::TooLong);
    }
    if body.is_end_stream() {
        return Ok(HeldBytes {
            bytes: Bytes::new(),
            reservation,
        });
    }
    connection.begin_body();
    let received = receive(connection, body, max_bytes).await;
    connection.end_body();
    if matches!(received, Err(BodyError::TooLong)) {
        connection.reached(Limit::BodyBytes);
    }
    received
}

async fn receive<B>(
    connection: &Arc<Connection>,
    mut body: B,
    max_bytes: usize,
) -> Result<HeldBytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut blocks = Blocks::new(connection.budget.clone());
    let mut received = connection.reserve(0).ok_or(BodyError::NoRoom)?;
    // The first block is reserved before anything is read.
    grow(&mut received, BLOCK_BYTES).await?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        let length = blocks.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > received.bytes {
            let more = length - received.bytes;
            grow(&mut received, more.next_multiple_of(BLOCK_BYTES)).await?;
        }
        // Copied, since a small piece would keep the whole buffer that it was read into.
        blocks.push(&data);
    }
    let mut reservation = connection.reserve(0).ok_or(BodyError::NoRoom)?;
    grow(&mut reservation, blocks.len()).await?;
    Ok(HeldBytes {
        bytes: blocks.concat(),
        reservation,
    })
}

async fn grow(reservation: &mut Reservation, bytes: usize) -> Result<(), BodyError> {
    match reservation.grow(bytes).await {
        true => Ok(()),
        false => Err(BodyError::NoRoom),
    }
}

/// Body of a response. Its reserved bytes are released once the connection has written the response.
pub struct HeldBody<B> {
    body: B,
    connection: Arc<Connection>,
    reservation: Option<Reservation>,
}

impl<B> HeldBody<B> {
    pub(crate) fn new(body: B, connection: Arc<Connection>, reservation: Option<Reservation>) -> Self {
        Self {
            body,
            connection,
            reservation,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for HeldBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for HeldBody<B> {
    fn drop(&mut self) {
        let bytes = self.reservation.take().map_or(0, Reservation::keep);
        self.connection.begin_response(bytes);
    }
}
