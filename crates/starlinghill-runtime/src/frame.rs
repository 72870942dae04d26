//! Frames between the system's own processes: four bytes of length, one of the version, and a message in `bitcode`.

use bitcode::{DecodeOwned, Encode};
use bytes::{Buf, BytesMut};
use std::future::Future;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The version of all messages; another one is refused.
pub const PROTOCOL_VERSION: u8 = 5;
/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
const HEADER_BYTES: usize = 5;

/// A message as it goes over the wire.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// Writes a message.
pub async fn write<T: Encode>(stream: &mut (impl AsyncWrite + Unpin), message: &T) -> io::Result<()> {
    stream.write_all(&encode(message)).await
}

/// So many bytes of further questions are read while one is answered.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Reads messages one after the other. It may be dropped between two of them, and while one is waited for.
#[derive(Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// The next message; `None` where the peer ended between two.
    pub async fn read<T: DecodeOwned>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<T>> {
        loop {
            if let Some(message) = self.decode_next()? {
                return Ok(Some(message));
            }
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Does something for the peer as long as it is there; `None` where it ended. What it asks meanwhile is kept, up to a bound:
    /// one that asks more is not listened to until the first is done.
    pub async fn run_while_connected<T>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        done: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(done);
        loop {
            tokio::select! {
                biased;
                done = &mut done => return Some(done),
                read = stream.read_buf(&mut self.buffer), if self.buffer.len() < MAX_READ_AHEAD_BYTES => match read {
                    Ok(0) | Err(_) => return None,
                    Ok(_) => {}
                },
            }
        }
    }

    fn decode_next<T: DecodeOwned>(&mut self) -> io::Result<Option<T>> {
        let refuse = |what: String| Err(io::Error::new(io::ErrorKind::InvalidData, what));
        let Some(head) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if head[4] != PROTOCOL_VERSION {
            return refuse(format!("version {}, allowed: {PROTOCOL_VERSION}", head[4]));
        }
        if length > MAX_MESSAGE_BYTES {
            return refuse(format!("a message of {length} bytes, allowed: {MAX_MESSAGE_BYTES}"));
        }
        if self.buffer.len() < HEADER_BYTES + length {
            self.buffer.reserve(HEADER_BYTES + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length);
        match bitcode::decode(&body) {
            Ok(message) => Ok(Some(message)),
            Err(error) => refuse(format!("not a message: {error}")),
        }
    }
}
