//! TCP stream that records the progress of its connection.

use {
    crate::Connection,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

pub(crate) struct CountedStream {
    pub(crate) connection: Arc<Connection>,
    pub(crate) stream: TcpStream,
}

impl CountedStream {
    fn record_write(&self, poll: &Poll<io::Result<usize>>) {
        match poll {
            Poll::Pending => self.connection.wrote(None),
            Poll::Ready(Ok(bytes)) => self.connection.wrote(Some(*bytes)),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match poll {
            Poll::Ready(Ok(())) if bytes > 0 && !self.connection.received(bytes) => {
                Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()))
            }
            poll => poll,
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(poll, Poll::Ready(Ok(()))) {
            self.connection.flushed();
        }
        poll
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
